"""Which message of a destination goes next, and to which endpoint."""

from __future__ import annotations

from hopmill.policy.connections import Connections
from hopmill.policy.gate import Gate
from hopmill.policy.state import CourierState, Destination, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.worth import Worth
from hopmill.policy.zones import Zones

SLOW_X = 3.0  # a route whose calls last this many times the quickest one's is used after that
LASTS = 2.0  # what is put off for want of slots waits this many times the queue: new messages come first

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
        self.turn, self.settings, self.state, self.gate, self.worth = turn, turn.settings, state, gate, worth
        self.timeouts, self.connections, self.zones = timeouts, connections, zones

    def pick(self, dest: Destination) -> Pick | None:
        """The message that loses most by waiting, and the endpoint for it."""
        now, state = self.turn.now, self.state
        quick = self.turn.thin and any(m.quick and m.ready_at <= now for m in dest.queue)
        free = [ep for lane in dest.lanes for ep in lane.endpoints.values() if self.gate.free(ep, quick)]
        if self.zones.returning:
            free = self.returning(dest, free)
        if not free:
            return None
        rate = sum(lane.pace_per_s or lane.seen or 1.0 for lane in dest.lanes)
        mean = max(lane.mean for lane in dest.lanes)
        soon = now + mean
        # Where slots are short, what waits for them waits for all calls queued, and one that holds its slot
        # long costs others theirs: hung and slow lanes get what is left (they had eaten all slots).
        hold = min(ep.lane.hold for ep in free)
        short = self.timeouts.hold * max(0, len(state.messages) - state.calls_in_flight) / self.settings.slots
        late = soon + max(len(dest.queue) / rate * 1e6, LASTS * short)
        best: Pick | None = None
        for m in dest.queue:
            key = ((self.worth.at(m, late) - self.worth.at(m, soon)) / hold, m.seq)
            if (best is None or key < best[:2]) and (fit := [ep for ep in free if self.gate.may(m, ep)]):
                best = (*key, m, min(fit, key=lambda ep, m=m: self.rank(ep, m)))
        return best

    def returning(self, dest: Destination, free: list[Endpoint]) -> list[Endpoint]:
        """Without what returning zones may not have yet, where the destination has another choice. The chance
        is taken each time that a message could go, so it is the share of those."""
        other = any(
            self.gate.serves(ep) and ep.zone not in self.zones.returning and not ep.c.open
            for lane in dest.lanes
            for ep in lane.endpoints.values()
        )
        if not other:
            return free
        chance, now = self.turn.random, self.turn.now
        kept = {z for z in list(self.zones.returning) if chance.random() >= self.zones.share(z, now)}
        return [ep for ep in free if ep.zone not in kept]

    def rank(self, ep: Endpoint, m: Message) -> tuple:
        """Healthy first, then not the one that just failed, one with an idle connection, the cheap one."""
        fee = self.settings.zone_fees[ep.zone] if ep.zone < len(self.settings.zone_fees) else 0.0
        warm = self.connections.warm(ep)
        if self.turn.thin:  # couriers that rank alike pile onto one route: by chance, as the rates
            fee = self.turn.random.expovariate(
                (ep.lane.limit_share_per_s or 1.0) * (1.05 - ep.lane.refused_share)
            )
        quickest = min((x.mean for x in ep.lane.dest.lanes if x.mean), default=0.0)
        slow = ep.lane.mean > SLOW_X * quickest  # its calls hold the destination's slots from a quick route
        return (ep.c.open, ep is m.last, int(ep.bad * 4), slow, not warm, fee, len(ep.out), ep.id)
