"""Each safety guard of register and lease taken away, one at a time: the explorer has to find every one."""

from __future__ import annotations

from hopmill.fleet.actions import Send
from hopmill.fleet.document import Lease, RegisterDocument
from hopmill.fleet.lease import LeaseHolder
from hopmill.fleet.proposer import BallotAttempt, Proposer
from hopmill.fleet.register import Register
from hopmill.fleet.voter import Voter
from hopmill.fleet.wire import Ballot, RecoveryReply


class PromisesEveryBallot(Voter):
    def may_promise(self, ballot: Ballot) -> bool:
        return True


class AcceptsEveryBallot(Voter):
    def may_accept(self, ballot: Ballot) -> bool:
        return True


class RepliesBeforeDiskWrite(Voter):
    def persist(self, *then: Send) -> None:
        self.outbox += then
        super().persist()


class TrustsCopiedFolder(Voter):
    def trusts_folder(self, same_folder: bool) -> bool:
        return True


class ReadmittedByOneReply(Voter):
    def majority_of_others(self, replies: dict[str, RecoveryReply]) -> bool:
        return bool(replies)


class VotesWithoutReadmission(Voter):
    def is_readmitted(self, replies: dict[str, RecoveryReply]) -> bool:
        return True


class KeepsOutdatedPromises(Voter):
    def is_basis_valid(self, basis: tuple[tuple[str, int], ...]) -> bool:
        return True


class AcceptedByOneVote(Proposer):
    def is_accepted(self, attempt: BallotAttempt) -> bool:
        return bool(attempt.accepted_by)


class ProposesOldestDocument(Proposer):
    def newest_document(self, attempt: BallotAttempt) -> RegisterDocument:
        return self._document_of(min(attempt.promises.values(), key=lambda promise: promise.accepted))


class CountsOnlyNewVoters(Proposer):
    def is_accepted(self, attempt: BallotAttempt) -> bool:
        assert attempt.next is not None
        return 2 * len(attempt.accepted_by & set(attempt.next.voters)) > len(attempt.next.voters)


class RepeatsDoneProposal(Proposer):
    def is_already_done(self, proposal_id: str, base: RegisterDocument) -> bool:
        return False


class LeaseCountsFromReply(LeaseHolder):
    def counts_from(self, asked_at: int, now: int) -> int:
        return now


class TakesOverTooEarly(LeaseHolder):
    def takeover_wait_us(self) -> int:
        return int(self.last_seen.length_us * (1 - self.drift))


class ReusesFencingToken(LeaseHolder):
    def next_fencing_token(self, seen: Lease) -> int:
        return max(1, seen.fencing_token)


class TakesOverUnchecked(LeaseHolder):
    def requires_unchanged(self) -> bool:
        return False


class UsesReleasedLease(LeaseHolder):
    def release(self) -> None:
        pass


class LeaseNeverExpires(LeaseHolder):
    def fencing_token(self, now: int) -> int:
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
    """A register with the fault of this name. KeyError if there is none."""
    fault = PLANTED[name]
    kind = next(
        k
        for k in ("voter", "proposer", "keeper")
        if issubclass(fault, {"voter": Voter, "proposer": Proposer, "keeper": LeaseHolder}[k])
    )
    attribute = "lease_holder_type" if kind == "keeper" else f"{kind}_type"
    return type(fault.__name__, (Register,), {attribute: fault})
