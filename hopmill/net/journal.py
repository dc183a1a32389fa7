"""The journal in the state folder: messages that the courier is responsible for, and their progress.

The file is append-only. Each record has its length and checksum, and is written with os.write before the
action that it records. What was written survives SIGKILL without fsync. After a crash a torn record at the
end is cut off and the rest is used.

A record is a list; the first element is its kind, the others are its fields:

    kind   fields                                   meaning
    take   all fields of JournaledMessage in order  the message was accepted
    try    numbers, time, zone                      an attempt of these messages is about to be sent
    miss   number                                   the newest attempt of the message did not run
    final  number, status, retry_after_ms           the message has its final status; a notice of it is owed
    over   numbers, time                            nothing is owed for these messages any more
    clock  boot id, offset in seconds               the time scale of all times in the journal
    drain  whether drained                          an operator drains the courier of clients, or ends that
    hand   uid, whether excluded                    an operator excludes an endpoint, or ends that
    zone   name, whether excluded                   an operator excludes a zone, or ends that
    known  latest number, {id: time}, {key: time}   written by a compaction: the latest number given to a
                                                    message, ids of ended messages with the time of their end,
                                                    idempotency keys with the start of the first attempt with
                                                    them that may have run

A `try` without the zone is read as one in an unknown zone. Numbers are those of JournaledMessage.number.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import msgpack

from hopmill import logs
from hopmill.net.timescale import TimeScale, boot_id, from_wall_clock

RECORD_HEADER = struct.Struct(">II")  # length of the payload in bytes, its CRC-32
JOURNAL_FILE, NEW_JOURNAL_FILE = "messages.journal", "messages.journal.new"
BLOCK_BYTES = 512  # a file counts against the disk limit in whole blocks
ENTRY_RESERVE_BYTES = 160  # reserved for the later records of a message, and for each remembered name
SPARE_BYTES = 8192  # reserved for all other records
ENDED_ID_RETENTION_S = 30.0  # ids of ended messages are recognized for this long
KEY_EXTRA_RETENTION_S = 60.0  # idempotency keys are remembered for this long after their window
# If a time scale that starts after a boot reads no later than the latest record plus this, the wall clock is
# assumed to have been set back between the boots.
SET_BACK_TOLERANCE_S = 0.001
MIN_COMPACTION_BYTES = 1 << 17  # smaller files are compacted only for lack of space
log = logs.part("journal")


class JournalFullError(OSError):
    """The record would exceed the disk limit, or the disk is full."""


@dataclass
class JournaledMessage:
    """A message for which the courier still owes an end or a notice.

    It is stored as a list: the order of the fields is the format. Times (`_at`) are seconds on the journal's
    time scale.
    """

    number: int  # assigned by this courier, unique in the journal
    id: str  # assigned by the client
    class_index: int  # in the settings' classes
    tenant: int  # index in the settings' tenants
    destination: int
    idempotency_key: str  # "" if there is none
    expires_at: float
    resubmitted: bool  # the client marked it as a repeat
    body: bytes
    order_key: int = 0  # shared by messages that are kept in order, 0 for none
    attempts: int = 0  # begun so far
    latest_attempt_at: float = 0.0  # start of the newest attempt; 0 once it is known not to have run
    earlier_run_at: float = 0.0  # start of the first attempt before the newest that may have run, 0 for none
    status: str = ""  # final status ("deferred", "undeliverable"), "" while open
    retry_after_ms: int = 0  # goes into the notice of the final status, 0 for none
    latest_attempt_zone: str = ""  # zone of the newest attempt, "" if not known
    earlier_run_zone: str = ""  # zone of the attempt of earlier_run_at, "" if not known

    @property
    def may_have_run_at(self) -> float:
        """Start of the first attempt that may have run, 0 if there is none."""
        return self.earlier_run_at or self.latest_attempt_at

    @property
    def may_have_run_zone(self) -> str:
        """Zone of that attempt, "" if not known."""
        return self.earlier_run_zone if self.earlier_run_at else self.latest_attempt_zone

    def to_record(self) -> list[Any]:
        """Return the `take` record with all fields by position."""
        return ["take", *(getattr(self, f.name) for f in fields(self))]

    @property
    def reserved_bytes(self) -> int:
        """An upper bound on what the message takes in the journal, with its later records."""
        return len(self.body) + len(self.id) + len(self.idempotency_key) + ENTRY_RESERVE_BYTES


def encode_record(record: list[Any]) -> bytes:
    """Return a record as it is written: header and msgpack payload."""
    payload = msgpack.packb(record)
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def parse_records(data: bytes) -> tuple[list[list[Any]], int]:
    """Return the complete records at the start of `data`, and the offset at which they end.

    A record with a correct checksum that cannot be decoded is logged and skipped.
    """
    records, offset = [], 0
    while offset + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, offset)
        payload = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + size]
        if len(payload) != size or zlib.crc32(payload) != checksum or not size:
            break
        try:
            records.append(msgpack.unpackb(payload))
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            log.error("journal.unreadable", error=error)
        offset += RECORD_HEADER.size + size
    return records, offset


def round_up_to_blocks(size: int) -> int:
    """Return the bytes that a file of this size takes on disk."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class JournalContents:
    """The state that the records add up to.

    It has open messages, owed notices, what is remembered of ended messages, and what operators set.
    """

    def __init__(self, key_window_s: float = 0.0) -> None:
        self.key_window_s, self.key_retention_s = key_window_s, key_window_s + KEY_EXTRA_RETENTION_S
        self.scale = from_wall_clock(0.0, "")  # replaced by that of a `clock` record
        self.latest_at = 0.0  # the latest time found in the records
        self.messages: dict[int, JournaledMessage] = {}
        self.numbers_by_id: dict[str, int] = {}
        self.ended_ids: dict[str, float] = {}  # id: when the message ended, in that order
        # Idempotency key: start of the first attempt with it that may have run.
        self.first_run_by_key: dict[str, float] = {}
        self.drained = False  # whether an operator drains the courier of clients
        self.excluded_endpoints: set[str] = set()  # uids, excluded by an operator
        self.excluded_zones: set[str] = set()  # names, excluded by an operator
        # live_bytes: upper bound on what a compacted journal takes, with the reserve for later records.
        self.live_bytes = self.last_number = 0
        self.open_count = 0  # messages without a final status; `messages` also has those that owe a notice

    def apply(self, record: list[Any]) -> None:
        """Apply one record.

        Raises TypeError, ValueError, LookupError or AttributeError if the record is malformed.
        """
        kind = record[0]
        if kind == "take":
            self._apply_message(record)
        elif kind == "try":
            self._apply_attempt(record)
        elif kind == "miss":
            self._apply_not_run(record)
        elif kind == "final":
            if message := self.messages.get(record[1]):
                self.live_bytes -= len(message.body)
                message.body = b""
                self.mark_ended(message, record[2], record[3])
        elif kind == "over":
            self._apply_over(record)
        elif kind == "clock":
            self.scale = TimeScale(str(record[1]), float(record[2]))
        elif kind == "drain":
            self.drained = bool(record[1])
        elif kind == "hand":
            self._set_excluded(self.excluded_endpoints, str(record[1]), bool(record[2]))
        elif kind == "zone":
            self._set_excluded(self.excluded_zones, str(record[1]), bool(record[2]))
        elif kind == "known":
            self.last_number = max(self.last_number, record[1])
            for message_id, at in record[2].items():
                self._remember_ended_id(message_id, at)
            for key, at in record[3].items():
                self._remember_key(key, at)

    def _apply_message(self, record: list[Any]) -> None:
        """Add an accepted message."""
        message = JournaledMessage(*record[1:])
        if message.number in self.messages:
            self.open_count -= not self.messages[message.number].status
        self.messages[message.number], self.numbers_by_id[message.id] = message, message.number
        self.open_count += not message.status
        self.last_number = max(self.last_number, message.number)
        self.live_bytes += message.reserved_bytes

    def _apply_attempt(self, record: list[Any]) -> None:
        """Note an attempt of messages, which may run from now on."""
        for number in record[1]:
            if message := self.messages.get(number):
                message.earlier_run_zone, message.earlier_run_at = (
                    message.may_have_run_zone,
                    message.may_have_run_at,
                )
                message.attempts, message.latest_attempt_at = message.attempts + 1, record[2]
                self.latest_at = max(self.latest_at, message.latest_attempt_at)
                message.latest_attempt_zone = str(record[3]) if len(record) > 3 else ""
                if message.idempotency_key:
                    self._remember_key(message.idempotency_key, message.may_have_run_at)

    def _apply_not_run(self, record: list[Any]) -> None:
        """Take back the newest attempt of a message, which did not run."""
        if message := self.messages.get(record[1]):
            message.latest_attempt_at = 0.0
            key = message.idempotency_key
            if key and not message.earlier_run_at and self.first_run_by_key.pop(key, None) is not None:
                self.live_bytes -= ENTRY_RESERVE_BYTES

    def _apply_over(self, record: list[Any]) -> None:
        """Forget messages for which nothing is owed, and remember their ids."""
        for number in record[1]:
            if message := self.messages.pop(number, None):
                self.open_count -= not message.status
                self.numbers_by_id.pop(message.id, None)
                self.live_bytes -= message.reserved_bytes
                self._remember_ended_id(message.id, record[2])

    def mark_ended(self, message: JournaledMessage, status: str, retry_after_ms: int) -> None:
        """Set the final status of a message; a notice of it is owed from now on."""
        self.open_count -= not message.status
        message.status, message.retry_after_ms = status, retry_after_ms

    def _set_excluded(self, names: set[str], name: str, excluded: bool) -> None:
        self.live_bytes += (len(name) + ENTRY_RESERVE_BYTES) * (excluded - (name in names))
        (names.add if excluded else names.discard)(name)

    def key_first_run_at(self, key: str) -> float:
        """Return when the first attempt with this key that may have run was sent, 0 if none is known."""
        at = self.first_run_by_key.get(key, 0.0) if key else 0.0
        return at if self.scale.now() - at < self.key_retention_s else 0.0

    def _remember_ended_id(self, message_id: str, at: float) -> None:
        if self.ended_ids.pop(message_id, None) is None:
            self.live_bytes += ENTRY_RESERVE_BYTES
        self.latest_at = max(self.latest_at, at)
        self.ended_ids[message_id] = at  # keeps the dict in order of time
        # compact() is not enough: how often it runs depends on the disk limit, not on the age of the ids.
        while at - self.ended_ids[oldest := next(iter(self.ended_ids))] >= ENDED_ID_RETENTION_S:
            del self.ended_ids[oldest]
            self.live_bytes -= ENTRY_RESERVE_BYTES

    def _remember_key(self, key: str, at: float) -> None:
        if key not in self.first_run_by_key:
            self.live_bytes += ENTRY_RESERVE_BYTES
            self.first_run_by_key[key] = at


