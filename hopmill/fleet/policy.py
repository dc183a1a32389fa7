"""The fleet's policy in the register's document: which version is in force, and the change under way.

A change goes through two steps before it is in force. Prepared: each member checks it, and goes on under the
version in force. Closing: no voter gives a lease on that version any more, those who hold one stop. Each step
is one compare-and-set on `epoch`, which every step raises, so that no step is ever taken on an older one.

A change may be staged: then two versions are in force for a while, each member's by its name, and a second
change brings the others to the new one, or those few to a third that is as the one before.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hopmill.fleet.document import RegisterDocument

ENDED = 3  # outcomes that the document keeps, so that one whose answer was lost is told
MOST_WHY = 48  # characters of a reason
MOST_STRUCK = 6  # members that are struck off at once
IN_FORCE, ENDED_NOWHERE = "in force", "in force nowhere"


class Refused(ValueError):
    """The change can't be made; the text says why."""


ALL, STAGE, REST, BACK = "all", "stage", "rest", "back"


class CanaryGroup(msgspec.Struct, frozen=True, array_like=True):
    """Which members go first: about this share, by their names and a salt. They are watched for so long."""

    share: float
    salt: int
    watch_ms: int

    def includes(self, member: str) -> bool:
        return zlib.crc32(f"{self.salt} {member}".encode()) < self.share * (1 << 32)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One under way. id: of this proposal and no other; digest: of the text that it would put in force.
    moves: whom it concerns: all, a few first, the rest after them, or all back to what was."""

    id: str
    digest: bytes
    by: str  # the member that proposed it, and has the text
    closing: bool = False
    moves: str = ALL
    canary: CanaryGroup | None = None
    opened: int = 0  # times that it was closing and was opened again

    def concerns(self, member: str) -> bool:
        """Whether it would bring this member to another version."""
        if self.canary is None or self.moves in (ALL, BACK):
            return True
        return self.canary.includes(member) is (self.moves == STAGE)


class Stage(msgspec.Struct, frozen=True, array_like=True):
    """A version that is in force for a few. id: of its proposal."""

    id: str
    digest: bytes
    version: int
    canary: CanaryGroup
    by: str


class Ended(msgspec.Struct, frozen=True, array_like=True):
    id: str
    version: int  # that it put in force, 0: none
    why: str = ""


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """version: in force, 0 is each courier's own file. digest: of the text of that version."""

    epoch: int = 0
    version: int = 0
    digest: bytes = b""
    change: Change | None = None
    ended: tuple[Ended, ...] = ()
    cancelled_members: tuple[str, ...] = ()
    stage: Stage | None = None

    def version_for(self, member: str) -> int:
        return self.stage.version if self.stage and self.stage.canary.includes(member) else self.version

    def digest_for(self, member: str) -> bytes:
        return self.stage.digest if self.stage and self.stage.canary.includes(member) else self.digest

    def closing_for(self, member: str) -> bool:
        """Whether it has to stop."""
        return self.change is not None and self.change.closing and self.change.concerns(member)

    def outcome(self, ident: str) -> Ended | None:
        return next((e for e in self.ended if e.id == ident), None)

    @property
    def texts(self) -> set[bytes]:
        """Digests of all that is in force or may be."""
        there = (
            self.digest,
            self.change.digest if self.change else b"",
            self.stage.digest if self.stage else b"",
        )
        return {d for d in there if d}


Step = "Callable[[str, Document], Document | None]"


def _next(document: RegisterDocument, ticket: str, **changes: object) -> RegisterDocument:
    p = document.policy
    return document.next(ticket, policy=msgspec.structs.replace(p, epoch=p.epoch + 1, **changes))


def prepare(change: Change, base: int) -> Step:
    """base: the version that its text was made from. Left as it is where it is under way or has ended."""

    def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        p = document.policy
        if p.outcome(change.id) or p.change and p.change.id == change.id:
            return None
        if p.change or p.stage:
            there = p.change or p.stage
            raise Refused(f"change {there.id} of {there.by} is " + ("under way" if p.change else "staged"))
        if p.version != base:
            raise Refused(f"version {p.version} is in force, not {base}")
        return _next(document, ticket, change=change)

    return step


