"""Each safety guard of policy changes taken away, one at a time: the explorer has to find every one."""

from __future__ import annotations

from collections.abc import Iterable

from hopmill.fleet.actions import Send
from hopmill.fleet.conductor import PolicyChangeCoordinator
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.giver import LeaseGrantor
from hopmill.fleet.govern import PolicyMember
from hopmill.fleet.policy import Policy, Step, commit
from hopmill.fleet.standing import NO_EXPIRY_US, GrantRequest, PolicyLease
from hopmill.fleet.wire import DrainReply, LeaseGrant, LeaseRequest


class GivesBeforeItIsChosen(LeaseGrantor):
    def is_policy_chosen(self, known: RegisterDocument, voted: RegisterDocument) -> bool:
        return True


class GivesWhileClosing(LeaseGrantor):
    def refuses_while_closing(self) -> bool:
        return False


class GivesToThoseNotReady(LeaseGrantor):
    def is_ready_for_change(self, p: Policy, request: LeaseRequest) -> bool:
        return True


class GivesAnyVersion(LeaseGrantor):
    def is_version_in_force(self, p: Policy, sender: str, request: LeaseRequest) -> bool:
        return True


class WaitsNoLeaseOut(LeaseGrantor):
    def waits_full_lease(self) -> bool:
        return False


class WaitsTooShort(LeaseGrantor):
    def __init__(
        self, me: str, register: object, length_us: int, drift: float, last: bool, names: Iterable[str]
    ) -> None:
        super().__init__(me, register, length_us, -drift, last, names)  # type: ignore[arg-type]


class AnyStopCounts(LeaseGrantor):
    def has_stopped(self, name: str, p: Policy) -> bool:
        return name in self.stopped_epochs


class ClearBeforeTheDisk(LeaseGrantor):
    def send_drained(self, sender: str, answer: DrainReply) -> None:
        self.outbox.append(Send(sender, answer))


class ForgetsWhoIsAlone(LeaseGrantor):
    def __init__(
        self, me: str, register: object, length_us: int, drift: float, last: bool, names: Iterable[str]
    ) -> None:
        super().__init__(me, register, length_us, drift, last, ())  # type: ignore[arg-type]


class KeepsForEver(PolicyLease):
    def valid_until(self) -> int:
        return NO_EXPIRY_US if super().valid_until() else 0


class GoesOnWhileClosing(PolicyLease):
    """It says that it has stopped."""

    def valid_until(self) -> int:
        kept, self.quiet = getattr(self, "kept", 0), True
        self.kept = super().valid_until() or kept
        return self.kept if self.applied_version == self.policy.version_for(self.me) else 0

    def must_stop(self) -> bool:
        quiet, self.quiet = getattr(self, "quiet", False), False
        return super().must_stop() and not quiet


class CountsFromTheAnswer(PolicyLease):
    def on_grant(self, sender: str, grant: LeaseGrant, now: int) -> None:
        before = self.granted_at.get(sender)
        super().on_grant(sender, grant, now)
        if self.granted_at.get(sender) != before:
            self.granted_at[sender] = now


class AnyAnswerCounts(PolicyLease):
    def matches_request(self, grant: LeaseGrant, asked: GrantRequest) -> bool:
        return True


class AnswersToAFormerLife(PolicyLease):
    def matches_request(self, grant: LeaseGrant, asked: GrantRequest) -> bool:
        return grant.seq == asked.seq


class AddsUpTwoRosters(PolicyLease):
    def has_same_voters(self, grant: LeaseGrant) -> bool:
        self.voter_set_version = self.register.document.voter_set_version
        return True


class OneVoterIsClear(PolicyChangeCoordinator):
    def all_leases_ended(self, d: RegisterDocument) -> bool:
        return any(a.is_drained for a in self.replies.values())


class CommitsAtAnyEpoch(PolicyChangeCoordinator):
    @staticmethod
    def commit(epoch: int) -> Step:
        def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
            return commit(document.policy.epoch)(ticket, document)

        return step


class VotesWithoutTheText(PolicyMember):
    def _lacks_texts(self, document: RegisterDocument, sender: str) -> bool:
        return False


PLANTED = {
    "gives-before-it-is-chosen": GivesBeforeItIsChosen,
    "gives-while-closing": GivesWhileClosing,
    "gives-any-version": GivesAnyVersion,
    "waits-no-lease-out": WaitsNoLeaseOut,
    "waits-too-short": WaitsTooShort,
    "any-stop-counts": AnyStopCounts,
    "clear-before-the-disk": ClearBeforeTheDisk,
    "forgets-who-is-alone": ForgetsWhoIsAlone,
    "lease-for-ever": KeepsForEver,
    "goes-on-while-closing": GoesOnWhileClosing,
    "counts-from-answers": CountsFromTheAnswer,
    "any-answer-counts": AnyAnswerCounts,
    "answers-to-a-former-life": AnswersToAFormerLife,
    "adds-up-two-rosters": AddsUpTwoRosters,
    "one-voter-is-clear": OneVoterIsClear,
    "commits-at-any-epoch": CommitsAtAnyEpoch,
    "votes-without-the-text": VotesWithoutTheText,
    "gives-to-those-not-ready": GivesToThoseNotReady,
}


def planted(name: str) -> type[PolicyMember]:
    """A member's part in the policy with the fault of this name. KeyError if there is none."""
    fault = PLANTED[name]
    for kind, base in (
        ("lease", PolicyLease),
        ("grantor", LeaseGrantor),
        ("coordinator", PolicyChangeCoordinator),
    ):
        if issubclass(fault, base):
            return type(fault.__name__, (PolicyMember,), {f"{kind}_type": fault})
    return fault  # type: ignore[return-value]
