"""A voter of the register: the acceptor of CASPaxos (Rystsov 2018), with protection against lost memory.

A voter decides by what it has promised and accepted, so a voter that lost this state must not vote as if it
had never promised anything. Each voter has a generation: a number that the other voters keep on disk. If the
folder is not the one the voter last wrote (it was emptied, or is a copy), the generation ends. Readmission
then needs a majority of the other voters: they record the new generation, refuse from then on every accept
that is based on a promise of the old one, and report what they have promised and accepted.
"""

from __future__ import annotations

import random

import msgspec

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Action, Persist, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.wire import (
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    Prepare,
    Promise,
    RecoveryReply,
    RecoveryRequest,
)

NO_BALLOT: Ballot = (0, "")
MAX_OTHER_GENERATIONS = 8  # that are recorded, voters included: a datagram has to hold them
GENERATION_BITS = 40  # of the random number that a first generation starts from
RECOVERY_RETRY_US = 300_000  # between two rounds of recovery requests


class Memory(msgspec.Struct):
    """What a voter keeps on disk; the field names are stored."""

    life: int = 0  # the generation; 0: has never voted
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    document: bytes = b""
    lives: dict[str, int] = {}  # highest known generation of each other voter

    def copy(self) -> Memory:
        """Return a copy that shares no mutable state."""
        return msgspec.structs.replace(self, lives=dict(self.lives))


