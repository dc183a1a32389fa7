"""The faults of a soak, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass
from enum import Enum

from hopmill.soak.agent import Refusal

FAULT_FREE_S = 0.5  # before the first fault, and between the last one and the end of the load


class Kind(Enum):
    """What happens: to a process, its agent, endpoints, its clients, or the shared server of discovery."""

    KILL = "kill"  # SIGKILL, and an endpoint begins to drain; after `duration_s` it starts again
    RESTART = "restart"  # SIGTERM; after its end it starts again
    PAUSE = "pause"  # SIGSTOP for `duration_s`
    RELOAD = "reload"  # SIGHUP
    DISK_FULL = "disk_full"  # no file grows by more than `spare_bytes` for `duration_s`
    CLOCK_STEP = "clock_step"  # its wall clock is set `step_s` off from then on
    CONNECT_ERROR = "connect_error"  # its connects fail with `error` for `duration_s`
    ACCEPT_ERROR = "accept_error"  # so does accept
    SHORT_IO = "short_io"  # its reads and writes of sockets move at most `spare_bytes` for `duration_s`
    AGENT_DOWN = "agent_down"  # it is silent and learns nothing for `duration_s`
    AGENT_AWAY = "agent_away"  # it does not listen, and its connections end, for `duration_s`
    WATCH_CUT = "watch_cut"  # the watch ends, and so do the next answers, in the middle of a list
    WATCH_MUTE = "watch_mute"  # nothing more arrives on the open watch
    OUTAGE = "outage"  # all endpoints of a partner are down for `duration_s`, and come back cold
    DRAIN = "drain"  # an endpoint begins to drain; it is gone after `duration_s`, and another one comes
    ZONE_MOVE = "zone_move"  # an endpoint answers nothing for `duration_s`, and is listed in another zone
    CLIENTS_HOLD = "clients_hold"  # many clients send large requests, or stop in the middle of one
    CLIENTS_FLOOD = "clients_flood"  # requests with thousands of fields, or one connection at full speed
    CLIENTS_LEAVE = "clients_leave"  # they send requests to a process that is stopped, and leave
    DISCOVERY_SLOW = "discovery_slow"  # it tells all it has `late_s` late, and an endpoint begins to drain
    DISCOVERY_REFUSING = "discovery_refusing"  # it refuses watches for `duration_s`, by `refusal`; the same
    DISCOVERY_SLOW_START = "discovery_slow_start"  # SIGKILL, a drain, and a start while it is `late_s` late


CALL_KINDS = (Kind.SHORT_IO, Kind.CLOCK_STEP, Kind.CONNECT_ERROR, Kind.ACCEPT_ERROR)
AGENT_KINDS = (Kind.AGENT_DOWN, Kind.AGENT_AWAY, Kind.WATCH_CUT, Kind.WATCH_MUTE)
CLIENT_KINDS = (Kind.CLIENTS_HOLD, Kind.CLIENTS_FLOOD, Kind.CLIENTS_LEAVE)
DISCOVERY_KINDS = (Kind.DISCOVERY_SLOW, Kind.DISCOVERY_REFUSING, Kind.DISCOVERY_SLOW_START)
DISCOVERY_FAULT_AT_S = (0.5, 1.5)  # early, since a change may bind as late as 6 s after discovery is back
ZONE_MOVES_PER_S = 0.15
CLIENT_FAULTS_PER_S = 0.1  # for each courier
WEIGHTS = {
    Kind.KILL: 3,
    Kind.RESTART: 1,
    Kind.PAUSE: 3,
    Kind.RELOAD: 1,
    Kind.DISK_FULL: 2,
    Kind.CLOCK_STEP: 1,
    Kind.CONNECT_ERROR: 2,
    Kind.ACCEPT_ERROR: 2,
    Kind.SHORT_IO: 1,
    Kind.AGENT_DOWN: 1,
    Kind.AGENT_AWAY: 2,
    Kind.WATCH_CUT: 2,
    Kind.WATCH_MUTE: 1,
    Kind.OUTAGE: 2,
    Kind.DRAIN: 6,
}
DURATIONS_S = {
    Kind.KILL: (0.05, 1.2),
    Kind.PAUSE: (0.05, 0.15),  # the longest hold-up that the grace of a drain has to cover
    Kind.DISK_FULL: (0.2, 3.0),
    Kind.CONNECT_ERROR: (0.05, 1.5),
    Kind.ACCEPT_ERROR: (0.05, 1.5),
    Kind.SHORT_IO: (0.2, 2.0),
    Kind.AGENT_DOWN: (0.5, 4.0),
    Kind.AGENT_AWAY: (0.2, 3.0),
    Kind.OUTAGE: (1.0, 4.0),
    Kind.DRAIN: (1.0, 2.5),
    Kind.ZONE_MOVE: (1.0, 2.5),
    Kind.CLIENTS_HOLD: (0.5, 1.5),
    Kind.CLIENTS_FLOOD: (0.5, 1.5),
    Kind.CLIENTS_LEAVE: (0.05, 0.15),
    Kind.DISCOVERY_SLOW: (10.0, 10.0),
    Kind.DISCOVERY_REFUSING: (3.0, 5.0),
    Kind.DISCOVERY_SLOW_START: (6.3, 6.3),  # a drain that discovery has for longer binds at the start
}
LATENESS_S = {Kind.DISCOVERY_SLOW: (2.5, 5.5), Kind.DISCOVERY_SLOW_START: (1.5, 4.5)}
MAX_START_PAUSE_S = 0.6  # how long a process is stopped during its start, at most
MAX_SPARE_BYTES = 200  # about two records
CLOCK_STEPS_S = (-3600.0, -30.0, -1.0, 1.0, 30.0, 3600.0)
ERRORS = {
    Kind.CONNECT_ERROR: ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH"),
    Kind.ACCEPT_ERROR: ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"),
}
MAX_CHOICE = 0.999
MAX_CUTS = 3  # answers in a row that are cut


@dataclass(frozen=True)
class Fault:
    """One fault. Times are in seconds from the start of the load."""

    at_s: float
    kind: Kind
    duration_s: float = 0.0
    courier: int = 0
    start_pause_s: float = 0.0  # KILL, RESTART: how long the next process is stopped during its start
    cuts: int = 0  # WATCH_CUT: how many answers are cut
    choice: float = 0.0  # which endpoint drains, or which partner is out, as a share of those that may
    spare_bytes: int = 0  # DISK_FULL, SHORT_IO
    step_s: float = 0.0  # CLOCK_STEP
    error: str = ""  # CONNECT_ERROR, ACCEPT_ERROR: name of the errno
    late_s: float = 0.0  # DISCOVERY_SLOW, DISCOVERY_SLOW_START
    refusal: str = ""  # DISCOVERY_REFUSING

    def as_json(self) -> dict[str, object]:
        """Return the fields that are set, for the schedule of a run that failed."""
        return {name: value for name, value in asdict(self).items() if value} | {"kind": self.kind.value}


def _draw_choice(rng: random.Random) -> float:
    """Return a share below 1, so that it chooses one of any number."""
    return min(MAX_CHOICE, round(rng.random(), 3))


def draw(seed: int, seconds: float, couriers: int, faults_per_s: float) -> list[Fault]:
    """Return the faults of a soak, in order of time. The same arguments give the same faults."""
    rng = random.Random(f"soak {seed}")
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    faults: list[Fault] = []
    at_s = FAULT_FREE_S
    while (at_s := at_s + rng.expovariate(faults_per_s)) < seconds - FAULT_FREE_S:
        kind = rng.choices(kinds, weights)[0]
        faults.append(
            Fault(
                round(at_s, 3),
                kind,
                round(rng.uniform(*DURATIONS_S.get(kind, (0.0, 0.0))), 3),
                rng.randrange(couriers) if kind not in (Kind.DRAIN, Kind.OUTAGE) else 0,
                round(rng.uniform(0, MAX_START_PAUSE_S), 3) if kind in (Kind.KILL, Kind.RESTART) else 0.0,
                rng.randint(1, MAX_CUTS) if kind is Kind.WATCH_CUT else 0,
                _draw_choice(rng),
                rng.randrange(1, MAX_SPARE_BYTES) if kind in (Kind.DISK_FULL, Kind.SHORT_IO) else 0,
                rng.choice(CLOCK_STEPS_S) if kind is Kind.CLOCK_STEP else 0.0,
                rng.choice(ERRORS[kind]) if kind in ERRORS else "",
            )
        )
    return faults


def draw_client_faults(seed: int, seconds: float, couriers: int) -> list[Fault]:
    """Return the faults that clients cause, in order of time; drawn apart from the others."""
    rng = random.Random(f"soak clients {seed}")
    faults: list[Fault] = []
    at_s = FAULT_FREE_S
    while (at_s := at_s + rng.expovariate(CLIENT_FAULTS_PER_S * couriers)) < seconds - FAULT_FREE_S:
        kind = rng.choice(CLIENT_KINDS)
        duration_s = round(rng.uniform(*DURATIONS_S[kind]), 3)
        courier = rng.randrange(couriers)
        faults.append(Fault(round(at_s, 3), kind, duration_s, courier, choice=_draw_choice(rng)))
    return faults


def asks_shared_server(courier: int) -> bool:
    """Return whether this courier of a soak asks a shared server for the list; the others have an agent."""
    return courier % 2 == 1


def draw_discovery_faults(seed: int, couriers: int) -> list[Fault]:
    """Return a fault of the shared server for each courier that asks it; drawn apart from the others."""
    rng = random.Random(f"soak discovery {seed}")
    faults = []
    for courier in filter(asks_shared_server, range(couriers)):
        kind = rng.choice(DISCOVERY_KINDS)
        faults.append(
            Fault(
                round(rng.uniform(*DISCOVERY_FAULT_AT_S), 3),
                kind,
                round(rng.uniform(*DURATIONS_S[kind]), 3),
                courier,
                choice=_draw_choice(rng),
                late_s=round(rng.uniform(*LATENESS_S[kind]), 3) if kind in LATENESS_S else 0.0,
                refusal=rng.choice(list(Refusal)).value if kind is Kind.DISCOVERY_REFUSING else "",
            )
        )
    return faults


def draw_zone_moves(seed: int, seconds: float) -> list[Fault]:
    """Return the moves of endpoints to another zone, in order of time; drawn apart from the others."""
    rng = random.Random(f"soak zones {seed}")
    faults: list[Fault] = []
    at_s = FAULT_FREE_S
    while (at_s := at_s + rng.expovariate(ZONE_MOVES_PER_S)) < seconds - FAULT_FREE_S:
        duration_s = round(rng.uniform(*DURATIONS_S[Kind.ZONE_MOVE]), 3)
        faults.append(Fault(round(at_s, 3), Kind.ZONE_MOVE, duration_s, choice=_draw_choice(rng)))
    return faults
