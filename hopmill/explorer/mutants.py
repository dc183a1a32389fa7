"""Planted faults: each takes away one safety guard of register or lease, and the explorer has to find it."""

from __future__ import annotations

from hopmill.fleet.actions import Send
from hopmill.fleet.document import Lease, RegisterDocument
from hopmill.fleet.lease_holder import LeaseHolder
from hopmill.fleet.proposer import BallotAttempt, Proposer
from hopmill.fleet.register import Register
from hopmill.fleet.voter import Voter
from hopmill.fleet.wire import Ballot, RecoveryReply


class PromisesEveryBallot(Voter):
    """A voter promises a ballot although it has promised a later one."""

    def may_promise(self, ballot: Ballot) -> bool:
        """Allow every ballot."""
        return True


class AcceptsEveryBallot(Voter):
    """A voter accepts under a ballot although it has promised a later one."""

    def may_accept(self, ballot: Ballot) -> bool:
        """Allow every ballot."""
        return True


class RepliesBeforeDiskWrite(Voter):
    """A voter replies before its memory is on disk."""

    def persist(self, *then: Send) -> None:
        """Send the messages at once, and write without them."""
        self.outbox += then
        super().persist()


class TrustsCopiedFolder(Voter):
    """A voter votes by the memory in a folder that may be an old copy."""

    def trusts_folder(self, same_folder: bool) -> bool:
        """Trust every folder."""
        return True


class ReadmittedByOneReply(Voter):
    """A voter without memory takes one reply for a majority."""

    def majority_of_others(self, replies: dict[str, RecoveryReply]) -> bool:
        """Be content with one reply."""
        return bool(replies)


class VotesWithoutReadmission(Voter):
    """A voter without memory votes before others have recorded its claim."""

    def is_readmitted(self, replies: dict[str, RecoveryReply]) -> bool:
        """Need no replies."""
        return True


class KeepsOutdatedPromises(Voter):
    """A voter accepts on promises that were given in generations that have ended."""

    def is_basis_valid(self, basis: tuple[tuple[str, int], ...]) -> bool:
        """Accept every basis."""
        return True


class AcceptedByOneVote(Proposer):
    """A proposer counts one vote as a majority."""

    def is_accepted(self, attempt: BallotAttempt) -> bool:
        """Be content with one vote."""
        return bool(attempt.accepted_by)


class ProposesOldestDocument(Proposer):
    """A proposer goes on from the document of the oldest ballot among the promises."""

    def newest_document(self, attempt: BallotAttempt) -> RegisterDocument:
        """Choose the document of the lowest ballot."""
        return self._document_of(min(attempt.promises.values(), key=lambda promise: promise.accepted))


class CountsOnlyNewVoters(Proposer):
    """A proposer counts a majority of the next voters only, not one of the present voters too."""

    def is_accepted(self, attempt: BallotAttempt) -> bool:
        """Ask only the voters of the next document for a majority."""
        assert attempt.next_document is not None
        return 2 * len(attempt.accepted_by & set(attempt.next_document.voters)) > len(
            attempt.next_document.voters
        )


class RepeatsDoneProposal(Proposer):
    """A proposer applies a change again that the document contains already."""

    def is_already_done(self, proposal_id: str, base: RegisterDocument) -> bool:
        """Recognize no proposal."""
        return False


class LeaseCountsFromReply(LeaseHolder):
    """A holder counts its lease from the reply, not from the request."""

    def counts_from(self, asked_at: int, now: int) -> int:
        """Count from now."""
        return now


class TakesOverTooEarly(LeaseHolder):
    """A member takes a lease over before the holder can be sure to have stopped."""

    def takeover_wait_us(self) -> int:
        """Subtract the drift from the wait instead of adding it."""
        return int(self.last_seen.length_us * (1 - self.drift))


class ReusesFencingToken(LeaseHolder):
    """A takeover keeps the fencing token of the holder before."""

    def next_fencing_token(self, seen: Lease) -> int:
        """Keep the token, but use 1 for the first lease."""
        return max(1, seen.fencing_token)


class TakesOverUnchecked(LeaseHolder):
    """A member takes a lease over although it was renewed during the wait."""

    def requires_unchanged(self) -> bool:
        """Require nothing."""
        return False


class UsesReleasedLease(LeaseHolder):
    """A holder acts on after it has proposed to release the lease."""

    def release(self) -> None:
        """Keep the permission to act."""
        pass


class LeaseNeverExpires(LeaseHolder):
    """A holder acts on after its lease has expired."""

    def fencing_token(self, now: int) -> int:
        """Return the token without a look at the time."""
        return self.token


PLANTED = {
    "promises-anything": PromisesEveryBallot,
    "accepts-anything": AcceptsEveryBallot,
    "answers-before-the-disk": RepliesBeforeDiskWrite,
    "trusts-a-copy": TrustsCopiedFolder,
    "let-in-by-anyone": ReadmittedByOneReply,
    "votes-at-once": VotesWithoutReadmission,
    "old-promises-stand": KeepsOutdatedPromises,
    "one-vote-is-enough": AcceptedByOneVote,
    "any-value-will-do": ProposesOldestDocument,
    "only-the-new-voters": CountsOnlyNewVoters,
    "forgets-its-ticket": RepeatsDoneProposal,
    "counts-from-the-answer": LeaseCountsFromReply,
    "waits-no-longer": TakesOverTooEarly,
    "same-fence": ReusesFencingToken,
    "takes-blindly": TakesOverUnchecked,
    "acts-after-giving": UsesReleasedLease,
    "keeps-for-ever": LeaseNeverExpires,
}


def planted(name: str) -> type[Register]:
    """A register type with the fault of this name. Raises KeyError if there is none."""
    fault = PLANTED[name]
    kind = next(
        k
        for k in ("voter", "proposer", "keeper")
        if issubclass(fault, {"voter": Voter, "proposer": Proposer, "keeper": LeaseHolder}[k])
    )
    attribute = "lease_holder_type" if kind == "keeper" else f"{kind}_type"
    return type(fault.__name__, (Register,), {attribute: fault})
