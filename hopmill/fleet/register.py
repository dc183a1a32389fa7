"""The register at one member: its voter, its proposer, the leases that it holds, and the newest document."""

from __future__ import annotations

import random
from collections.abc import Callable

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Action, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.lease_holder import LeaseHolder
from hopmill.fleet.proposer import DocumentUpdate, Outcome, Proposer
from hopmill.fleet.voter import Memory, Voter
from hopmill.fleet.wire import (
    Accept,
    Accepted,
    BallotRejected,
    Body,
    ChosenDocument,
    DocumentRequest,
    Prepare,
    Promise,
    RecoveryReply,
    RecoveryRequest,
)

VOTER_CHANGE_TAKEOVER_US = (500_000, 2_000_000)  # random delay, from the first step of replacing a voter
CLOSING_DELAY_US = 50_000  # of a lease renewal, repeated while a policy change is closing
DOCUMENT_REQUEST_US = 100_000  # between two requests for a newer document
PROPOSAL_TIMEOUT_US = 10_000_000


class Register:
    """Times are us of this member's elapsed clock. After each call, `take` returns the actions to do."""

    voter_type, proposer_type, lease_holder_type = Voter, Proposer, LeaseHolder

    def __init__(
        self,
        me: str,
        generation: int,
        initial: RegisterDocument,
        memory: Memory,
        same_folder: bool,
        rng: random.Random,
    ) -> None:
        """Start from what the folder of the voter holds.

        generation: of this member, never used before. memory, same_folder: what its voter finds on disk.
        """
        self.me, self.name = me, f"{me}#{generation}"
        self.voter = self.voter_type(me, initial, memory, same_folder, rng)
        self.proposer = self.proposer_type(self.name, initial, rng)
        self.lease_holders: dict[str, LeaseHolder] = {}
        self.newer_versions: dict[str, int] = {}  # by member: the version it knows, while newer than here
        self.requested_at = -DOCUMENT_REQUEST_US
        self.callbacks: dict[str, Callable[[Outcome], None]] = {}
        self.proposal_count = self.finish_voters_at = 0
        # Whether this member lacks a text that the document names: it does not vote for the document yet.
        self.lacks_texts: Callable[[RegisterDocument, str], bool] = lambda document, sender: False
        self.deferred_accept: tuple[str, Accept] | None = None

    @property
    def document(self) -> RegisterDocument:
        """The newest document that is known to be chosen."""
        return self.proposer.known_document

    def hold_lease(self, name: str, length_us: int, drift: float) -> LeaseHolder:
        """Try to hold a lease from now on."""
        return self.lease_holders.setdefault(name, self.lease_holder_type(name, self.name, length_us, drift))

    def propose(
        self,
        change: Callable[[str, RegisterDocument], RegisterDocument | None],
        now: int,
        callback: Callable[[Outcome], None] = lambda outcome: None,
        within: int = PROPOSAL_TIMEOUT_US,
        urgent: bool = False,
    ) -> str:
        """Propose a change of the document.

        change: takes its proposal id and the document, and returns the next document or None. callback: gets
        the outcome. within: us. Return the proposal id.
        """
        self.proposal_count += 1
        proposal_id = doc.proposal_id_of(f"{self.name}/{self.proposal_count}")
        self.callbacks[proposal_id] = callback
        self._propose(proposal_id, lambda document: change(proposal_id, document), now, within, urgent)
        return proposal_id

    def _propose(
        self, proposal_id: str, change: DocumentUpdate, now: int, within: int, urgent: bool = False
    ) -> None:
        self.proposer.propose(proposal_id, change, now, now + within, urgent)

    def receive(self, sender: str, body: Body, now: int) -> None:
        """Handle a message of the register's protocol.

        Raises msgspec.DecodeError if the document in it can't be decoded; nothing of the message is kept
        then.
        """
        document = None
        if isinstance(body, (Accept, Promise, RecoveryReply, ChosenDocument)) and body.document:
            document = doc.decode(body.document)
        voter, proposer = self.voter, self.proposer
        if isinstance(body, Prepare):
            voter.on_prepare(sender, body)
        elif isinstance(body, Accept):
            if document is None or not self.lacks_texts(document, sender):
                voter.on_accept(sender, body)
            else:
                self.deferred_accept = sender, body  # handled once the text is stored
        elif isinstance(body, Promise):
            proposer.on_promise(sender, body, now)
        elif isinstance(body, Accepted):
            proposer.on_accepted(sender, body, now)
        elif isinstance(body, BallotRejected):
            proposer.on_rejected(body, now)
        elif isinstance(body, RecoveryRequest):
            voter.on_recovery_request(sender, body)
        elif isinstance(body, RecoveryReply):
            voter.on_recovery_reply(sender, body)
        elif isinstance(body, DocumentRequest) and self.document.version > body.version:
            voter.outbox.append(Send(sender, ChosenDocument(doc.encode(self.document))))
        elif isinstance(body, ChosenDocument):
            proposer.learn(doc.decode(body.document))

    def on_texts_stored(self, now: int) -> None:
        """Handle the accept that was deferred for a missing text."""
        if self.deferred_accept:
            (sender, body), self.deferred_accept = self.deferred_accept, None
            self.receive(sender, body, now)

    def note_version(self, sender: str, version: int) -> bool:
        """Note the version that another member knows. Return whether it is newer than the one known here."""
        if version <= self.document.version:
            return False
        self.newer_versions[sender] = version
        return True

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        due = now + 1_000_000
        if (at := self.proposer.tick(now)) is not None:
            due = min(due, at)
        change = self.document.policy.change
        for holder in self.lease_holders.values():
            if change and change.closing and holder.can_wait(now):
                # Work waits for the end of the closing: a renewal must not compete with it.
                due = min(due, now + CLOSING_DELAY_US)
                continue
            if proposal := holder.tick(now, self.document):
                self._propose(*proposal, now, holder.usable_us())
            due = min(due, holder.next_wake_at(now))
        due = min(due, self.voter.tick(now, self.document), self._finish_voter_change(now))
        self.newer_versions = {s: v for s, v in self.newer_versions.items() if v > self.document.version}
        if self.newer_versions:
            if now - self.requested_at >= DOCUMENT_REQUEST_US:
                self.requested_at = now
                best = max(self.newer_versions, key=lambda s: (self.newer_versions[s], s))
                self.voter.outbox.append(Send(best, DocumentRequest(self.document.version)))
                del self.newer_versions[best]
            due = min(due, self.requested_at + DOCUMENT_REQUEST_US)
        return due

    def _finish_voter_change(self, now: int) -> int:
        """Take the second step of replacing a voter, if its proposer does not.

        The proposer may have stopped, so any voter takes the step. Random delays let one of them be first
        most of the time.
        """
        if not self.document.previous_voters or not self.voter.is_voting:
            self.finish_voters_at = 0
        elif not self.finish_voters_at:
            self.finish_voters_at = now + self.proposer.rng.randrange(*VOTER_CHANGE_TAKEOVER_US)
        elif now >= self.finish_voters_at:
            self.finish_voters_at = 0
            self.propose(finish_voter_change, now)
        return self.finish_voters_at or now + VOTER_CHANGE_TAKEOVER_US[1]

    def take(self, now: int) -> list[Action]:
        """Return the actions to carry out, in order, and report outcomes to their callbacks."""
        while self.proposer.outcomes:
            ended, self.proposer.outcomes = self.proposer.outcomes, []
            for outcome in ended:
                if callback := self.callbacks.pop(outcome.proposal_id, None):
                    callback(outcome)
                for holder in self.lease_holders.values():
                    if holder.on_outcome(outcome, now):
                        break
        out = [*self.voter.outbox, *self.proposer.outbox]
        self.voter.outbox, self.proposer.outbox = [], []
        return out


# Changes of the document


def set_entry(
    name: str, text: str, if_version: int | None = None
) -> Callable[[str, RegisterDocument], RegisterDocument | None]:
    """Set an entry that operators store in the document; an empty text removes it.

    if_version: leave the document as it is if its version differs.
    """

    def change(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        if if_version is not None and document.version != if_version:
            return None
        entries = {k: v for k, v in document.entries.items() if k != name} | ({name: text} if text else {})
        return document.next(proposal_id, entries=entries)

    return change


def replace_voter(old: str, new: str) -> Callable[[str, RegisterDocument], RegisterDocument | None]:
    """First step of replacing a voter: from here on a majority of both sets has to agree. One at a time."""

    def change(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        if document.previous_voters or old not in document.voters or new in document.voters:
            return None
        voters = tuple(new if v == old else v for v in document.voters)
        return document.next(proposal_id, voters=voters, previous_voters=document.voters)

    return change


def finish_voter_change(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
    """Second step: the previous set of voters no longer counts."""
    return document.next(proposal_id, previous_voters=()) if document.previous_voters else None
