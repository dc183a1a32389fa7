"""Retries failed writes to the journal until the storage works again."""

from __future__ import annotations

import asyncio

from hopmill.net.journal import Journal

RETRY_S = 0.1


class JournalRecovery:
    """Writes what the journal owes, as soon as that is possible."""

    def __init__(self, loop: asyncio.AbstractEventLoop, journal: Journal) -> None:
        self.loop, self.journal = loop, journal
        self.timer: asyncio.TimerHandle | None = None
        journal.on_write_failed = self._schedule

    def close(self) -> None:
        """Cancel the timer."""
        if self.timer:
            self.timer.cancel()

    def _schedule(self) -> None:
        if self.timer is None:
            self.timer = self.loop.call_later(RETRY_S, self._retry)

    def _retry(self) -> None:
        self.timer = None
        if self.journal.is_failing:
            self.journal.write_owed()  # schedules the next retry if it fails
