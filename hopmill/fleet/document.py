"""The register's document: small, versioned, changed as a whole by one proposer after the other."""

from __future__ import annotations

import functools
import hashlib
import zlib
from collections.abc import Iterable

import msgspec

from hopmill.fleet.policy import Policy

MOST_BYTES = 750  # of it, encoded: with whatever goes along it has to fit a datagram
RECENT = 8  # tickets of the last changes, so that one whose answer was lost is not done twice


def ticket_of(name: str) -> str:
    """Short, for eight of them are in each document; of one name and no other."""
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """Who may act under this name. `fence` only grows; `renewal` counts what the owner has asked since."""

    owner: str = ""
    fence: int = 0
    renewal: int = 0
    length_us: int = 0


class RegisterDocument(msgspec.Struct, frozen=True, array_like=True):
    """version: of the last change. former: while voters change, the set before; both have to agree then."""

    version: int
    voters: tuple[str, ...]
    former: tuple[str, ...] = ()
    entries: dict[str, str] = {}  # told by staff
    leases: dict[str, Lease] = {}
    recent: tuple[str, ...] = ()  # tickets
    policy: Policy = Policy()

    def next(self, ticket: str, **changes: object) -> RegisterDocument:
        recent = (*self.recent, ticket)[-RECENT:]
        return msgspec.structs.replace(self, version=self.version + 1, recent=recent, **changes)

    def agrees(self, voters: Iterable[str]) -> bool:
        """Whether these are a majority of its voters, and of those before while they change."""
        there = set(voters)
        sets = [self.voters, self.former] if self.former else [self.voters]
        return all(2 * len(there.intersection(each)) > len(each) for each in sets)

    @property
    def roster(self) -> int:
        """A number for who votes: leases that were given by two different sets of voters don't add up."""
        return _roster(self.voters, self.former)

    @property
    def all_voters(self) -> set[str]:
        return {*self.voters, *self.former}


@functools.lru_cache(64)
def _roster(voters: tuple[str, ...], former: tuple[str, ...]) -> int:
    return zlib.crc32(repr((sorted(voters), sorted(former))).encode())


class TooLarge(ValueError):
    """The changed document would not fit a datagram."""


_decoder = msgspec.msgpack.Decoder(RegisterDocument)
decode = _decoder.decode


def encode(document: RegisterDocument) -> bytes:
    data = msgspec.msgpack.encode(document)
    if len(data) > MOST_BYTES:
        raise TooLarge(f"the document would take {len(data)} of {MOST_BYTES} bytes")
    return data
