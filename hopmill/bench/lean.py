"""Idle memory, start to ready, and CPU a message at a steady rate, for several revisions in turn.

    python -m hopmill.bench.lean NAME=CHECKOUT [NAME=CHECKOUT ...] [--rate 800 --seconds 10 --rounds 3]

The revisions take turns, round by round, so that a slow spell of the machine meets all of them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
from pathlib import Path
from typing import Any

from hopmill.bench.subject import Subject
from hopmill.bench.world import World

IDLE_S = 1.0


async def measure(
    name: str, checkout: Path, rate: float, seconds: float, door: bool, extra: dict[str, Any]
) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="hopmill-bench-") as folder:
        world = World(partners=20, latency_s=0.05)
        await world.start()
        subject = Subject(
            name, checkout, Path(folder), world.settings(), world.known(), world.discovery.port, door, extra
        )
        try:
            await subject.start()
            await asyncio.sleep(IDLE_S)
            idle = subject.usage()
            load = await world.load(subject.port, rate, seconds, connections=20)
            busy = subject.usage()
            return {
                "ready_s": subject.ready_s,
                "idle_mb": idle.rss_kb / 1024,
                "busy_mb": busy.peak_kb / 1024,
                "delivered": load.delivered,
                "lost": load.lost,
                "cpu_us_a_message": (busy.cpu_s - idle.cpu_s) / max(1, load.delivered) * 1e6,
                "p50_ms": load.percentile_ms(0.5),
                "p99_ms": load.percentile_ms(0.99),
            }
        finally:
            await subject.stop()
            await world.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument(
        "revision", nargs="+", help="NAME=CHECKOUT; NAME+door has its door open, NAME+debug logs at debug"
    )
    parser.add_argument("--rate", type=float, default=800)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rounds", type=int, default=3)
    given = parser.parse_args()
    rows: dict[str, list[dict[str, float]]] = {}
    for _ in range(given.rounds):
        for revision in given.revision:
            name, _, checkout = revision.partition("=")
            extra = {"log": {"level": "debug", "lines_per_s": 100_000}} if "+debug" in name else {}
            row = asyncio.run(
                measure(name, Path(checkout).resolve(), given.rate, given.seconds, "+door" in name, extra)
            )
            rows.setdefault(name, []).append(row)
    for name, measured in rows.items():
        figures = {
            key: [round(min(v), 3), round(statistics.median(v), 3), round(max(v), 3)]
            for key in measured[0]
            for v in [[row[key] for row in measured]]
        }
        print(json.dumps({"name": name, "rate": given.rate, "min_median_max": figures}))


if __name__ == "__main__":
    main()
