"""The types exchanged between a courier and its host: settings, events, actions.

Times ending in ``_us`` are microseconds; an event's times are on the clock given to ``Courier.handle``. An
endpoint is an opaque integer; equal integers are the same endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """What repeating a message does: nothing (SAFE), nothing within a key's window (KEYED), harm (UNSAFE)."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(Enum):
    """How an attempt or a probe ended. Only FULL, CONNECT_FAILED and MOOT prove that it was not processed."""

    OK = "ok"
    ERROR = "error"  # answered, but not as a success or a refusal: it may have been processed
    # 429 or 503 (in a batch: "busy"): the endpoint or a limit is full, and the call was not processed. Also a
    # probe that was answered by another status than 200.
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"  # the host stopped waiting after a Cancel; it had been sent and may be processed
    # Never sent (no connection, calls to the endpoint stopped, message ended, cancelled before), or answered
    # that it was not processed, which is no evidence about the endpoint: 400, 410, 413, 504, or 429 and 503
    # with "slots-taken: 1" (in a batch: "void", "used_up").
    MOOT = "moot"


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list. It says nothing about health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    """DELTA changes the known list; FULL and CACHED replace it; FAILED: a request for it failed."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


def _require(is_valid: bool, field: str, allowed: str) -> None:
    if not is_valid:
        raise ValueError(f"{field}: must be {allowed}")


def _check_times(owner: object, prefix: str) -> None:
    for attribute in fields(owner):  # type: ignore[arg-type]
        if attribute.name.endswith("_us"):
            _require(
                getattr(owner, attribute.name) >= 0, f"{prefix}{attribute.name}", "0 or more microseconds"
            )


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What the messages of a class are worth, and what may be done with them. Raises ValueError."""

    name: str
    aim_us: int  # a message delivered within this time has its full worth
    deadline_us: int  # within this time, part of it
    effect: Effect = Effect.SAFE
    worth: float = 1.0
    late_share: float = 0.0  # of the worth, left at the deadline
    # KEYED: which endpoints drop repeats: all, or only those of one "zone" or "cell". With "zone" the courier
    # repeats a message only in the zone of the first attempt that may have run, with "cell" at any endpoint
    # of its destination; with either not at all if it is not known where that attempt was sent. With either
    # it never refuses a message that may have been processed, since the client might resubmit it where
    # repeats are not dropped.
    key_scope: str = "all"
    key_window_us: int = 0  # KEYED: how long they drop them
    ordered: bool = False  # messages with the same order key are delivered one at a time

    def __post_init__(self) -> None:
        prefix = f"classes.{self.name}."
        _check_times(self, prefix)
        _require(self.aim_us > 0, prefix + "aim_us", "above 0")
        _require(self.deadline_us >= self.aim_us, prefix + "deadline_us", "at least aim_us")
        _require(isinstance(self.effect, Effect), prefix + "effect", "an Effect")
        _require(self.worth >= 0, prefix + "worth", "0 or more")
        _require(0 <= self.late_share <= 1, prefix + "late_share", "from 0 to 1")
        _require(self.key_scope in ("all", "zone", "cell"), prefix + "key_scope", "all, zone or cell")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, whose traffic within its quota counts in full."""

    name: str
    share: float  # of all traffic, from 0 to 1; the courier does not read it
    quota_per_s: float  # messages per second, all couriers together

    def __post_init__(self) -> None:
        _require(0 <= self.share <= 1, f"tenants.{self.name}.share", "from 0 to 1")
        _require(self.quota_per_s >= 0, f"tenants.{self.name}.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    name: str
    routes_apart: bool = False  # each endpoint has its own rate limit, waits and outages
    batch: int = 1  # max messages of one turn to one endpoint that travel in one call

    def __post_init__(self) -> None:
        _require(self.batch >= 1, f"kinds.{self.name}.batch", "1 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a courier. Invalid values raise a ValueError that names the field."""

    classes: tuple[MessageClass, ...]
    slots: int  # calls that may be in flight at once
    max_held: int  # messages that may be held, in flight or waiting
    kinds: tuple[Kind, ...] = (Kind("any"),)
    tenants: tuple[Tenant, ...] = ()
    couriers: int = 1  # that share the traffic
    me: int = 0  # number of this courier, from 0
    max_attempts: int = 3
    second_copies: bool = False  # two attempts of one message may be in flight at once
    may_probe: bool = False  # Probe is allowed; the courier does not read it
    may_cancel: bool = False  # Cancel is allowed; the courier does not read it
    peer_notes: bool = False  # SendNote is allowed; the courier does not read it
    tick_us: int = 1000  # minimum time between two turns
    max_retry_after_us: int = 0  # longest retry-after that clients respect; 0: they get none
    clients_mark_retries: bool = False  # MessageArrived.resubmitted is set
    connection_idle_us: int = 10_000_000  # endpoints close connections that are idle for longer
    connect_timeout_us: int = 1_000_000
    drain_grace_us: int = 0  # how long calls may begin after a drain; the courier does not read it
    cold_share: float = 0.1  # of its capacity, that a returning destination has at least
    cold_us: int = 10_000_000  # until it has all of its capacity
    fall_multiple: float = 2.0  # load above this multiple of its present capacity
    fall_us: int = 1_000_000  # for this long makes a destination fail
    key_rest_us: int = 0  # pause of an order key after an attempt that may still run
    answer_slack_us: int = 0  # the courier does not read it
    list_on_request: bool = False  # the endpoint list is sent only after Subscribe or FetchList
    report_fields: tuple[str, ...] = ()  # names of the values in AttemptEnded.report
    rates_listed: bool = False  # ListEntry.rate_per_s is valid
    over_share_worth: float = 1.0  # factor for the worth of messages above their tenant's quota
    late_halves: bool = False  # worth halves per further aim_us instead of falling linearly
    zone_fees: tuple[float, ...] = ()  # cost of a call by zone number
    refused_price: float = 0.0  # cost of a call refused above a limit, as a share of a message

    def __post_init__(self) -> None:
        _check_times(self, "")
        _require(len(self.classes) > 0, "classes", "at least one class")
        _require(len(self.kinds) > 0, "kinds", "at least one kind")
        for name in ("slots", "max_held", "couriers", "max_attempts", "tick_us"):
            _require(getattr(self, name) >= 1, name, "1 or more")
        _require(0 <= self.me < self.couriers, "me", "from 0 to under couriers")
        _require(0 < self.cold_share <= 1, "cold_share", "above 0 and at most 1")
        _require(self.fall_multiple > 0, "fall_multiple", "above 0")
        _require(0 <= self.over_share_worth <= 1, "over_share_worth", "from 0 to 1")


