"""The time that the journal's records are kept on: seconds that no step of the wall clock moves.

It goes on as the elapsed clock of this machine does (CLOCK_BOOTTIME, suspension included), and is set by the
wall clock once in a boot, by whichever process is the first to write the journal in it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


def elapsed_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    """Of this boot and no other; "" if it is not told, which is no boot's."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


@dataclass(frozen=True)
class TimeScale:
    """ahead: of the elapsed clock of this boot."""

    boot_id: str
    offset_s: float

    def now(self) -> float:
        return elapsed_s() + self.offset_s

    def is_of_this_boot(self) -> bool:
        """Whether it is of this boot: then all that was written on it is as old as it seems."""
        return bool(self.boot_id) and self.boot_id == boot_id()


def from_wall_clock(latest_at: float, boot: str) -> TimeScale:
    """A new one; nothing that was written before it, at `latest_at` for one, lies ahead of it."""
    return TimeScale(boot, max(time.time(), latest_at) - elapsed_s())
