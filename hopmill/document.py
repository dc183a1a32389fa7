"""The configuration as staff write it: one tree of structs with units in the names, format 1.

A TOML file is read into it, and so is the platform's JSON, so that both are checked by the same rules and
can be compared field by field. `deploy/courier.example.toml` explains each field.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from hopmill import interface as i
from hopmill import wire
from hopmill.fields import ConfigError, Count, Name, NotNegative, PartnerNumber, Positive, Share, Strict
from hopmill.fleet.settings import Members
from hopmill.fleet.settings import problems as members_problems
from hopmill.logs import FORMATS, LEVELS, PARTS

FORMAT = 1
FROM_THE_FILE = (
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
assert set(Level.__args__) == set(LEVELS) and FORMATS == ("line", "json")  # one list of each


class Limits(Strict):
    """What the machine gives this courier."""

    cores: Positive = 1.0
    memory_mb: Positive = 192.0
    sockets: Positive = 1024.0
    disk_mb: Positive = 3.0


class Log(Strict):
    format: Literal["line", "json"] = "line"
    level: Level = "info"
    levels: dict[str, Level] = {}  # by part of the program
    lines_per_s: Count = 50


class Connections(Strict):
    warm_up: bool = False  # opened before a message needs them


class MessageClass(Strict):
    name: Name
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: NotNegative = 1.0
    late_share: Share = 0.0
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_window_ms: NotNegative = 0.0
    ordered: bool = False


class Kind(Strict):
    name: Name
    routes_apart: bool = False
    bundle: Count = 1  # messages of one call, at most


class Tenant(Strict):
    name: Name
    share: NotNegative = 0.0
    quota_per_s: NotNegative = 0.0


class Zone(Strict):
    name: Name
    fee: NotNegative = 0.0


class Retries(Strict):
    attempts: Count = 3
    longest_told_wait_ms: NotNegative = 0.0  # that clients heed; 0: they are told none
    clients_mark: bool = False
    second_copies: bool = False
    cancel: bool = False
    probe: bool = False


class Calls(Strict):
    slots: Count = 32  # calls out at once
    idle_ms: NotNegative = 10_000.0  # endpoints close a connection that was idle for so long
    connect_ms: NotNegative = 1_000.0


class Return(Strict):
    """How a destination comes back, and how it falls over."""

    cold_share: Share = 0.1
    cold_ms: NotNegative = 10_000.0
    fall_multiple: Positive = 2.0
    fall_ms: NotNegative = 1_000.0
    drain_grace_ms: NotNegative = 0.0


class Fleet(Strict):
    couriers: Count = 1
    me: Annotated[int, msgspec.Meta(ge=0)] = 0
    peer_notes: bool = False


class Worth(Strict):
    """What results are priced at."""

    over_share: NotNegative = 1.0
    late: Literal["evenly", "halves"] = "evenly"
    refused_price: NotNegative = 0.0


class Endpoint(Strict):
    uid: Name
    address: Name
    zone: str = ""
    rate_per_s: NotNegative = 0.0


class Partner(Strict):
    """One that is known before discovery speaks."""

    number: PartnerNumber
    name: str = ""
    kind: str = ""
    endpoints: tuple[Endpoint, ...] = ()


class LeftOut(Strict):
    """Nothing goes there, as if staff had left it out by hand."""

    endpoints: tuple[Name, ...] = ()
    zones: tuple[Name, ...] = ()


class Ceiling(Strict):
    """What one partner gets at most. 0: no such ceiling."""

    partner: PartnerNumber
    window: Annotated[int, msgspec.Meta(ge=0)] = 0  # calls of one courier at once
    rate_per_s: NotNegative = 0.0  # calls of all couriers together


class Document(Strict, kw_only=True):
    """All that a courier is told."""

    format: int = FORMAT
    name: str = ""
    listen: str = ""
    discovery: str = ""
    state: str = ""
    operator: str = ""  # where operators call, if anywhere
    seed: int | str = 0
    limits: Limits = Limits()
    log: Log = Log()
    connections: Connections = Connections()
    classes: Annotated[tuple[MessageClass, ...], msgspec.Meta(min_length=1)]
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zones: tuple[Zone, ...] = ()
    retries: Retries = Retries()
    calls: Calls = Calls()
    held: Count = 1000  # messages taken on and not ended, at most
    tick_ms: Positive = 5.0
    returning: Return = Return()
    fleet: Fleet = Fleet()
    worth: Worth = Worth()
    key_rest_ms: NotNegative = 0.0
    answer_slack_ms: NotNegative = 0.0
    list_on_request: bool = False
    report_fields: tuple[str, ...] = ()
    rates_listed: bool = False
    partners: tuple[Partner, ...] = ()
    left_out: LeftOut = LeftOut()
    ceilings: tuple[Ceiling, ...] = ()
    members: Members | None = None  # the fleet that this courier agrees with; none: it shares nothing

    def settings(self) -> i.Settings:
        """For the decision module, in its units."""
        r, c = self.retries, self.calls
        return i.Settings(
            classes=tuple(
                i.MessageClass(
                    k.name,
                    _us(k.aim_ms),
                    _us(k.deadline_ms),
                    EFFECTS[k.effect],
                    k.worth,
                    k.late_share,
                    k.key_scope,
                    _us(k.key_window_ms),
                    k.ordered,
                )
                for k in self.classes
            ),
            kinds=tuple(i.Kind(k.name, k.routes_apart, k.bundle) for k in self.kinds) or (i.Kind("any"),),
            tenants=tuple(i.Tenant(t.name, t.share, t.quota_per_s) for t in self.tenants),
            slots=c.slots,
            max_held=self.held,
            couriers=self.fleet.couriers,
            me=self.fleet.me,
            max_attempts=r.attempts,
            second_copies=r.second_copies,
            may_probe=r.probe,
            may_cancel=r.cancel,
            peer_notes=self.fleet.peer_notes,
            tick_us=_us(self.tick_ms),
            max_retry_after_us=_us(r.longest_told_wait_ms),
            clients_mark_retries=r.clients_mark,
            connection_idle_us=_us(c.idle_ms),
            connect_timeout_us=_us(c.connect_ms),
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
        """The partners' endpoints in discovery's form, as of version 0."""
        return {
            "rev": 0,
            "targets": [
                {
                    "uid": e.uid,
                    "endpoint": e.address,
                    "az": e.zone,
                    "model": p.kind,
                    "pod_group": p.number,
                    "state": "in_service",
                    "capacity_hint": e.rate_per_s,
                    "boot_ms": 0,
                }
                for p in self.partners
                for e in p.endpoints
            ],
        }


EFFECTS = {"safe": i.Effect.SAFE, "keyed": i.Effect.KEYED, "unsafe": i.Effect.UNSAFE}


def _us(ms: float) -> int:
    return round(ms * 1000)


def read_toml(path: Path) -> Document:
    """The file as a Document. ConfigError: one line with the field's path."""
    import tomllib  # not read in service, whose file is JSON

    try:
        raw = tomllib.loads(path.read_bytes().decode())
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: is not TOML: {error}") from None
    if (told := raw.get("format")) != FORMAT:
        raise ConfigError(f"format: must be {FORMAT}, not {told!r}")
    document = convert(raw)
    for problem in problems(document):
        raise ConfigError(problem)
    return document


