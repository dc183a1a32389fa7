"""The result of a run: worth served, prices, refusals by reason, and calls by lane over time."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hopmill.lab.clients import ClientRequest
    from hopmill.lab.scenario import MessageClass
    from hopmill.lab.simulation import Simulation

STEP_S = 0.1


def worth_at(message_class: MessageClass, late_rule: str, latency_us: int) -> float:
    """The share of a message's worth at this latency, counted from its first submission."""
    aim, deadline = message_class.aim_ms * 1e3, message_class.deadline_ms * 1e3
    if latency_us <= aim:
        return 1.0
    if latency_us >= deadline:
        return 0.0
    if late_rule == "halves":
        return max(message_class.late_worth, 0.5 ** ((latency_us - aim) / aim))
    return 1 - (1 - message_class.late_worth) * (latency_us - aim) / (deadline - aim)


def served_share(simulation: Simulation, request: ClientRequest) -> float:
    """The share of a message's worth that was served."""
    if request.delivered_us < 0:
        return 0.0
    message_class = simulation.scenario.classes[request.class_index]
    return worth_at(message_class, simulation.scenario.late, request.delivered_us - request.created_us)


def _total_served_share(simulation: Simulation, requests: list[ClientRequest]) -> float:
    total_worth = sum(o.worth for o in requests)
    return sum(o.worth * served_share(simulation, o) for o in requests) / total_worth if total_worth else 1.0


def result(simulation: Simulation) -> dict[str, Any]:
    """The run's figures. They hold no real times, so they are the same for every run of this build."""
    scenario, requests = simulation.scenario, simulation.clients.requests
    whole_share = _total_served_share(simulation, requests)
    by_class = {
        message_class.name: _total_served_share(simulation, [o for o in requests if o.class_index == n])
        for n, message_class in enumerate(scenario.classes)
    }
    by_tenant = {
        t.name: _total_served_share(simulation, [o for o in requests if o.tenant == n and o.worth >= 1])
        for n, t in enumerate(scenario.tenants)
    }
    window_us = int(min(scenario.goal.window_ms, scenario.seconds * 1e3) * 1e3)
    worst_share, worst_start_s = _worst_window(simulation, window_us)
    refused_calls = sum(sum(t.refusals_by_step.values()) for p in simulation.partners for t in p.targets)
    reasons: Counter[str] = Counter()
    for partner in simulation.partners:
        for target in partner.targets:
            reasons.update(target.refusals_by_reason)
    prices = _prices(simulation, refused_calls)
    goal = scenario.goal
    weighted_share = (
        goal.whole * whole_share
        + goal.worst_window * worst_share
        + goal.worst_class * min(by_class.values())
        + goal.worst_tenant * min(by_tenant.values(), default=whole_share)
    )
    fates = Counter(o.status for o in requests)
    rejections: Counter[str] = Counter()
    for o in requests:
        rejections.update(o.rejections)
    counts = simulation.counts
    return {
        "seed": simulation.seed,
        "scenario": scenario.name,
        "couriers": scenario.fleet.couriers,
        "messages": len(requests),
        "g": round(weighted_share - sum(prices.values()), 6),
        "served": round(whole_share, 6),
        "worst_window": round(worst_share, 6),
        "worst_at_s": worst_start_s,
        "by_class": _rounded(by_class),
        "by_tenant": _rounded(by_tenant),
        "prices": _rounded(prices),
        "fates": dict(sorted(fates.items())),
        "turned_away": dict(sorted(rejections.items())),
        "outcomes": {
            k.removeprefix("outcome "): v for k, v in sorted(counts.items()) if k.startswith("outcome")
        },
        "calls": counts["calls"],
        "connections": counts["connections"],
        "fell": counts["fell"],
        "refused_calls": refused_calls,
        "refused_by_partners": dict(sorted(reasons.items())),
        "held_mean": round(simulation.held_message_us / max(1, simulation.clock.now), 6),
        "held_by_stays": round(simulation.total_stay_us / max(1, simulation.clock.now), 6),
        "unknown": sorted(simulation.dialect.unknown),
    }


def _prices(simulation: Simulation, refused_calls: int) -> dict[str, float]:
    """What the result subtracts from the share served, by cause."""
    scenario, requests = simulation.scenario, simulation.clients.requests
    request_count = max(1, len(requests))
    endpoints = simulation.endpoints.values()
    asked_work_us = sum(o.work_us[0] for o in requests) or 1.0
    late_fail = sum(o.worth for o in requests if o.delivered_us < 0) / max(
        1e-9, sum(o.worth for o in requests)
    )
    return {
        "refused": scenario.prices.refused * refused_calls / request_count,
        "handshake": scenario.prices.handshake * simulation.counts["connections"] / request_count,
        "waste": scenario.prices.waste * sum(e.wasted_us for e in endpoints) / asked_work_us,
        "late_fail": scenario.prices.late_fail * late_fail,
        "fees": _fees(simulation) / request_count,
    }


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {k: round(v, 6) for k, v in values.items()}


def _fees(simulation: Simulation) -> float:
    scenario = simulation.scenario
    if not scenario.net.fee:
        return 0.0
    return sum(
        scenario.net.fee * e.zone / max(1, scenario.net.zones - 1) * sum(e.target.calls_by_step.values())
        for e in simulation.endpoints.values()
        if e.target.kind.routes_apart
    )


def _worst_window(simulation: Simulation, window_us: int) -> tuple[float, float]:
    """The lowest share served of what was submitted in any window of that length, and its start in s."""
    step_us = window_us // 5
    worth_by_step: dict[int, float] = defaultdict(float)
    served_by_step: dict[int, float] = defaultdict(float)
    for o in simulation.clients.requests:
        step_number = o.created_us // step_us
        worth_by_step[step_number] += o.worth
        served_by_step[step_number] += o.worth * served_share(simulation, o)
    last_step = int(simulation.scenario.seconds * 1e6) // step_us
    rows = []
    for start in range(0, max(1, last_step - 4)):
        total = sum(worth_by_step[n] for n in range(start, start + 5))
        if total:
            rows.append(
                (sum(served_by_step[n] for n in range(start, start + 5)) / total, start * step_us / 1e6)
            )
    worst, worst_start_s = min(rows, default=(1.0, 0.0))
    return worst, round(worst_start_s, 3)


def calls_by_lane(simulation: Simulation) -> dict[str, dict[str, Any]]:
    """Calls and refusals in steps of 100 ms beside the limit, for each partner or route."""
    steps = int(simulation.clock.now / 1e6 / STEP_S) + 1
    return {
        t.name: {
            "calls": [t.calls_by_step.get(n, 0) for n in range(steps)],
            "refused": [t.refusals_by_step.get(n, 0) for n in range(steps)],
            "limit_per_s": round(t.limit.per_s, 3),
            "capacity_per_s": round(t.capacity_per_s, 3),
        }
        for p in simulation.partners
        for t in p.targets
    }


def worth_by_second(simulation: Simulation) -> list[dict[str, float]]:
    """Worth asked and served, by the second of the first submission."""
    rows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for o in simulation.clients.requests:
        row = rows[o.created_us // 1_000_000]
        row[0] += o.worth
        row[1] += o.worth * served_share(simulation, o)
    return [{"second": n, "asked": round(a, 3), "served": round(b, 3)} for n, (a, b) in sorted(rows.items())]
