"""Reads a courier's state folder. Writes and locks nothing, since the courier may be running."""

from __future__ import annotations

import json
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopmill.cli.operator_client import format_table
from hopmill.net.journal import JOURNAL_FILE
from hopmill.net.journal_records import RECORD_HEADER, JournalContents, parse_records

KNOWN_KINDS = {"take", "try", "miss", "over", "final", "drain", "hand", "zone", "known", "clock"}
MAX_ROWS = 200


class NoJournalError(Exception):
    """The folder has no readable journal; the text is one line."""


@dataclass
class Reading:
    """What a journal file contains."""

    contents: JournalContents
    record_counts: Counter[str]
    unknown_counts: Counter[str]  # by kind: records of kinds that this version does not know
    unusable_count: int
    size_bytes: int
    tail_bytes: int  # after the last complete record

    @property
    def is_damaged(self) -> bool:
        """More is unreadable than one last record, which a courier writes now or did when it ended."""
        return bool(self.unknown_counts or self.unusable_count) or self.tail_bytes > 0 and not self.is_torn

    is_torn: bool = False  # the tail may be one incomplete record


def read(folder: Path) -> Reading:
    """Reads the journal of a state folder. NoJournalError if there is none."""
    path = folder / JOURNAL_FILE
    try:
        data = path.read_bytes()
    except (FileNotFoundError, NotADirectoryError):
        raise NoJournalError(f"{folder}: holds no journal ({JOURNAL_FILE})") from None
    except OSError as error:
        raise NoJournalError(f"{path}: cannot be read: {error.strerror}") from None
    records, end = parse_records(data)
    reading = Reading(JournalContents(), Counter(), Counter(), 0, len(data), len(data) - end)
    reading.is_torn = _is_torn(data[end:])
    for record in records:
        if not isinstance(record, list) or not record or record[0] not in KNOWN_KINDS:
            reading.unknown_counts[str(record[0]) if isinstance(record, list) and record else "?"] += 1
            continue
        reading.record_counts[record[0]] += 1
        try:
            reading.contents.apply(record)
        except (TypeError, ValueError, LookupError, AttributeError):
            reading.unusable_count += 1
    return reading


def _is_torn(tail: bytes) -> bool:
    """The tail is shorter than its record header says."""
    return (
        len(tail) < RECORD_HEADER.size
        or 0 < len(tail) - RECORD_HEADER.size < RECORD_HEADER.unpack_from(tail)[0]
    )


def show(folder: Path, as_json: bool) -> int:
    """Prints the messages that the journal holds; the exit status."""
    try:
        reading = read(folder)
    except NoJournalError as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 1
    messages, now = reading.contents.messages.values(), reading.contents.scale.now()
    rows = [
        {
            "message": message.id,
            "class": message.class_index,
            "partner": message.destination,
            "state": message.status or "open",
            "attempts": message.attempts,
            "may_have_run": bool(message.may_have_run_at),
            "left_s": round(message.expires_at - now, 1),
            "bytes": len(message.body),
        }
        for message in messages
    ]
    summary: dict[str, Any] = {
        "bytes": reading.size_bytes,
        "open": sum(not message.status for message in messages),
        "notices_owed": sum(bool(message.status) for message in messages),
        "over_remembered": len(reading.contents.ended_ids),
        "drained": reading.contents.drained,
        "endpoints_out": sorted(reading.contents.excluded_endpoints),
        "zones_out": sorted(reading.contents.excluded_zones),
        "tail_bytes": reading.tail_bytes,
    }
    if as_json:
        print(json.dumps(summary | {"messages": rows}))
        return 0
    for name, value in summary.items():
        print(f"{name}: {json.dumps(value)}")
    if rows:
        print("\n".join(format_table(rows[:MAX_ROWS])))
    if len(rows) > MAX_ROWS:
        print(f"and {len(rows) - MAX_ROWS} more")
    return 0


def verify(folder: Path, as_json: bool) -> int:
    """Prints counts of good and bad records; exit status 1 if there are bad ones or no journal."""
    try:
        reading = read(folder)
    except NoJournalError as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 1
    summary = {
        "whole": not reading.is_damaged,
        "bytes": reading.size_bytes,
        "records": dict(reading.record_counts),
        "unknown_records": dict(reading.unknown_counts),
        "unusable_records": reading.unusable_count,
        "tail_bytes": reading.tail_bytes,
        "tail_is_torn": bool(reading.tail_bytes and reading.is_torn),
    }
    if as_json:
        print(json.dumps(summary))
    else:
        for name, value in summary.items():
            print(f"{name}: {json.dumps(value)}")
    return int(reading.is_damaged)
