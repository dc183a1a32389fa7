"""Which connections are trusted, how many are kept, and what a full table looks like."""

from __future__ import annotations

from hopmill.interface import CloseIdle, Keep, OpenIdle, Result
from hopmill.policy.state import FRESH_US, Call, Endpoint
from hopmill.policy.timeouts import LOSS_MEMORY, LOSSY
from hopmill.policy.turn import Turn

REAP, REGROW = 0.5, 1.25  # idle connections are trusted for this part of the age at which one failed


class Connections:
    def __init__(self, turn: Turn) -> None:
        self.turn, self.settings = turn, turn.settings
        self.keep = turn.settings.connection_idle_us  # idle connections are used up to this age
        self.reaped = 0  # calls lost on idle connections
        self.new_lost = 0.0  # share of calls on new connections that are lost
        self.warm_up = False  # connections may be opened before a message needs them

    def judge(self, ep: Endpoint, result: Result, call: Call) -> None:
        """What an outcome says of the connection that it came over."""
        if call.idle_us < 0:
            alone = result is Result.TIMEOUT and ep.last_ok > call.sent_at  # others were answered meanwhile
            self.new_lost += (alone - self.new_lost) * LOSS_MEMORY
        elif result in (Result.TIMEOUT, Result.RESET):
            # A connection dropped unseen while it was idle: older ones are closed before a call. But where
            # calls on new ones are lost as well, it is not their idling.
            self.reaped += 1
            if self.reaped > 1 and self.new_lost < LOSSY:
                self.keep = min(self.keep, int(REAP * max(call.idle_us, 2 * ep.lane.mean)))
        if result is Result.OK:
            if call.idle_us < 0:
                ep.connection_budget.new_fulls = 0
            else:
                ep.reused_ok = self.turn.now
            if call.idle_us > REAP * REAP * self.keep:
                self.reaped, self.keep = 0, min(self.settings.connection_idle_us, int(self.keep * REGROW))

    def warm(self, ep: Endpoint) -> bool:
        """Whether an idle one can be used."""
        return any(t > self.turn.now - self.keep for t in ep.connection_budget.idle_since_us)

    def lend(self, ep: Endpoint, call: Call) -> None:
        now, oldest = self.turn.now, self.turn.now - self.keep
        if (
            ep.connection_budget.idle_since_us
            and now - self.settings.connection_idle_us < ep.connection_budget.idle_since_us[-1] <= oldest
        ):
            self.turn.actions.append(CloseIdle(ep.id))
        call.idle_us = ep.connection_budget.lend(now, oldest)
        self.size(ep)

    def size(self, ep: Endpoint) -> None:
        """Tell the pool how many connections the endpoint is worth; open the next where that is wanted."""
        most = ep.connection_budget.most(self.turn.now, ep.lane.hold, int(ep.lane.window))
        if most != ep.connection_budget.announced:
            ep.connection_budget.announced = most
            self.turn.actions.append(Keep(ep.id, most))
        # Only to one that answers calls now: it can't show anything of the endpoint, so it is no probe.
        well = not ep.c.open and ep.c.ramp_from < 0 and self.turn.now - ep.last_ok < FRESH_US
        if (
            self.warm_up
            and well
            and not ep.connection_budget.idle_since_us
            and len(ep.out) < min(most, ep.connection_budget.bound)
        ):
            self.turn.actions.append(OpenIdle(ep.id))

    def table_full(self, ep: Endpoint) -> None:
        """The endpoint serves, but takes no further connection: this courier keeps fewer there."""
        held, pause = (
            len(ep.out) + len(ep.connection_budget.idle_since_us),
            max(int(ep.lane.mean), 2 * self.settings.tick_us),
        )
        if ep.connection_budget.full(self.turn.now, held, pause):
            self.turn.log(f"endpoint {ep.id} takes no more connections: {ep.connection_budget.bound} kept")
            self.size(ep)
