"""Leads a policy change through its steps: prepare, close, commit.

The member that proposed the change leads it; if that member is gone, a voter takes over. Two members that
lead at once do no harm: each step is a compare-and-set on the epoch that it was decided at.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.policy import (
    BACK,
    Policy,
    PolicyChange,
    close,
    commit,
    end_change,
    extend_to_rest,
    prepare,
    reopen,
    roll_back,
)
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.canary_watch import regression
from hopmill.fleet.wire import ChosenDocument, DrainQuery, DrainReply, TotalsReply, TotalsRequest

QUERY_US, MAX_QUERY_US = 40_000, 320_000  # between two queries to the voters, doubled each time
TAKEOVER_US = (800_000, 2_400_000)  # random delay after a step, before another voter takes over
# A closing that lasts longer is reopened, so that work does not wait for a member that failed meanwhile. Each
# reopened closing is followed by one that may last twice as long, or a slow network would never finish one.
CLOSING_TIMEOUT_US, MAX_CLOSING_TIMEOUT_US = 400_000, 6_400_000
TOTALS_INTERVAL_US = 1_000_000  # between two requests for the totals of the members
MAX_TOTALS = 2000  # members with totals
# After so many queries without progress the document is read again, which repairs a vote that was lost.
QUERIES_PER_READ = 4
OutcomeCallback = Callable[[Outcome], None]


class PolicyChangeCoordinator:
    """Times are us of this member's elapsed clock. `outbox` gathers the messages to send."""

    commit = staticmethod(commit)

    def __init__(
        self, me: str, register: Register, rng: random.Random, other_members: Callable[[], list[str]]
    ) -> None:
        """other_members: whom to notify of a step at once; who misses it learns it from later datagrams."""
        self.me, self.register, self.rng, self.other_members = me, register, rng, other_members
        self.epoch, self.epoch_began_at, self.leads_at, self.next_query_at, self.query_count = -1, 0, 0, 0, 0
        self.replies: dict[str, DrainReply] = {}
        self.is_proposing = False
        self.totals: dict[str, TotalsReply] = {}  # of a canary stage, by member
        self.led_epoch = -1  # the epoch that the newest step taken here made
        self.outbox: list[Send] = []

    @property
    def policy(self) -> Policy:
        """The newest policy that is known to be chosen."""
        return self.register.document.policy

    def propose(self, change: PolicyChange, base: int, now: int, callback: OutcomeCallback) -> str:
        """Propose a change of the policy that was made from version `base`. Return the proposal id."""

        def ended(outcome: Outcome) -> None:
            self.announce_if_done(outcome)
            callback(outcome)

        return self.register.propose(prepare(change, base, self.policy.epoch), now, ended)

    def waiting_for(self) -> dict[str, str]:
        """Return the members that the change waits for, with reasons, by all voters that have answered."""
        return {name: why for reply in self.replies.values() for name, why in reply.pending}

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        policy, document = self.policy, self.register.document
        if policy.epoch != self.epoch:
            self._on_new_epoch(policy, now)
        if not (policy.change or policy.stage):
            return now + 1_000_000
        if now < self.leads_at:
            return max(now + 1000, self.leads_at)
        if policy.change is None:
            return self._watch_canary(policy, now)
        if self.is_proposing:
            return now + QUERY_US
        if step := self._step(policy, document, now):
            self._propose_step(step, now)
            return now + QUERY_US
        if now >= self.next_query_at:
            self.next_query_at = now + min(MAX_QUERY_US, QUERY_US << min(self.query_count, 8))
            self.query_count += 1
            self.outbox += [Send(voter, DrainQuery(policy.epoch)) for voter in sorted(document.all_voters)]
            if self.query_count % QUERIES_PER_READ == 0 and not self.register.proposer.pending:
                self.register.propose(lambda proposal_id, document: None, now)
        return min(
            self.next_query_at,
            self.epoch_began_at + self._closing_timeout_us(policy.change)
            if policy.change.closing
            else self.next_query_at,
        )

    @staticmethod
    def _closing_timeout_us(change: PolicyChange) -> int:
        return min(MAX_CLOSING_TIMEOUT_US, CLOSING_TIMEOUT_US << min(change.reopen_count, 8))

    def _on_new_epoch(self, policy: Policy, now: int) -> None:
        under_way = policy.change or policy.stage
        leads = under_way is not None and (under_way.by == self.me or policy.epoch == self.led_epoch)
        voter = self.me in self.register.document.voters
        later = now + self.rng.randrange(*TAKEOVER_US) if voter else 1 << 62
        self.epoch, self.epoch_began_at, self.next_query_at, self.query_count = policy.epoch, now, now, 0
        self.leads_at = now if leads else later
        self.replies = {}
        if policy.stage is None or policy.change:
            self.totals = {}

    # Canary stage

    def _watch_canary(self, policy: Policy, now: int) -> int:
        """Watch the canary group, then extend the version to the rest or roll it back."""
        stage = policy.stage
        assert stage is not None
        if self.is_proposing:
            return now + QUERY_US
        looks = max(1, stage.canary.watch_ms * 1000 // TOTALS_INTERVAL_US)
        canary = [(c.before, c.after) for name, c in self.totals.items() if stage.canary.includes(name)]
        rest = [(c.before, c.after) for name, c in self.totals.items() if not stage.canary.includes(name)]
        if why := regression(canary, rest, looks):
            self._propose_step(roll_back(policy.epoch, why), now)
        elif now - self.epoch_began_at >= stage.canary.watch_ms * 1000:
            self._propose_step(extend_to_rest(policy.epoch), now)
        elif now >= self.next_query_at:
            self.next_query_at = now + TOTALS_INTERVAL_US
            body = TotalsRequest(stage.id, stage.canary.watch_ms)
            self.outbox += [Send(name, body) for name in (self.me, *self.other_members())]
        return min(self.next_query_at, self.epoch_began_at + stage.canary.watch_ms * 1000)

    def on_totals(self, sender: str, body: TotalsReply) -> None:
        """Note a member's totals of the stage."""
        stage = self.policy.stage
        if (
            stage
            and body.stage_id == stage.id
            and body.version == self.policy.version_for(sender)
            and (sender in self.totals or len(self.totals) < MAX_TOTALS)
        ):
            self.totals[sender] = body

    def _step(
        self, policy: Policy, document: RegisterDocument, now: int
    ) -> Callable[[str, RegisterDocument], RegisterDocument | None] | None:
        """Return the step that can be taken now, None if none can."""
        assert policy.change is not None
        refused = next((a.refused for a in self.replies.values() if a.refused), "")
        if refused and policy.change.scope != BACK:
            return end_change(policy.epoch, refused)
        if self.all_leases_ended(document):
            return self.commit(policy.epoch) if policy.change.closing else close(policy.epoch)
        if policy.change.closing and now - self.epoch_began_at >= self._closing_timeout_us(policy.change):
            return reopen(policy.epoch)
        return None

    def all_leases_ended(self, document: RegisterDocument) -> bool:
        """Return whether a majority of the voters reports that nobody is pending."""
        return document.has_majority(
            {
                v
                for v, a in self.replies.items()
                if a.is_drained and a.voter_set_version == document.voter_set_version
            }
        )

    def _propose_step(
        self, step: Callable[[str, RegisterDocument], RegisterDocument | None], now: int
    ) -> None:
        self.is_proposing = True

        def ended(outcome: Outcome) -> None:
            self.is_proposing = False
            if outcome.state == "done" and outcome.document is not None:
                self.led_epoch = outcome.document.policy.epoch
                self.announce(outcome.document)
            else:
                self.replies = {}

        self.register.propose(step, now, ended, urgent=True)

    def announce_if_done(self, outcome: Outcome) -> None:
        """Announce the document of a change that was made."""
        if outcome.state == "done" and outcome.document is not None:
            self.announce(outcome.document)

    def announce(self, document: RegisterDocument) -> None:
        """Send the document to all members at once: a step that is known late makes a longer pause."""
        data = doc.encode(document)
        self.outbox += [Send(name, ChosenDocument(data)) for name in self.other_members()]

    def on_drain_reply(self, sender: str, reply: DrainReply, now: int) -> bool:
        """Note a voter's reply. Return whether a step can be taken."""
        policy, document = self.policy, self.register.document
        if reply.epoch != policy.epoch or sender not in document.all_voters:
            return False
        self.replies[sender] = reply
        return (
            policy.change is not None
            and not self.is_proposing
            and self._step(policy, document, now) is not None
        )
