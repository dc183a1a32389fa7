"""The explorer's world with a policy: couriers act under leases on its versions while changes are made.

What is judged is what was done and when, by one clock: acts (who, under which version and text) and what each
change was said to have become.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from hopmill.explorer.checker import Checker, Violation
from hopmill.explorer.world import DRIFT, LEASE_US, Found, Member, World
from hopmill.fleet.govern import POLICY_BODIES, PolicyMember
from hopmill.fleet.register import Register
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Body

STEPS = 110  # of a random schedule
REFUSED = b"not here"  # a text that begins so is refused by the member that it goes on to name
SETTLED_US, ROUND_US = 30_000_000, 15_000  # after a schedule all is well, and within so long all has ended


class Acts(Checker):
    """On top of the register's: the promise of policy changes."""

    def __init__(self) -> None:
        super().__init__()
        self.few: dict[int, set[str]] = {}  # of staged versions
        self.of_few = 0  # the highest that one of its few has acted under
        self.version, self.texts, self.said = 0, dict[int, bytes](), dict[str, int]()

    def staged(self, version: int, few: set[str]) -> None:
        """For a while these few are to go by it, and the others by the one before."""
        if self.few.setdefault(version, few) != few:
            raise Violation(f"version {version} is staged at {few} and at {self.few[version]}")

    def acted(self, who: str, version: int, text: bytes) -> None:
        """The highest version that binds this courier is known by now: a staged one binds the others only
        once one of them has acted under it."""
        bound = max(self.version, self.of_few if who in self.few.get(self.of_few, ()) else 0)
        if version < bound:
            raise Violation(f"{who} acts under version {version} after another did under {bound}")
        if who in self.few.get(version, ()) and version > self.version:
            self.of_few = max(self.of_few, version)
        else:
            self.version = max(version, self.version)
        if self.texts.setdefault(version, text) != text:
            raise Violation(f"version {version} is two policies")

    def became(self, change: str, version: int) -> None:
        if self.said.setdefault(change, version) != version:
            raise Violation(f"change {change} became version {self.said[change]} and {version}")


class Governed(Register):
    """A register that passes on what is the policy's; the world sets `govern`."""

    govern: PolicyMember | None = None

    def receive(self, sender: str, body: Body, now: int) -> None:
        if not isinstance(body, POLICY_BODIES):
            super().receive(sender, body, now)
        elif self.govern:
            self.govern.receive(sender, body, now)

    def tick(self, now: int) -> int:
        due = super().tick(now)
        return min(due, self.govern.tick(now)) if self.govern else due

    def take(self, now: int) -> list[Any]:
        return [*super().take(now), *(self.govern.take() if self.govern else [])]


