"""A small world on loopback: partners, discovery, courier processes and a load, with one trouble if asked."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from hopmill.standin.courier import CourierProcess
from hopmill.standin.discovery import Discovery
from hopmill.standin.ledger import SLACK_S, Ledger, Result
from hopmill.standin.load import Kind, Load
from hopmill.standin.partner import Machine, Partner, Plan
from hopmill.standin.server import HOST

TROUBLES = ("none", "down", "silent", "shut", "restart", "zone")
ZONES = ["hall-a", "hall-b"]
KINDS = [
    Kind("news", 0.6, 1.0, 6.0),
    Kind("update", 0.3, 2.0, 8.0, keyed=True),
    Kind("payout", 0.1, 1.0, 8.0, unsafe=True),
]
BEGINS, ENDS = 0.3, 0.55  # of the run, for its trouble
BACK_S = 0.3  # a courier that ended comes back after so long
STEP_S = 0.25  # between two looks at the processes, and two words of progress

COURIER = """
discovery = "{host}:{discovery}"
seed = {seed}
held = 2000
tick_ms = 2
rates_listed = true
report_fields = ["x0", "x1"]
key_rest_ms = 200
zones = [{zones}]
kinds = [{{name = "plain"}}, {{name = "bundles", bundle = {bundle}}}, {{name = "apart", routes_apart = true}}]
tenants = [{{name = "demo", share = 1.0, quota_per_s = 1e6}}]
log = {{level = "{level}", lines_per_s = 2000}}
limits = {{disk_mb = 16}}
calls = {{slots = 48, connect_ms = 500}}
retries = {{attempts = 5, longest_told_wait_ms = 2000}}
returning = {{cold_share = 0.2, cold_ms = 2000, fall_multiple = 2.5, fall_ms = 1000, drain_grace_ms = 2000}}
fleet = {{couriers = {couriers}, me = {me}}}
{classes}
"""
CLASS = '[[classes]]\nname = "{}"\naim_ms = {}\ndeadline_ms = {}\neffect = "{}"\nkey_window_ms = {}\n'


@dataclass(frozen=True)
class Options:
    """Times in seconds; rate in messages a second over all couriers."""

    seconds: float = 10.0
    rate: float = 100.0
    couriers: int = 2
    trouble: str = "down"
    seed: int = 1
    log_level: str = "info"


@dataclass
class Progress:
    """A look at the run."""

    second: float
    note: str  # what the world does just now
    result: Result
    couriers: list[str] = field(default_factory=list)


class Scene:
    """Everything that a demo starts. `run` ends all of it, however it ends itself."""

    def __init__(
        self,
        options: Options,
        folder: Path,
        partners: list[Plan] | None = None,
        kinds: list[Kind] | None = None,
    ) -> None:
        """partners, kinds: of messages; the demo's own if none are given."""
        self.o, self.folder = options, folder
        self.plans, self.kinds = partners or plans(options.rate), kinds or KINDS
        self.ledger = Ledger()
        self.discovery = Discovery(self.ledger.noted)
        self.partners: list[Partner] = []
        self.couriers: list[CourierProcess] = []
        self.asked: set[str] = set()  # couriers whose end is part of the trouble
        self.restarts = 0
        self.note = "well"

    async def run(self, progress: Callable[[Progress], None] = lambda p: None) -> Result:
        """The account of the run. OSError if a courier can't start."""
        try:
            await self._start()
            await self._play(progress)
            return self.ledger.result()
        finally:
            await self._end()

    async def _start(self) -> None:
        chance, now = random.Random(self.o.seed), asyncio.get_running_loop().time()
        await self.discovery.start()
        for plan in self.plans:
            partner = Partner(plan, ZONES, self.ledger, chance, now)
            self.partners.append(partner)
            for machine in partner.machines:
                await machine.start()
                self.discovery.target(
                    machine.uid, machine.port, plan.number, plan.kind, rate=plan.rate_per_s, zone=machine.zone
                )
        for me in range(self.o.couriers):
            text = courier_toml(self.discovery.port, self.o, me, self.kinds)
            self.couriers.append(CourierProcess(f"courier-{me}", self.folder, text))
        await asyncio.gather(*(c.start() for c in self.couriers))

    async def _play(self, progress: Callable[[Progress], None]) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        load = Load(
            self.ledger,
            self.kinds,
            [p.plan.number for p in self.partners],
            lambda: [c.port for c in self.couriers if c.taking],
            random.Random(self.o.seed + 1),
        )
        async with asyncio.TaskGroup() as group:
            handing_in = group.create_task(load.run(self.o.rate, self.o.seconds))
            trouble = group.create_task(self._trouble())
            until = start + self.o.seconds + max(k.life_s for k in self.kinds) + 2 * SLACK_S
            while not (handing_in.done() and trouble.done() and not self.ledger.open(loop.time())):
                await asyncio.sleep(STEP_S)
                await self._keep_up()
                progress(
                    Progress(
                        loop.time() - start,
                        self.note,
                        self.ledger.result(),
                        [c.name for c in self.couriers if c.taking],
                    )
                )
                if loop.time() > until:
                    break
        load.close()

    async def _keep_up(self) -> None:
        """A courier that ended unasked comes back with its folder, as the platform would start it."""
        for courier in self.couriers:
            process = courier.process
            if process and process.returncode is not None and courier.name not in self.asked:
                courier.taking = False
                self.restarts += 1
                await asyncio.sleep(BACK_S)
                await courier.start()

    async def _trouble(self) -> None:
        await asyncio.sleep(self.o.seconds * BEGINS)
        lasts = self.o.seconds * (ENDS - BEGINS)
        if self.o.trouble == "restart":
            await self._restart(self.couriers[0], signal.SIGKILL)
            await asyncio.sleep(lasts)
            await self._restart(self.couriers[-1], signal.SIGTERM)
        elif self.o.trouble != "none":
            struck = self._struck()
            kind = "down" if self.o.trouble == "zone" else self.o.trouble
            self.note = f"{self.o.trouble}: {', '.join(m.uid for m in struck[:3])}" + (
                f" and {len(struck) - 3} more" if len(struck) > 3 else ""
            )
            await asyncio.gather(*(m.begin(kind) for m in struck))
            await asyncio.sleep(lasts)
            await asyncio.gather(*(m.end() for m in struck))
        self.note = "well again" if self.o.trouble != "none" else "well"

    def _struck(self) -> list[Machine]:
        every = [m for p in self.partners for m in p.machines]
        if self.o.trouble == "zone":
            return [m for m in every if m.zone == ZONES[-1]]
        return self.partners[0].machines + self.partners[-1].machines[:1]

    async def _restart(self, courier: CourierProcess, how: signal.Signals) -> None:
        self.note = f"{how.name} to {courier.name}"
        self.asked.add(courier.name)
        self.restarts += 1
        await courier.end(how)
        await asyncio.sleep(BACK_S)
        await courier.start()
        self.asked.discard(courier.name)

    async def _end(self) -> None:
        for courier in self.couriers:
            courier.kill()
        for courier in self.couriers:
            if courier.process is not None:
                await courier.process.wait()
        for server in (self.discovery, *(m for p in self.partners for m in p.machines)):
            await server.stop()


