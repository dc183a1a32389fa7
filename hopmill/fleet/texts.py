"""Texts too long for a datagram, identified by their digest and fetched in pieces from members that have
them.

A voter votes only for documents whose texts it has on disk, so a majority has every text in force.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from hopmill.fleet.actions import Send
from hopmill.fleet.wire import TextPiece, TextRequest

MAX_TEXT_BYTES = 48 * 1024
PIECE_BYTES, PIECES_PER_REQUEST = 800, 8
RETRY_US = 60_000  # without a piece, the next source is asked
MAX_FETCHES = 4  # at a time


def digest_of(text: bytes) -> bytes:
    """The first half of the SHA-256 hash."""
    return hashlib.sha256(text).digest()[:16]


@dataclass
class TextFetch:
    """A text that is being fetched."""

    sources: list[str]  # members that may have it, in the order in which they are asked
    pieces: dict[int, bytes] = field(default_factory=dict)  # by offset in bytes
    requested_at: int = -RETRY_US  # us
    tries: int = 0


class TextStore:
    """`outbox` and `writes` gather messages and disk writes; the caller takes them."""

    def __init__(self, on_disk: dict[bytes, bytes]) -> None:
        """on_disk: texts found there by digest; those that do not match their digest are ignored."""
        self.by_digest = {d: t for d, t in on_disk.items() if digest_of(t) == d}
        self.on_disk = set(self.by_digest)
        self.fetches: dict[bytes, TextFetch] = {}
        self.writing: set[bytes] = set()
        self.outbox: list[Send] = []
        self.writes: list[tuple[bytes, bytes]] = []  # (digest, text) to be written

    def add(self, text: bytes) -> bytes:
        """Take a text. Return its digest. Raise ValueError if it is too long."""
        if len(text) > MAX_TEXT_BYTES:
            raise ValueError(f"the policy would take {len(text)} of {MAX_TEXT_BYTES} bytes")
        self.by_digest[digest := digest_of(text)] = text
        return digest

    def fetch(self, digest: bytes, sources: list[str]) -> None:
        """Fetch a text unless it is here."""
        if digest in self.by_digest or not sources:
            return
        fetch = self.fetches.get(digest)
        if fetch is None and len(self.fetches) < MAX_FETCHES:
            self.fetches[digest] = TextFetch(sources)
        elif fetch:
            fetch.sources += [name for name in sources if name not in fetch.sources]

    def store(self, digest: bytes) -> None:
        """Write a text to disk unless it is there."""
        if digest in self.by_digest and digest not in self.on_disk | self.writing:
            self.writing.add(digest)
            self.writes.append((digest, self.by_digest[digest]))

    def written(self, digest: bytes, ok: bool) -> None:
        """Note that a write has ended."""
        self.writing.discard(digest)
        if ok:
            self.on_disk.add(digest)

    def retain(self, digests: set[bytes]) -> set[bytes]:
        """Drop all other texts. Return the digests of those that may be deleted from the disk."""
        for digest in [d for d in self.by_digest if d not in digests]:
            del self.by_digest[digest]
        for digest in [d for d in self.fetches if d not in digests]:
            del self.fetches[digest]
        deleted = self.on_disk - digests - self.writing
        self.on_disk -= deleted
        return deleted

    def on_text_request(self, sender: str, request: TextRequest) -> None:
        """Send the pieces that another member asks for."""
        text = self.by_digest.get(request.digest)
        if text is None or not 0 <= request.offset < max(1, len(text)):
            return
        for offset in range(
            request.offset,
            min(len(text), request.offset + PIECES_PER_REQUEST * PIECE_BYTES) or 1,
            PIECE_BYTES,
        ):
            piece = TextPiece(request.digest, offset, len(text), text[offset : offset + PIECE_BYTES])
            self.outbox.append(Send(sender, piece))

    def on_piece(self, sender: str, piece: TextPiece, now: int) -> None:
        """Take a piece of a text that is being fetched; the last one of a request asks for more."""
        fetch = self.fetches.get(piece.digest)
        if fetch is None or piece.total_bytes > MAX_TEXT_BYTES or len(piece.data) > PIECE_BYTES:
            return
        is_new = piece.offset not in fetch.pieces
        fetch.pieces[piece.offset] = piece.data
        contiguous = self._contiguous_bytes(fetch)
        if contiguous == piece.total_bytes:
            text = b"".join(data for _, data in sorted(fetch.pieces.items()))
            del self.fetches[piece.digest]
            if digest_of(text) == piece.digest:
                self.by_digest[piece.digest] = text
        elif contiguous > piece.total_bytes:
            fetch.pieces.clear()  # pieces of different texts: start again
        elif (
            is_new
            and contiguous == piece.offset + len(piece.data)
            and contiguous // PIECE_BYTES % PIECES_PER_REQUEST == 0
        ):
            self._request(piece.digest, fetch, sender, now)  # the last piece of the request

    def _contiguous_bytes(self, fetch: TextFetch) -> int:
        """Bytes from the start without a gap."""
        offset = 0
        while offset in fetch.pieces and fetch.pieces[offset]:
            offset += len(fetch.pieces[offset])
        return offset

    def _request(self, digest: bytes, fetch: TextFetch, source: str, now: int) -> None:
        fetch.requested_at = now
        self.outbox.append(Send(source, TextRequest(digest, self._contiguous_bytes(fetch))))

    def tick(self, now: int) -> int:
        """Ask for what is missing. Return the time of the next call."""
        for digest, fetch in self.fetches.items():
            if now - fetch.requested_at >= RETRY_US:
                self._request(digest, fetch, fetch.sources[fetch.tries % len(fetch.sources)], now)
                fetch.tries += 1
        return min((f.requested_at + RETRY_US for f in self.fetches.values()), default=now + 1_000_000)
