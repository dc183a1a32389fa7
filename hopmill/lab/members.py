"""Fleet members in virtual time: beside the simulated couriers, or alone.

Alone they measure how soon a dead member is detected, false detections, and the cost of the protocol.
"""

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

DATAGRAM_DELAY_US = (200, 2_000)  # random, from the first to the second
DISK_WRITE_US = 2_000


@dataclass
class Plan:
    """A fleet to simulate. loss: share of datagrams lost."""

    members: int = 60
    loss: float = 0.0
    seed: int = 1
    zones: int = 3
    leases: tuple[str, ...] = ()
    settings: dict[str, Any] = field(default_factory=dict)


def member_settings(plan: Plan) -> list[Members]:
    """The settings of each member. The first five, three or one of them vote."""
    ids = [f"c{n}" for n in range(plan.members)]
    rows = [
        Other(id=name, address=f"127.0.0.1:{20_000 + n}", zone=f"z{n % plan.zones}", region="r")
        for n, name in enumerate(ids)
    ]
    voters = tuple(ids[:5] if len(ids) >= 5 else ids[:3] if len(ids) >= 3 else ids[:1])
    return [
        Members(
            fleet="virtual",
            id=own.id,
            address=own.address,
            zone=own.zone,
            region=own.region,
            voters=voters,
            others=tuple(r for r in rows if r is not own),
            leases=plan.leases,
            **plan.settings,
        )
        for own in rows
    ]


class Fleet:
    """Members on one clock. Datagrams have a random delay and pass where `is_reachable` allows it."""

    def __init__(self, plan: Plan, clock: Clock | None = None) -> None:
        """clock: of the simulation that these members are part of, which then starts and kills them."""
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.clock = clock or Clock()
        self.configs = member_settings(plan)
        self.index_by_address = {c.address: member for member, c in enumerate(self.configs)}
        self.nodes: list[Node | None] = [None] * plan.members
        self.disks = [b""] * plan.members
        self.texts: list[dict[bytes, bytes]] = [{} for _ in range(plan.members)]
        self.paused_until_us = [0] * plan.members
        self.timer_numbers = [0] * plan.members
        # (time in us, observing member, member concerned, its state)
        self.observed_changes: list[tuple[int, str, str, str]] = []
        self.is_reachable: Callable[[int, int], bool] = lambda a, b: True
        self.on_activity: Callable[[int], None] = lambda member: None  # called after each change at a member
        self.starts = 0
        self.bytes = self.datagrams = 0
        for member in range(plan.members if clock is None else 0):
            self.after(self.rng.randrange(100_000), self.start, member)

    @property
    def now(self) -> int:
        """The virtual time in us."""
        return self.clock.now

    def after(self, delay: int, action: Callable[..., None], *args: Any) -> None:
        """Runs an action after a delay in us."""
        self.clock.after(delay, action, *args)

    def run(self, until: int) -> None:
        """Runs all events until that time in us."""
        self.clock.run(until)

    def start(self, member: int) -> None:
        """Starts a member with what its disk holds."""
        stored = msgspec.msgpack.decode(self.disks[member], type=Stored) if self.disks[member] else Stored()
        self.starts += 1
        self.nodes[member] = Node(
            self.configs[member],
            stored,
            bool(self.disks[member]),
            self.plan.seed * 7919 + self.starts,
            texts=dict(self.texts[member]),
        )
        self._pump(member)

    def kill(self, member: int) -> None:
        """Ends a member at once; its disk stays."""
        self.nodes[member] = None

    def summary(self) -> dict[str, Any]:
        """The members' part of a run's result."""
        live = [node for node in self.nodes if node]
        return {
            "live": len(live),
            "versions": sorted({n.register.document.version for n in live}),
            "taken_for_dead": sum(
                peer.state == DEAD and peer.incarnation > 0 and self.nodes[member] is not None
                for node in live
                for peer in node.swim.peers.values()
                for member in (int(peer.id[1:]),)
            ),
            "datagrams": self.datagrams,
            "bytes": self.bytes,
        }

    def pause(self, member: int, duration_us: int) -> None:
        """SIGSTOP for a duration in us; what arrives meanwhile is handled on waking."""
        self.paused_until_us[member] = self.now + duration_us

    def _defer_while_paused(self, member: int, action: Callable[..., None], *args: Any) -> bool:
        """True if the member is paused: the action then runs when it wakes."""
        if self.paused_until_us[member] <= self.now:
            return False
        self.after(self.paused_until_us[member] - self.now, action, *args)
        return True

    def _deliver(self, member: int, data: bytes) -> None:
        if self._defer_while_paused(member, self._deliver, member, data):
            return
        if node := self.nodes[member]:
            node.datagram(data, self.now)
            self._pump(member)

    def _written(self, member: int, node: Node, write: Write) -> None:
        if self._defer_while_paused(member, self._written, member, node, write):
            return
        if self.nodes[member] is node:
            self.disks[member] = write.state
            node.written(write, True, self.now)
            self._pump(member)

    def _text_written(self, member: int, node: Node, write: WriteText) -> None:
        if self._defer_while_paused(member, self._text_written, member, node, write):
            return
        if self.nodes[member] is node:
            self.texts[member][write.digest] = write.text
            node.text_written(write.digest, True, self.now)
            self._pump(member)

    def schedule_pump(self, member: int) -> None:
        """Lets a member act on a change that was made to its objects from outside."""
        self.after(0, self._pump_scheduled, member)

    def _pump_scheduled(self, member: int) -> None:
        if self.nodes[member] and not self._defer_while_paused(member, self._pump_scheduled, member):
            self._pump(member)

    def _tick(self, member: int, timer_number: int) -> None:
        if timer_number != self.timer_numbers[member] or self._defer_while_paused(
            member, self._tick, member, timer_number
        ):
            return
        if self.nodes[member]:
            self._pump(member)

    def _pump(self, member: int) -> None:
        node = self.nodes[member]
        assert node is not None
        next_tick_us = node.tick(self.now)
        for action in node.take(self.now):
            if isinstance(action, Write):
                self.after(DISK_WRITE_US, self._written, member, node, action)
                continue
            if isinstance(action, WriteText):
                self.after(DISK_WRITE_US, self._text_written, member, node, action)
                continue
            if isinstance(action, DeleteTexts):
                continue  # a later write stores the same text again if it is needed
            self.datagrams += 1
            self.bytes += len(action.data)
            receiver = self.index_by_address[action.address]
            if self.rng.random() >= self.plan.loss and self.is_reachable(member, receiver):
                self.after(self.rng.randrange(*DATAGRAM_DELAY_US), self._deliver, receiver, action.data)
        for change in node.take_member_changes():
            self.observed_changes.append((self.now, node.settings.id, change.id, change.state))
        self.on_activity(member)
        self.timer_numbers[member] += 1
        self.after(max(100, next_tick_us - self.now), self._tick, member, self.timer_numbers[member])


