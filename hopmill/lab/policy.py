"""The fleet's policy in the laboratory: couriers act under leases on it, and staff change it now and then.

What a courier's host does with it is hopmill/net/in_force.py; here the same is done in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill.lab.chance import Pool, stream

if TYPE_CHECKING:
    from hopmill.lab.calls import Held
    from hopmill.lab.world import World

WAIT_US = 500_000  # clients wait so long for a change to be over
Reply = Callable[[str, int], None]


class FleetPolicy:
    """One owner of who may act, for all couriers of a play."""

    def __init__(self, world: World, every_s: float) -> None:
        """every_s: between two changes; 0: none."""
        self.world, self.fleet, self.every_us = world, world.members, int(every_s * 1e6)
        count = len(world.couriers)
        self.holding = [True] * count
        self.waiting: list[list[tuple[int, Held, Reply]]] = [[] for _ in range(count)]
        self.chance = Pool(stream(world.seed, "policy"))
        self.proposed = self.pauses = self.paused_us = self.longest_us = 0
        self.since = [0] * count
        assert self.fleet is not None
        self.fleet.look = self.look
        if self.every_us:
            world.clock.after(self.every_us, self._change)

    def _govern(self, n: int) -> Any:
        assert self.fleet is not None
        node = self.fleet.nodes[n]
        return node.policy_member if node else None

    def started(self, n: int) -> None:
        self.holding[n] = True
        self.since[n] = self.world.clock.now
        self.world.couriers[n].tell(self.world.dialect.make("Hold", on=True))

    def ended(self, n: int) -> None:
        waiting, self.waiting[n] = self.waiting[n], []
        for _, _, reply in waiting:
            reply("gone", 0)

    def look(self, n: int) -> None:
        govern = self._govern(n)
        p, held = govern.register.document.policy, govern.texts.by_digest
        version, digest = p.version_for(govern.me), p.digest_for(govern.me)
        if version != govern.lease.applied_version and (not digest or digest in held):
            courier = self.world.couriers[n]
            courier.tell(self.world.dialect.make("PolicySet", settings=courier.settings))
            govern.lease.set_applied_version(version)
            self.fleet.again(n)  # type: ignore[union-attr]
        if p.change and p.change.id != govern.lease.ready_for and p.change.digest in held:
            govern.lease.report_check(p.change.id)
            self.fleet.again(n)  # type: ignore[union-attr]
        holds = govern.lease.valid_version(self.world.clock.now) < 0
        if holds is not self.holding[n]:
            self._hold(n, holds)

    def _hold(self, n: int, on: bool) -> None:
        now, courier = self.world.clock.now, self.world.couriers[n]
        self.holding[n] = on
        courier.tell(self.world.dialect.make("Hold", on=on))
        if on:
            self.since[n] = now
            return
        if self.proposed:
            self.pauses += 1
            self.paused_us += now - self.since[n]
            self.longest_us = max(self.longest_us, now - self.since[n])
        waiting, self.waiting[n] = self.waiting[n], []
        for _, m, reply in waiting:
            courier.put(m, reply)

    def wait(self, n: int, m: Held, reply: Reply) -> None:
        """A message that came while its courier may not act."""
        self.waiting[n].append((self.world.clock.now, m, reply))
        self.world.clock.after(WAIT_US, self._turn_away, n, m)

    def _turn_away(self, n: int, m: Held) -> None:
        for at, (_, waits, reply) in enumerate(self.waiting[n]):
            if waits is m:
                del self.waiting[n][at]
                reply("refused", self.world.couriers[n].module.come_back_us())
                return

    def _change(self) -> None:
        self.world.clock.after(self.every_us, self._change)
        n = int(self.chance.uniform() * len(self.world.couriers))
        govern = self._govern(n)
        if govern is None:
            return
        self.proposed += 1
        text = f"policy {self.proposed}".encode()
        govern.propose(
            f"p{self.proposed}",
            text,
            govern.register.document.policy.version,
            self.world.clock.now,
            lambda outcome: None,
        )
        self.fleet.again(n)  # type: ignore[union-attr]

    def figures(self) -> dict[str, Any]:
        """Times in ms; a pause is one courier's."""
        versions = [
            govern.lease.applied_version for n in range(len(self.holding)) if (govern := self._govern(n))
        ]
        return {
            "proposed": self.proposed,
            "version": max(versions, default=0),
            "pauses": self.pauses,
            "mean_pause_ms": round(self.paused_us / 1e3 / max(1, self.pauses), 1),
            "longest_pause_ms": round(self.longest_us / 1e3, 1),
        }
