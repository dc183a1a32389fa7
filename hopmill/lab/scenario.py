"""A scenario: ranges from a TOML file, and the values that a seed draws from them."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from hopmill.lab.chance import stream

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Bounds = tuple[float, float]
Range = float | Bounds  # a number, or [min, max] to draw from


class ScenarioError(Exception):
    """What is wrong with a scenario, in one line that begins with its field."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the scenario file; unknown keys are errors."""


class Load(StrictStruct, kw_only=True):
    """The arriving messages."""

    rate_per_s: Range = 500.0  # messages that partners are sized for
    factor: Range = 1.0  # arriving messages, as a multiple of rate_per_s
    zipf: Range = 0.6  # exponent of the couriers' shares of the traffic
    partner_zipf: Range = 0.8  # exponent of the partners' shares
    burst: Range = 1.0  # multiple of the rate, from burst_from to burst_to
    burst_from: NotNegative = 0.4  # share of the run
    burst_to: NotNegative = 0.6
    shift_at: NotNegative = 0.0  # when couriers exchange traffic shares, as a share of the run; 0: never
    clumps: Range = 0.0  # share of the messages that arrive at one instant for one partner
    clump_s: Range = 2.0  # size of a clump: what the partner takes in so long


class MessageClass(StrictStruct, kw_only=True):
    """A class of messages: its time limits, its worth and the work of a call."""

    name: str
    share: Range  # weight among the messages
    aim_ms: Range  # full worth up to this latency
    deadline_ms: Range  # no worth from this latency on
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: NotNegative = 1.0
    late_worth: NotNegative = 0.3  # lowest share of the worth before the deadline
    work_ms: Range = 60.0  # mean work of a call
    cv: Range = 0.8  # coefficient of variation of the work
    key_window_ms: NotNegative = 0.0


class Kind(StrictStruct, kw_only=True):
    """A kind of partners."""

    name: str
    share: NotNegative = 1.0  # weight among the partners
    limit: Literal["none", "window", "rate"] = "none"
    headroom: Range = 1.4  # the limit, as a multiple of the calls at full load
    full_load: Range = 1.25  # full load, as a multiple of the scenario's rate
    calls_per_message: Range = 1.0  # below 1 where calls are expected to carry batches
    least_per_s: Range = 2.0  # minimum of the limit
    span_ms: NotNegative = 2000.0  # window of the limit, or the burst of a rate
    spare: Range = 1.4  # capacity, as a multiple of the limit
    slow_cv: Range = 0.5  # coefficient of variation of the partners' slowness
    bundle: Annotated[int, msgspec.Meta(ge=1)] = 1
    item_cost: Range = 0.1  # extra work per further message of a batch, as a share of the longest
    tells_wait: Range = 0.7  # share of refusals with a retry-after
    wait_ms: Range = 500.0
    refused_count: bool = False  # refused calls count towards the limit
    depth_s: Range = 0.5  # length of the queue, in seconds of capacity
    routes_apart: bool = False  # each endpoint is a route with its own limit
    endpoints: Range = 2.2
    connections: Range = 200.0  # maximum per endpoint, idle ones included
    errors: Range = 0.002  # share of calls
    cold_ms: Range = 2000.0  # time to full capacity after an outage
    cold_from: Range = 0.22  # share of the capacity right after an outage


class Net(StrictStruct, kw_only=True):
    """The network between couriers and endpoints."""

    zones: Annotated[int, msgspec.Meta(ge=1)] = 2
    same_ms: Range = 2.0  # one-way delay within a zone
    cross_ms: Range = 4.0  # and between zones
    jitter: Range = 0.2  # largest deviation of a delay, as a share of it
    handshake_ms: Range = 2.0
    lost: Range = 0.0  # share of answers that the network loses
    fee: Range = 0.0  # for a call to the most expensive zone


