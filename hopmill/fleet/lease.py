"""A lease on the register: who may act, with a fencing number that only grows.

It rests on one thing, that the elapsed clocks of two machines run apart by at most the declared drift. The
holder counts from before it asked for its last renewal and gives up early by the drift; whoever wants the
lease counts from when it first saw that renewal and waits longer by the drift. Two clocks' readings are never
compared.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.document import RegisterDocument, Lease, ticket_of
from hopmill.fleet.proposer import Change, Outcome

RENEWALS = 3  # in the time of a lease


@dataclass
class Asked:
    ticket: str
    at: int
    what: str  # 'take', 'renew', 'give'
    fence: int


class LeaseHolder:
    """One member's part in one lease."""

    def __init__(self, name: str, owner: str, length_us: int, drift: float, wanted: bool = True) -> None:
        """owner: this life of this member, for a restarted one does not hold what it held before."""
        self.name, self.owner, self.length_us, self.drift = name, owner, length_us, drift
        self.wanted = wanted
        self.fence = 0  # that it acts under, valid until
        self.valid_until = 0
        self.seen, self.seen_at = Lease(), 0
        self.asked: Asked | None = None
        self.count = 0

    def fencing_token(self, now: int) -> int:
        """The fencing number to act under, 0 if it may not. To be asked in the turn that acts."""
        return self.fence if self.fence and now < self.valid_until else 0

    def look(self, now: int, document: RegisterDocument) -> None:
        """The document as known now."""
        lease = document.leases.get(self.name, Lease())
        if lease != self.seen:
            self.seen, self.seen_at = lease, now
        if lease.fence > self.fence:
            self.fence = self.valid_until = 0

    def tick(self, now: int, document: RegisterDocument) -> tuple[str, Change] | None:
        """(ticket, change) to propose, if any."""
        self.look(now, document)
        if self.asked is not None:
            return None
        mine = self.seen.owner == self.owner and self.fence == self.seen.fence and self.fence
        if mine and not self.wanted:
            return self._ask(now, "give")
        if mine and now < self.valid_until:
            soon = self.valid_until - now < self.kept_us() * (RENEWALS - 1) // RENEWALS
            return self._ask(now, "renew") if soon else None
        if self.wanted and self.free(now):
            return self._ask(now, "take")
        return None

    def can_wait(self, now: int) -> bool:
        """Not asked for anything, and its lease has half of its time left, or is another's."""
        return self.asked is None and (not self.fence or self.valid_until - now > self.kept_us() // 2)

    def free(self, now: int) -> bool:
        """Whether its owner has given it up, by itself or by time."""
        return not self.seen.owner or now - self.seen_at >= self.waits_us()

    def waits_us(self) -> int:
        return int(self.seen.length_us * (1 + self.drift)) + 1

    def kept_us(self) -> int:
        return int(self.length_us * (1 - self.drift))

    def next_us(self, now: int) -> int:
        """When to look again."""
        if self.fencing_token(now):
            return max(now + 1000, self.valid_until - self.kept_us() * (RENEWALS - 1) // RENEWALS)
        return max(now + 1000, self.seen_at + self.waits_us()) if self.seen.owner else now + 100_000

    def _ask(self, now: int, what: str) -> tuple[str, Change]:
        self.count += 1
        ticket = ticket_of(f"{self.owner}/{self.name}/{self.count}")
        fence = self.next_fence(self.seen) if what == "take" else self.fence
        self.asked = Asked(ticket, now, what, fence)
        if what == "give":
            self.lets_go()
        seen, mine = (
            self.seen,
            Lease(
                "" if what == "give" else self.owner,
                fence,
                0 if what == "take" else self.seen.renewal + 1,
                self.length_us,
            ),
        )

        def change(document: RegisterDocument) -> RegisterDocument | None:
            if document.leases.get(self.name, Lease()) != seen and self.unchanged():
                return None
            return document.next(ticket, leases={**document.leases, self.name: mine})

        return ticket, change

    def lets_go(self) -> None:
        """Before it is given: another may take it the moment that it is free."""
        self.fence = self.valid_until = 0

    def next_fence(self, seen: Lease) -> int:
        return seen.fence + 1

    def unchanged(self) -> bool:
        """Taken only as it was last seen: the wait was for that one."""
        return True

    def ended(self, outcome: Outcome, now: int) -> bool:
        """Whether the outcome is one of its own."""
        asked = self.asked
        if asked is None or outcome.ticket != asked.ticket:
            return False
        self.asked = None
        if outcome.state == "done" and outcome.document is not None:
            lease = outcome.document.leases.get(self.name, Lease())
            if lease.owner == self.owner and lease.fence == asked.fence:
                self.fence, self.valid_until = lease.fence, self.counts_from(asked.at, now) + self.kept_us()
            self.look(now, outcome.document)
        return True

    def counts_from(self, asked_at: int, now: int) -> int:
        """From before it asked: the others may count from any moment after that."""
        return asked_at

    def carry(self) -> dict[str, int]:
        """For an upgrade on the same machine, whose elapsed clock goes on."""
        return {"fence": self.fence, "valid_until": self.valid_until, "count": self.count}

    def resume(self, carried: dict[str, int]) -> None:
        self.fence, self.valid_until = carried["fence"], carried["valid_until"]
        self.count = carried["count"] + 1  # a ticket is never used twice
