"""Virtual time: a heap of events. Two at one instant happen in the order in which they were set."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Clock:
    """Microseconds from the play's start. Nothing here reads a real clock."""

    def __init__(self) -> None:
        self.now = 0
        self.scheduled_count = 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, action: Callable[..., None], *args: Any) -> None:
        """Not before now; the count breaks ties, so order never hangs on what is stored in a dict or heap."""
        self.scheduled_count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.scheduled_count, action, args))

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> None:
        self.at(self.now + delay, action, *args)

    def run(self, until: int) -> None:
        """All events up to and with `until`."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(heap)
            action(*args)
        self.now = max(self.now, until)
