"""Faults, carried out: each begins, lasts, and ends with everything as it was."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter

from hopmill.trial.couriers import Courier
from hopmill.trial.history import History
from hopmill.trial.relay import Relay
from hopmill.trial.scenario import Fault

STOPPED_MOST_S = 20.0


class Hand:
    """Lets faults happen to couriers and to the ways between them."""

    def __init__(self, couriers: list[Courier], relay: Relay, history: History) -> None:
        self.couriers, self.relay, self.history = couriers, relay, history
        self.killed = 0
        self.counts: Counter[str] = Counter()  # by kind; those of processes once for each of them
        self.net = relay.loss, relay.repeat, relay.delay_s

    async def carry_out(self, faults: list[Fault]) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
                group.create_task(self._fault(fault))

    async def _fault(self, fault: Fault) -> None:
        who = [self.couriers[n] for n in fault.who]
        hit = [c.name for c in who] or [c.name for c in self.couriers]
        if fault.kind == "split":
            hit = [c.name for c in self.couriers]
        self.history.add("trial", "fault", kind=fault.kind, members=hit, detail=fault.detail, until_us=0)
        row = self.history.rows[-1]
        row["until_us"] = row["at_us"] + int(fault.lasts * 1e6)
        if fault.kind in ("split", "oneway", "loss"):
            self.counts[fault.kind] += 1
            await (self._loss(fault) if fault.kind == "loss" else self._cut(fault))
        else:
            await asyncio.gather(*(self._process(c, fault) for c in who))
        row["until_us"] = max(row["until_us"], self.history.now())

    async def _process(self, c: Courier, fault: Fault) -> None:
        if c.lock.locked():
            return  # something happens to it already
        self.counts[fault.kind] += 1
        async with c.lock:
            if fault.kind == "stop":
                await self._stop(c, min(STOPPED_MOST_S, fault.lasts))
            elif fault.kind == "fulldisk":
                c.limit_files(1)
                await asyncio.sleep(fault.lasts)
                c.limit_files(-1)
            elif fault.kind == "slowdisk":
                c.slow(fault.detail["ms"])
                await asyncio.sleep(fault.lasts)
                c.slow(0)
            elif fault.kind == "upgrade":
                self.history.add(c.name, "upgrade", done=await c.upgrade())
            else:
                await self._end_and_start(c, fault)

    async def _stop(self, c: Courier, lasts: float) -> None:
        c.stopped = True
        c.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        c.signal(signal.SIGCONT)
        c.stopped = False

    async def _end_and_start(self, c: Courier, fault: Fault) -> None:
        self.killed += fault.kind != "restart"
        await c.stop(signal.SIGTERM if fault.kind == "restart" else signal.SIGKILL)
        if fault.kind == "folder":
            c.lose_fleet_files(fault.detail["back"])
        await asyncio.sleep(fault.lasts)
        await c.start()
        self.history.add(c.name, "started")

    async def _cut(self, fault: Fault) -> None:
        every = range(len(self.couriers))
        if fault.kind == "split":
            groups = fault.detail["groups"]
            ways = [(a, b) for a in every for b in every if groups[a] != groups[b]]
        else:
            a, b = (*fault.who, fault.who[0])[:2]
            others = [n for n in every if n != a]
            ways = {
                "hears": [(a, n) for n in others],
                "heard": [(n, a) for n in others],
                "pair": [(a, b)],
                "all but one": [(a, b), (b, a)],
            }[fault.detail["way"]]
        self.relay.cut(ways, True)
        await asyncio.sleep(fault.lasts)
        self.relay.cut(ways, False)

    async def _loss(self, fault: Fault) -> None:
        d = fault.detail
        self.relay.loss, self.relay.repeat, self.relay.delay_s = d["loss"], d["repeat"], d["delay_ms"] / 1e3
        await asyncio.sleep(fault.lasts)
        self.relay.loss, self.relay.repeat, self.relay.delay_s = self.net