class Fleet(StrictStruct, kw_only=True):
    """The couriers."""

    couriers: Annotated[int, msgspec.Meta(ge=1)] = 200
    slots: Range = 12.0  # concurrent calls per courier
    held: Range = 40.0  # messages that a courier may hold
    tick_ms: NotNegative = 5.0
    idle_ms: Range = 2000.0
    connect_ms: Range = 300.0
    back_ms: Range = 600.0  # from the end of a courier's process to its restart
    told_couriers: int = 0  # number of couriers in the settings; 0: the real number
    members: bool = False  # couriers run the member protocol of hopmill/fleet
    policy: bool = False  # couriers act only under a lease on the fleet's policy
    policy_every_s: NotNegative = 0.0  # interval of policy changes; 0: none


class Reports(StrictStruct, kw_only=True):
    """The load reports that answers carry."""

    period_ms: Range = 100.0
    delay_ms: Range = 20.0
    noise: Range = 0.08


class Clients(StrictStruct, kw_only=True):
    """How clients react to refusals."""

    retries: Range = 2.0  # of a refused message
    backoff_ms: Range = 250.0  # mean wait before the first retry without a retry-after
    honour: Range = 0.7  # share that heeds a retry-after
    impatient: Range = 0.0  # share that retries after a tenth of the wait, and once more often
    gives_up: Range = 0.0  # share that leaves before the first answer
    longest_wait_ms: Range = 500.0  # maximum retry-after of the couriers


class Discovery(StrictStruct, kw_only=True):
    """How fast couriers learn of changed endpoints: notice_ms plus up to spread_ms."""

    notice_ms: Range = 500.0
    spread_ms: Range = 80.0


class Front(StrictStruct, kw_only=True):
    """The load balancer in front of the couriers."""

    notice_ms: Range = 400.0  # until the load balancer knows that a courier died
    again_ms: Range = 300.0  # mean time until a client whose courier died submits again


class Goal(StrictStruct, kw_only=True):
    """The weights of the shares served in the total g, and the length of the window."""

    whole: NotNegative = 0.35
    worst_window: NotNegative = 0.35
    worst_class: NotNegative = 0.2
    worst_tenant: NotNegative = 0.1
    window_ms: NotNegative = 10_000.0


class Prices(StrictStruct, kw_only=True):
    """What is subtracted from g, per unit of cost."""

    refused: NotNegative = 0.03
    handshake: NotNegative = 0.04
    waste: NotNegative = 0.056
    late_fail: NotNegative = 0.03


class Trouble(StrictStruct, kw_only=True):
    """A fault, of one or several targets."""

    kind: Literal[
        "down",
        "silent",
        "hung",
        "errors",
        "shut",
        "slow",
        "limit",
        "zone_cut",
        "kill",
        "restart",
        "join",
        "deploy",
        "discovery_silent",
    ]
    at: Range = 0.3  # start, as a share of the run
    len_ms: Range = 2000.0
    part: Range = 0.3  # share of the endpoints, partners or couriers that are affected
    size: Range = 1.0  # share of failing calls, factor of the duration, or remaining share of a limit
    by: Literal["any", "endpoint", "kind", "zone"] = "any"


class Tenant(StrictStruct, kw_only=True):
    """A tenant, with its share of the messages and its quota."""

    name: str
    share: NotNegative = 1.0
    quota: NotNegative = 1e6  # messages per second, over all couriers


class Scenario(StrictStruct, kw_only=True):
    """The whole file. Times in ms or s by the field's name."""

    format: Literal[1] = 1
    name: str
    about: str = ""
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    endpoints: Annotated[int, msgspec.Meta(ge=1)] = 20
    late: Literal["evenly", "halves"] = "halves"
    over_share_worth: NotNegative = 0.1
    fall_multiple: NotNegative = 2.0
    fall_ms: NotNegative = 500.0
    drain_grace_ms: NotNegative = 500.0
    load: Load = msgspec.field(default_factory=Load)
    classes: Annotated[list[MessageClass], msgspec.Meta(min_length=1)]
    kinds: Annotated[list[Kind], msgspec.Meta(min_length=1)]
    tenants: list[Tenant] = []
    net: Net = msgspec.field(default_factory=Net)
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    reports: Reports = msgspec.field(default_factory=Reports)
    clients: Clients = msgspec.field(default_factory=Clients)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    front: Front = msgspec.field(default_factory=Front)
    goal: Goal = msgspec.field(default_factory=Goal)
    prices: Prices = msgspec.field(default_factory=Prices)
    troubles: list[Trouble] = []


