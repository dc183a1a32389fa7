"""Injects faults: each begins, lasts for a time, and then everything is as it was."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter

from hopmill.trial.couriers import Courier
from hopmill.trial.history import History
from hopmill.trial.relay import Relay
from hopmill.trial.scenario import Fault

MAX_STOPPED_S = 20.0


class FaultInjector:
    """Injects faults into couriers and into the network paths between them."""

    def __init__(self, couriers: list[Courier], relay: Relay, history: History) -> None:
        self.couriers, self.relay, self.history = couriers, relay, history
        self.killed_count = 0
        self.counts: Counter[str] = Counter()  # by kind; a fault of several processes counts once for each
        self.usual_conditions = relay.loss, relay.repeat, relay.delay_s

    async def inject(self, faults: list[Fault]) -> None:
        """Injects each at its time, counted from now; returns when all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, start + fault.at_s - loop.time()))
                group.create_task(self._inject_fault(fault))

    async def _inject_fault(self, fault: Fault) -> None:
        faulted = [self.couriers[number] for number in fault.couriers]
        affected = [courier.name for courier in faulted] or [courier.name for courier in self.couriers]
        if fault.kind == "split":
            affected = [courier.name for courier in self.couriers]
        self.history.add("trial", "fault", kind=fault.kind, members=affected, detail=fault.detail, until_us=0)
        row = self.history.rows[-1]
        row["until_us"] = row["at_us"] + int(fault.duration_s * 1e6)
        if fault.kind in ("split", "oneway", "loss"):
            self.counts[fault.kind] += 1
            await (self._lose_datagrams(fault) if fault.kind == "loss" else self._cut_paths(fault))
        else:
            await asyncio.gather(*(self._fault_process(courier, fault) for courier in faulted))
        row["until_us"] = max(row["until_us"], self.history.now_us())

    async def _fault_process(self, courier: Courier, fault: Fault) -> None:
        if courier.process_lock.locked():
            return  # it has another fault already
        self.counts[fault.kind] += 1
        async with courier.process_lock:
            if fault.kind == "stop":
                await self._stop(courier, min(MAX_STOPPED_S, fault.duration_s))
            elif fault.kind == "fulldisk":
                courier.limit_file_size(1)
                await asyncio.sleep(fault.duration_s)
                courier.limit_file_size(-1)
            elif fault.kind == "slowdisk":
                courier.set_sync_delay(fault.detail["ms"])
                await asyncio.sleep(fault.duration_s)
                courier.set_sync_delay(0)
            elif fault.kind == "upgrade":
                self.history.add(courier.name, "upgrade", done=await courier.upgrade())
            else:
                await self._restart(courier, fault)

    async def _stop(self, courier: Courier, duration_s: float) -> None:
        courier.is_stopped = True
        courier.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        courier.send_signal(signal.SIGCONT)
        courier.is_stopped = False

    async def _restart(self, courier: Courier, fault: Fault) -> None:
        self.killed_count += fault.kind != "restart"
        await courier.stop(signal.SIGTERM if fault.kind == "restart" else signal.SIGKILL)
        if fault.kind == "folder":
            courier.lose_fleet_files(fault.detail["back"])
        await asyncio.sleep(fault.duration_s)
        await courier.start()
        self.history.add(courier.name, "started")

    async def _cut_paths(self, fault: Fault) -> None:
        numbers = range(len(self.couriers))
        if fault.kind == "split":
            groups = fault.detail["groups"]
            paths = [
                (first, second) for first in numbers for second in numbers if groups[first] != groups[second]
            ]
        else:
            first, second = (*fault.couriers, fault.couriers[0])[:2]
            others = [other for other in numbers if other != first]
            paths = {
                "hears": [(first, other) for other in others],
                "heard": [(other, first) for other in others],
                "pair": [(first, second)],
                "all but one": [(first, second), (second, first)],
            }[fault.detail["way"]]
        self.relay.cut(paths, True)
        await asyncio.sleep(fault.duration_s)
        self.relay.cut(paths, False)

    async def _lose_datagrams(self, fault: Fault) -> None:
        conditions = fault.detail
        self.relay.loss = conditions["loss"]
        self.relay.repeat = conditions["repeat"]
        self.relay.delay_s = conditions["delay_ms"] / 1e3
        await asyncio.sleep(fault.duration_s)
        self.relay.loss, self.relay.repeat, self.relay.delay_s = self.usual_conditions
