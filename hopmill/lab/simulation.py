"""One run: the partners, couriers, clients and faults of a scenario and a seed, in virtual time."""

from __future__ import annotations

import zlib
from collections import Counter

import numpy as np

from hopmill.lab import partners
from hopmill.lab.chance import UniformBuffer, lognormal, stream, zipf_weights
from hopmill.lab.clients import Clients
from hopmill.lab.clock import Clock
from hopmill.lab.courier import CourierModel
from hopmill.lab.dialect import Dialect
from hopmill.fleet.settings import PolicyRule
from hopmill.lab.members import Fleet, Plan
from hopmill.lab.policy import FleetPolicy
from hopmill.lab.rules import INFORMED_SHARE_LIMIT, Rules
from hopmill.lab.scenario import Scenario, draw
from hopmill.lab.troubles import FaultInjector


# Another value gives every courier other random numbers for the same traffic, for A/A tests. No code sets it;
# whoever runs an A/A test does.
SEED_SALT = 0

# Scales a uniform draw from -1 to 1 to a standard deviation of about 1; the exact factor is the square root
# of 3.
UNIT_DEVIATION_FACTOR = 1.7


class Simulation:
    """The state of one run of a scenario, as drawn for one seed. `play` runs it to its end."""

    def __init__(self, scenario: Scenario, seed: int, dialect: Dialect | None = None) -> None:
        self.scenario, self.seed = draw(scenario, seed), seed
        self.dialect = dialect or Dialect()  # the types of the module under test
        self.clock, self.rules = Clock(), Rules()
        self.counts: Counter[str] = Counter()
        # The number of messages that couriers hold now, since when, and its integral over time.
        self.messages_held, self.held_since_us, self.held_message_us = 0, 0, 0
        # The sum of the times that ended messages were held. Little's law relates it to held_message_us.
        self.total_stay_us = 0
        drawn = self.scenario
        self.handshake_us = int(drawn.net.handshake_ms * 1e3)
        self.jitter_draws = UniformBuffer(stream(seed, "jitter"))
        self.loss_draws = UniformBuffer(stream(seed, "losses"))
        self.partners: list[partners.Partner] = []
        self.endpoints: dict[int, partners.Endpoint] = {}
        self.lane_by_endpoint: dict[int, int] = {}  # by endpoint; endpoints with the same lane share a limit
        self._build_partners()
        self._build_settings()
        zones = stream(seed, "zones").integers(drawn.net.zones, size=drawn.fleet.couriers)
        self.couriers = [CourierModel(self, n, int(zones[n])) for n in range(drawn.fleet.couriers)]
        for courier in self.couriers:
            courier.known_entries = {n: self.list_entry(n) for n in self.endpoints}
        self.members = (
            Fleet(
                Plan(
                    drawn.fleet.couriers,
                    seed=seed,
                    zones=drawn.net.zones,
                    leases=("duty",),
                    settings={"policy": PolicyRule(alone="hold")} if drawn.fleet.policy else {},
                ),
                self.clock,
            )
            if drawn.fleet.members or drawn.fleet.policy
            else None
        )
        self.policy = FleetPolicy(self, drawn.fleet.policy_every_s) if drawn.fleet.policy else None
        self.clients = Clients(self)
        self.faults = FaultInjector(self)

    # Partners

    def _build_partners(self) -> None:
        scenario = self.scenario
        rng, slowdown_rng = stream(self.seed, "partners"), stream(self.seed, "slow")
        endpoints_per_partner = sum(k.endpoints * k.share for k in scenario.kinds) / sum(
            k.share for k in scenario.kinds
        )
        partner_count = max(len(scenario.kinds), round(scenario.endpoints / endpoints_per_partner))
        shares = rng.permutation(zipf_weights(partner_count, scenario.load.partner_zipf))
        kind_indexes = self._assign_kinds(partner_count, rng)
        mean_work_ms = sum(c.work_ms * c.share for c in scenario.classes) / sum(
            c.share for c in scenario.classes
        )
        endpoint_number = 0
        for index in range(partner_count):
            kind = scenario.kinds[kind_indexes[index]]
            # Rounded up or down at random, so that the mean is kept.
            endpoint_count = max(1, int(kind.endpoints + rng.random()))
            partner = partners.Partner(index + 1, int(kind_indexes[index]), float(shares[index]))
            slowdown = float(lognormal(slowdown_rng, 1.0, kind.slow_cv))
            messages_per_s = scenario.load.rate_per_s * kind.full_load * partner.share
            calls_per_s = max(kind.least_per_s, kind.headroom * messages_per_s * kind.calls_per_message)
            route_count = endpoint_count if kind.routes_apart else 1
            for route in range(route_count):
                capacity_per_s = calls_per_s * kind.spare / route_count
                limit = partners.Limit(kind, 0.0 if kind.limit == "none" else calls_per_s / route_count)
                partner.targets.append(
                    partners.Target(
                        f"{index + 1}.{route}",
                        kind,
                        limit,
                        capacity_per_s,
                        slowdown,
                        scenario.fall_multiple,
                        int(scenario.fall_ms * 1e3),
                    )
                )
            for position in range(endpoint_count):
                endpoint_number += 1
                target = partner.targets[position % route_count]
                # A batch is taken to have two messages: an item after the first adds item_cost of a message's
                # work.
                mean_work_s = mean_work_ms * slowdown / 1e3 * (1 + kind.item_cost * (kind.bundle > 1))
                zone = int(rng.integers(scenario.net.zones))
                self._add_endpoint(endpoint_number, partner, target, endpoint_count, zone, mean_work_s)
            self.partners.append(partner)
        for target in {id(e.target): e.target for e in self.endpoints.values()}.values():
            if target.limit.per_s:
                self._refresh_report(target, UniformBuffer(stream(self.seed, f"report {target.name}")))

    def _assign_kinds(self, partner_count: int, rng: np.random.Generator) -> np.ndarray:
        """The index of each partner's kind: by the kinds' shares, at least one of each, in random order."""
        kinds = self.scenario.kinds
        kind_indexes = np.repeat(
            range(len(kinds)),
            [max(1, round(partner_count * k.share / sum(x.share for x in kinds))) for k in kinds],
        )[:partner_count]
        return rng.permutation(np.resize(kind_indexes, partner_count))

    def _add_endpoint(
        self,
        number: int,
        partner: partners.Partner,
        target: partners.Target,
        endpoint_count: int,
        zone: int,
        mean_work_s: float,
    ) -> None:
        """Adds an endpoint that is sized for its part of the target's capacity."""
        kind = target.kind
        # A route has one endpoint; all others share the capacity of their target.
        capacity_per_s = target.capacity_per_s / (1 if kind.routes_apart else endpoint_count)
        endpoint = partners.Endpoint(
            number,
            partner.number,
            zone,
            target,
            max(1, round(capacity_per_s * mean_work_s)),
            max(1, round(capacity_per_s * kind.depth_s)),
            int(kind.connections),
            self.clock,
            UniformBuffer(stream(self.seed, f"endpoint {number}")),
        )
        partner.endpoints.append(endpoint)
        self.endpoints[number] = endpoint
        self.lane_by_endpoint[number] = number if kind.routes_apart else -partner.number

    def _refresh_report(self, target: partners.Target, rng: UniformBuffer) -> None:
        """Refreshes the load report that a target's answers carry, with the scenario's delay and noise."""
        reports, now = self.scenario.reports, self.clock.now
        noise = 1 + reports.noise * (2 * rng.uniform() - 1) * UNIT_DEVIATION_FACTOR
        report = (min(1.0, target.limit.unused_share(now) * noise), target.limit.current_per_s)
        self.clock.after(int(reports.delay_ms * 1e3), setattr, target, "report", report)
        self.clock.after(max(1000, int(reports.period_ms * 1e3)), self._refresh_report, target, rng)

    def list_entry(self, number: int):
        """The entry of an endpoint in discovery's list, as the module under test reads it."""
        interface, endpoint = self.dialect.interface, self.endpoints[number]
        states = {
            "ready": interface.EndpointState.READY,
            "draining": interface.EndpointState.DRAINING,
            "gone": interface.EndpointState.GONE,
        }
        target = endpoint.target
        rate = target.limit.per_s or target.capacity_per_s
        return self.dialect.make(
            "ListEntry",
            endpoint=number,
            destination=endpoint.partner,
            state=states[endpoint.state],
            rate_per_s=rate,
            kind=self.partners[endpoint.partner - 1].kind_index,
            zone=endpoint.zone,
        )

    def lane_of(self, endpoint: int) -> int:
        """The lane of an endpoint: its own number if its route has a limit of its own, else -partner."""
        return self.lane_by_endpoint[endpoint]

    def batch_size(self, endpoint: int) -> int:
        """How many messages one call to this endpoint may carry."""
        return self.endpoints[endpoint].target.kind.bundle

    # Couriers

    def _build_settings(self) -> None:
        scenario, interface, make = self.scenario, self.dialect.interface, self.dialect.make
        effects = {
            "safe": interface.Effect.SAFE,
            "keyed": interface.Effect.KEYED,
            "unsafe": interface.Effect.UNSAFE,
        }
        max_retry_after_us = int(scenario.clients.longest_wait_ms * 1e3)
        fees = (
            tuple(scenario.net.fee * z / max(1, scenario.net.zones - 1) for z in range(scenario.net.zones))
            if scenario.net.fee
            else ()
        )
        self._common_settings = dict(
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
                for c in scenario.classes
            ),
            kinds=tuple(
                make("Kind", name=k.name, routes_apart=k.routes_apart, batch=k.bundle) for k in scenario.kinds
            ),
            tenants=tuple(
                make("Tenant", name=t.name, share=min(1.0, t.share), quota_per_s=t.quota)
                for t in scenario.tenants
            ),
            slots=max(1, round(scenario.fleet.slots)),
            max_held=max(2, round(scenario.fleet.held)),
            # As configured at the couriers, which may differ from the number that run.
            couriers=scenario.fleet.told_couriers or scenario.fleet.couriers,
            max_attempts=6,
            second_copies=False,
            may_cancel=True,
            tick_us=int(scenario.fleet.tick_ms * 1e3),
            max_retry_after_us=max_retry_after_us,
            connection_idle_us=int(scenario.fleet.idle_ms * 1e3),
            connect_timeout_us=int(scenario.fleet.connect_ms * 1e3),
            drain_grace_us=int(scenario.drain_grace_ms * 1e3),
            # The settings have one value for all kinds: the lowest share and the longest recovery.
            cold_share=min(k.cold_from for k in scenario.kinds),
            cold_us=int(max(k.cold_ms for k in scenario.kinds) * 1e3),
            fall_multiple=scenario.fall_multiple,
            fall_us=int(scenario.fall_ms * 1e3),
            report_fields=("x0", "x1"),  # unused share of the limit, limit in calls per second
            rates_listed=True,
            over_share_worth=scenario.over_share_worth,
            late_halves=scenario.late == "halves",
            refused_price=scenario.prices.refused,
            zone_fees=fees,
        )

    def courier_settings(self, number: int):
        """The module's settings for one courier.

        `me` stays below the configured number of couriers, which may be smaller than the number that run.
        """
        own_index = min(number, self._common_settings["couriers"] - 1)
        return self.dialect.make("Settings", me=own_index, **self._common_settings)

    def module_seed(self, courier: int, generation: int) -> int:
        """The seed of the module's random numbers, for one process run (generation) of a courier."""
        return zlib.crc32(f"{self.seed} {courier} {generation} {SEED_SALT or ''}".encode())

    def must_end_messages(self, courier: CourierModel) -> bool:
        """Whether a missing outcome breaks a rule: not before `FaultInjector.exempt_until_us`.

        A courier is exempt from SIGTERM on for 10 s, and from its exit until a grace time after its restart.
        """
        return self.clock.now >= self.faults.exempt_until_us.get(courier.number, -1)

    def process_ended(self, courier: CourierModel) -> None:
        """Called when a courier's process has ended after SIGTERM."""
        self.faults.courier_ended(courier)

    def change_held(self, change: int) -> None:
        """Changes the number of held messages: 1 when one is accepted, -1 when one ends."""
        now = self.clock.now
        self.held_message_us += self.messages_held * (now - self.held_since_us)
        self.messages_held, self.held_since_us = self.messages_held + change, now

    # The network

    def network_delay_us(self, courier: CourierModel, endpoint: partners.Endpoint) -> int:
        """The one-way delay between a courier and an endpoint, with jitter."""
        net = self.scenario.net
        base_ms = net.same_ms if courier.zone == endpoint.zone else net.cross_ms
        return max(50, int(base_ms * 1e3 * (1 + net.jitter * (2 * self.jitter_draws.uniform() - 1))))

    def is_answer_lost(self) -> bool:
        """Draws whether the network loses an answer."""
        lost_share = self.scenario.net.lost
        return lost_share > 0 and self.loss_draws.uniform() < lost_share

    def check_for_collapse(self, endpoint: partners.Endpoint) -> None:
        """Checks the rule on recovery after an outage, when a target has collapsed under load.

        RuleBrokenError if at least two thirds of that load came from couriers that had met the outage.
        """
        target = endpoint.target
        if target.has_collapsed and target.recent_load:
            informed_share, target.recent_load = target.informed_share, 0.0
            self.counts["fell"] += 1
            if informed_share >= INFORMED_SHARE_LIMIT:
                raise self.rules.violation(
                    "fail-back",
                    self.clock.now,
                    f"{target.name} collapsed while it recovered; {informed_share:.2f} of the load came from "
                    "couriers that had met its outage",
                    lane=endpoint.partner,  # the trace of the rules records destinations as lanes
                )

    # The run

    def play(self) -> None:
        """Runs until the last message's deadline has passed. Raises RuleBrokenError or ModuleFailedError."""
        rng = stream(self.seed, "starts")
        for courier in self.couriers:
            self.clock.at(int(rng.uniform(0, 20_000)), courier.start)
        max_deadline_ms = max(c.deadline_ms for c in self.scenario.classes)
        self.clock.run(int(self.scenario.seconds * 1e6 + max_deadline_ms * 1e3 + 1e6))
