"""The compacted form of a journal, and which end of a journal's file can be cut off without harm."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from hopmill.net.journal_records import ENDED_ID_RETENTION_S, JournalContents, encode_record, parse_records

PART_BYTES = 1 << 16  # of a compacted journal, written at a time
FIXED_RECORDS_BYTES = 256  # of a compacted journal without messages and names: clock, known and drain records


def clock_record(contents: JournalContents) -> list[Any]:
    """Return the record of the time scale."""
    return ["clock", contents.scale.boot_id, contents.scale.offset_s]


def compacted_data(contents: JournalContents) -> bytes:
    """Return a journal that has these contents, at most FIXED_RECORDS_BYTES over live_bytes."""
    return b"".join(compacted_parts(contents))


def compacted_parts(contents: JournalContents) -> list[bytes]:
    """Return the same in parts to be written one after the other, without a second copy in memory."""
    parts, part = [], bytearray()
    for record in _compacted_records(contents):
        part += encode_record(record)
        if len(part) >= PART_BYTES:
            parts.append(bytes(part))
            part.clear()
    return [*parts, bytes(part)]


def _compacted_records(contents: JournalContents) -> Iterator[list[Any]]:
    yield clock_record(contents)
    yield ["known", contents.last_number, contents.ended_ids, contents.first_run_by_key]
    yield ["drain", contents.drained]
    yield from (["hand", uid, True] for uid in contents.excluded_endpoints)
    yield from (["zone", name, True] for name in contents.excluded_zones)
    yield from (message.to_record() for message in contents.messages.values())


def dispensable_from(data: bytes, contents: JournalContents, max_bytes: int) -> int | None:
    """Return the offset, at most `max_bytes`, from which a journal's file can be cut off; None if it can't.

    A process that starts from the records before it owes the same messages and keeps the same exclusions,
    ids and keys. Messages that have ended meanwhile may be open in it only if their time is up: it sends
    their notices once more, which does no harm, and never calls.

    data: the file. contents: what it adds up to, with the records that are not in the file yet.
    """
    records, end = parse_records(data, max_bytes)
    earlier = JournalContents(contents.key_window_s)
    for record in records:
        try:
            earlier.apply(record)
        except (TypeError, ValueError, LookupError, AttributeError):
            return None
    return end if _may_replace(earlier, contents) else None


def _may_replace(earlier: JournalContents, contents: JournalContents) -> bool:
    now = contents.scale.now()
    ended = [message for number, message in earlier.messages.items() if number not in contents.messages]
    owed = contents.messages.items()
    young_ids = [i for i, at in contents.ended_ids.items() if now - at < ENDED_ID_RETENTION_S]
    keys = {key: at for key, at in contents.first_run_by_key.items() if now - at < contents.key_retention_s}
    return (
        earlier.scale == contents.scale
        and earlier.drained == contents.drained
        and earlier.excluded_endpoints == contents.excluded_endpoints
        and earlier.excluded_zones == contents.excluded_zones
        and all(message.expires_at <= now for message in ended)
        and all(earlier.messages.get(number) == message for number, message in owed)
        and all(i in earlier.ended_ids or i in earlier.numbers_by_id for i in young_ids)
        and all(earlier.first_run_by_key.get(key) == at for key, at in keys.items())
    )
