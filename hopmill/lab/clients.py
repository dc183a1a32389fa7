"""Clients: their arrivals, their retries, and what became of their messages."""

from __future__ import annotations

import bisect
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy as np

from hopmill.lab.chance import UniformBuffer, lognormal, stream, zipf_weights
from hopmill.lab.calls import HeldMessage

if TYPE_CHECKING:
    from hopmill.lab.simulation import Simulation

DRAWN_ATTEMPTS = 6  # attempts of each message whose work is drawn in advance
NOISE_CV = 0.25  # coefficient of variation of an attempt's work around its message's


@dataclass
class ClientRequest:
    """What a client wants delivered, over all its submissions."""

    number: int
    created_us: int
    class_index: int
    tenant: int
    destination: int
    courier_position: float  # from 0 to 1, on the cumulative shares of the couriers
    work_us: tuple[float, ...]  # by attempt
    worth: float
    habit_draws: tuple[float, ...] = ()  # uniform: heeds a retry-after, back-off, impatience, leaving early
    submissions: int = 0
    last_courier: int = 0  # that it was last submitted to
    delivered_us: int = -1
    status: str = ""  # of its last submission
    rejections: Counter[str] = field(default_factory=Counter)


class Clients:
    """All clients. Their arrivals are drawn in advance, so they are the same for every build."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.scenario = simulation, simulation.scenario
        self.requests: list[ClientRequest] = []
        self.last_message_number = 0
        self.submissions_by_courier: Counter[int] = Counter()
        self.rng = UniformBuffer(stream(simulation.seed, "clients"))
        self.load_balancer = LoadBalancer(simulation)
        self._draw_arrivals()

    # Arrivals

    def _draw_arrivals(self) -> None:
        scenario, seed = self.scenario, self.simulation.seed
        times = self._draw_times()
        arrival_count = len(times)
        shares = np.array([p.share for p in self.simulation.partners])
        destinations = stream(seed, "destinations").choice(
            len(shares), arrival_count, p=shares / shares.sum()
        )
        self._cluster_arrivals(times, destinations)
        weights = np.array([message_class.share for message_class in scenario.classes])
        classes = stream(seed, "classes").choice(len(weights), arrival_count, p=weights / weights.sum())
        tenants = self._draw_tenants(arrival_count)
        positions, habit_draws = (
            stream(seed, "couriers").random(arrival_count),
            stream(seed, "habits").random((arrival_count, 4)),
        )
        noise = lognormal(stream(seed, "attempts"), 1.0, NOISE_CV, arrival_count * DRAWN_ATTEMPTS).reshape(
            arrival_count, DRAWN_ATTEMPTS
        )
        work_draws = stream(seed, "work").standard_normal(arrival_count)
        # Token buckets: rate per second, tokens, time of the last refill in s.
        quotas = [[t.quota, 0.0, 0.0] for t in scenario.tenants]
        order = np.argsort(times, kind="stable")
        for index in order.tolist():
            message_class = scenario.classes[classes[index]]
            sigma = float(np.sqrt(np.log(1 + message_class.cv * message_class.cv)))
            work = message_class.work_ms * 1e3 * float(np.exp(sigma * work_draws[index] - sigma * sigma / 2))
            worth = message_class.worth * self._quota_factor(quotas, int(tenants[index]), float(times[index]))
            self.requests.append(
                ClientRequest(
                    len(self.requests),
                    int(times[index] * 1e6),
                    int(classes[index]),
                    int(tenants[index]),
                    self.simulation.partners[destinations[index]].number,
                    float(positions[index]),
                    tuple((work * noise[index]).tolist()),
                    worth,
                    tuple(habit_draws[index].tolist()),
                )
            )
        for request in self.requests:
            self.simulation.clock.at(request.created_us, self.submit, request, False)

    def _draw_times(self) -> np.ndarray:
        """Arrivals in s, in order: a Poisson process at the burst rate, thinned outside the burst."""
        load, length = self.scenario.load, self.scenario.seconds
        rng = stream(self.simulation.seed, "arrivals")
        count = rng.poisson(load.rate_per_s * load.factor * load.burst * length)
        times = np.sort(rng.random(count) * length)
        in_burst = (times >= load.burst_from * length) & (times < load.burst_to * length)
        return times[in_burst | (rng.random(count) < 1 / load.burst)]

    def _draw_tenants(self, count: int) -> np.ndarray:
        """The tenant of each arrival; 0 where the scenario has none."""
        if not self.scenario.tenants:
            return np.zeros(count, int)
        shares = np.array([t.share for t in self.scenario.tenants])
        return stream(self.simulation.seed, "tenants").choice(len(shares), count, p=shares / shares.sum())

    def _cluster_arrivals(self, times: np.ndarray, destinations: np.ndarray) -> None:
        """Moves some messages to one instant and one partner: as many as it takes in clump_s."""
        load, rng = self.scenario.load, stream(self.simulation.seed, "clumps")
        remaining = int(load.clumps * len(times))
        while remaining > 0:
            index = int(rng.integers(len(times)))
            destination = int(rng.integers(len(self.simulation.partners)))
            size = min(
                remaining, max(2, int(self.simulation.partners[destination].rate_per_s * load.clump_s))
            )
            chosen = rng.integers(len(times), size=size)
            times[chosen], destinations[chosen] = times[index], destination
            remaining -= size

    def _quota_factor(self, quotas: list[list[float]], tenant: int, now_s: float) -> float:
        """The factor of a message's worth: 1 within the tenant's quota, over_share_worth beyond it."""
        if not quotas:
            return 1.0
        bucket = quotas[tenant]
        bucket[1], bucket[2] = min(max(1.0, bucket[0]), bucket[1] + bucket[0] * (now_s - bucket[2])), now_s
        if bucket[1] < 1:
            return self.scenario.over_share_worth
        bucket[1] -= 1
        return 1.0

    # Behaviour

    def submit(self, request: ClientRequest, resubmitted: bool) -> None:
        """Submits the request to a courier, unless too little time is left before its deadline."""
        now, scenario = self.simulation.clock.now, self.scenario
        valid_until_us = request.created_us + int(scenario.classes[request.class_index].deadline_ms * 1e3)
        if valid_until_us - now < scenario.fleet.tick_ms * 4e3:
            request.status = request.status or "too late"
            return
        courier = self.load_balancer.choose_courier(request.courier_position)
        if courier is None:
            request.status = "no courier"
            self.simulation.clock.after(int(scenario.front.again_ms * 1e3), self.submit, request, resubmitted)
            return
        self.last_message_number += 1
        self.submissions_by_courier[courier.number] += 1
        message = HeldMessage(
            self.last_message_number,
            request.number,
            request.class_index,
            request.destination,
            request.tenant,
            valid_until_us,
            request.work_us,
            resubmitted,
        )
        message.client_left = request.submissions == 0 and request.habit_draws[3] < scenario.clients.gives_up
        request.submissions, request.last_courier = request.submissions + 1, courier.number
        courier.submit(
            message,
            lambda answer, retry_after_us: self._submission_answered(
                message, request, answer, retry_after_us
            ),
        )

    def _submission_answered(
        self, message: HeldMessage, request: ClientRequest, answer: str, retry_after_us: int
    ) -> None:
        if answer == "taken":
            request.status = "open"
        elif answer == "gone":  # its courier died: the client finds another one after a short time
            request.status = "gone"
            delay_us = int(self.scenario.front.again_ms * 1e3 * (0.5 + self.rng.uniform()))
            self.simulation.clock.after(delay_us, self.submit, request, False)
        else:
            request.rejections[answer] += 1
            self._submit_again(request, answer, retry_after_us)

    def message_ended(self, message: HeldMessage, outcome: str, retry_after_us: int) -> None:
        """A notice arrived: deferred or undeliverable."""
        request = self.requests[message.request_number]
        request.rejections[outcome] += 1
        if outcome == "deferred":
            self._submit_again(request, outcome, retry_after_us)
        else:
            request.status = outcome

    def _submit_again(self, request: ClientRequest, outcome: str, retry_after_us: int) -> None:
        habits, (honour_draw, backoff_draw, impatience_draw, _) = self.scenario.clients, request.habit_draws
        request.status = outcome
        rejections = request.rejections.total()
        if outcome == "failed" or rejections > round(habits.retries) + (impatience_draw < habits.impatient):
            return
        if not retry_after_us or honour_draw >= habits.honour:
            retry_after_us = int(habits.backoff_ms * 1e3 * rejections * (0.5 + backoff_draw))
        if impatience_draw < habits.impatient:
            retry_after_us //= 10
        self.simulation.clock.after(max(1, retry_after_us), self.submit, request, True)

    def message_delivered(self, message: HeldMessage) -> None:
        """The partner has executed the message and answered."""
        request = self.requests[message.request_number]
        if request.delivered_us < 0:
            request.delivered_us = self.simulation.clock.now
            request.status = "delivered"


class LoadBalancer:
    """Distributes clients over couriers by their shares of the traffic; learns late that a courier died."""

    def __init__(self, simulation: Simulation) -> None:
        scenario, rng = simulation.scenario, stream(simulation.seed, "front")
        self.simulation = simulation
        shares = zipf_weights(scenario.fleet.couriers, scenario.load.zipf)
        first, second = rng.permutation(shares), rng.permutation(shares)
        self.cumulative_shares = [np.cumsum(first).tolist(), np.cumsum(second).tolist()]
        self.shift_us = int(scenario.load.shift_at * scenario.seconds * 1e6)
        self.believed_alive = [True] * scenario.fleet.couriers

    def choose_courier(self, position: float):
        """The courier at this position, or the next one that is believed alive; None if none is."""
        now, count = self.simulation.clock.now, len(self.believed_alive)
        cumulative = self.cumulative_shares[bool(self.shift_us and now >= self.shift_us)]
        index = min(bisect.bisect_left(cumulative, position * cumulative[-1]), count - 1)
        for probe in range(count):
            if self.believed_alive[(index + probe * 7919) % count]:
                return self.simulation.couriers[(index + probe * 7919) % count]
        return None
