"""One member's part in the fleet's policy: its lease, the leases it grants as a voter, texts, and changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from hopmill.fleet.actions import Send
from hopmill.fleet.change_coordinator import OutcomeCallback, PolicyChangeCoordinator
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.lease_grantor import LeaseGrantor
from hopmill.fleet.policy import STAGE, CanaryGroup, PolicyChange, cancel_member, end_change, roll_back
from hopmill.fleet.register import Register
from hopmill.fleet.policy_lease import PolicyLease
from hopmill.fleet.texts import TextStore
from hopmill.fleet.canary_watch import CanaryWatch
from hopmill.fleet.wire import (
    Body,
    DrainQuery,
    DrainReply,
    LeaseDenial,
    LeaseGrant,
    LeaseRequest,
    TextPiece,
    TextRequest,
    TotalsReply,
    TotalsRequest,
    WorkStopped,
)

MAX_MISSING_TEXTS = 4  # remembered
SALT_CANDIDATES = 256  # salts tried, so that the share is met in a small fleet
POLICY_BODIES = (
    LeaseRequest,
    LeaseGrant,
    LeaseDenial,
    WorkStopped,
    DrainQuery,
    DrainReply,
    TotalsRequest,
    TotalsReply,
    TextRequest,
    TextPiece,
)


class PolicyMember:
    """Times are us of this member's elapsed clock. After each call, `take` returns the messages to send."""

    lease_type, grantor_type, coordinator_type = PolicyLease, LeaseGrantor, PolicyChangeCoordinator

    def __init__(
        self,
        me: str,
        generation: int,
        register: Register,
        rng: random.Random,
        length_us: int,
        drift: float,
        continues_alone: bool,
        names: Iterable[str],
        others: Callable[[], list[str]],
        on_disk: dict[bytes, bytes],
    ) -> None:
        """Start a member's part.

        generation: of this process, never used before. names: all configured members. others: returns the
        other members that are alive. on_disk: texts by digest.
        """
        self.me, self.register = me, register
        self.texts = TextStore(on_disk)
        self.lease = self.lease_type(me, generation, register, length_us, drift, continues_alone)
        self.grantor = self.grantor_type(me, register, length_us, drift, continues_alone, names)
        self.coordinator = self.coordinator_type(me, register, rng, others)
        self.watch = CanaryWatch()
        self.proposed_texts: set[bytes] = set()  # of own proposals that have not ended
        # Texts of documents that it was asked to vote for, the newest last.
        self.missing_texts: dict[bytes, None] = {}
        self.kept_texts: set[bytes] = set()
        self.deletable_texts: set[bytes] = set()  # may be deleted from the disk
        register.lacks_texts = self._lacks_texts

    # Texts

    def _lacks_texts(self, document: RegisterDocument, sender: str) -> bool:
        """Return whether a text of the document is not on disk; fetch it then, from the sender first."""
        missing = document.policy.texts - self.texts.on_disk
        for digest in missing:
            self.missing_texts.pop(digest, None)
            self.missing_texts[digest] = None
            while len(self.missing_texts) > MAX_MISSING_TEXTS:
                del self.missing_texts[next(iter(self.missing_texts))]
            self.texts.fetch(digest, self._text_sources(sender))
            self.texts.store(digest)
        return bool(missing)

    def _text_sources(self, first: str) -> list[str]:
        return [name for name in (first, *sorted(self.register.document.all_voters)) if name != self.me]

    def _update_texts(self) -> None:
        """Fetch the texts that are or may come into force; a voter has them on disk. Drop the others."""
        policy, document = self.register.document.policy, self.register.document
        voted = self.grantor.accepted_document().policy.texts
        for digest in policy.texts | voted:
            self.texts.fetch(digest, self._text_sources(policy.change.by if policy.change else self.me))
            if self.me in document.all_voters:
                self.texts.store(digest)
        kept = policy.texts | voted | self.proposed_texts | set(self.missing_texts)
        if kept != self.kept_texts:
            self.kept_texts = kept
            self.deletable_texts |= self.texts.retain(kept)

    # Messages

    def receive(self, sender: str, body: Body, now: int) -> bool:
        """Handle a message of the policy's protocol. Return whether `tick` has something to do at once."""
        if isinstance(body, LeaseRequest):
            self.grantor.on_lease_request(sender, body, now)
            return False
        if isinstance(body, LeaseGrant):
            before = self.lease.valid_version(now)
            self.lease.on_grant(sender, body, now)
            return self.lease.valid_version(now) != before
        if isinstance(body, LeaseDenial):
            self.lease.on_denial(sender, body)
        elif isinstance(body, WorkStopped):
            self.grantor.on_stopped(sender, body, now)
        elif isinstance(body, DrainQuery):
            self.grantor.on_drain_query(sender, body, now)
        elif isinstance(body, DrainReply):
            return self.coordinator.on_drain_reply(sender, body, now)
        elif isinstance(body, TotalsRequest):
            if self.watch.stage_id == body.stage_id:
                before, after = self.watch.totals_around(now, body.watch_ms * 1000)
                version = self.lease.applied_version
                self.texts.outbox.append(Send(sender, TotalsReply(body.stage_id, version, before, after)))
        elif isinstance(body, TotalsReply):
            self.coordinator.on_totals(sender, body)
        elif isinstance(body, TextRequest):
            self.texts.on_text_request(sender, body)
        elif isinstance(body, TextPiece):
            self.texts.on_piece(sender, body, now)
            if body.digest in self.texts.by_digest and body.digest in self.missing_texts:
                self.texts.store(body.digest)
            return body.digest in self.texts.by_digest
        return False

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        self._update_texts()
        self.watch.tick(now)
        if (stage := self.register.document.policy.stage) and self.lease.valid_version(now) >= 0:
            self.watch.on_stage(stage.id, now)
        due = min(self.lease.tick(now), self.texts.tick(now), self.coordinator.tick(now))
        return min(due, self.grantor.tick(now) if self.register.voter.is_voting else due)

    def take(self) -> list[Send]:
        """Return the messages to send."""
        parts = (self.lease, self.grantor, self.texts, self.coordinator)
        out = [send for part in parts for send in part.outbox]
        for part in parts:
            part.outbox = []
        return out

    # Commands of the operators

    def propose(
        self,
        change_id: str,
        text: bytes,
        base: int,
        now: int,
        callback: OutcomeCallback,
        share: float = 1.0,
        watch_ms: int = 0,
    ) -> str:
        """Propose a change of the policy. Return the proposal id.

        change_id: of this proposal and no other, however often it is sent. share: if under 1, this share of
        the members is a canary group and is watched. Raises ValueError if the text is too long.
        """
        digest = self.texts.add(text)
        self.proposed_texts.add(digest)

        def ended(outcome: object) -> None:
            self.proposed_texts.discard(digest)
            callback(outcome)  # type: ignore[arg-type]

        change = PolicyChange(change_id, digest, self.me)
        if share < 1:
            change = PolicyChange(
                change_id, digest, self.me, False, STAGE, self._canary_group(share, watch_ms)
            )
        return self.coordinator.propose(change, base, now, ended)

    def _canary_group(self, share: float, watch_ms: int) -> CanaryGroup:
        """Return the group nearest in size to the share of the live members: at least one, and not all."""
        names = [self.me, *self.coordinator.other_members()]
        wanted = min(max(1, round(share * len(names))), max(1, len(names) - 1))
        return min(
            (CanaryGroup(share, salt, watch_ms) for salt in range(SALT_CANDIDATES)),
            key=lambda canary: abs(sum(map(canary.includes, names)) - wanted),
        )

    def withdraw(self, change_id: str, now: int) -> str:
        """End the change in progress, if it is this one."""

        def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
            policy = document.policy
            if policy.stage and policy.stage.id == change_id:
                return roll_back(policy.epoch, "withdrawn by staff")(proposal_id, document)
            return (
                end_change(policy.epoch, "withdrawn by staff")(proposal_id, document)
                if (policy.change and policy.change.id == change_id)
                else None
            )

        return self.register.propose(step, now, lambda outcome: self.coordinator.announce_if_done(outcome))

    def cancel_member(self, member: str, is_cancelled: bool, now: int, callback: OutcomeCallback) -> str:
        """Cancel a member by name, or readmit it. A cancelled one gets no lease; no change waits for it."""
        return self.register.propose(cancel_member(member, is_cancelled), now, callback)
