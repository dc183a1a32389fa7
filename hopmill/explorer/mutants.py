"""Each safety guard of register and lease taken away, one at a time: the explorer has to find every one."""

from __future__ import annotations

from hopmill.fleet.actions import Send
from hopmill.fleet.document import Lease, RegisterDocument
from hopmill.fleet.lease import LeaseHolder
from hopmill.fleet.proposer import BallotAttempt, Proposer
from hopmill.fleet.register import Register
from hopmill.fleet.voter import Voter
from hopmill.fleet.wire import Ballot, RecoveryReply


class PromisesAnything(Voter):
    def may_promise(self, ballot: Ballot) -> bool:
        return True


class AcceptsAnything(Voter):
    def may_accept(self, ballot: Ballot) -> bool:
        return True


class AnswersBeforeTheDisk(Voter):
    def persist(self, *then: Send) -> None:
        self.outbox += then
        super().persist()


class TrustsACopy(Voter):
    def trusts_folder(self, same_folder: bool) -> bool:
        return True


class LetInByAnyone(Voter):
    def majority_of_others(self, answers: dict[str, RecoveryReply]) -> bool:
        return bool(answers)


class VotesAtOnce(Voter):
    def is_readmitted(self, answers: dict[str, RecoveryReply]) -> bool:
        return True


class OldPromisesStand(Voter):
    def is_basis_valid(self, basis: tuple[tuple[str, int], ...]) -> bool:
        return True


class OneVoteIsEnough(Proposer):
    def is_accepted(self, attempt: BallotAttempt) -> bool:
        return bool(attempt.accepted_by)


class AnyValueWillDo(Proposer):
    def newest_document(self, attempt: BallotAttempt) -> RegisterDocument:
        return self._document_of(min(attempt.promises.values(), key=lambda p: p.accepted))


class OnlyTheNewVoters(Proposer):
    def is_accepted(self, attempt: BallotAttempt) -> bool:
        assert attempt.next_document is not None
        return 2 * len(attempt.accepted_by & set(attempt.next_document.voters)) > len(
            attempt.next_document.voters
        )


class ForgetsItsTicket(Proposer):
    def is_already_done(self, ticket: str, base: RegisterDocument) -> bool:
        return False


class CountsFromTheAnswer(LeaseHolder):
    def counts_from(self, asked_at: int, now: int) -> int:
        return now


class WaitsNoLonger(LeaseHolder):
    def takeover_wait_us(self) -> int:
        return int(self.last_seen.length_us * (1 - self.drift))


class SameFence(LeaseHolder):
    def next_fencing_token(self, seen: Lease) -> int:
        return max(1, seen.fencing_token)


class TakesBlindly(LeaseHolder):
    def requires_unchanged(self) -> bool:
        return False


class ActsAfterGiving(LeaseHolder):
    def release(self) -> None:
        pass


class KeepsForEver(LeaseHolder):
    def fencing_token(self, now: int) -> int:
        return self.token


PLANTED = {
    "promises-anything": PromisesAnything,
    "accepts-anything": AcceptsAnything,
    "answers-before-the-disk": AnswersBeforeTheDisk,
    "trusts-a-copy": TrustsACopy,
    "let-in-by-anyone": LetInByAnyone,
    "votes-at-once": VotesAtOnce,
    "old-promises-stand": OldPromisesStand,
    "one-vote-is-enough": OneVoteIsEnough,
    "any-value-will-do": AnyValueWillDo,
    "only-the-new-voters": OnlyTheNewVoters,
    "forgets-its-ticket": ForgetsItsTicket,
    "counts-from-the-answer": CountsFromTheAnswer,
    "waits-no-longer": WaitsNoLonger,
    "same-fence": SameFence,
    "takes-blindly": TakesBlindly,
    "acts-after-giving": ActsAfterGiving,
    "keeps-for-ever": KeepsForEver,
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