def convert(raw: dict[str, Any]) -> Document:
    """Checked against the structs, field by field. ConfigError: one line names the first wrong field."""
    try:
        return msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        raise ConfigError(_one_line(str(error))) from None


def _one_line(text: str) -> str:
    """msgspec's 'what - at `$.path`' with the path first; for an unknown field, the nearest known one."""
    what, _, where = text.partition(" - at `$.")
    path = where.rstrip("`")
    if found := re.search("(unknown|missing required) field `(.+)`", what):
        path = f"{path}.{found[2]}".lstrip(".")
        what = "lacks" if found[1] != "unknown" else "no such field" + _nearest(found[2])
    return f"{path}: {what}" if path else what


def _nearest(name: str) -> str:
    import difflib

    known = {f.name for struct in Strict.__subclasses__() for f in msgspec.structs.fields(struct)}
    near = difflib.get_close_matches(name, known, 1)
    return f"; there is {near[0]}" if near else ""


def problems(document: Document) -> Iterator[str]:
    """What is wrong in the relation of fields, one line each. The platform's own files are not held to it."""
    for names, where in (
        ([c.name for c in document.classes], "classes"),
        ([k.name for k in document.kinds], "kinds"),
        ([t.name for t in document.tenants], "tenants"),
        ([z.name for z in document.zones], "zones"),
        ([p.number for p in document.partners], "partners"),
        ([c.partner for c in document.ceilings], "ceilings"),
    ):
        for at, name in enumerate(names):
            if name in names[:at]:
                yield f"{where}[{at}]: {name!r} is there twice"
    for at, c in enumerate(document.classes):
        if c.aim_ms > c.deadline_ms:
            yield f"classes[{at}].aim_ms: is over deadline_ms"
    kinds = {k.name for k in document.kinds} | {""}
    uids: set[str] = set()
    for at, p in enumerate(document.partners):
        if p.kind not in kinds:
            yield f"partners[{at}].kind: no such kind: {p.kind!r}"
        for n, e in enumerate(p.endpoints):
            if e.uid in uids:
                yield f"partners[{at}].endpoints[{n}].uid: {e.uid!r} is there twice"
            uids.add(e.uid)
    if document.members:
        yield from members_problems(document.members)
    for name in document.log.levels:
        if name not in PARTS:
            yield f"log.levels.{name}: no such part; there are {', '.join(PARTS)}"
    try:
        document.settings()
    except ValueError as error:
        yield f"settings: {error}"


