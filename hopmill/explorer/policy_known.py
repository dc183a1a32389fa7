"""Schedules that are known to be dangerous to policy changes, written out, for chance finds them seldom."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hopmill.explorer.known import _act, _among, _only, _rate
from hopmill.explorer.policy import PolicyWorld
from hopmill.explorer.world import DRIFT, LEASE_US, Violation
from hopmill.fleet import document as doc
from hopmill.fleet.govern import PolicyMember
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

STEPS: tuple[type, ...] = (Body,) if isinstance(Body, type) else tuple(Body.__args__)
UNLED = tuple(
    kind for kind in STEPS if kind not in (DrainQuery, DrainReply)
)  # no change goes beyond prepared


def _all(world: PolicyWorld, rounds: int = 6) -> None:
    _among(world, world.ids, rounds, 1_000)  # type: ignore[arg-type]
    world.net.clear()


def _prepared(world: PolicyWorld, by: str = "m0") -> None:
    """All have their lease, and are ready for a change."""
    _all(world)
    world._govern(world.members[by]).propose(
        "p1", b"policy p1", 0, world.members[by].clock(world.now), lambda outcome: None
    )
    world._emit(world.members[by])
    for _ in range(60):
        for m in world.members.values():
            world._tick(m)
            for other in world.members.values():
                other.register.note_version(m.id, m.register.document.version)
        _only(world, UNLED)
        world.now += 10_000
        if all(
            m.register.document.policy.change and world._govern(m).lease.ready_for == "p1"
            for m in world.members.values()
        ):
            break
    _renew(world, world.ids)
    world.net.clear()
    assert all(m.register.document.policy.change for m in world.members.values())


def _renew(world: PolicyWorld, names: list[str], givers: list[str] | None = None) -> None:
    """These ask for a lease anew, and get it from all or from some."""
    for name in names:
        for asked in world._govern(world.members[name]).lease.requests.values():
            asked.next_send_at = 0
        world._tick(world.members[name])
    there = world.ids if givers is None else givers
    _only(
        world, (LeaseRequest, LeaseGrant), lambda a, b: a in names and b in there or a in there and b in names
    )


def _restart(world: PolicyWorld, names: list[str]) -> None:
    """And the first of them reads the register at once."""
    for name in names:
        m = world.members[name]
        m.writes.clear()
        world._again(m, msgspec.msgpack.decode(m.disk, type=Memory), True)
    _only(world, (RecoveryRequest, RecoveryReply))
    first = world.members[names[0]]
    first.register.proposer.round = 50
    first.register.propose(lambda ticket, document: None, first.clock(world.now))
    world._emit(first)


def forgotten_leases(world: PolicyWorld) -> None:
    """Those that gave a lease are started anew, while who holds it hears of nothing."""
    _prepared(world)
    _among(world, ["m0", "m1"], 4, 1_000)
    _restart(world, ["m0", "m1"])
    _among(world, ["m0", "m1"], 12, 1_000)
    _act(world)


def drifting_clocks(world: PolicyWorld) -> None:
    """Who holds a lease has a slow clock and those who gave it fast ones, all within the drift."""
    for name, rate in (("m0", 1 + 0.49 * DRIFT), ("m1", 1 + 0.49 * DRIFT), ("m2", 1 - 0.49 * DRIFT)):
        _rate(world, world.members[name], rate)
    _all(world)
    world.now += 2 * LEASE_US  # and all are sure of what they gave
    _prepared(world)
    world.now += int(0.82 * LEASE_US)
    _among(world, ["m0", "m1"], 14, 700)
    _act(world)


def unwritten_vote(world: PolicyWorld) -> None:
    """A voter says that it is clear by a vote that its disk never had, and gives a lease once more."""
    _all(world)
    world.now += 2 * LEASE_US
    _prepared(world, "m2")
    world.now += 2 * LEASE_US  # all leases have run out
    _renew(world, ["m3"], ["m0"])  # one voter has given m3 its own since
    world.net.clear()
    world.stalled = "m1"
    _among(world, ["m0", "m1", "m2"], 6, 500)
    m1, m3 = world.members["m1"], world.members["m3"]
    m1.writes.clear()
    world.stalled = ""
    _restart(world, ["m1"])
    m1.register.receive("m3", ChosenDocument(doc.encode(m3.register.document)), m1.clock(world.now))
    _renew(world, ["m3"], ["m1"])
    _among(world, ["m0", "m2"], 8, 500)
    _act(world)


def late_hold(world: PolicyWorld) -> None:
    """Voters have said that they are clear; then one that missed it all asks for a lease again."""
    _all(world)
    world.now += 2 * LEASE_US
    _prepared(world, "m2")
    world.now += 2 * LEASE_US
    for _ in range(8):  # all but the commit's votes
        for name in ("m0", "m1", "m2"):
            world._tick(world.members[name])
        _only(world, STEPS, lambda a, b: "m3" not in (a, b) and not _commits(world))
    _renew(world, ["m3"])
    _among(world, ["m0", "m1", "m2"], 8, 500)
    _act(world)


def _commits(world: PolicyWorld) -> bool:
    """Whether whoever leads has begun to put the change in force."""
    return any(
        world._govern(m).coordinator.is_proposing
        and m.register.document.policy.change
        and m.register.document.policy.change.closing
        for m in world.members.values()
    )


def old_version(world: PolicyWorld) -> None:
    """One that missed the change asks for a lease on the version before."""
    _prepared(world)
    world.now += 2 * LEASE_US
    _among(world, ["m0", "m1"], 14, 2_000)
    _act(world)
    _renew(world, ["m2"])
    _act(world)


def alone(world: PolicyWorld) -> None:
    """Where couriers go on alone: one does, and the voters have been started anew."""
    _prepared(world)
    _restart(world, ["m0", "m1"])
    world.now += 3 * LEASE_US
    _among(world, ["m0", "m1"], 40, 20_000)
    _act(world)


def late_answer(world: PolicyWorld) -> None:
    """What voters gave comes nearly as late as it ends."""
    _held_back(world, False)


def asked_again(world: PolicyWorld) -> None:
    """The same, and it has asked again meanwhile."""
    _held_back(world, True)


def _held_back(world: PolicyWorld, again: bool) -> None:
    _all(world)
    world.now += 2 * LEASE_US
    _prepared(world)
    world.now += 5_000
    m2 = world.members["m2"]
    for asked in world._govern(m2).lease.requests.values():
        asked.next_send_at = 0
    world._tick(m2)
    _only(world, (LeaseRequest,))
    late = [row for row in world.net if isinstance(row[2], LeaseGrant)]
    world.net.clear()
    world.now += int(0.86 * LEASE_US)
    if again:
        world._tick(m2)  # nobody hears it
    world.net[:] = late
    _only(world, (LeaseGrant,), lambda a, b: b == "m2")
    world.net.clear()
    world.now += int(0.3 * LEASE_US)
    _among(world, ["m0", "m1"], 12, 3_000)
    _act(world)


def two_rosters(world: PolicyWorld) -> None:
    """One voter is replaced; it gives a lease to itself by the old set, and another does by the new."""
    _all(world)
    world._change(world.members["m0"], replace_voter("m1", "m3"))
    there = ["m0", "m2", "m3"]
    _among(world, there, 20, 40_000)
    for _ in range(6):
        world._change(world.members["m0"], finish_voter_change)
        _among(world, there, 4, 40_000)
    world.now += 3 * LEASE_US
    _renew(world, ["m1"], ["m0", "m1"])
    world.net.clear()
    m2 = world.members["m2"]
    m2.register.proposer.round = 50
    world._govern(m2).propose("p1", b"policy p1", 0, m2.clock(world.now), lambda outcome: None)
    world._emit(m2)
    _among(world, ["m2", "m3"], 60, 1_000)
    _act(world)
    _act(world)


def one_is_clear(world: PolicyWorld) -> None:
    """Two voters have given a lease, the third has not."""
    _all(world)
    world.now += 2 * LEASE_US
    _prepared(world, "m2")
    world.now += 2 * LEASE_US
    _renew(world, ["m3"], ["m0", "m1"])
    world.net.clear()
    _among(world, ["m0", "m1", "m2"], 8, 500)
    _act(world)


def stale_commit(world: PolicyWorld) -> None:
    """The change is opened again and closes anew, and who led it before goes on as if it had not."""
    late_commit(world)
    _renew(world, ["m3"], ["m0", "m1"])
    late = [row for row in world.net if row[0] == "m2"]
    world.net.clear()
    m0 = world.members["m0"]
    m0.register.propose(close(m0.register.document.policy.epoch), m0.clock(world.now))
    world._emit(m0)
    _only(world, (Prepare, Promise, Accept, Accepted), lambda a, b: "m2" not in (a, b))
    world.net[:] = late
    _among(world, ["m0", "m1", "m2"], 14, 4_000)
    _act(world)


def late_commit(world: PolicyWorld) -> None:
    _all(world)
    world.now += 2 * LEASE_US
    _prepared(world, "m2")
    world.now += 2 * LEASE_US
    for _ in range(8):
        for name in ("m0", "m1", "m2"):
            world._tick(world.members[name])
        _only(world, STEPS, lambda a, b: "m3" not in (a, b) and not _commits(world))
    m0 = world.members["m0"]
    if (change := m0.register.document.policy.change) and change.closing:
        late = [row for row in world.net if row[0] == "m2"]
        world.net.clear()
        m0.register.proposer.round = 60
        m0.register.propose(reopen(m0.register.document.policy.epoch), m0.clock(world.now))
        world._emit(m0)
        _only(
            world,
            (Prepare, Promise, Accept, Accepted, ChosenDocument, WorkStopped),
            lambda a, b: "m2" not in (a, b),
        )
        for name in ("m1", "m3"):
            other = world.members[name]
            other.register.receive(
                "m0", ChosenDocument(doc.encode(m0.register.document)), other.clock(world.now)
            )
        world.net[:] = late


def stopped_before(world: PolicyWorld) -> None:
    """One has stopped for a closing that was opened again; at the next it hears of nothing."""
    _prepared(world)
    m0 = world.members["m0"]
    for step in (close, reopen):
        m0.register.propose(step(m0.register.document.policy.epoch), m0.clock(world.now))
        world._emit(m0)
        _only(world, (Prepare, Promise, Accept, Accepted))
        for m in world.members.values():
            m.register.receive("m0", ChosenDocument(doc.encode(m0.register.document)), m.clock(world.now))
            world._tick(m)
        _only(world, (WorkStopped,))
        world.net.clear()
    _renew(world, world.ids)
    world.net.clear()
    _among(world, ["m0", "m1"], 36, 2_000)
    _act(world)


# The play, how many members, and the seed of the world in which it begins; of 3 the couriers go on alone.
PLAYS: dict[str, tuple[Callable[[PolicyWorld], None], int, int]] = {
    "forgotten-leases": (forgotten_leases, 3, 2),
    "drifting-clocks": (drifting_clocks, 3, 2),
    "unwritten-vote": (unwritten_vote, 4, 4),
    "late-hold": (late_hold, 4, 4),
    "old-version": (old_version, 3, 2),
    "alone": (alone, 3, 3),
    "late-given": (late_answer, 3, 2),
    "asked-again": (asked_again, 3, 2),
    "two-rosters": (two_rosters, 4, 4),
    "one-is-clear": (one_is_clear, 4, 4),
    "stale-commit": (stale_commit, 4, 4),
    "stopped-before": (stopped_before, 3, 2),
}


def violated(name: str, govern: type[PolicyMember] = PolicyMember) -> str:
    """What the play of this name violated, "" if nothing."""
    play, members, seed = PLAYS[name]
    try:
        play(PolicyWorld(members, seed, govern))
    except Violation as violation:
        return str(violation)
    return ""
