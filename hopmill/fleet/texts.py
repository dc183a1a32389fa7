"""Texts too long for a datagram, known by their digest and fetched in pieces from whoever has them.

A voter votes only for documents whose texts it has on disk, so a majority has whatever is in force.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from hopmill.fleet.actions import Send
from hopmill.fleet.wire import Piece, WantText

MOST_BYTES = 48 * 1024  # of a text
PIECE_BYTES, AT_ONCE = 800, 8  # of a piece; pieces that one asking brings
AGAIN_US = 60_000  # without a piece, another is asked
MOST_FETCHED = 4  # texts at once


def digest_of(text: bytes) -> bytes:
    return hashlib.sha256(text).digest()[:16]


@dataclass
class Fetch:
    asks: list[str]  # who may have it, in the order in which they are asked
    pieces: dict[int, bytes] = field(default_factory=dict)
    asked_at: int = -AGAIN_US
    tries: int = 0


class Texts:
    """`out` and `writes` gather what is to be done; whoever calls takes them."""

    def __init__(self, on_disk: dict[bytes, bytes]) -> None:
        """on_disk: by digest, as they were found there; one that does not fit its digest is none."""
        self.by_digest = {d: t for d, t in on_disk.items() if digest_of(t) == d}
        self.on_disk = set(self.by_digest)
        self.fetched: dict[bytes, Fetch] = {}
        self.writing: set[bytes] = set()
        self.out: list[Send] = []
        self.writes: list[tuple[bytes, bytes]] = []  # (digest, text) for the disk

    def add(self, text: bytes) -> bytes:
        """ValueError: it is too long."""
        if len(text) > MOST_BYTES:
            raise ValueError(f"the policy would take {len(text)} of {MOST_BYTES} bytes")
        self.by_digest[digest := digest_of(text)] = text
        return digest

    def want(self, digest: bytes, asks: list[str]) -> None:
        if digest in self.by_digest or not asks:
            return
        fetch = self.fetched.get(digest)
        if fetch is None and len(self.fetched) < MOST_FETCHED:
            self.fetched[digest] = Fetch(asks)
        elif fetch:
            fetch.asks += [name for name in asks if name not in fetch.asks]

    def write(self, digest: bytes) -> None:
        """On disk, if it is not there yet."""
        if digest in self.by_digest and digest not in self.on_disk | self.writing:
            self.writing.add(digest)
            self.writes.append((digest, self.by_digest[digest]))

    def written(self, digest: bytes, ok: bool) -> None:
        self.writing.discard(digest)
        if ok:
            self.on_disk.add(digest)

    def keep(self, digests: set[bytes]) -> set[bytes]:
        """Forget all others; returns those that may go from the disk."""
        for digest in [d for d in self.by_digest if d not in digests]:
            del self.by_digest[digest]
        for digest in [d for d in self.fetched if d not in digests]:
            del self.fetched[digest]
        gone = self.on_disk - digests - self.writing
        self.on_disk -= gone
        return gone

    def wanted(self, sender: str, want: WantText) -> None:
        text = self.by_digest.get(want.digest)
        if text is None or not 0 <= want.at < max(1, len(text)):
            return
        for at in range(want.at, min(len(text), want.at + AT_ONCE * PIECE_BYTES) or 1, PIECE_BYTES):
            piece = Piece(want.digest, at, len(text), text[at : at + PIECE_BYTES])
            self.out.append(Send(sender, piece))

    def piece(self, sender: str, piece: Piece, now: int) -> None:
        fetch = self.fetched.get(piece.digest)
        if fetch is None or piece.size > MOST_BYTES or len(piece.data) > PIECE_BYTES:
            return
        news = piece.at not in fetch.pieces
        fetch.pieces[piece.at] = piece.data
        have = self._have(fetch)
        if have == piece.size:
            text = b"".join(data for _, data in sorted(fetch.pieces.items()))
            del self.fetched[piece.digest]
            if digest_of(text) == piece.digest:
                self.by_digest[piece.digest] = text
        elif have > piece.size:
            fetch.pieces.clear()  # of two different wholes: anew
        elif news and have == piece.at + len(piece.data) and have // PIECE_BYTES % AT_ONCE == 0:
            self._ask(piece.digest, fetch, sender, now)  # the last of its batch

    def _have(self, fetch: Fetch) -> int:
        """Bytes from the start without a hole."""
        at = 0
        while at in fetch.pieces and fetch.pieces[at]:
            at += len(fetch.pieces[at])
        return at

    def _ask(self, digest: bytes, fetch: Fetch, whom: str, now: int) -> None:
        fetch.asked_at = now
        self.out.append(Send(whom, WantText(digest, self._have(fetch))))

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        for digest, fetch in self.fetched.items():
            if now - fetch.asked_at >= AGAIN_US:
                self._ask(digest, fetch, fetch.asks[fetch.tries % len(fetch.asks)], now)
                fetch.tries += 1
        return min((f.asked_at + AGAIN_US for f in self.fetched.values()), default=now + 1_000_000)
