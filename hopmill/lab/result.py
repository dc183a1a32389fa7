"""What a play came to: worth served, prices, refusals by reason, and calls by lane over time."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hopmill.lab.clients import ClientRequest
    from hopmill.lab.scenario import Cls
    from hopmill.lab.world import Simulation

STEP_S = 0.1


def worth_at(c: Cls, late: str, took_us: int) -> float:
    """Share of a message's worth when it is delivered so long after it was first handed in."""
    aim, deadline = c.aim_ms * 1e3, c.deadline_ms * 1e3
    if took_us <= aim:
        return 1.0
    if took_us >= deadline:
        return 0.0
    if late == "halves":
        return max(c.late_worth, 0.5 ** ((took_us - aim) / aim))
    return 1 - (1 - c.late_worth) * (took_us - aim) / (deadline - aim)


def served(simulation: Simulation, request: ClientRequest) -> float:
    if request.delivered_us < 0:
        return 0.0
    c = simulation.scenario.classes[request.class_index]
    return worth_at(c, simulation.scenario.late, request.delivered_us - request.created_us)


def _share(simulation: Simulation, requests: list[ClientRequest]) -> float:
    asked = sum(o.worth for o in requests)
    return sum(o.worth * served(simulation, o) for o in requests) / asked if asked else 1.0


def result(simulation: Simulation) -> dict[str, Any]:
    """Without times of the real clock: the same on every run of this build."""
    s, requests = simulation.scenario, simulation.clients.requests
    first = max(1, len(requests))
    whole = _share(simulation, requests)
    by_class = {
        c.name: _share(simulation, [o for o in requests if o.class_index == n])
        for n, c in enumerate(s.classes)
    }
    by_tenant = {
        t.name: _share(simulation, [o for o in requests if o.tenant == n and o.worth >= 1])
        for n, t in enumerate(s.tenants)
    }
    window = int(min(s.goal.window_ms, s.seconds * 1e3) * 1e3)
    worst, worst_at = _worst_window(simulation, window)
    refused = sum(sum(t.refusals_by_step.values()) for p in simulation.partners for t in p.targets)
    reasons: Counter[str] = Counter()
    for partner in simulation.partners:
        for target in partner.targets:
            reasons.update(target.refusals_by_reason)
    endpoints = simulation.endpoints.values()
    asked_work = sum(o.work_us[0] for o in requests) or 1.0
    late_fail = sum(o.worth for o in requests if o.delivered_us < 0) / max(
        1e-9, sum(o.worth for o in requests)
    )
    prices = {
        "refused": s.prices.refused * refused / first,
        "handshake": s.prices.handshake * simulation.counts["connections"] / first,
        "waste": s.prices.waste * sum(e.wasted_us for e in endpoints) / asked_work,
        "late_fail": s.prices.late_fail * late_fail,
        "fees": _fees(simulation) / first,
    }
    goal = s.goal
    served_ = (
        goal.whole * whole
        + goal.worst_window * worst
        + goal.worst_class * min(by_class.values())
        + goal.worst_tenant * min(by_tenant.values(), default=whole)
    )
    fates = Counter(o.status for o in requests)
    why: Counter[str] = Counter()
    for o in requests:
        why.update(o.rejections)
    counts = simulation.counts
    return {
        "seed": simulation.seed,
        "scenario": s.name,
        "couriers": s.fleet.couriers,
        "messages": len(requests),
        "g": round(served_ - sum(prices.values()), 6),
        "served": round(whole, 6),
        "worst_window": round(worst, 6),
        "worst_at_s": worst_at,
        "by_class": _rounded(by_class),
        "by_tenant": _rounded(by_tenant),
        "prices": _rounded(prices),
        "fates": dict(sorted(fates.items())),
        "turned_away": dict(sorted(why.items())),
        "outcomes": {
            k.removeprefix("outcome "): v for k, v in sorted(counts.items()) if k.startswith("outcome")
        },
        "calls": counts["calls"],
        "connections": counts["connections"],
        "fell": counts["fell"],
        "refused_calls": refused,
        "refused_by_partners": dict(sorted(reasons.items())),
        "held_mean": round(simulation.held_message_us / max(1, simulation.clock.now), 6),
        "held_by_stays": round(simulation.total_stay_us / max(1, simulation.clock.now), 6),
        "unknown": sorted(simulation.dialect.unknown),
    }


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {k: round(v, 6) for k, v in values.items()}


def _fees(simulation: Simulation) -> float:
    s = simulation.scenario
    if not s.net.fee:
        return 0.0
    return sum(
        s.net.fee * e.zone / max(1, s.net.zones - 1) * sum(e.target.calls_by_step.values())
        for e in simulation.endpoints.values()
        if e.target.kind.routes_apart
    )


def _worst_window(simulation: Simulation, window: int) -> tuple[float, float]:
    """The least share served of what came in any window of that length, and when it began."""
    step = window // 5
    asked: dict[int, float] = defaultdict(float)
    got: dict[int, float] = defaultdict(float)
    for o in simulation.clients.requests:
        at = o.created_us // step
        asked[at] += o.worth
        got[at] += o.worth * served(simulation, o)
    last = int(simulation.scenario.seconds * 1e6) // step
    rows = []
    for start in range(0, max(1, last - 4)):
        total = sum(asked[n] for n in range(start, start + 5))
        if total:
            rows.append((sum(got[n] for n in range(start, start + 5)) / total, start * step / 1e6))
    worst, at = min(rows, default=(1.0, 0.0))
    return worst, round(at, 3)


def by_lane(simulation: Simulation) -> dict[str, dict[str, Any]]:
    """Calls and refusals in steps of 100 ms, beside the limit, for each partner or route."""
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


def by_second(simulation: Simulation) -> list[dict[str, float]]:
    """Worth asked and served, by the second in which it was handed in."""
    rows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for o in simulation.clients.requests:
        row = rows[o.created_us // 1_000_000]
        row[0] += o.worth
        row[1] += o.worth * served(simulation, o)
    return [{"second": n, "asked": round(a, 3), "served": round(b, 3)} for n, (a, b) in sorted(rows.items())]
