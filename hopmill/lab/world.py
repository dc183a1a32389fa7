"""One play: the partners, couriers, clients and troubles that a scenario and a seed give, in virtual time."""

from __future__ import annotations

import zlib
from collections import Counter

import numpy as np

from hopmill.lab import partners as p
from hopmill.lab.chance import Pool, lognormal, stream, zipf_weights
from hopmill.lab.clients import Clients
from hopmill.lab.clock import Clock
from hopmill.lab.courier import CourierModel
from hopmill.lab.dialect import Dialect
from hopmill.fleet.settings import PolicyRule
from hopmill.lab.members import Fleet, Plan
from hopmill.lab.policy import FleetPolicy
from hopmill.lab.rules import Rules
from hopmill.lab.scenario import Scenario, draw
from hopmill.lab.troubles import Troubles


SALT = 0  # another value gives every courier other chances on the same day: for A/A tests


class World:
    """Built for one scenario (as drawn) and one seed. `play` runs it to its end."""

    def __init__(self, scenario: Scenario, seed: int, dialect: Dialect | None = None) -> None:
        self.scenario, self.seed = draw(scenario, seed), seed
        self.dialect = dialect or Dialect()
        self.clock, self.rules = Clock(), Rules()
        self.counts: Counter[str] = Counter()
        self.held, self.held_since, self.held_us = 0, 0, 0  # messages taken on: now, and summed over time
        self.stayed_us = 0  # the same by messages: how long each was held
        s = self.scenario
        self.handshake_us = int(s.net.handshake_ms * 1e3)
        self.jitter = Pool(stream(seed, "jitter"))
        self.losses = Pool(stream(seed, "losses"))
        self.partners: list[p.Partner] = []
        self.endpoints: dict[int, p.Endpoint] = {}
        self.lanes: dict[int, int] = {}  # endpoint: what shares its limit, as a number
        self._build_partners()
        self._settings()
        zones = stream(seed, "zones").integers(s.net.zones, size=s.fleet.couriers)
        self.couriers = [CourierModel(self, n, int(zones[n])) for n in range(s.fleet.couriers)]
        for courier in self.couriers:
            courier.known = {n: self.entry(n) for n in self.endpoints}
        self.members = (
            Fleet(
                Plan(
                    s.fleet.couriers,
                    seed=seed,
                    zones=s.net.zones,
                    leases=("duty",),
                    settings={"policy": PolicyRule(alone="hold")} if s.fleet.policy else {},
                ),
                self.clock,
            )
            if s.fleet.members or s.fleet.policy
            else None
        )
        self.policy = FleetPolicy(self, s.fleet.policy_every_s) if s.fleet.policy else None
        self.clients = Clients(self)
        self.troubles = Troubles(self)

    # Partners

    def _build_partners(self) -> None:
        s = self.scenario
        chance, slow = stream(self.seed, "partners"), stream(self.seed, "slow")
        per = sum(k.endpoints * k.share for k in s.kinds) / sum(k.share for k in s.kinds)
        count = max(len(s.kinds), round(s.endpoints / per))
        shares = chance.permutation(zipf_weights(count, s.load.partner_zipf))
        kinds = np.repeat(
            range(len(s.kinds)),
            [max(1, round(count * k.share / sum(x.share for x in s.kinds))) for k in s.kinds],
        )[:count]
        kinds = chance.permutation(np.resize(kinds, count))
        work = sum(c.work_ms * c.share for c in s.classes) / sum(c.share for c in s.classes)
        number = 0
        for at in range(count):
            kind = s.kinds[kinds[at]]
            size = max(1, int(kind.endpoints + chance.random()))
            partner = p.Partner(at + 1, int(kinds[at]), float(shares[at]))
            slowness = float(lognormal(slow, 1.0, kind.slow_cv))
            messages = s.load.rate_per_s * kind.full_load * partner.share
            calls = max(kind.least_per_s, kind.headroom * messages * kind.calls_per_message)
            routes = size if kind.routes_apart else 1
            for route in range(routes):
                capacity = calls * kind.spare / routes
                limit = p.Limit(kind, 0.0 if kind.limit == "none" else calls / routes)
                partner.targets.append(
                    p.Target(
                        f"{at + 1}.{route}",
                        kind,
                        limit,
                        capacity,
                        slowness,
                        s.fall_multiple,
                        int(s.fall_ms * 1e3),
                    )
                )
            for n in range(size):
                number += 1
                target = partner.targets[n % routes]
                each = target.capacity / (1 if kind.routes_apart else size)
                mean_s = work * slowness / 1e3 * (1 + kind.item_cost * (kind.bundle > 1))
                endpoint = p.Endpoint(
                    number,
                    partner.number,
                    int(chance.integers(s.net.zones)),
                    target,
                    max(1, round(each * mean_s)),
                    max(1, round(each * kind.depth_s)),
                    int(kind.connections),
                    self.clock,
                    Pool(stream(self.seed, f"endpoint {number}")),
                )
                partner.endpoints.append(endpoint)
                self.endpoints[number] = endpoint
                self.lanes[number] = number if kind.routes_apart else -partner.number
            self.partners.append(partner)
        for target in {id(e.target): e.target for e in self.endpoints.values()}.values():
            if target.limit.per_s:
                self._report(target, Pool(stream(self.seed, f"report {target.name}")))

    def _report(self, target: p.Target, chance: Pool) -> None:
        """What answers tell is refreshed now and then, late and noisy."""
        s, now = self.scenario.reports, self.clock.now
        noise = 1 + s.noise * (2 * chance.uniform() - 1) * 1.7
        told = (min(1.0, target.limit.left(now) * noise), target.limit.now_per_s)
        self.clock.after(int(s.delay_ms * 1e3), setattr, target, "told", told)
        self.clock.after(max(1000, int(s.period_ms * 1e3)), self._report, target, chance)

    def entry(self, number: int):
        i, e = self.dialect.i, self.endpoints[number]
        states = {
            "ready": i.EndpointState.READY,
            "draining": i.EndpointState.DRAINING,
            "gone": i.EndpointState.GONE,
        }
        target = e.target
        rate = target.limit.per_s or target.capacity
        return self.dialect.make(
            "ListEntry",
            endpoint=number,
            destination=e.partner,
            state=states[e.state],
            rate_per_s=rate,
            kind=self.partners[e.partner - 1].kind,
            zone=e.zone,
        )

    def lane(self, endpoint: int) -> int:
        return self.lanes[endpoint]

    def batch(self, endpoint: int) -> int:
        return self.endpoints[endpoint].target.kind.bundle

    # Couriers

    def _settings(self) -> None:
        s, i, make = self.scenario, self.dialect.i, self.dialect.make
        effects = {"safe": i.Effect.SAFE, "keyed": i.Effect.KEYED, "unsafe": i.Effect.UNSAFE}
        longest = int(s.clients.longest_wait_ms * 1e3)
        fees = tuple(s.net.fee * z / max(1, s.net.zones - 1) for z in range(s.net.zones)) if s.net.fee else ()
        self._common = dict(
            classes=tuple(
                make(
                    "MessageClass",
                    name=c.name,
                    aim_us=int(c.aim_ms * 1e3),
                    deadline_us=int(c.deadline_ms * 1e3),
                    effect=effects[c.effect],
                    worth=c.worth,
                    late_share=c.late_worth,
                    key_window_us=int(c.key_window_ms * 1e3),
                )
                for c in s.classes
            ),
            kinds=tuple(
                make("Kind", name=k.name, routes_apart=k.routes_apart, batch=k.bundle) for k in s.kinds
            ),
            tenants=tuple(
                make("Tenant", name=t.name, share=min(1.0, t.share), quota_per_s=t.quota) for t in s.tenants
            ),
            slots=max(1, round(s.fleet.slots)),
            max_held=max(2, round(s.fleet.held)),
            couriers=s.fleet.told_couriers or s.fleet.couriers,
            max_attempts=6,
            second_copies=False,
            may_cancel=True,
            tick_us=int(s.fleet.tick_ms * 1e3),
            max_retry_after_us=longest,
            connection_idle_us=int(s.fleet.idle_ms * 1e3),
            connect_timeout_us=int(s.fleet.connect_ms * 1e3),
            drain_grace_us=int(s.drain_grace_ms * 1e3),
            cold_share=min(k.cold_from for k in s.kinds),
            cold_us=int(max(k.cold_ms for k in s.kinds) * 1e3),
            fall_multiple=s.fall_multiple,
            fall_us=int(s.fall_ms * 1e3),
            report_fields=("x0", "x1"),
            rates_listed=True,
            over_share_worth=s.over_share_worth,
            late_halves=s.late == "halves",
            refused_price=s.prices.refused,
            zone_fees=fees,
        )

    def settings_of(self, number: int):
        me = min(number, self._common["couriers"] - 1)
        return self.dialect.make("Settings", me=me, **self._common)

    def module_seed(self, courier: int, life: int) -> int:
        return zlib.crc32(f"{self.seed} {courier} {life} {SALT or ''}".encode())

    def owes(self, courier: CourierModel) -> bool:
        """No end is overdue from the start of a restart until a while after it."""
        return self.clock.now >= self.troubles.excused.get(courier.number, -1)

    def left(self, courier: CourierModel) -> None:
        """Its process has ended as planned."""
        self.troubles.ended(courier)

    def holds(self, change: int) -> None:
        """A message was taken on, or ended."""
        now = self.clock.now
        self.held_us += self.held * (now - self.held_since)
        self.held, self.held_since = self.held + change, now

    # The network

    def delay(self, courier: CourierModel, endpoint: p.Endpoint) -> int:
        net = self.scenario.net
        base = net.same_ms if courier.zone == endpoint.zone else net.cross_ms
        return max(50, int(base * 1e3 * (1 + net.jitter * (2 * self.jitter.uniform() - 1))))

    def answer_lost(self) -> bool:
        lost = self.scenario.net.lost
        return lost > 0 and self.losses.uniform() < lost

    def after_arrival(self, endpoint: p.Endpoint) -> None:
        """The rule on what returns: it was pushed over, mostly by couriers that knew."""
        target = endpoint.target
        if target.fallen and target.load:
            blame, target.load = target.blame, 0.0
            self.counts["fell"] += 1
            if blame >= 2 / 3:
                raise self.rules.broken(
                    "fail-back",
                    self.clock.now,
                    f"{target.name} was pushed over, {blame:.2f} of it by couriers that knew",
                    lane=endpoint.partner,
                )

    # The play

    def play(self) -> None:
        """To the end of the last message's time. RuleBroken or ModuleFailed ends it early."""
        chance = stream(self.seed, "starts")
        for courier in self.couriers:
            self.clock.at(int(chance.uniform(0, 20_000)), courier.start)
        longest = max(c.deadline_ms for c in self.scenario.classes)
        self.clock.run(int(self.scenario.seconds * 1e6 + longest * 1e3 + 1e6))
