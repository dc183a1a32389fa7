"""Checks the guarantees of the register and its leases, in the order of simulated time.

It does not depend on how they work: it judges the outcomes that proposers got, and the acts under leases. An
act is any use of a lease with a fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet import document as doc
from hopmill.fleet.proposer import Outcome


class InvariantViolationError(Exception):
    """A guarantee was broken; the text says which."""


@dataclass
class Operation:
    """One proposed change as its proposer sees it. Times are us of the simulation."""

    proposal_id: str
    began_at: int
    ended_at: int = -1  # -1: no outcome that reports a document
    seen_version: int = -1  # of the document in its outcome; -1: no outcome that reports a document
    made_version: int = 0  # the version that it made; 0: none


class Checker:
    """Checks that the register is linearizable and that fencing tokens of acts never go back.

    The methods raise InvariantViolationError, and have to be called in the order of simulated time.
    """

    def __init__(self) -> None:
        self.encoded_documents: dict[int, bytes] = {}
        self.operations: dict[str, Operation] = {}
        self.last_fencing_token, self.last_owner = 0, ""

    def on_outcome(self, operation: Operation, outcome: Outcome, now: int) -> None:
        """Check the outcome of a change.

        - Each version has one document.
        - A change is applied exactly once.
        - An operation that begins after an outcome sees that outcome's version or a later one.
        - A change that was applied stays applied.
        """
        # "left": the document already was as wanted, or was only read. The other states report no document.
        if outcome.state not in ("done", "left") or outcome.document is None:
            return
        document = outcome.document
        encoded = doc.encode(document)
        if self.encoded_documents.setdefault(document.version, encoded) != encoded:
            raise InvariantViolationError(
                f"version {document.version} was chosen with two different documents"
            )
        operation.ended_at, operation.seen_version = now, document.version
        # A proposer whose answer was lost proposes again, which must not apply the change a second time. If
        # the list lacks it, a change was reported as done that the document does not contain.
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
            # A document lists the last changes only.
            must_be_listed = (
                other.made_version and 0 <= document.version - other.made_version < doc.MAX_RECENT_PROPOSALS
            )
            if must_be_listed and other.proposal_id not in document.recent_proposals:
                raise InvariantViolationError(
                    f"proposal {other.proposal_id} was applied, "
                    f"but version {document.version} does not list it"
                )
        if outcome.state == "done":
            operation.made_version = outcome.made_version

    def on_act(self, owner: str, fencing_token: int) -> None:
        """Check an act under a lease: no later token, and no other owner of this token, has acted before."""
        if (
            fencing_token < self.last_fencing_token
            or fencing_token == self.last_fencing_token
            and owner != self.last_owner
        ):
            raise InvariantViolationError(
                f"{owner} acted under fencing token {fencing_token} "
                f"after {self.last_owner} had acted under {self.last_fencing_token}"
            )
        self.last_fencing_token, self.last_owner = fencing_token, owner
