"""The configuration that operators write: one tree of structs, with units in the field names (format 1).

A TOML file and the platform's JSON are both read into this tree, so the same rules check them and they can
be compared field by field. `deploy/courier.example.toml` explains each field.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from hopmill import interface, wire
from hopmill.fields import ConfigError, Count, Name, NotNegative, PartnerNumber, Positive, Share, Strict
from hopmill.fleet.settings import Members
from hopmill.fleet.settings import problems as members_problems
from hopmill.logs import FORMATS, LEVELS, PARTS

FORMAT = 1
# Fields that the platform's JSON gives under the same names as a TOML file.
PLATFORM_FILE_FIELDS = (
    "name",
    "listen",
    "discovery",
    "operator",
    "seed",
    "limits",
    "log",
    "connections",
    "members",
    "left_out",
    "ceilings",
)
Level = Literal["debug", "info", "warning", "error"]
# The literal types in this module must match the lists in hopmill.logs.
assert set(Level.__args__) == set(LEVELS) and FORMATS == ("line", "json")


class Limits(Strict):
    """Resources of the machine that this courier may use."""

    cores: Positive = 1.0
    memory_mb: Positive = 192.0
    sockets: Positive = 1024.0
    disk_mb: Positive = 3.0


class Log(Strict):
    """Format, levels and maximum rate of the log on standard error."""

    format: Literal["line", "json"] = "line"
    level: Level = "info"
    levels: dict[str, Level] = {}  # by part of the program; overrides `level`
    lines_per_s: Count = 50  # further lines are dropped and counted


class Connections(Strict):
    """How connections to endpoints are kept."""

    warm_up: bool = False  # open connections before a message needs them


class MessageClass(Strict):
    """What the messages of one class are worth, and whether an attempt may be repeated."""

    name: Name
    aim_ms: Positive  # delivered within this time, a message earns its full worth
    deadline_ms: Positive  # delivered between aim and deadline, it earns a part
    effect: Literal["safe", "keyed", "unsafe"] = "safe"  # whether an attempt may be repeated
    worth: NotNegative = 1.0
    late_share: Share = 0.0  # share of the worth that is left at the deadline
    key_scope: Literal["all", "zone", "cell"] = "all"  # keyed: endpoints that drop repeats of a key
    key_window_ms: NotNegative = 0.0  # keyed: how long they drop them
    ordered: bool = False  # messages with the same key are delivered one at a time


class Kind(Strict):
    """A kind of destination."""

    name: Name
    routes_apart: bool = False  # each endpoint has its own limit, waits and outages
    bundle: Count = 1  # most messages that one call carries


class Tenant(Strict):
    """A customer with a share of the traffic."""

    name: Name
    share: NotNegative = 0.0  # of the traffic; messages within it count in full
    quota_per_s: NotNegative = 0.0  # messages per second from all couriers together


class Zone(Strict):
    """A zone that endpoints are in, with the fee for sending a call there."""

    name: Name
    fee: NotNegative = 0.0


class Retries(Strict):
    """How attempts are repeated, and what refused clients are told."""

    attempts: Count = 3  # of one message, at most
    longest_told_wait_ms: NotNegative = 0.0  # longest retry-after that clients obey; 0: none is sent
    clients_mark: bool = False  # clients mark messages that they submit again
    second_copies: bool = False  # two attempts of one message may run at the same time
    cancel: bool = False  # a running attempt may be cancelled
    probe: bool = False  # endpoints may be probed


class Calls(Strict):
    """Limits of the calls to endpoints and of their connections."""

    slots: Count = 32  # most calls in flight
    idle_ms: NotNegative = 10_000.0  # endpoints close a connection that has been idle for this long
    connect_ms: NotNegative = 1_000.0  # time-out for opening a connection


class Return(Strict):
    """How a destination recovers from an outage, and which overload makes it fail again."""

    cold_share: Share = 0.1  # share of its capacity that a recovering destination has at first
    cold_ms: NotNegative = 10_000.0  # after this time it has its full capacity
    fall_multiple: Positive = 2.0  # load above this multiple of its present capacity,
    fall_ms: NotNegative = 1_000.0  # for this long, makes it fail again
    drain_grace_ms: NotNegative = 0.0


class Fleet(Strict):
    """The couriers that share the traffic."""

    couriers: Count = 1  # how many share the traffic
    me: Annotated[int, msgspec.Meta(ge=0)] = 0  # index of this courier, below `couriers`
    peer_notes: bool = False


class Worth(Strict):
    """The worth and the cost of results."""

    over_share: NotNegative = 1.0  # factor for a message above its tenant's share
    late: Literal["evenly", "halves"] = "evenly"  # after the aim: linear, or halved with each further aim
    refused_price: NotNegative = 0.0  # of each call refused above a limit, as a share of a message's worth


class Endpoint(Strict):
    """An endpoint of a partner."""

    uid: Name
    address: Name
    zone: str = ""
    rate_per_s: NotNegative = 0.0  # calls accepted per second from all couriers together


class Partner(Strict):
    """A partner whose endpoints are known before discovery sends its list."""

    number: PartnerNumber
    name: str = ""
    kind: str = ""
    endpoints: tuple[Endpoint, ...] = ()


class LeftOut(Strict):
    """Endpoints and zones that get no calls, as if an operator had excluded them."""

    endpoints: tuple[Name, ...] = ()
    zones: tuple[Name, ...] = ()


class Ceiling(Strict):
    """The most that one partner gets; 0 stands for no such ceiling."""

    partner: PartnerNumber
    window: Annotated[int, msgspec.Meta(ge=0)] = 0  # most calls in flight from one courier
    rate_per_s: NotNegative = 0.0  # most calls per second from all couriers together


class Document(Strict, kw_only=True):
    """The whole configuration of a courier."""

    format: int = FORMAT
    name: str = ""
    listen: str = ""  # HOST:PORT for clients
    discovery: str = ""  # HOST:PORT of the discovery agent
    state: str = ""  # existing folder for the journal
    operator: str = ""  # HOST:PORT of the operator API; empty: none
    seed: int | str = 0  # of all random numbers; text is read as hex digits
    limits: Limits = Limits()
    log: Log = Log()
    connections: Connections = Connections()
    classes: Annotated[tuple[MessageClass, ...], msgspec.Meta(min_length=1)]
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zones: tuple[Zone, ...] = ()
    retries: Retries = Retries()
    calls: Calls = Calls()
    held: Count = 1000  # most messages that are taken on and not finished
    tick_ms: Positive = 5.0  # least time between two turns of the policy
    returning: Return = Return()
    fleet: Fleet = Fleet()
    worth: Worth = Worth()
    key_rest_ms: NotNegative = 0.0  # pause of an ordered key after an attempt without a definite result
    answer_slack_ms: NotNegative = 0.0
    list_on_request: bool = False  # discovery sends the endpoint list only after a request
    report_fields: tuple[str, ...] = ()  # names of the figures that an answer may report
    rates_listed: bool = False  # whether the rate_per_s of endpoints in the list means anything
    partners: tuple[Partner, ...] = ()
    left_out: LeftOut = LeftOut()
    ceilings: tuple[Ceiling, ...] = ()
    members: Members | None = None  # the fleet that this courier belongs to; None: it shares no state

    def settings(self) -> interface.Settings:
        """Returns the settings of the decision module, in its units.

        Raises ValueError with the name of a field whose value the module does not accept.
        """
        retries, calls = self.retries, self.calls
        return interface.Settings(
            classes=tuple(
                interface.MessageClass(
                    message_class.name,
                    _us(message_class.aim_ms),
                    _us(message_class.deadline_ms),
                    EFFECTS[message_class.effect],
                    message_class.worth,
                    message_class.late_share,
                    message_class.key_scope,
                    _us(message_class.key_window_ms),
                    message_class.ordered,
                )
                for message_class in self.classes
            ),
            kinds=tuple(interface.Kind(k.name, k.routes_apart, k.bundle) for k in self.kinds)
            or (interface.Kind("any"),),
            tenants=tuple(interface.Tenant(t.name, t.share, t.quota_per_s) for t in self.tenants),
            slots=calls.slots,
            max_held=self.held,
            couriers=self.fleet.couriers,
            me=self.fleet.me,
            max_attempts=retries.attempts,
            second_copies=retries.second_copies,
            may_probe=retries.probe,
            may_cancel=retries.cancel,
            peer_notes=self.fleet.peer_notes,
            tick_us=_us(self.tick_ms),
            max_retry_after_us=_us(retries.longest_told_wait_ms),
            clients_mark_retries=retries.clients_mark,
            connection_idle_us=_us(calls.idle_ms),
            connect_timeout_us=_us(calls.connect_ms),
            drain_grace_us=_us(self.returning.drain_grace_ms),
            cold_share=self.returning.cold_share,
            cold_us=_us(self.returning.cold_ms),
            fall_multiple=self.returning.fall_multiple,
            fall_us=_us(self.returning.fall_ms),
            key_rest_us=_us(self.key_rest_ms),
            answer_slack_us=_us(self.answer_slack_ms),
            list_on_request=self.list_on_request,
            report_fields=self.report_fields,
            rates_listed=self.rates_listed,
            over_share_worth=self.worth.over_share,
            late_halves=self.worth.late == "halves",
            zone_fees=tuple(z.fee for z in self.zones if z.fee or any(x.fee for x in self.zones)),
            refused_price=self.worth.refused_price,
        )

    def known_endpoints(self) -> dict[str, Any]:
        """Returns the partners' endpoints as a list of discovery, revision 0."""
        return {
            "rev": 0,
            "targets": [
                {
                    "uid": endpoint.uid,
                    "endpoint": endpoint.address,
                    "az": endpoint.zone,
                    "model": partner.kind,
                    "pod_group": partner.number,
                    "state": "in_service",
                    "capacity_hint": endpoint.rate_per_s,
                    "boot_ms": 0,
                }
                for partner in self.partners
                for endpoint in partner.endpoints
            ],
        }


