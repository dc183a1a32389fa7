"""A voter of the register: the acceptor of CASPaxos (Rystsov 2018), with a memory that it has to prove.

A voter votes by what it has promised and accepted, so one that forgot must not vote as if it had not. Each
voter has a life: a number that the other voters keep on disk. A folder that is not the one it was (emptied,
or a copy) ends the life. To be let in again takes a majority without it: they note the new life, from then on
refuse what stands on a promise of the old one, and tell what they have promised and accepted.
"""

from __future__ import annotations

import random

import msgspec

from hopmill.fleet import document as doc
from hopmill.fleet.actions import Action, Persist, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.wire import Accept, Accepted, Ask, Ballot, Known, Prepare, Promise, Refused

NONE: Ballot = (0, "")
MOST_LIVES = 8
LIFE_BITS = 40
ASK_US = 300_000  # between two rounds of asking to be let in


class Memory(msgspec.Struct):
    """What is on disk."""

    life: int = 0  # 0: has never voted
    promised: Ballot = NONE
    accepted: Ballot = NONE
    document: bytes = b""
    lives: dict[str, int] = {}  # of the other voters

    def copy(self) -> Memory:
        return msgspec.structs.replace(self, lives=dict(self.lives))


class Voter:
    """`out` gathers its actions; whoever calls takes them."""

    def __init__(
        self, me: str, initial: RegisterDocument, memory: Memory, same_folder: bool, chance: random.Random
    ) -> None:
        """initial: the document of a fleet that has none yet. same_folder: no copy, and not emptied."""
        self.me, self.initial, self.memory, self.chance = me, initial, memory, chance
        self.voting = self.begins = False
        self.others: set[str] = initial.all_voters - {me}
        self.answers: dict[str, Known] = {}
        self.claims = memory.life  # the life that it asks the others to note; 0: none yet
        self.same_folder = self.trusts(same_folder) and memory.life > 0
        if not self.same_folder:
            self._forget()
        self.asked_at = -ASK_US
        self.called = False  # somebody took this member for a voter
        self.out: list[Action] = []

    def trusts(self, same_folder: bool) -> bool:
        return same_folder

    def document(self) -> RegisterDocument:
        return doc.decode(self.memory.document) if self.memory.document else self.initial

    def named(self, known: RegisterDocument) -> bool:
        """Whether the fleet counts on this voter, by its own memory, by what is known to be chosen, or by
        having been asked: the change that makes it a voter may need its vote."""
        return self.called or self.me in self._there(known)

    def _there(self, known: RegisterDocument) -> set[str]:
        """Who votes, by what is known to be chosen and what was accepted here; else as a new fleet begins."""
        there = known.all_voters if known.version else set()
        return there | (self.document().all_voters if self.memory.document or not there else set())

    def persist(self, *then: Send) -> None:
        self.out.append(Persist(msgspec.msgpack.encode(self.memory), then))

    # To be let in

    def tick(self, now: int, known: RegisterDocument) -> int:
        """Ask while it may not vote yet. Returns when to be called again, in us."""
        if self.voting or not self.named(known):
            return now + ASK_US
        if now - self.asked_at >= ASK_US:
            self.asked_at = now
            self.others = self._there(known).union(*self._named_by_answers()) - {self.me}
            self.out += [Send(other, Ask(self.claims)) for other in sorted(self.others)]
            self._judge()
        return self.asked_at + ASK_US

    def _named_by_answers(self) -> list[set[str]]:
        return [doc.decode(k.document).all_voters for k in self.answers.values() if k.document]

    def ask(self, sender: str, ask: Ask) -> None:
        """Another voter starts: what is said of its life is on disk before it is answered."""
        m = self.memory
        before = max(ask.life, m.lives.get(sender, 0))
        if before:
            m.lives.pop(sender, None)
            m.lives[sender] = before  # the latest noted stands last
            self._prune()
        known = Known(before, self.voting, ask.life, m.promised, m.accepted, m.document, dict(m.lives))
        self.persist(Send(sender, known))

    def _prune(self) -> None:
        """Lives of the voters stay; of others the latest, for a datagram has to hold them. One that was a
        voter long ago may be forgotten: no majority has counted on it since."""
        lives, there = self.memory.lives, self.document().all_voters
        for name in [n for n in lives if n not in there][: max(0, len(lives) - MOST_LIVES)]:
            del lives[name]

    def known(self, sender: str, known: Known) -> None:
        if self.voting or known.told != self.claims:
            return
        self.answers[sender] = known
        self.others = self.others.union(*self._named_by_answers()) - {self.me}
        self._judge()

    def _forget(self) -> None:
        """Nothing that the folder says of its own votes counts: half of them may be missing."""
        self.same_folder, self.claims, self.answers, self.begins = False, 0, {}, False
        self.memory = Memory(lives=self.memory.lives)

    def _judge(self) -> None:
        answers, m = self.answers, self.memory
        heard = max((k.life for k in answers.values()), default=0)
        if self.same_folder and heard > m.life:
            self._forget()  # a copy from before it was let in anew
        elif self.same_folder:
            self.voting = self.document().agrees({*answers, self.me})
        elif not self.claims:
            self._claim(heard)
        elif self.let_in(answers):
            self._rejoin(answers)

    def _claim(self, heard: int) -> None:
        """A new life. Every life is noted by all others before its first vote, so one that nobody knows of
        has never voted, and may begin; else it comes back after the latest that is known."""
        if not heard and self.others <= set(self.answers):
            self.claims, self.begins = 1 + self.chance.getrandbits(LIFE_BITS), True  # never one of before
        elif self.majority_of_others(self.answers) and (heard or self._is_to_come()):
            self.claims = 1 + (heard or self.chance.getrandbits(LIFE_BITS))
        if self.claims:
            self.answers, self.asked_at = {}, -ASK_US

    def _is_to_come(self) -> bool:
        """Whether a majority votes and none of it knows this member as a voter, nor a life of it: whoever was
        let in without being one was noted by a majority before its first vote."""
        voting = {s: k for s, k in self.answers.items() if k.voting}
        named = self.initial.all_voters.union(*self._named_by_answers())
        return self.me not in named and self.majority_of_others(voting)

    def let_in(self, answers: dict[str, Known]) -> bool:
        """One that begins is noted by all others; one that comes back, by a majority that votes."""
        if self.begins:
            return self.others <= set(answers)
        return self.majority_of_others({s: k for s, k in answers.items() if k.voting})

    def _rejoin(self, answers: dict[str, Known]) -> None:
        m = self.memory
        m.life = self.claims
        for known in answers.values():
            m.lives |= {v: max(n, m.lives.get(v, 0)) for v, n in known.lives.items() if v != self.me}
            m.promised = max(m.promised, known.promised)
            if known.accepted > m.accepted:
                m.accepted, m.document = known.accepted, known.document
        self.voting = True
        self.persist()

    def majority_of_others(self, answers: dict[str, Known]) -> bool:
        newest = max(answers.values(), key=lambda k: k.accepted, default=None)
        document = doc.decode(newest.document) if newest and newest.document else self.initial
        return document.agrees(set(answers) - {self.me}) if len(document.all_voters) > 1 else False

    # To vote

    def prepare(self, sender: str, prepare: Prepare) -> None:
        m = self.memory
        if not self.voting:
            self.called = True
            return
        if not self.may_promise(prepare.ballot):
            self.out.append(Send(sender, Refused(prepare.ballot, m.promised)))
            return
        m.promised = prepare.ballot
        self.persist(Send(sender, Promise(prepare.ballot, m.life, m.accepted, m.document)))

    def may_promise(self, ballot: Ballot) -> bool:
        return ballot >= self.memory.promised  # the same one may be asked for twice

    def accept(self, sender: str, accept: Accept) -> None:
        m = self.memory
        if not self.voting:
            return
        if not self.may_accept(accept.ballot) or not self.stands(accept.basis):
            self.out.append(Send(sender, Refused(accept.ballot, m.promised)))
            return
        m.promised = m.accepted = accept.ballot
        m.document = accept.document
        self.persist(Send(sender, Accepted(accept.ballot, m.life)))

    def may_accept(self, ballot: Ballot) -> bool:
        return ballot >= self.memory.promised

    def stands(self, basis: tuple[tuple[str, int], ...]) -> bool:
        """No promise under it was given in a life that has ended since."""
        lives = self.memory.lives
        return all(
            life == self.memory.life if voter == self.me else life >= lives.get(voter, 0)
            for voter, life in basis
        )
