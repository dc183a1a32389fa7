"""The records of the journal, and the state that they add up to.

Each record has its length and checksum. A record is a list; the first element is its kind, the others are
its fields:

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

import struct
import zlib
from collections import Counter
from dataclasses import dataclass, fields
from typing import Any

import msgpack

from hopmill import logs
from hopmill.net.timescale import TimeScale, from_wall_clock

RECORD_HEADER = struct.Struct(">II")  # length of the payload in bytes, its CRC-32
MESSAGE_RESERVE_BYTES = 160  # of a `take` record, without its strings
ZONES_RESERVE_BYTES = 64  # of the names of both zones in a `take` record
NAME_RESERVE_BYTES = 24  # of a remembered id, key or name in a compacted journal, without its characters
# What an entry takes in memory, beside the bytes that it takes in a compacted journal.
MESSAGE_MEMORY_BYTES, NAME_MEMORY_BYTES = 1024, 200
ENDED_ID_RETENTION_S = 30.0  # ids of ended messages are recognized for this long
KEY_EXTRA_RETENTION_S = 60.0  # idempotency keys are remembered for this long after their window
log = logs.part("journal")


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
        """An upper bound on what the message takes in a compacted journal, also once only its id is kept."""
        zone_bytes = len(self.latest_attempt_zone.encode()) + len(self.earlier_run_zone.encode())
        return (
            len(self.body)
            + len(self.id)
            + len(self.idempotency_key)
            + max(ZONES_RESERVE_BYTES, zone_bytes)
            + MESSAGE_RESERVE_BYTES
        )


def encode_record(record: list[Any]) -> bytes:
    """Return a record as it is written: header and msgpack payload."""
    payload = msgpack.packb(record)
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def name_bytes(name: str) -> int:
    """Return an upper bound on what a remembered id, key or name takes in a compacted journal."""
    return len(name.encode()) + NAME_RESERVE_BYTES


def parse_records(data: bytes, max_bytes: int | None = None) -> tuple[list[list[Any]], int]:
    """Return the complete records at the start of `data`, and the offset at which they end.

    A record with a correct checksum that cannot be decoded is logged and skipped. max_bytes: records that end
    later are left out.
    """
    records, offset = [], 0
    data = data[:max_bytes]
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
        # Upper bound on what a compacted journal takes beside its FIXED_RECORDS_BYTES. Of a message, its end
        # and its key are included from the beginning: only `take`, `hand` and `zone` records can raise it
        # (and a `try` in zones with names longer than ZONES_RESERVE_BYTES).
        self.live_bytes = 0
        self.last_number = 0
        self.open_keys: Counter[str] = Counter()  # idempotency key: how many of `messages` have it
        self.latest_by_key: dict[str, int] = {}  # idempotency key: number of its newest message, open or owed
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
        """Add an accepted message, in place of an earlier one with its number."""
        message = JournaledMessage(*record[1:])
        self._remove_message(message.number)
        self.messages[message.number], self.numbers_by_id[message.id] = message, message.number
        self.open_count += not message.status
        self.last_number = max(self.last_number, message.number)
        self.live_bytes += self.bytes_to_accept(message)
        if message.idempotency_key:
            self.open_keys[message.idempotency_key] += 1
            self.latest_by_key[message.idempotency_key] = message.number

    def _remove_message(self, number: int) -> JournaledMessage | None:
        message = self.messages.pop(number, None)
        if message is None:
            return None
        self.open_count -= not message.status
        self.numbers_by_id.pop(message.id, None)
        self.live_bytes -= message.reserved_bytes
        if key := message.idempotency_key:
            self.open_keys[key] -= 1
            if not self.open_keys[key]:
                del self.open_keys[key], self.latest_by_key[key]
                self._release_key(key)
        return message

    def _apply_attempt(self, record: list[Any]) -> None:
        """Note an attempt of messages, which may run from now on."""
        for number in record[1]:
            if message := self.messages.get(number):
                reserved_before = message.reserved_bytes
                message.earlier_run_zone, message.earlier_run_at = (
                    message.may_have_run_zone,
                    message.may_have_run_at,
                )
                message.attempts, message.latest_attempt_at = message.attempts + 1, record[2]
                self.latest_at = max(self.latest_at, message.latest_attempt_at)
                message.latest_attempt_zone = str(record[3]) if len(record) > 3 else ""
                self.live_bytes += message.reserved_bytes - reserved_before
                if message.idempotency_key:
                    self._remember_key(message.idempotency_key, message.may_have_run_at)

    def _apply_not_run(self, record: list[Any]) -> None:
        """Take back the newest attempt of a message, which did not run."""
        if message := self.messages.get(record[1]):
            message.latest_attempt_at = 0.0
            key = message.idempotency_key
            if key and not message.earlier_run_at and self.first_run_by_key.pop(key, None) is not None:
                self._release_key(key)

    def _apply_over(self, record: list[Any]) -> None:
        """Forget messages for which nothing is owed, and remember their ids."""
        for number in record[1]:
            if message := self._remove_message(number):
                self._remember_ended_id(message.id, record[2])

    def bytes_to_accept(self, message: JournaledMessage) -> int:
        """Return by how much live_bytes grows if the message is accepted."""
        key = message.idempotency_key
        return message.reserved_bytes + (name_bytes(key) if key and not self._is_key_counted(key) else 0)

    @property
    def memory_bytes(self) -> int:
        """About how much memory the entries occupy."""
        names = len(self.ended_ids) + len(self.first_run_by_key)
        return self.live_bytes + MESSAGE_MEMORY_BYTES * len(self.messages) + NAME_MEMORY_BYTES * names

    def open_message_with_key(self, key: str) -> JournaledMessage | None:
        """Return the message with this idempotency key that has no final status, None if there is none."""
        message = self.messages.get(self.latest_by_key.get(key, -1)) if key else None
        return message if message and not message.status else None

    def bytes_to_exclude(self, names: set[str], name: str) -> int:
        """Return by how much live_bytes grows if the name is added to the excluded ones."""
        return 0 if name in names else name_bytes(name)

    def count_live_bytes(self) -> int:
        """Return live_bytes, counted anew."""
        names = (
            *self.ended_ids,
            *(self.first_run_by_key.keys() | self.open_keys.keys()),
            *self.excluded_endpoints,
            *self.excluded_zones,
        )
        return sum(message.reserved_bytes for message in self.messages.values()) + sum(map(name_bytes, names))

    def forget_outlived(self) -> None:
        """Forget ids and keys that have outlived their retention."""
        now = self.scale.now()
        for message_id in [i for i, at in self.ended_ids.items() if now - at >= ENDED_ID_RETENTION_S]:
            del self.ended_ids[message_id]
            self.live_bytes -= name_bytes(message_id)
        for key in [key for key, at in self.first_run_by_key.items() if now - at >= self.key_retention_s]:
            del self.first_run_by_key[key]
            self._release_key(key)

    def mark_ended(self, message: JournaledMessage, status: str, retry_after_ms: int) -> None:
        """Set the final status of a message; a notice of it is owed from now on."""
        self.open_count -= not message.status
        message.status, message.retry_after_ms = status, retry_after_ms

    def _set_excluded(self, names: set[str], name: str, excluded: bool) -> None:
        self.live_bytes += name_bytes(name) * (excluded - (name in names))
        (names.add if excluded else names.discard)(name)

    def key_first_run_at(self, key: str) -> float:
        """Return when the first attempt with this key that may have run was sent, 0 if none is known."""
        at = self.first_run_by_key.get(key, 0.0) if key else 0.0
        return at if self.scale.now() - at < self.key_retention_s else 0.0

    def _remember_ended_id(self, message_id: str, at: float) -> None:
        if self.ended_ids.pop(message_id, None) is None:
            self.live_bytes += name_bytes(message_id)
        self.latest_at = max(self.latest_at, at)
        self.ended_ids[message_id] = at  # keeps the dict in order of time
        # A compaction is not enough: how often it runs depends on the disk limit, not on the age of the ids.
        while at - self.ended_ids[oldest := next(iter(self.ended_ids))] >= ENDED_ID_RETENTION_S:
            del self.ended_ids[oldest]
            self.live_bytes -= name_bytes(oldest)

    def _remember_key(self, key: str, at: float) -> None:
        if key not in self.first_run_by_key:
            if not self._is_key_counted(key):
                self.live_bytes += name_bytes(key)
            self.first_run_by_key[key] = at

    def _is_key_counted(self, key: str) -> bool:
        """Return whether live_bytes has the key's entry: from the acceptance of a message with it on."""
        return key in self.first_run_by_key or key in self.open_keys

    def _release_key(self, key: str) -> None:
        """Take a key's entry out of live_bytes, unless it may still be remembered."""
        if not self._is_key_counted(key):
            self.live_bytes -= name_bytes(key)
