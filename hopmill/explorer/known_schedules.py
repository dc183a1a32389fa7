"""Schedules that are dangerous to register and leases, written out since random ones seldom hit them.

The register has to survive each of them, and at least one planted fault does not. They are tried before the
random schedules.
"""

from __future__ import annotations

from collections.abc import Callable

from hopmill.explorer.simulation import (
    MAX_CLOCK_DRIFT,
    LEASE_NAME,
    LEASE_US,
    Member,
    InvariantViolationError,
    Simulation,
)
from hopmill.fleet import document as doc
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.register import Register, replace_voter, set_entry
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Accept, ChosenDocument, Prepare, Promise

HIGH_ROUND = 50  # of a ballot: higher than any that the members have reached
MAX_DELIVERIES = 200  # in one call of deliver_only


def deliver_only(
    simulation: Simulation,
    kinds: tuple[type, ...],
    is_allowed: Callable[[str, str], bool] = lambda sender, receiver: True,
) -> None:
    """Deliver the messages of these kinds that are allowed, and complete writes, until none is left.

    is_allowed: takes sender and receiver.
    """
    for _ in range(MAX_DELIVERIES):
        for member in simulation.members.values():
            simulation.complete_writes(member, len(member.pending_writes))
        index = next(
            (
                n
                for n, (sender, receiver, body, _) in enumerate(simulation.in_flight)
                if isinstance(body, kinds) and is_allowed(sender, receiver)
            ),
            -1,
        )
        if index < 0:
            return
        simulation.deliver(index)


def run_only(simulation: Simulation, names: list[str], ticks: int = 4, wait_us: int = 0) -> None:
    """Let these members run undisturbed while the others do nothing."""
    for _ in range(ticks):
        for name in names:
            simulation.tick(simulation.members[name])
            for other in names:
                simulation.members[other].register.note_version(
                    name, simulation.members[name].register.document.version
                )
        deliver_only(simulation, (object,), lambda sender, receiver: sender in names and receiver in names)
        simulation.now += wait_us


def act_all(simulation: Simulation) -> None:
    """Let each member act under its lease, if it may."""
    for member in simulation.members.values():
        simulation.act(member)


def _elect_holder(simulation: Simulation) -> tuple[Member, Member, list[str]]:
    """Let the first member take the lease.

    Returns the holder, the member that may take over later, and the ids of all but the holder.
    """
    for name in simulation.member_ids[1:]:
        simulation.members[name].register.lease_holders[LEASE_NAME].wanted = False
    for _ in range(20):
        simulation.run_undisturbed()
        holders = [
            member
            for member in simulation.members.values()
            if member.register.lease_holders[LEASE_NAME].fencing_token(member.elapsed_us(simulation.now))
        ]
        if (
            holders
            and holders[0].id == simulation.member_ids[0]
            and not any(member.register.proposer.pending for member in simulation.members.values())
        ):
            simulation.in_flight.clear()
            return holders[0], simulation.members[simulation.member_ids[1]], simulation.member_ids[1:]
        simulation.now += LEASE_US // 4
    raise AssertionError("no member took the lease")


def _announce(simulation: Simulation, document: RegisterDocument, names: list[str]) -> None:
    """Let these members learn that the document was chosen."""
    for name in names:
        member = simulation.members[name]
        member.register.receive(name, ChosenDocument(doc.encode(document)), member.elapsed_us(simulation.now))
        member.register.lease_holders[LEASE_NAME].observe(member.elapsed_us(simulation.now), document)


def set_clock_rate(simulation: Simulation, member: Member, rate: float) -> None:
    """Change the rate of a clock from now on, without a jump."""
    member.clock_offset_us = member.elapsed_us(simulation.now) - int(simulation.now * rate)
    member.clock_rate = rate


