"""Splits what a watch sends into JSON documents: one a line, or one in several lines if it is indented."""

from __future__ import annotations

import json

MAX_LIST_BYTES = 4 << 20  # of a list; more is not waited for


class ListReader:
    """Collects lines until they form a document; the work for a line does not grow with those before it."""

    def __init__(self) -> None:
        self.partial_line = bytearray()
        self.lines: list[bytes] = []  # of the document under way
        self.size = 0  # bytes in `lines`
        self.depth = 0  # braces opened and not closed in `lines`, braces within strings included

    @property
    def is_between_documents(self) -> bool:
        """Whether no part of a document has arrived that is not complete."""
        return not self.partial_line and not self.lines

    def feed(self, data: bytes) -> list[bytes]:
        """Return the documents that end in the next part of the stream."""
        self.partial_line += data
        if b"\n" not in data and len(self.partial_line) <= MAX_LIST_BYTES:
            return []
        *lines, rest = bytes(self.partial_line).split(b"\n")
        if len(rest) > MAX_LIST_BYTES:
            lines.append(rest)
            rest = b""
        self.partial_line = bytearray(rest)
        return [document for line in lines if line.strip() and (document := self._add_line(line))]

    def _add_line(self, line: bytes) -> bytes | None:
        """Return the document if the line completes it, or if it has become too long to wait for its end."""
        self.lines.append(line)
        self.size += len(line) + 1
        self.depth += line.count(b"{") - line.count(b"}")
        if self.depth > 0 and self.size <= MAX_LIST_BYTES and not self._is_complete_all_the_same(line):
            return None
        document = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return document

    def _is_complete_all_the_same(self, line: bytes) -> bool:
        """Return whether the lines are a document although braces in its strings are not balanced."""
        return line.rstrip().endswith(b"}") and _is_json(b"\n".join(self.lines))


def _is_json(text: bytes) -> bool:
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True
