"""What goes wrong: outages of partners, zones and discovery, and the fleet's own deaths and restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hopmill.lab import partners as p
from hopmill.lab.chance import Pool, stream
from hopmill.lab.scenario import ScenarioError, Trouble

if TYPE_CHECKING:
    from hopmill.lab.courier import CourierModel
    from hopmill.lab.world import World

READY_US = 1_500_000  # after a restart no end is overdue for so long
DEAF_US = 400_000  # new clients come for so long after a SIGTERM


class Troubles:
    """Draws who is struck, once, and sets its times on the clock."""

    def __init__(self, world: World) -> None:
        self.world, self.clock = world, world.clock
        self.excused: dict[int, int] = {}  # couriers that owe no end until then
        self.planned: dict[int, int] = {}  # and those that come back after SIGTERM, when
        self.silent_until = 0  # discovery
        self.news = Pool(stream(world.seed, "news"))
        length = world.scenario.seconds * 1e6
        for at, trouble in enumerate(world.scenario.troubles):
            chance = stream(world.seed, f"trouble {at}")
            start = int(trouble.at * length)
            begin = {
                "zone_cut": self._zone_cut,
                "deploy": self._deploy,
                "kill": self._kill,
                "join": self._join,
                "discovery_silent": self._discovery_silent,
                "restart": self._restart,
            }
            begin.get(trouble.kind, self._outage)(trouble, chance, start)

    # Partners

    def _targets(self, t: Trouble, chance: Any) -> list[p.Target]:
        """As many as get about that part of the messages; of one kind or zone where the scenario asks."""
        world = self.world
        rows = [
            (partner.share / len(partner.targets), target, partner, n)
            for partner in world.partners
            for n, target in enumerate(partner.targets)
        ]
        if t.kind == "limit":
            rows = [r for r in rows if r[1].limit.per_s] or rows
        if t.by == "kind":
            kind = int(chance.integers(len(world.scenario.kinds)))
            rows = [r for r in rows if r[2].kind == kind] or rows
        if t.by == "zone":
            zone = int(chance.integers(world.scenario.net.zones))
            rows = [
                r for r in rows if any(e.zone == zone and e.target is r[1] for e in r[2].endpoints)
            ] or rows
        struck, total = [], 0.0
        for at in chance.permutation(len(rows)).tolist():
            share = rows[at][0]
            if total + share <= t.part or not struck:
                struck.append(rows[at][1])
                total += share
            if total >= t.part:
                break
        return struck

    def _outage(self, t: Trouble, chance: Any, start: int) -> None:
        end = start + int(t.len_ms * 1e3)
        for target in self._targets(t, chance):
            self.clock.at(start, self._strike, target, t, end)
            self.clock.at(end, self._heal, target, t)

    def _strike(self, target: p.Target, t: Trouble, end: int) -> None:
        target.strike(t.kind, t.size, end)
        if t.kind == "down":
            self._reset(target)

    def _heal(self, target: p.Target, t: Trouble) -> None:
        target.heal(self.clock.now, t.kind)
        if t.kind == "silent":
            self._reset(target)

    def _reset(self, target: p.Target) -> None:
        for endpoint in self.world.endpoints.values():
            if endpoint.target is target:
                for courier in self.world.couriers:
                    courier.calls.reset_by(endpoint)

    def _zone_cut(self, t: Trouble, chance: Any, start: int) -> None:
        zone = int(chance.integers(self.world.scenario.net.zones))
        struck = [e for e in self.world.endpoints.values() if e.zone == zone]
        self.clock.at(start, self._cut, struck, True)
        self.clock.at(start + int(t.len_ms * 1e3), self._cut, struck, False)

    def _cut(self, struck: list[p.Endpoint], on: bool) -> None:
        for endpoint in struck:
            endpoint.cut = on
            if not on:
                for courier in self.world.couriers:
                    courier.calls.reset_by(endpoint)

    # The list

    def _deploy(self, t: Trouble, chance: Any, start: int) -> None:
        """Endpoints drain and go, one after the other, and others come in their place."""
        every = list(self.world.endpoints)
        chosen = chance.permutation(every)[: max(1, round(t.part * len(every)))].tolist()
        for n, number in enumerate(chosen):
            at = start + int(t.len_ms * 1e3 * n / len(chosen))
            self.clock.at(at, self._replace, number)

    def _replace(self, number: int) -> None:
        world = self.world
        old = world.endpoints[number]
        fresh = max(world.endpoints) + 1
        endpoint = p.Endpoint(
            fresh,
            old.partner,
            old.zone,
            old.target,
            old.workers,
            old.queue_size,
            old.table,
            self.clock,
            Pool(stream(world.seed, f"endpoint {fresh}")),
        )
        world.endpoints[fresh] = endpoint
        world.lanes[fresh] = fresh if old.target.kind.routes_apart else -old.partner
        world.partners[old.partner - 1].endpoints.append(endpoint)
        old.state = "draining"
        self.tell([number, fresh])
        self.clock.after(2_000_000, self._leave, old)

    def _leave(self, endpoint: p.Endpoint) -> None:
        endpoint.state = "gone"
        for courier in self.world.couriers:
            courier.calls.reset_by(endpoint)
        self.tell([endpoint.number])

    def tell(self, numbers: list[int]) -> None:
        """Discovery's news, to each courier in its own time; held back while discovery is silent."""
        d, entries = self.world.scenario.discovery, [self.world.entry(n) for n in numbers]
        for courier in self.world.couriers:
            late = int((d.notice_ms + d.spread_ms * self.news.uniform()) * 1e3)
            self.clock.at(max(self.clock.now, self.silent_until) + late, courier.listed, entries)

    def _discovery_silent(self, t: Trouble, chance: Any, start: int) -> None:
        self.clock.at(start, setattr, self, "silent_until", start + int(t.len_ms * 1e3))

    # The fleet

    def _couriers(self, t: Trouble, chance: Any) -> list[CourierModel]:
        every = self.world.couriers
        count = max(1, round(t.part * len(every)))
        if count >= len(every) and t.kind == "kill" and t.len_ms >= self.world.scenario.seconds * 1e3:
            raise ScenarioError(f"troubles: no courier is left alive by {t.kind}")
        return [every[n] for n in chance.permutation(len(every))[:count].tolist()]

    def _kill(self, t: Trouble, chance: Any, start: int) -> None:
        """At once, with their folders kept."""
        for courier in self._couriers(t, chance):
            self.clock.at(start, self._dies, courier, start + int(t.len_ms * 1e3))

    def _dies(self, courier: CourierModel, back: int) -> None:
        if not courier.alive:
            return
        courier.kill()
        self._down(courier, back)

    def _down(self, courier: CourierModel, back: int) -> None:
        s = self.world.scenario
        self.excused[courier.number] = back + READY_US
        self.clock.after(int(s.front.notice_ms * 1e3), self._noticed, courier)
        self.clock.at(back, self._comes_back, courier)

    def _noticed(self, courier: CourierModel) -> None:
        self.world.clients.front.believed[courier.number] = courier.listening

    def _comes_back(self, courier: CourierModel) -> None:
        if not courier.alive:
            courier.start()
            self.world.clients.front.believed[courier.number] = True

    def _restart(self, t: Trouble, chance: Any, start: int) -> None:
        """In steps of a tenth: SIGTERM, every second one SIGKILL."""
        chosen = self._couriers(t, chance)
        for n, courier in enumerate(chosen):
            at = start + int(t.len_ms * 1e3 * (n * 10 // len(chosen)) / 10)
            back = int(self.world.scenario.fleet.back_ms * 1e3)
            if n % 2:
                self.clock.at(at, self._dies, courier, at + back)
            else:
                self.clock.at(at, self._terminates, courier, back)

    def _terminates(self, courier: CourierModel, back: int) -> None:
        if not courier.alive:
            return
        self.planned[courier.number] = back
        self.excused[courier.number] = self.clock.now + 10_000_000
        self.clock.after(DEAF_US, self._noticed, courier)
        courier.terminate()

    def ended(self, courier: CourierModel) -> None:
        self._down(courier, self.clock.now + self.planned.pop(courier.number, 0))

    def _join(self, t: Trouble, chance: Any, start: int) -> None:
        """Couriers that were away from the start on join."""
        for courier in self._couriers(t, chance):
            self.clock.at(30_000, self._dies, courier, start)
