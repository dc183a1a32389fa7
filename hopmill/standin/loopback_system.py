"""A whole system on loopback: partners, discovery, courier processes and a load, with at most one trouble."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from hopmill.standin.courier import CourierProcess
from hopmill.standin.discovery import Discovery
from hopmill.standin.ledger import GRACE_S, Ledger, Result
from hopmill.standin.load import LoadClass, LoadGenerator
from hopmill.standin.partner import Partner, PartnerEndpoint, PartnerSettings
from hopmill.standin.server import HOST

TROUBLES = ("none", "down", "silent", "shut", "restart", "zone")
ZONES = ["hall-a", "hall-b"]
MESSAGE_CLASSES = [
    LoadClass("news", 0.6, 1.0, 6.0),
    LoadClass("update", 0.3, 2.0, 8.0, keyed=True),
    LoadClass("payout", 0.1, 1.0, 8.0, unsafe=True),
]
TROUBLE_BEGIN_SHARE, TROUBLE_END_SHARE = 0.3, 0.55  # of the time in which messages are submitted
MAX_BATCH = 10  # of the partners that take several messages in a call
DEFAULT_MEMORY_MB = 192  # of a courier
KEY_WINDOW_MS = 8000  # for which partners remember idempotency keys, as the configuration declares
RESTART_DELAY_S = 0.3  # from the end of a courier process to its next start
POLL_INTERVAL_S = 0.25  # between two checks of the processes, each followed by a report of progress

COURIER_TOML = """
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
limits = {{disk_mb = 16, memory_mb = {memory_mb}}}
calls = {{slots = 48, connect_ms = 500}}
retries = {{attempts = 5, longest_told_wait_ms = 2000}}
returning = {{cold_share = 0.2, cold_ms = 2000, fall_multiple = 2.5, fall_ms = 1000, drain_grace_ms = 2000}}
fleet = {{couriers = {couriers}, me = {me}}}
{classes}
"""
CLASS_TOML = """
[[classes]]
name = "{}"
aim_ms = {}
deadline_ms = {}
effect = "{}"
key_window_ms = {}
key_scope = "{}"
"""


@dataclass(frozen=True)
class Options:
    """Options of a run; `rate_per_s` is in messages and for all couriers together."""

    seconds: float = 10.0
    rate_per_s: float = 100.0
    couriers: int = 2
    trouble: str = "down"
    seed: int = 1
    log_level: str = "info"


@dataclass
class Progress:
    """The state of a run at one moment."""

    elapsed_s: float
    note: str  # state of the trouble
    result: Result
    couriers: list[str] = field(default_factory=list)  # those that accept clients


class LoopbackSystem:
    """Everything that a demo starts. `run` stops all of it before it returns or raises."""

    def __init__(
        self,
        options: Options,
        folder: Path,
        partners: list[PartnerSettings] | None = None,
        classes: list[LoadClass] | None = None,
    ) -> None:
        """The demo's own partners and message classes are used if none are given."""
        self.options, self.folder = options, folder
        self.partner_settings, self.classes = (
            partners or demo_partners(options.rate_per_s),
            classes or MESSAGE_CLASSES,
        )
        self.ledger = Ledger()
        self.discovery = Discovery(self.ledger.record_notice)
        self.partners: list[Partner] = []
        self.couriers: list[CourierProcess] = []
        self.restarting: set[str] = set()  # couriers that the trouble stops and starts itself
        self.restarts = 0
        self.note = "no trouble"

    async def run(self, progress: Callable[[Progress], None] = lambda p: None) -> Result:
        """Run the load and the trouble; return the result of the run.

        OSError or TimeoutError if a courier does not start.
        """
        try:
            await self._start()
            await self._run_load(progress)
            return self.ledger.result()
        except BaseExceptionGroup as group:  # callers catch single errors, not those of task groups
            raise group.exceptions[0] from None
        finally:
            await self._stop()

    async def _start(self) -> None:
        rng, now = random.Random(self.options.seed), asyncio.get_running_loop().time()
        await self.discovery.start()
        for settings in self.partner_settings:
            partner = Partner(settings, ZONES, self.ledger, rng, now)
            self.partners.append(partner)
            for endpoint in partner.endpoints:
                await endpoint.start()
                self.discovery.target(
                    endpoint.uid,
                    endpoint.port,
                    settings.number,
                    settings.kind,
                    rate=settings.rate_per_s,
                    zone=endpoint.zone,
                )
        for index in range(self.options.couriers):
            config = courier_toml(self.discovery.port, self.options, index, self.classes)
            self.couriers.append(CourierProcess(f"courier-{index}", self.folder, config))
        await asyncio.gather(*(c.start() for c in self.couriers))

    async def _run_load(self, progress: Callable[[Progress], None]) -> None:
        """Submit messages until all of them have a final answer, and report progress meanwhile."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        load = LoadGenerator(
            self.ledger,
            self.classes,
            [p.settings.number for p in self.partners],
            lambda: [c.port for c in self.couriers if c.is_accepting],
            random.Random(self.options.seed + 1),
        )
        async with asyncio.TaskGroup() as group:
            submitting = group.create_task(load.run(self.options.rate_per_s, self.options.seconds))
            trouble = group.create_task(self._make_trouble())
            deadline = (
                started_at + self.options.seconds + max(c.lifetime_s for c in self.classes) + 2 * GRACE_S
            )
            while not (submitting.done() and trouble.done() and not self.ledger.count_open(loop.time())):
                await asyncio.sleep(POLL_INTERVAL_S)
                await self._restart_ended_couriers()
                progress(
                    Progress(
                        loop.time() - started_at,
                        self.note,
                        self.ledger.result(),
                        [c.name for c in self.couriers if c.is_accepting],
                    )
                )
                if loop.time() > deadline:
                    break
        load.close()

    async def _restart_ended_couriers(self) -> None:
        """Restart couriers that ended by themselves, with their folders, as the platform would."""
        for courier in self.couriers:
            process = courier.process
            if process and process.returncode is not None and courier.name not in self.restarting:
                courier.is_accepting = False
                self.restarts += 1
                await asyncio.sleep(RESTART_DELAY_S)
                await courier.start()

    async def _make_trouble(self) -> None:
        """Begin the trouble after a share of the run and end it after another."""
        await asyncio.sleep(self.options.seconds * TROUBLE_BEGIN_SHARE)
        duration_s = self.options.seconds * (TROUBLE_END_SHARE - TROUBLE_BEGIN_SHARE)
        if self.options.trouble == "restart":
            await self._restart(self.couriers[0], signal.SIGKILL)
            await asyncio.sleep(duration_s)
            await self._restart(self.couriers[-1], signal.SIGTERM)
        elif self.options.trouble != "none":
            troubled = self._troubled_endpoints()
            kind = "down" if self.options.trouble == "zone" else self.options.trouble
            self.note = f"{self.options.trouble}: {', '.join(e.uid for e in troubled[:3])}" + (
                f" and {len(troubled) - 3} more" if len(troubled) > 3 else ""
            )
            await asyncio.gather(*(e.begin_trouble(kind) for e in troubled))
            await asyncio.sleep(duration_s)
            await asyncio.gather(*(e.end_trouble() for e in troubled))
        self.note = "trouble over" if self.options.trouble != "none" else "no trouble"

    def _troubled_endpoints(self) -> list[PartnerEndpoint]:
        """Return all endpoints of the last zone, or those of the first partner and one of the last."""
        endpoints = [e for p in self.partners for e in p.endpoints]
        if self.options.trouble == "zone":
            return [e for e in endpoints if e.zone == ZONES[-1]]
        return self.partners[0].endpoints + self.partners[-1].endpoints[:1]

    async def _restart(self, courier: CourierProcess, signal_number: signal.Signals) -> None:
        """Stop a courier with the signal and start it again after RESTART_DELAY_S."""
        self.note = f"{signal_number.name} to {courier.name}"
        self.restarting.add(courier.name)
        self.restarts += 1
        await courier.stop(signal_number)
        await asyncio.sleep(RESTART_DELAY_S)
        await courier.start()
        self.restarting.discard(courier.name)

    async def _stop(self) -> None:
        """Kill the couriers and stop the servers."""
        for courier in self.couriers:
            courier.kill()
        for courier in self.couriers:
            if courier.process is not None:
                await courier.process.wait()
            courier.release_ports()
        for server in (self.discovery, *(e for p in self.partners for e in p.endpoints)):
            await server.stop()


def demo_partners(rate_per_s: float) -> list[PartnerSettings]:
    """Return the demo's five partners.

    A rate limit lets through at least 1.5 times the partner's share of the load, with full batches where
    the partner takes batches.
    """
    rate_per_partner = rate_per_s / 5
    return [
        PartnerSettings(1, "mill", rate_per_s=max(8.0, 1.5 * rate_per_partner)),
        PartnerSettings(2, "press", max_concurrent_calls=12, latency_ms=60),
        PartnerSettings(
            3, "hall", "bundles", rate_per_s=max(4.0, 0.6 * rate_per_partner), max_batch=MAX_BATCH
        ),
        PartnerSettings(4, "ink", "bundles", max_concurrent_calls=6, max_batch=MAX_BATCH, latency_ms=80),
        PartnerSettings(5, "paper", "apart", rate_per_s=max(6.0, rate_per_partner), routes_apart=True),
    ]


def courier_toml(
    discovery_port: int,
    options: Options,
    index: int,
    classes: list[LoadClass],
    memory_mb: int = DEFAULT_MEMORY_MB,
) -> str:
    """Return the configuration of one courier, but for its name, addresses and state folder."""
    effects = [(c, "unsafe" if c.unsafe else "keyed" if c.keyed else "safe") for c in classes]
    return COURIER_TOML.format(
        host=HOST,
        discovery=discovery_port,
        seed=options.seed + index,
        level=options.log_level,
        couriers=options.couriers,
        me=index,
        bundle=MAX_BATCH,
        memory_mb=memory_mb,
        zones=", ".join(f'{{name = "{z}"}}' for z in ZONES),
        classes="\n".join(
            CLASS_TOML.format(
                c.name,
                int(c.aim_s * 1e3),
                int(c.lifetime_s * 1e3),
                effect,
                KEY_WINDOW_MS if c.keyed else 0,
                "zone" if c.zone_bound else "all",
            )
            for c, effect in effects
        ),
    )
