"""Members in virtual time: beside the laboratory's couriers, or alone, to see how soon a dead one is known,
who is wrongly taken for dead, and the cost."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hopmill.fleet.node import DeleteTexts, Node, Stored, Write, WriteText
from hopmill.fleet.settings import Members, Other
from hopmill.fleet.swim import DEAD
from hopmill.lab.clock import Clock

DELAY_US = (200, 2_000)  # of a datagram
DISK_US = 2_000


@dataclass
class Plan:
    """Times in us. stops: (member's number, for how long, each how long)."""

    members: int = 60
    loss: float = 0.0
    seed: int = 1
    zones: int = 3
    leases: tuple[str, ...] = ()
    settings: dict[str, Any] = field(default_factory=dict)


def configurations(plan: Plan) -> list[Members]:
    ids = [f"c{n}" for n in range(plan.members)]
    rows = [
        Other(id=name, address=f"127.0.0.1:{20_000 + n}", zone=f"z{n % plan.zones}", region="r")
        for n, name in enumerate(ids)
    ]
    voters = tuple(ids[:5] if len(ids) >= 5 else ids[:3] if len(ids) >= 3 else ids[:1])
    return [
        Members(
            fleet="virtual",
            id=me.id,
            address=me.address,
            zone=me.zone,
            region=me.region,
            voters=voters,
            others=tuple(r for r in rows if r is not me),
            leases=plan.leases,
            **plan.settings,
        )
        for me in rows
    ]


class Fleet:
    """One clock for all; what each sees of the others goes through `passes` and a random delay."""

    def __init__(self, plan: Plan, clock: Clock | None = None) -> None:
        """clock: of a play that these members are part of, which then starts and ends them."""
        self.plan, self.chance = plan, random.Random(plan.seed)
        self.clock = clock or Clock()
        self.configs = configurations(plan)
        self.places = {c.address: n for n, c in enumerate(self.configs)}
        self.nodes: list[Node | None] = [None] * plan.members
        self.disks = [b""] * plan.members
        self.texts: list[dict[bytes, bytes]] = [{} for _ in range(plan.members)]
        self.stopped = [0] * plan.members  # until when
        self.timers = [0] * plan.members
        self.heard: list[tuple[int, str, str, str]] = []  # when, where, of whom, which state
        self.passes: Callable[[int, int], bool] = lambda a, b: True
        self.look: Callable[[int], None] = lambda n: None  # after all that happens at a member
        self.lives = 0
        self.bytes = self.datagrams = 0
        for n in range(plan.members if clock is None else 0):
            self.after(self.chance.randrange(100_000), self.start, n)

    @property
    def now(self) -> int:
        return self.clock.now

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> None:
        self.clock.after(delay, action, *args)

    def run(self, until: int) -> None:
        self.clock.run(until)

    def start(self, n: int) -> None:
        stored = msgspec.msgpack.decode(self.disks[n], type=Stored) if self.disks[n] else Stored()
        self.lives += 1
        self.nodes[n] = Node(
            self.configs[n],
            stored,
            bool(self.disks[n]),
            self.plan.seed * 7919 + self.lives,
            texts=dict(self.texts[n]),
        )
        self._pump(n)

    def kill(self, n: int) -> None:
        self.nodes[n] = None

    def figures(self) -> dict[str, Any]:
        """What a play is told of its members."""
        live = [node for node in self.nodes if node]
        return {
            "live": len(live),
            "versions": sorted({n.register.document.version for n in live}),
            "taken_for_dead": sum(
                p.state == DEAD and p.incarnation > 0 and self.nodes[m] is not None
                for node in live
                for p in node.swim.peers.values()
                for m in (int(p.id[1:]),)
            ),
            "datagrams": self.datagrams,
            "bytes": self.bytes,
        }

    def stop(self, n: int, lasts: int) -> None:
        """SIGSTOP; what comes meanwhile is read on waking."""
        self.stopped[n] = self.now + lasts

    def _later(self, n: int, action: Callable[..., None], *args: Any) -> bool:
        """Whether the member stands still: then this happens as it wakes."""
        if self.stopped[n] <= self.now:
            return False
        self.after(self.stopped[n] - self.now, action, *args)
        return True

    def _deliver(self, n: int, data: bytes) -> None:
        if self._later(n, self._deliver, n, data):
            return
        if node := self.nodes[n]:
            node.datagram(data, self.now)
            self._pump(n)

    def _written(self, n: int, node: Node, write: Write) -> None:
        if self._later(n, self._written, n, node, write):
            return
        if self.nodes[n] is node:
            self.disks[n] = write.state
            node.written(write, True, self.now)
            self._pump(n)

    def _text_written(self, n: int, node: Node, write: WriteText) -> None:
        if self._later(n, self._text_written, n, node, write):
            return
        if self.nodes[n] is node:
            self.texts[n][write.digest] = write.text
            node.text_written(write.digest, True, self.now)
            self._pump(n)

    def again(self, n: int) -> None:
        """Something was done with a member's objects from outside."""
        self.after(0, self._again, n)

    def _again(self, n: int) -> None:
        if self.nodes[n] and not self._later(n, self._again, n):
            self._pump(n)

    def _tick(self, n: int, timer: int) -> None:
        if timer != self.timers[n] or self._later(n, self._tick, n, timer):
            return
        if self.nodes[n]:
            self._pump(n)

    def _pump(self, n: int) -> None:
        node = self.nodes[n]
        assert node is not None
        due = node.tick(self.now)
        for action in node.take(self.now):
            if isinstance(action, Write):
                self.after(DISK_US, self._written, n, node, action)
                continue
            if isinstance(action, WriteText):
                self.after(DISK_US, self._text_written, n, node, action)
                continue
            if isinstance(action, DeleteTexts):
                continue  # the same text is put there again when it is needed
            self.datagrams += 1
            self.bytes += len(action.data)
            to = self.places[action.address]
            if self.chance.random() >= self.plan.loss and self.passes(n, to):
                self.after(self.chance.randrange(*DELAY_US), self._deliver, to, action.data)
        for change in node.take_member_changes():
            self.heard.append((self.now, node.settings.id, change.id, change.state))
        self.look(n)
        self.timers[n] += 1
        self.after(max(100, due - self.now), self._tick, n, self.timers[n])


def detection(plan: Plan, kills: int) -> dict[str, Any]:
    """Members are killed one after the other; times in ms until each live member knew."""
    fleet = Fleet(plan)
    fleet.run(3_000_000)
    took: list[int] = []
    whole: list[int] = []
    chance = random.Random(plan.seed + 17)
    for _ in range(kills):
        n = chance.randrange(plan.members)
        fleet.heard.clear()
        at = fleet.now + chance.randrange(100_000)
        fleet.run(at)
        fleet.kill(n)
        fleet.run(at + 8_000_000)
        victim = fleet.configs[n].id
        known = {
            where: when
            for when, where, who, state in reversed(fleet.heard)
            if who == victim and state == "dead"
        }
        times = [known.get(c.id, at + 60_000_000) - at for m, c in enumerate(fleet.configs) if m != n]
        took += times
        whole.append(max(times))
        fleet.start(n)
        fleet.run(fleet.now + 4_000_000)
    took.sort()
    whole.sort()
    return {
        "members": plan.members,
        "loss": plan.loss,
        "kills": kills,
        "p50_ms": took[len(took) // 2] // 1000,
        "p99_ms": took[int(len(took) * 0.99)] // 1000,
        "all_know_p50_ms": whole[len(whole) // 2] // 1000,
        "all_know_worst_ms": whole[-1] // 1000,
    }


def calm(
    plan: Plan, seconds: float, stop_us: int = 0, every_us: int = 10_000_000, after_us: int = 3_000_000
) -> dict[str, Any]:
    """Nobody dies; one member is stopped for stop_us in each every_us. What is said of anybody, the cost."""
    fleet = Fleet(plan)
    fleet.run(after_us)
    fleet.heard.clear()
    fleet.datagrams = fleet.bytes = 0
    began, until = fleet.now, fleet.now + int(seconds * 1e6)
    while fleet.now < until:
        if stop_us:
            fleet.stop(0, stop_us)
        fleet.run(min(until, fleet.now + every_us))
    lasted = (fleet.now - began) / 1e6 * plan.members
    return {
        "members": plan.members,
        "loss": plan.loss,
        "seconds": seconds,
        "false_deaths": sum(state == "dead" for *_, state in fleet.heard),
        "suspected": sum(state == "suspect" for *_, state in fleet.heard),
        "datagrams_s": round(fleet.datagrams / lasted, 1),
        "bytes_s": round(fleet.bytes / lasted),
    }
