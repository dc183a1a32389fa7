"""Where worth was lost: by what happened last, at which courier, in which second."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from hopmill.lab.result import served

if TYPE_CHECKING:
    from hopmill.lab.clients import Origin
    from hopmill.lab.world import World


def cause(world: World, o: Origin) -> str:
    """In words: delivered late, refused at the door, given back after waiting, given up, or still open."""
    kind = world.scenario.kinds[world.partners[o.dest - 1].kind].name
    if o.delivered_at >= 0:
        return f"{kind}: delivered late" + (" after being handed in again" if o.tries > 1 else "")
    names = {
        "refused": "refused when handed in",
        "deferred": "given back after waiting",
        "undeliverable": "given up",
        "failed": "failed when handed in",
        "too late": "no time left",
        "gone": "its courier died",
        "no courier": "no courier",
        "open": "no end",
        "": "never handed in",
    }
    return f"{kind}: {names.get(o.fate, o.fate)}"


def losses(world: World) -> dict[str, Any]:
    """lost_by_cause as shares of all worth; lost_by_courier as rows of worth by second; latencies_us."""
    asked = sum(o.worth for o in world.clients.origins) or 1.0
    by_cause: dict[str, float] = defaultdict(float)
    seconds = int(world.scenario.seconds) + 1
    over_time: dict[str, list[float]] = defaultdict(lambda: [0.0] * seconds)
    rows = [[0.0] * seconds for _ in world.couriers]
    latencies = []
    for o in world.clients.origins:
        share = served(world, o)
        if o.delivered_at >= 0:
            latencies.append(o.delivered_at - o.born)
        if share < 1:
            name, lost = cause(world, o), o.worth * (1 - share) / asked
            by_cause[name] += lost
            over_time[name][min(seconds - 1, o.born // 1_000_000)] += lost
            rows[o.courier][min(seconds - 1, o.born // 1_000_000)] += o.worth * (1 - share)
    return {
        "lost_by_cause": {k: round(v, 6) for k, v in sorted(by_cause.items())},
        "lost_over_time": {k: [round(v, 7) for v in row] for k, row in sorted(over_time.items())},
        "lost_by_courier": [[round(v, 3) for v in row] for row in rows],
        "latencies_us": latencies,
    }
