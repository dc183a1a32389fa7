"""What the policy has learned, handed over to the next process at an upgrade.

The figures are handed over by names that other builds know; "carried" in names means "handed over".
"""

from __future__ import annotations

from collections.abc import Iterable

from hopmill.policy.admission import Admission
from hopmill.policy.connections import Connections
from hopmill.policy.state import Endpoint
from hopmill.policy.timeouts import Timeouts

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

    def __init__(self, timeouts: Timeouts, connections: Connections, admission: Admission) -> None:
        """Take the modules that hold the overall figures."""
        self.timeouts = timeouts
        self.connections = connections
        self.admission = admission

    def collect(self, endpoint: Endpoint) -> dict[str, float]:
        """Return the figures of an endpoint, its breaker, lane and connections, and the overall ones."""
        return {name: getattr(owner, attribute) for name, owner, attribute in self._attributes(endpoint)}

    def restore(self, endpoint: Endpoint, figures: dict[str, float]) -> None:
        """Take over figures of the previous process. Unknown names are ignored."""
        for name, owner, attribute in self._attributes(endpoint):
            current = getattr(owner, attribute)
            setattr(owner, attribute, type(current)(figures.get(name, current)))

    def _attributes(self, endpoint: Endpoint) -> Iterable[tuple[str, object, str]]:
        """(name, object that holds it, attribute) of each figure."""
        for part, owners in self._owners(endpoint).items():
            for name, attribute in CARRIED[part].items():
                owner = next(owner for owner in owners if hasattr(owner, attribute))
                yield f"{part}.{name}", owner, attribute

    def _owners(self, endpoint: Endpoint) -> dict[str, tuple[object, ...]]:
        """Return the objects that may hold the attributes of each part of CARRIED."""
        return {
            "ep": (endpoint,),
            "circuit": (endpoint.breaker,),
            "lane": (endpoint.lane,),
            "links": (endpoint.connection_budget,),
            "all": (self.timeouts, self.connections, self.admission),
        }
