"""What a courier knows: destinations with their lanes and endpoints, messages held, calls in flight."""

from __future__ import annotations

from hopmill.interface import Effect, EndpointState, MessageArrived, MessageClass
from hopmill.policy.links import ConnectionBudget

# An endpoint that answered this recently is not down: a failed connect means that its connection table is
# full.
RECENT_SUCCESS_US = 1_000_000


class CircuitBreaker:
    """Whether calls may be sent, and how many: of an endpoint, in a large fleet of a lane.

    A large fleet shares one among a lane's endpoints: most outages take all of them, and each endpoint gets
    too few calls from one courier to show an outage by itself.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0  # moving share of failed calls
        self.is_open = False  # open; only single trial calls are let through
        self.trial_call: Call | None = None  # the half-open trial call in flight
        self.next_trial_us = self.trial_gap_us = 0  # time of the next trial call; gap between two
        self.slow_start_began_us = -1  # -1 outside a slow start
        self.warm_rate_per_s = 0.0  # calls per second from this courier after the slow start
        self.tokens = 1.0
        self.refilled_us = 0  # when tokens were last added


class Endpoint:
    """One endpoint and what its calls showed."""

    def __init__(self, number: int, lane: Lane, zone: int, connection_budget: ConnectionBudget) -> None:
        self.id = number
        self.lane = lane
        self.zone = zone
        self.connection_budget = connection_budget
        self.state = EndpointState.READY
        self.calls_in_flight: dict[int, Call] = {}  # by id(), oldest first
        self.failure_share = 0.0  # moving share of failed calls
        self.ambiguous_share = 0.0  # share of calls that failed but may have run, at ambiguous_updated_us
        self.ambiguous_updated_us = 0
        self.last_success_us = 0
        self.last_reuse_success_us = -RECENT_SUCCESS_US  # last delivery over a reused connection
        self.breaker = lane.breaker or CircuitBreaker()


class Lane:
    """The endpoints that share one rate limit: those of a destination, or of one route of it."""

    def __init__(self, destination: Destination, breaker: CircuitBreaker | None) -> None:
        self.destination = destination
        self.breaker = breaker
        self.endpoints: dict[int, Endpoint] = {}
        self.listed_rate_per_s = 0.0  # of all couriers, from the endpoint list; 0 if none
        # This courier's share of the limit, as listed or as reported by answers since; 0 if none is known.
        self.limit_share_per_s = 0.0
        # The pace that calls are limited to (0: not paced), and the rate from which on growth is slow: the
        # pace at which the lane was last refused, or its listed rate.
        self.pace_per_s = self.last_refused_rate_per_s = 0.0
        self.tokens = 1.0
        self.refilled_us = 0
        self.wait_until_us = 0  # no call before: retry-after or backoff
        self.next_cut_us = 0  # the pace is not cut again before: the last cut plus one round trip
        self.refused_share = 0.0  # moving share of calls refused (Result.FULL)
        self.last_report: tuple[float, ...] = ()  # load report of the newest answer that had one
        self.has_reported_limit = False
        self.window = 1.0  # calls that may be in flight
        self.calls_in_flight = 0
        self.consecutive_refusals = 0  # Result.FULL in a row, counted once per cut of the pace
        self.mean_latency_us = self.latency_deviation_us = 0.0  # of answered calls; 0: none yet
        self.slot_time_us = 1e5  # mean time that a call occupies a slot, failed calls included
        self.success_rate_per_s = 0.0
        self.last_success_us = 0


class Destination:
    """A partner's system with its lanes and the messages that wait for it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.kind = 0
        self.lanes: list[Lane] = []
        self.queue: list[Message] = []
        self.calls_in_flight = 0
        self.arrivals = 0  # of new messages in this process


