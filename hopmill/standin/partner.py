"""Stand-in partners: limits, bundles, latency, waits, troubles, and a cold return that can be pushed over."""

from __future__ import annotations

import asyncio
import base64
import json
import math
import random
from collections import deque
from dataclasses import dataclass

from hopmill.standin.ledger import Ledger
from hopmill.standin.server import Server, answer, read_request

TROUBLES = ("down", "silent", "slow", "errors", "shut")
SLOW_X = 10.0  # how much longer a slow endpoint's calls last
SHUT_S = 2.0  # the wait that a shut partner tells


@dataclass(frozen=True)
class Plan:
    """What a partner is like."""

    number: int
    name: str
    kind: str = "plain"
    rate_per_s: float = 0.0  # calls a second over a span of a second; 0: no such limit
    at_once: int = 0  # calls at a time; 0: no such limit
    queue: int = 8  # calls that wait for one of these
    bundle: int = 1
    latency_ms: float = 40.0  # median of a log-normal
    sigma: float = 0.3
    item_ms: float = 1.0  # that each further message of a bundle adds
    connections: int = 64  # at each endpoint, idle ones counted
    routes_apart: bool = False  # each endpoint has its own limit
    cold_share: float = 0.2
    cold_s: float = 2.0
    fall_multiple: float = 2.5
    fall_s: float = 1.0


class Limit:
    """Calls a second in a bucket of one second, less while it is cold; pushed over by far too many."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan, self.tokens, self.stamp = plan, plan.rate_per_s, now
        self.cold_from = -math.inf
        self.fallen_until = -math.inf
        self.offered: deque[float] = deque()

    def warm(self, now: float) -> float:
        """Share of its capacity that it has just now."""
        p = self.plan
        return min(1.0, p.cold_share + (1 - p.cold_share) * max(0.0, now - self.cold_from) / p.cold_s)

    def return_cold(self, now: float) -> None:
        self.cold_from, self.tokens, self.stamp = now, 0.0, now
        self.offered.clear()

    def fell(self, now: float) -> bool:
        """Whether this call is the one that pushes it over: only what returns can be."""
        p = self.plan
        if not p.rate_per_s or self.warm(now) >= 1.0 or now < self.fallen_until:
            return False
        self.offered.append(now)
        while self.offered[0] < now - p.fall_s:
            self.offered.popleft()
        if len(self.offered) <= max(4.0, p.fall_multiple * p.rate_per_s * self.warm(now) * p.fall_s):
            return False
        self.fallen_until = now + p.fall_s
        self.return_cold(self.fallen_until)
        return True

    def take(self, now: float) -> float:
        """0 if the call may go; else the seconds until it may."""
        if not self.plan.rate_per_s:
            return 0.0
        if now < self.fallen_until:
            return self.fallen_until - now
        rate = self.plan.rate_per_s * self.warm(now)
        self.tokens = min(max(1.0, rate), self.tokens + rate * max(0.0, now - self.stamp))
        self.stamp = now
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / rate
        self.tokens -= 1.0
        return 0.0

    def report(self) -> dict[str, str]:
        """The share that is left, and the limit, as answers tell them."""
        rate = self.plan.rate_per_s
        return {"X_Server_Load": f"x0={max(0.0, self.tokens) / rate:.2f},x1={rate:g}"} if rate else {}


class Machine(Server):
    """One endpoint of a partner."""

    def __init__(
        self, plan: Plan, uid: str, zone: str, limit: Limit, ledger: Ledger, chance: random.Random
    ) -> None:
        super().__init__()
        self.plan, self.uid, self.zone, self.limit = plan, uid, zone, limit
        self.ledger, self.chance = ledger, chance
        self.trouble = ""
        self.busy = asyncio.Semaphore(plan.at_once or 1 << 20)
        self.waiting = 0
        self.keys: set[str] = set()  # idempotency keys that took effect

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.ledger.connections += 1
        if len(self.writers) > self.plan.connections:
            return
        while True:
            _, path, headers, body = await read_request(reader)
            while self.trouble == "silent":
                await asyncio.sleep(0.05)
            writer.write(await self._call(path, headers, body))

    async def _call(self, path: str, headers: dict[str, str], body: bytes) -> bytes:
        refused = self._refusal()
        if refused:
            return refused
        items = _items(path, headers, body)
        self.ledger.began(self.uid, [ident for ident, _ in items or ()])
        if items is None or len(items) > self.plan.bundle:
            return answer(413 if items else 400)
        self.waiting += 1
        async with self.busy:
            self.waiting -= 1
            await asyncio.sleep(self._takes(len(items)))
        if self.trouble == "errors":
            self.ledger.calls["error"] += 1
            return answer(500)
        now = asyncio.get_running_loop().time()
        for ident, key in items:
            if not key or key not in self.keys:
                self.ledger.effect(ident)
            self.keys.add(key)
            self.ledger.delivered(ident, now)
        self.ledger.calls["delivered"] += 1
        rows = json.dumps([{"id": ident, "state": "done"} for ident, _ in items]).encode()
        return answer(200, rows if path.endswith("/bundle") else b"", **self.limit.report())

    def _refusal(self) -> bytes:
        now = asyncio.get_running_loop().time()
        if self.trouble == "shut":
            self.ledger.calls["told to wait"] += 1
            return answer(429, Retry_After=SHUT_S)
        if self.limit.fell(now):
            self.ledger.fell += 1
        if wait := self.limit.take(now):
            self.ledger.calls["told to wait"] += 1
            return answer(429, Retry_After=f"{wait:.3f}", **self.limit.report())
        if self.busy.locked() and self.waiting >= self.plan.queue:
            self.ledger.calls["refused"] += 1
            return answer(503)
        return b""

    def _takes(self, items: int) -> float:
        median = self.plan.latency_ms + self.plan.item_ms * (items - 1)
        slow = SLOW_X if self.trouble == "slow" else 1.0
        return slow * median / 1e3 * math.exp(self.plan.sigma * self.chance.gauss(0, 1))

    async def begin(self, trouble: str) -> None:
        """One of TROUBLES, until `end`."""
        self.trouble = trouble
        if trouble == "down":
            await self.stop()

    async def end(self) -> None:
        """Well again; what was down returns cold."""
        if self.trouble == "down":
            self.limit.return_cold(asyncio.get_running_loop().time())
            await self.start()
        self.trouble = ""


def _items(path: str, headers: dict[str, str], body: bytes) -> list[tuple[str, str]] | None:
    """(id, key) of each message in the call; None if it can't be read."""
    if not path.endswith("/bundle"):
        return [(headers.get("x-request-id", ""), headers.get("idempotency-key", ""))]
    try:
        rows = json.loads(body)
        for row in rows:
            base64.b64decode(row["body"], validate=True)
        return [(row["id"], row.get("key", "")) for row in rows]
    except (ValueError, KeyError, TypeError):
        return None


class Partner:
    """All endpoints of one partner, under one limit unless its routes stand apart."""

    def __init__(
        self, plan: Plan, zones: list[str], ledger: Ledger, chance: random.Random, now: float
    ) -> None:
        self.plan = plan
        shared = Limit(plan, now)
        self.machines = [
            Machine(
                plan,
                f"{plan.name}-{n}",
                zone,
                Limit(plan, now) if plan.routes_apart else shared,
                ledger,
                chance,
            )
            for n, zone in enumerate(zones)
        ]
