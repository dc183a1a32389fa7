"""A voter's side of the leases on the version in force: to whom it has given one, and until when.

It gives under what it knows to be chosen, never while it has itself voted for a policy that may be or not. It
then reads the register, for all who knew may have ended.
It keeps no list of them on disk: after a start, or when who votes has changed, it waits one lease out before
it says that nobody has one. Where couriers go on alone, all that are configured count as holders until heard.
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
from hopmill.fleet.standing import FOREVER
from hopmill.fleet.wire import Chosen, Clear, Given, Hold, IsClear, NotGiven, Stopped

MOST_GRANTS = 4000
MOST_WAITS = 12  # members that one answer names
READ_US, MOST_DOUBLED = (60_000, 300_000), 4  # that it does not know what is chosen, before it reads


@dataclass
class Grant:
    life: int
    seq: int
    until: int
    ready: str = ""


class LeaseGrantor:
    """Times are us of this member's elapsed clock. `out` gathers what is to be sent."""

    def __init__(
        self, me: str, register: Register, length_us: int, drift: float, last: bool, names: Iterable[str]
    ) -> None:
        """names: all members of the configuration, this one included."""
        self.me, self.register, self.last = me, register, last
        self.waits_us = int(length_us * (1 + drift)) + 1
        self.names = frozenset(names)
        self.grants: dict[str, Grant] = {}
        self.stopped: dict[str, int] = {}  # by member: the epoch that it said it has stopped for
        self.heard: set[str] = set()  # since the last time that it was not sure
        self.sure_at = -1  # from when on it knows of all that it gave; -1: not begun to wait
        self.roster = 0
        self.refusals: dict[str, str] = {}  # by change: who refuses, and why
        self.last_waited = ""
        self.asked: dict[str, int] = {}  # who wants to know when it is clear, and at which epoch
        self.read_at, self.reads, self.reading = 0, 0, ""  # when, how often in a row, under which ticket
        self.accepted: tuple[bytes, RegisterDocument] = b"", register.document
        self.out: list[Send] = []

    # What it goes by

    def voted(self) -> RegisterDocument:
        """What it has accepted last."""
        data = self.register.voter.memory.document
        if data != self.accepted[0]:
            self.accepted = data, self.register.voter.document()
        return self.accepted[1] if data else self.register.voter.initial

    def policy(self) -> Policy | None:
        """That it may give leases by; None while it can't tell."""
        known, voted = self.register.document, self.voted()
        if not self.register.voter.voting or self.me not in known.all_voters:
            return None
        if voted.version > known.version and not self.chosen_alike(known, voted):
            return None
        return known.policy

    def chosen_alike(self, known: RegisterDocument, voted: RegisterDocument) -> bool:
        """Every step of the policy raises its epoch: where it is the same, none lies between."""
        return voted.policy == known.policy and voted.roster == known.roster

    def _sure(self, now: int) -> bool:
        known = self.register.document
        if self.sure_at < 0 or self.roster != known.roster:
            self.roster, self.sure_at = known.roster, now + self.waits_us
            self.heard.clear()
        return now >= self.sure_at

    # Leases

    def hold(self, sender: str, hold: Hold, now: int) -> None:
        grant = self.grants.get(sender)
        if grant and hold.life == grant.life and hold.seq <= grant.seq:
            return  # twice, or overtaken
        why = self._against(sender, hold, now)
        if why:
            self.out.append(Send(sender, NotGiven(hold.seq, why)))
            return
        until = FOREVER if self.last else now + self.waits_us
        self.grants[sender] = Grant(hold.life, hold.seq, max(until, grant.until if grant else 0), hold.ready)
        self.heard.add(sender)
        roster = self.register.document.roster
        self.out.append(Send(sender, Given(hold.seq, hold.version, roster, hold.life)))
        self._tell(now)

    def _against(self, sender: str, hold: Hold, now: int) -> str:
        p = self.policy()
        self._sure(now)
        if p is None:
            return "a vote is under way"
        if hold.last is not self.last:
            return "alone differs"
        if sender in p.cancelled_members:
            return "struck off"
        if not self.in_force(p, sender, hold):
            return f"version {p.version_for(sender)} is in force"
        if p.closing_for(sender) and self.minds_closing():
            return "a change is closing"
        if p.change and not self.may_be_given(p, hold):
            if hold.refuses.startswith(p.change.id + " "):
                self.refusals = {p.change.id: f"{sender}: {hold.refuses[len(p.change.id) + 1 :]}"}
                self._tell(now)
            return "not ready for the change"
        if sender not in self.grants and len(self.grants) >= MOST_GRANTS:
            self.grants = {n: g for n, g in self.grants.items() if g.until > now}
            if len(self.grants) >= MOST_GRANTS:
                return "too many members"
        return ""

    def in_force(self, p: Policy, sender: str, hold: Hold) -> bool:
        return hold.version == p.version_for(sender)

    def minds_closing(self) -> bool:
        return True

    def may_be_given(self, p: Policy, hold: Hold) -> bool:
        """While a change is prepared, only those that are ready go on."""
        return p.change is None or hold.ready == p.change.id

    def stops(self, sender: str, stopped: Stopped, now: int) -> None:
        if len(self.stopped) < MOST_GRANTS or sender in self.stopped:
            self.stopped[sender] = max(stopped.epoch, self.stopped.get(sender, 0))
            self._tell(now)

    # Whom a change waits for

    def is_clear(self, sender: str, asked: IsClear, now: int) -> None:
        if len(self.asked) < MOST_GRANTS:
            self.asked[sender] = asked.epoch
        self._answer(sender, asked.epoch, now, True)

    def _tell(self, now: int) -> None:
        """Those that have asked need not ask again to hear that it has come true."""
        for sender, epoch in list(self.asked.items()):
            self._answer(sender, epoch, now, False)

    def _waits_at_all(self, p: Policy, now: int) -> bool:
        """Whether `waits` would name anybody. Asked with each datagram of each member: it looks first at the
        one that was waited for last."""
        if self.last_waited and self._waits_for(self.last_waited, p, now):
            return True
        self.last_waited = next((name for name, _ in self.waits(p, now)), "")
        return bool(self.last_waited)

    def _answer(self, sender: str, epoch: int, now: int, always: bool) -> None:
        p = self.voted().policy
        if p.epoch != epoch or p.change is None or not self.register.voter.voting:
            if p.epoch > epoch:
                self.asked.pop(sender, None)
            return
        refused = self.refusals.get(p.change.id, "")
        if not (always or refused) and self._waits_at_all(p, now):
            return
        waits = sorted(self.waits(p, now))
        answer = Clear(epoch, self.voted().roster, not waits, tuple(waits[:MOST_WAITS]), refused)
        if answer.clear or refused:
            self.asked.pop(sender, None)  # said once: each tick would say it again, and each answer is a tick
        if answer.clear and p.change.closing:
            self.say_clear(sender, answer)
        else:
            self.out.append(Send(sender, answer))

    def say_clear(self, sender: str, answer: Clear) -> None:
        """Only once its vote for the closing is on disk, by which it gives no more."""
        self.register.voter.persist(Send(sender, answer))

    def waits(self, p: Policy, now: int) -> Iterable[tuple[str, str]]:
        """(member, why) of all that may still work under the version in force without being ready, or, once
        the change is closing, at all."""
        assert p.change is not None
        if not self._sure(now) and self.waits_one_out():
            yield self.me, f"waits {(self.sure_at - now) // 1000} ms"
        for name in self.names - self.heard if self.last else ():
            if why := self._waits_for(name, p, now):
                yield name, why
        for name in self.grants:
            if why := self._waits_for(name, p, now):
                yield name, why

    def _waits_for(self, name: str, p: Policy, now: int) -> str:
        """What this member has yet to do, "" if nothing."""
        change, grant = p.change, self.grants.get(name)
        assert change is not None
        presumed = self.last and name not in self.heard and name in self.names
        if not (presumed or grant and grant.until > now) or self.last and name in p.cancelled_members:
            return ""
        if change.closing:
            return "has not stopped" if change.concerns(name) and not self.has_stopped(name, p) else ""
        if grant is None or presumed:
            return "not heard"
        return "" if grant.ready == change.id else "is not ready"

    def has_stopped(self, name: str, p: Policy) -> bool:
        """For this closing: it may have gone on after an earlier one."""
        return self.stopped.get(name) == p.epoch

    def waits_one_out(self) -> bool:
        return True

    def next_us(self, now: int) -> int:
        """When a lease that something waits for runs out."""
        if not self.asked:
            return FOREVER
        ends = [g.until for g in self.grants.values() if g.until > now] + [self.sure_at]
        return min((at for at in ends if at > now), default=FOREVER)

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        self._sure(now)
        self._tell(now)
        known, voted = self.register.document, self.voted()
        if known.version >= voted.version or self.chosen_alike(known, voted):
            self.read_at = self.reads = 0
            if self.reading:
                self.register.proposer.drop(self.reading, now)
                self.reading = ""
            return self.next_us(now)
        if self.read_at and now >= self.read_at and not self.register.proposer.jobs:
            self.reading = self.register.propose(lambda ticket, document: None, now, self._read)
        if now >= self.read_at:  # not all at once, or they are in one another's way
            chance, self.reads = self.register.proposer.chance, self.reads + 1
            self.read_at = now + (chance.randrange(*READ_US) << min(self.reads - 1, MOST_DOUBLED))
        return min(self.read_at, self.next_us(now))

    def _read(self, outcome: Outcome) -> None:
        """The other voters need not find out by themselves."""
        self.reading = ""
        if outcome.document is not None:
            body = Chosen(doc.encode(outcome.document))
            self.out += [Send(v, body) for v in sorted(outcome.document.all_voters - {self.me})]
