"""A reader of RESP2 requests that checks each announced size before it allocates memory for it.

A peer announces the sizes of what it will send. A general parser trusts them: hiredis creates a list of the
length that an array announces, so a line of 13 bytes can stall the courier for seconds or exhaust its memory.

RESP2: https://redis.io/docs/latest/develop/reference/protocol-spec/
"""

from __future__ import annotations

from typing import Any

MAX_BODY_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 4096  # of all elements of a request
MAX_ELEMENTS = 16  # of a request; the longest command has five
MAX_LINE_BYTES = 4096  # of any value that is not a bulk string
CRLF = b"\r\n"


class ProtocolError(ValueError):
    """The start of the next request cannot be determined."""


class MalformedValue:
    """The type of MALFORMED: a complete value that is not an array of bulk strings."""


MALFORMED = MalformedValue()


class RequestReader:
    """Collects received bytes and returns complete requests."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self.elements: list[bytes] = []
        self.values_missing = 1  # until the request is complete
        self.bulk_size = -1  # of the bulk string that is being read, -1 for none
        # Values begun, and total size of their bulk strings.
        self.values_begun = self.bulk_bytes = 0
        self.is_well_formed = True

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return bool(self.buffer) or self.values_begun > 0

    @property
    def partial_bytes(self) -> int:
        """How much is kept of requests that are not handled yet."""
        return len(self.buffer) + sum(map(len, self.elements))

    def carry(self) -> list[Any]:
        """Return what was read of an incomplete request, for the process that takes over."""
        return [
            bytes(self.buffer),
            self.elements,
            self.values_missing,
            self.bulk_size,
            self.values_begun,
            self.bulk_bytes,
            self.is_well_formed,
        ]

    def resume(self, carried: list[Any]) -> None:
        """Go on from what `carry` of the previous process returned."""
        (
            buffer,
            self.elements,
            self.values_missing,
            self.bulk_size,
            self.values_begun,
            self.bulk_bytes,
            self.is_well_formed,
        ) = carried
        self.buffer = bytearray(buffer)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_request(self) -> list[bytes] | MalformedValue | None:
        """Return the next request, MALFORMED for a value that is none, or None until more bytes arrive.

        Raises ProtocolError.
        """
        while self.values_missing:
            if not (self._read_bulk() if self.bulk_size >= 0 else self._read_line()):
                return None
        request = self.elements if self.is_well_formed and self.elements else MALFORMED
        self._reset()
        return request

    def _read_bulk(self) -> bool:
        """Read the rest of a bulk string; returns False until it has arrived."""
        if len(self.buffer) < self.bulk_size + len(CRLF):
            return False
        if self.buffer[self.bulk_size : self.bulk_size + len(CRLF)] != CRLF:
            raise ProtocolError("a bulk string is longer than it said")
        with memoryview(self.buffer) as view:
            self.elements.append(bytes(view[: self.bulk_size]))
        del self.buffer[: self.bulk_size + len(CRLF)]
        self.bulk_size = -1
        self.values_missing -= 1
        return True

    def _read_line(self) -> bool:
        """Read the line that begins a value; returns False until it has arrived."""
        end = self.buffer.find(CRLF, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise ProtocolError("a line is too long")
            if self.buffer and self.buffer[:1] not in b"*$+-:":
                raise ProtocolError("expected an array of bulk strings")
            return False
        type_byte, text = bytes(self.buffer[:1]), bytes(self.buffer[1:end])
        del self.buffer[: end + len(CRLF)]
        is_first, self.values_begun = self.values_begun == 0, self.values_begun + 1
        if type_byte == b"*":
            count = max(0, _parse_length(text, MAX_ELEMENTS))
            self.is_well_formed = self.is_well_formed and is_first
            self.values_missing += count - 1
            if self.values_begun + self.values_missing > MAX_ELEMENTS + 1:
                raise ProtocolError("too many elements")
        elif type_byte == b"$":
            size = _parse_length(text, MAX_REQUEST_BYTES - self.bulk_bytes)
            self.is_well_formed = self.is_well_formed and not is_first and size >= 0
            self.bulk_size, self.bulk_bytes = size, self.bulk_bytes + max(0, size)
            self.values_missing -= size < 0
        elif type_byte and type_byte in b"+-:":
            self.is_well_formed = False
            self.values_missing -= 1
        else:
            raise ProtocolError("expected an array of bulk strings")
        return True


def _parse_length(text: bytes, maximum: int) -> int:
    """Return a length as RESP2 encodes it; -1 stands for a null value."""
    if text == b"-1":
        return -1
    if not text.isdigit() or len(text) > 9:
        raise ProtocolError("a length must be a whole number")
    if int(text) > maximum:
        raise ProtocolError("too large")
    return int(text)
