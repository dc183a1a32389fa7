"""Which new messages are turned away unsent, and when their clients are told to come again."""

from __future__ import annotations

import math

from hopmill.policy.pacing import Pacing
from hopmill.policy.state import Destination, Message
from hopmill.policy.turn import Turn

DESERTED = 20  # after this many refusals with no client coming again, clients are taken not to do so
SHED = 0.9  # at most this share of new messages is refused unsent


class Admission:
    def __init__(self, turn: Turn, pacing: Pacing, tries: int) -> None:
        """tries: attempts of one message, at most."""
        self.turn, self.settings, self.pacing, self.max_attempts = turn, turn.settings, pacing, tries
        self.crowded = False
        self.unreturned = 0  # refusals since one came again

    def spent(self, m: Message) -> bool:
        """With no attempt left: its final answer is due at once."""
        return m.tries >= self.max_attempts or self.turn.now >= m.last_at(self.turn.margin)

    def come_back_us(self) -> int:
        """When to come again, for a message that the courier has no room for: spread by chance."""
        return int(self.settings.max_retry_after_us * self.turn.random.uniform(0.5, 1))

    def refusal(self, dest: Destination, life: int) -> float:
        """Share of a destination's new messages that are refused unsent: as many as of its calls are.

        Where refused calls use up the limit too, a destination of many couriers refuses nearly all once the
        calls pass its limit, and what clients hand in again keeps it there. One courier sees too few refusals
        there to pace itself, but a share by chance adds up.
        """
        pacing = self.pacing
        if dest.lanes and all(lane.pace_per_s for lane in dest.lanes):
            pace = sum(pacing.pace(lane) for lane in dest.lanes)
            calls = math.ceil(len(dest.queue) / self.settings.kinds[dest.kind].batch)
            ahead = calls - sum(pacing.fill(lane) for lane in dest.lanes)
            return float(ahead / pace * 1e6 > life)
        lent = pacing.refused[dest.kind] ** 2  # to lanes without calls, if most of the kind are refused
        shares = [
            x.refused_share if x.refused_share or x.seen_at else lent for x in dest.lanes if not x.pace_per_s
        ]
        return min(SHED, sum(shares) / max(1, len(dest.lanes)))

    def refuses(self, m: Message) -> bool:
        return self.turn.thin and self.turn.random.random() < self.refusal(m.dest, m.until - self.turn.now)

    def held(self, messages: int, out: int) -> None:
        """So many messages and calls now: a change between full and room is logged."""
        full = messages >= self.settings.max_held - 1
        if full != self.crowded and (full or messages < self.settings.max_held * 0.8):
            self.crowded = full
            self.turn.log(f"held: {'full' if full else 'room'}; {out}/{self.settings.slots} slots")

    def stays(self, m: Message) -> bool:
        """Overload ends a message, passing on the told wait. But where clients mark what they hand in again
        and many were refused with nothing coming back, a refusal is a loss: it waits here instead."""
        return (
            self.settings.clients_mark_retries and self.unreturned >= DESERTED and m.tries < self.max_attempts
        )
