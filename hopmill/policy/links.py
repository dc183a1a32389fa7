"""How many connections an endpoint is worth keeping, from what its calls showed. No I/O, no clock."""

from __future__ import annotations

import math
import random

SPREAD = 2.0  # calls out at once stay under mean + SPREAD * sqrt(mean) but for one time in fifty
LEAST_US = 1_000_000  # the first calls are taken as the traffic of this time at least
HALF = 0.5  # a full table halves this courier's part of it
LEAST_PART = 0.25  # below one it is a chance: of many couriers, so many keep one
TWICE_FULL = 2  # refusals of new connections in a row that show a full table: one may be chance


class Links:
    """One endpoint's connections, as its courier sees them."""

    def __init__(self, idle_us: int, chance: random.Random) -> None:
        """idle_us: for how long an endpoint lets a connection stand idle."""
        self.idle_us, self.chance = max(1, idle_us), chance
        self.idle_since_us: list[
            int
        ] = []  # when each came free, oldest first: as told last, less what was lent since
        self.calls, self.counted_at, self.first_at = 0.0, 0, -1  # fading count of calls
        self.part = math.inf  # this courier's part of a table that was seen full
        self.bound: float = math.inf  # the same as a whole number
        self.cut_at = self.grow_at = 0
        self.new_fulls = 0  # refusals on new connections in a row
        self.announced = -1  # how many the pool was told to keep

    def lend(self, now: int, oldest: int) -> int:
        """The most recently used one goes out: how long it was idle, -1 where a new one is opened."""
        idle_us = (
            now - self.idle_since_us[-1] if self.idle_since_us and self.idle_since_us[-1] > oldest else -1
        )
        self.idle_since_us = [t for t in self.idle_since_us if t > oldest][:-1]
        self._fade(now)
        self.calls += 1
        if self.first_at < 0:
            self.first_at = now
        return idle_us

    def _fade(self, now: int) -> None:
        self.calls *= math.exp(-max(0, now - self.counted_at) / self.idle_us)
        self.counted_at = now

    def at_once(self, now: int, hold_us: float) -> float:
        """Calls out at once in the mean: calls a second times the time that each takes."""
        if self.first_at < 0:
            return 0.0
        self._fade(now)
        seen = max(now - self.first_at, LEAST_US)
        return self.calls / (self.idle_us * (1 - math.exp(-seen / self.idle_us))) * hold_us

    def most(self, now: int, hold_us: float, window: int) -> int:
        """How many idle ones to keep: what it needs, within the window and its part of a full table."""
        mean = self.at_once(now, hold_us)
        need = max(1, min(window, math.ceil(mean + SPREAD * math.sqrt(mean))))
        self._grow(now, need)
        return int(min(need, self.bound))

    # A full table: many couriers hold few connections each, and none knows of the others'

    def refused(self, new: bool) -> bool:
        """A call was turned away though others are served and the limit is not used up: the sign of a full
        table where it happens to new connections alone."""
        self.new_fulls = self.new_fulls + 1 if new else 0
        return self.new_fulls >= TWICE_FULL

    def full(self, now: int, held: int, pause_us: int) -> bool:
        """Keep half of what is held, once for what was under way together. Each that hears of it does."""
        if now < self.cut_at:
            return False
        self.cut_at = now + pause_us
        self.part = max(LEAST_PART, min(self.part, max(1, held)) * HALF)
        self._bind(now)
        return True

    def _grow(self, now: int, need: int) -> None:
        """Back by one each time that idle connections turn over, by chance sooner or later: not in step."""
        while self.part < math.inf and now >= self.grow_at:
            self.part += 1.0
            self._bind(self.grow_at)
            if self.part > 2 * need:
                self.part = self.bound = math.inf

    def _bind(self, now: int) -> None:
        self.bound = math.floor(self.part + self.chance.random())
        self.grow_at = now + int(self.idle_us * self.chance.uniform(0.5, 1.5))
