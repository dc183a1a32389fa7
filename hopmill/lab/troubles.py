"""Faults: outages of partners, zones and discovery; kills, restarts and late starts of couriers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hopmill.lab import partners
from hopmill.lab.chance import UniformBuffer, stream
from hopmill.lab.scenario import ScenarioError, Trouble

if TYPE_CHECKING:
    from hopmill.lab.courier import CourierModel
    from hopmill.lab.simulation import Simulation

RECOVERY_GRACE_US = 1_500_000  # after a restart, a missing outcome breaks no rule for so long
SHUTDOWN_NOTICE_US = 400_000  # the load balancer learns of a SIGTERM after so long


class FaultInjector:
    """Draws once what each fault affects, and schedules its start and end."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.clock = simulation, simulation.clock
        self.exempt_until_us: dict[int, int] = {}  # by courier: until then a missing outcome breaks no rule
        self.restart_delays_us: dict[int, int] = {}  # by courier: from exit to restart, after SIGTERM
        self.discovery_silent_until_us = 0
        self.rng = UniformBuffer(stream(simulation.seed, "news"))
        length_us = simulation.scenario.seconds * 1e6
        for index, trouble in enumerate(simulation.scenario.troubles):
            rng = stream(simulation.seed, f"trouble {index}")
            start_us = int(trouble.at * length_us)
            schedulers = {
                "zone_cut": self._schedule_zone_cut,
                "deploy": self._schedule_deploy,
                "kill": self._schedule_kills,
                "join": self._schedule_joins,
                "discovery_silent": self._schedule_discovery_silence,
                "restart": self._schedule_restarts,
            }
            schedulers.get(trouble.kind, self._schedule_outage)(trouble, rng, start_us)

    # Partners

    def _choose_targets(self, trouble: Trouble, rng: Any) -> list[partners.Target]:
        """Targets with about `part` of the messages; of one kind or zone where the scenario asks for it."""
        simulation = self.simulation
        rows = [
            (partner.share / len(partner.targets), target, partner, n)
            for partner in simulation.partners
            for n, target in enumerate(partner.targets)
        ]
        if trouble.kind == "limit":
            rows = [r for r in rows if r[1].limit.per_s] or rows
        if trouble.by == "kind":
            kind = int(rng.integers(len(simulation.scenario.kinds)))
            rows = [r for r in rows if r[2].kind_index == kind] or rows
        if trouble.by == "zone":
            zone = int(rng.integers(simulation.scenario.net.zones))
            rows = [
                r for r in rows if any(e.zone == zone and e.target is r[1] for e in r[2].endpoints)
            ] or rows
        chosen, total = [], 0.0
        for index in rng.permutation(len(rows)).tolist():
            share = rows[index][0]
            if total + share <= trouble.part or not chosen:
                chosen.append(rows[index][1])
                total += share
            if total >= trouble.part:
                break
        return chosen

    def _schedule_outage(self, trouble: Trouble, rng: Any, start_us: int) -> None:
        end_us = start_us + int(trouble.len_ms * 1e3)
        for target in self._choose_targets(trouble, rng):
            self.clock.at(start_us, self._start_outage, target, trouble, end_us)
            self.clock.at(end_us, self._end_outage, target, trouble)

    def _start_outage(self, target: partners.Target, trouble: Trouble, ends_us: int) -> None:
        target.start_outage(trouble.kind, trouble.size, ends_us)
        if trouble.kind == "down":
            self._reset_connections(target)

    def _end_outage(self, target: partners.Target, trouble: Trouble) -> None:
        target.end_outage(self.clock.now, trouble.kind)
        if trouble.kind == "silent":
            self._reset_connections(target)

    def _reset_connections(self, target: partners.Target) -> None:
        for endpoint in self.simulation.endpoints.values():
            if endpoint.target is target:
                for courier in self.simulation.couriers:
                    courier.calls.reset_connections(endpoint)

    def _schedule_zone_cut(self, trouble: Trouble, rng: Any, start_us: int) -> None:
        zone = int(rng.integers(self.simulation.scenario.net.zones))
        chosen = [e for e in self.simulation.endpoints.values() if e.zone == zone]
        self.clock.at(start_us, self._set_cut_off, chosen, True)
        self.clock.at(start_us + int(trouble.len_ms * 1e3), self._set_cut_off, chosen, False)

    def _set_cut_off(self, endpoints: list[partners.Endpoint], is_cut_off: bool) -> None:
        for endpoint in endpoints:
            endpoint.is_cut_off = is_cut_off
            if not is_cut_off:
                for courier in self.simulation.couriers:
                    courier.calls.reset_connections(endpoint)

    # Discovery

    def _schedule_deploy(self, trouble: Trouble, rng: Any, begin_us: int) -> None:
        """Endpoints drain and leave one after the other, and new ones replace them."""
        numbers = list(self.simulation.endpoints)
        chosen = rng.permutation(numbers)[: max(1, round(trouble.part * len(numbers)))].tolist()
        for position, number in enumerate(chosen):
            start_us = begin_us + int(trouble.len_ms * 1e3 * position / len(chosen))
            self.clock.at(start_us, self._replace_endpoint, number)

    def _replace_endpoint(self, number: int) -> None:
        simulation = self.simulation
        old = simulation.endpoints[number]
        new_number = max(simulation.endpoints) + 1
        endpoint = partners.Endpoint(
            new_number,
            old.partner,
            old.zone,
            old.target,
            old.workers,
            old.queue_size,
            old.max_connections,
            self.clock,
            UniformBuffer(stream(simulation.seed, f"endpoint {new_number}")),
        )
        simulation.endpoints[new_number] = endpoint
        simulation.lane_by_endpoint[new_number] = new_number if old.target.kind.routes_apart else -old.partner
        simulation.partners[old.partner - 1].endpoints.append(endpoint)
        old.state = "draining"
        self.announce([number, new_number])
        self.clock.after(2_000_000, self._remove_endpoint, old)

    def _remove_endpoint(self, endpoint: partners.Endpoint) -> None:
        endpoint.state = "gone"
        for courier in self.simulation.couriers:
            courier.calls.reset_connections(endpoint)
        self.announce([endpoint.number])

    def announce(self, numbers: list[int]) -> None:
        """Sends list entries to each courier after its own delay, and not while discovery is silent."""
        discovery, entries = (
            self.simulation.scenario.discovery,
            [self.simulation.list_entry(n) for n in numbers],
        )
        for courier in self.simulation.couriers:
            delay_us = int((discovery.notice_ms + discovery.spread_ms * self.rng.uniform()) * 1e3)
            self.clock.at(
                max(self.clock.now, self.discovery_silent_until_us) + delay_us,
                courier.update_endpoints,
                entries,
            )

    def _schedule_discovery_silence(self, trouble: Trouble, rng: Any, start_us: int) -> None:
        self.clock.at(
            start_us, setattr, self, "discovery_silent_until_us", start_us + int(trouble.len_ms * 1e3)
        )

    # The fleet

    def _choose_couriers(self, trouble: Trouble, rng: Any) -> list[CourierModel]:
        couriers = self.simulation.couriers
        count = max(1, round(trouble.part * len(couriers)))
        if (
            count >= len(couriers)
            and trouble.kind == "kill"
            and trouble.len_ms >= self.simulation.scenario.seconds * 1e3
        ):
            raise ScenarioError(f"troubles: no courier is left alive by {trouble.kind}")
        return [couriers[n] for n in rng.permutation(len(couriers))[:count].tolist()]

    def _schedule_kills(self, trouble: Trouble, rng: Any, start_us: int) -> None:
        """Kills couriers at once; their folders stay."""
        for courier in self._choose_couriers(trouble, rng):
            self.clock.at(start_us, self._kill_courier, courier, start_us + int(trouble.len_ms * 1e3))

    def _kill_courier(self, courier: CourierModel, return_us: int) -> None:
        if not courier.is_alive:
            return
        courier.kill()
        self._schedule_return(courier, return_us)

    def _schedule_return(self, courier: CourierModel, return_us: int) -> None:
        scenario = self.simulation.scenario
        self.exempt_until_us[courier.number] = return_us + RECOVERY_GRACE_US
        self.clock.after(int(scenario.front.notice_ms * 1e3), self._update_load_balancer, courier)
        self.clock.at(return_us, self._start_courier, courier)

    def _update_load_balancer(self, courier: CourierModel) -> None:
        self.simulation.clients.load_balancer.believed_alive[courier.number] = courier.is_listening

    def _start_courier(self, courier: CourierModel) -> None:
        if not courier.is_alive:
            courier.start()
            self.simulation.clients.load_balancer.believed_alive[courier.number] = True

    def _schedule_restarts(self, trouble: Trouble, rng: Any, begin_us: int) -> None:
        """Restarts couriers in ten steps, by SIGTERM and SIGKILL alternately."""
        chosen = self._choose_couriers(trouble, rng)
        for position, courier in enumerate(chosen):
            start_us = begin_us + int(trouble.len_ms * 1e3 * (position * 10 // len(chosen)) / 10)
            delay_us = int(self.simulation.scenario.fleet.back_ms * 1e3)
            if position % 2:
                self.clock.at(start_us, self._kill_courier, courier, start_us + delay_us)
            else:
                self.clock.at(start_us, self._terminate_courier, courier, delay_us)

    def _terminate_courier(self, courier: CourierModel, delay_us: int) -> None:
        if not courier.is_alive:
            return
        self.restart_delays_us[courier.number] = delay_us
        self.exempt_until_us[courier.number] = self.clock.now + 10_000_000
        self.clock.after(SHUTDOWN_NOTICE_US, self._update_load_balancer, courier)
        courier.terminate()

    def courier_ended(self, courier: CourierModel) -> None:
        """A courier's process ended after SIGTERM: schedules its next start."""
        self._schedule_return(courier, self.clock.now + self.restart_delays_us.pop(courier.number, 0))

    def _schedule_joins(self, trouble: Trouble, rng: Any, start_us: int) -> None:
        """Keeps couriers down from the beginning, until they join."""
        for courier in self._choose_couriers(trouble, rng):
            self.clock.at(30_000, self._kill_courier, courier, start_us)
