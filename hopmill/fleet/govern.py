"""One member's part in the fleet's policy: its lease, what it gives as a voter, the texts, the changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from hopmill.fleet.actions import Send
from hopmill.fleet.conductor import Conductor, Then
from hopmill.fleet.document import Document
from hopmill.fleet.giver import Giver
from hopmill.fleet.policy import STAGE, Change, Few, end, go_back, strike
from hopmill.fleet.register import Register
from hopmill.fleet.standing import Standing
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


class Govern:
    """Times are us of this member's elapsed clock. After each call, `take` gives what is to be sent."""

    standing_type, giver_type, conductor_type = Standing, Giver, Conductor

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
        self.standing = self.standing_type(me, life, register, length_us, drift, last)
        self.giver = self.giver_type(me, register, length_us, drift, last, names)
        self.conductor = self.conductor_type(me, register, chance, others)
        self.watch = Watch()
        self.proposed: set[bytes] = set()  # texts that may come into the document yet
        self.lacked: dict[bytes, None] = {}  # texts of documents that it was to vote for, the newest last
        self.kept: set[bytes] = set()
        self.dropped: set[bytes] = set()  # that may go from the disk
        register.lacks = self._lacks

    # Texts

    def _lacks(self, document: Document, sender: str) -> bool:
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
        return [name for name in (first, *sorted(self.register.document.everyone)) if name != self.me]

    def _keep_texts(self) -> None:
        """Those that are in force, or may be, by all that this member knows; a voter has them on disk."""
        p, d = self.register.document.policy, self.register.document
        voted = self.giver.voted().policy.texts
        for digest in p.texts | voted:
            self.texts.want(digest, self._asks(p.change.by if p.change else self.me))
            if self.me in d.everyone:
                self.texts.write(digest)
        kept = p.texts | voted | self.proposed | set(self.lacked)
        if kept != self.kept:
            self.kept = kept
            self.dropped |= self.texts.keep(kept)

    # In and out

    def receive(self, sender: str, body: Body, now: int) -> bool:
        """Whether there is something to do at once."""
        if isinstance(body, Hold):
            self.giver.hold(sender, body, now)
            return False
        if isinstance(body, Given):
            before = self.standing.held(now)
            self.standing.given_by(sender, body, now)
            return self.standing.held(now) != before
        if isinstance(body, NotGiven):
            self.standing.not_given_by(sender, body)
        elif isinstance(body, Stopped):
            self.giver.stops(sender, body, now)
        elif isinstance(body, IsClear):
            self.giver.is_clear(sender, body, now)
        elif isinstance(body, Clear):
            return self.conductor.clear(sender, body, now)
        elif isinstance(body, WantSums):
            if self.watch.stage == body.stage:
                before, after = self.watch.told(now, body.watch_ms * 1000)
                version = self.standing.version
                self.texts.out.append(Send(sender, Counted(body.stage, version, before, after)))
        elif isinstance(body, Counted):
            self.conductor.counted(sender, body)
        elif isinstance(body, WantText):
            self.texts.wanted(sender, body)
        elif isinstance(body, Piece):
            self.texts.piece(sender, body, now)
            if body.digest in self.texts.held and body.digest in self.lacked:
                self.texts.write(body.digest)
            return body.digest in self.texts.held
        return False

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        self._keep_texts()
        self.watch.tick(now)
        if (stage := self.register.document.policy.stage) and self.standing.held(now) >= 0:
            self.watch.staged(stage.id, now)
        due = min(self.standing.tick(now), self.texts.tick(now), self.conductor.tick(now))
        return min(due, self.giver.tick(now) if self.register.voter.voting else due)

    def take(self) -> list[Send]:
        parts = (self.standing, self.giver, self.texts, self.conductor)
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
        return self.conductor.propose(change, base, now, ended)

    def _few(self, share: float, watch_ms: int) -> Few:
        """By the salt that comes nearest to the share of those that are there: one at least, and not all."""
        names = [self.me, *self.conductor.others()]
        wanted = min(max(1, round(share * len(names))), max(1, len(names) - 1))
        return min(
            (Few(share, salt, watch_ms) for salt in range(SALTS)),
            key=lambda few: abs(sum(map(few.has, names)) - wanted),
        )

    def withdraw(self, ident: str, now: int) -> str:
        """End the change that is under way, if it is this one."""

        def step(ticket: str, document: Document) -> Document | None:
            p = document.policy
            if p.stage and p.stage.id == ident:
                return go_back(p.epoch, "withdrawn by staff")(ticket, document)
            return (
                end(p.epoch, "withdrawn by staff")(ticket, document)
                if (p.change and p.change.id == ident)
                else None
            )

        return self.register.propose(step, now, lambda outcome: self.conductor.tell_if(outcome))

    def strike(self, member: str, off: bool, now: int, then: Then) -> str:
        return self.register.propose(strike(member, off), now, then)