class Journal(JournalContents):
    """The journal with its file. Methods that write raise OSError (JournalFullError for lack of space)."""

    def __init__(self, folder: Path, limit_bytes: int, key_window_s: float = 0.0) -> None:
        super().__init__(key_window_s)
        self.path, self.new_path = folder / JOURNAL_FILE, folder / NEW_JOURNAL_FILE
        self.limit_bytes = limit_bytes
        self.new_path.unlink(missing_ok=True)
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.file_bytes = self._restore()
        self._set_time_scale()

    def _restore(self) -> int:
        data = self.path.read_bytes()
        records, end = parse_records(data)
        if end < len(data):
            log.warning("journal.tail_cut", bytes=len(data) - end)
            os.ftruncate(self.fd, end)
        for record in records:
            try:
                self.apply(record)
            except (TypeError, ValueError, LookupError, AttributeError) as error:
                log.error("journal.unusable", error=error)
        return end

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
                self._write(["clock", self.scale.boot_id, self.scale.offset_s])
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
        os.close(self.fd)

    # A record is written first and then applied; a restart applies the same records.

    def record_message(self, message: JournaledMessage) -> None:
        """Record that the courier has accepted the message."""
        if not self._has_room_for(message.reserved_bytes):
            self.compact()  # drops ids and keys that have outlived their retention
            if not self._has_room_for(message.reserved_bytes):
                raise JournalFullError(
                    f"no room in the journal for a message of {message.reserved_bytes} bytes"
                )
        self._write(message.to_record())

    def record_attempt(self, numbers: list[int], at: float, zone: str = "") -> None:
        """Record that an attempt of these messages is about to be sent to an endpoint in that zone."""
        self._write(["try", numbers, at, zone])

    def record_not_run(self, number: int) -> None:
        """Record that the newest attempt is known not to have run."""
        self._write(["miss", number])

    def record_done(self, number: int) -> None:
        """Record that nothing is owed: delivered, or withdrawn by its endpoint."""
        self._write(["over", [number], self.scale.now()])

    def record_end(self, number: int, status: str, retry_after_ms: int) -> None:
        """Record the final status, of which a notice is owed."""
        self._write(["final", number, status, retry_after_ms])

    def record_notices_accepted(self, numbers: list[int]) -> None:
        """Record that the notices of these messages were accepted; nothing more is owed."""
        self._write(["over", numbers, self.scale.now()])

    def record_drained(self, drained: bool) -> None:
        """Record that an operator drains the courier of clients, or lets clients return."""
        self._write(["drain", drained])

    def record_endpoint_excluded(self, uid: str, excluded: bool) -> None:
        """Record that an operator excludes an endpoint, or lets it serve again."""
        self._write(["hand", uid, excluded])

    def record_zone_excluded(self, name: str, excluded: bool) -> None:
        """Record that an operator excludes a zone, or lets it serve again."""
        self._write(["zone", name, excluded])

    def _write(self, record: list[Any]) -> None:
        data = encode_record(record)
        if self.file_bytes + len(data) > max(
            MIN_COMPACTION_BYTES, 4 * self.live_bytes
        ) or not self._can_compact_after(len(data)):
            self.compact()
        if round_up_to_blocks(self.file_bytes + len(data)) > self.limit_bytes:
            raise JournalFullError(
                f"a record of {len(data)} bytes exceeds the disk limit of {self.limit_bytes} bytes"
            )
        try:
            written = os.write(self.fd, data)
        except OSError:
            os.ftruncate(self.fd, self.file_bytes)
            raise
        if written != len(data):  # a partial record would make all later ones unreadable
            os.ftruncate(self.fd, self.file_bytes)
            raise JournalFullError(f"disk full: {written} of {len(data)} bytes written")
        self.file_bytes += written
        self.apply(record)

    def _has_room_for(self, extra_bytes: int) -> bool:
        """Return whether two copies of all live entries with this one stay under the limit.

        A compaction writes the second copy beside the file before it replaces it.
        """
        return round_up_to_blocks(2 * (self.live_bytes + extra_bytes) + SPARE_BYTES) <= self.limit_bytes

    def _can_compact_after(self, extra_bytes: int) -> bool:
        """Return whether a compacted copy still fits beside the file after a write of this size."""
        return (
            round_up_to_blocks(self.file_bytes + extra_bytes)
            + round_up_to_blocks(self.live_bytes + SPARE_BYTES)
            <= self.limit_bytes
        )

    def compact(self) -> None:
        """Write the live entries to a new file and replace the old one, if both fit under the limit."""
        now = self.scale.now()
        self.ended_ids = {
            message_id: at for message_id, at in self.ended_ids.items() if now - at < ENDED_ID_RETENTION_S
        }
        self.first_run_by_key = {
            key: at for key, at in self.first_run_by_key.items() if now - at < self.key_retention_s
        }
        self.live_bytes = sum(
            message.reserved_bytes for message in self.messages.values()
        ) + ENTRY_RESERVE_BYTES * (len(self.ended_ids) + len(self.first_run_by_key))
        self.live_bytes += sum(
            len(name) + ENTRY_RESERVE_BYTES for name in (*self.excluded_endpoints, *self.excluded_zones)
        )
        records = [
            encode_record(["clock", self.scale.boot_id, self.scale.offset_s]),
            encode_record(["known", self.last_number, self.ended_ids, self.first_run_by_key]),
            encode_record(["drain", self.drained]),
            *(encode_record(["hand", uid, True]) for uid in self.excluded_endpoints),
            *(encode_record(["zone", name, True]) for name in self.excluded_zones),
        ]
        for message in self.messages.values():
            records.append(encode_record(message.to_record()))
        data = b"".join(records)
        if round_up_to_blocks(self.file_bytes) + round_up_to_blocks(len(data)) > self.limit_bytes:
            return
        new_fd = os.open(self.new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            if os.write(new_fd, data) != len(data):
                raise JournalFullError(f"disk full: the compacted journal takes {len(data)} bytes")
            os.rename(self.new_path, self.path)
        except OSError as error:  # the old file is intact and stays in use
            log.error("journal.not_compacted", error=error)
            os.close(new_fd)
            self.new_path.unlink(missing_ok=True)
            return
        os.close(self.fd)
        self.fd, self.file_bytes = new_fd, len(data)
