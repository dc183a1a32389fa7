"""Clients, and the account of what became of their messages."""

from __future__ import annotations

import bisect
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy as np

from hopmill.lab.chance import Pool, lognormal, stream, zipf_weights
from hopmill.lab.calls import Held

if TYPE_CHECKING:
    from hopmill.lab.world import World

ATTEMPTS = 6  # whose work is drawn ahead for each message
NOISE_CV = 0.25  # of an attempt's work, around its message's


@dataclass
class Origin:
    """What a client wants delivered, however often it is handed in. Times in us."""

    number: int
    born: int
    cls: int
    tenant: int
    dest: int
    where: float  # from 0 to 1, over the couriers' shares
    works: tuple[float, ...]
    worth: float
    habits: tuple[float, ...] = ()  # uniforms that decide what this client does
    tries: int = 0
    courier: int = 0  # that it was handed in at last
    delivered_at: int = -1
    fate: str = ""  # of its last handing in
    refused_by: Counter[str] = field(default_factory=Counter)


class Clients:
    """Arrivals are drawn ahead, so they are the same for every build."""

    def __init__(self, world: World) -> None:
        self.world, self.s = world, world.scenario
        self.origins: list[Origin] = []
        self.numbers = 0
        self.handed_in: Counter[int] = Counter()  # by courier
        self.chance = Pool(stream(world.seed, "clients"))
        self.front = Front(world)
        self._draw()

    # What comes

    def _draw(self) -> None:
        s, seed = self.s, self.world.seed
        load, length = s.load, s.seconds
        chance = stream(seed, "arrivals")
        count = chance.poisson(load.rate_per_s * load.factor * load.burst * length)
        times = np.sort(chance.random(count) * length)
        inside = (times >= load.burst_from * length) & (times < load.burst_to * length)
        times = times[inside | (chance.random(count) < 1 / load.burst)]
        n = len(times)
        shares = np.array([p.share for p in self.world.partners])
        dests = stream(seed, "destinations").choice(len(shares), n, p=shares / shares.sum())
        self._clump(times, dests)
        weights = np.array([c.share for c in s.classes])
        classes = stream(seed, "classes").choice(len(weights), n, p=weights / weights.sum())
        tenants = np.zeros(n, int)
        if s.tenants:
            parts = np.array([t.share for t in s.tenants])
            tenants = stream(seed, "tenants").choice(len(parts), n, p=parts / parts.sum())
        where, habits = stream(seed, "couriers").random(n), stream(seed, "habits").random((n, 4))
        noise = lognormal(stream(seed, "attempts"), 1.0, NOISE_CV, n * ATTEMPTS).reshape(n, ATTEMPTS)
        base = stream(seed, "work").standard_normal(n)
        quota = [[t.quota, 0.0, 0.0] for t in s.tenants]
        order = np.argsort(times, kind="stable")
        for at in order.tolist():
            c = s.classes[classes[at]]
            sigma = float(np.sqrt(np.log(1 + c.cv * c.cv)))
            work = c.work_ms * 1e3 * float(np.exp(sigma * base[at] - sigma * sigma / 2))
            worth = c.worth * self._within(quota, int(tenants[at]), float(times[at]))
            self.origins.append(
                Origin(
                    len(self.origins),
                    int(times[at] * 1e6),
                    int(classes[at]),
                    int(tenants[at]),
                    self.world.partners[dests[at]].number,
                    float(where[at]),
                    tuple((work * noise[at]).tolist()),
                    worth,
                    tuple(habits[at].tolist()),
                )
            )
        for origin in self.origins:
            self.world.clock.at(origin.born, self.hand_in, origin, False)

    def _clump(self, times: np.ndarray, dests: np.ndarray) -> None:
        """Some messages come all at once, for one partner: as many as it takes in clump_s."""
        load, chance = self.s.load, stream(self.world.seed, "clumps")
        left = int(load.clumps * len(times))
        while left > 0:
            at = int(chance.integers(len(times)))
            dest = int(chance.integers(len(self.world.partners)))
            size = min(left, max(2, int(self.world.partners[dest].rate_per_s * load.clump_s)))
            chosen = chance.integers(len(times), size=size)
            times[chosen], dests[chosen] = times[at], dest
            left -= size

    def _within(self, quota: list[list[float]], tenant: int, now: float) -> float:
        """1 inside a tenant's share, else what messages over it count for."""
        if not quota:
            return 1.0
        q = quota[tenant]
        q[1], q[2] = min(max(1.0, q[0]), q[1] + q[0] * (now - q[2])), now
        if q[1] < 1:
            return self.s.over_share_worth
        q[1] -= 1
        return 1.0

    # What they do

    def hand_in(self, origin: Origin, resubmitted: bool) -> None:
        now, s = self.world.clock.now, self.s
        until = origin.born + int(s.classes[origin.cls].deadline_ms * 1e3)
        if until - now < s.fleet.tick_ms * 4e3:
            origin.fate = origin.fate or "too late"
            return
        courier = self.front.courier(origin.where)
        if courier is None:
            origin.fate = "no courier"
            self.world.clock.after(int(s.front.again_ms * 1e3), self.hand_in, origin, resubmitted)
            return
        self.numbers += 1
        self.handed_in[courier.number] += 1
        m = Held(
            self.numbers,
            origin.number,
            origin.cls,
            origin.dest,
            origin.tenant,
            until,
            origin.works,
            resubmitted,
        )
        m.given_up = origin.tries == 0 and origin.habits[3] < s.clients.gives_up
        origin.tries, origin.courier = origin.tries + 1, courier.number
        courier.put(m, lambda end, wait: self._answered(m, origin, end, wait))

    def _answered(self, m: Held, origin: Origin, end: str, wait: int) -> None:
        if end == "taken":
            origin.fate = "open"
        elif end == "gone":  # its courier died: it finds another one in a moment
            origin.fate = "gone"
            again = int(self.s.front.again_ms * 1e3 * (0.5 + self.chance.uniform()))
            self.world.clock.after(again, self.hand_in, origin, False)
        else:
            origin.refused_by[end] += 1
            self._comes_again(origin, end, wait)

    def ended(self, m: Held, how: str, wait: int) -> None:
        """A notice: deferred or undeliverable."""
        origin = self.origins[m.origin]
        origin.refused_by[how] += 1
        if how == "deferred":
            self._comes_again(origin, how, wait)
        else:
            origin.fate = how

    def _comes_again(self, origin: Origin, how: str, wait: int) -> None:
        c, (heeds, spread, impatient, _) = self.s.clients, origin.habits
        origin.fate = how
        turns = origin.refused_by.total()
        if how == "failed" or turns > round(c.retries) + (impatient < c.impatient):
            return
        if not wait or heeds >= c.honour:
            wait = int(c.backoff_ms * 1e3 * turns * (0.5 + spread))
        if impatient < c.impatient:
            wait //= 10
        self.world.clock.after(max(1, wait), self.hand_in, origin, True)

    def delivered(self, m: Held) -> None:
        origin = self.origins[m.origin]
        if origin.delivered_at < 0:
            origin.delivered_at = self.world.clock.now
            origin.fate = "delivered"


class Front:
    """Hands clients to couriers, by shares of the traffic; hears late of the dead."""

    def __init__(self, world: World) -> None:
        s, chance = world.scenario, stream(world.seed, "front")
        self.world = world
        shares = zipf_weights(s.fleet.couriers, s.load.zipf)
        first, second = chance.permutation(shares), chance.permutation(shares)
        self.sums = [np.cumsum(first).tolist(), np.cumsum(second).tolist()]
        self.shift_us = int(s.load.shift_at * s.seconds * 1e6)
        self.believed = [True] * s.fleet.couriers

    def courier(self, where: float):
        """By the share of the traffic; the next one that is believed to live."""
        now, count = self.world.clock.now, len(self.believed)
        sums = self.sums[bool(self.shift_us and now >= self.shift_us)]
        at = min(bisect.bisect_left(sums, where * sums[-1]), count - 1)
        for step in range(count):
            if self.believed[(at + step * 7919) % count]:
                return self.world.couriers[(at + step * 7919) % count]
        return None
