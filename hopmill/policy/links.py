"""How many connections to keep to an endpoint, from what its calls showed. No I/O, no clock."""

from __future__ import annotations

import math
import random

CONCURRENCY_DEVIATIONS = 2.0  # calls in flight exceed mean + this * sqrt(mean) one time in fifty
MIN_OBSERVED_US = 1_000_000  # the first calls count as the traffic of this time at least
FULL_TABLE_FACTOR = 0.5  # of this courier's share of a table that turns out to be full
MIN_TABLE_SHARE = 0.25  # a share below 1 is the probability of keeping one connection
FULL_TABLE_REFUSALS = 2  # refusals of new connections in a row that show a full table; one may be random


class ConnectionBudget:
    """One endpoint's connections as its courier sees them."""

    def __init__(self, idle_us: int, rng: random.Random) -> None:
        """idle_us: how long the endpoint leaves a connection open while it is idle."""
        self.idle_limit_us = max(1, idle_us)
        self.rng = rng
        # When each idle connection came free, oldest first: as last reported, less those checked out since.
        self.idle_since_us: list[int] = []
        self.recent_calls = 0.0  # exponentially fading count of calls, at counted_us
        self.counted_us = 0
        self.first_call_us = -1
        self.table_share = math.inf  # this courier's share of a table that was full; inf: no limit known
        self.max_connections: float = math.inf  # table_share, randomly rounded
        self.next_cut_us = self.next_growth_us = 0
        self.consecutive_new_refusals = 0
        self.announced = -1  # max idle connections last announced to the pool (action Keep)

    def check_out(self, now_us: int, oldest_us: int) -> int:
        """Take the most recently used connection. Return how long it was idle, -1 for a new one.

        Connections idle since `oldest_us` or before are not used.
        """
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
        """Mean calls in flight by Little's law: rate of calls times the time that each occupies a slot."""
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
        """Return how many idle connections to keep: as needed, within window and share of a full table."""
        mean_calls = self.mean_calls_in_flight(now_us, slot_time_us)
        needed = max(1, min(window, math.ceil(mean_calls + CONCURRENCY_DEVIATIONS * math.sqrt(mean_calls))))
        self._grow(now_us, needed)
        return int(min(needed, self.max_connections))

    # A full connection table: many couriers hold a few connections each and know nothing of each other's.

    def record_refusal(self, is_new: bool) -> bool:
        """Record a call that was refused though others are served and the limit is not used up.

        Return whether the connection table seems to be full: refusals happen on new connections only.
        """
        self.consecutive_new_refusals = self.consecutive_new_refusals + 1 if is_new else 0
        return self.consecutive_new_refusals >= FULL_TABLE_REFUSALS

    def record_full_table(self, now_us: int, connections: int, pause_us: int) -> bool:
        """Keep half of what is held. Each courier that notices a full table does.

        Return False for a further sign within `pause_us`, which belongs to calls that were in flight
        already.
        """
        if now_us < self.next_cut_us:
            return False
        self.next_cut_us = now_us + pause_us
        self.table_share = max(
            MIN_TABLE_SHARE, min(self.table_share, max(1, connections)) * FULL_TABLE_FACTOR
        )
        self._round_share(now_us)
        return True

    def _grow(self, now_us: int, needed: int) -> None:
        """Allow one more per turnover of idle connections, jittered so that couriers do not grow in step."""
        while self.table_share < math.inf and now_us >= self.next_growth_us:
            self.table_share += 1.0
            self._round_share(self.next_growth_us)
            if self.table_share > 2 * needed:
                self.table_share = self.max_connections = math.inf

    def _round_share(self, now_us: int) -> None:
        self.max_connections = math.floor(self.table_share + self.rng.random())
        self.next_growth_us = now_us + int(self.idle_limit_us * self.rng.uniform(0.5, 1.5))
