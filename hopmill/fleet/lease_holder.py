"""A lease on the register: the right to act under a name, with a fencing token that only grows.

Its safety rests on one assumption: the elapsed clocks of two machines drift apart by at most the declared
share. The holder counts from before it asked for its last renewal and gives up early by the drift. A member
that wants the lease counts from when it first saw that renewal and waits longer by the drift. Readings of two
clocks are never compared.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.document import Lease, RegisterDocument, proposal_id_of
from hopmill.fleet.proposer import DocumentUpdate, Outcome

RENEWALS = 3  # per lease length


@dataclass
class LeaseProposal:
    """A change of the lease that this member has proposed."""

    proposal_id: str
    asked_at: int  # us
    action: str  # 'take', 'renew', 'give'
    fencing_token: int


class LeaseHolder:
    """One member's part in one lease. Times are us of its elapsed clock."""

    def __init__(self, name: str, owner: str, length_us: int, drift: float, wanted: bool = True) -> None:
        """owner: this generation of this member; after a restart it does not hold what it held before."""
        self.name, self.owner, self.length_us, self.drift = name, owner, length_us, drift
        self.wanted = wanted
        self.token = 0  # the fencing token in use, 0: none
        self.valid_until = 0  # us
        self.last_seen, self.last_seen_at = Lease(), 0
        self.pending: LeaseProposal | None = None
        self.proposal_count = 0

    def fencing_token(self, now: int) -> int:
        """Return the token to act under, 0 if it may not act. To be called in the turn that acts."""
        return self.token if self.token and now < self.valid_until else 0

    def observe(self, now: int, document: RegisterDocument) -> None:
        """Note the lease in the newest known document."""
        lease = document.leases.get(self.name, Lease())
        if lease != self.last_seen:
            self.last_seen, self.last_seen_at = lease, now
        if lease.fencing_token > self.token:
            self.token = self.valid_until = 0

    def tick(self, now: int, document: RegisterDocument) -> tuple[str, DocumentUpdate] | None:
        """Return (proposal id, change) to propose, if any."""
        self.observe(now, document)
        if self.pending is not None:
            return None
        is_mine = (
            self.last_seen.owner == self.owner and self.token == self.last_seen.fencing_token and self.token
        )
        if is_mine and not self.wanted:
            return self._propose(now, "give")
        if is_mine and now < self.valid_until:
            is_renewal_due = self.valid_until - now < self.usable_us() * (RENEWALS - 1) // RENEWALS
            return self._propose(now, "renew") if is_renewal_due else None
        if self.wanted and self.is_free(now):
            return self._propose(now, "take")
        return None

    def can_wait(self, now: int) -> bool:
        """Return whether nothing is proposed and the lease is not held here or has half of its time left."""
        return self.pending is None and (not self.token or self.valid_until - now > self.usable_us() // 2)

    def is_free(self, now: int) -> bool:
        """Return whether its owner has released it or let it expire."""
        return not self.last_seen.owner or now - self.last_seen_at >= self.takeover_wait_us()

    def takeover_wait_us(self) -> int:
        """Return how long after its last renewal another member may take the lease."""
        return int(self.last_seen.length_us * (1 + self.drift)) + 1

    def usable_us(self) -> int:
        """Return how long after asking for a renewal its holder may act."""
        return int(self.length_us * (1 - self.drift))

    def next_wake_at(self, now: int) -> int:
        """Return when to call `tick` again."""
        if self.fencing_token(now):
            return max(now + 1000, self.valid_until - self.usable_us() * (RENEWALS - 1) // RENEWALS)
        return (
            max(now + 1000, self.last_seen_at + self.takeover_wait_us())
            if self.last_seen.owner
            else now + 100_000
        )

    def _propose(self, now: int, action: str) -> tuple[str, DocumentUpdate]:
        self.proposal_count += 1
        proposal_id = proposal_id_of(f"{self.owner}/{self.name}/{self.proposal_count}")
        fencing_token = self.next_fencing_token(self.last_seen) if action == "take" else self.token
        self.pending = LeaseProposal(proposal_id, now, action, fencing_token)
        if action == "give":
            self.release()
        seen, proposed = (
            self.last_seen,
            Lease(
                "" if action == "give" else self.owner,
                fencing_token,
                0 if action == "take" else self.last_seen.renewal + 1,
                self.length_us,
            ),
        )

        def change(document: RegisterDocument) -> RegisterDocument | None:
            if document.leases.get(self.name, Lease()) != seen and self.requires_unchanged():
                return None
            return document.next(proposal_id, leases={**document.leases, self.name: proposed})

        return proposal_id, change

    def release(self) -> None:
        """Stop acting before the release is proposed: another member may take the lease as soon as it is
        free.
        """
        self.token = self.valid_until = 0

    def next_fencing_token(self, seen: Lease) -> int:
        """Return the token for a takeover."""
        return seen.fencing_token + 1

    def requires_unchanged(self) -> bool:
        """Return whether to take it only as it was last seen: the wait was for that renewal."""
        return True

    def on_outcome(self, outcome: Outcome, now: int) -> bool:
        """Handle the outcome of a proposal. Return whether it is one of its own."""
        proposal = self.pending
        if proposal is None or outcome.proposal_id != proposal.proposal_id:
            return False
        self.pending = None
        if outcome.state == "done" and outcome.document is not None:
            lease = outcome.document.leases.get(self.name, Lease())
            if lease.owner == self.owner and lease.fencing_token == proposal.fencing_token:
                self.token, self.valid_until = (
                    lease.fencing_token,
                    self.counts_from(proposal.asked_at, now) + self.usable_us(),
                )
            self.observe(now, outcome.document)
        return True

    def counts_from(self, asked_at: int, now: int) -> int:
        """Return the time before it asked: other members may count from any moment after that."""
        return asked_at

    def carry(self) -> dict[str, int]:
        """Return the state to hand over at an upgrade on the same machine, whose elapsed clock continues."""
        return {"fence": self.token, "valid_until": self.valid_until, "count": self.proposal_count}

    def resume(self, carried: dict[str, int]) -> None:
        """Continue with the state of the process before."""
        self.token, self.valid_until = carried["fence"], carried["valid_until"]
        self.proposal_count = carried["count"] + 1  # no proposal id is used twice