EFFECTS = {"safe": interface.Effect.SAFE, "keyed": interface.Effect.KEYED, "unsafe": interface.Effect.UNSAFE}


def _us(ms: float) -> int:
    return round(ms * 1000)


def read_toml(path: Path) -> Document:
    """Reads and checks a TOML file.

    Raises ConfigError, whose text is one line that starts with the path of the file or of the field.
    """
    import tomllib  # imported late: a courier started by the platform reads JSON only

    try:
        raw = tomllib.loads(path.read_bytes().decode())
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: is not TOML: {error}") from None
    if (file_format := raw.get("format")) != FORMAT:
        raise ConfigError(f"format: must be {FORMAT}, not {file_format!r}")
    document = convert(raw)
    for problem in problems(document):
        raise ConfigError(problem)
    return document


def convert(raw: dict[str, Any]) -> Document:
    """Checks a tree of built-in types against the structs, field by field.

    Raises ConfigError, whose text is one line that names the first wrong field.
    """
    try:
        return msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        raise ConfigError(_one_line(str(error))) from None


def _one_line(text: str) -> str:
    """Turns msgspec's 'problem - at `$.path`' into 'path: problem'.

    For an unknown field it suggests the known name that is closest.
    """
    problem, _, location = text.partition(" - at `$.")
    path = location.rstrip("`")
    if match := re.search("(unknown|missing required) field `(.+)`", problem):
        path = f"{path}.{match[2]}".lstrip(".")
        problem = "lacks" if match[1] != "unknown" else "no such field" + _nearest(match[2])
    return f"{path}: {problem}" if path else problem