class PolicyWorld(World):
    """`govern`: the part that is tried, perhaps with a fault planted."""

    def __init__(self, members: int, seed: int, govern: type[PolicyMember] = PolicyMember) -> None:
        self.kind, self.last = govern, seed % 4 == 3
        self.disks: dict[str, dict[bytes, bytes]] = {}  # texts
        self.names = [f"m{n}" for n in range(members)]
        self.founded = False
        super().__init__(members, seed, Governed, leases=False)
        self.checker: Acts = Acts()
        self.founded = True

    def _register(self, m: Member, memory: Memory, same: bool) -> Register:
        register = super()._register(m, memory, same)
        assert isinstance(register, Governed)
        others = [name for name in self.names if name != m.id]
        register.govern = self.kind(
            m.id,
            m.life,
            register,
            random.Random(self.chance.random()),
            LEASE_US,
            DRIFT,
            self.last,
            self.names,
            lambda: others,
            dict(self.disks.setdefault(m.id, {})),
        )
        return register

    def _moves(self) -> list[tuple[Callable[[Member, int], None], int]]:
        return [
            *super()._moves(),
            (self._offer, 14),
            (self._strike, 1),
            (lambda m, arg: self._ahead(arg), 24),
        ]

    def _ahead(self, arg: int) -> None:
        """Some steps of a change with nothing going wrong."""
        for _ in range(1 + arg % 6):
            self._calm()
            self.now += ROUND_US

    def _offer(self, m: Member, arg: int) -> None:
        """A change; now and then one that a member refuses, and one that was offered already."""
        if not m.up:
            return
        govern = self._govern(m)
        if arg % 11 == 10:
            govern.withdraw(f"p{self.proposed}", m.clock(self.now))
            self._emit(m)
            return
        self.proposed += arg % 8 != 7
        ident = f"p{self.proposed}"
        text = f"policy {ident}".encode()
        if arg % 5 == 4:
            text = REFUSED + f" {self.ids[arg // 5 % len(self.ids)]} {ident}".encode()
        base = m.register.document.policy.version
        share = 0.5 if arg // 40 % 3 == 0 else 1.0
        govern.propose(ident, text, base, m.clock(self.now), lambda outcome: None, share, 50)
        self._emit(m)

    def _strike(self, m: Member, arg: int) -> None:
        """Staff strike off one that is down; or let back one that was struck."""
        down = [x.id for x in self.members.values() if not x.up]
        struck = m.register.document.policy.cancelled_members
        if m.up and (struck if arg % 2 else down):
            name = (struck if arg % 2 else down)[0]
            if arg % 2 or not self.members[name].up:
                self._govern(m).cancel_member(name, arg % 2 == 0, m.clock(self.now), lambda outcome: None)
                self._emit(m)

    @staticmethod
    def _govern(m: Member) -> PolicyMember:
        assert isinstance(m.register, Governed) and m.register.govern is not None
        return m.register.govern

    # What the courier around it does

    def _emit(self, m: Member) -> None:
        self._set_up(m)
        super()._emit(m)

    def _set_up(self, m: Member) -> None:
        if not self.founded:
            return
        govern, p = self._govern(m), m.register.document.policy
        store = govern.texts
        digest, version = p.digest_for(m.id), p.version_for(m.id)
        if version != govern.lease.applied_version and (not digest or digest in store.by_digest):
            govern.lease.set_applied_version(version)
        if (
            p.change
            and p.change.id != govern.lease.ready_for
            and (not p.change.digest or p.change.digest in store.by_digest)
        ):
            text = store.by_digest.get(p.change.digest, b"")
            refused = text.startswith(REFUSED) and m.id in text.decode().split()
            govern.lease.report_check(p.change.id, "no" if refused else "")

    def _written(self, m: Member, count: int) -> None:
        if m.id == self.stalled:
            return
        if self.founded and (self._govern(m).texts.writes or self._govern(m).deletable_texts):
            store = self._govern(m).texts
            for digest in self._govern(m).deletable_texts:  # in the order in which a node has them done
                self.disks[m.id].pop(digest, None)
            self._govern(m).deletable_texts = set()
            for digest, text in store.writes:
                self.disks[m.id][digest] = text
                store.written(digest, True)
            if store.writes:
                store.writes = []
                m.register.on_texts_stored(m.clock(self.now))
        super()._written(m, count)

    def _lose_folder(self, m: Member) -> None:
        super()._lose_folder(m)
        self.disks[m.id] = {}

    def _all_well(self, m: Member) -> bool:
        """One voter at a time, those included that a change which is under way names; and one that lost its
        folder is whole again once it has its texts, too."""
        every = list(self.members.values())
        there = set[str]().union(
            *(
                x.register.document.all_voters | self._govern(x).grantor.accepted_document().all_voters
                for x in every
            )
        )
        return super()._all_well(m) and all(
            x.register.voter.is_voting
            and self._govern(x).grantor.accepted_document().policy.texts <= set(self.disks[x.id])
            for x in every
            if x.id in there
        )

    def _act(self, m: Member) -> None:
        if not m.up:
            return
        govern = self._govern(m)
        p = m.register.document.policy
        for ended in p.ended:
            self.checker.became(ended.id, ended.version)
        version = govern.lease.valid_version(m.clock(self.now))
        if version >= 0:
            self.acts += 1
            if p.stage:
                self.checker.staged(p.stage.version, {n for n in self.names if p.stage.canary.includes(n)})
            self.checker.acted(m.id, version, govern.texts.by_digest.get(p.digest_for(m.id), b""))

    # The end: all is well again, and every change has an end

    def settle(self) -> None:
        self.closed, self.stalled = (lambda a, b: False), ""
        for m in self.members.values():
            if not m.up:
                memory = msgspec.msgpack.decode(m.disk, type=Memory) if m.disk else Memory()
                self._again(m, memory, bool(m.disk))
        until = self.now + SETTLED_US
        while self.now < until:
            self._calm()
            for m in self.members.values():
                self._act(m)
            self.now += ROUND_US
            documents = [m.register.document for m in self.members.values()]
            if all(d.policy == documents[0].policy for d in documents) and not (
                documents[0].policy.change or documents[0].policy.stage
            ):
                struck = documents[0].policy.cancelled_members
                if all(
                    self._govern(m).lease.valid_version(m.clock(self.now)) >= 0
                    for m in self.members.values()
                    if m.id not in struck
                ):
                    return
        p = self.members["m0"].register.document.policy
        raise Violation(
            f"all is well for {SETTLED_US / 1e6:g} s, and the change has no end, or somebody may not act: {p}"
        )


def run(choices: list[int], members: int, seed: int, govern: type[PolicyMember] = PolicyMember) -> str:
    """What was violated, "" if nothing."""
    world = PolicyWorld(members, seed, govern)
    try:
        for choice in choices:
            world.step(choice)
        if seed % 4 == 0:
            world.settle()
    except Violation as violation:
        return str(violation)
    return ""


def schedule(seed: int) -> list[int]:
    chance = random.Random(seed * 2654435761 + 7)
    return [chance.randrange(10**7) for _ in range(STEPS)]


def explore(
    schedules: int, first: int, members: int, govern: type[PolicyMember] = PolicyMember
) -> tuple[int, list[Found]]:
    """(schedules run, the first that violates something)."""
    for count, seed in enumerate(range(first, first + schedules), 1):
        choices = schedule(seed)
        if said := run(choices, members, seed, govern):
            return count, [Found(seed, said, choices)]
    return schedules, []
