"""Leads a change of policy through its steps. Whoever proposed it does; if that one is gone, a voter does.

Two who lead at once do no harm: each step is a compare-and-set on the epoch that it was decided at.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.policy import BACK, Change, Policy, close, commit, end, go_back, go_on, prepare, reopen
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.watch import worse
from hopmill.fleet.wire import Chosen, Clear, Counted, IsClear, WantSums
from hopmill.fleet import document as doc

ASK_US, MOST_ASK_US = 40_000, 320_000  # the voters, doubled each time
TAKE_OVER_US = (800_000, 2_400_000)  # after the newest step, a voter that did not propose it
# A closing lasts no longer, so that work does not wait for one that fails meanwhile; each one that was opened
# again is followed by one that may last twice as long, or a slow network would never see the end of it.
REOPEN_US, MOST_REOPEN_US = 400_000, 6_400_000
LOOK_US = 1_000_000  # at those that go first, once in so long
MOST_COUNTED = 2000
READ_EVERY = 4  # askings without progress, then the document is read anew: that mends a vote that was lost
Then = Callable[[Outcome], None]


class PolicyChangeCoordinator:
    commit = staticmethod(commit)

    def __init__(
        self, me: str, register: Register, chance: random.Random, others: Callable[[], list[str]]
    ) -> None:
        """others: who is told of a step at once; those that miss it hear of it by and by."""
        self.me, self.register, self.chance, self.others = me, register, chance, others
        self.epoch, self.since, self.leads_from, self.ask_at, self.asks = -1, 0, 0, 0, 0
        self.answers: dict[str, Clear] = {}
        self.proposing = False
        self.totals: dict[str, Counted] = {}  # of a stage, by member
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

    def waiting_for(self) -> dict[str, str]:
        """Whom the change waits for, by all voters that have answered."""
        return {name: why for answer in self.answers.values() for name, why in answer.waits}

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        p, d = self.policy, self.register.document
        if p.epoch != self.epoch:
            self._began(p, now)
        if not (p.change or p.stage):
            return now + 1_000_000
        if now < self.leads_from:
            return max(now + 1000, self.leads_from)
        if p.change is None:
            return self._watch(p, now)
        if self.proposing:
            return now + ASK_US
        if step := self._step(p, d, now):
            self._take(step, now)
            return now + ASK_US
        if now >= self.ask_at:
            self.ask_at = now + min(MOST_ASK_US, ASK_US << min(self.asks, 8))
            self.asks += 1
            self.out += [Send(voter, IsClear(p.epoch)) for voter in sorted(d.all_voters)]
            if self.asks % READ_EVERY == 0 and not self.register.proposer.jobs:
                self.register.propose(lambda ticket, document: None, now)
        return min(self.ask_at, self.since + self._closing_us(p.change) if p.change.closing else self.ask_at)

    @staticmethod
    def _closing_us(change: Change) -> int:
        return min(MOST_REOPEN_US, REOPEN_US << min(change.opened, 8))

    def _began(self, p: Policy, now: int) -> None:
        there = p.change or p.stage
        leads = there is not None and (there.by == self.me or p.epoch == self.led)
        voter = self.me in self.register.document.voters
        later = now + self.chance.randrange(*TAKE_OVER_US) if voter else 1 << 62
        self.epoch, self.since, self.ask_at, self.asks = p.epoch, now, now, 0
        self.leads_from = now if leads else later
        self.answers = {}
        if p.stage is None or p.change:
            self.totals = {}

    # A stage

    def _watch(self, p: Policy, now: int) -> int:
        """Those that go first are watched, and the rest follows or they go back."""
        stage = p.stage
        assert stage is not None
        if self.proposing:
            return now + ASK_US
        looks = max(1, stage.canary.watch_ms * 1000 // LOOK_US)
        few = [(c.before, c.after) for name, c in self.totals.items() if stage.canary.includes(name)]
        rest = [(c.before, c.after) for name, c in self.totals.items() if not stage.canary.includes(name)]
        if why := worse(few, rest, looks):
            self._take(go_back(p.epoch, why), now)
        elif now - self.since >= stage.canary.watch_ms * 1000:
            self._take(go_on(p.epoch), now)
        elif now >= self.ask_at:
            self.ask_at = now + LOOK_US
            body = WantSums(stage.id, stage.canary.watch_ms)
            self.out += [Send(name, body) for name in (self.me, *self.others())]
        return min(self.ask_at, self.since + stage.canary.watch_ms * 1000)

    def counted(self, sender: str, body: Counted) -> None:
        stage = self.policy.stage
        if (
            stage
            and body.stage == stage.id
            and body.version == self.policy.version_for(sender)
            and (sender in self.totals or len(self.totals) < MOST_COUNTED)
        ):
            self.totals[sender] = body

    def _step(
        self, p: Policy, d: RegisterDocument, now: int
    ) -> Callable[[str, RegisterDocument], RegisterDocument | None] | None:
        assert p.change is not None
        refused = next((a.refused for a in self.answers.values() if a.refused), "")
        if refused and p.change.moves != BACK:
            return end(p.epoch, refused)
        if self.all_clear(d):
            return self.commit(p.epoch) if p.change.closing else close(p.epoch)
        if p.change.closing and now - self.since >= self._closing_us(p.change):
            return reopen(p.epoch)
        return None

    def all_clear(self, d: RegisterDocument) -> bool:
        return d.agrees({v for v, a in self.answers.items() if a.clear and a.roster == d.roster})

    def _take(self, step: Callable[[str, RegisterDocument], RegisterDocument | None], now: int) -> None:
        self.proposing = True

        def ended(outcome: Outcome) -> None:
            self.proposing = False
            if outcome.state == "done" and outcome.document is not None:
                self.led = outcome.document.policy.epoch
                self.tell(outcome.document)
            else:
                self.answers = {}

        self.register.propose(step, now, ended, urgent=True)

    def tell_if(self, outcome: Outcome) -> None:
        if outcome.state == "done" and outcome.document is not None:
            self.tell(outcome.document)

    def tell(self, document: RegisterDocument) -> None:
        """All that are there, at once: a step that is known late is a longer pause."""
        data = doc.encode(document)
        self.out += [Send(name, Chosen(data)) for name in self.others()]

    def clear(self, sender: str, answer: Clear, now: int) -> bool:
        """True if a step can be taken."""
        p, d = self.policy, self.register.document
        if answer.epoch != p.epoch or sender not in d.all_voters:
            return False
        self.answers[sender] = answer
        return p.change is not None and not self.proposing and self._step(p, d, now) is not None