class Voter:
    """An acceptor. Actions are gathered in `outbox`; the caller takes them."""

    def __init__(
        self, me: str, initial: RegisterDocument, memory: Memory, same_folder: bool, rng: random.Random
    ) -> None:
        """Start a voter from what its folder holds.

        initial: the document of a fleet that has none yet. same_folder: the folder is neither a copy nor
        emptied.
        """
        self.me, self.initial, self.memory, self.rng = me, initial, memory, rng
        self.is_voting = self.is_new = False
        self.other_voters: set[str] = initial.all_voters - {me}
        self.replies: dict[str, RecoveryReply] = {}
        self.claimed_generation = memory.life  # the one the others are asked to record; 0: none yet
        self.has_trusted_memory = self.trusts_folder(same_folder) and memory.life > 0
        if not self.has_trusted_memory:
            self._discard_memory()
        self.last_request_at = -RECOVERY_RETRY_US
        self.was_asked_to_vote = False  # a proposer took this member for a voter
        self.outbox: list[Action] = []

    def trusts_folder(self, same_folder: bool) -> bool:
        """Return whether the memory in the folder may be used for voting."""
        return same_folder

    def document(self) -> RegisterDocument:
        """Return the document accepted last, or the initial one."""
        return doc.decode(self.memory.document) if self.memory.document else self.initial

    def is_expected_to_vote(self, known: RegisterDocument) -> bool:
        """Return whether the fleet counts on this voter.

        True by its own memory, by what is known to be chosen, or because it was asked for a vote: the change
        that makes it a voter may need its vote.
        """
        return self.was_asked_to_vote or self.me in self._known_voters(known)

    def _known_voters(self, known: RegisterDocument) -> set[str]:
        """Return the voters by what is known to be chosen and what was accepted here.

        If there is neither: those of the initial document.
        """
        known_voters = known.all_voters if known.version else set()
        return known_voters | (
            self.document().all_voters if self.memory.document or not known_voters else set()
        )

    def persist(self, *then: Send) -> None:
        """Write the memory to disk, then send these messages."""
        self.outbox.append(Persist(msgspec.msgpack.encode(self.memory), then))

    # Recovery: a voter that starts without trusted memory is readmitted by the others

    def tick(self, now: int, known: RegisterDocument) -> int:
        """Send recovery requests while it may not vote yet. Return the time of the next call, in us."""
        if self.is_voting or not self.is_expected_to_vote(known):
            return now + RECOVERY_RETRY_US
        if now - self.last_request_at >= RECOVERY_RETRY_US:
            self.last_request_at = now
            self.other_voters = self._known_voters(known).union(*self._voters_named_by_replies()) - {self.me}
            self.outbox += [
                Send(other, RecoveryRequest(self.claimed_generation)) for other in sorted(self.other_voters)
            ]
            self._evaluate_replies()
        return self.last_request_at + RECOVERY_RETRY_US

    def _voters_named_by_replies(self) -> list[set[str]]:
        return [doc.decode(k.document).all_voters for k in self.replies.values() if k.document]

    def on_recovery_request(self, sender: str, request: RecoveryRequest) -> None:
        """Handle another voter's start: what is reported of its generation is on disk before the reply is
        sent.
        """
        memory = self.memory
        known_generation = max(request.generation, memory.lives.get(sender, 0))
        if known_generation:
            memory.lives.pop(sender, None)
            memory.lives[sender] = known_generation  # moved to the end: the order is that of recording
            self._prune()
        reply = RecoveryReply(
            known_generation,
            self.is_voting,
            request.generation,
            memory.promised,
            memory.accepted,
            memory.document,
            dict(memory.lives),
        )
        self.persist(Send(sender, reply))

    def _prune(self) -> None:
        """Limit the recorded generations to what fits a datagram.

        Those of the voters stay, of others the latest. One that was a voter long ago may be forgotten: no
        majority has counted on it since.
        """
        generations, voters = self.memory.lives, self.document().all_voters
        for name in [n for n in generations if n not in voters][
            : max(0, len(generations) - MAX_OTHER_GENERATIONS)
        ]:
            del generations[name]

    def on_recovery_reply(self, sender: str, reply: RecoveryReply) -> None:
        """Handle the reply to the newest claim; others are ignored."""
        if self.is_voting or reply.claimed_generation != self.claimed_generation:
            return
        self.replies[sender] = reply
        self.other_voters = self.other_voters.union(*self._voters_named_by_replies()) - {self.me}
        self._evaluate_replies()

    def _discard_memory(self) -> None:
        """Ignore all votes that the folder records: some of them may be missing."""
        self.has_trusted_memory, self.claimed_generation, self.replies, self.is_new = False, 0, {}, False
        self.memory = Memory(lives=self.memory.lives)

    def _evaluate_replies(self) -> None:
        replies, memory = self.replies, self.memory
        highest_known = max((k.generation for k in replies.values()), default=0)
        if self.has_trusted_memory and highest_known > memory.life:
            self._discard_memory()  # the folder is a copy from before a later readmission
        elif self.has_trusted_memory:
            self.is_voting = self.document().has_majority({*replies, self.me})
        elif not self.claimed_generation:
            self._claim_generation(highest_known)
        elif self.is_readmitted(replies):
            self._rejoin(replies)

    def _claim_generation(self, highest_known: int) -> None:
        """Choose a new generation.

        All other voters record a generation before its first vote, so a voter that none of them knows has
        never voted and may start as new. Otherwise, with the replies of a majority, it takes the number after
        the highest known, or a random one if it is about to become a voter.
        """
        if not highest_known and self.other_voters <= set(self.replies):
            # Random, so that it never equals an earlier generation.
            self.claimed_generation, self.is_new = 1 + self.rng.getrandbits(GENERATION_BITS), True
        elif self.majority_of_others(self.replies) and (highest_known or self._is_future_voter()):
            self.claimed_generation = 1 + (highest_known or self.rng.getrandbits(GENERATION_BITS))
        if self.claimed_generation:
            self.replies, self.last_request_at = {}, -RECOVERY_RETRY_US

    def _is_future_voter(self) -> bool:
        """Return whether a majority votes that knows this member neither as a voter nor by a generation.

        A majority recorded each member that was readmitted without being a voter, before its first vote.
        """
        voting = {s: k for s, k in self.replies.items() if k.is_voting}
        named = self.initial.all_voters.union(*self._voters_named_by_replies())
        return self.me not in named and self.majority_of_others(voting)

    def is_readmitted(self, replies: dict[str, RecoveryReply]) -> bool:
        """Return whether enough recorded the claim: all others for a new voter, else a voting majority."""
        if self.is_new:
            return self.other_voters <= set(replies)
        return self.majority_of_others({s: k for s, k in replies.items() if k.is_voting})

    def _rejoin(self, replies: dict[str, RecoveryReply]) -> None:
        memory = self.memory
        memory.life = self.claimed_generation
        for reply in replies.values():
            memory.lives |= {
                v: max(n, memory.lives.get(v, 0)) for v, n in reply.generations.items() if v != self.me
            }
            memory.promised = max(memory.promised, reply.promised)
            if reply.accepted > memory.accepted:
                memory.accepted, memory.document = reply.accepted, reply.document
        self.is_voting = True
        self.persist()

    def majority_of_others(self, replies: dict[str, RecoveryReply]) -> bool:
        """Return whether these replies come from a majority of the voters, this one not counted."""
        newest = max(replies.values(), key=lambda k: k.accepted, default=None)
        document = doc.decode(newest.document) if newest and newest.document else self.initial
        return document.has_majority(set(replies) - {self.me}) if len(document.all_voters) > 1 else False

    # Voting

    def on_prepare(self, sender: str, prepare: Prepare) -> None:
        """Promise the ballot, or reject it if a later one is promised."""
        memory = self.memory
        if not self.is_voting:
            self.was_asked_to_vote = True
            return
        if not self.may_promise(prepare.ballot):
            self.outbox.append(Send(sender, BallotRejected(prepare.ballot, memory.promised)))
            return
        memory.promised = prepare.ballot
        self.persist(Send(sender, Promise(prepare.ballot, memory.life, memory.accepted, memory.document)))

    def may_promise(self, ballot: Ballot) -> bool:
        """Return whether no later ballot is promised."""
        return ballot >= self.memory.promised  # the same ballot may be prepared twice

    def on_accept(self, sender: str, accept: Accept) -> None:
        """Accept the document, or reject it if a later ballot is promised or its basis is no longer valid."""
        memory = self.memory
        if not self.is_voting:
            return
        if not self.may_accept(accept.ballot) or not self.is_basis_valid(accept.basis):
            self.outbox.append(Send(sender, BallotRejected(accept.ballot, memory.promised)))
            return
        memory.promised = memory.accepted = accept.ballot
        memory.document = accept.document
        self.persist(Send(sender, Accepted(accept.ballot, memory.life)))

    def may_accept(self, ballot: Ballot) -> bool:
        """Return whether no later ballot is promised."""
        return ballot >= self.memory.promised

    def is_basis_valid(self, basis: tuple[tuple[str, int], ...]) -> bool:
        """Return whether the accept is based on no promise of a generation that has ended since."""
        generations = self.memory.lives
        return all(
            generation == self.memory.life if voter == self.me else generation >= generations.get(voter, 0)
            for voter, generation in basis
        )
