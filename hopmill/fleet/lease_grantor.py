"""The voter's side of the leases on the policy version in force: who holds one, and until when.

A voter grants leases by the policy that it knows to be chosen, and none while it has itself accepted a policy
that may or may not be chosen. In that case it reads the register, since all members that knew the result may
have stopped. Grants are not kept on disk: after a start, or when the set of voters has changed, the voter
waits for one lease length before it reports that nobody holds a lease. If couriers continue alone, that is,
without the voters under the last version, leases do not expire; all configured members then count as holders
until this voter has granted them a lease itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.policy import Policy
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.policy_lease import NO_EXPIRY_US
from hopmill.fleet.wire import (
    ChosenDocument,
    DrainQuery,
    DrainReply,
    LeaseDenial,
    LeaseGrant,
    LeaseRequest,
    WorkStopped,
)

MAX_GRANTS = 4000  # members with a grant
MAX_NAMED_MEMBERS = 12  # pending members in one reply
# Random delay before this voter reads the register to learn what is chosen, doubled a few times.
MIN_READ_DELAY_US, MAX_READ_DELAY_US = 60_000, 300_000
MAX_READ_DOUBLINGS = 4


@dataclass
class Grant:
    """The lease that one member holds by this voter."""

    generation: int
    seq: int
    expires_at: int  # us
    ready_for: str = ""  # the change that the member is ready for


class LeaseGrantor:
    """Times are us of this member's elapsed clock. `outbox` gathers the messages to send."""

    def __init__(
        self,
        me: str,
        register: Register,
        lease_us: int,
        max_drift_share: float,
        continues_alone: bool,
        member_names: Iterable[str],
    ) -> None:
        """max_drift_share: by which clocks may run fast or slow.

        continues_alone: without the voters, couriers go on under the last version, and leases do not expire.
        member_names: all members of the configuration, this one included.
        """
        self.me, self.register, self.continues_alone = me, register, continues_alone
        self.lease_end_wait_us = int(lease_us * (1 + max_drift_share)) + 1
        self.configured_members = frozenset(member_names)
        self.grants: dict[str, Grant] = {}
        self.stopped_epochs: dict[str, int] = {}  # by member: the epoch that it has stopped for
        self.granted_members: set[str] = set()  # that got a lease since the wait for unknown grants began
        self.grants_complete_at = -1  # when all unknown grants have expired; -1: the wait has not begun
        self.voter_set_version = 0  # voter set for which `grants_complete_at` holds
        self.refusals: dict[str, str] = {}  # by change: a member and its reason to refuse; one entry at most
        self.last_pending_member = ""  # the pending member found last
        self.drain_queries: dict[str, int] = {}  # by member: the epoch of its unanswered query
        self.next_read_at, self.read_count, self.read_proposal_id = 0, 0, ""
        self.accepted_cache: tuple[bytes, RegisterDocument] = b"", register.document  # (encoded, decoded)
        self.outbox: list[Send] = []

    # The policy that grants are given by

    def accepted_document(self) -> RegisterDocument:
        """Return the document that this voter has accepted last."""
        data = self.register.voter.memory.document
        if data != self.accepted_cache[0]:
            self.accepted_cache = data, self.register.voter.document()
        return self.accepted_cache[1] if data else self.register.voter.initial

    def policy_for_grants(self) -> Policy | None:
        """Return the policy that it may grant leases by; None while that is unknown."""
        known, accepted = self.register.document, self.accepted_document()
        if not self.register.voter.is_voting or self.me not in known.all_voters:
            return None
        if accepted.version > known.version and not self.is_policy_chosen(known, accepted):
            return None
        return known.policy

    def is_policy_chosen(self, known: RegisterDocument, accepted: RegisterDocument) -> bool:
        """Return whether the accepted policy is known to be chosen.

        Each step raises the epoch. Equal policies (epoch included) and an equal voter set therefore mean that
        the accepted policy is already chosen.
        """
        # A method of its own, so that the explorer can remove this guard.
        return accepted.policy == known.policy and accepted.voter_set_version == known.voter_set_version

    def _knows_all_grants(self, now: int) -> bool:
        """Return whether grants of an earlier start or voter set have expired.

        After a start, and when the voter set has changed, begin the wait for that and clear
        `granted_members`.
        """
        known = self.register.document
        if self.grants_complete_at < 0 or self.voter_set_version != known.voter_set_version:
            self.voter_set_version = known.voter_set_version
            self.grants_complete_at = now + self.lease_end_wait_us
            self.granted_members.clear()
        return now >= self.grants_complete_at

    # Leases

    def on_lease_request(self, sender: str, request: LeaseRequest, now: int) -> None:
        """Grant or deny a lease."""
        grant = self.grants.get(sender)
        if grant and request.generation == grant.generation and request.seq <= grant.seq:
            return  # a duplicate, or older than the last one
        why = self._denial_reason(sender, request, now)
        if why:
            self.outbox.append(Send(sender, LeaseDenial(request.seq, why)))
            return
        expires_at = NO_EXPIRY_US if self.continues_alone else now + self.lease_end_wait_us
        self.grants[sender] = Grant(
            request.generation,
            request.seq,
            max(expires_at, grant.expires_at if grant else 0),
            request.ready_for,
        )
        self.granted_members.add(sender)
        voter_set_version = self.register.document.voter_set_version
        self.outbox.append(
            Send(
                sender,
                LeaseGrant(request.seq, request.version, voter_set_version, request.generation),
            )
        )
        self._notify_waiting(now)

    def _denial_reason(self, sender: str, request: LeaseRequest, now: int) -> str:
        """Return why no lease is granted, "" if one is."""
        policy = self.policy_for_grants()
        self._knows_all_grants(now)
        if policy is None:
            return "a vote is under way"
        if request.continues_alone is not self.continues_alone:
            return "alone differs"
        if sender in policy.cancelled_members:
            return "struck off"
        if not self.is_version_in_force(policy, sender, request):
            return f"version {policy.version_for(sender)} is in force"
        if policy.closing_for(sender) and self.refuses_while_closing():
            return "a change is closing"
        if policy.change and not self.is_ready_for_change(policy, request):
            if request.refusal.startswith(policy.change.id + " "):
                self.refusals = {
                    policy.change.id: f"{sender}: {request.refusal[len(policy.change.id) + 1 :]}"
                }
                self._notify_waiting(now)
            return "not ready for the change"
        if sender not in self.grants and len(self.grants) >= MAX_GRANTS:
            self.grants = {n: g for n, g in self.grants.items() if g.expires_at > now}
            if len(self.grants) >= MAX_GRANTS:
                return "too many members"
        return ""

    def is_version_in_force(self, policy: Policy, sender: str, request: LeaseRequest) -> bool:
        """Return whether the request is for the version in force for this member."""
        # A method of its own, so that the explorer can remove this guard.
        return request.version == policy.version_for(sender)

    def refuses_while_closing(self) -> bool:
        """Return whether no lease is granted while a change is closing."""
        # A method of its own, so that the explorer can remove this guard.
        return True

    def is_ready_for_change(self, policy: Policy, request: LeaseRequest) -> bool:
        """Return whether the member is ready for the pending change, if any: no other gets a lease."""
        # A method of its own, so that the explorer can remove this guard.
        return policy.change is None or request.ready_for == policy.change.id

    def on_stopped(self, sender: str, stopped: WorkStopped, now: int) -> None:
        """Note that a member has stopped for the closing at this epoch."""
        if len(self.stopped_epochs) < MAX_GRANTS or sender in self.stopped_epochs:
            self.stopped_epochs[sender] = max(stopped.epoch, self.stopped_epochs.get(sender, 0))
            self._notify_waiting(now)

    # Members that a change waits for

    def on_drain_query(self, sender: str, query: DrainQuery, now: int) -> None:
        """Answer which members a change waits for: until they are ready, when it closes until they stop."""
        if len(self.drain_queries) < MAX_GRANTS:
            self.drain_queries[sender] = query.epoch
        self._answer(sender, query.epoch, now, True)

    def _notify_waiting(self, now: int) -> None:
        """Report to members with an open query as soon as nobody is pending, without a second query."""
        for sender, epoch in list(self.drain_queries.items()):
            self._answer(sender, epoch, now, False)

    def _has_pending_members(self, policy: Policy, now: int) -> bool:
        """Return whether `pending_members` would name anybody.

        Called for each datagram of each member, so the member found last is checked first.
        """
        if self.last_pending_member and self._pending_reason(self.last_pending_member, policy, now):
            return True
        self.last_pending_member = next((name for name, _ in self.pending_members(policy, now)), "")
        return bool(self.last_pending_member)

    def _answer(self, sender: str, epoch: int, now: int, always: bool) -> None:
        policy = self.accepted_document().policy
        if policy.epoch != epoch or policy.change is None or not self.register.voter.is_voting:
            if policy.epoch > epoch:
                self.drain_queries.pop(sender, None)
            return
        refused = self.refusals.get(policy.change.id, "")
        if not (always or refused) and self._has_pending_members(policy, now):
            return
        pending = sorted(self.pending_members(policy, now))
        answer = DrainReply(
            epoch,
            self.accepted_document().voter_set_version,
            not pending,
            tuple(pending[:MAX_NAMED_MEMBERS]),
            refused,
        )
        if answer.is_drained or refused:
            # Reported once: each tick would repeat it, and each reply causes a tick.
            self.drain_queries.pop(sender, None)
        if answer.is_drained and policy.change.closing:
            self.send_drained(sender, answer)
        else:
            self.outbox.append(Send(sender, answer))

    def send_drained(self, sender: str, answer: DrainReply) -> None:
        """Send the reply only after the accepted closing is on disk: from then on no lease is granted."""
        # A method of its own, so that the explorer can remove this guard.
        self.register.voter.persist(Send(sender, answer))

    def pending_members(self, policy: Policy, now: int) -> Iterable[tuple[str, str]]:
        """Yield (member, reason) of those that the change waits for.

        While it is prepared: all that may work under the version in force without being ready. Once it is
        closing: all that may work at all.
        """
        assert policy.change is not None
        if not self._knows_all_grants(now) and self.waits_full_lease():
            yield self.me, f"waits {(self.grants_complete_at - now) // 1000} ms"
        for name in self.configured_members - self.granted_members if self.continues_alone else ():
            if why := self._pending_reason(name, policy, now):
                yield name, why
        for name in self.grants:
            if why := self._pending_reason(name, policy, now):
                yield name, why

    def _pending_reason(self, name: str, policy: Policy, now: int) -> str:
        """Return what this member has yet to do, "" if nothing."""
        change, grant = policy.change, self.grants.get(name)
        assert change is not None
        presumed = (
            self.continues_alone and name not in self.granted_members and name in self.configured_members
        )
        if (
            not (presumed or grant and grant.expires_at > now)
            or self.continues_alone
            and name in policy.cancelled_members
        ):
            return ""
        if change.closing:
            return "has not stopped" if change.affects(name) and not self.has_stopped(name, policy) else ""
        if grant is None or presumed:
            return "not heard"
        return "" if grant.ready_for == change.id else "is not ready"

    def has_stopped(self, name: str, policy: Policy) -> bool:
        """Return whether it has stopped for this closing: it may have resumed after an earlier one."""
        # A method of its own, so that the explorer can remove this guard.
        return self.stopped_epochs.get(name) == policy.epoch

    def waits_full_lease(self) -> bool:
        """Return whether unknown grants have to expire first."""
        # A method of its own, so that the explorer can remove this guard.
        return True

    def next_wake_at(self, now: int) -> int:
        """Return when the next lease that an open query waits for expires."""
        if not self.drain_queries:
            return NO_EXPIRY_US
        ends = [g.expires_at for g in self.grants.values() if g.expires_at > now] + [self.grants_complete_at]
        return min((at for at in ends if at > now), default=NO_EXPIRY_US)

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        self._knows_all_grants(now)
        self._notify_waiting(now)
        known, accepted = self.register.document, self.accepted_document()
        if known.version >= accepted.version or self.is_policy_chosen(known, accepted):
            self.next_read_at = self.read_count = 0
            if self.read_proposal_id:
                self.register.proposer.cancel(self.read_proposal_id, now)
                self.read_proposal_id = ""
            return self.next_wake_at(now)
        if self.next_read_at and now >= self.next_read_at and not self.register.proposer.pending:
            # A change that changes nothing: a read.
            self.read_proposal_id = self.register.propose(
                lambda proposal_id, document: None, now, self._on_read
            )
        if now >= self.next_read_at:  # random: voters that read at once would preempt each other
            rng, self.read_count = self.register.proposer.rng, self.read_count + 1
            self.next_read_at = now + (
                rng.randrange(MIN_READ_DELAY_US, MAX_READ_DELAY_US)
                << min(self.read_count - 1, MAX_READ_DOUBLINGS)
            )
        return min(self.next_read_at, self.next_wake_at(now))

    def _on_read(self, outcome: Outcome) -> None:
        """Announce the document that was read, so that the other voters need not read it."""
        self.read_proposal_id = ""
        if outcome.document is not None:
            body = ChosenDocument(doc.encode(outcome.document))
            self.outbox += [Send(v, body) for v in sorted(outcome.document.all_voters - {self.me})]
