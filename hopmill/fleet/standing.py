"""A member's lease on the version in force: the right to begin calls and to take messages on.

A majority of the voters has to give it, and each of them only under what it knows to be chosen. The member
counts from before it asked, a voter from after it gave, each with the drift on its side. A member that stops
for a closing says so, and begins nothing before it knows a later epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.policy import MOST_WHY, Policy
from hopmill.fleet.register import Register
from hopmill.fleet.wire import Given, Hold, NotGiven, Stopped

RENEWALS = 3  # in the time of a lease
AGAIN_US, MOST_AGAIN_US = 40_000, 640_000  # to a voter that does not answer, doubled each time
STOPPED_AGAIN_US = 60_000
FOREVER = 1 << 62


@dataclass
class Asked:
    """What one voter was asked last."""

    seq: int = 0
    at: int = 0
    tries: int = 0
    next_at: int = 0


class PolicyLease:
    """Times are us of this member's elapsed clock. `out` gathers what is to be sent."""

    def __init__(
        self, me: str, life: int, register: Register, length_us: int, drift: float, last: bool
    ) -> None:
        """last: alone, it goes on under the last version; else it holds."""
        self.me, self.life, self.register = me, life, register
        self.length_us, self.drift, self.last = length_us, drift, last
        self.applied_version = -1  # that this courier is set up for
        self.ready_for, self.refuses = "", ""  # the change that it has checked, and what speaks against it
        self.stopped = 0  # the epoch of the newest closing that it has stopped for
        self.seq = 0
        self.asked: dict[str, Asked] = {}
        self.given: dict[str, int] = {}  # by voter: when it was asked for what it gave
        self.roster = 0  # that the given are of
        self.stopped_at = -STOPPED_AGAIN_US
        self.why: dict[str, str] = {}  # by voter: why it gave none
        self.out: list[Send] = []

    @property
    def policy(self) -> Policy:
        return self.register.document.policy

    # What the courier may do

    def valid_version(self, now: int) -> int:
        """The version to act under, -1 if it may not act. To be asked in the turn that acts."""
        return self.applied_version if now < self.valid_until() else -1

    def valid_until(self) -> int:
        d = self.register.document
        if (
            self.applied_version != d.policy.version_for(self.me)
            or self.stops()
            or self.me in d.policy.cancelled_members
        ):
            return 0
        if self.roster != d.roster:
            return 0
        if self.last:
            return FOREVER if d.agrees(self.given) else 0
        there: set[str] = set()
        for voter in sorted(self.given, key=self.given.__getitem__, reverse=True):
            there.add(voter)
            if d.agrees(there):
                return self.counts_from(voter) + int(self.length_us * (1 - self.drift))
        return 0

    def counts_from(self, voter: str) -> int:
        return self.given[voter]

    def stops(self) -> bool:
        return self.policy.closing_for(self.me)

    # What the courier says

    def set_applied_version(self, version: int) -> None:
        """All of it is in place; what was given under another counts no more."""
        if version != self.applied_version:
            self.applied_version = version
            self._forget()

    def report_check(self, change: str, why: str = "") -> None:
        """It has checked this change against its own settings and machine. why: it can't take it."""
        self.ready_for, self.refuses = change, why[:MOST_WHY]
        for asked in self.asked.values():
            asked.next_at = 0

    def _forget(self) -> None:
        self.given.clear()
        self.asked.clear()
        self.why.clear()

    # Time and answers

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        p, d = self.policy, self.register.document
        if self.stops():
            return self._stop(p, d, now)
        if self.roster != d.roster:
            self.roster = d.roster
            self._forget()
        if self.applied_version != p.version_for(self.me) or self.me in p.cancelled_members:
            return now + 1_000_000
        due = FOREVER
        for voter in sorted(d.all_voters):
            asked = self.asked.setdefault(voter, Asked())
            if now >= asked.next_at:
                self._ask(voter, asked, p, now)
            due = min(due, asked.next_at)
        until = self.valid_until()
        return min(due, until) if until > now else due

    def _ask(self, voter: str, asked: Asked, p: Policy, now: int) -> None:
        self.seq += 1
        asked.seq, asked.at = self.seq, now
        asked.next_at = now + min(MOST_AGAIN_US, AGAIN_US << min(asked.tries, 8))
        asked.tries += 1
        mine = p.change is not None and p.change.id == self.ready_for
        self.out.append(
            Send(
                voter,
                Hold(
                    self.life,
                    self.seq,
                    self.applied_version,
                    self.last,
                    self.ready_for if mine and not self.refuses else "",
                    f"{self.ready_for} {self.refuses}" if mine and self.refuses else "",
                ),
            )
        )

    def _stop(self, p: Policy, d: RegisterDocument, now: int) -> int:
        """Every voter is told, again and again, until a later epoch is known."""
        if self.stopped < p.epoch:
            self.stopped, self.stopped_at = p.epoch, now - STOPPED_AGAIN_US
            self._forget()
        if now - self.stopped_at >= STOPPED_AGAIN_US:
            self.stopped_at = now
            self.out += [Send(voter, Stopped(p.epoch)) for voter in sorted(d.all_voters)]
        return self.stopped_at + STOPPED_AGAIN_US

    def given_by(self, sender: str, given: Given, now: int) -> None:
        asked = self.asked.get(sender)
        if asked is None or not self.answers(given, asked) or self.stops():
            return
        if given.version != self.applied_version or not self.same_voters(given):
            return
        self.given[sender] = asked.at
        asked.tries = 0
        asked.next_at = asked.at + int(self.length_us * (1 - self.drift)) // RENEWALS
        self.why.pop(sender, None)

    def answers(self, given: Given, asked: Asked) -> bool:
        """The newest asking of this life, from which it counts: each life counts from one."""
        return given.life == self.life and given.seq == asked.seq

    def same_voters(self, given: Given) -> bool:
        return given.roster == self.register.document.roster == self.roster

    def not_given_by(self, sender: str, refused: NotGiven) -> None:
        asked = self.asked.get(sender)
        if asked is not None and refused.seq == asked.seq:
            self.why[sender] = refused.why

    # Upgrades, on the same machine, whose elapsed clock goes on

    def carry(self) -> dict[str, object]:
        return {
            "version": self.applied_version,
            "given": self.given,
            "roster": self.roster,
            "seq": self.seq,
            "stopped": self.stopped,
        }

    def resume(self, carried: dict[str, object]) -> None:
        """The lease moves along; what was asked and not answered does not."""
        self.applied_version, self.given = int(carried["version"]), dict(carried["given"])  # type: ignore[call-overload]
        self.roster, self.stopped = int(carried["roster"]), int(carried["stopped"])  # type: ignore[call-overload]
        self.seq = int(carried["seq"]) + 1  # type: ignore[call-overload]
