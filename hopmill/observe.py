"""What a running decision module looks like from outside, as plain rows. Reads only; decides nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hopmill.policy.courier import Courier
from hopmill.policy.state import Circuit, Lane


@dataclass(frozen=True)
class LaneRow:
    """What shares one limit: a partner, or one route of it."""

    partner: int
    endpoint: int | None  # of a route apart; None for a whole partner
    queued: int  # messages that wait, of the whole partner
    calls_in_flight: int  # calls in flight
    window: float  # calls that may be in flight, 0 for a lane that is paced instead
    pace_per_s: float  # calls a second that it is held to, 0 if none
    limit_share_per_s: float  # this courier's part of the limit, calls a second, 0 if none is known
    refused_share: float  # share of its calls refused lately
    wait_us: int  # until a told wait ends


def lanes(courier: Courier, now_us: int) -> Iterator[LaneRow]:
    """One row a lane."""
    for dest in courier.state.destinations.values():
        apart = courier.settings.kinds[dest.kind].routes_apart
        for lane in dest.lanes:
            yield LaneRow(
                dest.number,
                next(iter(lane.endpoints), None) if apart else None,
                len(dest.queue),
                lane.out,
                0.0 if lane.pace_per_s else lane.window,
                lane.pace_per_s,
                lane.limit_share_per_s,
                lane.refused_share,
                max(0, lane.wait_until_us - now_us),
            )


def circuit_state(circuit: Circuit) -> str:
    """'open' lets trials only through, 'slow_start' a growing share, 'closed' all."""
    return "open" if circuit.open else "slow_start" if circuit.ramp_from >= 0 else "closed"


def breaker_counts(courier: Courier) -> Counter[str]:
    """Circuits by state; one that several endpoints share counts once."""
    distinct = {id(ep.c): ep.c for ep in courier.state.endpoints.values()}
    states = Counter({"open": 0, "slow_start": 0, "closed": 0})
    states.update(map(circuit_state, distinct.values()))
    return states


def endpoint_rows(courier: Courier, name: Callable[[int], str]) -> list[dict[str, object]]:
    """For staff: each endpoint of the list with its partner, zone number, state and calls."""
    return [
        {
            "endpoint": name(ep.id),
            "partner": _partner(ep.lane),
            "zone": ep.zone,
            "state": ep.state.name.lower(),
            "circuit": circuit_state(ep.c),
            "out": len(ep.out),
            "failing_share": round(ep.bad, 3),
            "out_by_hand": ep.id in courier.state.excluded_endpoints,
        }
        for ep in courier.state.endpoints.values()
    ]


def _partner(lane: Lane) -> int:
    return lane.dest.number