def measure_detection(plan: Plan, kills: int) -> dict[str, Any]:
    """Kills members one after the other. Times in ms until each live member knew."""
    fleet = Fleet(plan)
    fleet.run(3_000_000)
    detection_us: list[int] = []
    all_informed_us: list[int] = []
    rng = random.Random(plan.seed + 17)
    for _ in range(kills):
        member = rng.randrange(plan.members)
        fleet.observed_changes.clear()
        killed_us = fleet.now + rng.randrange(100_000)
        fleet.run(killed_us)
        fleet.kill(member)
        fleet.run(killed_us + 8_000_000)
        victim = fleet.configs[member].id
        noticed_us = {
            where: when
            for when, where, who, state in reversed(fleet.observed_changes)
            if who == victim and state == "dead"
        }
        times = [
            noticed_us.get(c.id, killed_us + 60_000_000) - killed_us
            for index, c in enumerate(fleet.configs)
            if index != member
        ]
        detection_us += times
        all_informed_us.append(max(times))
        fleet.start(member)
        fleet.run(fleet.now + 4_000_000)
    detection_us.sort()
    all_informed_us.sort()
    return {
        "members": plan.members,
        "loss": plan.loss,
        "kills": kills,
        "p50_ms": detection_us[len(detection_us) // 2] // 1000,
        "p99_ms": detection_us[int(len(detection_us) * 0.99)] // 1000,
        "all_know_p50_ms": all_informed_us[len(all_informed_us) // 2] // 1000,
        "all_know_worst_ms": all_informed_us[-1] // 1000,
    }


def measure_false_alarms(
    plan: Plan, seconds: float, pause_us: int = 0, every_us: int = 10_000_000, after_us: int = 3_000_000
) -> dict[str, Any]:
    """Kills nobody and counts who is suspected or declared dead all the same, and the cost.

    pause_us: one member is paused so long in each every_us; after_us: time before the measurement starts.
    """
    fleet = Fleet(plan)
    fleet.run(after_us)
    fleet.observed_changes.clear()
    fleet.datagrams = fleet.bytes = 0
    started_us, end_us = fleet.now, fleet.now + int(seconds * 1e6)
    while fleet.now < end_us:
        if pause_us:
            fleet.pause(0, pause_us)
        fleet.run(min(end_us, fleet.now + every_us))
    member_seconds = (fleet.now - started_us) / 1e6 * plan.members
    return {
        "members": plan.members,
        "loss": plan.loss,
        "seconds": seconds,
        "false_deaths": sum(state == "dead" for *_, state in fleet.observed_changes),
        "suspected": sum(state == "suspect" for *_, state in fleet.observed_changes),
        "datagrams_s": round(fleet.datagrams / member_seconds, 1),
        "bytes_s": round(fleet.bytes / member_seconds),
    }