# Events: what the host reports to the courier, in order.


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One line of the endpoint list."""

    endpoint: int
    destination: int
    state: EndpointState
    rate_per_s: float = 0.0  # limit for all couriers together; see Settings.rates_listed
    kind: int = 0
    zone: int = 0  # -1 if unknown


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The endpoint list or changes to it. Report the cached list in the first turn."""

    form: ListForm
    entries: tuple[ListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """The courier has accepted a message and owes it one final answer before valid_until_us."""

    message: int
    message_class: int
    destination: int
    valid_until_us: int
    tenant: int = 0
    order_key: int = 0
    resubmitted: bool = False
    # Of a message restored after a restart, or whose key is known from an earlier message:
    tries: int = 0  # attempts so far
    ran_at_us: int = -1  # when the first attempt that may have run was sent; -1 if there is none
    ran_zone: int = -1  # the zone that it was sent to; -1 if unknown
    out: bool = False  # the newest attempt is still in flight: CallCarried follows in the same turn
    restored: bool = False  # accepted by the previous process


@dataclass(frozen=True, slots=True)
class AttemptAnswering:
    """A streamed answer has begun; from now on the attempt belongs to the client."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of one Send; each has exactly one.

    closed: the host has no use for a further attempt or answer: the message was delivered, the endpoint
    declared it finished (410, in a batch "void"), or the host no longer holds it.
    """

    message: int
    attempt: int
    endpoint: int
    result: Result
    latency_us: int
    closed: bool = False
    retry_after_us: int = 0  # with FULL: the announced wait, 0 if there is none
    report: tuple[float, ...] = ()  # load report, in the order of Settings.report_fields; () if there is none
    idle_us: int | None = None  # how long the connection had been idle; -1: new; None: unknown


@dataclass(frozen=True, slots=True)
class AttemptHeldBack:
    """The outcome of one Send that the host could not begin for a reason of its own, such as a full disk.

    It says nothing of the endpoint and does not count as an attempt. It stands in place of AttemptEnded.
    """

    message: int
    attempt: int
    endpoint: int
    wait_us: int  # until the next attempt


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of one Probe."""

    endpoint: int
    result: Result
    latency_us: int


@dataclass(frozen=True, slots=True)
class MessageGone:
    """Nobody waits for the message any more; its attempts are still reported."""

    message: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by the courier is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Closing:
    """A planned restart: no attempt may last past until_us. Messages still held are restored afterwards."""

    until_us: int


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A note from another courier."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SetByHand:
    """An operator excludes an endpoint, whatever the list says, or readmits it, with a slow start."""

    endpoint: int
    out: bool  # excluded


@dataclass(frozen=True, slots=True)
class SetZoneByHand:
    """An operator excludes a whole zone, or lets it return: gradually, with slow starts."""

    zone: int
    out: bool  # excluded


@dataclass(frozen=True, slots=True)
class ZoneCarried:
    """After an upgrade: a zone that is returning, from when until when."""

    zone: int
    since_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class Carried:
    """After an upgrade: what the previous process learned of an endpoint and handed over by Courier.carry().

    Times are on the same clock. Names unknown to this version are ignored.
    """

    endpoint: int
    figures: dict[str, float]


@dataclass(frozen=True, slots=True)
class LaneCarried:
    """After an upgrade: what the previous process learned of a destination that has no endpoints now."""

    destination: int
    kind: int
    figures: dict[str, float]


@dataclass(frozen=True, slots=True)
class OrderPauseCarried:
    """After an upgrade or a restart: no first attempt with this order key before until_us."""

    order_key: int
    until_us: int


@dataclass(frozen=True, slots=True)
class EndedInFlight:
    """At an upgrade: a message that has ended while an attempt of it is still in flight.

    The next process gets it as a MessageArrived, CallCarried and MessageGone: it occupies a slot, and its
    order key, until the attempt ends.
    """

    message: int
    message_class: int
    destination: int
    order_key: int


@dataclass(frozen=True, slots=True)
class Connections:
    """The idle connections of an endpoint: when each came free, oldest first.

    The host alone counts them. The report replaces the previous one, and comes first in its turn.
    """

    endpoint: int
    idle_since: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Whether connections may be opened before a message needs them, from now on."""

    on: bool


@dataclass(frozen=True, slots=True)
class PolicySet:
    """The whole policy from now on: settings in place of the initial ones, exclusions, and ceilings.

    Exclusions include those by operators. Ceilings by destination: (calls in flight, calls per second of all
    couriers), 0 for none.
    """

    settings: Settings
    endpoints_out: frozenset[int] = frozenset()
    zones_out: frozenset[int] = frozenset()
    ceilings: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Hold:
    """Whether to start no calls; waiting messages still get their answers in time."""

    on: bool


@dataclass(frozen=True, slots=True)
class AwaitList:
    """Whether to start no calls because discovery has not confirmed the cached endpoint list yet.

    Independent of Hold; waiting messages still get their answers in time.
    """

    on: bool


@dataclass(frozen=True, slots=True)
class CallCarried:
    """After an upgrade: a call still in flight, carrying the newest attempt of each of its messages."""

    endpoint: int
    sent_at_us: int
    messages: tuple[int, ...]
    zone: int = -1  # the zone that it was sent to, whatever the list says now; -1 if unknown


Event = (
    EndpointsListed
    | MessageArrived
    | AttemptAnswering
    | AttemptEnded
    | AttemptHeldBack
    | ProbeEnded
    | MessageGone
    | TimerDue
    | Closing
    | PeerNote
    | SetByHand
    | Carried
    | CallCarried
    | Connections
    | WarmUp
    | SetZoneByHand
    | ZoneCarried
    | LaneCarried
    | OrderPauseCarried
    | PolicySet
    | Hold
    | AwaitList
)

# Actions: what the host has to carry out, in order. Refuse and Fail are final answers.


@dataclass(frozen=True, slots=True)
class Send:
    """Start the message's next attempt (numbered from 0) and report TIMEOUT after timeout_us."""

    message: int
    endpoint: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the message; the client may resubmit it, after retry_after_us if that is above 0."""

    message: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End the message without a statement about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome is still reported."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report TimerDue with this token in the first turn after delay_us."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint and report ProbeEnded."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Keep:
    """Keep at most this many idle connections to an endpoint from now on."""

    endpoint: int
    most: int


@dataclass(frozen=True, slots=True)
class OpenIdle:
    """Open a connection to an endpoint before a message needs it; the outcome is not reported."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendNote:
    """Send a note to a peer, or to all peers (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for list changes from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole list once."""


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | Keep
    | OpenIdle
    | SendNote
    | Log
    | Subscribe
    | FetchList
)
