"""Schedules that are dangerous to policy changes, written out since random ones seldom hit them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopmill.explorer.known_schedules import HIGH_ROUND, act_all, run_only, deliver_only, set_clock_rate
from hopmill.explorer.policy import PolicySimulation
from hopmill.explorer.simulation import MAX_CLOCK_DRIFT, LEASE_US, InvariantViolationError
from hopmill.fleet import document as doc
from hopmill.fleet.policy_member import PolicyMember
from hopmill.fleet.policy import close, reopen
from hopmill.fleet.register import finish_voter_change, replace_voter
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import (
    Accept,
    Accepted,
    Body,
    ChosenDocument,
    DrainQuery,
    DrainReply,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    RecoveryReply,
    RecoveryRequest,
    WorkStopped,
)

HIGHER_ROUND = 60  # of a ballot: higher than HIGH_ROUND and what follows it
ALL_BODIES: tuple[type, ...] = (Body,) if isinstance(Body, type) else tuple(Body.__args__)
# Without queries of the coordinator no change goes beyond prepared.
BODIES_BEFORE_CLOSING = tuple(kind for kind in ALL_BODIES if kind not in (DrainQuery, DrainReply))


def _run_all(simulation: PolicySimulation, rounds: int = 6) -> None:
    run_only(simulation, simulation.member_ids, rounds, 1_000)  # type: ignore[arg-type]
    simulation.in_flight.clear()


def _prepare_change(simulation: PolicySimulation, by: str = "m0") -> None:
    """Let each member get a lease and become ready for a change."""
    _run_all(simulation)
    simulation.policy_member_of(simulation.members[by]).propose(
        "p1", b"policy p1", 0, simulation.members[by].elapsed_us(simulation.now), lambda outcome: None
    )
    simulation.collect_actions(simulation.members[by])
    for _ in range(60):
        for member in simulation.members.values():
            simulation.tick(member)
            for other in simulation.members.values():
                other.register.note_version(member.id, member.register.document.version)
        deliver_only(simulation, BODIES_BEFORE_CLOSING)
        simulation.now += 10_000
        if all(
            member.register.document.policy.change
            and simulation.policy_member_of(member).lease.ready_for == "p1"
            for member in simulation.members.values()
        ):
            break
    _renew(simulation, simulation.member_ids)
    simulation.in_flight.clear()
    assert all(member.register.document.policy.change for member in simulation.members.values())


def _renew(simulation: PolicySimulation, names: list[str], grantors: list[str] | None = None) -> None:
    """Let these members request their leases again, and get them from all grantors or from some."""
    for name in names:
        for request in simulation.policy_member_of(simulation.members[name]).lease.requests.values():
            request.next_send_at = 0
        simulation.tick(simulation.members[name])
    granting = simulation.member_ids if grantors is None else grantors
    deliver_only(
        simulation,
        (LeaseRequest, LeaseGrant),
        lambda sender, receiver: (
            sender in names and receiver in granting or sender in granting and receiver in names
        ),
    )


def _restart(simulation: PolicySimulation, names: list[str]) -> None:
    """Restart these members from disk; the first of them then reads the register at once."""
    for name in names:
        member = simulation.members[name]
        member.pending_writes.clear()
        simulation.restart(member, msgspec.msgpack.decode(member.stored_state, type=Memory), True)
    deliver_only(simulation, (RecoveryRequest, RecoveryReply))
    first = simulation.members[names[0]]
    first.register.proposer.round = HIGH_ROUND
    first.register.propose(lambda proposal_id, document: None, first.elapsed_us(simulation.now))
    simulation.collect_actions(first)


def forgotten_leases(simulation: PolicySimulation) -> None:
    """Voters that granted a lease restart, and the holder receives nothing."""
    _prepare_change(simulation)
    run_only(simulation, ["m0", "m1"], 4, 1_000)
    _restart(simulation, ["m0", "m1"])
    run_only(simulation, ["m0", "m1"], 12, 1_000)
    act_all(simulation)


def drifting_clocks(simulation: PolicySimulation) -> None:
    """The clock of a lease holder is slow and those of the grantors fast, all within the drift."""
    for name, rate in (
        ("m0", 1 + 0.49 * MAX_CLOCK_DRIFT),
        ("m1", 1 + 0.49 * MAX_CLOCK_DRIFT),
        ("m2", 1 - 0.49 * MAX_CLOCK_DRIFT),
    ):
        set_clock_rate(simulation, simulation.members[name], rate)
    _run_all(simulation)
    simulation.now += 2 * LEASE_US  # no voter waits for unknown grants any more
    _prepare_change(simulation)
    simulation.now += int(0.82 * LEASE_US)
    run_only(simulation, ["m0", "m1"], 14, 700)
    act_all(simulation)


def unwritten_vote(simulation: PolicySimulation) -> None:
    """A voter reports that it is drained by a vote that never got on its disk, and grants a lease again."""
    _run_all(simulation)
    simulation.now += 2 * LEASE_US
    _prepare_change(simulation, "m2")
    simulation.now += 2 * LEASE_US  # all leases have expired
    _renew(simulation, ["m3"], ["m0"])  # since then one voter has granted m3 a lease
    simulation.in_flight.clear()
    simulation.stalled_disk = "m1"
    run_only(simulation, ["m0", "m1", "m2"], 6, 500)
    m1, m3 = simulation.members["m1"], simulation.members["m3"]
    m1.pending_writes.clear()
    simulation.stalled_disk = ""
    _restart(simulation, ["m1"])
    m1.register.receive("m3", ChosenDocument(doc.encode(m3.register.document)), m1.elapsed_us(simulation.now))
    _renew(simulation, ["m3"], ["m1"])
    run_only(simulation, ["m0", "m2"], 8, 500)
    act_all(simulation)


def late_lease_request(simulation: PolicySimulation) -> None:
    """Voters have reported that they are drained; then a member that missed it requests a lease again."""
    _run_all(simulation)
    simulation.now += 2 * LEASE_US
    _prepare_change(simulation, "m2")
    simulation.now += 2 * LEASE_US
    for _ in range(8):  # everything but the votes for the commit
        for name in ("m0", "m1", "m2"):
            simulation.tick(simulation.members[name])
        deliver_only(
            simulation,
            ALL_BODIES,
            lambda sender, receiver: "m3" not in (sender, receiver) and not _is_committing(simulation),
        )
    _renew(simulation, ["m3"])
    run_only(simulation, ["m0", "m1", "m2"], 8, 500)
    act_all(simulation)


def _is_committing(simulation: PolicySimulation) -> bool:
    """Whether a coordinator has begun to put the change in force."""
    return any(
        simulation.policy_member_of(member).coordinator.is_proposing
        and member.register.document.policy.change
        and member.register.document.policy.change.closing
        for member in simulation.members.values()
    )


def old_version(simulation: PolicySimulation) -> None:
    """A member that missed the change requests a lease on the version before."""
    _prepare_change(simulation)
    simulation.now += 2 * LEASE_US
    run_only(simulation, ["m0", "m1"], 14, 2_000)
    act_all(simulation)
    _renew(simulation, ["m2"])
    act_all(simulation)


def continue_alone(simulation: PolicySimulation) -> None:
    """Couriers continue alone: one of them does so, and the voters have restarted."""
    _prepare_change(simulation)
    _restart(simulation, ["m0", "m1"])
    simulation.now += 3 * LEASE_US
    run_only(simulation, ["m0", "m1"], 40, 20_000)
    act_all(simulation)


def late_grant(simulation: PolicySimulation) -> None:
    """Grants arrive nearly as late as they expire."""
    _delay_grants(simulation, False)


def requested_again(simulation: PolicySimulation) -> None:
    """Grants arrive nearly as late as they expire, and the member has requested again meanwhile."""
    _delay_grants(simulation, True)


def _delay_grants(simulation: PolicySimulation, sends_again: bool) -> None:
    """Deliver grants late. sends_again: the member sends new requests before they arrive."""
    _run_all(simulation)
    simulation.now += 2 * LEASE_US
    _prepare_change(simulation)
    simulation.now += 5_000
    m2 = simulation.members["m2"]
    for request in simulation.policy_member_of(m2).lease.requests.values():
        request.next_send_at = 0
    simulation.tick(m2)
    deliver_only(simulation, (LeaseRequest,))
    late_messages = [message for message in simulation.in_flight if isinstance(message[2], LeaseGrant)]
    simulation.in_flight.clear()
    simulation.now += int(0.86 * LEASE_US)
    if sends_again:
        simulation.tick(m2)  # the new requests are lost
    simulation.in_flight[:] = late_messages
    deliver_only(simulation, (LeaseGrant,), lambda sender, receiver: receiver == "m2")
    simulation.in_flight.clear()
    simulation.now += int(0.3 * LEASE_US)
    run_only(simulation, ["m0", "m1"], 12, 3_000)
    act_all(simulation)


def two_voter_sets(simulation: PolicySimulation) -> None:
    """A voter is replaced; it grants itself a lease by the old set, and another voter does so by the new."""
    _run_all(simulation)
    simulation.propose(simulation.members["m0"], replace_voter("m1", "m3"))
    live_names = ["m0", "m2", "m3"]
    run_only(simulation, live_names, 20, 40_000)
    for _ in range(6):
        simulation.propose(simulation.members["m0"], finish_voter_change)
        run_only(simulation, live_names, 4, 40_000)
    simulation.now += 3 * LEASE_US
    _renew(simulation, ["m1"], ["m0", "m1"])
    simulation.in_flight.clear()
    m2 = simulation.members["m2"]
    m2.register.proposer.round = HIGH_ROUND
    simulation.policy_member_of(m2).propose(
        "p1", b"policy p1", 0, m2.elapsed_us(simulation.now), lambda outcome: None
    )
    simulation.collect_actions(m2)
    run_only(simulation, ["m2", "m3"], 60, 1_000)
    act_all(simulation)
    act_all(simulation)


def one_voter_drained(simulation: PolicySimulation) -> None:
    """Two voters have granted a lease, the third has not."""
    _run_all(simulation)
    simulation.now += 2 * LEASE_US
    _prepare_change(simulation, "m2")
    simulation.now += 2 * LEASE_US
    _renew(simulation, ["m3"], ["m0", "m1"])
    simulation.in_flight.clear()
    run_only(simulation, ["m0", "m1", "m2"], 8, 500)
    act_all(simulation)


def stale_commit(simulation: PolicySimulation) -> None:
    """The change is reopened and closes again; its former coordinator goes on as if it had not."""
    late_commit(simulation)
    _renew(simulation, ["m3"], ["m0", "m1"])
    late_messages = [message for message in simulation.in_flight if message[0] == "m2"]
    simulation.in_flight.clear()
    m0 = simulation.members["m0"]
    m0.register.propose(close(m0.register.document.policy.epoch), m0.elapsed_us(simulation.now))
    simulation.collect_actions(m0)
    deliver_only(
        simulation,
        (Prepare, Promise, Accept, Accepted),
        lambda sender, receiver: "m2" not in (sender, receiver),
    )
    simulation.in_flight[:] = late_messages
    run_only(simulation, ["m0", "m1", "m2"], 14, 4_000)
    act_all(simulation)


def late_commit(simulation: PolicySimulation) -> None:
    """The change is reopened while the messages of its first coordinator are held back."""
    _run_all(simulation)
    simulation.now += 2 * LEASE_US
    _prepare_change(simulation, "m2")
    simulation.now += 2 * LEASE_US
    for _ in range(8):
        for name in ("m0", "m1", "m2"):
            simulation.tick(simulation.members[name])
        deliver_only(
            simulation,
            ALL_BODIES,
            lambda sender, receiver: "m3" not in (sender, receiver) and not _is_committing(simulation),
        )
    m0 = simulation.members["m0"]
    if (change := m0.register.document.policy.change) and change.closing:
        late_messages = [message for message in simulation.in_flight if message[0] == "m2"]
        simulation.in_flight.clear()
        m0.register.proposer.round = HIGHER_ROUND
        m0.register.propose(reopen(m0.register.document.policy.epoch), m0.elapsed_us(simulation.now))
        simulation.collect_actions(m0)
        deliver_only(
            simulation,
            (Prepare, Promise, Accept, Accepted, ChosenDocument, WorkStopped),
            lambda sender, receiver: "m2" not in (sender, receiver),
        )
        for name in ("m1", "m3"):
            other = simulation.members[name]
            other.register.receive(
                "m0", ChosenDocument(doc.encode(m0.register.document)), other.elapsed_us(simulation.now)
            )
        simulation.in_flight[:] = late_messages


def stopped_before(simulation: PolicySimulation) -> None:
    """A member has stopped for a closing that was reopened; it receives nothing of the next one."""
    _prepare_change(simulation)
    m0 = simulation.members["m0"]
    for step in (close, reopen):
        m0.register.propose(step(m0.register.document.policy.epoch), m0.elapsed_us(simulation.now))
        simulation.collect_actions(m0)
        deliver_only(simulation, (Prepare, Promise, Accept, Accepted))
        for member in simulation.members.values():
            member.register.receive(
                "m0", ChosenDocument(doc.encode(m0.register.document)), member.elapsed_us(simulation.now)
            )
            simulation.tick(member)
        deliver_only(simulation, (WorkStopped,))
        simulation.in_flight.clear()
    _renew(simulation, simulation.member_ids)
    simulation.in_flight.clear()
    run_only(simulation, ["m0", "m1"], 36, 2_000)
    act_all(simulation)


# By name: the schedule, the number of members, and the seed of the simulation. With seed 3 couriers
# continue alone.
KNOWN_SCHEDULES: dict[str, tuple[Callable[[PolicySimulation], None], int, int]] = {
    "forgotten-leases": (forgotten_leases, 3, 2),
    "drifting-clocks": (drifting_clocks, 3, 2),
    "unwritten-vote": (unwritten_vote, 4, 4),
    "late-hold": (late_lease_request, 4, 4),
    "old-version": (old_version, 3, 2),
    "alone": (continue_alone, 3, 3),
    "late-given": (late_grant, 3, 2),
    "asked-again": (requested_again, 3, 2),
    "two-rosters": (two_voter_sets, 4, 4),
    "one-is-clear": (one_voter_drained, 4, 4),
    "stale-commit": (stale_commit, 4, 4),
    "stopped-before": (stopped_before, 3, 2),
}


def find_violation(name: str, policy_member_type: type[PolicyMember] = PolicyMember) -> str:
    """What this schedule violates, "" if nothing. Raises KeyError if there is none of this name."""
    run_schedule, members, seed = KNOWN_SCHEDULES[name]
    try:
        run_schedule(PolicySimulation(members, seed, policy_member_type))
    except InvariantViolationError as violation:
        return str(violation)
    return ""
