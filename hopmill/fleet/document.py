"""The register's document: small, versioned, changed as a whole by one proposer after the other."""

from __future__ import annotations

import functools
import hashlib
import zlib
from collections.abc import Iterable

import msgspec

from hopmill.fleet.policy import Policy

MAX_DOCUMENT_BYTES = 750  # encoded: together with the rest of a message it has to fit a datagram
MAX_RECENT_PROPOSALS = 8  # so that a change whose answer was lost is not made twice


def proposal_id_of(name: str) -> str:
    """A short hash of a unique name: eight of them are in each document."""
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """Who may act under a name."""

    owner: str = ""  # a generation of a member; empty: free
    fencing_token: int = 0  # only grows
    renewal: int = 0  # renewals since it was taken
    length_us: int = 0


class RegisterDocument(msgspec.Struct, frozen=True, array_like=True):
    """The value of the register."""

    version: int  # of the last change
    voters: tuple[str, ...]
    previous_voters: tuple[str, ...] = ()  # while voters change; a majority of both sets has to agree
    entries: dict[str, str] = {}  # short texts stored by operators
    leases: dict[str, Lease] = {}
    recent_proposals: tuple[str, ...] = ()  # ids of the last changes, oldest first
    policy: Policy = Policy()

    def next(self, proposal_id: str, **changes: object) -> RegisterDocument:
        """Return the document after a change."""
        recent_proposals = (*self.recent_proposals, proposal_id)[-MAX_RECENT_PROPOSALS:]
        return msgspec.structs.replace(
            self, version=self.version + 1, recent_proposals=recent_proposals, **changes
        )

    def has_majority(self, voters: Iterable[str]) -> bool:
        """Return whether these are a majority of its voters, and of the previous ones while they change."""
        agreeing = set(voters)
        sets = [self.voters, self.previous_voters] if self.previous_voters else [self.voters]
        return all(2 * len(agreeing.intersection(each)) > len(each) for each in sets)

    @property
    def voter_set_version(self) -> int:
        """A number for the set of voters: grants counted by two different sets must not be added up."""
        return _voter_set_version(self.voters, self.previous_voters)

    @property
    def all_voters(self) -> set[str]:
        """The voters, with the previous ones while they change."""
        return {*self.voters, *self.previous_voters}


@functools.lru_cache(64)
def _voter_set_version(voters: tuple[str, ...], previous_voters: tuple[str, ...]) -> int:
    return zlib.crc32(repr((sorted(voters), sorted(previous_voters))).encode())


class DocumentTooLargeError(ValueError):
    """The changed document would not fit a datagram."""


_decoder = msgspec.msgpack.Decoder(RegisterDocument)
decode = _decoder.decode


def encode(document: RegisterDocument) -> bytes:
    """Encode a document. Raises DocumentTooLargeError."""
    data = msgspec.msgpack.encode(document)
    if len(data) > MAX_DOCUMENT_BYTES:
        raise DocumentTooLargeError(f"the document would take {len(data)} of {MAX_DOCUMENT_BYTES} bytes")
    return data
