"""Changes of the register: a proposer of CASPaxos (Rystsov 2018), at any member.

A change is a function of the document that returns the next one, or None to leave it as it is. One change is
under way at a time; the others wait in order. Two proposers in each other's way step back for a random time
that doubles. A change that may have been accepted is told by its ticket, so that it is never done twice.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.wire import Accept, Accepted, Ballot, Prepare, Promise, Refused

# Without a majority's answers the same is asked once more, after some times as long as ballots took lately.
AGAIN_US, MOST_AGAIN_US, AGAIN_TIMES = 100_000, 1_000_000, 3
# Two in each other's way step back for a random time, at most so long, or so many times what ballots take.
BACKOFF_US, MOST_BACKOFF_US, MOST_BACKOFF_TIMES = 20_000, 1_000_000, 8
WEIGHT = 0.2  # of the newest ballot's time in their mean
ROUNDS = 4  # times that one ballot is sent before another is tried
MOST_WAITING = 64
Change = Callable[[RegisterDocument], RegisterDocument | None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a change ended. state: 'done', 'left' (as it was), 'refused' with `why`, or 'unknown'."""

    ticket: str
    state: str
    document: RegisterDocument | None = None
    why: str = ""

    @property
    def made_version(self) -> int:
        """The version that the change made, 0 if none: the document may have changed since."""
        if self.state != "done" or self.document is None or self.ticket not in self.document.recent:
            return 0
        after = len(self.document.recent) - 1 - self.document.recent.index(self.ticket)
        return self.document.version - after


@dataclass
class Job:
    ticket: str
    change: Change
    until: int
    maybe: bool = False  # an Accept went out: it may have happened
    version: int = 0  # that it was to become then, the first time
    tries: int = 0
    urgent: bool = False  # work waits for it: it steps back for a quarter of the time


@dataclass
class Try:
    """One ballot."""

    ballot: Ballot
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    base: RegisterDocument | None = None  # what the promises hold
    next: RegisterDocument | None = None  # what is to be accepted
    payload: bytes = b""
    changed: bool = False
    refusal: str = ""  # why the change can't be made
    rounds: int = 0
    began: int = 0
    to_come: set[str] = field(default_factory=set)  # that the next document makes voters
    lives: dict[str, int] = field(default_factory=dict)