def _nearest(name: str) -> str:
    import difflib

    known = {f.name for struct in Strict.__subclasses__() for f in msgspec.structs.fields(struct)}
    matches = difflib.get_close_matches(name, known, 1)
    return f"; there is {matches[0]}" if matches else ""


def problems(document: Document) -> Iterator[str]:
    """Yields one line for each inconsistency between fields.

    The platform's JSON is checked only for those in `members`.
    """
    for names, table in (
        ([c.name for c in document.classes], "classes"),
        ([k.name for k in document.kinds], "kinds"),
        ([t.name for t in document.tenants], "tenants"),
        ([z.name for z in document.zones], "zones"),
        ([p.number for p in document.partners], "partners"),
        ([c.partner for c in document.ceilings], "ceilings"),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                yield f"{table}[{index}]: {name!r} is there twice"
    for index, message_class in enumerate(document.classes):
        if message_class.aim_ms > message_class.deadline_ms:
            yield f"classes[{index}].aim_ms: is over deadline_ms"
    kinds = {k.name for k in document.kinds} | {""}
    uids: set[str] = set()
    for index, partner in enumerate(document.partners):
        if partner.kind not in kinds:
            yield f"partners[{index}].kind: no such kind: {partner.kind!r}"
        for endpoint_index, endpoint in enumerate(partner.endpoints):
            if endpoint.uid in uids:
                yield f"partners[{index}].endpoints[{endpoint_index}].uid: {endpoint.uid!r} is there twice"
            uids.add(endpoint.uid)
    if document.members:
        yield from members_problems(document.members)
    for name in document.log.levels:
        if name not in PARTS:
            yield f"log.levels.{name}: no such part; there are {', '.join(PARTS)}"
    try:
        document.settings()
    except ValueError as error:
        yield f"settings: {error}"


def from_platform(raw: dict[str, Any]) -> tuple[Document, interface.Settings]:
    """Reads the platform's JSON, whose `settings` have the simulator's form.

    Also returns those settings as given: the values by which a courier in service decides are not converted
    to the units of the tree and back. Raises ConfigError as `read_toml` does.
    """
    raw_settings = raw.get("settings")
    if not isinstance(raw_settings, dict) or not raw_settings:
        raise ConfigError("settings: lacks" if not raw_settings else "settings: must be a JSON object")
    try:
        settings = wire.read_settings(json.dumps(raw_settings))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    tree = from_settings(settings, raw_settings.get("localities") or ())
    for name in PLATFORM_FILE_FIELDS:
        if raw.get(name) is not None:
            tree[name] = raw[name]
    if isinstance(tree.get("limits"), dict):  # the platform may send limits that this version does not know
        known = {f.name for f in msgspec.structs.fields(Limits)}
        tree["limits"] = {k: v for k, v in tree["limits"].items() if k in known}
    document = convert(tree)
    for problem in members_problems(document.members) if document.members else ():
        raise ConfigError(problem)
    return document, settings


def from_settings(settings: interface.Settings, zones: Any = ()) -> dict[str, Any]:
    """Returns the decision module's settings as a tree for `convert`, the inverse of `Document.settings`."""
    names = {effect: name for name, effect in EFFECTS.items()}
    fees = dict(enumerate(settings.zone_fees))
    zones = [str(z) for z in zones]
    return {
        "classes": [
            {
                "name": message_class.name,
                "aim_ms": message_class.aim_us / 1e3,
                "deadline_ms": message_class.deadline_us / 1e3,
                "effect": names[message_class.effect],
                "worth": message_class.worth,
                "late_share": message_class.late_share,
                "key_scope": message_class.key_scope,
                "key_window_ms": message_class.key_window_us / 1e3,
                "ordered": message_class.ordered,
            }
            for message_class in settings.classes
        ],
        "kinds": [
            {"name": k.name, "routes_apart": k.routes_apart, "bundle": k.batch} for k in settings.kinds
        ],
        "tenants": [
            {"name": t.name, "share": t.share, "quota_per_s": t.quota_per_s} for t in settings.tenants
        ],
        "zones": [{"name": zone, "fee": fees.get(index, 0.0)} for index, zone in enumerate(zones)],
        "retries": {
            "attempts": settings.max_attempts,
            "longest_told_wait_ms": settings.max_retry_after_us / 1e3,
            "clients_mark": settings.clients_mark_retries,
            "second_copies": settings.second_copies,
            "cancel": settings.may_cancel,
            "probe": settings.may_probe,
        },
        "calls": {
            "slots": settings.slots,
            "idle_ms": settings.connection_idle_us / 1e3,
            "connect_ms": settings.connect_timeout_us / 1e3,
        },
        "held": settings.max_held,
        "tick_ms": settings.tick_us / 1e3,
        "returning": {
            "cold_share": settings.cold_share,
            "cold_ms": settings.cold_us / 1e3,
            "fall_multiple": settings.fall_multiple,
            "fall_ms": settings.fall_us / 1e3,
            "drain_grace_ms": settings.drain_grace_us / 1e3,
        },
        "fleet": {"couriers": settings.couriers, "me": settings.me, "peer_notes": settings.peer_notes},
        "worth": {
            "over_share": settings.over_share_worth,
            "late": "halves" if settings.late_halves else "evenly",
            "refused_price": settings.refused_price,
        },
        "key_rest_ms": settings.key_rest_us / 1e3,
        "answer_slack_ms": settings.answer_slack_us / 1e3,
        "list_on_request": settings.list_on_request,
        "report_fields": list(settings.report_fields),
        "rates_listed": settings.rates_listed,
    }


def flatten(document: Document) -> dict[str, Any]:
    """Returns the value of every field by its path, such as `calls.slots` or `zones[0].fee`."""
    rows: dict[str, Any] = {}

    def walk(path: str, value: Any) -> None:
        if isinstance(value, dict) and value:
            for name, inner in value.items():
                walk(f"{path}.{name}" if path else name, inner)
        elif isinstance(value, (list, tuple)) and value and isinstance(value[0], dict):
            for index, inner in enumerate(value):
                walk(f"{path}[{index}]", inner)
        else:
            rows[path] = value

    walk("", msgspec.to_builtins(document))
    return rows


def changes(old: Document, new: Document) -> list[tuple[str, Any, Any]]:
    """Returns (path, before, after) of each field that differs; None stands for a missing field."""
    before, after = flatten(old), flatten(new)
    return [
        (path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def disabled_options(document: Document) -> list[str]:
    """Returns one line for each optional part that is switched off."""
    rows = (
        ("operator", not document.operator, "no operator API and no metrics"),
        (
            "connections.warm_up",
            not document.connections.warm_up,
            "connections are opened only when a message needs one",
        ),
        (
            "retries.longest_told_wait_ms",
            not document.retries.longest_told_wait_ms,
            "refused clients get no retry-after",
        ),
        ("members", document.members is None, "no state is shared with other couriers"),
        (
            "retries.second_copies",
            not document.retries.second_copies,
            "at most one attempt of a message runs at a time",
        ),
    )
    return [f"{path}: {consequence}" for path, is_disabled, consequence in rows if is_disabled]
