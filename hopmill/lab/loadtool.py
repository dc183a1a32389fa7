"""An open-loop load on a courier that is up: latency counts from when a request was due, not from when it
could be written, so that a courier that stalls is charged for all that waited (coordinated omission)."""

from __future__ import annotations

import asyncio
import ipaddress
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from hopmill.lab.farm import LabError
from hopmill.net.config import Address
from hopmill.standin.client import ANSWER_TIMEOUT_S, Client

LOOPBACK = ipaddress.ip_network("127.0.0.0/8")
MOST_S, MOST_RATE, MOST_CLIENTS = 600.0, 20_000.0, 500  # a load ends by itself


@dataclass(frozen=True)
class Plan:
    """rate_per_s over all clients; clumps: share of the requests that come ten at a time."""

    rate_per_s: float = 100.0
    seconds: float = 10.0
    clients: int = 20
    classes: tuple[str, ...] = ("safe",)
    partners: tuple[int, ...] = (1,)
    tenant: str = "t"
    life_ms: int = 6000
    clumps: float = 0.0
    seed: int = 1


@dataclass
class Told:
    """Microseconds in the histogram, by answer in the counts."""

    counts: Counter[str] = field(default_factory=Counter)
    from_due: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    from_write: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    def as_json(self) -> dict[str, object]:
        def rows(h: HdrHistogram) -> dict[str, float]:
            return {f"p{p:g}": round(h.get_value_at_percentile(p) / 1e3, 2) for p in (50, 90, 99, 99.9)}

        return {
            **dict(sorted(self.counts.items())),
            "from_due_ms": rows(self.from_due),
            "from_write_ms": rows(self.from_write),
        }


def checked(address: Address, plan: Plan) -> None:
    """LabError for what is not this machine's loopback, or not bounded."""
    try:
        inside = ipaddress.ip_address(address[0]) in LOOPBACK
    except ValueError:
        inside = False
    if not inside:
        raise LabError(f"{address[0]}: a load goes to 127.0.0.0/8 only")
    if not 0 < plan.seconds <= MOST_S or not 0 < plan.rate_per_s <= MOST_RATE:
        raise LabError(f"at most {MOST_S:g} s and {MOST_RATE:g} requests a second")
    if not 1 <= plan.clients <= MOST_CLIENTS:
        raise LabError(f"from 1 to {MOST_CLIENTS} clients")


def arrivals(plan: Plan) -> list[float]:
    """Seconds from the start, in order."""
    chance, due, rows = random.Random(plan.seed), 0.0, []
    while due < plan.seconds:
        size = 10 if chance.random() < plan.clumps / 10 else 1
        rows += [due] * size
        due += chance.expovariate(plan.rate_per_s / (1 + 9 * plan.clumps / 10))
    return rows


async def run(address: Address, plan: Plan) -> Told:
    checked(address, plan)
    told, queue = Told(), asyncio.Queue[tuple[float, str]]()
    began = time.monotonic()
    tasks = [asyncio.create_task(_client(address[1], plan, queue, told, n)) for n in range(plan.clients)]
    for at, due in enumerate(arrivals(plan)):
        if (wait := began + due - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        told.counts["offered"] += 1
        queue.put_nowait((began + due, f"l{plan.seed:x}-{at:x}"))
    await queue.join()
    for task in tasks:
        task.cancel()
    return told


async def _client(port: int, plan: Plan, queue: asyncio.Queue[tuple[float, str]], told: Told, n: int) -> None:
    chance, client = random.Random(plan.seed * 1000 + n), None
    while True:
        due, ident = await queue.get()
        wrote = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                client = client or await Client().open(port)
                said = await client.send(
                    client.message(
                        ident,
                        chance.choice(plan.classes),
                        chance.choice(plan.partners),
                        plan.life_ms,
                        tenant=plan.tenant,
                        key=ident,
                    )
                )
            told.counts["taken" if said[:1] == "+" else "busy" if said[:5] == "-BUSY" else "error"] += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            told.counts["no answer"] += 1
            if client:
                client.close()
            client = None
        finally:
            now = time.monotonic()
            told.from_due.record_value(max(1, int((now - due) * 1e6)))
            told.from_write.record_value(max(1, int((now - wrote) * 1e6)))
            queue.task_done()
