"""The journal in the folder that lasts: what the courier has taken on, and how far each message has come.

Append-only records, each with length and checksum, written with os.write before the thing that they make
true. What was written outlasts SIGKILL with no sync. A torn tail is cut off and the rest is used.
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

RECORD_HEADER = struct.Struct(">II")  # length, checksum
JOURNAL_FILE, FRESH = "messages.journal", "messages.journal.new"
BLOCK = 512  # files count in whole blocks
EACH = 160  # bytes kept free for each message's later records
SPARE_BYTES = 8192  # kept free for all else
OVER_S = 30.0  # how long the id of a message that is over is known
KEYS_S = 60.0  # and an idempotency key past its window
STEP_S = 0.001  # a scale that begins no later than this after the latest record was set back to it
SMALL = 1 << 17  # a file under this is not worth compacting
log = logs.part("journal")


class JournalFullError(OSError):
    """The record would take more than the disk limit allows."""


@dataclass
class JournaledMessage:
    """A message that the courier owes something: its end, or a notice of it. Times are the journal's."""

    number: int
    id: str
    class_index: int
    tenant: int
    destination: int
    key: str
    expires_at: float
    resubmitted: bool
    body: bytes
    order: int = 0
    attempts: int = 0
    latest_attempt_at: float = 0.0  # start of the newest attempt, 0 once it has proved that it never ran
    earlier_run_at: float = 0.0  # start of the first attempt that may have run
    status: str = ""  # of its final notice, which is owed
    retry_after_ms: int = 0
    latest_attempt_zone: str = ""  # where the newest attempt went,
    earlier_run_zone: str = ""  # and the first that may have run; "" if that is not known

    @property
    def may_have_run_at(self) -> float:
        return self.earlier_run_at or self.latest_attempt_at

    @property
    def may_have_run_zone(self) -> str:
        return self.earlier_run_zone if self.earlier_run_at else self.latest_attempt_zone

    def to_record(self) -> list[Any]:
        return ["take", *(getattr(self, f.name) for f in fields(self))]

    @property
    def size_bytes(self) -> int:
        return len(self.body) + len(self.id) + len(self.key) + EACH


