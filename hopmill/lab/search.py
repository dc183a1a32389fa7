"""Searches for the scenario variants on which a build does worst, and reduces one to its essentials."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from hopmill.lab.chance import stream
from hopmill.lab.farm import Build, Job, run
from hopmill.lab.scenario import load

SEARCH_RANGES = {  # scenario fields that a search may change, with their lowest and highest value
    "load.rate_per_s": (0.5, 2.0),
    "load.burst": (1.0, 3.0),
    "load.zipf": (0.0, 1.5),
    "load.clumps": (0.0, 0.5),
    "reports.noise": (0.0, 0.4),
    "reports.delay_ms": (1, 1000),
    "net.lost": (0.0, 0.05),
}


def worst(
    build: Build, scenario: str, couriers: int, tries: int, seed: int, progress: Callable[[int, int], None]
) -> list[dict[str, Any]]:
    """Random variants of a scenario, the worst first, each with the changes that define it.

    A broken rule comes before any loss. The rate is a multiple of the scenario's.
    """
    rate = load(scenario, couriers).load.rate_per_s
    base = float(np.mean(rate))
    jobs = []
    for attempt in range(tries):
        rng = stream(seed, f"search {attempt}")
        changes = {
            name: round(float(rng.uniform(*span)), 4)
            for name, span in SEARCH_RANGES.items()
            if rng.random() < 0.5
        }
        if "load.rate_per_s" in changes:
            changes["load.rate_per_s"] = round(changes["load.rate_per_s"] * base, 3)
        jobs.append((Job(build, scenario, couriers, changes), seed * 1000 + attempt))
    rows = [row | {"changes": job.changes} for row, (job, _) in zip(run(jobs, progress), jobs, strict=True)]
    return sorted(rows, key=lambda row: (not row.get("broken"), row["g"], row["seed"]))


def shrink(
    build: Build, scenario: str, couriers: int, row: dict[str, Any], progress: Callable[[str], None]
) -> dict[str, Any]:
    """Drops changes, then halves time and couriers, while the run still breaks that rule or loses as much."""
    rule, worst_g, seed = row.get("broken"), row["g"], row["seed"]
    couriers_left = couriers or load(scenario).fleet.couriers

    def still_fails(changes: dict[str, Any], fleet_size: int) -> bool:
        outcome = next(run([(Job(build, scenario, fleet_size, changes), seed)]))
        return outcome.get("broken") == rule if rule else outcome["g"] <= worst_g + 0.02

    changes = dict(row["changes"])
    for name in list(changes):
        fewer = {k: v for k, v in changes.items() if k != name}
        if still_fails(fewer, couriers_left):
            changes = fewer
            progress(f"without {name}")
    seconds = float(changes.get("seconds", load(scenario).seconds))
    while seconds > 4 and still_fails(changes | {"seconds": seconds / 2}, couriers_left):
        seconds /= 2
        changes["seconds"] = seconds
        progress(f"{seconds:g} s")
    while couriers_left > 2 and "load.rate_per_s" not in changes and still_fails(changes, couriers_left // 2):
        couriers_left //= 2
        progress(f"{couriers_left} couriers")
    return {"scenario": scenario, "seed": seed, "couriers": couriers_left, "changes": changes}
