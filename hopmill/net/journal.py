"""The journal in the state folder: messages that the courier is responsible for, and their progress.

The file is append-only. Each record (hopmill/net/journal_records.py) is written with os.write before the
action that it records. What was written survives SIGKILL without fsync. After a crash a torn record at the
end is cut off and the rest is used.

A record of something that has happened already (an end, an attempt that did not run) can't be refused if its
write fails: it is applied, and owed to the file until the storage works again.

After each record a compacted copy of the live entries still fits beside the file within the disk limit. What
adds an entry is admitted only if its own end fits as well, so the file can always be compacted.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hopmill import logs
from hopmill.net.append_file import AppendFile, write_all
from hopmill.net.journal_compaction import (
    FIXED_RECORDS_BYTES,
    clock_record,
    compacted_parts,
    dispensable_from,
)
from hopmill.net.journal_records import (
    MESSAGE_MEMORY_BYTES,
    JournalContents,
    JournaledMessage,
    encode_record,
    parse_records,
)
from hopmill.net.timescale import boot_id, elapsed_s, from_wall_clock

JOURNAL_FILE, NEW_JOURNAL_FILE = "messages.journal", "messages.journal.new"
BLOCK_BYTES = 512  # a file counts against the disk limit in whole blocks
# Beside two copies of the live entries: room for the records between two compactions, those of ends included.
SPARE_BYTES = 4096
EXCLUSIONS_SPARE_BYTES = 4096  # kept free by messages, so that operators can exclude endpoints and zones
# If a time scale that starts after a boot reads no later than the latest record plus this, the wall clock is
# assumed to have been set back between the boots.
SET_BACK_TOLERANCE_S = 0.001
UNLIMITED_BYTES = 1 << 60
FORGETTING_INTERVAL_S = 0.25  # between two searches for entries that can be forgotten, for lack of room
RESTORE_PART_BYTES = 1 << 18  # of the file, read at a time
COMPACTION_RETRY_S = 0.5  # after a compaction that failed
MIN_COMPACTION_BYTES = 1 << 17  # smaller files are compacted only for lack of space
log = logs.part("journal")


class JournalFullError(OSError):
    """The record would exceed the disk limit."""


def round_up_to_blocks(size: int) -> int:
    """Return the bytes that a file of this size takes on disk."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class Journal(JournalContents):
    """The journal with its file.

    `record_` methods raise OSError (JournalFullError over the disk limit) unless they say that they do not.
    """

    def __init__(
        self,
        folder: Path,
        limit_bytes: int,
        key_window_s: float = 0.0,
        memory_limit_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        """limit_bytes: of the files. memory_limit_bytes: of the entries in memory, for new messages."""
        super().__init__(key_window_s)
        self.memory_limit_bytes = memory_limit_bytes
        self.no_forgetting_until_s = 0.0  # of the elapsed clock
        self.path, self.new_path = folder / JOURNAL_FILE, folder / NEW_JOURNAL_FILE
        self.limit_bytes = limit_bytes
        self.no_compaction_until_s = 0.0  # of the elapsed clock
        self.owed_data = bytearray()  # records that are applied and not in the file yet
        self.owed_count = 0
        self.failing_since_s: float | None = None  # elapsed clock; None while writes succeed
        self.on_write_failed: Callable[[], None] = lambda: None
        with contextlib.suppress(OSError):  # the next compaction overwrites it
            self.new_path.unlink(missing_ok=True)
        fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.file = AppendFile(fd, self._restore())
        self._set_time_scale()
        if not self._fits():  # written by a build or with a limit that allowed it
            self.compact()

    def _restore(self) -> int:
        """Apply the records of the file, part by part; return where the last complete one ends."""
        end, rest = 0, b""
        with self.path.open("rb") as file:
            while part := file.read(RESTORE_PART_BYTES):
                records, parsed = parse_records(rest + part)
                rest, end = (rest + part)[parsed:], end + parsed
                self._apply_all(records)
        if rest:
            log.warning("journal.tail_cut", bytes=len(rest))
        return end

    def _apply_all(self, records: list[list[Any]]) -> None:
        for record in records:
            try:
                self.apply(record)
            except (TypeError, ValueError, LookupError, AttributeError) as error:
                log.error("journal.unusable", error=error)

    def _set_time_scale(self) -> None:
        """Keep the time scale if it was written in this boot, otherwise start one by the wall clock."""
        if self.scale.is_of_this_boot():
            return
        self.scale = from_wall_clock(self.latest_at, boot_id())
        try:
            if self.scale.now() <= self.latest_at + SET_BACK_TOLERANCE_S:
                self._expire_key_windows()
                self.compact()  # writes the scale too, so that the next start does not repeat this
            else:
                self._write(clock_record(self))
        except OSError as error:
            log.error("journal.failed", error=error)

    def _expire_key_windows(self) -> None:
        """Treat whatever may have run as past its idempotency window.

        The wall clock went back between two boots, so it is not known how long the machine was down.
        """
        # Keys move back by their window only: moved back by the whole retention they would be forgotten at
        # the next compaction, and a message with such a key would count as never attempted. Messages are kept
        # whatever the time of their attempts.
        for message in self.messages.values():
            if message.may_have_run_at:
                message.earlier_run_zone, message.earlier_run_at = (
                    message.may_have_run_zone,
                    min(message.may_have_run_at, self.latest_at) - self.key_retention_s,
                )
        self.first_run_by_key = {
            key: min(at, self.latest_at - self.key_window_s) for key, at in self.first_run_by_key.items()
        }

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    # A record is written first and then applied; a restart applies the same records.

    def record_message(self, message: JournaledMessage) -> None:
        """Record that the courier has accepted the message."""
        growth = self.bytes_to_accept(message)
        if not self.has_room_for_messages(growth):
            raise JournalFullError(f"no room for a message of {growth} bytes")
        self._write(message.to_record(), growth)

    def record_attempt(self, numbers: list[int], at: float, zone: str = "") -> None:
        """Record that an attempt of these messages is about to be sent to an endpoint in that zone."""
        self._write(["try", numbers, at, zone])

    def record_repeatable_attempt(self, numbers: list[int], at: float, zone: str = "") -> None:
        """Record an attempt of messages that may be repeated. Never raises."""
        self._write_or_owe(["try", numbers, at, zone])

    def record_not_run(self, number: int) -> None:
        """Record that the newest attempt is known not to have run. Never raises."""
        self._write_or_owe(["miss", number])

    def record_done(self, number: int) -> None:
        """Record that nothing is owed: delivered, or withdrawn by its endpoint. Never raises."""
        self._write_or_owe(["over", [number], self.scale.now()])

    def record_end(self, number: int, status: str, retry_after_ms: int) -> None:
        """Record the final status, of which a notice is owed. Never raises."""
        self._write_or_owe(["final", number, status, retry_after_ms])

    def record_notices_accepted(self, numbers: list[int]) -> None:
        """Record that the notices of these messages were accepted; nothing more is owed. Never raises."""
        self._write_or_owe(["over", numbers, self.scale.now()])

    def record_drained(self, drained: bool) -> None:
        """Record that an operator drains the courier of clients, or lets clients return."""
        self._write(["drain", drained])

    def record_endpoint_excluded(self, uid: str, excluded: bool) -> None:
        """Record that an operator excludes an endpoint, or lets it serve again."""
        self._record_excluded("hand", self.excluded_endpoints, uid, excluded)

    def record_zone_excluded(self, name: str, excluded: bool) -> None:
        """Record that an operator excludes a zone, or lets it serve again."""
        self._record_excluded("zone", self.excluded_zones, name, excluded)

    def _record_excluded(self, kind: str, names: set[str], name: str, excluded: bool) -> None:
        growth = self.bytes_to_exclude(names, name) if excluded else 0
        if growth:
            self._require_room_for(growth, 0)
        self._write([kind, name, excluded], growth)

    def _write(self, record: list[Any], growth: int = 0) -> None:
        """Write and apply a record. growth: by how much it raises live_bytes at most."""
        if self.owed_data:  # only `write_owed` tries, not every request of a client
            raise OSError(errno.EIO, "earlier records could not be written yet")
        data = encode_record(record)
        self._make_room(len(data), growth)
        self._append(data)
        self.apply(record)

    def _write_or_owe(self, record: list[Any]) -> None:
        try:
            self._write(record)
        except OSError:
            self.owed_data += encode_record(record)
            self.owed_count += 1
            self.apply(record)
            self.on_write_failed()

    def write_owed(self) -> None:
        """Write the owed records, or a record without effect to learn whether the storage works again."""
        try:
            self._make_room(len(self.owed_data))  # a compaction writes them too
            self._append(bytes(self.owed_data) or encode_record(clock_record(self)))
        except OSError:
            self.on_write_failed()

    def is_complete(self) -> bool:
        """Write what is owed; return whether the file has all records."""
        if self.owed_data:
            self.write_owed()
        return not self.owed_data

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed, or records are owed."""
        return self.failing_since_s is not None or bool(self.owed_data)

    def _append(self, data: bytes) -> None:
        try:
            self.file.append(data)
        except OSError as error:
            self._note_failure(error)
            raise
        self._note_success()

    def _note_failure(self, error: OSError) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = elapsed_s()
            log.error("journal.failing", error=error)
        self.on_write_failed()

    def _note_success(self) -> None:
        if self.failing_since_s is not None:
            failed_s = elapsed_s() - self.failing_since_s
            log.warning("journal.recovered", failed_s=round(failed_s, 3), owed=self.owed_count)
            self.failing_since_s = None
        self.owed_data.clear()
        self.owed_count = 0

    def has_room_for_messages(self, growth: int) -> bool:
        """Return whether messages of this size in all may be accepted, on disk and in memory."""
        if self._has_room_and_memory_for(growth):
            return True
        if elapsed_s() < self.no_forgetting_until_s:
            return False
        self.no_forgetting_until_s = elapsed_s() + FORGETTING_INTERVAL_S
        self.forget_outlived()
        return self._has_room_and_memory_for(growth)

    def _has_room_and_memory_for(self, growth: int) -> bool:
        memory_bytes = self.memory_bytes + growth + MESSAGE_MEMORY_BYTES
        return memory_bytes <= self.memory_limit_bytes and self._has_room_for(growth, EXCLUSIONS_SPARE_BYTES)

    def _require_room_for(self, growth: int, spare_bytes: int) -> None:
        """Raise JournalFullError unless entries of this size fit, with their ends and `spare_bytes` more."""
        if not self._has_room_for(growth, spare_bytes):
            self.forget_outlived()
            if not self._has_room_for(growth, spare_bytes):
                raise JournalFullError(f"no room in the journal for an entry of {growth} bytes")

    def _has_room_for(self, growth: int, spare_bytes: int) -> bool:
        """Return whether two copies of all live entries with this one stay under the limit.

        A compaction writes the second copy beside the file before it replaces it.
        """
        copy_bytes = round_up_to_blocks(self.live_bytes + growth + FIXED_RECORDS_BYTES)
        return 2 * copy_bytes + SPARE_BYTES + spare_bytes <= self.limit_bytes

    def _make_room(self, record_bytes: int, growth: int = 0) -> None:
        """Compact before a record of this size if that is due; raise JournalFullError if it does not fit."""
        most_bytes = max(MIN_COMPACTION_BYTES, 4 * self.live_bytes)
        if self.file.size + record_bytes > most_bytes or not self._fits(record_bytes, growth):
            if elapsed_s() >= self.no_compaction_until_s:
                self.compact()
            if not self._fits(record_bytes, growth):
                raise JournalFullError(
                    f"a record of {record_bytes} bytes exceeds the disk limit of {self.limit_bytes} bytes"
                )

    def _fits(self, record_bytes: int = 0, growth: int = 0) -> bool:
        """Return whether a compacted copy still fits beside the file after a write of this size."""
        copy_bytes = self.live_bytes + growth + FIXED_RECORDS_BYTES
        file_bytes = self.file.size + record_bytes
        return round_up_to_blocks(file_bytes) + round_up_to_blocks(copy_bytes) <= self.limit_bytes

    def compact(self) -> None:
        """Write the live entries to a new file and replace the old one.

        If that fails the old file stays in use.
        """
        self.forget_outlived()
        parts = compacted_parts(self)
        try:
            self._cut_off_for(sum(map(len, parts)))
            self._replace_file(parts)
        except OSError as error:
            log.error(
                "journal.not_compacted",
                error=error,
                file_bytes=self.file.size,
                live_bytes=self.live_bytes,
                limit_bytes=self.limit_bytes,
            )
            self.no_compaction_until_s = elapsed_s() + COMPACTION_RETRY_S

    def _cut_off_for(self, copy_bytes: int) -> None:
        """Shorten a file beside which a copy of this size does not fit. Raises OSError.

        Only a file that was written under a higher limit, or by an earlier build, is that long.
        """
        max_bytes = self.limit_bytes - round_up_to_blocks(copy_bytes)
        if round_up_to_blocks(self.file.size) <= max_bytes:
            return
        max_bytes -= max_bytes % BLOCK_BYTES
        end = dispensable_from(self.path.read_bytes()[: self.file.size], self, max_bytes)
        if end is None:
            raise JournalFullError("no copy fits beside the file before its messages have ended")
        log.warning("journal.cut_off", bytes=self.file.size - end, limit_bytes=self.limit_bytes)
        self.file.cut_off(end)

    def _replace_file(self, parts: list[bytes]) -> None:
        new_fd = os.open(self.new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            for part in parts:
                write_all(new_fd, part)
            os.rename(self.new_path, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                os.close(new_fd)
            with contextlib.suppress(OSError):
                self.new_path.unlink(missing_ok=True)
            raise
        self.file.replace(new_fd, sum(map(len, parts)))
        self._note_success()  # the new file has all that was owed
