"""Simulates registers and leases on a network in memory, under many orders of events.

Each delivery, loss and duplicate of a message, each crash, disk write and timer is a choice. Schedules of
choices are random by a seed, or all of them up to a depth. A schedule that fails is shrunk.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hopmill.explorer.checker import Checker, InvariantViolationError, Operation
from hopmill.fleet.actions import Persist, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.register import Register, finish_voter_change, replace_voter, set_entry
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Body

STEPS_PER_SCHEDULE = 80  # choices in a random schedule
LEASE_US = 100_000  # length of a lease
MAX_CLOCK_DRIFT = 0.1  # share by which the rates of two members' clocks may differ
LEASE_NAME = "duty"
MAX_IN_FLIGHT = 60  # messages; beyond that the oldest are lost
# Delivery counts for run_undisturbed: small ones stop in the middle of a protocol round, 60 completes it.
UNDISTURBED_DELIVERIES = (3, 6, 9, 14, 60)
PROPOSAL_TIMEOUT_US = 3_000_000
VOTER_CHANGE_ROUND_US = 350_000  # time that passes between rounds of the voter change at the start
EXHAUSTIVE_TIME_STEP_US = 200_000  # by which explore_exhaustively advances the time
TIME_STEPS_US = (1_000, 20_000, 20_000, 60_000, 95_000, 160_000)


@dataclass
class Member:
    """A process, its disk, and its elapsed clock, which runs at its own rate."""

    id: str
    clock_rate: float
    clock_offset_us: int
    register: Register
    stored_state: bytes = b""
    older_states: list[bytes] = field(default_factory=list)  # what its last writes replaced
    pending_writes: list[Persist] = field(default_factory=list)  # not on disk yet
    is_running: bool = True
    generation: int = 1

    def elapsed_us(self, now: int) -> int:
        """This member's elapsed clock at a time of the simulation, in us."""
        return self.clock_offset_us + int(now * self.clock_rate)


