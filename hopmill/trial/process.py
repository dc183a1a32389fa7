"""Runs a courier of a trial: the unchanged program with a wrong wall clock and, at times, a slow disk.

The trial sets environment variables: HOPMILL_TRIAL_CLOCK_S, the error of the wall clock in seconds;
HOPMILL_TRIAL_DISK, a file with the current delay of each disk sync in ms; HOPMILL_TRIAL_RECORD, a file to
which the courier's decisions under a policy are written: each call begun and each message accepted, the
policy version, and when the courier checked that it may act.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time
from collections.abc import Callable
from typing import Any


def shift_wall_clock(offset_s: float) -> None:
    """Replaces `time.time` and `time.time_ns` by clocks that are off by offset_s."""
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + offset_s
    time.time_ns = lambda: real_time_ns() + int(offset_s * 1e9)


def delay_disk_syncs(path: str) -> None:
    """Makes `os.fsync` and `os.fdatasync` wait first for as many ms as the file at path says."""

    def delayed(sync: Callable[[int], Any]) -> Callable[[int], Any]:
        def delayed_sync(fd: int) -> None:
            with contextlib.suppress(OSError, ValueError), open(path) as file:
                time.sleep(float(file.read() or 0) / 1e3)
            sync(fd)

        return delayed_sync

    os.fsync, os.fdatasync = delayed(os.fsync), delayed(os.fdatasync)


def record_decisions(path: str) -> None:
    """Replaces methods of Attempts, Intake and ActivePolicy to write decisions to path as JSON lines.

    Rows are written without a buffer. Kinds of rows:
    began: the attempts are in the journal and their call is about to be written to its
        connection, so a process killed afterwards has recorded what it did.
    took: a message was accepted; written afterwards, so a process killed in between leaves no row of it.
    policy: a version was applied; written afterwards. values, by path; changes, the ids in its history;
        staged, whether it is that of the staged change.
    holds: the courier is about to hold new work (on) or to resume it.
    In `began` and `took`, messages are identifiers, and looked_us is when the process last checked that it
    may act.
    """
    import json

    from hopmill.net.attempts import Attempts
    from hopmill.net.active_policy import ActivePolicy
    from hopmill.net.intake import Intake
    from hopmill.net.member_transport import elapsed_us

    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
    lease_checked_at_us = [0]
    may_act = ActivePolicy.may_act
    record_attempts = Attempts.record
    accept = Intake.accept
    apply = ActivePolicy._apply
    set_holding = ActivePolicy._set_paused

    def write_row(what: str, **more: Any) -> None:
        with contextlib.suppress(OSError):  # the trial may fill the disk
            os.write(fd, json.dumps({"what": what, "at_us": elapsed_us(), **more}).encode() + b"\n")

    def recording_may_act(self: ActivePolicy) -> bool:
        lease_checked_at_us[0] = elapsed_us()
        return may_act(self)

    def recording_record_attempts(self: Attempts, endpoint: int, items: Any) -> Any:
        begun = record_attempts(self, endpoint, items)
        if begun and self.host.active_policy:
            write_row(
                "began",
                looked_us=lease_checked_at_us[0],
                version=self.host.active_policy.applied_version,
                messages=[item.id for item in begun],
            )
        return begun

    def recording_accept(self: Intake, message: Any, replies: Any) -> None:
        accept(self, message, replies)
        if self.host.active_policy and message.number in self.host.journal.messages:
            write_row(
                "took",
                looked_us=lease_checked_at_us[0],
                version=self.host.active_policy.applied_version,
                messages=[message.id],
            )

    def recording_apply(self: ActivePolicy, version: int, text: bytes) -> None:
        apply(self, version, text)
        if self.applied_version == version:
            stage = self.member_transport.node.register.document.policy.stage
            write_row(
                "policy",
                version=version,
                values=self.history.values,
                changes=[entry.id for entry in self.history.entries],
                staged=bool(stage and stage.version == version),
            )

    def recording_set_holding(self: ActivePolicy, is_holding: bool) -> None:
        if is_holding is not self.is_paused:
            # Only transitions are recorded. version: the one applied.
            write_row("holds", on=is_holding, version=self.applied_version)
        set_holding(self, is_holding)

    ActivePolicy.may_act = recording_may_act  # type: ignore[method-assign]
    Attempts.record = recording_record_attempts  # type: ignore[method-assign]
    Intake.accept = recording_accept  # type: ignore[method-assign]
    ActivePolicy._apply = recording_apply  # type: ignore[method-assign]
    ActivePolicy._set_paused = recording_set_holding  # type: ignore[method-assign]


def main() -> int:
    """Applies the environment variables of the trial, runs the program and returns its exit status."""
    if offset_s := os.environ.get("HOPMILL_TRIAL_CLOCK_S"):
        shift_wall_clock(float(offset_s))
    if path := os.environ.get("HOPMILL_TRIAL_DISK"):
        delay_disk_syncs(path)
    if path := os.environ.get("HOPMILL_TRIAL_RECORD"):
        record_decisions(path)
    from hopmill.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