def _at(epoch: int, then: Callable[[str, RegisterDocument], RegisterDocument | None]) -> Step:
    """Only where nothing has happened to the policy since this epoch."""

    def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        return then(ticket, document) if document.policy.epoch == epoch and document.policy.change else None

    return step


def _closing(document: RegisterDocument, ticket: str, closing: bool) -> RegisterDocument:
    change = document.policy.change
    assert change is not None
    opened = change.opened + (change.closing and not closing)
    return _next(document, ticket, change=msgspec.structs.replace(change, closing=closing, opened=opened))


def close(epoch: int) -> Step:
    """From here on nobody gets a lease on the version in force."""
    return _at(epoch, lambda t, d: _closing(d, t, True))


def reopen(epoch: int) -> Step:
    """Somebody who was ready does not stop: all go on under the version in force, until that one's lease
    has run out."""
    return _at(epoch, lambda t, d: _closing(d, t, False))


def commit(epoch: int) -> Step:
    """It is in force: a majority of voters knows of nobody who works under the version before."""

    def then(ticket: str, d: RegisterDocument) -> RegisterDocument | None:
        p, change, stage = d.policy, d.policy.change, d.policy.stage
        assert change is not None
        if not change.closing:
            return None
        if change.moves == STAGE:
            assert change.canary is not None
            staged = Stage(change.id, change.digest, p.version + 1, change.canary, change.by)
            return _next(d, ticket, change=None, stage=staged)
        if change.moves == BACK:
            assert stage is not None
            return _next(d, ticket, version=stage.version + 1, change=None, stage=None)
        version = stage.version if stage else p.version + 1
        ended = (*p.ended, Ended(change.id, version))[-ENDED:]
        return _next(d, ticket, version=version, digest=change.digest, change=None, stage=None, ended=ended)

    return _at(epoch, then)


def go_on(epoch: int) -> Step:
    """Those that are watched do well: the rest follows."""

    def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        p = document.policy
        if p.epoch != epoch or p.stage is None or p.change:
            return None
        s = p.stage
        return _next(document, ticket, change=Change(s.id, s.digest, s.by, False, REST, s.canary))

    return step


def go_back(epoch: int, why: str) -> Step:
    """They do worse, or staff say so: all go to a version that is as the one before the stage. It can't be
    refused, for all went by it."""

    def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        p = document.policy
        if p.epoch != epoch or p.stage is None or p.change and p.change.moves != REST:
            return None
        s = p.stage
        ended = (*p.ended, Ended(s.id, 0, why[:MOST_WHY]))[-ENDED:]
        back = Change(s.id + "~", p.digest, s.by, False, BACK, s.canary)
        return _next(document, ticket, ended=ended, change=back)

    return step


def end(epoch: int, why: str) -> Step:
    """It is in force nowhere. Where some go by it already, they go back."""

    def then(ticket: str, d: RegisterDocument) -> RegisterDocument | None:
        change = d.policy.change
        assert change is not None
        if d.policy.stage:
            return go_back(epoch, why)(ticket, d)
        return _next(
            d, ticket, change=None, ended=(*d.policy.ended, Ended(change.id, 0, why[:MOST_WHY]))[-ENDED:]
        )

    return _at(epoch, then)


def cancel_member(member: str, off: bool = True) -> Step:
    """Staff's word that this member does not work any more: no change waits for it, and it gets no lease."""

    def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        cancelled_members = tuple(s for s in document.policy.cancelled_members if s != member) + (
            (member,) if off else ()
        )
        if set(cancelled_members) == set(document.policy.cancelled_members):
            return None
        if len(cancelled_members) > MOST_STRUCK:
            raise Refused(f"at most {MOST_STRUCK} members are struck off at once")
        return _next(document, ticket, cancelled_members=cancelled_members)

    return step
