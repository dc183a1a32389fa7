"""The register at one member: its voter, its proposer, the leases that it keeps, and the newest document."""

from __future__ import annotations

import random
from collections.abc import Callable

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Action, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.lease import LeaseHolder
from hopmill.fleet.proposer import Change, Outcome, Proposer
from hopmill.fleet.voter import Memory, Voter
from hopmill.fleet.wire import Accept, Accepted, Ask, Body, Chosen, Fetch, Known, Prepare, Promise, Refused

SETTLE_US = (500_000, 2_000_000)  # after the first step of replacing a voter
CLOSING_US = 50_000  # that a lease's renewal waits at a time while a change of policy is closing
FETCH_US = 100_000  # between two askings for a newer document
DONE_WITHIN_US = 10_000_000


class Register:
    """Times are us of this member's elapsed clock. After each call, `take` gives what is to be done."""

    voter_type, proposer_type, lease_holder_type = Voter, Proposer, LeaseHolder

    def __init__(
        self,
        me: str,
        life: int,
        initial: RegisterDocument,
        memory: Memory,
        same_folder: bool,
        chance: random.Random,
    ) -> None:
        """life: of this member, never used before. memory, same_folder: what its voter finds on disk."""
        self.me, self.name = me, f"{me}#{life}"
        self.voter = self.voter_type(me, initial, memory, same_folder, chance)
        self.proposer = self.proposer_type(self.name, initial, chance)
        self.lease_holders: dict[str, LeaseHolder] = {}
        self.heard: dict[str, int] = {}  # versions that others know, while they are newer
        self.fetched_at = -FETCH_US
        self.tickets: dict[str, Callable[[Outcome], None]] = {}
        self.counted = self.settle_at = 0
        # Whether this member lacks a text that the document names: then it does not vote for it yet.
        self.lacks: Callable[[RegisterDocument, str], bool] = lambda document, sender: False
        self.late: tuple[str, Accept] | None = None

    @property
    def document(self) -> RegisterDocument:
        """The newest that is known to be chosen."""
        return self.proposer.known

    def keep(self, name: str, length_us: int, drift: float) -> LeaseHolder:
        """Try to hold a lease from now on."""
        return self.lease_holders.setdefault(name, self.lease_holder_type(name, self.name, length_us, drift))

    def propose(
        self,
        change: Callable[[str, RegisterDocument], RegisterDocument | None],
        now: int,
        then: Callable[[Outcome], None] = lambda outcome: None,
        within: int = DONE_WITHIN_US,
        urgent: bool = False,
    ) -> str:
        """change: given its ticket and the document, the next one or None. Returns the ticket."""
        self.counted += 1
        ticket = doc.ticket_of(f"{self.name}/{self.counted}")
        self.tickets[ticket] = then
        self._propose(ticket, lambda document: change(ticket, document), now, within, urgent)
        return ticket

    def _propose(self, ticket: str, change: Change, now: int, within: int, urgent: bool = False) -> None:
        self.proposer.propose(ticket, change, now, now + within, urgent)

    def receive(self, sender: str, body: Body, now: int) -> None:
        """msgspec.DecodeError: the document in it is none; nothing of it is kept."""
        document = None
        if isinstance(body, (Accept, Promise, Known, Chosen)) and body.document:
            document = doc.decode(body.document)
        voter, proposer = self.voter, self.proposer
        if isinstance(body, Prepare):
            voter.prepare(sender, body)
        elif isinstance(body, Accept):
            if document is None or not self.lacks(document, sender):
                voter.accept(sender, body)
            else:
                self.late = sender, body  # voted for once the text is there, as if it came late
        elif isinstance(body, Promise):
            proposer.promise(sender, body, now)
        elif isinstance(body, Accepted):
            proposer.accepted(sender, body, now)
        elif isinstance(body, Refused):
            proposer.refused(body, now)
        elif isinstance(body, Ask):
            voter.ask(sender, body)
        elif isinstance(body, Known):
            voter.known(sender, body)
        elif isinstance(body, Fetch) and self.document.version > body.version:
            voter.out.append(Send(sender, Chosen(doc.encode(self.document))))
        elif isinstance(body, Chosen):
            proposer.learn(doc.decode(body.document))

    def texts_came(self, now: int) -> None:
        if self.late:
            (sender, body), self.late = self.late, None
            self.receive(sender, body, now)

    def newer(self, sender: str, version: int) -> bool:
        """Another member says that it knows this version. True if it is news."""
        if version <= self.document.version:
            return False
        self.heard[sender] = version
        return True

    def tick(self, now: int) -> int:
        """Everything that time brings. Returns when to be called again."""
        due = now + 1_000_000
        if (at := self.proposer.tick(now)) is not None:
            due = min(due, at)
        change = self.document.policy.change
        for keeper in self.lease_holders.values():
            if change and change.closing and keeper.can_wait(now):
                due = min(due, now + CLOSING_US)  # work waits for the closing's end: nobody is in its way
                continue
            if asked := keeper.tick(now, self.document):
                self._propose(*asked, now, keeper.kept_us())
            due = min(due, keeper.next_us(now))
        due = min(due, self.voter.tick(now, self.document), self._settle(now))
        self.heard = {s: v for s, v in self.heard.items() if v > self.document.version}
        if self.heard:
            if now - self.fetched_at >= FETCH_US:
                self.fetched_at = now
                best = max(self.heard, key=lambda s: (self.heard[s], s))
                self.voter.out.append(Send(best, Fetch(self.document.version)))
                del self.heard[best]
            due = min(due, self.fetched_at + FETCH_US)
        return due

    def _settle(self, now: int) -> int:
        """Whoever began to replace a voter may be gone: any voter ends it, one of them most often first."""
        if not self.document.former or not self.voter.voting:
            self.settle_at = 0
        elif not self.settle_at:
            self.settle_at = now + self.proposer.chance.randrange(*SETTLE_US)
        elif now >= self.settle_at:
            self.settle_at = 0
            self.propose(settle_voters, now)
        return self.settle_at or now + SETTLE_US[1]

    def take(self, now: int) -> list[Action]:
        """What is to be done, in order; outcomes are told to those who asked."""
        while self.proposer.ended:
            ended, self.proposer.ended = self.proposer.ended, []
            for outcome in ended:
                if then := self.tickets.pop(outcome.ticket, None):
                    then(outcome)
                for keeper in self.lease_holders.values():
                    if keeper.ended(outcome, now):
                        break
        out = [*self.voter.out, *self.proposer.out]
        self.voter.out, self.proposer.out = [], []
        return out


# Changes of the document


def say(
    name: str, text: str, if_version: int | None = None
) -> Callable[[str, RegisterDocument], RegisterDocument | None]:
    """A word of the staff; an empty text takes it away. Left as it is where the version is another."""

    def change(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        if if_version is not None and document.version != if_version:
            return None
        entries = {k: v for k, v in document.entries.items() if k != name} | ({name: text} if text else {})
        return document.next(ticket, entries=entries)

    return change


def replace_voter(old: str, new: str) -> Callable[[str, RegisterDocument], RegisterDocument | None]:
    """First step: from here on a majority of both sets has to agree. One at a time."""

    def change(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
        if document.former or old not in document.voters or new in document.voters:
            return None
        voters = tuple(new if v == old else v for v in document.voters)
        return document.next(ticket, voters=voters, former=document.voters)

    return change


def settle_voters(ticket: str, document: RegisterDocument) -> RegisterDocument | None:
    """Second step: the set before has no say any more."""
    return document.next(ticket, former=()) if document.former else None
