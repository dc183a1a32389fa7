"""What is promised of the register and its leases, checked by what was told to whom and when, by one clock.

It knows nothing of how they work: it judges the outcomes that proposers were told, and the acts under leases.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet import document as doc
from hopmill.fleet.proposer import Outcome


class InvariantViolationError(Exception):
    """A promise that was broken; the text says which."""


@dataclass
class Operation:
    """One change as its proposer saw it."""

    proposal_id: str
    began_at: int
    ended_at: int = -1  # -1: it has not ended
    seen_version: int = -1  # of the document in its outcome; -1: it has not ended
    made_version: int = 0  # the version that it made; 0: none


class Checker:
    """Outcomes and acts, in the order of one clock."""

    def __init__(self) -> None:
        self.encoded_documents: dict[int, bytes] = {}
        self.operations: dict[str, Operation] = {}
        self.fencing_token, self.owner = 0, ""

    def on_outcome(self, operation: Operation, outcome: Outcome, now: int) -> None:
        if outcome.state not in ("done", "left") or outcome.document is None:
            return
        document = outcome.document
        encoded = doc.encode(document)
        if self.encoded_documents.setdefault(document.version, encoded) != encoded:
            raise InvariantViolationError(
                f"version {document.version} was chosen with two different documents"
            )
        operation.ended_at, operation.seen_version = now, document.version
        if outcome.state == "done" and document.recent_proposals.count(operation.proposal_id) != 1:
            raise InvariantViolationError(
                f"proposal {operation.proposal_id} was applied "
                f"{document.recent_proposals.count(operation.proposal_id)} times"
            )
        for other in self.operations.values():
            if (
                other.ended_at >= 0
                and other.ended_at < operation.began_at
                and other.seen_version > document.version
            ):
                raise InvariantViolationError(
                    f"proposal {operation.proposal_id} got version {document.version}, "
                    f"after an earlier one had got version {other.seen_version}"
                )
            must_be_recent = (
                other.made_version and 0 <= document.version - other.made_version < doc.MAX_RECENT_PROPOSALS
            )
            if must_be_recent and other.proposal_id not in document.recent_proposals:
                raise InvariantViolationError(
                    f"proposal {other.proposal_id} was applied, "
                    f"but version {document.version} does not list it"
                )
        if outcome.state == "done":
            operation.made_version = outcome.made_version

    def on_act(self, owner: str, fencing_token: int) -> None:
        if fencing_token < self.fencing_token or fencing_token == self.fencing_token and owner != self.owner:
            raise InvariantViolationError(
                f"{owner} acted under fencing token {fencing_token} "
                f"after {self.owner} had acted under {self.fencing_token}"
            )
        self.fencing_token, self.owner = fencing_token, owner
