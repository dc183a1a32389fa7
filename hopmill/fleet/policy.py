"""The fleet's policy in the register's document: which version is in force, and the change under way.

A change goes through two steps before it is in force. Prepared: each member checks it, and goes on under the
version in force. Closing: no voter gives a lease on that version any more, those who hold one stop. Each step
is one compare-and-set on `epoch`, which every step raises, so that no step is ever taken on an older one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hopmill.fleet.document import Document

ENDED = 3  # outcomes that the document keeps, so that one whose answer was lost is told
MOST_WHY = 60  # characters of a reason
MOST_STRUCK = 6  # members that are struck off at once
IN_FORCE, ENDED_NOWHERE = "in force", "in force nowhere"


class Refused(ValueError):
    """The change can't be made; the text says why."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One under way. id: of this proposal and no other; digest: of the text that it would put in force."""

    id: str
    digest: bytes
    by: str  # the member that proposed it, and has the text
    closing: bool = False


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
    struck: tuple[str, ...] = ()

    def outcome(self, ident: str) -> Ended | None:
        return next((e for e in self.ended if e.id == ident), None)

    @property
    def texts(self) -> set[bytes]:
        """Digests of all that is in force or may be."""
        return {d for d in (self.digest, self.change.digest if self.change else b"") if d}


Step = "Callable[[str, Document], Document | None]"


def _next(document: Document, ticket: str, **changes: object) -> Document:
    p = document.policy
    return document.next(ticket, policy=msgspec.structs.replace(p, epoch=p.epoch + 1, **changes))


def prepare(change: Change, base: int) -> Step:
    """base: the version that its text was made from. Left as it is where it is under way or has ended."""
    def step(ticket: str, document: Document) -> Document | None:
        p = document.policy
        if p.outcome(change.id) or p.change and p.change.id == change.id:
            return None
        if p.change:
            raise Refused(f"change {p.change.id} of {p.change.by} is under way")
        if p.version != base:
            raise Refused(f"version {p.version} is in force, not {base}")
        return _next(document, ticket, change=change)
    return step


def _at(epoch: int, then: Callable[[str, Document], Document]) -> Step:
    """Only where nothing has happened to the policy since this epoch."""
    def step(ticket: str, document: Document) -> Document | None:
        return then(ticket, document) if document.policy.epoch == epoch and document.policy.change else None
    return step


def _closing(document: Document, ticket: str, closing: bool) -> Document:
    change = document.policy.change
    assert change is not None
    return _next(document, ticket, change=msgspec.structs.replace(change, closing=closing))


def close(epoch: int) -> Step:
    """From here on nobody gets a lease on the version in force."""
    return _at(epoch, lambda t, d: _closing(d, t, True))


def reopen(epoch: int) -> Step:
    """Somebody who was ready does not stop: all go on under the version in force, until that one's lease
    has run out."""
    return _at(epoch, lambda t, d: _closing(d, t, False))


def commit(epoch: int) -> Step:
    """It is in force: a majority of voters knows of nobody who works under the version before."""
    def then(ticket: str, d: Document) -> Document:
        p, change = d.policy, d.policy.change
        assert change is not None
        ended = (*p.ended, Ended(change.id, p.version + 1))[-ENDED:]
        return _next(d, ticket, version=p.version + 1, digest=change.digest, change=None, ended=ended)
    return _at(epoch, then)


def end(epoch: int, why: str) -> Step:
    """It is in force nowhere."""
    def then(ticket: str, d: Document) -> Document:
        change = d.policy.change
        assert change is not None
        return _next(d, ticket, change=None,
                     ended=(*d.policy.ended, Ended(change.id, 0, why[:MOST_WHY]))[-ENDED:])
    return _at(epoch, then)


def strike(member: str, off: bool = True) -> Step:
    """Staff's word that this member does not work any more: no change waits for it, and it gets no lease."""
    def step(ticket: str, document: Document) -> Document | None:
        struck = tuple(s for s in document.policy.struck if s != member) + ((member,) if off else ())
        if set(struck) == set(document.policy.struck):
            return None
        if len(struck) > MOST_STRUCK:
            raise Refused(f"at most {MOST_STRUCK} members are struck off at once")
        return _next(document, ticket, struck=struck)
    return step