def from_platform(raw: dict[str, Any]) -> tuple[Document, i.Settings]:
    """The platform's JSON, whose `settings` are the simulator's. ConfigError as for a TOML file.

    The settings are returned beside the tree as they were told: what a courier in service decides by does not
    pass through other units.
    """
    given = raw.get("settings")
    if not isinstance(given, dict) or not given:
        raise ConfigError("settings: lacks" if not given else "settings: must be a JSON object")
    try:
        settings = wire.read_settings(json.dumps(given))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    tree = from_settings(settings, given.get("localities") or ())
    for name in FROM_THE_FILE:
        if raw.get(name) is not None:
            tree[name] = raw[name]
    if isinstance(tree.get("limits"), dict):  # the platform may tell more of them than there are here
        known = {f.name for f in msgspec.structs.fields(Limits)}
        tree["limits"] = {k: v for k, v in tree["limits"].items() if k in known}
    document = convert(tree)
    for problem in members_problems(document.members) if document.members else ():
        raise ConfigError(problem)
    return document, settings


def from_settings(s: i.Settings, zones: Any = ()) -> dict[str, Any]:
    """The module's settings as the tree that `convert` reads; Document.settings() gives them back."""
    names = {effect: name for name, effect in EFFECTS.items()}
    fees = dict(enumerate(s.zone_fees))
    zones = [str(z) for z in zones]
    return {
        "classes": [
            {
                "name": c.name,
                "aim_ms": c.aim_us / 1e3,
                "deadline_ms": c.deadline_us / 1e3,
                "effect": names[c.effect],
                "worth": c.worth,
                "late_share": c.late_share,
                "key_scope": c.key_scope,
                "key_window_ms": c.key_window_us / 1e3,
                "ordered": c.ordered,
            }
            for c in s.classes
        ],
        "kinds": [{"name": k.name, "routes_apart": k.routes_apart, "bundle": k.batch} for k in s.kinds],
        "tenants": [{"name": t.name, "share": t.share, "quota_per_s": t.quota_per_s} for t in s.tenants],
        "zones": [{"name": z, "fee": fees.get(n, 0.0)} for n, z in enumerate(zones)],
        "retries": {
            "attempts": s.max_attempts,
            "longest_told_wait_ms": s.max_retry_after_us / 1e3,
            "clients_mark": s.clients_mark_retries,
            "second_copies": s.second_copies,
            "cancel": s.may_cancel,
            "probe": s.may_probe,
        },
        "calls": {
            "slots": s.slots,
            "idle_ms": s.connection_idle_us / 1e3,
            "connect_ms": s.connect_timeout_us / 1e3,
        },
        "held": s.max_held,
        "tick_ms": s.tick_us / 1e3,
        "returning": {
            "cold_share": s.cold_share,
            "cold_ms": s.cold_us / 1e3,
            "fall_multiple": s.fall_multiple,
            "fall_ms": s.fall_us / 1e3,
            "drain_grace_ms": s.drain_grace_us / 1e3,
        },
        "fleet": {"couriers": s.couriers, "me": s.me, "peer_notes": s.peer_notes},
        "worth": {
            "over_share": s.over_share_worth,
            "late": "halves" if s.late_halves else "evenly",
            "refused_price": s.refused_price,
        },
        "key_rest_ms": s.key_rest_us / 1e3,
        "answer_slack_ms": s.answer_slack_us / 1e3,
        "list_on_request": s.list_on_request,
        "report_fields": list(s.report_fields),
        "rates_listed": s.rates_listed,
    }


def flatten(document: Document) -> dict[str, Any]:
    """Every field's path with its value."""
    rows: dict[str, Any] = {}

    def walk(path: str, value: Any) -> None:
        if isinstance(value, dict) and value:
            for name, inner in value.items():
                walk(f"{path}.{name}" if path else name, inner)
        elif isinstance(value, (list, tuple)) and value and isinstance(value[0], dict):
            for at, inner in enumerate(value):
                walk(f"{path}[{at}]", inner)
        else:
            rows[path] = value

    walk("", msgspec.to_builtins(document))
    return rows


def changes(old: Document, new: Document) -> list[tuple[str, Any, Any]]:
    """(path, before, after) of each field that differs; None where it is not there."""
    before, after = flatten(old), flatten(new)
    return [
        (path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def disabled_options(document: Document) -> list[str]:
    """What is optional and not switched on, one line each."""
    rows = (
        ("operator", not document.operator, "no door for operators, no metrics"),
        ("connections.warm_up", not document.connections.warm_up, "no connection is opened early"),
        (
            "retries.longest_told_wait_ms",
            not document.retries.longest_told_wait_ms,
            "clients are not told when to come again",
        ),
        ("members", document.members is None, "nothing is shared with other couriers"),
        ("retries.second_copies", not document.retries.second_copies, "one attempt at a time"),
    )
    return [f"{path}: {what}" for path, is_off, what in rows if is_off]
