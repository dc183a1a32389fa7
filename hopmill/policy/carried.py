"""What the policy has learned, handed over to the next process at an upgrade.

The figures are handed over by names that other builds know; "carried" in names means "handed over".
"""

from __future__ import annotations

from collections.abc import Iterable

from hopmill.interface import EndedInFlight, LaneCarried, OrderPauseCarried
from hopmill.policy.admission import Admission
from hopmill.policy.connections import Connections
from hopmill.policy.state import CircuitBreaker, CourierState, Destination, Endpoint, Lane
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn

Owners = dict[str, tuple[object, ...]]  # by part of CARRIED

# By part: the name under which a figure is handed over, and the attribute that holds the value.
CARRIED = {
    "ep": {
        "bad": "failure_share",
        "dirty": "ambiguous_share",
        "dirty_at": "ambiguous_updated_us",
        "last_ok": "last_success_us",
    },
    "circuit": {
        "bad": "failure_share",
        "open": "is_open",
        "trial_at": "next_trial_us",
        "gap": "trial_gap_us",
        "ramp_from": "slow_start_began_us",
        "base": "warm_rate_per_s",
        "tokens": "tokens",
        "stamp": "refilled_us",
    },
    "lane": {
        "share": "limit_share_per_s",
        "reported": "has_reported_limit",
        "rate": "pace_per_s",
        "brink": "last_refused_rate_per_s",
        "tokens": "tokens",
        "stamp": "refilled_us",
        "wait_until": "wait_until_us",
        "cut_at": "next_cut_us",
        "refused": "refused_share",
        "window": "window",
        "fulls": "consecutive_refusals",
        "mean": "mean_latency_us",
        "dev": "latency_deviation_us",
        "hold": "slot_time_us",
        "seen": "success_rate_per_s",
        "seen_at": "last_success_us",
    },
    "links": {
        "calls": "recent_calls",
        "counted_at": "counted_us",
        "first_at": "first_call_us",
        "part": "table_share",
        "bound": "max_connections",
        "grow_at": "next_growth_us",
    },
    "all": {
        "hold": "mean_slot_time_us",
        "loss": "loss_share",
        "new_lost": "new_loss_share",
        "keep": "max_idle_us",
        "reaped": "idle_losses",
        "unreturned": "refusals_without_resubmission",
    },
}


class CarriedFigures:
    """Collects what a courier has learned, to hand it over at an upgrade, and restores it afterwards."""

    def __init__(
        self,
        turn: Turn,
        state: CourierState,
        timeouts: Timeouts,
        connections: Connections,
        admission: Admission,
    ) -> None:
        """Take the modules that hold the figures."""
        self.turn = turn
        self.state = state
        self.timeouts = timeouts
        self.connections = connections
        self.admission = admission

    def collect(self) -> list[tuple[int, dict[str, float]]]:
        """Return what was learned of each endpoint: [(endpoint, {name: value})], for Carried events."""
        return [
            (endpoint.id, self._collect(self._owners(endpoint))) for endpoint in self.state.endpoints.values()
        ]

    def collect_lanes(self) -> list[LaneCarried]:
        """Return the figures of destinations that have no endpoints now; their next endpoints get them."""
        return [
            LaneCarried(destination.number, destination.kind, self._collect(_lane_owners(lane)))
            for destination in self.state.destinations.values()
            if len(destination.lanes) == 1 and not (lane := destination.lanes[0]).endpoints
        ]

    def collect_order_pauses(self) -> list[OrderPauseCarried]:
        """Return the pauses of order keys."""
        return [OrderPauseCarried(*pause) for pause in self.state.order_pauses_us.items()]

    def collect_ended_in_flight(self) -> list[EndedInFlight]:
        """Return the messages that have ended while an attempt of them is in flight."""
        ended = {message.id: message for _, message in self.state.calls.values() if message.is_closed}
        classes = self.turn.settings.classes
        return [
            EndedInFlight(
                message.id,
                classes.index(message.message_class),
                message.destination.number,
                message.order_key,
            )
            for message in ended.values()
        ]

    def restore(self, endpoint: Endpoint, figures: dict[str, float]) -> None:
        """Take over figures of the previous process. Unknown names are ignored."""
        self._restore(self._owners(endpoint), figures)

    def restore_lane(self, event: LaneCarried) -> None:
        """Take over a lane without endpoints, unless its destination has endpoints again."""
        destination = self.state.destinations.setdefault(event.destination, Destination(event.destination))
        if destination.lanes:
            return
        destination.kind = min(event.kind, len(self.turn.settings.kinds) - 1)
        lane = Lane(destination, CircuitBreaker() if self.turn.is_large_fleet else None)
        destination.lanes.append(lane)
        self._restore(_lane_owners(lane), event.figures)

    @staticmethod
    def _collect(owners: Owners) -> dict[str, float]:
        return {name: getattr(owner, attribute) for name, owner, attribute in _attributes(owners)}

    @staticmethod
    def _restore(owners: Owners, figures: dict[str, float]) -> None:
        for name, owner, attribute in _attributes(owners):
            current = getattr(owner, attribute)
            setattr(owner, attribute, type(current)(figures.get(name, current)))

    def _owners(self, endpoint: Endpoint) -> Owners:
        """Return the objects that may hold the attributes of each part of CARRIED."""
        return {
            "ep": (endpoint,),
            "circuit": (endpoint.breaker,),
            "lane": (endpoint.lane,),
            "links": (endpoint.connection_budget,),
            "all": (self.timeouts, self.connections, self.admission),
        }


def _lane_owners(lane: Lane) -> Owners:
    return {"lane": (lane,)} | ({"circuit": (lane.breaker,)} if lane.breaker else {})


def _attributes(owners: Owners) -> Iterable[tuple[str, object, str]]:
    """(name, object that holds it, attribute) of each figure."""
    for part, holders in owners.items():
        for name, attribute in CARRIED[part].items():
            owner = next(holder for holder in holders if hasattr(holder, attribute))
            yield f"{part}.{name}", owner, attribute
