"""Runs one soak: couriers, their agents, endpoints, a load and faults; then the records are judged."""

from __future__ import annotations

import asyncio
import errno
import json
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hopmill.soak import rules, schedule
from hopmill.soak.agent import Agent
from hopmill.soak.client_faults import ClientFaults
from hopmill.soak.courier import RATE_PER_S, SOAK_CLASSES, SoakCourier, SoakOptions
from hopmill.soak.discovery_faults import DiscoveryFaults
from hopmill.soak.endpoints import Endpoints
from hopmill.soak.records import SoakLedger
from hopmill.soak.schedule import AGENT_KINDS, CALL_KINDS, CLIENT_KINDS, DISCOVERY_KINDS, Fault, Kind
from hopmill.soak.surplus import SurplusSender
from hopmill.standin.load import LoadGenerator
from hopmill.standin.partner import PartnerSettings


FAULTS_PER_S = 0.6  # for each courier
LAST_MESSAGES_TIMEOUT_S = 14.0  # from the end of the load until every accepted message has ended
MAX_EXTRA_S = 60.0  # on top of the load's duration, before the soak is given up
KILL_DRAIN_S = 3.0  # how long an endpoint drains that begins to while a courier is down
POLL_S = 0.05
MAX_CUT_S = 15.0  # until the answers that are to be cut have been asked for


