"""The time that the journal's records are kept on: seconds that no step of the wall clock moves.

It goes on as the elapsed clock of this machine does (CLOCK_BOOTTIME, suspension included), and is set by the
wall clock once in a boot, by whichever process is the first to write the journal in it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def elapsed() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    """Of this boot and no other; "" if it is not told, which is no boot's."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


@dataclass(frozen=True)
class TimeScale:
    """ahead: of the elapsed clock of this boot."""

    boot: str
    ahead: float

    def now(self) -> float:
        return elapsed() + self.ahead

    def holds(self) -> bool:
        """Whether it is of this boot: then all that was written on it is as old as it seems."""
        return bool(self.boot) and self.boot == boot_id()


def by_the_wall(latest: float, boot: str) -> TimeScale:
    """A new one; nothing that was written before it, at `latest` for one, lies ahead of it."""
    return TimeScale(boot, max(time.time(), latest) - elapsed())
