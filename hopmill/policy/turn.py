"""What all decisions of one turn share: its time, the courier's chances, and what comes of it."""

from __future__ import annotations

import heapq
import math
import random

from hopmill.interface import Action, Log, SetTimer, Settings

DEADLINE_MARGIN_TICKS = 3  # ticks kept free before a deadline


class Turn:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_us = 0
        self.started_us = -1
        self.shutdown_deadline_us = math.inf  # closing: no call may last past it
        self.actions: list[Action] = []
        self.timers: list[int] = []
        self.deadline_margin_us = DEADLINE_MARGIN_TICKS * settings.tick_us
        # Many small couriers: each meets a destination so rarely that its equal part of anything says little.
        self.is_large_fleet = settings.couriers > settings.slots

    def begin(self, now_us: int) -> None:
        self.now_us, self.actions = now_us, []
        if self.started_us < 0:
            self.started_us = now_us

    def drop_due_timers(self) -> None:
        while self.timers and self.timers[0] <= self.now_us:
            heapq.heappop(self.timers)

    def wake_at(self, at_us: int) -> None:
        """Another turn then, if none comes before."""
        at_us = max(at_us, self.now_us + self.settings.tick_us)
        if not self.timers or at_us < self.timers[0]:
            heapq.heappush(self.timers, at_us)
            self.actions.append(SetTimer(at_us - self.now_us, 0))

    def log(self, text: str) -> None:
        self.actions.append(Log(text))