class Message:
    """A message held, from its arrival until its last attempt has ended."""

    def __init__(
        self,
        number: int,
        message_class: MessageClass,
        event: MessageArrived,
        sequence: int,
        now_us: int,
        destination: Destination,
    ) -> None:
        self.id = number
        self.message_class = message_class
        self.sequence = sequence
        self.destination = destination
        # Messages with the same key are delivered one at a time, in order of arrival; 0 for none.
        self.order_key = event.order_key if message_class.ordered else 0
        self.valid_until_us = event.valid_until_us
        self.created_us = event.valid_until_us - message_class.deadline_us
        self.attempts = event.tries
        self.attempts_held_back = 0  # of them; these do not count against the limit
        self.attempts_in_flight = 0
        # Of the first attempt that may have run: when it was sent, and to which zone; -1 if none or unknown.
        self.may_have_run_since_us = event.ran_at_us
        self.may_have_run_zone = event.ran_zone
        self.ready_us = now_us  # no attempt before
        self.last_endpoint: Endpoint | None = None
        self.is_closed = self.is_streaming = self.failed_quickly = False
        self.weight = 1.0  # worth when delivered in time
        is_keyed = message_class.effect is Effect.KEYED
        # Whether only some endpoints drop repeats of its key, and whether these are the ones of a zone.
        self.is_scope_bound = is_keyed and message_class.key_scope != "all"
        self.is_zone_bound = is_keyed and message_class.key_scope == "zone"

    @property
    def counted_attempts(self) -> int:
        """The attempts that count against the limit."""
        return self.attempts - self.attempts_held_back

    def last_send_us(self, margin_us: int) -> int:
        """Return the latest time for a further attempt, `margin_us` before the limit.

        The limit is the deadline; once an attempt may have run it is also what the message class allows for
        repeats.
        """
        if self.may_have_run_since_us < 0 or self.message_class.effect is Effect.SAFE:
            return self.valid_until_us - margin_us
        may_repeat = self.message_class.effect is Effect.KEYED and not (
            self.is_scope_bound and self.may_have_run_zone < 0
        )
        return (
            min(
                self.valid_until_us,
                self.may_have_run_since_us + (self.message_class.key_window_us if may_repeat else 0),
            )
            - margin_us
        )


class Call:
    """One call in flight. A batched call carries several messages."""

    def __init__(self, endpoint: Endpoint, now_us: int, zone: int) -> None:
        self.endpoint = endpoint
        self.sent_us = now_us
        self.zone = zone  # of the endpoint when the call was sent; -1 if unknown
        self.open_attempts = 0  # of its messages, not ended yet
        self.is_outcome_recorded = False  # its outcome has been recorded
        self.connection_idle_us = -1  # how long its connection had been idle; -1: a new connection


class CourierState:
    """Everything held and in flight. Only the courier changes it; the other modules of the policy read it."""

    def __init__(self) -> None:
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}  # by message and attempt number
        self.calls_in_flight = 0
        self.excluded_endpoints: set[int] = set()  # by an operator
        self.order_queues: dict[int, list[Message]] = {}  # by order key, the next to send first
        # By order key: no first attempt before. In the order of their beginning; those that are over go with
        # the next one.
        self.order_pauses_us: dict[int, int] = {}

    def forget_if_unused(self, destination: Destination) -> None:
        """Forget a destination that has neither messages nor endpoints: clients may name any number."""
        is_used = destination.lanes or destination.queue or destination.calls_in_flight
        if not is_used and self.destinations.get(destination.number) is destination:
            del self.destinations[destination.number]

    def pause_order(self, order_key: int, until_us: int, now_us: int) -> None:
        """Let no first attempt with the order key begin before `until_us`."""
        until_us = max(until_us, self.order_pauses_us.pop(order_key, 0))
        while (
            self.order_pauses_us
            and self.order_pauses_us[oldest := next(iter(self.order_pauses_us))] <= now_us
        ):
            del self.order_pauses_us[oldest]
        self.order_pauses_us[order_key] = until_us
