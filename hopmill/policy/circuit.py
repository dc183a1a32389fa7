"""Whether calls may go where they failed, and how many to what returns: trials, then a slow start."""

from __future__ import annotations

from hopmill.interface import EndpointState, Result
from hopmill.policy.pacing import SPARE
from hopmill.policy.state import Circuit, Endpoint
from hopmill.policy.turn import Turn

MEMORY = 0.25  # weight of the newest outcome in the failing share
STRUCK = 0.5  # failing share at which an endpoint counts as in trouble: three failures in a row from none
TWICE = 0.4  # failing share after two failures in a row
GAP_US, GAP_CAP_US = 400_000, 2_500_000  # first and longest ceiling of the gap between half-open trials
DIRTY_FADE = 0.6  # the share of may-have-run failures fades by itself in this part of the cold time
RAMP = 0.8  # share of the contract's fall multiple that recovery uses: the rest is for chance


class Circuits:
    def __init__(self, turn: Turn) -> None:
        self.turn, self.settings = turn, turn.settings

    def warm(self, circuit: Circuit) -> float:
        """Share of its usual calls that a returning endpoint may get."""
        c = self.settings.cold_share
        since = self.turn.now if circuit.open else circuit.ramp_from
        warm = c + (1 - c) * (self.turn.now - since) / max(1, self.settings.cold_us)
        return min(1.0, RAMP * self.settings.fall_multiple * warm)

    def arrival(self, c: Circuit, lanes: int) -> None:
        """A returning destination gets a share of what comes in anew: summed over a large fleet it follows
        the total, whoever gets it. None is saved up: all told to wait come back in the same moment."""
        if c.open or c.ramp_from >= 0:
            c.tokens = min(1.0, c.tokens + self.warm(c) / lanes)

    def base(self, ep: Endpoint) -> None:
        # A lane that fails over and over shows few successes: its warm rate is the best one seen. But the
        # floors of hundreds of couriers add up: there it is the own traffic, whose sum follows the total.
        turn = self.turn
        own = ep.lane.dest.arrivals / max(turn.now - turn.start, self.settings.cold_us, 1) * 1e6
        floor = max(ep.c.base, ep.lane.limit_share_per_s or ep.lane.seen * SPARE, 0.5)
        ep.c.base = (ep.lane.limit_share_per_s or own) if turn.thin else floor

    def start_cold(self, ep: Endpoint) -> None:
        """It was away by hand, and was restarted meanwhile."""
        self.base(ep)
        ep.bad = ep.dirty = ep.c.bad = 0.0
        ep.c.open, ep.c.trial, ep.c.gap, ep.c.tokens = False, None, 0, 1.0
        ep.c.ramp_from = ep.c.stamp = self.turn.now
        self.turn.log(f"endpoint {ep.id} may serve again: slow start")

    def trip(self, ep: Endpoint, sign: str) -> None:
        """Open the circuit: only trials, with growing jittered gaps."""
        turn = self.turn
        if not ep.c.open:
            self.base(ep)
            if turn.thin and ep.c.ramp_from < 0:
                ep.c.tokens = turn.random.random()  # chance sets who may try first
            turn.log(f"endpoint {ep.id} in trouble ({sign}): trials only")
        ep.c.open, ep.c.ramp_from = True, -1
        ep.c.gap = min(GAP_CAP_US, ep.c.gap * 2 or GAP_US)
        ep.c.trial_at = turn.now + int(turn.random.uniform(0.5, 1) * ep.c.gap)

    def dirt(self, ep: Endpoint) -> float:
        """Share of its calls that failed though they may have run."""
        return ep.dirty * max(
            0.0, 1 - (self.turn.now - ep.dirty_at) / max(1.0, DIRTY_FADE * self.settings.cold_us)
        )

    def soiled(self, ep: Endpoint) -> None:
        ep.dirty, ep.dirty_at = self.dirt(ep) + MEMORY * (1 - self.dirt(ep)), self.turn.now

    def shut(self, ep: Endpoint) -> None:
        """Told so long a wait that it is no end of a rate's span."""
        ep.bad = ep.c.bad = 1.0
        self.trip(ep, "shut")

    def failed(self, ep: Endpoint, result: Result, trial: bool, weight: float) -> None:
        """weight: of this failure as evidence, from 0 to 1."""
        thin = self.turn.thin
        ep.bad += MEMORY * (1 - ep.bad) * weight
        ep.c.bad += MEMORY * (1 - ep.c.bad) * weight
        if ep.c.ramp_from >= 0 and ep.c.bad >= STRUCK / 2:
            ep.c.ramp_from = self.turn.now
        # In a large fleet one failure opens it, or two lost calls: three each of hundreds of couriers are
        # more than a cold destination bears. One may be chance: the next answer closes it.
        first = thin and result is not Result.FULL
        first = first and (result is not Result.TIMEOUT or ep.c.bad >= TWICE)
        if ep.c.bad >= STRUCK or ep.c.open and trial or first:
            if result is not Result.ERROR or thin:
                self.trip(ep, result.value)
                return
            # It answers, but with errors: some calls still get through, so it goes on at a cold start's pace,
            # which it can take when they stop. Trials alone lost what half-failing ones still deliver.
            if ep.c.ramp_from < 0:
                self.turn.log(f"endpoint {ep.id} answers with errors: cold pace")
            self.base(ep)
            ep.c.open, ep.c.gap, ep.c.ramp_from = False, 0, self.turn.now

    def answered(self, ep: Endpoint) -> None:
        ep.bad, ep.c.bad = ep.bad * (1 - MEMORY), ep.c.bad * (1 - MEMORY)
        ep.dirty, ep.dirty_at = self.dirt(ep) * (1 - MEMORY), self.turn.now

    def closes(self, ep: Endpoint) -> None:
        """After a delivery: trials end, or the slow start does."""
        now, thin = self.turn.now, self.turn.thin
        if ep.c.open:
            ep.c.open = False
            if not thin or ep.c.bad >= TWICE * (1 - MEMORY):  # one failure was no outage
                ep.c.ramp_from = ep.c.stamp = now
                if not thin:
                    ep.c.tokens = 1.0
                self.turn.log(f"endpoint {ep.id} answers again: slow start")
            ep.c.gap, ep.c.bad = 0, min(ep.c.bad, STRUCK * 0.8)
        elif 0 <= ep.c.ramp_from <= now - self.settings.cold_us or thin and self.warm(ep.c) >= 1:
            ep.c.ramp_from = -1

    def allows(self, ep: Endpoint, quick: bool) -> bool:
        """quick: a message waits that failed so soon that it may be tried again, outage or not."""
        now, thin = self.turn.now, self.turn.thin
        if ep.c.open:
            if ep.c.trial is not None or thin and ep.c.tokens < 1.0 and not quick:
                return False
            if not thin and now < ep.c.trial_at:
                self.turn.wake(ep.c.trial_at)
                return False
        elif ep.c.ramp_from >= 0:
            ready = sum(1 for x in ep.lane.endpoints.values() if x.state is EndpointState.READY)
            rate = self.warm(ep.c) * ep.c.base / (1 if thin else ready)
            rate = max(rate, 0.001 if thin else 0.05)
            ep.c.tokens, ep.c.stamp = min(1.0, ep.c.tokens + rate * (now - ep.c.stamp) / 1e6), now
            if ep.c.tokens < 1.0:
                self.turn.wake(now + int((1 - ep.c.tokens) / rate * 1e6) + 1)
                return False
        return True

    def spend(self, ep: Endpoint) -> None:
        if ep.c.ramp_from >= 0 or ep.c.open and self.turn.thin:
            ep.c.tokens -= 1.0