def late_reply(simulation: Simulation) -> None:
    """The replies to a renewal arrive after the lease has expired and another member has taken it."""
    holder, successor, others = _elect_holder(simulation)
    simulation.now += LEASE_US // 2
    simulation.tick(holder)
    deliver_only(simulation, (Prepare, Promise))
    deliver_only(simulation, (Accept,))
    late_messages = [message for message in simulation.in_flight if message[1] == holder.id]
    simulation.in_flight.clear()
    successor.register.lease_holders[LEASE_NAME].wanted = True
    # The successor sees the renewal, waits, and takes the lease over.
    run_only(simulation, others, 12, LEASE_US // 2)
    act_all(simulation)
    simulation.in_flight[:] = late_messages
    deliver_only(simulation, (object,), lambda sender, receiver: receiver == holder.id)
    act_all(simulation)


def drifting_clocks(simulation: Simulation) -> None:
    """The holder's clock is slow and its successor's fast, both within the drift."""
    holder, successor, others = _elect_holder(simulation)
    set_clock_rate(simulation, holder, 1 - 0.49 * MAX_CLOCK_DRIFT)
    set_clock_rate(simulation, successor, 1 + 0.49 * MAX_CLOCK_DRIFT)
    simulation.now += LEASE_US // 2
    simulation.run_undisturbed()  # the holder renews its lease
    _announce(simulation, holder.register.document, others)
    successor.register.lease_holders[LEASE_NAME].wanted = True
    successor.register.proposer.round = HIGH_ROUND  # so that its first ballot is the highest
    simulation.now += int(0.9 * LEASE_US)
    run_only(simulation, others)
    act_all(simulation)
    act_all(simulation)


def forgotten_promise(simulation: Simulation) -> None:
    """A voter promises, loses its folder and is readmitted; then a proposer uses the promise."""
    voter, proposer = simulation.members["m0"], simulation.members["m3"]
    proposer.register.proposer.round = HIGH_ROUND  # as if many of its ballots had been rejected
    simulation.propose(proposer, set_entry("x", "old"))
    deliver_only(simulation, (Prepare, Promise), lambda sender, receiver: {sender, receiver} == {"m0", "m3"})
    simulation.in_flight.clear()
    voter.pending_writes.clear()
    simulation.restart(voter, Memory(), False)
    run_only(simulation, ["m0", "m1", "m2"], 6, 350_000)
    simulation.propose(simulation.members["m1"], set_entry("x", "new"))
    run_only(simulation, ["m0", "m1"])
    simulation.in_flight.clear()
    run_only(simulation, ["m2", "m3"], 4, 250_000)
    deliver_only(simulation, (object,), lambda sender, receiver: "m1" not in (sender, receiver))


def lost_vote(simulation: Simulation) -> None:
    """A voter is counted as having accepted, and crashes before the vote is on disk."""
    simulation.run_undisturbed()
    simulation.propose(simulation.members["m0"], set_entry("x", "1"))
    deliver_only(simulation, (Prepare, Promise))
    simulation.stalled_disk = "m1"
    deliver_only(simulation, (object,), lambda sender, receiver: "m2" not in (sender, receiver))
    simulation.stalled_disk = ""
    simulation.members["m1"].is_running = False
    simulation.members["m1"].pending_writes.clear()
    simulation.in_flight.clear()
    simulation.restart_from_disk(simulation.members["m1"])
    run_only(simulation, ["m1", "m2"], 4, 350_000)
    simulation.propose(simulation.members["m2"], set_entry("x", "2"))
    run_only(simulation, ["m1", "m2"], 4, 350_000)


def former_voter(simulation: Simulation) -> None:
    """A former voter votes for a change that the present voters do not know."""
    simulation.members["m1"].register.proposer.round = HIGH_ROUND  # so that its first ballot is the highest
    simulation.propose(simulation.members["m1"], replace_voter("m0", "m2"))
    deliver_only(simulation, (Prepare, Promise))
    run_only(simulation, ["m1", "m2"])
    simulation.propose(simulation.members["m3"], set_entry("x", "1"))
    run_only(simulation, ["m0", "m3"], 4, 350_000)


# By name: the schedule, the number of members, and the seed of the simulation.
KNOWN_SCHEDULES: dict[str, tuple[Callable[[Simulation], None], int, int]] = {
    "late-answer": (late_reply, 3, 2),
    "two-clocks": (drifting_clocks, 3, 2),
    "forgotten-promise": (forgotten_promise, 4, 2),
    "lost-vote": (lost_vote, 3, 2),
    "former-voter": (former_voter, 4, 1),
}


def find_violation(name: str, register_type: type[Register] = Register) -> str:
    """What this schedule violates, "" if nothing. Raises KeyError if there is none of this name."""
    run_schedule, members, seed = KNOWN_SCHEDULES[name]
    try:
        run_schedule(
            Simulation(members, seed, register_type, has_leases=run_schedule in (late_reply, drifting_clocks))
        )
    except InvariantViolationError as violation:
        return str(violation)
    return ""
