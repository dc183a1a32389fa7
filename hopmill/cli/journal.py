"""A look into a courier's folder. Nothing is written, locked or cut: a courier may be running beside it."""

from __future__ import annotations

import json
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopmill.cli.door import table
from hopmill.net.state import JOURNAL_FILE, RECORD_HEADER, JournalContents, parse_records

KINDS = {"take", "try", "miss", "over", "final", "drain", "hand", "zone", "known", "clock"}
MOST_ROWS = 200


class NoJournal(Exception):
    """The folder holds none; the text is one line."""


@dataclass
class Reading:
    contents: JournalContents
    records: Counter[str]
    unknown: Counter[str]  # kinds of a version that is not known here
    unusable: int
    size: int
    tail: int  # bytes after the last whole record

    @property
    def damaged(self) -> bool:
        """More than the record that a courier may be writing just now, or may have been."""
        return bool(self.unknown or self.unusable) or self.tail > 0 and not self.torn

    torn: bool = False  # the tail may be one record that is not whole


def read(folder: Path) -> Reading:
    path = folder / JOURNAL_FILE
    try:
        data = path.read_bytes()
    except (FileNotFoundError, NotADirectoryError):
        raise NoJournal(f"{folder}: holds no journal ({JOURNAL_FILE})") from None
    except OSError as error:
        raise NoJournal(f"{path}: cannot be read: {error.strerror}") from None
    records, end = parse_records(data)
    reading = Reading(JournalContents(), Counter(), Counter(), 0, len(data), len(data) - end)
    reading.torn = _is_torn(data[end:])
    for record in records:
        if not isinstance(record, list) or not record or record[0] not in KINDS:
            reading.unknown[str(record[0]) if isinstance(record, list) and record else "?"] += 1
            continue
        reading.records[record[0]] += 1
        try:
            reading.contents.apply(record)
        except (TypeError, ValueError, LookupError, AttributeError):
            reading.unusable += 1
    return reading


def _is_torn(tail: bytes) -> bool:
    """Fewer bytes than the tail's own head promises."""
    return (
        len(tail) < RECORD_HEADER.size
        or 0 < len(tail) - RECORD_HEADER.size < RECORD_HEADER.unpack_from(tail)[0]
    )


def show(folder: Path, as_json: bool) -> int:
    try:
        reading = read(folder)
    except NoJournal as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 1
    held, now = reading.contents.messages.values(), reading.contents.scale.now()
    rows = [
        {
            "message": m.id,
            "class": m.class_index,
            "partner": m.destination,
            "state": m.status or "open",
            "attempts": m.attempts,
            "may_have_run": bool(m.may_have_run_at),
            "left_s": round(m.expires_at - now, 1),
            "bytes": len(m.body),
        }
        for m in held
    ]
    told: dict[str, Any] = {
        "bytes": reading.size,
        "open": sum(not m.status for m in held),
        "notices_owed": sum(bool(m.status) for m in held),
        "over_remembered": len(reading.contents.ended_ids),
        "drained": reading.contents.drained,
        "endpoints_out": sorted(reading.contents.excluded_endpoints),
        "zones_out": sorted(reading.contents.excluded_zones),
        "tail_bytes": reading.tail,
    }
    if as_json:
        print(json.dumps(told | {"messages": rows}))
        return 0
    for name, value in told.items():
        print(f"{name}: {json.dumps(value)}")
    if rows:
        print("\n".join(table(rows[:MOST_ROWS])))
    if len(rows) > MOST_ROWS:
        print(f"and {len(rows) - MOST_ROWS} more")
    return 0


def verify(folder: Path, as_json: bool) -> int:
    try:
        reading = read(folder)
    except NoJournal as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 1
    told = {
        "whole": not reading.damaged,
        "bytes": reading.size,
        "records": dict(reading.records),
        "unknown_records": dict(reading.unknown),
        "unusable_records": reading.unusable,
        "tail_bytes": reading.tail,
        "tail_is_torn": bool(reading.tail and reading.torn),
    }
    if as_json:
        print(json.dumps(told))
    else:
        for name, value in told.items():
            print(f"{name}: {json.dumps(value)}")
    return int(reading.damaged)