class Soak:
    """The processes and servers of one soak, its load and its records."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options, self.folder = options, folder
        self.ledger = SoakLedger()
        self.partners = soak_partners(options.couriers)
        self.endpoints = Endpoints(self.partners, self.ledger, random.Random(f"endpoints {options.seed}"))
        self.couriers: list[SoakCourier] = []
        self.faults = schedule.draw(
            options.seed, options.seconds, options.couriers, FAULTS_PER_S * options.couriers
        )
        self.faults += schedule.draw_client_faults(options.seed, options.seconds, options.couriers)
        self.faults += schedule.draw_zone_moves(options.seed, options.seconds)
        self.faults += schedule.draw_discovery_faults(options.seed, options.couriers)
        self.faults.sort(key=lambda fault: fault.at_s)
        self.client_faults = ClientFaults(self.ledger)
        self.discovery_faults = DiscoveryFaults(self.ledger, self.endpoints, self._start_process)
        self.injected: Counter[str] = Counter()

    async def run(self) -> dict[str, Any]:
        """Run, end all processes and return the result. TimeoutError if it took too long."""
        try:
            async with asyncio.timeout(self.options.seconds + MAX_EXTRA_S):
                await self._start()
                await self._run_load_and_faults()
        finally:
            await self._end()
        return self._result()

    async def _start(self) -> None:
        await self.endpoints.start()
        for number in range(self.options.couriers):
            await self._add_courier(number)
        await asyncio.gather(*(self._start_process(courier, 0.0) for courier in self.couriers))

    async def _add_courier(self, number: int) -> None:
        name = f"courier-{number}"

        def on_had(uid: str, at_s: float) -> None:
            self.ledger.record_had(name, uid, at_s)

        agent = Agent(
            self.ledger.record_notice,
            lambda uid, at_s: self.ledger.record_told(name, uid, at_s),
            lambda uid, at_s: self.ledger.record_told_later(name, uid, at_s),
            lambda: self.ledger.record_listed(name),
            SurplusSender(random.Random(f"agent {number} {self.options.seed}")),
            on_had if schedule.asks_shared_server(number) else None,
            lambda: self.ledger.record_given_up(name),
        )
        await agent.start()
        for target in self.endpoints.targets.values():
            agent.learn(dict(target))
        self.endpoints.agents.append(agent)
        courier = SoakCourier(number, self.folder, self.options, agent)
        self.couriers.append(courier)
        self.ledger.courier_by_port[courier.port] = courier.name

    async def _start_process(self, courier: SoakCourier, pause_s: float) -> None:
        await courier.start_with_known_list(lambda: self.ledger.record_start(courier.name), pause_s)

    async def _run_load_and_faults(self) -> None:
        options = self.options
        load = LoadGenerator(
            self.ledger,
            SOAK_CLASSES,
            [partner.number for partner in self.partners],
            lambda: [courier.port for courier in self.couriers if courier.is_accepting],
            random.Random(f"load {options.seed}"),
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(RATE_PER_S * options.couriers, options.seconds))
                group.create_task(self._inject_all())
            await self._wait_for_last_messages()
        finally:
            load.close()

    async def _wait_for_last_messages(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LAST_MESSAGES_TIMEOUT_S
        while self.ledger.count_open(loop.time()) and loop.time() < deadline:
            await asyncio.sleep(POLL_S)

    async def _inject_all(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in self.faults:
                await asyncio.sleep(max(0.0, started_at + fault.at_s - loop.time()))
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        courier = self.couriers[fault.courier]
        if fault.kind is Kind.DRAIN:
            await self.endpoints.replace(fault.choice, fault.duration_s)
        elif fault.kind is Kind.OUTAGE:
            await self.endpoints.be_out(fault.choice, fault.duration_s)
        elif fault.kind is Kind.ZONE_MOVE:
            await self.endpoints.move(fault.choice, fault.duration_s)
        elif fault.kind in DISCOVERY_KINDS:
            await self.discovery_faults.inject(courier, fault)
        elif fault.kind in AGENT_KINDS:
            await self._inject_into_agent(courier, fault)
        elif fault.kind in CALL_KINDS:
            await self._inject_into_calls(courier, fault)
        elif courier.process_lock.locked():
            return  # it has another fault already
        else:
            async with courier.process_lock:
                if fault.kind in CLIENT_KINDS:
                    await self.client_faults.inject(courier, fault)
                else:
                    await self._inject_into_process(courier, fault)
        self.injected[fault.kind.value] += 1

    async def _inject_into_agent(self, courier: SoakCourier, fault: Fault) -> None:
        agent = courier.agent
        if fault.kind is Kind.WATCH_CUT:
            await self._cut_watch(courier, fault.cuts)
        elif fault.kind is Kind.WATCH_MUTE:
            agent.mute()
        else:
            from_s = time.monotonic()
            await (agent.be_down if fault.kind is Kind.AGENT_DOWN else agent.be_away)(fault.duration_s)
            self.ledger.record_unreachable(courier.name, from_s, time.monotonic())

    async def _cut_watch(self, courier: SoakCourier, cuts: int) -> None:
        """Cut answers; a shared server that does can be reached once it cuts no more."""
        from_s = time.monotonic()
        courier.agent.cut(cuts)
        if courier.agent.on_had is None:
            return
        while courier.agent.cuts and time.monotonic() < from_s + MAX_CUT_S:
            await asyncio.sleep(POLL_S)
        self.ledger.record_unreachable(courier.name, from_s, time.monotonic())

    async def _inject_into_calls(self, courier: SoakCourier, fault: Fault) -> None:
        """Let system calls fail, beside any fault of the process."""
        faults = courier.process_faults
        if fault.kind is Kind.CLOCK_STEP:
            faults.clock_offset_s = fault.step_s
            faults.write()
            return
        if fault.kind is Kind.CONNECT_ERROR:
            until_s = time.monotonic() + fault.duration_s
            courier.agent.note_failing_connects(until_s)
            self.ledger.record_unreachable(courier.name, time.monotonic(), until_s)
        name, value = {
            Kind.CONNECT_ERROR: ("connect_errno", getattr(errno, fault.error, 0)),
            Kind.ACCEPT_ERROR: ("accept_errno", getattr(errno, fault.error, 0)),
            Kind.SHORT_IO: ("max_io_bytes", fault.spare_bytes),
        }[fault.kind]
        setattr(faults, name, value)
        faults.write()
        await asyncio.sleep(fault.duration_s)
        setattr(faults, name, 0)
        faults.write()

    async def _inject_into_process(self, courier: SoakCourier, fault: Fault) -> None:
        if fault.kind is Kind.PAUSE:
            courier.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            courier.signal(signal.SIGCONT)
        elif fault.kind is Kind.RELOAD:
            courier.signal(signal.SIGHUP)
        elif fault.kind is Kind.DISK_FULL:
            courier.limit_file_growth(fault.spare_bytes)
            await asyncio.sleep(fault.duration_s)
            courier.limit_file_growth(None)
        else:
            await self._restart(courier, fault)

    async def _restart(self, courier: SoakCourier, fault: Fault) -> None:
        self.ledger.record_stop(courier.name)
        await courier.stop(signal.SIGTERM if fault.kind is Kind.RESTART else signal.SIGKILL)
        async with asyncio.TaskGroup() as group:
            if fault.kind is Kind.KILL:
                group.create_task(self.endpoints.replace(fault.choice, KILL_DRAIN_S))
            await asyncio.sleep(fault.duration_s)
            await self._start_process(courier, fault.start_pause_s)

    async def _end(self) -> None:
        for courier in self.couriers:
            self.ledger.record_stop(courier.name)
            self.client_faults.record_memory(courier)
            courier.signal(signal.SIGCONT)
            courier.kill()
        for courier in self.couriers:
            if courier.process is not None:
                await courier.process.wait()
            await courier.agent.stop()
            courier.release_ports()
        await self.endpoints.stop()

    def _result(self) -> dict[str, Any]:
        counts = self.ledger.result().counts
        names = ("handed_in", "taken", "delivered", "deferred", "undeliverable", "refused")
        return {
            "seed": self.options.seed,
            "couriers": self.options.couriers,
            "faults": dict(sorted(self.injected.items())),
            **{name: counts[name] for name in names},
            "calls": len(self.ledger.calls_seen),
            "drains_told": len(self.ledger.told_s),
            "falls": len(self.ledger.falls_s),
            "peak_memory_mb": round(max(self.ledger.peak_memory_mb.values(), default=0.0), 1),
            "excused_calls": rules.excused_calls(self.ledger),
            "violations": rules.violations(self.ledger),
        }


def soak_partners(couriers: int) -> list[PartnerSettings]:
    """Return partners that take one and a half times the load."""
    rate_per_s = RATE_PER_S * couriers / 2
    return [
        PartnerSettings(1, "mill", rate_per_s=rate_per_s),
        PartnerSettings(2, "press", max_concurrent_calls=24, latency_ms=60),
        PartnerSettings(5, "paper", "apart", rate_per_s=rate_per_s, routes_apart=True),
    ]


def run(options: SoakOptions) -> dict[str, Any]:
    """Run a soak in a temporary folder and return its result.

    After a violation the schedule, the logs and the result are kept, and `kept` names their folder. Raises
    OSError or TimeoutError if a courier does not start or the soak does not end.
    """
    folder = Path(tempfile.mkdtemp(prefix="hopmill-soak-"))
    try:
        soak = Soak(options, folder)
        try:
            result = asyncio.run(_run_until_signal(soak))
        except BaseExceptionGroup as group:  # callers catch single errors, not those of task groups
            raise group.exceptions[0] from None
        kept = options.folder
        if kept is None and result["violations"]:
            kept = Path(tempfile.gettempdir())
        if kept is not None:
            result["kept"] = str(_keep(soak, kept / f"soak-{options.seed}", result))
        return result
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _keep(soak: Soak, folder: Path, result: dict[str, Any]) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    for log_file in soak.folder.glob("*.log"):
        shutil.copy(log_file, folder / log_file.name)
    rows = [json.dumps(fault.as_json()) for fault in soak.faults]
    (folder / "schedule.jsonl").write_text("\n".join(rows) + "\n")
    (folder / "result.json").write_text(json.dumps(result, indent=2) + "\n")
    return folder


async def _run_until_signal(soak: Soak) -> dict[str, Any]:
    task = asyncio.current_task()
    assert task is not None
    for signal_number in (signal.SIGINT, signal.SIGTERM):  # each cancels the soak, which ends its processes
        asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
    return await soak.run()
