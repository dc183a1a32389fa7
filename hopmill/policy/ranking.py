"""Which message of a destination goes next, and to which endpoint."""

from __future__ import annotations

from hopmill.policy.connections import Connections
from hopmill.policy.gate import Gate
from hopmill.policy.state import CourierState, Destination, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.worth import Worth
from hopmill.policy.zones import Zones

SLOW_ROUTE_FACTOR = 3.0  # a route whose calls last this many times the quickest one's is used after that
SHORTAGE_WAIT_FACTOR = (
    2.0  # what is put off for want of slots waits this many times the queue: new messages come first
)

Pick = tuple[float, int, Message, Endpoint]


class Ranking:
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
        """The message that loses most by waiting, and the endpoint for it."""
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
        # Where slots are short, what waits for them waits for all calls queued, and one that holds its slot
        # long costs others theirs: hung and slow lanes get what is left (they had eaten all slots).
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
            if (best is None or key < best[:2]) and (
                usable := [endpoint for endpoint in free if self.gate.may_send(message, endpoint)]
            ):
                best = (
                    *key,
                    message,
                    min(usable, key=lambda endpoint, message=message: self.rank(endpoint, message)),
                )
        return best

    def without_returning_zones(self, destination: Destination, free: list[Endpoint]) -> list[Endpoint]:
        """Without what returning zones may not have yet, where the destination has another choice. The chance
        is taken each time that a message could go, so it is the share of those."""
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
        """Healthy first, then not the one that just failed, one with an idle connection, the cheap one."""
        route_cost = (
            self.settings.zone_fees[endpoint.zone] if endpoint.zone < len(self.settings.zone_fees) else 0.0
        )
        has_warm = self.connections.has_warm(endpoint)
        if self.turn.is_large_fleet:  # couriers that rank alike pile onto one route: by chance, as the rates
            route_cost = self.turn.rng.expovariate(
                (endpoint.lane.limit_share_per_s or 1.0) * (1.05 - endpoint.lane.refused_share)
            )
        quickest_us = min(
            (other.mean_latency_us for other in endpoint.lane.destination.lanes if other.mean_latency_us),
            default=0.0,
        )
        is_slow = (
            endpoint.lane.mean_latency_us > SLOW_ROUTE_FACTOR * quickest_us
        )  # its calls hold the destination's slots from a quick route
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