def encode_record(record: list[Any]) -> bytes:
    payload = msgpack.packb(record)
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def parse_records(data: bytes) -> tuple[list[list[Any]], int]:
    """The whole records at the start of data, and where they end."""
    records, at = [], 0
    while at + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, at)
        payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
        if len(payload) != size or zlib.crc32(payload) != checksum or not size:
            break
        try:
            records.append(msgpack.unpackb(payload))
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            log.error("journal.unreadable", error=error)
        at += RECORD_HEADER.size + size
    return records, at


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class JournalContents:
    """What records add up to: open messages, owed notices and what is remembered of those that are over."""

    def __init__(self, key_window_s: float = 0.0) -> None:
        self.key_window_s, self.key_s = key_window_s, key_window_s + KEYS_S
        self.scale = from_wall_clock(0.0, "")  # until a record tells it
        self.latest = 0.0  # time in a record
        self.messages: dict[int, JournaledMessage] = {}
        self.numbers_by_id: dict[str, int] = {}
        self.ended_ids: dict[str, float] = {}  # id: when it was over
        self.first_run_by_key: dict[
            str, float
        ] = {}  # key: when the first attempt with it that may have run was sent
        self.drained = False  # by an operator, until called back
        self.excluded_endpoints: set[str] = set()  # endpoints' uids, the same
        self.excluded_zones: set[str] = set()  # zones' names, the same
        self.live_bytes = self.last_number = 0
        self.open_count = 0  # held messages whose end is not settled: `held` has those that owe a notice too

    def apply(self, record: list[Any]) -> None:
        kind = record[0]
        if kind == "take":
            m = JournaledMessage(*record[1:])
            if m.number in self.messages:
                self.open_count -= not self.messages[m.number].status
            self.messages[m.number], self.numbers_by_id[m.id] = m, m.number
            self.open_count += not m.status
            self.last_number = max(self.last_number, m.number)
            self.live_bytes += m.size_bytes
        elif kind == "try":
            for number in record[1]:
                if m := self.messages.get(number):
                    m.earlier_run_zone, m.earlier_run_at = m.may_have_run_zone, m.may_have_run_at
                    m.attempts, m.latest_attempt_at = m.attempts + 1, record[2]
                    self.latest = max(self.latest, m.latest_attempt_at)
                    m.latest_attempt_zone = str(record[3]) if len(record) > 3 else ""
                    if m.key:
                        self._remember_key(m.key, m.may_have_run_at)
        elif kind == "miss":
            if m := self.messages.get(record[1]):
                m.latest_attempt_at = 0.0
                if m.key and not m.earlier_run_at:
                    self.live_bytes -= EACH * (self.first_run_by_key.pop(m.key, None) is not None)
        elif kind == "final":
            if m := self.messages.get(record[1]):
                self.live_bytes -= len(m.body)
                m.body = b""
                self.mark_ended(m, record[2], record[3])
        elif kind == "over":
            for number in record[1]:
                if m := self.messages.pop(number, None):
                    self.open_count -= not m.status
                    self.numbers_by_id.pop(m.id, None)
                    self.live_bytes -= m.size_bytes
                    self._remember_over(m.id, record[2])
        elif kind == "clock":
            self.scale = TimeScale(str(record[1]), float(record[2]))
        elif kind == "drain":
            self.drained = bool(record[1])
        elif kind == "hand":
            self._set(self.excluded_endpoints, str(record[1]), bool(record[2]))
        elif kind == "zone":
            self._set(self.excluded_zones, str(record[1]), bool(record[2]))
        elif kind == "known":
            self.last_number = max(self.last_number, record[1])
            for ident, at in record[2].items():
                self._remember_over(ident, at)
            for key, at in record[3].items():
                self._remember_key(key, at)

    def mark_ended(self, m: JournaledMessage, status: str, again_ms: int) -> None:
        """Its end is known; a notice of it is owed."""
        self.open_count -= not m.status
        m.status, m.retry_after_ms = status, again_ms

    def _set(self, names: set[str], name: str, out: bool) -> None:
        self.live_bytes += (len(name) + EACH) * (out - (name in names))
        (names.add if out else names.discard)(name)

    def key_first_run_at(self, key: str) -> float:
        """When the first attempt with this key that may have run was sent, 0 if none is known."""
        at = self.first_run_by_key.get(key, 0.0) if key else 0.0
        return at if self.scale.now() - at < self.key_s else 0.0

    def _remember_over(self, ident: str, at: float) -> None:
        if self.ended_ids.pop(ident, None) is None:
            self.live_bytes += EACH
        self.latest = max(self.latest, at)
        self.ended_ids[ident] = at  # the newest last
        # Not only when the file is rewritten: how often that is hangs on the disk limit, not on the ids' age.
        while at - self.ended_ids[oldest := next(iter(self.ended_ids))] >= OVER_S:
            del self.ended_ids[oldest]
            self.live_bytes -= EACH

    def _remember_key(self, key: str, at: float) -> None:
        if key not in self.first_run_by_key:
            self.live_bytes += EACH
            self.first_run_by_key[key] = at


