"""Where worth was lost: by cause, by courier and by second."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from hopmill.lab.result import served_share

if TYPE_CHECKING:
    from hopmill.lab.clients import ClientRequest
    from hopmill.lab.simulation import Simulation


def loss_cause(simulation: Simulation, request: ClientRequest) -> str:
    """The partner's kind and why the message was late, rejected or lost, as a key of the result."""
    kind = simulation.scenario.kinds[simulation.partners[request.destination - 1].kind_index].name
    if request.delivered_us >= 0:
        return f"{kind}: delivered late" + (" after being handed in again" if request.submissions > 1 else "")
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
    return f"{kind}: {names.get(request.status, request.status)}"


def losses(simulation: Simulation) -> dict[str, Any]:
    """The losses of a run.

    lost_by_cause: shares of all worth; lost_by_courier: rows of worth by second; latencies_us: of what was
    delivered.
    """
    total_worth = sum(request.worth for request in simulation.clients.requests) or 1.0
    by_cause: dict[str, float] = defaultdict(float)
    seconds = int(simulation.scenario.seconds) + 1
    over_time: dict[str, list[float]] = defaultdict(lambda: [0.0] * seconds)
    rows = [[0.0] * seconds for _ in simulation.couriers]
    latencies = []
    for request in simulation.clients.requests:
        served_part = served_share(simulation, request)
        if request.delivered_us >= 0:
            latencies.append(request.delivered_us - request.created_us)
        if served_part < 1:
            name, lost = loss_cause(simulation, request), request.worth * (1 - served_part) / total_worth
            by_cause[name] += lost
            over_time[name][min(seconds - 1, request.created_us // 1_000_000)] += lost
            rows[request.last_courier][min(seconds - 1, request.created_us // 1_000_000)] += request.worth * (
                1 - served_part
            )
    return {
        "lost_by_cause": {k: round(v, 6) for k, v in sorted(by_cause.items())},
        "lost_over_time": {k: [round(v, 7) for v in row] for k, row in sorted(over_time.items())},
        "lost_by_courier": [[round(v, 3) for v in row] for row in rows],
        "latencies_us": latencies,
    }
