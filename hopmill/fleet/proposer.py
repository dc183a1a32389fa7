"""Changes of the register: a proposer of CASPaxos (Rystsov 2018), at any member.

A change is a function of the document that returns the next one, or None to leave it as it is. One change is
in progress at a time; the others wait in order. Proposers that preempt each other back off for a random time
that doubles. A change that may have been accepted is recognised by its proposal id, so that it is never made
twice.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.wire import Accept, Accepted, Ballot, BallotRejected, Prepare, Promise

# Without answers of a majority the requests are sent again, after a multiple of the recent ballot time.
MIN_RETRY_US, MAX_RETRY_US, RETRY_FACTOR = 100_000, 1_000_000, 3
# Random back-off of proposers that preempt each other: at most the maximum or a multiple of a ballot time.
MIN_BACKOFF_US, MAX_BACKOFF_US, MAX_BACKOFF_FACTOR = 20_000, 1_000_000, 8
DURATION_WEIGHT = 0.2  # of the newest ballot in the mean ballot time
MAX_SENDS_PER_BALLOT = 4  # then another ballot is started
MAX_PENDING = 64  # changes in the queue
DocumentUpdate = Callable[[RegisterDocument], RegisterDocument | None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a change ended.

    state: 'done', 'left' (as it was: there was nothing to change), 'refused' with the reason in `why`, or
    'unknown'.
    """

    proposal_id: str
    state: str
    document: RegisterDocument | None = None
    why: str = ""

    @property
    def made_version(self) -> int:
        """Return the version that the change made, 0 if none: the document may have changed since."""
        if (
            self.state != "done"
            or self.document is None
            or self.proposal_id not in self.document.recent_proposals
        ):
            return 0
        later_count = (
            len(self.document.recent_proposals) - 1 - self.document.recent_proposals.index(self.proposal_id)
        )
        return self.document.version - later_count


@dataclass
class PendingChange:
    """A change in the queue."""

    proposal_id: str
    change: DocumentUpdate
    deadline: int  # us
    may_have_happened: bool = False  # an Accept was sent: the change may have been made
    first_version: int = 0  # the version that it was to make when it was first sent
    ballots: int = 0  # started for it
    is_urgent: bool = False  # calls may be paused until it ends: it backs off for a quarter of the time


@dataclass
class BallotAttempt:
    """One ballot and the answers to it."""

    ballot: Ballot
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    base: RegisterDocument | None = None  # the newest document among the promises
    next_document: RegisterDocument | None = None  # the document to be accepted
    payload: bytes = b""  # `next_document`, encoded
    has_change: bool = False  # `next_document` contains the pending change
    refusal: str = ""  # why the change can't be made
    send_count: int = 0  # times that its current requests were sent
    began_at: int = 0  # us
    next_voters: set[str] = field(default_factory=set)  # all of the next document, if some have not joined
    generations: dict[str, int] = field(default_factory=dict)  # of the voters that promised