class Journal(JournalContents):
    """The same with its file, to which each record is written before it is applied."""

    def __init__(self, folder: Path, limit_bytes: int, key_window_s: float = 0.0) -> None:
        super().__init__(key_window_s)
        self.path, self.fresh = folder / JOURNAL_FILE, folder / FRESH
        self.limit_bytes = limit_bytes
        self.fresh.unlink(missing_ok=True)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.size_bytes = self._restore()
        self._set_scale()

    def _restore(self) -> int:
        data = self.path.read_bytes()
        records, end = parse_records(data)
        if end < len(data):
            log.warning("journal.tail_cut", bytes=len(data) - end)
            os.ftruncate(self.file, end)
        for record in records:
            try:
                self.apply(record)
            except (TypeError, ValueError, LookupError, AttributeError) as error:
                log.error("journal.unusable", error=error)
        return end

    def _set_scale(self) -> None:
        """That of this boot, where a process before this one wrote in it; else the wall clock's."""
        if self.scale.is_of_this_boot():
            return
        self.scale = from_wall_clock(self.latest, boot_id())
        try:
            if self.scale.now() <= self.latest + STEP_S:
                self._forget_windows()
                self.compact()  # with the scale in it, or the next start finds out anew
            else:
                self._write(["clock", self.scale.boot_id, self.scale.offset_s])
        except OSError as error:
            log.error("journal.failed", error=error)

    def _forget_windows(self) -> None:
        """The wall clock went back between two boots: nobody knows how long the machine was down, so whatever
        may have run is taken to be past its window."""
        for m in self.messages.values():
            if m.may_have_run_at:
                m.earlier_run_zone, m.earlier_run_at = (
                    m.may_have_run_zone,
                    min(m.may_have_run_at, self.latest) - self.key_s,
                )
        self.first_run_by_key = {
            key: min(at, self.latest - self.key_window_s) for key, at in self.first_run_by_key.items()
        }

    def close(self) -> None:
        os.close(self.file)

    # Records: written first, then applied; restoring applies the same ones.

    def record_message(self, m: JournaledMessage) -> None:
        """The message is taken on."""
        if not self._room(m.size_bytes):
            self.compact()  # it may be ids and keys that nobody needs any more
            if not self._room(m.size_bytes):
                raise JournalFullError(f"no room for {m.size_bytes} bytes")
        self._write(m.to_record())

    def record_attempt(self, numbers: list[int], at: float, zone: str = "") -> None:
        """An attempt of these is about to be written, to an endpoint in that zone."""
        self._write(["try", numbers, at, zone])

    def record_not_run(self, number: int) -> None:
        """The newest attempt has proved that it never ran."""
        self._write(["miss", number])

    def record_done(self, number: int) -> None:
        """Delivered, withdrawn, or refused before it was taken on: nothing more is owed."""
        self._write(["over", [number], self.scale.now()])

    def record_end(self, number: int, status: str, again_ms: int) -> None:
        """A notice is owed."""
        self._write(["final", number, status, again_ms])

    def record_notices_accepted(self, numbers: list[int]) -> None:
        """Notices were accepted."""
        self._write(["over", numbers, self.scale.now()])

    def record_drained(self, on: bool) -> None:
        """An operator sends the clients away, or calls them back."""
        self._write(["drain", on])

    def record_endpoint_excluded(self, uid: str, out: bool) -> None:
        """An operator leaves an endpoint out, or lets it serve again."""
        self._write(["hand", uid, out])

    def record_zone_excluded(self, name: str, out: bool) -> None:
        """An operator leaves a zone out, or lets it return."""
        self._write(["zone", name, out])

    def _write(self, record: list[Any]) -> None:
        data = encode_record(record)
        if self.size_bytes + len(data) > max(SMALL, 4 * self.live_bytes) or not self._fits(len(data)):
            self.compact()
        if blocks(self.size_bytes + len(data)) > self.limit_bytes:
            raise JournalFullError("the disk limit is reached")
        try:
            written = os.write(self.file, data)
        except OSError:
            os.ftruncate(self.file, self.size_bytes)
            raise
        if written != len(data):  # a part of a record would hide all that comes after it
            os.ftruncate(self.file, self.size_bytes)
            raise JournalFullError("the disk is full")
        self.size_bytes += written
        self.apply(record)

    def _room(self, more: int) -> bool:
        """Whether two copies of all that is open, and of this, would stay under the limit."""
        return blocks(2 * (self.live_bytes + more) + SPARE_BYTES) <= self.limit_bytes

    def _fits(self, more: int) -> bool:
        """Whether a compacted copy could still stand beside the file."""
        return blocks(self.size_bytes + more) + blocks(self.live_bytes + SPARE_BYTES) <= self.limit_bytes

    def compact(self) -> None:
        """Write what is still needed into a new file and put it in the old one's place."""
        now = self.scale.now()
        self.ended_ids = {i: at for i, at in self.ended_ids.items() if now - at < OVER_S}
        self.first_run_by_key = {k: at for k, at in self.first_run_by_key.items() if now - at < self.key_s}
        self.live_bytes = sum(m.size_bytes for m in self.messages.values()) + EACH * (
            len(self.ended_ids) + len(self.first_run_by_key)
        )
        self.live_bytes += sum(len(name) + EACH for name in (*self.excluded_endpoints, *self.excluded_zones))
        parts = [
            encode_record(["clock", self.scale.boot_id, self.scale.offset_s]),
            encode_record(["known", self.last_number, self.ended_ids, self.first_run_by_key]),
            encode_record(["drain", self.drained]),
            *(encode_record(["hand", uid, True]) for uid in self.excluded_endpoints),
            *(encode_record(["zone", name, True]) for name in self.excluded_zones),
        ]
        for m in self.messages.values():
            parts.append(encode_record(m.to_record()))
        data = b"".join(parts)
        if blocks(self.size_bytes) + blocks(len(data)) > self.limit_bytes:
            return
        file = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            if os.write(file, data) != len(data):
                raise JournalFullError("the disk is full")
            os.rename(self.fresh, self.path)
        except OSError as error:  # the old file is whole: go on with it
            log.error("journal.not_compacted", error=error)
            os.close(file)
            self.fresh.unlink(missing_ok=True)
            return
        os.close(self.file)
        self.file, self.size_bytes = file, len(data)
