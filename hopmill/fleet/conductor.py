"""Leads a change of policy through its steps. Whoever proposed it does; if that one is gone, a voter does.

Two who lead at once do no harm: each step is a compare-and-set on the epoch that it was decided at.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hopmill.fleet.actions import Send
from hopmill.fleet.document import Document
from hopmill.fleet.policy import Change, Policy, close, commit, end, prepare, reopen
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.wire import Chosen, Clear, IsClear
from hopmill.fleet import document as doc

ASK_US, MOST_ASK_US = 40_000, 320_000  # the voters, doubled each time
TAKE_OVER_US = (800_000, 2_400_000)  # after the newest step, a voter that did not propose it
REOPEN_US = 400_000  # a closing lasts no longer, so that work does not wait for one that fails meanwhile
READ_EVERY = 4  # askings without progress, then the document is read anew: that mends a vote that was lost
Then = Callable[[Outcome], None]


class Conductor:
    commit = staticmethod(commit)

    def __init__(self, me: str, register: Register, chance: random.Random,
                 others: Callable[[], list[str]]) -> None:
        """others: who is told of a step at once; those that miss it hear of it by and by."""
        self.me, self.register, self.chance, self.others = me, register, chance, others
        self.epoch, self.since, self.leads_from, self.ask_at, self.asks = -1, 0, 0, 0, 0
        self.answers: dict[str, Clear] = {}
        self.proposing = False
        self.led = -1  # the epoch of the newest step taken here
        self.out: list[Send] = []

    @property
    def policy(self) -> Policy:
        return self.register.document.policy

    def propose(self, change: Change, base: int, now: int, then: Then) -> str:
        def ended(outcome: Outcome) -> None:
            self.tell_if(outcome)
            then(outcome)
        return self.register.propose(prepare(change, base), now, ended)

    def waits(self) -> dict[str, str]:
        """Whom the change waits for, by all voters that have answered."""
        return {name: why for answer in self.answers.values() for name, why in answer.waits}

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        p, d = self.policy, self.register.document
        if p.epoch != self.epoch:
            self._began(p, now)
        if p.change is None or now < self.leads_from:
            return max(now + 1000, self.leads_from) if p.change else now + 1_000_000
        if self.proposing:
            return now + ASK_US
        if step := self._step(p, d, now):
            self._take(step, now)
            return now + ASK_US
        if now >= self.ask_at:
            self.ask_at = now + min(MOST_ASK_US, ASK_US << min(self.asks, 8))
            self.asks += 1
            self.out += [Send(voter, IsClear(p.epoch)) for voter in sorted(d.everyone)]
            if self.asks % READ_EVERY == 0:
                self.register.propose(lambda ticket, document: None, now)
        return min(self.ask_at, self.since + REOPEN_US if p.change.closing else self.ask_at)

    def _began(self, p: Policy, now: int) -> None:
        leads = p.change is not None and (p.change.by == self.me or p.epoch == self.led)
        voter = self.me in self.register.document.voters
        later = now + self.chance.randrange(*TAKE_OVER_US) if voter else 1 << 62
        self.epoch, self.since, self.ask_at, self.asks = p.epoch, now, now, 0
        self.leads_from = now if leads else later
        self.answers = {}

    def _step(self, p: Policy, d: Document, now: int) -> Callable[[str, Document], Document | None] | None:
        assert p.change is not None
        if refused := next((a.refused for a in self.answers.values() if a.refused), ""):
            return end(p.epoch, refused)
        if self.all_clear(d):
            return self.commit(p.epoch) if p.change.closing else close(p.epoch)
        if p.change.closing and now - self.since >= REOPEN_US:
            return reopen(p.epoch)
        return None

    def all_clear(self, d: Document) -> bool:
        return d.agrees({v for v, a in self.answers.items() if a.clear and a.roster == d.roster})

    def _take(self, step: Callable[[str, Document], Document | None], now: int) -> None:
        self.proposing = True

        def ended(outcome: Outcome) -> None:
            self.proposing = False
            if outcome.state == "done" and outcome.document is not None:
                self.led = outcome.document.policy.epoch
                self.tell(outcome.document)
            else:
                self.answers = {}
        self.register.propose(step, now, ended)

    def tell_if(self, outcome: Outcome) -> None:
        if outcome.state == "done" and outcome.document is not None:
            self.tell(outcome.document)

    def tell(self, document: Document) -> None:
        """All that are there, at once: a step that is known late is a longer pause."""
        data = doc.encode(document)
        self.out += [Send(name, Chosen(data)) for name in self.others()]

    def clear(self, sender: str, answer: Clear, now: int) -> bool:
        """True if a step can be taken."""
        p, d = self.policy, self.register.document
        if answer.epoch != p.epoch or sender not in d.everyone:
            return False
        self.answers[sender] = answer
        return p.change is not None and not self.proposing and self._step(p, d, now) is not None
