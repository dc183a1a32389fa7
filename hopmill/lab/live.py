"""A scenario on real sockets: courier processes, and stand-ins sized like the model's partners."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from hopmill.lab.scenario import Scenario, draw, load
from hopmill.lab.simulation import Simulation
from hopmill.standin.load import LoadClass
from hopmill.standin.partner import PartnerSettings
from hopmill.standin.loopback_system import Options, LoopbackSystem

STAND_IN_FAULTS = {
    "down": "down",
    "silent": "silent",
    "hung": "silent",
    "shut": "shut",
    "zone_cut": "zone",
    "kill": "restart",
    "restart": "restart",
    "errors": "errors",
    "slow": "slow",
}


def plans(simulation: Simulation) -> list[PartnerSettings]:
    """The model's partners as stand-ins."""
    rows = []
    for partner in simulation.partners:
        kind = partner.targets[0].kind
        work_ms = sum(c.work_ms * c.share for c in simulation.scenario.classes)
        work_ms /= sum(c.share for c in simulation.scenario.classes)
        rows.append(
            PartnerSettings(
                partner.number,
                f"p{partner.number}",
                "apart" if kind.routes_apart else "bundles" if kind.bundle > 1 else "plain",
                rate_per_s=partner.rate_per_s,
                max_batch=kind.bundle,
                latency_ms=work_ms * partner.targets[0].slowdown,
                latency_sigma=0.5,
                extra_message_ms=work_ms * kind.item_cost,
                max_connections=int(kind.connections),
                routes_apart=kind.routes_apart,
                cold_share=kind.cold_from,
                cold_s=kind.cold_ms / 1e3,
                fall_multiple=simulation.scenario.fall_multiple,
                fall_s=simulation.scenario.fall_ms / 1e3,
            )
        )
    return rows


def kinds(scenario: Scenario) -> list[LoadClass]:
    """The scenario's message classes, as the stand-in clients send them."""
    return [
        LoadClass(
            c.name, c.share, c.aim_ms / 1e3, c.deadline_ms / 1e3, c.effect == "unsafe", c.effect == "keyed"
        )
        for c in scenario.classes
    ]


def run(name: str, couriers: int, seconds: float, seed: int) -> dict[str, Any]:
    """The account of the run, as `hopmill demo --json` prints it.

    Of the scenario's faults only the first that stand-ins support is made.
    """
    scenario = load(name, couriers, seconds=seconds)
    simulation = Simulation(scenario, seed)
    drawn = draw(scenario, seed)
    trouble = next((STAND_IN_FAULTS[t.kind] for t in drawn.troubles if t.kind in STAND_IN_FAULTS), "none")
    rate = min(500.0, drawn.load.rate_per_s * drawn.load.factor)
    with tempfile.TemporaryDirectory(prefix="hopmill-live-") as folder:
        scene = LoopbackSystem(
            Options(seconds, rate, couriers, trouble, seed), Path(folder), plans(simulation), kinds(drawn)
        )
        return asyncio.run(scene.run()).as_json() | {"trouble": trouble, "rate": round(rate, 1)}
