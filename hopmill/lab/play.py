"""One run of a scenario as one JSON object, also when it ends with an error."""

from __future__ import annotations

import importlib
from types import ModuleType
from typing import Any

import msgspec

from hopmill.lab.courier import ModuleFailedError
from hopmill.lab.dialect import Dialect
from hopmill.lab.losses import losses
from hopmill.lab.result import calls_by_lane, worth_by_second, result
from hopmill.lab.rules import RuleBrokenError
from hopmill.lab.scenario import Scenario
from hopmill.lab.simulation import Simulation


# Former paths of constants, which command lines and recorded comparisons still name.
CONSTANT_ALIASES = {
    "policy.links.HALF": "policy.links.FULL_TABLE_FACTOR",
    "policy.pacing.BASE_US": "policy.pacing.FIRST_BACKOFF_US",
    "policy.pacing.BURST_PRICED_S": "policy.pacing.BURST_WITH_REFUSAL_COST_S",
    "policy.pacing.FLOOR": "policy.pacing.MIN_LIMIT_SHARE",
    "policy.pacing.GROW": "policy.pacing.GROWTH_SHARE",
    "policy.turn.TICKS": "policy.turn.DEADLINE_MARGIN_TICKS",
}


def override(changes: dict[str, str]) -> None:
    """Sets constants of modules under hopmill, from values as JSON: {'policy.pacing.GROWTH_SHARE': '0.2'}.

    KeyError: there is no such constant.
    """
    for path, json_value in changes.items():
        module, name = _constant(path)
        setattr(module, name, msgspec.json.decode(json_value))


def _constant(path: str) -> tuple[ModuleType, str]:
    """The module and the constant's name in it. A former path is used if the present name is missing."""
    for candidate in (path, CONSTANT_ALIASES.get(path, path)):
        module_path, _, name = candidate.rpartition(".")
        module = importlib.import_module(f"hopmill.{module_path}")
        if hasattr(module, name):
            return module, name
    raise KeyError(path)


def play(scenario: Scenario, seed: int, with_details: bool = False) -> dict[str, Any]:
    """Runs a scenario with one seed.

    A broken rule or a failed module is a result too: `broken` says which, and `g` is 0.
    with_details: adds calls by lane, worth by second, limit shares and losses.
    """
    simulation = Simulation(scenario, seed, Dialect())
    lane_samples: list[dict[str, Any]] = []
    if with_details:
        for second in range(int(scenario.seconds) + 1):
            simulation.clock.at(second * 1_000_000, lambda: lane_samples.append(limit_shares(simulation)))
    failure: dict[str, Any] = {}
    try:
        simulation.play()
    except RuleBrokenError as error:
        failure = {"broken": error.rule, "text": str(error), "trace": error.trace}
    except ModuleFailedError as error:
        failure = {"broken": "module failed", "text": f"seed {seed}: {error}", "trace": []}
    row = result(simulation)
    if simulation.members:
        row["members"] = simulation.members.summary()
    if simulation.policy:
        row["policy"] = simulation.policy.summary()
    if failure:
        row |= {"g": 0.0, **failure}
    if with_details:
        row |= {
            "lanes": calls_by_lane(simulation),
            "seconds": worth_by_second(simulation),
            "parts": lane_samples,
            **losses(simulation),
        }
    return row


def limit_shares(simulation: Simulation) -> dict[str, Any]:
    """The sums over couriers, for each lane, of their current shares of its limit and of their paces."""
    sums_by_lane: dict[str, list[float]] = {}
    for courier in simulation.couriers:
        # Earlier builds have the state as `book`, or all of it in the courier itself.
        state = getattr(courier.module, "state", None) or getattr(courier.module, "book", courier.module)
        destinations = getattr(state, "destinations", None) or getattr(state, "dests", None) or {}
        for destination in destinations.values():
            for lane in getattr(destination, "lanes", ()):
                endpoint = simulation.endpoints.get(next(iter(lane.endpoints), 0))
                if endpoint is None:
                    continue
                lane_sums = sums_by_lane.setdefault(endpoint.target.name, [0.0, 0.0])
                lane_sums[0] += getattr(lane, "limit_share_per_s", getattr(lane, "listed", 0.0))
                lane_sums[1] += getattr(lane, "pace_per_s", getattr(lane, "rate", 0.0))
    return {
        name: {"parts": round(a, 3), "pace": round(b, 3)} for name, (a, b) in sorted(sums_by_lane.items())
    }
