"""A model of a fleet after an outage of discovery: when each courier has learned a drain, and what it costs.

Discovery ends all watches and refuses new ones until it is back. To run it:
`python -m hopmill.lab.discovery_outage`.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from hopmill.net.backoff import retry_waits

FLEETS = (2, 24, 200, 1000)  # couriers
OUTAGES_S = (2.0, 8.0, 30.0, 60.0)
PLAYS = 10  # of each fleet and outage
MAX_AFTER_S = 600.0  # a play ends so long after discovery is back
SERVICE_S, QUEUE_LIMIT_S = (
    0.13,
    2.0,
)  # a server that answers 7.7 a second, and refuses what has waited for long


@dataclass
class Server:
    """Discovery. back_at: when it takes watches again. service_s: 0 if it answers any number at once."""

    back_at: float
    service_s: float = 0.0
    free_at: float = 0.0

    def answer_at(self, asked_at: float) -> tuple[float, bool]:
        """Return when a question is answered, and whether with a list."""
        if asked_at < self.back_at:
            return asked_at, False
        begins_at = max(asked_at, self.free_at)
        if begins_at + self.service_s - asked_at > QUEUE_LIMIT_S:
            return asked_at + QUEUE_LIMIT_S, False
        self.free_at = begins_at + self.service_s
        return self.free_at, True


@dataclass
class Play:
    """What a play has shown. learned_s: by courier, since discovery was back; asked: questions by second."""

    learned_s: list[float]
    asked: Counter[int]


def play(couriers: int, outage_s: float, service_s: float, seed: int) -> Play:
    """Let a fleet lose its watches at 0 and follow each courier until it has the list again."""
    random.seed(f"{seed} {couriers} {outage_s} {service_s}")
    server, result = Server(outage_s, service_s), Play([], Counter())
    waits = [retry_waits(couriers, is_server_shared=True) for _ in range(couriers)]
    asks = [(waits[courier].reopen(), courier) for courier in range(couriers)]
    heapq.heapify(asks)
    while asks and asks[0][0] < outage_s + MAX_AFTER_S:
        asked_at, courier = heapq.heappop(asks)
        result.asked[int(asked_at)] += 1
        answered_at, is_list = server.answer_at(asked_at)
        if is_list:
            result.learned_s.append(answered_at - outage_s)
        else:
            heapq.heappush(asks, (answered_at + waits[courier].after_refusal.next(), courier))
    result.learned_s += [MAX_AFTER_S] * len(asks)
    return result


def row(couriers: int, outage_s: float, service_s: float) -> str:
    """Return a row of the table in docs/capacity.md."""
    plays = [play(couriers, outage_s, service_s, seed) for seed in range(PLAYS)]
    learned_s = sorted(seconds for one in plays for seconds in one.learned_s)
    p50_s, p99_s = learned_s[len(learned_s) // 2], learned_s[int(len(learned_s) * 0.99)]
    busiest = max(count for one in plays for count in one.asked.values())
    steady = [one.asked[second] for one in plays for second in range(int(outage_s / 2), int(outage_s))]
    return (
        f"| {couriers} | {outage_s:g} | {p50_s:.1f} | {p99_s:.1f} | {learned_s[-1]:.1f} | "
        f"{sum(steady) / len(steady):.1f} | {busiest} |"
    )


def main() -> None:
    """Print both tables: a server that answers at once when it is back, and one that is overloaded then."""
    for service_s in (0.0, SERVICE_S):
        print(f"service {service_s:g} s")
        for couriers in FLEETS:
            for outage_s in OUTAGES_S:
                print(row(couriers, outage_s, service_s))


if __name__ == "__main__":
    main()
