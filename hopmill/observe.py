"""The state of a running courier as plain rows, for metrics and the operator API. Reads only."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hopmill.policy.courier import Courier
from hopmill.policy.state import CircuitBreaker, Lane


@dataclass(frozen=True)
class LaneRow:
    """The endpoints that share one rate limit: those of a partner, or of one route of it."""

    partner: int
    endpoint: int | None  # of a separate route; None for a whole partner
    queued: int  # messages waiting, of the whole partner
    calls_in_flight: int
    window: float  # calls that may be in flight; 0 for a lane that is paced instead
    pace_per_s: float  # calls per second that the lane is held to; 0 if none
    limit_share_per_s: float  # this courier's share of the limit in calls per second; 0 if none is known
    refused_share: float  # moving share of calls refused as full
    wait_us: int  # until an announced wait or a backoff ends


def lanes(courier: Courier, now_us: int) -> Iterator[LaneRow]:
    """One row per lane."""
    for destination in courier.state.destinations.values():
        apart = courier.settings.kinds[destination.kind].routes_apart
        for lane in destination.lanes:
            yield LaneRow(
                destination.number,
                next(iter(lane.endpoints), None) if apart else None,
                len(destination.queue),
                lane.calls_in_flight,
                0.0 if lane.pace_per_s else lane.window,
                lane.pace_per_s,
                lane.limit_share_per_s,
                lane.refused_share,
                max(0, lane.wait_until_us - now_us),
            )


def breaker_state(breaker: CircuitBreaker) -> str:
    """'open': half-open trial calls only; 'slow_start': a growing share of calls; 'closed': all calls."""
    return "open" if breaker.is_open else "slow_start" if breaker.slow_start_began_us >= 0 else "closed"


def breaker_counts(courier: Courier) -> Counter[str]:
    """Circuit breakers by state. One that several endpoints share counts once."""
    distinct = {id(endpoint.breaker): endpoint.breaker for endpoint in courier.state.endpoints.values()}
    states = Counter({"open": 0, "slow_start": 0, "closed": 0})
    states.update(map(breaker_state, distinct.values()))
    return states


def endpoint_rows(courier: Courier, name: Callable[[int], str]) -> list[dict[str, object]]:
    """For the operator API: each listed endpoint with its partner, zone number, state and calls."""
    return [
        {
            "endpoint": name(endpoint.id),
            "partner": _partner(endpoint.lane),
            "zone": endpoint.zone,
            "state": endpoint.state.name.lower(),
            "circuit": breaker_state(endpoint.breaker),
            "out": len(endpoint.calls_in_flight),
            "failing_share": round(endpoint.failure_share, 3),
            "out_by_hand": endpoint.id in courier.state.excluded_endpoints,
        }
        for endpoint in courier.state.endpoints.values()
    ]


def _partner(lane: Lane) -> int:
    return lane.destination.number