class Simulation:
    """Members and the network between them. Times are us.

    `step` makes one event happen, by a number. A broken invariant is raised as InvariantViolationError.
    """

    def __init__(
        self, members: int, seed: int, register_type: type[Register] = Register, has_leases: bool = True
    ) -> None:
        self.register_type, self.rng, self.has_leases = register_type, random.Random(seed), has_leases
        member_ids = [f"m{n}" for n in range(members)]
        voters = member_ids[:5] if members >= 5 and seed % 2 else member_ids[:3]
        self.initial_document = RegisterDocument(0, tuple(voters))
        self.now = 0
        # Sender, receiver, message, and the version of the document that the sender knew.
        self.in_flight: list[tuple[str, str, Body, int]] = []
        self.checker = Checker()
        self.members: dict[str, Member] = {}
        self.is_link_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.stalled_disk = ""  # the member whose disk does not complete writes
        for name in member_ids:
            rate = 1 + MAX_CLOCK_DRIFT * self.rng.choice(
                (-0.49, 0.0, 0.49)
            )  # two clocks differ by less than the drift
            member = Member(name, rate, self.rng.randrange(10**9), None)  # type: ignore[arg-type]
            member.register = self.create_register(member, Memory(), False)
            self.members[name] = member
        self.member_ids, self.proposal_count, self.act_count = member_ids, 0, 0
        self._bootstrap()
        assert all(self.members[voter].register.voter.is_voting for voter in voters)
        # Start with a replaced voter whose voter state is still on disk. With four members, three vote and m3
        # can replace one of them; even seeds keep the initial voters, so that both starts are explored.
        if members == 4 and seed % 2:
            for change in (replace_voter("m2", "m3"), finish_voter_change):
                self.propose(self.members["m0"], change)
                for _ in range(4):
                    self.run_undisturbed()
                    self.now += VOTER_CHANGE_ROUND_US
        # Each simulation makes some kinds of events frequent and leaves others out: schedules that mix all
        # kinds seldom find a fault.
        self.weighted_events = self.event_kinds()
        self.cumulative_weights = list(
            itertools.accumulate(
                weight * self.rng.choice((0, 1, 1, 1, 4)) for _, weight in self.weighted_events
            )
        )

    def exchange_versions(self) -> None:
        """Let members learn each other's document versions, as their datagrams do all the time."""
        for member in self.members.values():
            for other in self.members.values():
                if member.is_running and other.is_running and not self.is_link_cut(member.id, other.id):
                    other.register.note_version(member.id, member.register.document.version)

    def create_register(self, member: Member, memory: Memory, same_folder: bool) -> Register:
        """Start the register of a member from the memory on its disk.

        same_folder: whether the folder is known to be its own, not emptied and not an older copy.
        """
        register = self.register_type(
            member.id,
            member.generation,
            self.initial_document,
            memory,
            same_folder,
            random.Random(self.rng.random()),
        )
        if self.has_leases:
            register.hold_lease(LEASE_NAME, LEASE_US, MAX_CLOCK_DRIFT)
        return register

    def _bootstrap(self) -> None:
        """Start the fleet before anything goes wrong."""
        for _ in range(4):
            for member in self.members.values():
                self.tick(member)
            while self.in_flight or any(member.pending_writes for member in self.members.values()):
                for member in self.members.values():
                    self.complete_writes(member, len(member.pending_writes))
                self.deliver(0)
            self.now += 100_000

    # Events

    def step(self, choice: int) -> None:
        """Make one event happen. Parts of the number choose its kind, the member and an argument.

        An event that is impossible at the moment does nothing.
        """
        kind = bisect.bisect_right(
            self.cumulative_weights, choice % 1000 * self.cumulative_weights[-1] // 1000
        )
        rest = choice // 1000
        member = self.members[self.member_ids[rest % len(self.member_ids)]]
        self.weighted_events[kind][0](member, rest // len(self.member_ids))
        for member in self.members.values():
            self.act(member)

    def event_kinds(self) -> list[tuple[Callable[[Member, int], None], int]]:
        """Each kind of event with its weight before the weights are varied by the seed."""
        return [
            (lambda member, argument: self.deliver(0 if argument % 4 else argument // 4), 40),
            (lambda member, argument: self.complete_writes(member, len(member.pending_writes)), 16),
            (lambda member, argument: self.tick(member), 10),
            (lambda member, argument: self._advance_time(argument), 10),
            (
                lambda member, argument: self.run_undisturbed(
                    UNDISTURBED_DELIVERIES[argument % len(UNDISTURBED_DELIVERIES)]
                ),
                12,
            ),
            (lambda member, argument: self._partition(argument), 5),
            (lambda member, argument: self.drop_message(argument), 4),
            (lambda member, argument: self._duplicate_message(argument), 2),
            (self.propose_entry, 6),
            (self._crash, 3),
            (lambda member, argument: self.restart_from_disk(member), 3),
            (self.reset_folder, 3),
            (self._replace_voter, 4),
            (self._set_lease_wanted, 2),
        ]

    def _advance_time(self, argument: int) -> None:
        self.now += TIME_STEPS_US[argument % len(TIME_STEPS_US)]

    def drop_message(self, argument: int) -> None:
        """Lose one message."""
        if self.in_flight:
            self.in_flight.pop(argument % len(self.in_flight))

    def _duplicate_message(self, argument: int) -> None:
        if self.in_flight:
            self.in_flight.append(self.in_flight[argument % len(self.in_flight)])

    def _partition(self, argument: int) -> None:
        """Cut some links, or stall a disk, from now on. Messages on cut links wait.

        Modes: 0 and 1 restore all links and disks; 2 restores all links and stalls the member's disk; 3 cuts
        all links to the member, 4 all links from it; 5 to 7 cut the members into two sides.
        """
        mode, argument = argument % 8, argument // 8
        # Bit n of the mask is the side of member n in modes 5 to 7.
        name, mask = self.member_ids[argument % len(self.member_ids)], argument // len(self.member_ids)
        self.stalled_disk = name if mode == 2 else ""
        sides = {each: mask >> n & 1 for n, each in enumerate(self.member_ids)}
        if mode < 3:
            self.is_link_cut = lambda sender, receiver: False
        elif mode < 5:
            self.is_link_cut = (
                (lambda sender, receiver: receiver == name)
                if mode == 3
                else (lambda sender, receiver: sender == name)
            )
        else:
            self.is_link_cut = lambda sender, receiver: sides[sender] != sides[receiver]

    def run_undisturbed(self, deliveries: int = 60) -> None:
        """Run timers, writes and deliveries without loss, up to that many deliveries.

        A small number stops in the middle of a protocol round.
        """
        self.exchange_versions()
        for member in self.members.values():
            self.tick(member)
        for _ in range(deliveries):
            for member in self.members.values():
                self.complete_writes(member, len(member.pending_writes))
            if not self.deliver(0):
                break

    def collect_actions(self, member: Member) -> None:
        """Put the messages of a member on the network and its writes on the queue of its disk."""
        for action in member.register.take(member.elapsed_us(self.now)):
            if isinstance(action, Send):
                self.in_flight.append((member.id, action.to, action.body, member.register.document.version))
            else:
                member.pending_writes.append(action)
        if len(self.in_flight) > MAX_IN_FLIGHT:
            del self.in_flight[: len(self.in_flight) - MAX_IN_FLIGHT]

    def deliver(self, index: int) -> bool:
        """Deliver the first message at or after this index whose link is not cut.

        Returns whether there was one.
        """
        for n in range(len(self.in_flight)):
            sender, to, body, version = self.in_flight[(index + n) % len(self.in_flight)]
            if not self.is_link_cut(sender, to):
                break
        else:
            return False
        del self.in_flight[(index + n) % len(self.in_flight)]
        if (member := self.members.get(to)) and member.is_running:
            member.register.note_version(sender, version)
            member.register.receive(sender, body, member.elapsed_us(self.now))
            self.collect_actions(member)
        return True

    def tick(self, member: Member) -> None:
        """Run what is due at a member."""
        if member.is_running:
            member.register.tick(member.elapsed_us(self.now))
            self.collect_actions(member)

    def complete_writes(self, member: Member, count: int) -> None:
        """Complete the first `count` writes of a member, and send what waits for them."""
        if member.id == self.stalled_disk:
            return
        for write in member.pending_writes[:count]:
            member.older_states = (
                [*member.older_states[-7:], member.stored_state] if member.stored_state else []
            )
            member.stored_state = write.state
            self.in_flight += [
                (member.id, send.to, send.body, member.register.document.version) for send in write.then
            ]
        del member.pending_writes[:count]

    def propose_entry(self, member: Member, argument: int) -> None:
        """Propose to store a text in the register."""
        self.proposal_count += 1
        self.propose(member, set_entry("x", str(self.proposal_count)))

    def _replace_voter(self, member: Member, argument: int) -> None:
        voters = member.register.document.voters
        others = [name for name in self.member_ids if name not in voters]
        if member.register.document.previous_voters:
            self.propose(member, finish_voter_change)
        elif others:
            self.propose(
                member, replace_voter(voters[argument % len(voters)], others[argument // 5 % len(others)])
            )

    def _set_lease_wanted(self, member: Member, argument: int) -> None:
        """Choose whether the member tries to hold the lease; a holder that does not releases it."""
        if self.has_leases:
            member.register.lease_holders[LEASE_NAME].wanted = argument % 2 == 0

    def propose(
        self, member: Member, change: Callable[[str, RegisterDocument], RegisterDocument | None]
    ) -> None:
        """Propose a change, and check its outcome."""
        if not member.is_running:
            return
        operation = Operation("", self.now)
        operation.proposal_id = member.register.propose(
            change,
            member.elapsed_us(self.now),
            lambda outcome: self.checker.on_outcome(operation, outcome, self.now),
            PROPOSAL_TIMEOUT_US,
        )
        self.checker.operations[operation.proposal_id] = operation
        self.collect_actions(member)

    def act(self, member: Member) -> None:
        """Let the member act under the lease if it holds it. The lease is checked in the turn that acts."""
        if (
            member.is_running
            and self.has_leases
            and (
                fencing_token := member.register.lease_holders[LEASE_NAME].fencing_token(
                    member.elapsed_us(self.now)
                )
            )
        ):
            self.act_count += 1
            self.checker.on_act(member.register.name, fencing_token)

    def _crash(self, member: Member, argument: int) -> None:
        """Crash a member.

        Its last writes may have reached the disk or not; messages that wait for them are never sent. In two
        of three cases the first running member with pending writes is chosen instead of the given one, if
        there is one, so that crashes during a write are frequent.
        """
        with_writes = next((x for x in self.members.values() if x.pending_writes and x.is_running), member)
        member = with_writes if argument % 3 else member
        if member.is_running:
            member.is_running = False
            if member.pending_writes and argument // 3 % 2:
                member.stored_state = member.pending_writes[argument // 6 % len(member.pending_writes)].state
            member.pending_writes.clear()

    def restart_from_disk(self, member: Member) -> None:
        """Restart the first stopped member from its disk; do nothing if all run.

        `member` has no effect: it is stopped only if some member is, and then the first stopped one is taken.
        """
        member = next((x for x in self.members.values() if not x.is_running), member)
        if not member.is_running:
            memory = (
                msgspec.msgpack.decode(member.stored_state, type=Memory) if member.stored_state else Memory()
            )
            self.restart(member, memory, bool(member.stored_state))

    def restart(self, member: Member, memory: Memory, same_folder: bool) -> None:
        """Start a member in a new generation."""
        member.is_running, member.generation = True, member.generation + 1
        member.register = self.create_register(member, memory, same_folder)
        self.tick(member)

    def reset_folder(self, member: Member, argument: int) -> None:
        """Empty the folder of a member, or put an earlier copy back, and start the process anew.

        One voter at a time: no register can work after a majority has lost its memory.
        """
        if member.is_running and self.may_lose_folder(member):
            older_state = (
                member.older_states[argument // 4 % len(member.older_states)]
                if member.older_states and argument % 4
                else b""
            )
            self.empty_folder(member)
            self.restart(
                member, msgspec.msgpack.decode(older_state, type=Memory) if older_state else Memory(), False
            )
            if argument // 32 % 4:
                self.run_undisturbed()

    def empty_folder(self, member: Member) -> None:
        """Lose what is on the member's disk."""
        member.pending_writes, member.stored_state = [], b""

    def may_lose_folder(self, member: Member) -> bool:
        """Whether all voters have their memory, so that one of them may lose it.

        The initial voters count too: a member with an empty folder starts from the initial document and knows
        only them.
        """
        voters = member.register.document.all_voters | self.initial_document.all_voters
        return all(
            self.members[voter].register.voter.is_voting and self.members[voter].stored_state
            for voter in voters
        )

    def state(self) -> tuple[Any, ...]:
        """The parts compared to detect duplicate states in explore_exhaustively.

        Leases, cut links, stalled disks and older states of disks are left out because that search uses none.
        The time, the random state, the proposers' timers, the contents of pending writes and the checker's
        records are left out to keep the number of states small. States that differ in these only count as
        equal, so the search may skip a schedule whose continuation differs.
        """
        rows = []
        for member in self.members.values():
            voter, proposer = member.register.voter, member.register.proposer
            attempt = proposer.attempt
            ballot = attempt and (
                attempt.ballot,
                tuple(sorted(attempt.promises)),
                tuple(sorted(attempt.accepted_by)),
                attempt.payload,
            )
            rows.append(
                (
                    member.is_running,
                    voter.is_voting,
                    msgspec.msgpack.encode(voter.memory),
                    member.stored_state,
                    len(member.pending_writes),
                    proposer.round,
                    proposer.known_document.version,
                    tuple(pending.proposal_id for pending in proposer.pending),
                    ballot,
                )
            )
        return (tuple(rows), tuple(sorted(map(repr, self.in_flight))))


# Schedules


def run(choices: list[int], members: int, seed: int, register_type: type[Register] = Register) -> str:
    """What the schedule violates, "" if nothing."""
    simulation = Simulation(members, seed, register_type)
    try:
        for choice in choices:
            simulation.step(choice)
    except InvariantViolationError as violation:
        return str(violation)
    return ""


def random_choices(seed: int, steps: int = STEPS_PER_SCHEDULE) -> list[int]:
    """The random choices of this seed."""
    rng = random.Random(seed * 2654435761 + 1)
    return [rng.randrange(10**7) for _ in range(steps)]


@dataclass
class FailingSchedule:
    """A schedule that violates an invariant."""

    seed: int
    violation: str
    choices: list[int]


def explore(
    schedules: int,
    first_seed: int,
    members: int,
    register_type: type[Register] = Register,
    steps: int = STEPS_PER_SCHEDULE,
    stop_at_first: bool = True,
) -> tuple[int, list[FailingSchedule]]:
    """Run random schedules of these seeds.

    Returns how many were run, and those that violate an invariant. stop_at_first: only the first of them.
    """
    found, count = [], 0
    for seed in range(first_seed, first_seed + schedules):
        count += 1
        choices = random_choices(seed, steps)
        if violation := run(choices, members, seed, register_type):
            found.append(FailingSchedule(seed, violation, choices))
            if stop_at_first:
                break
    return count, found


def shrink(found: FailingSchedule, members: int, register_type: type[Register] = Register) -> FailingSchedule:
    """Shrink a schedule that fails by leaving out ever smaller pieces of it. The seed stays."""
    choices, violation = found.choices, found.violation
    piece_size = max(1, len(choices) // 2)
    while True:
        index, is_shorter = 0, False
        while index < len(choices):
            shorter = choices[:index] + choices[index + piece_size :]
            if shorter_violation := run(shorter, members, found.seed, register_type):
                choices, violation, is_shorter = shorter, shorter_violation, True
            else:
                index += piece_size
        if piece_size > 1:
            piece_size //= 2
        elif not is_shorter:
            return FailingSchedule(found.seed, violation, choices)


def explore_exhaustively(depth: int, register_type: type[Register] = Register) -> tuple[int, int, str]:
    """Run all schedules of three members up to this many steps.

    Two members change the register, and each delivery, loss, disk write, timer and crash is tried at each
    step. Returns the number of schedules, the number of states, and a violation, "" if there is none.
    """
    seen_states: set[int] = set()
    schedules = 0

    def start() -> Simulation:
        simulation = Simulation(3, 0, register_type, has_leases=False)
        for name in ("m0", "m1"):
            simulation.propose_entry(simulation.members[name], 0)
        return simulation

    def next_moves(simulation: Simulation) -> Iterator[Callable[[Simulation], None]]:
        for index in range(len(simulation.in_flight)):
            yield lambda sim, index=index: sim.deliver(index)
            yield lambda sim, index=index: sim.drop_message(index)
        for name, member in simulation.members.items():
            if member.pending_writes:
                yield lambda sim, name=name: sim.complete_writes(sim.members[name], 1)
            if member.is_running and member.register.proposer.pending:
                yield lambda sim, name=name: _advance_and_tick(sim, name)
            yield lambda sim, name=name: _crash_or_start(sim, name)

    frontier: list[list[Callable[[Simulation], None]]] = [[]]
    for level in range(depth + 1):
        next_paths = []
        for path in frontier:
            simulation = start()
            schedules += 1
            try:
                for move in path:
                    move(simulation)
            except InvariantViolationError as violation:
                return schedules, len(seen_states), str(violation)
            state = hash(simulation.state())
            if state not in seen_states:  # not reached at a smaller depth either, as those were tried before
                seen_states.add(state)
                next_paths += [[*path, move] for move in next_moves(simulation)] if level < depth else []
        frontier = next_paths
    return schedules, len(seen_states), ""


def _advance_and_tick(simulation: Simulation, name: str) -> None:
    simulation.now += EXHAUSTIVE_TIME_STEP_US
    simulation.tick(simulation.members[name])


def _crash_or_start(simulation: Simulation, name: str) -> None:
    member = simulation.members[name]
    if member.is_running:
        member.is_running = False
        member.pending_writes.clear()
    else:
        simulation.restart_from_disk(member)
