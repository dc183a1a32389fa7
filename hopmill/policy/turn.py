"""One turn: a batch of events handled at one instant, with its time, random numbers and actions."""

from __future__ import annotations

import heapq
import math
import random

from hopmill.interface import Action, Log, SetTimer, Settings

DEADLINE_MARGIN_TICKS = 3  # between the last moment for an action and a deadline


class Turn:
    """The time, the random number generator and the resulting actions that all decisions of a turn share."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_us = 0
        self.started_us = -1  # time of the first turn
        self.shutdown_deadline_us = math.inf  # no call may last past it
        self.actions: list[Action] = []
        self.timers: list[int] = []  # heap of the times for which a turn was asked
        self.deadline_margin_us = DEADLINE_MARGIN_TICKS * settings.tick_us
        # With more couriers than slots each courier calls a destination so rarely that its equal share of
        # anything says little.
        self.is_large_fleet = settings.couriers > settings.slots

    def begin(self, now_us: int) -> None:
        """Start a turn at `now_us` (monotonic clock) with an empty list of actions."""
        self.now_us, self.actions = now_us, []
        if self.started_us < 0:
            self.started_us = now_us

    def drop_due_timers(self) -> None:
        """Forget timers that this turn answers."""
        while self.timers and self.timers[0] <= self.now_us:
            heapq.heappop(self.timers)

    def wake_at(self, at_us: int) -> None:
        """Ask for another turn at `at_us`, unless one is due before."""
        at_us = max(at_us, self.now_us + self.settings.tick_us)
        if not self.timers or at_us < self.timers[0]:
            heapq.heappush(self.timers, at_us)
            self.actions.append(SetTimer(at_us - self.now_us, 0))

    def log(self, text: str) -> None:
        """Add a line for the operators to the actions."""
        self.actions.append(Log(text))
