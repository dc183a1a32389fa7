"""Measures idle memory, time to ready, and CPU per message at a steady rate, for several revisions.

    python -m hopmill.bench.lean NAME=CHECKOUT [NAME=CHECKOUT ...] [--rate 800 --seconds 10 --rounds 3]

Each round measures every revision once, so that a slow phase of the machine affects all of them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
from pathlib import Path
from typing import Any

from hopmill.bench.subject import MeasuredCourier
from hopmill.bench.environment import Environment

IDLE_PERIOD_S = 1.0  # from ready to the reading of idle memory


async def measure(
    name: str,
    checkout: Path,
    rate_per_s: float,
    seconds: float,
    has_operator_api: bool,
    extra_config: dict[str, Any],
) -> dict[str, float]:
    """Run one courier, first idle and then under load; return its figures."""
    with tempfile.TemporaryDirectory(prefix="hopmill-bench-") as folder:
        environment = Environment(partner_count=20, latency_s=0.05)
        await environment.start()
        courier = MeasuredCourier(
            name,
            checkout,
            Path(folder),
            environment.settings(),
            environment.known_targets(),
            environment.discovery.port,
            has_operator_api,
            extra_config,
        )
        try:
            await courier.start()
            await asyncio.sleep(IDLE_PERIOD_S)
            idle = courier.usage()
            result = await environment.load(courier.port, rate_per_s, seconds, connections=20)
            busy = courier.usage()
            return {
                "ready_s": courier.ready_s,
                "idle_mb": idle.rss_kb / 1024,
                "busy_mb": busy.peak_rss_kb / 1024,
                "delivered": result.delivered,
                "lost": result.lost,
                "cpu_us_a_message": (busy.cpu_s - idle.cpu_s) / max(1, result.delivered) * 1e6,
                "p50_ms": result.percentile_ms(0.5),
                "p99_ms": result.percentile_ms(0.99),
            }
        finally:
            await courier.stop()
            await environment.stop()


def main() -> None:
    """Measure the revisions given on the command line; print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument(
        "revision",
        nargs="+",
        help="NAME=CHECKOUT; NAME+door enables the operator API, NAME+debug logs at debug level",
    )
    parser.add_argument("--rate", type=float, default=800)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    rows: dict[str, list[dict[str, float]]] = {}
    for _ in range(options.rounds):
        for revision in options.revision:
            name, _, checkout = revision.partition("=")
            extra_config = {"log": {"level": "debug", "lines_per_s": 100_000}} if "+debug" in name else {}
            row = asyncio.run(
                measure(
                    name,
                    Path(checkout).resolve(),
                    options.rate,
                    options.seconds,
                    "+door" in name,
                    extra_config,
                )
            )
            rows.setdefault(name, []).append(row)
    for name, measured in rows.items():
        figures = {
            key: [round(min(values), 3), round(statistics.median(values), 3), round(max(values), 3)]
            for key in measured[0]
            for values in [[row[key] for row in measured]]
        }
        print(json.dumps({"name": name, "rate": options.rate, "min_median_max": figures}))


if __name__ == "__main__":
    main()
