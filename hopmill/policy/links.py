"""How many connections an endpoint is worth keeping, from what its calls showed. No I/O, no clock."""

from __future__ import annotations

import math
import random

CONCURRENCY_DEVIATIONS = (
    2.0  # calls out at once stay under mean + SPREAD * sqrt(mean) but for one time in fifty
)
MIN_OBSERVED_US = 1_000_000  # the first calls are taken as the traffic of this time at least
FULL_TABLE_FACTOR = 0.5  # a full table halves this courier's part of it
MIN_TABLE_SHARE = 0.25  # below one it is a chance: of many couriers, so many keep one
FULL_TABLE_REFUSALS = 2  # refusals of new connections in a row that show a full table: one may be chance


class ConnectionBudget:
    """One endpoint's connections, as its courier sees them."""

    def __init__(self, idle_us: int, rng: random.Random) -> None:
        """idle_us: for how long an endpoint lets a connection stand idle."""
        self.idle_limit_us = max(1, idle_us)
        self.rng = rng
        self.idle_since_us: list[
            int
        ] = []  # when each came free, oldest first: as told last, less what was lent since
        self.recent_calls = 0.0
        self.counted_us = 0
        self.first_call_us = -1  # fading count of calls
        self.table_share = math.inf  # this courier's part of a table that was seen full
        self.max_connections: float = math.inf  # the same as a whole number
        self.next_cut_us = self.next_growth_us = 0
        self.consecutive_new_refusals = 0  # refusals on new connections in a row
        self.announced = -1  # how many the pool was told to keep

    def check_out(self, now_us: int, oldest_us: int) -> int:
        """The most recently used one goes out: how long it was idle, -1 where a new one is opened."""
        idle_us = (
            now_us - self.idle_since_us[-1]
            if self.idle_since_us and self.idle_since_us[-1] > oldest_us
            else -1
        )
        self.idle_since_us = [since_us for since_us in self.idle_since_us if since_us > oldest_us][:-1]
        self._fade_count(now_us)
        self.recent_calls += 1
        if self.first_call_us < 0:
            self.first_call_us = now_us
        return idle_us

    def _fade_count(self, now_us: int) -> None:
        self.recent_calls *= math.exp(-max(0, now_us - self.counted_us) / self.idle_limit_us)
        self.counted_us = now_us

    def mean_calls_in_flight(self, now_us: int, slot_time_us: float) -> float:
        """Calls out at once in the mean: calls a second times the time that each takes."""
        if self.first_call_us < 0:
            return 0.0
        self._fade_count(now_us)
        observed_us = max(now_us - self.first_call_us, MIN_OBSERVED_US)
        return (
            self.recent_calls
            / (self.idle_limit_us * (1 - math.exp(-observed_us / self.idle_limit_us)))
            * slot_time_us
        )

    def max_idle(self, now_us: int, slot_time_us: float, window: int) -> int:
        """How many idle ones to keep: what it needs, within the window and its part of a full table."""
        mean_calls = self.mean_calls_in_flight(now_us, slot_time_us)
        needed = max(1, min(window, math.ceil(mean_calls + CONCURRENCY_DEVIATIONS * math.sqrt(mean_calls))))
        self._grow(now_us, needed)
        return int(min(needed, self.max_connections))

    # A full table: many couriers hold few connections each, and none knows of the others'

    def record_refusal(self, is_new: bool) -> bool:
        """A call was turned away though others are served and the limit is not used up: the sign of a full
        table where it happens to new connections alone."""
        self.consecutive_new_refusals = self.consecutive_new_refusals + 1 if is_new else 0
        return self.consecutive_new_refusals >= FULL_TABLE_REFUSALS

    def record_full_table(self, now_us: int, connections: int, pause_us: int) -> bool:
        """Keep half of what is held, once for what was under way together. Each that hears of it does."""
        if now_us < self.next_cut_us:
            return False
        self.next_cut_us = now_us + pause_us
        self.table_share = max(
            MIN_TABLE_SHARE, min(self.table_share, max(1, connections)) * FULL_TABLE_FACTOR
        )
        self._round_share(now_us)
        return True

    def _grow(self, now_us: int, needed: int) -> None:
        """Back by one each time that idle connections turn over, by chance sooner or later: not in step."""
        while self.table_share < math.inf and now_us >= self.next_growth_us:
            self.table_share += 1.0
            self._round_share(self.next_growth_us)
            if self.table_share > 2 * needed:
                self.table_share = self.max_connections = math.inf

    def _round_share(self, now_us: int) -> None:
        self.max_connections = math.floor(self.table_share + self.rng.random())
        self.next_growth_us = now_us + int(self.idle_limit_us * self.rng.uniform(0.5, 1.5))
