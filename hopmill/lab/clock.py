"""Virtual time: a heap of events. Events at one instant run in the order in which they were scheduled."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Clock:
    """Time in us from the start of the run. Nothing here reads a real clock."""

    def __init__(self) -> None:
        self.now = 0
        self.scheduled_count = 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, action: Callable[..., None], *args: Any) -> None:
        """Schedules an action at a time, or now if that has passed.

        The count breaks ties, so that the order never depends on dicts or on the heap.
        """
        self.scheduled_count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.scheduled_count, action, args))

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> None:
        """Schedules an action after a delay in us."""
        self.at(self.now + delay, action, *args)

    def run(self, until: int) -> None:
        """Runs all events up to and including `until`."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(heap)
            action(*args)
        self.now = max(self.now, until)
