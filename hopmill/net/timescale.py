"""The time scale of the journal's records: seconds that steps of the wall clock do not affect.

It advances with this machine's elapsed clock (CLOCK_BOOTTIME, which includes suspension). The first process
that writes the journal after a boot sets it by the wall clock, once per boot.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


def elapsed_s() -> float:
    """Return seconds since boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    """Return the id of this boot, or "" if the system does not provide it; "" matches no boot."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


@dataclass(frozen=True)
class TimeScale:
    """A time scale that is valid during one boot.

    boot_id: the boot, "" if not known. offset_s: added to the elapsed clock of that boot.
    """

    boot_id: str
    offset_s: float

    def now(self) -> float:
        """Return the current time on this scale, in seconds."""
        return elapsed_s() + self.offset_s

    def is_of_this_boot(self) -> bool:
        """Return whether the scale belongs to this boot; if so, ages of its timestamps are exact."""
        return bool(self.boot_id) and self.boot_id == boot_id()


def from_wall_clock(latest_at: float, boot: str) -> TimeScale:
    """Return a new scale set by the wall clock.

    It starts no earlier than `latest_at`, so that no recorded time lies in its future.
    """
    return TimeScale(boot, max(time.time(), latest_at) - elapsed_s())
