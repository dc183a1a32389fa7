"""Staff of a trial who change the policy all the time: at any courier, twice, at once, or for nothing."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from hopmill.trial.couriers import Courier
from hopmill.trial.history import History, elapsed_us

OUTCOME_S = 12.0  # a change is asked after for so long
AGAIN_S = 0.03
REFUSED_HELD = 2600  # of messages: more than the one small machine has memory for


class Policies:
    def __init__(
        self, couriers: list[Courier], history: History, chance: random.Random, endpoints: list[str]
    ) -> None:
        self.couriers, self.history, self.chance, self.endpoints = couriers, history, chance, endpoints
        self.asking: set[asyncio.Task[None]] = set()
        self.count = 0

    async def go_on(self, per_s: float) -> None:
        while True:
            await asyncio.sleep(self.chance.expovariate(per_s))
            for _ in range(2 if self.chance.random() < 0.1 else 1):  # two at once
                self.count += 1
                self._start(self._change(f"p{self.count}", self._patch()))

    def _start(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    async def end(self) -> None:
        if self.asking:
            await asyncio.wait(self.asking, timeout=OUTCOME_S)

    def _patch(self) -> dict[str, Any]:
        if self.chance.random() < 0.08:
            return {"held": REFUSED_HELD}
        out = self.chance.sample(self.endpoints, 1 + (self.chance.random() < 0.3))
        return {"left_out": {"endpoints": out}, "retries": {"attempts": self.chance.randrange(2, 5)}}

    async def _change(self, ident: str, patch: dict[str, Any]) -> None:
        """Proposed at one courier, now and then at two, and asked after wherever somebody answers."""
        began = elapsed_us()
        c = self.chance.choice(self.couriers)
        ask = {"id": ident, "patch": patch, "by": "trial"}
        if self.chance.random() < 0.15:
            ask |= {"share": 0.4, "watch_s": 1.0}
        status, told = await c.ask("POST", "/fleet/policy", ask)
        if self.chance.random() < 0.1:
            await self.chance.choice(self.couriers).ask("POST", "/fleet/policy", ask)
        if status >= 400:
            self.history.add(c.name, "not proposed", change=ident, why=told.get("error", ""))
            return
        until = time.monotonic() + OUTCOME_S
        while time.monotonic() < until and told.get("state") not in ("in force", "in force nowhere"):
            await asyncio.sleep(AGAIN_S)
            asked, body = await c.ask("GET", f"/fleet/policy/changes/{ident}")
            if asked == 200:
                told = body
            else:
                await asyncio.sleep(0.1)
            if asked != 200 or body.get("state") == "not known":
                c = self.chance.choice(self.couriers)
        state = told.get("state", "no answer")
        self.history.add(
            c.name,
            "outcome",
            change=ident,
            state=state,
            began_us=began,
            staged="share" in ask,
            why=told.get("why", ""),
            version=told.get("version", 0),
        )