def plans(rate: float) -> list[Plan]:
    """Five partners whose limits leave half as much again as their part of the load."""
    each = rate / 5
    return [
        Plan(1, "mill", rate_per_s=max(8.0, 1.5 * each)),
        Plan(2, "press", at_once=12, latency_ms=60),
        Plan(3, "hall", "bundles", rate_per_s=max(4.0, 0.6 * each), bundle=10),
        Plan(4, "ink", "bundles", at_once=6, bundle=10, latency_ms=80),
        Plan(5, "paper", "apart", rate_per_s=max(6.0, each), routes_apart=True),
    ]


def courier_toml(discovery: int, options: Options, me: int, kinds: list[Kind]) -> str:
    """The configuration of one courier, after what says who and where it is."""
    effects = [(k, "unsafe" if k.unsafe else "keyed" if k.keyed else "safe") for k in kinds]
    return COURIER.format(
        host=HOST,
        discovery=discovery,
        seed=options.seed + me,
        level=options.log_level,
        couriers=options.couriers,
        me=me,
        bundle=10,
        zones=", ".join(f'{{name = "{z}"}}' for z in ZONES),
        classes="\n".join(
            CLASS.format(k.cls, int(k.aim_s * 1e3), int(k.life_s * 1e3), effect, 8000 if k.keyed else 0)
            for k, effect in effects
        ),
    )
