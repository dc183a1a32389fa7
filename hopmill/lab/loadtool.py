"""An open-loop load on a running courier.

Latency counts from when a request was due, not from when it could be written, so that a stalled courier is
charged for all requests that waited (coordinated omission).
"""

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
# Every load ends by itself and within these limits.
MAX_SECONDS, MAX_RATE_PER_S, MAX_CLIENTS = 600.0, 20_000.0, 500


@dataclass(frozen=True)
class Plan:
    """A load. rate_per_s: over all clients; clumps: share of the requests that come ten at a time."""

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
class Measurements:
    """Latencies in us, from the due time and from the write, and counts by answer."""

    counts: Counter[str] = field(default_factory=Counter)
    from_due: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    from_write: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    def as_json(self) -> dict[str, object]:
        """The counts, and percentiles in ms."""

        def rows(histogram: HdrHistogram) -> dict[str, float]:
            return {
                f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1e3, 2) for p in (50, 90, 99, 99.9)
            }

        return {
            **dict(sorted(self.counts.items())),
            "from_due_ms": rows(self.from_due),
            "from_write_ms": rows(self.from_write),
        }


def check_limits(address: Address, plan: Plan) -> None:
    """LabError unless the address is a loopback address and the plan within the limits."""
    try:
        is_loopback = ipaddress.ip_address(address[0]) in LOOPBACK
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise LabError(f"{address[0]}: the load target must be in 127.0.0.0/8")
    if not 0 < plan.seconds <= MAX_SECONDS or not 0 < plan.rate_per_s <= MAX_RATE_PER_S:
        raise LabError(
            f"a load is at most {MAX_SECONDS:g} s long, with {MAX_RATE_PER_S:g} requests per second"
        )
    if not 1 <= plan.clients <= MAX_CLIENTS:
        raise LabError(f"a load has 1 to {MAX_CLIENTS} clients")


def arrivals(plan: Plan) -> list[float]:
    """When each request is due, in seconds from the start, in order."""
    rng, due, rows = random.Random(plan.seed), 0.0, []
    while due < plan.seconds:
        size = 10 if rng.random() < plan.clumps / 10 else 1
        rows += [due] * size
        due += rng.expovariate(plan.rate_per_s / (1 + 9 * plan.clumps / 10))
    return rows


async def run(address: Address, plan: Plan) -> Measurements:
    """Sends the load and returns when every request has an answer or has timed out."""
    check_limits(address, plan)
    measurements, queue = Measurements(), asyncio.Queue[tuple[float, str]]()
    started_at = time.monotonic()
    tasks = [
        asyncio.create_task(_client(address[1], plan, queue, measurements, n)) for n in range(plan.clients)
    ]
    for index, due in enumerate(arrivals(plan)):
        if (wait := started_at + due - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        measurements.counts["offered"] += 1
        queue.put_nowait((started_at + due, f"l{plan.seed:x}-{index:x}"))
    await queue.join()
    for task in tasks:
        task.cancel()
    return measurements


async def _client(
    port: int,
    plan: Plan,
    queue: asyncio.Queue[tuple[float, str]],
    measurements: Measurements,
    client_number: int,
) -> None:
    rng, client = random.Random(plan.seed * 1000 + client_number), None
    while True:
        due, message_id = await queue.get()
        written_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                client = client or await Client().open(port)
                answer = await client.send(
                    client.message(
                        message_id,
                        rng.choice(plan.classes),
                        rng.choice(plan.partners),
                        plan.life_ms,
                        tenant=plan.tenant,
                        key=message_id,
                    )
                )
            measurements.counts[
                "taken" if answer[:1] == "+" else "busy" if answer[:5] == "-BUSY" else "error"
            ] += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            measurements.counts["no answer"] += 1
            if client:
                client.close()
            client = None
        finally:
            now = time.monotonic()
            measurements.from_due.record_value(max(1, int((now - due) * 1e6)))
            measurements.from_write.record_value(max(1, int((now - written_at) * 1e6)))
            queue.task_done()