class Proposer:
    """Makes changes to the register. Messages are gathered in `outbox`, results in `outcomes`."""

    def __init__(self, name: str, initial: RegisterDocument, rng: random.Random) -> None:
        """name: unique per member and generation, so that no ballot is used twice."""
        self.name, self.initial, self.rng, self.round = name, initial, rng, 0
        self.known_document = initial  # the newest that is known to be chosen
        self.pending: deque[PendingChange] = deque()  # the first one is in progress
        self.attempt: BallotAttempt | None = None  # the ballot for it; None while idle or backing off
        self.next_wake_at = 0
        self.mean_ballot_us = 0.0  # moving mean, from start to end of a ballot
        self.outbox: list[Send] = []
        self.outcomes: list[Outcome] = []

    def propose(
        self, proposal_id: str, change: DocumentUpdate, now: int, deadline: int, urgent: bool = False
    ) -> None:
        """Queue a change.

        proposal_id: of this change and no other. The change ends by `deadline` (us), then possibly as
        unknown. urgent: calls may be paused until it ends, so it backs off for a shorter time.
        """
        if len(self.pending) >= MAX_PENDING:
            self.outcomes.append(Outcome(proposal_id, "refused", why=f"{MAX_PENDING} changes are pending"))
            return
        self.pending.append(PendingChange(proposal_id, change, deadline, is_urgent=urgent))
        if len(self.pending) == 1:
            self._start_ballot(now)

    def tick(self, now: int) -> int | None:
        """End overdue changes and send again what is unanswered.

        Return the time of the next call, None if idle.
        """
        while self.pending and now >= self.pending[0].deadline:
            missing_voters = (
                self.attempt.next_voters.difference(self.attempt.promises) if self.attempt else ()
            )
            why = (
                f"no vote from {', '.join(sorted(missing_voters))}"
                if missing_voters
                else "no answer from a majority of the voters"
            )
            self._end("unknown" if self.pending[0].may_have_happened else "refused", now, why=why)
        if self.pending and now >= self.next_wake_at:
            self._send_requests(
                now
            ) if self.attempt and self.attempt.send_count < MAX_SENDS_PER_BALLOT else self._start_ballot(now)
        return min(self.next_wake_at, self.pending[0].deadline) if self.pending else None

    # Ballots

    def _retry_us(self) -> int:
        return int(min(MAX_RETRY_US, max(MIN_RETRY_US, RETRY_FACTOR * self.mean_ballot_us)))

    def _start_ballot(self, now: int) -> None:
        self.round += 1
        self.pending[0].ballots += 1
        self.attempt = BallotAttempt((self.round, self.name), began_at=now)
        self._send_requests(now)

    def _send_requests(self, now: int) -> None:
        attempt = self.attempt
        assert attempt is not None
        attempt.send_count += 1
        self.next_wake_at = now + self._retry_us()
        if attempt.next_document is not None:
            self._send_accepts(attempt)
            return
        for voter in sorted(self.expected_voters(attempt)):
            if voter not in attempt.promises:
                self.outbox.append(Send(voter, Prepare(attempt.ballot)))

    def expected_voters(self, attempt: BallotAttempt) -> set[str]:
        """Return whom to ask: the known voters, those named in answers, and those of the next document."""
        return self.known_document.all_voters.union(
            attempt.next_voters, *(self._document_of(p).all_voters for p in attempt.promises.values())
        )

    def _document_of(self, promise: Promise) -> RegisterDocument:
        return doc.decode(promise.document) if promise.document else self.initial

    def on_promise(self, sender: str, promise: Promise, now: int) -> None:
        """Count a promise; with a majority of them, choose the document to be accepted."""
        attempt = self.attempt
        if attempt is None or promise.ballot != attempt.ballot or attempt.next_document is not None:
            return
        asked = self.expected_voters(attempt)
        attempt.promises[sender] = promise
        newest = max(attempt.promises.values(), key=lambda p: p.accepted)
        attempt.base = self.newest_document(attempt)
        if attempt.base.has_majority(attempt.promises) and self.known_document.has_majority(attempt.promises):
            self._choose_value(attempt, newest.accepted, now)
        if attempt is self.attempt and attempt.next_document is None:
            self.outbox += [
                Send(v, Prepare(attempt.ballot)) for v in sorted(self.expected_voters(attempt) - asked)
            ]

    def newest_document(self, attempt: BallotAttempt) -> RegisterDocument:
        """Return the document accepted under the latest ballot among the promises."""
        # A method of its own, so that the explorer can remove this guard.
        return self._document_of(max(attempt.promises.values(), key=lambda p: p.accepted))

    def _choose_value(self, attempt: BallotAttempt, accepted: Ballot, now: int) -> None:
        change_in_progress, base = self.pending[0], attempt.base
        assert base is not None
        if self.is_already_done(change_in_progress.proposal_id, base):
            attempt.next_document = base  # from an attempt whose answers were lost: accept it again
            attempt.has_change = True
        else:
            if (
                change_in_progress.may_have_happened
                and base.version - change_in_progress.first_version >= doc.MAX_RECENT_PROPOSALS
            ):
                self._end("unknown", now, why="too many later changes to tell whether it was made")
                return
            next_document = None
            try:
                next_document = change_in_progress.change(base)
                attempt.payload = doc.encode(next_document or base)
            except ValueError as error:
                attempt.refusal, next_document = str(error), None
            if attempt.refusal and not change_in_progress.may_have_happened:
                self._end("refused", now, why=attempt.refusal)
                return
            if next_document is not None and not self.can_switch_voters(next_document, attempt):
                attempt.next_voters = next_document.all_voters
                return
            attempt.next_document, attempt.has_change = next_document or base, next_document is not None
            # If another proposer may still complete an earlier attempt, the same document is accepted once
            # more under this ballot: no majority can then choose the earlier attempt.
            if (
                next_document is None
                and not change_in_progress.may_have_happened
                and all(p.accepted == accepted for p in attempt.promises.values())
            ):
                self._done(now)  # a majority has accepted it: it is chosen already
                return
        attempt.payload = doc.encode(attempt.next_document)
        attempt.generations = {v: p.generation for v, p in attempt.promises.items()}
        attempt.send_count = 1
        self.next_wake_at = now + self._retry_us()
        self._send_accepts(attempt)

    def can_switch_voters(self, next_document: RegisterDocument, attempt: BallotAttempt) -> bool:
        """Return whether all new voters have promised already, and with them a majority.

        Otherwise an accepted document could require votes from voters that have not joined; then no majority
        could admit them, or readmit a voter that lost its state directory.
        """
        assert attempt.base is not None
        return next_document.all_voters - attempt.base.all_voters <= set(
            attempt.promises
        ) and next_document.has_majority(attempt.promises)

    def is_already_done(self, proposal_id: str, base: RegisterDocument) -> bool:
        """Return whether the document contains the change already."""
        # A method of its own, so that the explorer can remove this guard.
        return proposal_id in base.recent_proposals

    def _send_accepts(self, attempt: BallotAttempt) -> None:
        assert attempt.next_document is not None and attempt.base is not None
        change_in_progress = self.pending[0]
        if attempt.has_change and not change_in_progress.may_have_happened:
            change_in_progress.may_have_happened = True
            change_in_progress.first_version = attempt.next_document.version
        body = Accept(attempt.ballot, attempt.payload, tuple(sorted(attempt.generations.items())))
        voters = attempt.next_document.all_voters | attempt.base.all_voters
        self.outbox += [Send(v, body) for v in sorted(voters - attempt.accepted_by)]

    def on_accepted(self, sender: str, accepted: Accepted, now: int) -> None:
        """Count an acceptance; with a majority of them, the change is done."""
        attempt = self.attempt
        if attempt is None or attempt.next_document is None or accepted.ballot != attempt.ballot:
            return
        attempt.accepted_by.add(sender)
        if self.is_accepted(attempt):
            self._done(now)

    def is_accepted(self, attempt: BallotAttempt) -> bool:
        """Return whether majorities have accepted, by the documents before and after the change."""
        # A method of its own, so that the explorer can remove this guard.
        assert attempt.next_document is not None and attempt.base is not None
        return attempt.next_document.has_majority(attempt.accepted_by) and attempt.base.has_majority(
            attempt.accepted_by
        )

    def on_rejected(self, rejected: BallotRejected, now: int) -> None:
        """Back off, and use a later round next."""
        attempt = self.attempt
        self.round = max(self.round, rejected.promised[0])
        if attempt is None or rejected.ballot != attempt.ballot:
            return
        self.attempt = None  # a later tick starts another ballot, after a random delay
        min_backoff_us = max(MIN_BACKOFF_US, self.mean_ballot_us)
        max_backoff_us = max(MAX_BACKOFF_US, int(MAX_BACKOFF_FACTOR * self.mean_ballot_us))
        limit_us = min(max_backoff_us, int(min_backoff_us) << min(self.pending[0].ballots, 10))
        self.next_wake_at = now + self.backoff_us(limit_us) // (4 if self.pending[0].is_urgent else 1)

    def backoff_us(self, limit_us: int) -> int:
        """Return a random delay before the next ballot."""
        return self.rng.randrange(limit_us // 4, limit_us)

    # Results

    def _done(self, now: int) -> None:
        attempt = self.attempt
        assert attempt is not None and attempt.next_document is not None
        self.learn(attempt.next_document)
        self.mean_ballot_us += DURATION_WEIGHT * (now - attempt.began_at - self.mean_ballot_us)
        self._end(
            "done" if attempt.has_change else "refused" if attempt.refusal else "left",
            now,
            attempt.next_document,
            attempt.refusal,
        )

    def _end(self, state: str, now: int, document: RegisterDocument | None = None, why: str = "") -> None:
        change_in_progress = self.pending.popleft()
        self.attempt = None
        self.outcomes.append(Outcome(change_in_progress.proposal_id, state, document, why))
        if self.pending:
            self._start_ballot(now)

    def cancel(self, proposal_id: str, now: int) -> None:
        """Drop a read that is no longer needed, whether it is in progress or queued.

        Requests already sent for it do no harm: a read changes nothing.
        """
        if self.pending and self.pending[0].proposal_id == proposal_id:
            self._end("refused", now, why="no longer needed")
        else:
            self.pending = deque(pending for pending in self.pending if pending.proposal_id != proposal_id)

    def learn(self, document: RegisterDocument) -> bool:
        """Note a document that is known to be chosen. Return whether it is newer."""
        if document.version <= self.known_document.version:
            return False
        self.known_document = document
        return True