def load(name: str, couriers: int = 0, **changes: Any) -> Scenario:
    """A scenario of this package by its name, or a file. `couriers`, if not 0, scales fleet and traffic.

    changes: by path ('load.rate_per_s'), over the file. ScenarioError names what is wrong.
    """
    raw = _read_tables(name)
    for path, value in changes.items():
        _set_value(raw, path.split("."), value, path)
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(" - at `$.")
        raise ScenarioError(f"{location.rstrip('`') or name}: {problem}") from None
    if scenario.load.burst_from > scenario.load.burst_to:
        raise ScenarioError("load.burst_from: must not exceed load.burst_to")
    for path, value in _numbers(scenario, ""):
        low, high = value if isinstance(value, tuple) else (value, value)
        if low < 0:
            raise ScenarioError(f"{path}: must be 0 or more, not {low:g}")
        if low > high:
            raise ScenarioError(f"{path}: must be [min, max], not {list(value)}")
    return scaled(scenario, couriers) if couriers else scenario


def _read_tables(name: str) -> dict[str, Any]:
    """The file's tables merged over those of its `base`, if it names one; a list replaces the base's."""
    path = Path(name) if name.endswith(".toml") else SCENARIO_FOLDER / f"{name}.toml"
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        known = ", ".join(sorted(p.stem for p in SCENARIO_FOLDER.glob("*.toml")))
        raise ScenarioError(f"{name}: no such scenario; there are {known}") from None
    except (OSError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    base = raw.pop("base", None)
    return _merge_tables(_read_tables(base), raw) if base else raw


def _merge_tables(base: dict[str, Any], raw: dict[str, Any]) -> dict[str, Any]:
    merged = {
        k: _merge_tables(base[k], v)
        for k, v in raw.items()
        if isinstance(v, dict) and isinstance(base.get(k), dict)
    }
    return base | raw | merged


def _set_value(raw: dict[str, Any], path: list[str], value: Any, full_path: str) -> None:
    table: Any = raw
    for key in path[:-1]:
        table = table[int(key)] if isinstance(table, list) else table.setdefault(key, {})
        if not isinstance(table, (dict, list)):
            raise ScenarioError(f"{full_path}: no such table")
    if isinstance(table, list):
        table[int(path[-1])] = value
    else:
        table[path[-1]] = value


def scaled(scenario: Scenario, couriers: int) -> Scenario:
    """The same traffic per courier and the same partners per message, with another number of couriers."""
    ratio = couriers / scenario.fleet.couriers
    scenario.fleet.couriers = couriers
    rate = scenario.load.rate_per_s
    scenario.load.rate_per_s = tuple(v * ratio for v in rate) if isinstance(rate, tuple) else rate * ratio
    return scenario


def _numbers(value: Any, path: str):
    """Yields every number and range with its path."""
    for field in msgspec.structs.fields(value):
        field_value, field_path = getattr(value, field.name), f"{path}{field.name}"
        if isinstance(field_value, (tuple, float, int)):
            yield field_path, field_value
        elif isinstance(field_value, msgspec.Struct):
            yield from _numbers(field_value, field_path + ".")
        elif isinstance(field_value, list):
            for index, row in enumerate(field_value):
                yield from _numbers(row, f"{field_path}[{index}].")


def draw(scenario: Scenario, seed: int) -> Scenario:
    """Replaces every range by the number that this seed draws from it. The scenario itself is not changed."""
    return _draw_value(scenario, seed, "")


def _draw_value(value: Any, seed: int, path: str) -> Any:
    if isinstance(value, msgspec.Struct):
        return type(value)(
            **{
                f.name: _draw_value(getattr(value, f.name), seed, f"{path}.{f.name}")
                for f in msgspec.structs.fields(value)
            }
        )
    if isinstance(value, list):
        return [_draw_value(row, seed, f"{path}[{index}]") for index, row in enumerate(value)]
    if isinstance(value, tuple):
        return float(stream(seed, "scenario" + path).uniform(*value))
    return value
