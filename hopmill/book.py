"""The text of a policy's version: all values in force, and the changes that led there, the newest last."""

from __future__ import annotations

from typing import Any

import msgspec

from hopmill.overlay import Flat, merged

FORMAT = 1
MOST_BYTES = 40_000  # the oldest changes go first; values alone have to fit
MOST_TEXT = 200  # characters of a reason or a name


class Unreadable(ValueError):
    """The text is none that this version of the program reads."""


class TooLong(ValueError):
    """The values alone are more than a text may hold."""


class Entry(msgspec.Struct, frozen=True):
    """A change that came into force. at_s: wall clock of the courier that was asked."""

    id: str
    version: int
    at_s: float
    by: str
    reason: str
    changes: list[tuple[str, Any, Any]]  # path, before, after; None: each courier's own file


class Book(msgspec.Struct, frozen=True):
    format: int = FORMAT
    version: int = 0
    values: Flat = {}
    entries: list[Entry] = []

    def next(
        self, ident: str, at_s: float, by: str, reason: str, patch: Flat, unset: tuple[str, ...]
    ) -> Book:
        """What is in force after this change. TooLong."""
        values = merged(self.values, patch, unset)
        changes = [
            (path, self.values.get(path), values.get(path))
            for path in sorted({*self.values, *values})
            if self.values.get(path) != values.get(path)
        ]
        entry = Entry(ident, self.version + 1, at_s, by[:MOST_TEXT], reason[:MOST_TEXT], changes)
        book = Book(FORMAT, self.version + 1, values, [*self.entries, entry])
        while len(book.encode()) > MOST_BYTES:
            if not book.entries:
                raise TooLong(f"the policy's values would take over {MOST_BYTES} bytes")
            book = msgspec.structs.replace(book, entries=book.entries[1:])
        return book

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    def at(self, version: int) -> Flat:
        """The values that were in force at a version. KeyError: that is no longer known."""
        if version == 0 and self.version == len(self.entries):
            pass  # every change since is here
        elif not any(e.version == version or e.version == version + 1 for e in self.entries):
            raise KeyError(version)
        values = dict(self.values)
        for entry in reversed(self.entries):
            if entry.version > version:
                for path, before, _ in entry.changes:
                    values.pop(path, None)
                    if before is not None:
                        values[path] = before
        return values

    def patch_to(self, version: int) -> tuple[Flat, tuple[str, ...]]:
        """The change that puts back what was in force at a version. KeyError."""
        then = self.at(version)
        return (
            {p: v for p, v in then.items() if self.values.get(p) != v},
            tuple(p for p in self.values if p not in then),
        )


def read(text: bytes) -> Book:
    """Unreadable."""
    try:
        book = msgspec.msgpack.decode(text, type=Book)
    except msgspec.DecodeError as error:
        raise Unreadable(str(error)) from None
    if book.format != FORMAT:
        raise Unreadable(f"format {book.format}")
    return book
