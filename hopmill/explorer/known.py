"""Schedules that are known to be dangerous, written out, for chance finds them seldom.

Each is a play that a register has to survive, and that at least one planted fault does not. They are tried
before the random ones.
"""

from __future__ import annotations

from collections.abc import Callable

from hopmill.explorer.world import DRIFT, LEASE, LEASE_US, Member, Violation, World
from hopmill.fleet import document as doc
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.register import Register, replace_voter, say
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Accept, ChosenDocument, Prepare, Promise

MOST = 200  # things that a part of a play may take


def _only(world: World, kinds: tuple[type, ...], may: Callable[[str, str], bool] = lambda a, b: True) -> None:
    """Let messages of these kinds arrive, where they may, and disks write, until none is left."""
    for _ in range(MOST):
        for m in world.members.values():
            world._written(m, len(m.writes))
        at = next(
            (n for n, (a, b, body, _) in enumerate(world.net) if isinstance(body, kinds) and may(a, b)), -1
        )
        if at < 0:
            return
        world._deliver(at)


def _among(world: World, names: list[str], ticks: int = 4, wait_us: int = 0) -> None:
    """These go on as ever, the others stand still."""
    for _ in range(ticks):
        for name in names:
            world._tick(world.members[name])
            for other in names:
                world.members[other].register.note_version(
                    name, world.members[name].register.document.version
                )
        _only(world, (object,), lambda a, b: a in names and b in names)
        world.now += wait_us


def _act(world: World) -> None:
    for m in world.members.values():
        world._act(m)


def _holder(world: World) -> tuple[Member, Member, list[str]]:
    """(who holds the lease, who may take it later, all but the holder)."""
    for name in world.ids[1:]:
        world.members[name].register.lease_holders[LEASE].wanted = False
    for _ in range(20):
        world._calm()
        held = [
            m
            for m in world.members.values()
            if m.register.lease_holders[LEASE].fencing_token(m.clock(world.now))
        ]
        if (
            held
            and held[0].id == world.ids[0]
            and not any(m.register.proposer.pending for m in world.members.values())
        ):
            world.net.clear()
            return held[0], world.members[world.ids[1]], world.ids[1:]
        world.now += LEASE_US // 4
    raise AssertionError("nobody takes the lease")


def _tell(world: World, document: RegisterDocument, names: list[str]) -> None:
    """These hear that it was chosen."""
    for name in names:
        m = world.members[name]
        m.register.receive(name, ChosenDocument(doc.encode(document)), m.clock(world.now))
        m.register.lease_holders[LEASE].observe(m.clock(world.now), document)


def _rate(world: World, m: Member, rate: float) -> None:
    m.offset = m.clock(world.now) - int(world.now * rate)
    m.rate = rate


def late_answer(world: World) -> None:
    """The answers to a renewal come after the lease has run out and another has taken it."""
    holder, taker, others = _holder(world)
    world.now += LEASE_US // 2
    world._tick(holder)
    _only(world, (Prepare, Promise))
    _only(world, (Accept,))
    late = [row for row in world.net if row[1] == holder.id]
    world.net.clear()
    taker.register.lease_holders[LEASE].wanted = True
    _among(world, others, 12, LEASE_US // 2)  # it sees the renewal, waits, and takes it
    _act(world)
    world.net[:] = late
    _only(world, (object,), lambda a, b: b == holder.id)
    _act(world)


def two_clocks(world: World) -> None:
    """The holder's clock is slow and the next one's fast, both within the drift."""
    holder, taker, others = _holder(world)
    _rate(world, holder, 1 - 0.49 * DRIFT)
    _rate(world, taker, 1 + 0.49 * DRIFT)
    world.now += LEASE_US // 2
    world._calm()  # a renewal
    _tell(world, holder.register.document, others)
    taker.register.lease_holders[LEASE].wanted = True
    taker.register.proposer.round = 50  # its first ballot gets through
    world.now += int(0.9 * LEASE_US)
    _among(world, others)
    _act(world)
    _act(world)


def forgotten_promise(world: World) -> None:
    """A voter promises, loses its folder and is let in again, and the promise is then made use of."""
    voter, proposer = world.members["m0"], world.members["m3"]
    proposer.register.proposer.round = 50  # as after many refusals
    world._change(proposer, say("x", "old"))
    _only(world, (Prepare, Promise), lambda a, b: {a, b} == {"m0", "m3"})
    world.net.clear()
    voter.writes.clear()
    world._again(voter, Memory(), False)
    _among(world, ["m0", "m1", "m2"], 6, 350_000)
    world._change(world.members["m1"], say("x", "new"))
    _among(world, ["m0", "m1"])
    world.net.clear()
    _among(world, ["m2", "m3"], 4, 250_000)
    _only(world, (object,), lambda a, b: "m1" not in (a, b))


def lost_vote(world: World) -> None:
    """A voter's answer counts, and it ends before its disk has the vote."""
    world._calm()
    world._change(world.members["m0"], say("x", "1"))
    _only(world, (Prepare, Promise))
    world.stalled = "m1"
    _only(world, (object,), lambda a, b: "m2" not in (a, b))
    world.stalled = ""
    world.members["m1"].up = False
    world.members["m1"].writes.clear()
    world.net.clear()
    world._start(world.members["m1"])
    _among(world, ["m1", "m2"], 4, 350_000)
    world._change(world.members["m2"], say("x", "2"))
    _among(world, ["m1", "m2"], 4, 350_000)


def former_voter(world: World) -> None:
    """One that was a voter votes a change in, and those that still are know nothing of it."""
    world.members["m1"].register.proposer.round = 50  # its first ballot gets through
    world._change(world.members["m1"], replace_voter("m0", "m2"))
    _only(world, (Prepare, Promise))
    _among(world, ["m1", "m2"])
    world._change(world.members["m3"], say("x", "1"))
    _among(world, ["m0", "m3"], 4, 350_000)


# The play, how many members, and the seed of the world in which it begins.
PLAYS: dict[str, tuple[Callable[[World], None], int, int]] = {
    "late-answer": (late_answer, 3, 2),
    "two-clocks": (two_clocks, 3, 2),
    "forgotten-promise": (forgotten_promise, 4, 2),
    "lost-vote": (lost_vote, 3, 2),
    "former-voter": (former_voter, 4, 1),
}


def violated(name: str, register: type[Register] = Register) -> str:
    """What the play of this name violated, "" if nothing."""
    play, members, seed = PLAYS[name]
    try:
        play(World(members, seed, register, leases=play in (late_answer, two_clocks)))
    except Violation as violation:
        return str(violation)
    return ""
