"""A courier of a trial: the program as it is, on a machine with a slow disk at times and a wrong wall clock.

What the machine is like comes from the trial: HOPMILL_TRIAL_CLOCK_S, how far the wall clock is off; and
HOPMILL_TRIAL_DISK, a file that holds how many ms each sync of the disk takes now.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time
from collections.abc import Callable
from typing import Any


def wrong_clock(off_s: float) -> None:
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + off_s
    time.time_ns = lambda: real_ns() + int(off_s * 1e9)


def slow_disk(path: str) -> None:
    def slowed(sync: Callable[[int], Any]) -> Callable[[int], Any]:
        def slow(fd: int) -> None:
            with contextlib.suppress(OSError, ValueError), open(path) as file:
                time.sleep(float(file.read() or 0) / 1e3)
            sync(fd)
        return slow
    os.fsync, os.fdatasync = slowed(os.fsync), slowed(os.fdatasync)


def main() -> int:
    if off := os.environ.get("HOPMILL_TRIAL_CLOCK_S"):
        wrong_clock(float(off))
    if path := os.environ.get("HOPMILL_TRIAL_DISK"):
        slow_disk(path)
    from hopmill.__main__ import main as program
    return program()


if __name__ == "__main__":
    sys.exit(main())
