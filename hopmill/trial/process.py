"""A courier of a trial: the program as it is, on a machine with a slow disk at times and a wrong wall clock.

What the machine is like comes from the trial: HOPMILL_TRIAL_CLOCK_S, how far the wall clock is off; and
HOPMILL_TRIAL_DISK, a file that holds how many ms each sync of the disk takes now. HOPMILL_TRIAL_RECORD is
where the courier's own decisions under a policy go: each call begun and each message taken on, under which
version, and when it had looked whether it may.
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


def record(path: str) -> None:
    """A JSON object a line, written before the act goes on: a killed process has said what it did."""
    import json

    from hopmill.net.host import Host
    from hopmill.net.in_force import ActivePolicy
    from hopmill.net.intake import Intake
    from hopmill.net.peers import elapsed_us

    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
    looked = [0]
    may_act, begin, take, set_up, hold = (
        ActivePolicy.may_act,
        Host._record_attempts,
        Intake.accept,
        ActivePolicy._apply,
        ActivePolicy._set_paused,
    )

    def say(what: str, **more: Any) -> None:
        with contextlib.suppress(OSError):  # the trial may fill the disk
            os.write(fd, json.dumps({"what": what, "at_us": elapsed_us(), **more}).encode() + b"\n")

    def looks(self: ActivePolicy) -> bool:
        looked[0] = elapsed_us()
        return may_act(self)

    def begins(self: Host, items: Any) -> bool:
        ids = [item.id for item in items]
        yes = begin(self, items)
        if yes and self.active_policy:
            say("began", looked_us=looked[0], version=self.active_policy.applied_version, messages=ids)
        return yes

    def takes(self: Intake, m: Any, replies: Any) -> None:
        take(self, m, replies)
        if self.host.active_policy and m.number in self.host.journal.messages:
            say("took", looked_us=looked[0], version=self.host.active_policy.applied_version, messages=[m.id])

    def sets_up(self: ActivePolicy, version: int, text: bytes) -> None:
        set_up(self, version, text)
        if self.applied_version == version:
            stage = self.member_transport.node.register.document.policy.stage
            say(
                "policy",
                version=version,
                values=self.history.values,
                changes=[e.id for e in self.history.entries],
                staged=bool(stage and stage.version == version),
            )

    def holds(self: ActivePolicy, on: bool) -> None:
        if on is not self.is_paused:
            say("holds", on=on, version=self.applied_version)
        hold(self, on)

    ActivePolicy.may_act, Host._record_attempts, Intake.accept = looks, begins, takes  # type: ignore[method-assign]
    ActivePolicy._apply, ActivePolicy._set_paused = sets_up, holds  # type: ignore[method-assign]


def main() -> int:
    if off := os.environ.get("HOPMILL_TRIAL_CLOCK_S"):
        wrong_clock(float(off))
    if path := os.environ.get("HOPMILL_TRIAL_DISK"):
        slow_disk(path)
    if path := os.environ.get("HOPMILL_TRIAL_RECORD"):
        record(path)
    from hopmill.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