class Proposer:
    def __init__(self, name: str, initial: RegisterDocument, chance: random.Random) -> None:
        """name: of this life of this member and no other, so that no ballot is used twice."""
        self.name, self.initial, self.chance, self.round = name, initial, chance, 0
        self.known = initial  # the newest document that is known to be chosen
        self.jobs: deque[Job] = deque()
        self.now_at: Try | None = None
        self.wake_at = 0
        self.takes_us = 0.0  # from a ballot's begin to its end, the mean of late
        self.out: list[Send] = []
        self.ended: list[Outcome] = []

    def propose(self, ticket: str, change: Change, now: int, until: int, urgent: bool = False) -> None:
        """ticket: of this change and no other. It ends by `until` at the latest, then perhaps as unknown."""
        if len(self.jobs) >= MOST_WAITING:
            self.ended.append(Outcome(ticket, "refused", why="too many changes wait"))
            return
        self.jobs.append(Job(ticket, change, until, urgent=urgent))
        if len(self.jobs) == 1:
            self._begin(now)

    def tick(self, now: int) -> int | None:
        """Returns when to be called again."""
        while self.jobs and now >= self.jobs[0].until:
            late = self.now_at.to_come.difference(self.now_at.promises) if self.now_at else ()
            why = f"no vote from {', '.join(sorted(late))}" if late else "no majority answers"
            self._end("unknown" if self.jobs[0].maybe else "refused", now, why=why)
        if self.jobs and now >= self.wake_at:
            self._again(now) if self.now_at and self.now_at.rounds < ROUNDS else self._begin(now)
        return min(self.wake_at, self.jobs[0].until) if self.jobs else None

    # A ballot

    def _again_us(self) -> int:
        return int(min(MOST_AGAIN_US, max(AGAIN_US, AGAIN_TIMES * self.takes_us)))

    def _begin(self, now: int) -> None:
        self.round += 1
        self.jobs[0].tries += 1
        self.now_at = Try((self.round, self.name), began=now)
        self._again(now)

    def _again(self, now: int) -> None:
        at = self.now_at
        assert at is not None
        at.rounds += 1
        self.wake_at = now + self._again_us()
        if at.next is not None:
            self._send_accepts(at)
            return
        for voter in sorted(self.believed(at)):
            if voter not in at.promises:
                self.out.append(Send(voter, Prepare(at.ballot)))

    def believed(self, at: Try) -> set[str]:
        """Whom it has to ask: the voters known, those that answers have named, and those to come."""
        return self.known.all_voters.union(
            at.to_come, *(self._read(p).all_voters for p in at.promises.values())
        )

    def _read(self, promise: Promise) -> RegisterDocument:
        return doc.decode(promise.document) if promise.document else self.initial

    def promise(self, sender: str, promise: Promise, now: int) -> None:
        at = self.now_at
        if at is None or promise.ballot != at.ballot or at.next is not None:
            return
        asked = self.believed(at)
        at.promises[sender] = promise
        newest = max(at.promises.values(), key=lambda p: p.accepted)
        at.base = self.newest(at)
        if at.base.agrees(at.promises) and self.known.agrees(at.promises):
            self._choose(at, newest.accepted, now)
        if at is self.now_at and at.next is None:
            self.out += [Send(v, Prepare(at.ballot)) for v in sorted(self.believed(at) - asked)]

    def newest(self, at: Try) -> RegisterDocument:
        return self._read(max(at.promises.values(), key=lambda p: p.accepted))

    def _choose(self, at: Try, accepted: Ballot, now: int) -> None:
        job, base = self.jobs[0], at.base
        assert base is not None
        if self.own(job.ticket, base):
            at.next = base  # from a try whose answers were lost: make sure that it stays
            at.changed = True
        else:
            if job.maybe and base.version - job.version >= doc.RECENT:
                self._end("unknown", now, why="too much has changed since it was tried")
                return
            after = None
            try:
                after = job.change(base)
                at.payload = doc.encode(after or base)
            except ValueError as error:
                at.refusal, after = str(error), None
            if at.refusal and not job.maybe:
                self._end("refused", now, why=at.refusal)
                return
            if after is not None and not self.can_vote(after, at):
                at.to_come = after.all_voters
                return
            at.next, at.changed = after or base, after is not None
            # Where an earlier try may still be taken up by another, the same document is accepted once more
            # under this ballot: from then on that try is no majority's any more.
            if after is None and not job.maybe and all(p.accepted == accepted for p in at.promises.values()):
                self._done(now)  # a majority holds it: it is chosen already
                return
        at.payload = doc.encode(at.next)
        at.lives = {v: p.life for v, p in at.promises.items()}
        at.rounds = 1
        self.wake_at = now + self._again_us()
        self._send_accepts(at)

    def can_vote(self, after: RegisterDocument, at: Try) -> bool:
        """Whether all that it makes voters vote already, and a majority with them. Accepted anywhere before
        that, it names voters without whom neither they nor one that lost its folder could be let in."""
        assert at.base is not None
        return after.all_voters - at.base.all_voters <= set(at.promises) and after.agrees(at.promises)

    def own(self, ticket: str, base: RegisterDocument) -> bool:
        """Whether the change was done already."""
        return ticket in base.recent

    def _send_accepts(self, at: Try) -> None:
        assert at.next is not None and at.base is not None
        job = self.jobs[0]
        if at.changed and not job.maybe:
            job.maybe, job.version = True, at.next.version
        body = Accept(at.ballot, at.payload, tuple(sorted(at.lives.items())))
        voters = at.next.all_voters | at.base.all_voters
        self.out += [Send(v, body) for v in sorted(voters - at.accepted)]

    def accepted(self, sender: str, accepted: Accepted, now: int) -> None:
        at = self.now_at
        if at is None or at.next is None or accepted.ballot != at.ballot:
            return
        at.accepted.add(sender)
        if self.enough(at):
            self._done(now)

    def enough(self, at: Try) -> bool:
        assert at.next is not None and at.base is not None
        return at.next.agrees(at.accepted) and at.base.agrees(at.accepted)

    def refused(self, refused: Refused, now: int) -> None:
        at = self.now_at
        self.round = max(self.round, refused.promised[0])
        if at is None or refused.ballot != at.ballot:
            return
        self.now_at = None  # the next tick tries another, after a random while
        least = max(BACKOFF_US, self.takes_us)
        longest = max(MOST_BACKOFF_US, int(MOST_BACKOFF_TIMES * self.takes_us))
        most = min(longest, int(least) << min(self.jobs[0].tries, 10))
        self.wake_at = now + self.step_back(most) // (4 if self.jobs[0].urgent else 1)

    def step_back(self, most: int) -> int:
        return self.chance.randrange(most // 4, most)

    # Ends

    def _done(self, now: int) -> None:
        at = self.now_at
        assert at is not None and at.next is not None
        self.learn(at.next)
        self.takes_us += WEIGHT * (now - at.began - self.takes_us)
        self._end("done" if at.changed else "refused" if at.refusal else "left", now, at.next, at.refusal)

    def _end(self, state: str, now: int, document: RegisterDocument | None = None, why: str = "") -> None:
        job = self.jobs.popleft()
        self.now_at = None
        self.ended.append(Outcome(job.ticket, state, document, why))
        if self.jobs:
            self._begin(now)

    def drop(self, ticket: str, now: int) -> None:
        """A reading that is not needed any more; where something of it is under way, that does no harm."""
        if self.jobs and self.jobs[0].ticket == ticket:
            self._end("refused", now, why="not needed")
        else:
            self.jobs = deque(job for job in self.jobs if job.ticket != ticket)

    def learn(self, document: RegisterDocument) -> bool:
        """It is chosen. True if it is news."""
        if document.version <= self.known.version:
            return False
        self.known = document
        return True
