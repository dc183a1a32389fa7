"""How much a lane may get: its pace and part of the limit, its window, and the waits it was told."""

from __future__ import annotations

import math

from hopmill.policy.state import Destination, Lane
from hopmill.policy.turn import Turn

BASE_US = 100_000  # first ceiling of the jittered wait (the note's default)
CAP_US = 3_000_000  # highest ceiling (the note's default)
WINDOW_SHARE = 0.75  # a destination's calls stay under this share of the slots
REFUSED_MEMORY, KIND_MEMORY = 0.5, 1 / 16  # weight of the newest call in the share refused: lane, kind
BURST_S, BURST_PRICED_S = 0.8, 0.4  # a bucket holds this much of its rate; less where refusals are priced
CUT = 0.75  # on overload the rate shrinks by this, once a round trip
GROW = 0.1  # and a success adds this share of the listed (or first learned) rate
NEAR, CALM_US = 0.9, 5_000_000  # near the last refused pace it grows slowly, until this long after
STEP, TOLD = 0.25, 0.2  # a told limit this far off is a new one; else it is chance, and has this weight
FLOOR = 0.4  # but a listed rate is not left further than this behind
SPARE = 2.0  # an unlisted capacity is taken for this multiple of the traffic that it was seen to take


class Pacing:
    def __init__(self, turn: Turn) -> None:
        s = turn.settings
        self.turn, self.settings = turn, s
        self.max_calls_per_destination = max(1, int(WINDOW_SHARE * s.slots))
        self.ceilings: dict[int, tuple[int, float]] = {}  # by destination, as the policy in force has them
        # Buckets that many couriers empty together refill together, seconds later where each has a call in
        # seconds: a call costs a token more or less by chance, so that they fall out of step.
        self.spread = max(0.0, 1 - s.slots / s.couriers)
        self.refused = [0.0] * len(s.kinds)  # as the lanes', over all calls to a kind

    def most_out(self, dest: Destination) -> int:
        """Calls at once."""
        return min(
            self.max_calls_per_destination,
            self.ceilings.get(dest.number, (0, 0.0))[0] or self.max_calls_per_destination,
        )

    def _top(self, lane: Lane) -> float:
        """This courier's part of what the policy lets a partner have a second; inf: all that it takes."""
        rate = self.ceilings[lane.dest.number][1] if lane.dest.number in self.ceilings else 0.0
        return rate / self.settings.couriers / len(lane.dest.lanes) if rate else math.inf

    def listed(self, lane: Lane, rate_per_s: float) -> None:
        """The list names its rate."""
        if self.settings.rates_listed and rate_per_s > 0 and lane.hint != rate_per_s:
            lane.hint = rate_per_s
            lane.limit_share_per_s = lane.pace_per_s = lane.brink = rate_per_s / self.settings.couriers

    def backoff(self, attempt: int) -> int:
        return int(self.turn.random.uniform(0, min(CAP_US, BASE_US * 2 ** min(attempt, 30))))

    # The pace

    def pace(self, lane: Lane) -> float:
        """Calls a second. After a refusal it comes back to the equal part by itself: one of many couriers
        hears of a lane so seldom that answers alone left it down for as long as the limit was lowered."""
        since = self.turn.now - lane.cut_at
        calm = min(1.0, FLOOR + (1 - FLOOR) * since / CALM_US) if lane.steered else 0.0
        pace, top = max(lane.pace_per_s, lane.limit_share_per_s * calm), self._top(lane)
        return pace if top == math.inf else min(pace or top, top)

    def fill(self, lane: Lane) -> float:
        if not lane.pace_per_s and self._top(lane) == math.inf:
            return 1.0
        if self.turn.now > lane.stamp:
            rate, burst = self.pace(lane), BURST_PRICED_S if self.settings.refused_price else BURST_S
            tokens = lane.tokens + rate * (self.turn.now - lane.stamp) / 1e6
            lane.tokens, lane.stamp = min(tokens, max(1.0, rate * burst)), self.turn.now
        return lane.tokens

    def spend(self, lane: Lane) -> None:
        if lane.pace_per_s or self._top(lane) < math.inf:
            lane.tokens -= 1.0 + self.turn.random.uniform(-self.spread, self.spread)

    def allows(self, lane: Lane) -> bool:
        if self.fill(lane) < 1.0:
            self.turn.wake(
                max(self.turn.now, lane.stamp) + int((1 - lane.tokens) / self.pace(lane) * 1e6) + 1
            )
            return False
        return True

    # What answers tell

    def told_wait(self, lane: Lane, wait_us: int) -> None:
        """Heeded for each message: those of one batched call were told different waits. A told wait comes
        in cut milliseconds, so one more keeps a send from falling just inside its end."""
        lane.wait_until_us = max(lane.wait_until_us, self.turn.now + wait_us + 1_000)

    def reported(self, lane: Lane, report: tuple[float, ...]) -> None:
        """Answers, refusals too, tell the limit in force, where the list goes on naming the usual one, and
        how much of it is left: the one thing that tells a courier what all the others send."""
        if report == lane.report:  # endpoints renew theirs a few times a second at most: each counts once
            return
        lane.report = report
        told = dict(zip(self.settings.report_fields, report, strict=False))
        limit, left = told.get("x1", 0.0) / self.settings.couriers, min(1.0, max(0.0, told.get("x0", 0.0)))
        lane.steered = limit > 0
        if not lane.steered:
            return
        known = lane.limit_share_per_s or limit
        part = limit if abs(limit - known) > STEP * known else known + (limit - known) * TOLD
        lane.pace_per_s = (lane.pace_per_s or part) * part / known
        lane.limit_share_per_s = part
        # Of a limit that is all used, half is left in the mean over its span. While more is, parts that
        # others leave idle are taken up; while less is, back towards the equal part, whose sum is the limit.
        # In small steps: all of them hear the same news, and what they send too much together is refused and
        # paid back out of the limit.
        rate = lane.pace_per_s + GROW * part * (2 * left - 1)
        lane.pace_per_s = min(max(rate, min(lane.pace_per_s, part)), part * self.settings.couriers)

    def room_left(self, lane: Lane) -> bool:
        """Whether the limit is not used up, as far as answers tell it."""
        told = dict(zip(self.settings.report_fields, lane.report, strict=False))
        return not lane.steered or told.get("x0", 0.0) > 0

    def succeeded(self, lane: Lane) -> None:
        now = self.turn.now
        lane.seen, lane.seen_at = lane.seen * max(0.0, 1 - (now - lane.seen_at) / 4e6) + 0.25, now
        lane.fulls, lane.refused_share = 0, lane.refused_share * (1 - REFUSED_MEMORY)
        self.refused[lane.dest.kind] *= 1 - KIND_MEMORY
        lane.window = min(self.max_calls_per_destination, lane.window + 1)
        if lane.pace_per_s and not lane.steered:
            top = lane.limit_share_per_s * self.settings.couriers or math.inf
            # Fast up to where it was last refused, then slowly, the faster the longer ago that was: growth at
            # one pace met a refusal in ten calls.
            near = lane.pace_per_s >= NEAR * lane.brink
            step = GROW * min(1.0, max(0.1, (now - lane.cut_at) / CALM_US)) if near else GROW
            lane.pace_per_s = min(top, lane.pace_per_s + step * (lane.limit_share_per_s or lane.pace_per_s))

    def overloaded(self, lane: Lane, told: int) -> None:
        """A refusal as full: pace down, close the window, and wait as told (or a jittered wait)."""
        now, turn = self.turn.now, self.turn
        lane.refused_share += (1 - lane.refused_share) * REFUSED_MEMORY
        self.refused[lane.dest.kind] += (1 - self.refused[lane.dest.kind]) * KIND_MEMORY
        if now >= lane.cut_at:
            lane.cut_at = now + max(int(lane.mean), 2 * self.settings.tick_us)
            lane.window = max(1.0, lane.window / 2)
            lane.brink = lane.pace_per_s or lane.seen * SPARE
            if lane.pace_per_s:
                cut = min(
                    lane.pace_per_s * CUT, lane.limit_share_per_s or math.inf
                )  # the equal parts sum to the limit
                lane.pace_per_s = max(cut, lane.limit_share_per_s * FLOOR, 0.0 if turn.thin else 0.2)
            elif not turn.thin:  # a floor for each of many couriers would add up
                lane.pace_per_s = max(0.5, lane.seen * CUT)
            lane.fulls += 1
        lane.wait_until_us = max(lane.wait_until_us, now + (told or self.backoff(lane.fulls)))
        self.fill(lane)
        lane.tokens = min(lane.tokens, turn.random.random() if self.settings.couriers > 1 else 1.0)
        lane.stamp = max(now, lane.wait_until_us)

    def timed_out(self, lane: Lane, others_answered: bool) -> None:
        lane.window = max(1.0, lane.window - 1 if others_answered else lane.window / 2)
