"""A member's lease on the policy version in force: the right to begin calls and to take messages on.

A majority of the voters has to grant it, and each of them only by what it knows to be chosen. The member
counts from before it asked, a voter from after it granted, each with the drift added on its side. A member
that stops for a closing reports it, and begins nothing before it knows a later epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.policy import MAX_REASON_CHARS, Policy
from hopmill.fleet.register import Register
from hopmill.fleet.wire import LeaseDenial, LeaseGrant, LeaseRequest, WorkStopped

RENEWALS_PER_LEASE = 3
RETRY_US, MAX_RETRY_US = 40_000, 640_000  # to a voter that does not answer, doubled each time
STOPPED_REPEAT_US = 60_000  # between two announcements that it has stopped
NO_EXPIRY_US = 1 << 62  # later than any time


@dataclass
class GrantRequest:
    """The newest request to one voter."""

    seq: int = 0
    sent_at: int = 0  # us
    tries: int = 0  # without a grant
    next_send_at: int = 0  # us


class PolicyLease:
    """Times are us of this member's elapsed clock. `outbox` gathers the messages to send."""

    def __init__(
        self,
        me: str,
        generation: int,
        register: Register,
        length_us: int,
        drift: float,
        continues_alone: bool,
    ) -> None:
        """continues_alone: without the voters it goes on under the last version; else it holds."""
        self.me, self.generation, self.register = me, generation, register
        self.length_us, self.drift, self.continues_alone = length_us, drift, continues_alone
        self.applied_version = -1  # that this courier has applied; -1: none
        self.ready_for, self.refusal = "", ""  # the change that it has checked, and why it refuses
        self.stopped_epoch = 0  # the epoch of the newest closing that it has stopped for
        self.seq = 0
        self.requests: dict[str, GrantRequest] = {}
        self.granted_at: dict[str, int] = {}  # by voter: when the granted lease was requested
        self.voter_set_version = 0  # that the grants belong to
        self.stopped_sent_at = -STOPPED_REPEAT_US
        self.denial_reasons: dict[str, str] = {}  # by voter: why it denied a lease
        self.outbox: list[Send] = []

    @property
    def policy(self) -> Policy:
        """The newest policy that is known to be chosen."""
        return self.register.document.policy

    # Permission to act

    def valid_version(self, now: int) -> int:
        """Return the version to act under, -1 if it may not act. To be called in the turn that acts."""
        return self.applied_version if now < self.valid_until() else -1

    def valid_until(self) -> int:
        """Return when the permission to act ends, 0 if there is none."""
        document = self.register.document
        if (
            self.applied_version != document.policy.version_for(self.me)
            or self.must_stop()
            or self.me in document.policy.cancelled_members
        ):
            return 0
        if self.voter_set_version != document.voter_set_version:
            return 0
        if self.continues_alone:
            return NO_EXPIRY_US if document.has_majority(self.granted_at) else 0
        granting_voters: set[str] = set()
        for voter in sorted(self.granted_at, key=self.granted_at.__getitem__, reverse=True):
            granting_voters.add(voter)
            if document.has_majority(granting_voters):
                return self.counts_from(voter) + int(self.length_us * (1 - self.drift))
        return 0

    def counts_from(self, voter: str) -> int:
        """Return the time from which this voter's grant counts."""
        return self.granted_at[voter]

    def must_stop(self) -> bool:
        """Return whether a change that concerns this member is closing."""
        return self.policy.closing_for(self.me)

    # Reports of the courier

    def set_applied_version(self, version: int) -> None:
        """Note that the courier has applied this version; grants for another one no longer count."""
        if version != self.applied_version:
            self.applied_version = version
            self._discard_grants()

    def report_check(self, change: str, why: str = "") -> None:
        """Report that the courier has checked this change. why: the reason to refuse it."""
        self.ready_for, self.refusal = change, why[:MAX_REASON_CHARS]
        for request in self.requests.values():
            request.next_send_at = 0

    def _discard_grants(self) -> None:
        self.granted_at.clear()
        self.requests.clear()
        self.denial_reasons.clear()

    # Timer and replies

    def tick(self, now: int) -> int:
        """Send the requests that are due. Return the time of the next call."""
        policy, document = self.policy, self.register.document
        if self.must_stop():
            return self._announce_stop(policy, document, now)
        if self.voter_set_version != document.voter_set_version:
            self.voter_set_version = document.voter_set_version
            self._discard_grants()
        if self.applied_version != policy.version_for(self.me) or self.me in policy.cancelled_members:
            return now + 1_000_000
        due = NO_EXPIRY_US
        for voter in sorted(document.all_voters):
            request = self.requests.setdefault(voter, GrantRequest())
            if now >= request.next_send_at:
                self._send_request(voter, request, policy, now)
            due = min(due, request.next_send_at)
        until = self.valid_until()
        return min(due, until) if until > now else due

    def _send_request(self, voter: str, request: GrantRequest, policy: Policy, now: int) -> None:
        self.seq += 1
        request.seq, request.sent_at = self.seq, now
        request.next_send_at = now + min(MAX_RETRY_US, RETRY_US << min(request.tries, 8))
        request.tries += 1
        mine = policy.change is not None and policy.change.id == self.ready_for
        self.outbox.append(
            Send(
                voter,
                LeaseRequest(
                    self.generation,
                    self.seq,
                    self.applied_version,
                    self.continues_alone,
                    self.ready_for if mine and not self.refusal else "",
                    f"{self.ready_for} {self.refusal}" if mine and self.refusal else "",
                ),
            )
        )

    def _announce_stop(self, policy: Policy, document: RegisterDocument, now: int) -> int:
        """Repeat to every voter that it has stopped, until a later epoch is known."""
        if self.stopped_epoch < policy.epoch:
            self.stopped_epoch, self.stopped_sent_at = policy.epoch, now - STOPPED_REPEAT_US
            self._discard_grants()
        if now - self.stopped_sent_at >= STOPPED_REPEAT_US:
            self.stopped_sent_at = now
            self.outbox += [Send(voter, WorkStopped(policy.epoch)) for voter in sorted(document.all_voters)]
        return self.stopped_sent_at + STOPPED_REPEAT_US

    def on_grant(self, sender: str, grant: LeaseGrant, now: int) -> None:
        """Count a grant of the version that is applied."""
        request = self.requests.get(sender)
        if request is None or not self.matches_request(grant, request) or self.must_stop():
            return
        if grant.version != self.applied_version or not self.has_same_voters(grant):
            return
        self.granted_at[sender] = request.sent_at
        request.tries = 0
        request.next_send_at = request.sent_at + int(self.length_us * (1 - self.drift)) // RENEWALS_PER_LEASE
        self.denial_reasons.pop(sender, None)

    def matches_request(self, grant: LeaseGrant, request: GrantRequest) -> bool:
        """Return whether it answers the newest request of this generation.

        Each generation counts its requests from one.
        """
        return grant.generation == self.generation and grant.seq == request.seq

    def has_same_voters(self, grant: LeaseGrant) -> bool:
        """Return whether voter and member know the same set of voters."""
        return grant.voter_set_version == self.register.document.voter_set_version == self.voter_set_version

    def on_denial(self, sender: str, denial: LeaseDenial) -> None:
        """Note a voter's reason to deny."""
        request = self.requests.get(sender)
        if request is not None and denial.seq == request.seq:
            self.denial_reasons[sender] = denial.why

    # Upgrades, on the same machine, whose elapsed clock continues

    def carry(self) -> dict[str, object]:
        """Return the state that is handed over to the next process at an upgrade."""
        return {
            "version": self.applied_version,
            "given": self.granted_at,
            "roster": self.voter_set_version,
            "seq": self.seq,
            "stopped": self.stopped_epoch,
        }

    def resume(self, carried: dict[str, object]) -> None:
        """Continue with the granted lease; open requests are not handed over."""
        self.applied_version, self.granted_at = int(carried["version"]), dict(carried["given"])  # type: ignore[call-overload]
        self.voter_set_version, self.stopped_epoch = int(carried["roster"]), int(carried["stopped"])  # type: ignore[call-overload]
        self.seq = int(carried["seq"]) + 1  # type: ignore[call-overload]
