"""What is promised of the register and its leases, checked by what was told to whom and when, by one clock.

It knows nothing of how they work: it judges the outcomes that proposers were told, and the acts under leases.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet import document as doc
from hopmill.fleet.proposer import Outcome


class Violation(Exception):
    """A promise that was broken; the text says which."""


@dataclass
class Op:
    """One change as its proposer saw it."""

    ticket: str
    began: int
    ended: int = -1
    version: int = -1  # of the document that it was told
    made: int = 0  # the version that it made, if it was done


class Checker:
    """Outcomes and acts, in the order of one clock."""

    def __init__(self) -> None:
        self.contents: dict[int, bytes] = {}
        self.ops: dict[str, Op] = {}
        self.fence, self.owner = 0, ""

    def ended(self, op: Op, outcome: Outcome, now: int) -> None:
        if outcome.state not in ("done", "left") or outcome.document is None:
            return
        d = outcome.document
        content = doc.encode(d)
        if self.contents.setdefault(d.version, content) != content:
            raise Violation(f"version {d.version} is two documents")
        op.ended, op.version = now, d.version
        if outcome.state == "done" and d.recent_proposals.count(op.ticket) != 1:
            raise Violation(f"{op.ticket} was done {d.recent_proposals.count(op.ticket)} times")
        for other in self.ops.values():
            if other.ended >= 0 and other.ended < op.began and other.version > d.version:
                raise Violation(f"{op.ticket} saw version {d.version}, after {other.version} was told")
            close = other.made and 0 <= d.version - other.made < doc.MAX_RECENT_PROPOSALS
            if close and other.ticket not in d.recent_proposals:
                raise Violation(f"{other.ticket} was done and is gone in version {d.version}")
        if outcome.state == "done":
            op.made = outcome.made_version

    def act(self, owner: str, fence: int) -> None:
        if fence < self.fence or fence == self.fence and owner != self.owner:
            raise Violation(f"{owner} acted under {fence} after {self.owner} had under {self.fence}")
        self.fence, self.owner = fence, owner
