"""Whether an endpoint may get a call now, and whether a message may be sent there."""

from __future__ import annotations

import math

from hopmill.interface import Effect, EndpointState
from hopmill.policy.circuit import Circuits
from hopmill.policy.pacing import Pacing
from hopmill.policy.state import CourierState, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.zones import Zones

DIRTY = 0.15  # share of may-have-run failures over which unsafe messages wait
DIRTY_WAIT_US = 250_000  # until such a message looks again


class Gate:
    def __init__(
        self,
        turn: Turn,
        state: CourierState,
        pacing: Pacing,
        circuits: Circuits,
        timeouts: Timeouts,
        zones: Zones,
        tries: int,
    ) -> None:
        """tries: attempts of one message, at most."""
        self.turn, self.settings, self.state, self.max_attempts = turn, turn.settings, state, tries
        self.pacing, self.circuits, self.timeouts, self.zones = pacing, circuits, timeouts, zones

    def may_serve(self, endpoint: int, zone: int) -> bool:
        """Whether operators let it have calls, and connections for them."""
        return endpoint not in self.state.excluded_endpoints and zone not in self.zones.excluded

    def serves(self, ep: Endpoint) -> bool:
        return ep.state is EndpointState.READY and self.may_serve(ep.id, ep.zone)

    def free(self, ep: Endpoint, quick: bool = False) -> bool:
        """The lane's side: drain, wait, slots, windows, pace, circuit, recovery budget."""
        lane, state, most = ep.lane, self.state, self.pacing.most_out(ep.lane.dest)
        busy = (
            state.calls_in_flight >= self.settings.slots
            or lane.dest.out >= most
            or lane.out >= int(lane.window)
        )
        if busy or not self.serves(ep):
            return False
        if self.turn.now < lane.wait_until_us:
            self.turn.wake(lane.wait_until_us)
            return False
        return self.circuits.allows(ep, quick) and self.pacing.allows(lane)

    def may(self, m: Message, ep: Endpoint) -> bool:
        """The message's side: attempts, effect class, key order, deadline."""
        turn, state, now = self.turn, self.state, self.turn.now
        left = min(m.until, turn.closing) - now - turn.margin
        if turn.closing < math.inf and left < self.timeouts.of(ep.lane):  # it might be cut off at the end
            return False
        if m.closed or m.out or m.tries >= self.max_attempts or left <= 0 or now >= m.last_at(turn.margin):
            return False
        if now < m.ready_at:
            turn.wake(m.ready_at)
            return False
        if turn.thin and ep.c.open and ep.c.tokens < 1.0 and not m.quick:
            return False
        if m.ran_at >= 0 and m.zone_bound and ep.zone != m.ran_zone:
            return False
        if m.key and (state.keys[m.key][0] is not m or m.tries == 0 and now < state.rests.get(m.key, 0)):
            if m.tries == 0 and state.rests.get(m.key, 0) > now:
                turn.wake(state.rests[m.key])
            return False
        # An unsafe message lost to an error is lost for good: it waits while calls there fail that way.
        if m.cls.effect is Effect.UNSAFE and self.circuits.dirt(ep) > DIRTY and left > 4 * ep.lane.mean:
            turn.wake(now + DIRTY_WAIT_US)
            return False
        return True
