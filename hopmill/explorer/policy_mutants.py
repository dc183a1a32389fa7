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


class GrantsBeforePolicyIsChosen(LeaseGrantor):
    def is_policy_chosen(self, known: RegisterDocument, accepted: RegisterDocument) -> bool:
        return True


class GrantsWhileClosing(LeaseGrantor):
    def refuses_while_closing(self) -> bool:
        return False


class GrantsToUnreadyMembers(LeaseGrantor):
    def is_ready_for_change(self, policy: Policy, request: LeaseRequest) -> bool:
        return True


class GrantsAnyVersion(LeaseGrantor):
    def is_version_in_force(self, policy: Policy, sender: str, request: LeaseRequest) -> bool:
        return True


class SkipsLeaseEndWait(LeaseGrantor):
    def waits_full_lease(self) -> bool:
        return False


class WaitsLessThanLease(LeaseGrantor):
    def __init__(
        self,
        me: str,
        register: object,
        length_us: int,
        drift: float,
        continues_alone: bool,
        names: Iterable[str],
    ) -> None:
        super().__init__(me, register, length_us, -drift, continues_alone, names)  # type: ignore[arg-type]


class CountsOlderStops(LeaseGrantor):
    def has_stopped(self, name: str, policy: Policy) -> bool:
        return name in self.stopped_epochs


class ReportsDrainedBeforeDiskWrite(LeaseGrantor):
    def send_drained(self, sender: str, reply: DrainReply) -> None:
        self.outbox.append(Send(sender, reply))


class ForgetsSilentMembers(LeaseGrantor):
    def __init__(
        self,
        me: str,
        register: object,
        length_us: int,
        drift: float,
        continues_alone: bool,
        names: Iterable[str],
    ) -> None:
        super().__init__(me, register, length_us, drift, continues_alone, ())  # type: ignore[arg-type]


class LeaseNeverExpires(PolicyLease):
    def valid_until(self) -> int:
        return NO_EXPIRY_US if super().valid_until() else 0


class WorksWhileClosing(PolicyLease):
    """It says that it has stopped."""

    def valid_until(self) -> int:
        last_valid_until, self.hides_closing = getattr(self, "last_valid_until", 0), True
        self.last_valid_until = super().valid_until() or last_valid_until
        return self.last_valid_until if self.applied_version == self.policy.version_for(self.me) else 0

    def must_stop(self) -> bool:
        hides_closing, self.hides_closing = getattr(self, "hides_closing", False), False
        return super().must_stop() and not hides_closing


class LeaseCountsFromReply(PolicyLease):
    def on_grant(self, sender: str, grant: LeaseGrant, now: int) -> None:
        before = self.granted_at.get(sender)
        super().on_grant(sender, grant, now)
        if self.granted_at.get(sender) != before:
            self.granted_at[sender] = now


class CountsUnrequestedGrants(PolicyLease):
    def matches_request(self, grant: LeaseGrant, request: GrantRequest) -> bool:
        return True


class CountsGrantsOfEarlierGeneration(PolicyLease):
    def matches_request(self, grant: LeaseGrant, request: GrantRequest) -> bool:
        return grant.seq == request.seq


class MixesVoterSets(PolicyLease):
    def has_same_voters(self, grant: LeaseGrant) -> bool:
        self.voter_set_version = self.register.document.voter_set_version
        return True


class DrainedByOneVoter(PolicyChangeCoordinator):
    def all_leases_ended(self, document: RegisterDocument) -> bool:
        return any(reply.is_drained for reply in self.replies.values())


class CommitsAtAnyEpoch(PolicyChangeCoordinator):
    @staticmethod
    def commit(epoch: int) -> Step:
        def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
            return commit(document.policy.epoch)(proposal_id, document)

        return step


class VotesWithoutText(PolicyMember):
    def _lacks_texts(self, document: RegisterDocument, sender: str) -> bool:
        return False


PLANTED = {
    "gives-before-it-is-chosen": GrantsBeforePolicyIsChosen,
    "gives-while-closing": GrantsWhileClosing,
    "gives-any-version": GrantsAnyVersion,
    "waits-no-lease-out": SkipsLeaseEndWait,
    "waits-too-short": WaitsLessThanLease,
    "any-stop-counts": CountsOlderStops,
    "clear-before-the-disk": ReportsDrainedBeforeDiskWrite,
    "forgets-who-is-alone": ForgetsSilentMembers,
    "lease-for-ever": LeaseNeverExpires,
    "goes-on-while-closing": WorksWhileClosing,
    "counts-from-answers": LeaseCountsFromReply,
    "any-answer-counts": CountsUnrequestedGrants,
    "answers-to-a-former-life": CountsGrantsOfEarlierGeneration,
    "adds-up-two-rosters": MixesVoterSets,
    "one-voter-is-clear": DrainedByOneVoter,
    "commits-at-any-epoch": CommitsAtAnyEpoch,
    "votes-without-the-text": VotesWithoutText,
    "gives-to-those-not-ready": GrantsToUnreadyMembers,
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
