"""Which message of a destination is sent next, and to which endpoint."""

from __future__ import annotations

from typing import NamedTuple

from hopmill.policy.connections import Connections
from hopmill.policy.gate import Gate
from hopmill.policy.state import CourierState, Destination, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.worth import Worth
from hopmill.policy.zones import Zones

SLOW_ROUTE_FACTOR = 3.0  # a route with this many times the latency of the fastest one ranks behind it
SHORTAGE_WAIT_FACTOR = 2.0  # of the expected wait for a slot, since newer messages may be sent first


class Pick(NamedTuple):
    """A message that can be sent now, and the endpoint for it. Picks with a smaller `urgency` go first."""

    priority: float  # change of worth by waiting, per slot time: negative, so the greatest loss is smallest
    sequence: int  # order of arrival
    message: Message
    endpoint: Endpoint

    @property
    def urgency(self) -> tuple[float, int]:
        """Sort key; no two picks have the same one."""
        return self.priority, self.sequence


class Ranking:
    """Picks the next message and endpoint of a destination."""

    def __init__(
        self,
        turn: Turn,
        state: CourierState,
        gate: Gate,
        worth: Worth,
        timeouts: Timeouts,
        connections: Connections,
        zones: Zones,
    ) -> None:
        self.turn = turn
        self.settings = turn.settings
        self.state = state
        self.gate = gate
        self.worth = worth
        self.timeouts = timeouts
        self.connections = connections
        self.zones = zones

    def pick(self, destination: Destination) -> Pick | None:
        """Return the message that loses most worth by waiting, and the best endpoint for it, if any."""
        now_us, state = self.turn.now_us, self.state
        has_quick_retry = self.turn.is_large_fleet and any(
            message.failed_quickly and message.ready_us <= now_us for message in destination.queue
        )
        free = [
            endpoint
            for lane in destination.lanes
            for endpoint in lane.endpoints.values()
            if self.gate.has_capacity(endpoint, has_quick_retry)
        ]
        if self.zones.returning:
            free = self.without_returning_zones(destination, free)
        if not free:
            return None
        rate_per_s = sum(lane.pace_per_s or lane.success_rate_per_s or 1.0 for lane in destination.lanes)
        mean_latency_us = max(lane.mean_latency_us for lane in destination.lanes)
        soon_us = now_us + mean_latency_us
        # When slots are short, a message waits for all calls queued before it, and a call that occupies a
        # slot for long keeps others out. Worth is therefore counted per slot time: hung and slow lanes get
        # the slots that are left, else they would take all of them.
        slot_time_us = min(endpoint.lane.slot_time_us for endpoint in free)
        shortage_us = (
            self.timeouts.mean_slot_time_us
            * max(0, len(state.messages) - state.calls_in_flight)
            / self.settings.slots
        )
        late_us = soon_us + max(len(destination.queue) / rate_per_s * 1e6, SHORTAGE_WAIT_FACTOR * shortage_us)
        best: Pick | None = None
        for message in destination.queue:
            key = (
                (self.worth.at(message, late_us) - self.worth.at(message, soon_us)) / slot_time_us,
                message.sequence,
            )
            if (best is None or key < best.urgency) and (
                usable := [endpoint for endpoint in free if self.gate.may_send(message, endpoint)]
            ):
                best = Pick(
                    *key,
                    message,
                    min(usable, key=lambda endpoint, message=message: self.rank(endpoint, message)),
                )
        return best

    def without_returning_zones(self, destination: Destination, free: list[Endpoint]) -> list[Endpoint]:
        """Leave out endpoints of returning zones at random, if the destination has another choice.

        The random choice is made whenever a message could be sent, so that a zone gets its share of those.
        """
        has_other_zone = any(
            self.gate.is_serving(endpoint)
            and endpoint.zone not in self.zones.returning
            and not endpoint.breaker.is_open
            for lane in destination.lanes
            for endpoint in lane.endpoints.values()
        )
        if not has_other_zone:
            return free
        rng, now_us = self.turn.rng, self.turn.now_us
        kept = {zone for zone in list(self.zones.returning) if rng.random() >= self.zones.share(zone, now_us)}
        return [endpoint for endpoint in free if endpoint.zone not in kept]

    def rank(self, endpoint: Endpoint, message: Message) -> tuple:
        """Sort key: healthy, not the one that just failed, fast route, idle connection, cheap, few calls."""
        route_cost = (
            self.settings.zone_fees[endpoint.zone] if endpoint.zone < len(self.settings.zone_fees) else 0.0
        )
        has_warm = self.connections.has_warm(endpoint)
        # Couriers that rank routes alike would all use the same one: choose at random, weighted by the
        # limits.
        if self.turn.is_large_fleet:
            route_cost = self.turn.rng.expovariate(
                (endpoint.lane.limit_share_per_s or 1.0) * (1.05 - endpoint.lane.refused_share)
            )
        quickest_us = min(
            (other.mean_latency_us for other in endpoint.lane.destination.lanes if other.mean_latency_us),
            default=0.0,
        )
        # Calls of a slow route occupy the destination's slots, which a fast route could use.
        is_slow = endpoint.lane.mean_latency_us > SLOW_ROUTE_FACTOR * quickest_us
        return (
            endpoint.breaker.is_open,
            endpoint is message.last_endpoint,
            int(endpoint.failure_share * 4),
            is_slow,
            not has_warm,
            route_cost,
            len(endpoint.calls_in_flight),
            endpoint.id,
        )
