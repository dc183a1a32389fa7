"""One member's part in the fleet's policy: its lease, what it gives as a voter, the texts, the changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from hopmill.fleet.actions import Send
from hopmill.fleet.conductor import PolicyChangeCoordinator, Then
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.giver import LeaseGrantor
from hopmill.fleet.policy import STAGE, Change, CanaryGroup, end, go_back, cancel_member
from hopmill.fleet.register import Register
from hopmill.fleet.standing import PolicyLease
from hopmill.fleet.texts import Texts
from hopmill.fleet.watch import Watch
from hopmill.fleet.wire import (
    Body,
    Clear,
    Counted,
    Given,
    Hold,
    IsClear,
    NotGiven,
    Piece,
    Stopped,
    WantSums,
    WantText,
)

MOST_LACKED = 4
SALTS = 256  # that are tried, for a share of few members to be met
KINDS = (Hold, Given, NotGiven, Stopped, IsClear, Clear, WantSums, Counted, WantText, Piece)


class PolicyMember:
    """Times are us of this member's elapsed clock. After each call, `take` gives what is to be sent."""

    lease_type, grantor_type, coordinator_type = PolicyLease, LeaseGrantor, PolicyChangeCoordinator

    def __init__(
        self,
        me: str,
        life: int,
        register: Register,
        chance: random.Random,
        length_us: int,
        drift: float,
        last: bool,
        names: Iterable[str],
        others: Callable[[], list[str]],
        on_disk: dict[bytes, bytes],
    ) -> None:
        """life: of this process, never used before. names: all members configured; others: those that are
        there now. on_disk: texts."""
        self.me, self.register = me, register
        self.texts = Texts(on_disk)
        self.lease = self.lease_type(me, life, register, length_us, drift, last)
        self.grantor = self.grantor_type(me, register, length_us, drift, last, names)
        self.coordinator = self.coordinator_type(me, register, chance, others)
        self.watch = Watch()
        self.proposed: set[bytes] = set()  # texts that may come into the document yet
        self.lacked: dict[bytes, None] = {}  # texts of documents that it was to vote for, the newest last
        self.kept: set[bytes] = set()
        self.dropped: set[bytes] = set()  # that may go from the disk
        register.lacks = self._lacks

    # Texts

    def _lacks(self, document: RegisterDocument, sender: str) -> bool:
        lacking = document.policy.texts - self.texts.on_disk
        for digest in lacking:
            self.lacked.pop(digest, None)
            self.lacked[digest] = None
            while len(self.lacked) > MOST_LACKED:
                del self.lacked[next(iter(self.lacked))]
            self.texts.want(digest, self._asks(sender))
            self.texts.write(digest)
        return bool(lacking)

    def _asks(self, first: str) -> list[str]:
        return [name for name in (first, *sorted(self.register.document.all_voters)) if name != self.me]

    def _keep_texts(self) -> None:
        """Those that are in force, or may be, by all that this member knows; a voter has them on disk."""
        p, d = self.register.document.policy, self.register.document
        voted = self.grantor.voted().policy.texts
        for digest in p.texts | voted:
            self.texts.want(digest, self._asks(p.change.by if p.change else self.me))
            if self.me in d.all_voters:
                self.texts.write(digest)
        kept = p.texts | voted | self.proposed | set(self.lacked)
        if kept != self.kept:
            self.kept = kept
            self.dropped |= self.texts.keep(kept)

    # In and out

    def receive(self, sender: str, body: Body, now: int) -> bool:
        """Whether there is something to do at once."""
        if isinstance(body, Hold):
            self.grantor.hold(sender, body, now)
            return False
        if isinstance(body, Given):
            before = self.lease.valid_version(now)
            self.lease.given_by(sender, body, now)
            return self.lease.valid_version(now) != before
        if isinstance(body, NotGiven):
            self.lease.not_given_by(sender, body)
        elif isinstance(body, Stopped):
            self.grantor.stops(sender, body, now)
        elif isinstance(body, IsClear):
            self.grantor.is_clear(sender, body, now)
        elif isinstance(body, Clear):
            return self.coordinator.clear(sender, body, now)
        elif isinstance(body, WantSums):
            if self.watch.stage == body.stage:
                before, after = self.watch.told(now, body.watch_ms * 1000)
                version = self.lease.applied_version
                self.texts.out.append(Send(sender, Counted(body.stage, version, before, after)))
        elif isinstance(body, Counted):
            self.coordinator.counted(sender, body)
        elif isinstance(body, WantText):
            self.texts.wanted(sender, body)
        elif isinstance(body, Piece):
            self.texts.piece(sender, body, now)
            if body.digest in self.texts.by_digest and body.digest in self.lacked:
                self.texts.write(body.digest)
            return body.digest in self.texts.by_digest
        return False

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        self._keep_texts()
        self.watch.tick(now)
        if (stage := self.register.document.policy.stage) and self.lease.valid_version(now) >= 0:
            self.watch.staged(stage.id, now)
        due = min(self.lease.tick(now), self.texts.tick(now), self.coordinator.tick(now))
        return min(due, self.grantor.tick(now) if self.register.voter.voting else due)

    def take(self) -> list[Send]:
        parts = (self.lease, self.grantor, self.texts, self.coordinator)
        out = [send for part in parts for send in part.out]
        for part in parts:
            part.out = []
        return out

    # Words of the staff

    def propose(
        self, ident: str, text: bytes, base: int, now: int, then: Then, share: float = 1.0, watch_ms: int = 0
    ) -> str:
        """ident: of this proposal and no other, however often it is told. share: under 1, so many go first
        and are watched. ValueError: too long."""
        digest = self.texts.add(text)
        self.proposed.add(digest)

        def ended(outcome: object) -> None:
            self.proposed.discard(digest)
            then(outcome)  # type: ignore[arg-type]

        change = Change(ident, digest, self.me)
        if share < 1:
            change = Change(ident, digest, self.me, False, STAGE, self._few(share, watch_ms))
        return self.coordinator.propose(change, base, now, ended)

    def _few(self, share: float, watch_ms: int) -> CanaryGroup:
        """By the salt that comes nearest to the share of those that are there: one at least, and not all."""
        names = [self.me, *self.coordinator.others()]
        wanted = min(max(1, round(share * len(names))), max(1, len(names) - 1))
        return min(
            (CanaryGroup(share, salt, watch_ms) for salt in range(SALTS)),
            key=lambda few: abs(sum(map(few.includes, names)) - wanted),
        )

    def withdraw(self, ident: str, now: int) -> str:
        """End the change that is under way, if it is this one."""

        def step(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
            p = document.policy
            if p.stage and p.stage.id == ident:
                return go_back(p.epoch, "withdrawn by staff")(ticket, document)
            return (
                end(p.epoch, "withdrawn by staff")(ticket, document)
                if (p.change and p.change.id == ident)
                else None
            )

        return self.register.propose(step, now, lambda outcome: self.coordinator.tell_if(outcome))

    def cancel_member(self, member: str, off: bool, now: int, then: Then) -> str:
        return self.register.propose(cancel_member(member, off), now, then)
