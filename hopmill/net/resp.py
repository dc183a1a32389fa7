"""Requests in RESP2, read with bounds that hold before anything is set aside for them.

A peer names the size of what it will send. A general parser believes it: hiredis makes a list as long as an
array announces, so one line of 13 bytes stalled the courier for seconds or took more memory than it has.
"""

from __future__ import annotations

from typing import Any

MAX_BODY_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 4096  # bytes of all elements of a request
MAX_ELEMENTS = 16  # the longest command has five
MAX_LINE = 4096  # of anything that is not a bulk string
END = b"\r\n"


class ProtocolError(ValueError):
    """Where the next request begins can't be known any more."""


class Improper:
    """A whole value that is no array of bulk strings."""


IMPROPER = Improper()


class RequestReader:
    """Takes bytes as they come and gives whole requests."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._start()

    def _start(self) -> None:
        self.elements: list[bytes] = []
        self.missing = 1  # values that the request still lacks
        self.bulk = -1  # bytes of the bulk string that is being read, -1 for none
        self.announced = self.taken = 0
        self.proper = True

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not whole."""
        return bool(self.buffer) or self.announced > 0

    def carry(self) -> list[Any]:
        """What was read of a request that is not whole, for the process that takes over."""
        return [
            bytes(self.buffer),
            self.elements,
            self.missing,
            self.bulk,
            self.announced,
            self.taken,
            self.proper,
        ]

    def resume(self, carried: list[Any]) -> None:
        (buffer, self.elements, self.missing, self.bulk, self.announced, self.taken, self.proper) = carried
        self.buffer = bytearray(buffer)

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> list[bytes] | Improper | None:
        """The next whole request, or None until more bytes come."""
        while self.missing:
            if not (self._bulk() if self.bulk >= 0 else self._line()):
                return None
        request = self.elements if self.proper and self.elements else IMPROPER
        self._start()
        return request

    def _bulk(self) -> bool:
        if len(self.buffer) < self.bulk + len(END):
            return False
        if self.buffer[self.bulk : self.bulk + len(END)] != END:
            raise ProtocolError("a bulk string is longer than it said")
        self.elements.append(bytes(self.buffer[: self.bulk]))
        del self.buffer[: self.bulk + len(END)]
        self.bulk = -1
        self.missing -= 1
        return True

    def _line(self) -> bool:
        end = self.buffer.find(END, 0, MAX_LINE)
        if end < 0:
            if len(self.buffer) >= MAX_LINE:
                raise ProtocolError("a line is too long")
            if self.buffer and self.buffer[:1] not in b"*$+-:":
                raise ProtocolError("expected an array of bulk strings")
            return False
        mark, text = bytes(self.buffer[:1]), bytes(self.buffer[1:end])
        del self.buffer[: end + len(END)]
        first, self.announced = self.announced == 0, self.announced + 1
        if mark == b"*":
            count = max(0, _count(text, MAX_ELEMENTS))
            self.proper = self.proper and first
            self.missing += count - 1
            if self.announced + self.missing > MAX_ELEMENTS + 1:
                raise ProtocolError("too many elements")
        elif mark == b"$":
            size = _count(text, MAX_REQUEST_BYTES - self.taken)
            self.proper = self.proper and not first and size >= 0
            self.bulk, self.taken = size, self.taken + max(0, size)
            self.missing -= size < 0
        elif mark and mark in b"+-:":
            self.proper = False
            self.missing -= 1
        else:
            raise ProtocolError("expected an array of bulk strings")
        return True


def _count(text: bytes, most: int) -> int:
    """A length as RESP writes it; -1 stands for none."""
    if text == b"-1":
        return -1
    if not text.isdigit() or len(text) > 9:
        raise ProtocolError("a length must be a whole number")
    if int(text) > most:
        raise ProtocolError("too large")
    return int(text)
