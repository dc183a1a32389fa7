"""How long a call is waited for: from latencies, and from how many calls are lost anyway."""

from __future__ import annotations

import math

from hopmill.interface import Effect
from hopmill.policy.state import Endpoint, Lane, Message
from hopmill.policy.turn import Turn

# A call is given up once it is likely lost: with a share p of calls lost and a tail that shrinks by e for
# each TAIL_X deviations, the odds that it still comes are ALIVE after TAIL_X * ln(1 / (ALIVE * p)) of them.
TAIL_X, ALIVE = 1.35, 0.1
LOST_X = 4.0  # at 1/LOST_X lost, time-outs are no evidence
LOSS, LOSS_MEMORY = 0.002, 1 / 32  # least share of calls taken as lost, weight of the newest call
LOSSY = 0.01  # over this share, calls are being lost, and not only slow
TRIAL_X = 0.6  # a half-open trial gets this share of the time-out


class Timeouts:
    def __init__(self, turn: Turn) -> None:
        self.turn, self.settings = turn, turn.settings
        self.hold = 1e5  # time that a call takes a slot, over all calls
        self.loss = LOSS  # share of calls that are never answered though others are

    def of(self, lane: Lane) -> int:
        return int(lane.mean + max(lane.mean, lane.dev * TAIL_X * math.log(1 / (ALIVE * self.loss))))

    def held(self, lane: Lane, latency: int) -> None:
        """A call has given its slot back."""
        lane.hold += (latency - lane.hold) / 8
        self.hold += (latency - self.hold) / 32

    def answered(self, lane: Lane, latency: int) -> None:
        self.loss = max(LOSS, self.loss * (1 - LOSS_MEMORY))
        if not lane.mean:
            # One quick answer is no ground for a short time-out: start from the mean of all calls.
            lane.mean = lane.dev = max(float(latency), self.hold)
        lane.dev += (abs(latency - lane.mean) - lane.dev) / 8
        lane.mean += (latency - lane.mean) / 8

    def lost(self) -> None:
        self.loss += LOSS_MEMORY * (1 - self.loss)

    def no_evidence(self) -> float:
        """Where many calls are lost anyway, one without an answer says little of its endpoint."""
        return min(1.0, LOST_X * self.loss)

    def left(self, m: Message) -> int:
        return int(min(m.until, self.turn.closing)) - self.turn.now - self.turn.margin

    def shares(self, m: Message, x: Message, lane: Lane) -> bool:
        """Whether x may go in m's call, which ends with the first one's time: with less left than most calls
        take, one would end it too early for others."""
        most = lane.mean + 2 * lane.dev if lane.mean else self.settings.connect_timeout_us
        left, other = self.left(m), self.left(x)
        return other >= most if left >= most else left <= other < most

    def of_call(self, messages: list[Message], ep: Endpoint, short: bool) -> int:
        """One time for all that go in it. short: slots are."""
        longest = max(self.of_attempt(m, ep, short) for m in messages)
        return max(1, min(longest, *map(self.left, messages)))

    def of_attempt(self, m: Message, ep: Endpoint, short: bool) -> int:
        left = self.left(m)
        timeout, lane = left, ep.lane
        guess = self.of(lane) if lane.mean else max(self.settings.connect_timeout_us, m.cls.aim_us)
        if m.cls.effect is Effect.UNSAFE:  # one long try; but where slots are short, lost calls take others'
            timeout = min(left, guess if short and self.loss >= LOSSY else max(guess, m.cls.aim_us))
        elif guess + lane.mean * 2 < left:
            timeout = guess
        if ep.c.open and m.cls.effect is not Effect.UNSAFE:  # a trial of what may hang: hold the slot briefly
            timeout = min(timeout, int(TRIAL_X * guess))
        return timeout
