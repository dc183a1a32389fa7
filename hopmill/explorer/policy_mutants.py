"""Planted faults: each takes away one safety guard of policy changes, and the explorer has to find it."""

from __future__ import annotations

from collections.abc import Iterable

from hopmill.fleet.actions import Send
from hopmill.fleet.change_coordinator import PolicyChangeCoordinator
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.lease_grantor import LeaseGrantor
from hopmill.fleet.policy_member import PolicyMember
from hopmill.fleet.policy import Policy, Step, commit
from hopmill.fleet.policy_lease import NO_EXPIRY_US, GrantRequest, PolicyLease
from hopmill.fleet.wire import DrainReply, LeaseGrant, LeaseRequest


class GrantsBeforePolicyIsChosen(LeaseGrantor):
    """A voter grants leases while it does not know which policy is chosen."""

    def is_policy_chosen(self, known: RegisterDocument, accepted: RegisterDocument) -> bool:
        """Take every accepted policy for the known one."""
        return True


class GrantsWhileClosing(LeaseGrantor):
    """A voter grants leases while a change is closing."""

    def refuses_while_closing(self) -> bool:
        """Refuse nothing."""
        return False


class GrantsToUnreadyMembers(LeaseGrantor):
    """A voter grants leases to members that are not ready for the pending change."""

    def is_ready_for_change(self, policy: Policy, request: LeaseRequest) -> bool:
        """Take every member for ready."""
        return True


class GrantsAnyVersion(LeaseGrantor):
    """A voter grants leases on versions that are not in force."""

    def is_version_in_force(self, policy: Policy, sender: str, request: LeaseRequest) -> bool:
        """Take every version for the one in force."""
        return True


class SkipsLeaseEndWait(LeaseGrantor):
    """A voter does not wait for the end of leases that it may have granted before it started."""

    def waits_full_lease(self) -> bool:
        """Wait for nothing."""
        return False


class WaitsLessThanLease(LeaseGrantor):
    """A voter waits for less than the length of a lease: the drift is subtracted."""

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
    """A voter counts a stop for an earlier closing."""

    def has_stopped(self, name: str, policy: Policy) -> bool:
        """Count a stop for any epoch."""
        return name in self.stopped_epochs


class ReportsDrainedBeforeDiskWrite(LeaseGrantor):
    """A voter reports that it is drained before its vote for the closing is on disk."""

    def send_drained(self, sender: str, reply: DrainReply) -> None:
        """Send the reply without waiting for the disk."""
        self.outbox.append(Send(sender, reply))


class ForgetsSilentMembers(LeaseGrantor):
    """Where couriers continue alone, a voter does not count members that it has not heard."""

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
    """A member works on after its lease has expired."""

    def valid_until(self) -> int:
        """Extend each lease without end."""
        return NO_EXPIRY_US if super().valid_until() else 0


class WorksWhileClosing(PolicyLease):
    """A member works on while a change is closing, and reports that it has stopped."""

    def valid_until(self) -> int:
        """Return the last end of the permission while the applied version is in force, closing or not."""
        last_valid_until, self.hides_closing = getattr(self, "last_valid_until", 0), True
        self.last_valid_until = super().valid_until() or last_valid_until
        return self.last_valid_until if self.applied_version == self.policy.version_for(self.me) else 0

    def must_stop(self) -> bool:
        """Report the closing, except to the call that `valid_until` makes."""
        hides_closing, self.hides_closing = getattr(self, "hides_closing", False), False
        return super().must_stop() and not hides_closing


class LeaseCountsFromReply(PolicyLease):
    """A member counts its lease from the grant, not from the request."""

    def on_grant(self, sender: str, grant: LeaseGrant, now: int) -> None:
        """Count the grant from now."""
        before = self.granted_at.get(sender)
        super().on_grant(sender, grant, now)
        if self.granted_at.get(sender) != before:
            self.granted_at[sender] = now


class CountsUnrequestedGrants(PolicyLease):
    """A member counts grants that do not answer its newest request."""

    def matches_request(self, grant: LeaseGrant, request: GrantRequest) -> bool:
        """Take every grant for an answer to the newest request."""
        return True


class CountsGrantsOfEarlierGeneration(PolicyLease):
    """A member counts grants to requests of an earlier generation."""

    def matches_request(self, grant: LeaseGrant, request: GrantRequest) -> bool:
        """Compare the number of the request, but not the generation."""
        return grant.seq == request.seq


class MixesVoterSets(PolicyLease):
    """A member adds up grants of two sets of voters."""

    def has_same_voters(self, grant: LeaseGrant) -> bool:
        """Take every set of voters for the known one."""
        self.voter_set_version = self.register.document.voter_set_version
        return True


class DrainedByOneVoter(PolicyChangeCoordinator):
    """A coordinator takes the report of one voter for a majority."""

    def all_leases_ended(self, document: RegisterDocument) -> bool:
        """Be content with one reply."""
        return any(reply.is_drained for reply in self.replies.values())


class CommitsAtAnyEpoch(PolicyChangeCoordinator):
    """A coordinator commits at whatever epoch the policy has."""

    @staticmethod
    def commit(epoch: int) -> Step:
        """The step for any epoch."""

        def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
            return commit(document.policy.epoch)(proposal_id, document)

        return step


class VotesWithoutText(PolicyMember):
    """A voter votes for a document whose texts it does not have on disk."""

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
    """A policy member type with the fault of this name. Raises KeyError if there is none."""
    fault = PLANTED[name]
    for kind, base in (
        ("lease", PolicyLease),
        ("grantor", LeaseGrantor),
        ("coordinator", PolicyChangeCoordinator),
    ):
        if issubclass(fault, base):
            return type(fault.__name__, (PolicyMember,), {f"{kind}_type": fault})
    return fault  # type: ignore[return-value]
