"""The explorer: registers and leases on a network in memory, where every delivery, loss, repeat, crash, disk
write and timer is a choice. Random schedules by seed, every schedule up to a depth, the shortest that fails.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hopmill.explorer.checker import Checker, Op, Violation
from hopmill.fleet.actions import Persist, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.register import Register, finish_voter_change, replace_voter, say
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Body

STEPS = 80  # of a random schedule
LEASE_US, DRIFT = 100_000, 0.1
LEASE = "duty"
CALMS = (3, 6, 9, 14, 60)
JUMPS_US = (1_000, 20_000, 20_000, 60_000, 95_000, 160_000)


@dataclass
class Member:
    """A process, its disk, and its elapsed clock, which runs at its own rate."""

    id: str
    rate: float
    offset: int
    register: Register
    disk: bytes = b""
    copies: list[bytes] = field(default_factory=list)  # of the folder, as it was at its last writes
    writes: list[Persist] = field(default_factory=list)  # that the disk has not done yet
    up: bool = True
    life: int = 1

    def clock(self, now: int) -> int:
        return self.offset + int(now * self.rate)


class World:
    """`choices` says what may happen next; `choose` lets it."""

    def __init__(
        self, members: int, seed: int, register: type[Register] = Register, leases: bool = True
    ) -> None:
        self.type, self.chance, self.leases = register, random.Random(seed), leases
        ids = [f"m{n}" for n in range(members)]
        voters = ids[:5] if members >= 5 and seed % 2 else ids[:3]
        self.initial = RegisterDocument(0, tuple(voters))
        self.now = 0
        self.net: list[tuple[str, str, Body, int]] = []  # with the version that the sender knew
        self.checker = Checker()
        self.members: dict[str, Member] = {}
        self.closed: Callable[[str, str], bool] = lambda a, b: False
        self.stalled = ""  # whose disk stands still
        for name in ids:
            rate = 1 + DRIFT * self.chance.choice((-0.49, 0.0, 0.49))  # two of them: under the bound
            member = Member(name, rate, self.chance.randrange(10**9), None)  # type: ignore[arg-type]
            member.register = self._register(member, Memory(), False)
            self.members[name] = member
        self.ids, self.proposed, self.acts = ids, 0, 0
        self._found()
        assert all(self.members[v].register.voter.is_voting for v in voters)
        if members == 4 and seed % 2:  # one that was a voter is still there, with its votes
            for change in (replace_voter("m2", "m3"), finish_voter_change):
                self._change(self.members["m0"], change)
                for _ in range(4):
                    self._calm()
                    self.now += 350_000
        # Each world favours some things and lacks others: what is found together with all is seldom found.
        self.moves = self._moves()
        self.table = list(
            itertools.accumulate(often * self.chance.choice((0, 1, 1, 1, 4)) for _, often in self.moves)
        )

    def _say_versions(self) -> None:
        """As the members' datagrams do all the time."""
        for m in self.members.values():
            for other in self.members.values():
                if m.up and other.up and not self.closed(m.id, other.id):
                    other.register.note_version(m.id, m.register.document.version)

    def _register(self, m: Member, memory: Memory, same: bool) -> Register:
        register = self.type(m.id, m.life, self.initial, memory, same, random.Random(self.chance.random()))
        if self.leases:
            register.hold_lease(LEASE, LEASE_US, DRIFT)
        return register

    def _found(self) -> None:
        """A new fleet, before anything goes wrong."""
        for _ in range(4):
            for m in self.members.values():
                self._tick(m)
            while self.net or any(m.writes for m in self.members.values()):
                for m in self.members.values():
                    self._written(m, len(m.writes))
                self._deliver(0)
            self.now += 100_000

    # What may happen

    def step(self, choice: int) -> None:
        """One thing, by a number of which any part may be used; what can't happen just now does not."""
        kind = bisect.bisect_right(self.table, choice % 1000 * self.table[-1] // 1000)
        rest = choice // 1000
        m = self.members[self.ids[rest % len(self.ids)]]
        self.moves[kind][0](m, rest // len(self.ids))
        for m in self.members.values():
            self._act(m)

    def _moves(self) -> list[tuple[Callable[[Member, int], None], int]]:
        """What may happen, and how often it does in a world that favours nothing."""
        return [
            (lambda m, arg: self._deliver(0 if arg % 4 else arg // 4), 40),
            (lambda m, arg: self._written(m, len(m.writes)), 16),
            (lambda m, arg: self._tick(m), 10),
            (lambda m, arg: self._jump(arg), 10),
            (lambda m, arg: self._calm(CALMS[arg % len(CALMS)]), 12),
            (lambda m, arg: self._cut(arg), 5),
            (lambda m, arg: self._lose(arg), 4),
            (lambda m, arg: self._repeat(arg), 2),
            (self._propose, 6),
            (self._crash, 3),
            (lambda m, arg: self._start(m), 3),
            (self._put_back, 3),
            (self._replace, 4),
            (self._want, 2),
        ]

    def _jump(self, arg: int) -> None:
        self.now += JUMPS_US[arg % len(JUMPS_US)]

    def _lose(self, arg: int) -> None:
        if self.net:
            self.net.pop(arg % len(self.net))

    def _repeat(self, arg: int) -> None:
        if self.net:
            self.net.append(self.net[arg % len(self.net)])

    def _cut(self, arg: int) -> None:
        """From now on some ways are closed, or a disk stands still: what is under way there waits."""
        how, arg = arg % 8, arg // 8
        name, mask = self.ids[arg % len(self.ids)], arg // len(self.ids)
        self.stalled = name if how == 2 else ""
        group = {each: mask >> n & 1 for n, each in enumerate(self.ids)}
        if how < 3:
            self.closed = lambda a, b: False
        elif how < 5:
            self.closed = (lambda a, b: b == name) if how == 3 else (lambda a, b: a == name)
        else:
            self.closed = lambda a, b: group[a] != group[b]

    def _calm(self, deliveries: int = 60) -> None:
        """For a while whatever can happen does, and nothing is lost; a short one ends in the middle."""
        self._say_versions()
        for m in self.members.values():
            self._tick(m)
        for _ in range(deliveries):
            for m in self.members.values():
                self._written(m, len(m.writes))
            if not self._deliver(0):
                break

    def _emit(self, m: Member) -> None:
        for action in m.register.take(m.clock(self.now)):
            if isinstance(action, Send):
                self.net.append((m.id, action.to, action.body, m.register.document.version))
            else:
                m.writes.append(action)
        if len(self.net) > 60:
            del self.net[: len(self.net) - 60]

    def _deliver(self, at: int) -> bool:
        """The first at or after this place whose way is open."""
        for n in range(len(self.net)):
            sender, to, body, version = self.net[(at + n) % len(self.net)]
            if not self.closed(sender, to):
                break
        else:
            return False
        del self.net[(at + n) % len(self.net)]
        if (m := self.members.get(to)) and m.up:
            m.register.note_version(sender, version)
            m.register.receive(sender, body, m.clock(self.now))
            self._emit(m)
        return True

    def _tick(self, m: Member) -> None:
        if m.up:
            m.register.tick(m.clock(self.now))
            self._emit(m)

    def _written(self, m: Member, count: int) -> None:
        if m.id == self.stalled:
            return
        for write in m.writes[:count]:
            m.copies = [*m.copies[-7:], m.disk] if m.disk else []
            m.disk = write.state
            self.net += [(m.id, s.to, s.body, m.register.document.version) for s in write.then]
        del m.writes[:count]

    def _propose(self, m: Member, arg: int) -> None:
        self.proposed += 1
        self._change(m, say("x", str(self.proposed)))

    def _replace(self, m: Member, arg: int) -> None:
        voters = m.register.document.voters
        others = [name for name in self.ids if name not in voters]
        if m.register.document.previous_voters:
            self._change(m, finish_voter_change)
        elif others:
            self._change(m, replace_voter(voters[arg % len(voters)], others[arg // 5 % len(others)]))

    def _want(self, m: Member, arg: int) -> None:
        """Whether it tries to hold the lease: one that ends gives it up."""
        if self.leases:
            m.register.lease_holders[LEASE].wanted = arg % 2 == 0

    def _change(self, m: Member, change: Callable[[str, RegisterDocument], RegisterDocument | None]) -> None:
        if not m.up:
            return
        op = Op("", self.now)
        op.ticket = m.register.propose(
            change, m.clock(self.now), lambda outcome: self.checker.ended(op, outcome, self.now), 3_000_000
        )
        self.checker.ops[op.ticket] = op
        self._emit(m)

    def _act(self, m: Member) -> None:
        """The lease is checked in the turn that acts."""
        if (
            m.up
            and self.leases
            and (fence := m.register.lease_holders[LEASE].fencing_token(m.clock(self.now)))
        ):
            self.acts += 1
            self.checker.act(m.register.name, fence)

    def _crash(self, m: Member, arg: int) -> None:
        """What the disk has not done may be done or not; what waits on it is never sent."""
        waits = next((x for x in self.members.values() if x.writes and x.up), m)
        m = waits if arg % 3 else m
        if m.up:
            m.up = False
            if m.writes and arg // 3 % 2:
                m.disk = m.writes[arg // 6 % len(m.writes)].state
            m.writes.clear()

    def _start(self, m: Member) -> None:
        m = next((x for x in self.members.values() if not x.up), m)
        if not m.up:
            memory = msgspec.msgpack.decode(m.disk, type=Memory) if m.disk else Memory()
            self._again(m, memory, bool(m.disk))

    def _again(self, m: Member, memory: Memory, same: bool) -> None:
        m.up, m.life = True, m.life + 1
        m.register = self._register(m, memory, same)
        self._tick(m)

    def _put_back(self, m: Member, arg: int) -> None:
        """The folder is emptied, or an earlier copy put back, and the process starts anew. One voter at a
        time: a majority that forgets is beyond what any register can bear."""
        if m.up and self._all_well(m):
            old = m.copies[arg // 4 % len(m.copies)] if m.copies and arg % 4 else b""
            self._lose_folder(m)
            self._again(m, msgspec.msgpack.decode(old, type=Memory) if old else Memory(), False)
            if arg // 32 % 4:
                self._calm()

    def _lose_folder(self, m: Member) -> None:
        m.writes, m.disk = [], b""

    def _all_well(self, m: Member) -> bool:
        voters = m.register.document.all_voters | self.initial.all_voters
        return all(self.members[v].register.voter.is_voting and self.members[v].disk for v in voters)

    def state(self) -> tuple[Any, ...]:
        """All that the future depends on, for telling schedules that come to the same."""
        rows = []
        for m in self.members.values():
            v, p = m.register.voter, m.register.proposer
            at = p.attempt
            ballot = at and (at.ballot, tuple(sorted(at.promises)), tuple(sorted(at.accepted_by)), at.payload)
            rows.append(
                (
                    m.up,
                    v.is_voting,
                    msgspec.msgpack.encode(v.memory),
                    m.disk,
                    len(m.writes),
                    p.round,
                    p.known_document.version,
                    tuple(j.proposal_id for j in p.pending),
                    ballot,
                )
            )
        return (tuple(rows), tuple(sorted(map(repr, self.net))))


# Schedules


def run(choices: list[int], members: int, seed: int, register: type[Register] = Register) -> str:
    """What was violated, "" if nothing."""
    world = World(members, seed, register)
    try:
        for choice in choices:
            world.step(choice)
    except Violation as violation:
        return str(violation)
    return ""


def schedule(seed: int, steps: int = STEPS) -> list[int]:
    chance = random.Random(seed * 2654435761 + 1)
    return [chance.randrange(10**7) for _ in range(steps)]


@dataclass
class Found:
    seed: int
    violation: str
    choices: list[int]


def explore(
    schedules: int,
    first: int,
    members: int,
    register: type[Register] = Register,
    steps: int = STEPS,
    stop: bool = True,
) -> tuple[int, list[Found]]:
    """(schedules run, what was found). stop: at the first."""
    found, count = [], 0
    for seed in range(first, first + schedules):
        count += 1
        choices = schedule(seed, steps)
        if said := run(choices, members, seed, register):
            found.append(Found(seed, said, choices))
            if stop:
                break
    return count, found


def shrink(found: Found, members: int, register: type[Register] = Register) -> Found:
    """The same seed with as few choices as still fail, by leaving out ever smaller pieces."""
    choices, said = found.choices, found.violation
    size = max(1, len(choices) // 2)
    while True:
        at, cut = 0, False
        while at < len(choices):
            shorter = choices[:at] + choices[at + size :]
            if again := run(shorter, members, found.seed, register):
                choices, said, cut = shorter, again, True
            else:
                at += size
        if size > 1:
            size //= 2
        elif not cut:
            return Found(found.seed, said, choices)


def every(depth: int, register: type[Register] = Register) -> tuple[int, int, str]:
    """(schedules, states, violation) of all schedules of three members up to so many steps: two of them
    change the register, and each delivery, loss, disk write, timer and crash is tried at each step."""
    seen: set[int] = set()
    schedules = 0

    def begin() -> World:
        world = World(3, 0, register, leases=False)
        for name in ("m0", "m1"):
            world._propose(world.members[name], 0)
        return world

    def moves(world: World) -> Iterator[Callable[[World], None]]:
        for at in range(len(world.net)):
            yield lambda w, at=at: w._deliver(at)
            yield lambda w, at=at: w._lose(at)
        for name, m in world.members.items():
            if m.writes:
                yield lambda w, name=name: w._written(w.members[name], 1)
            if m.up and m.register.proposer.pending:
                yield lambda w, name=name: _wake(w, name)
            yield lambda w, name=name: _crash_or_start(w, name)

    frontier: list[list[Callable[[World], None]]] = [[]]
    for level in range(depth + 1):
        following = []
        for path in frontier:
            world = begin()
            schedules += 1
            try:
                for move in path:
                    move(world)
            except Violation as violation:
                return schedules, len(seen), str(violation)
            state = hash(world.state())
            if state not in seen:  # at no smaller depth, for all of these were tried before
                seen.add(state)
                following += [[*path, move] for move in moves(world)] if level < depth else []
        frontier = following
    return schedules, len(seen), ""


def _wake(world: World, name: str) -> None:
    world.now += 200_000
    world._tick(world.members[name])


def _crash_or_start(world: World, name: str) -> None:
    m = world.members[name]
    if m.up:
        m.up = False
        m.writes.clear()
    else:
        world._start(m)
