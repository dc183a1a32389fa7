"""The endpoints of a soak: they drain, go, and are replaced, and a new connection delays its first call."""

from __future__ import annotations

import asyncio
import copy
import math
import random
import time
from typing import Any

from hopmill.soak.agent import Agent
from hopmill.soak.records import SoakLedger
from hopmill.soak.surplus import SurplusSender
from hopmill.standin.partner import PartnerEndpoint, PartnerSettings, RateLimit
from hopmill.standin.server import HOST

LARGE_BUDGET_CALLS = 30  # from here on the margin for chance is the smaller one
MAX_HANDSHAKE_S = 0.15  # of a new connection, before its first call is read
ENDPOINTS_PER_PARTNER = 3
MUTE, MUTE_POLL_S = "mute", 0.05  # a trouble: calls run, and no answer comes
MUTE_BEFORE_MOVE_S = 0.3  # so that calls are in flight when an endpoint moves
ZONES = ("hall-a", "hall-b")


class SoakEndpoint(PartnerEndpoint):
    """An endpoint on which each connection begins with a handshake, and some answers bring more."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.surplus = SurplusSender(self.rng)
        self.called = self.surplus.called

    def answered(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Send more behind some of the good answers."""
        if text.startswith(b"HTTP/1.1 200"):
            self.surplus.answered(writer, text)

    async def _answer_call(self, path: str, headers: dict[str, str], body: bytes) -> bytes:
        """Do the work of a call; while the endpoint is mute, its answer is held back."""
        text = await super()._answer_call(path, headers, body)
        while self.trouble == MUTE:
            await asyncio.sleep(MUTE_POLL_S)
        return text

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Delay the first call of the connection, then answer its calls."""
        await asyncio.sleep(self.rng.uniform(0, MAX_HANDSHAKE_S))
        await super().serve(reader, writer)


class SoakRateLimit(RateLimit):
    """A rate limit that falls in slow start at the number of calls that the operators' terms give."""

    def __init__(self, settings: PartnerSettings, now: float, falls_s: list[float]) -> None:
        """falls_s: gets the times of falls."""
        super().__init__(settings, now)
        self.falls_s = falls_s

    def max_warm_up_calls(self, now: float) -> float:
        """Return the calls allowed, with the operators' margin for chance."""
        allowed = super().max_warm_up_calls(now)
        root = math.sqrt(allowed)
        return allowed + (2 * root + 2 if allowed >= LARGE_BUDGET_CALLS else 3 * root + 3)

    def register_call(self, now: float) -> bool:
        """Count a call; return whether the partner falls."""
        falls = super().register_call(now)
        if falls:
            self.falls_s.append(time.monotonic())
        return falls


class Endpoints:
    """All endpoints, and their states as discovery sends them to the agents."""

    def __init__(self, partners: list[PartnerSettings], ledger: SoakLedger, rng: random.Random) -> None:
        self.partners, self.ledger, self.rng = partners, ledger, rng
        self.running: dict[str, SoakEndpoint] = {}  # by uid
        self.targets: dict[str, dict[str, Any]] = {}  # as discovery lists them, by uid
        self.agents: list[Agent] = []
        self.limits: dict[int, SoakRateLimit] = {}  # shared by the endpoints of a partner, by its number
        self.count = 0

    async def start(self) -> None:
        """Start the first endpoints of each partner."""
        for partner in self.partners:
            for _ in range(ENDPOINTS_PER_PARTNER):
                await self._add(partner)

    async def _add(self, partner: PartnerSettings) -> None:
        self.count += 1
        uid, zone = f"{partner.name}-{self.count}", ZONES[self.count % len(ZONES)]
        limit = self.limits.get(partner.number)
        if limit is None or partner.routes_apart:
            limit = SoakRateLimit(partner, asyncio.get_running_loop().time(), self.ledger.falls_s)
            self.limits[partner.number] = limit
        endpoint = SoakEndpoint(partner, uid, zone, limit, self.ledger, self.rng)
        await endpoint.start()
        self.running[uid] = endpoint
        self.ledger.zones[uid] = zone
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"{HOST}:{endpoint.port}",
            "az": zone,
            "model": partner.kind,
            "pod_group": partner.number,
            "state": "in_service",
            "capacity_hint": partner.rate_per_s,
            "boot_ms": 0,
        }
        self._tell(uid)

    def _tell(self, uid: str) -> None:
        for agent in self.agents:
            agent.learn(copy.deepcopy(self.targets[uid]))

    async def replace(self, choice: float, drain_s: float) -> None:
        """Drain an endpoint, stop it after `drain_s` and start another one of its partner.

        choice: which one, as a share of those in service whose partner has others in service.
        """
        ready = [target for target in self.targets.values() if target["state"] == "in_service"]
        partners = [target["pod_group"] for target in ready]
        candidates = [target for target in ready if partners.count(target["pod_group"]) > 1]
        if not candidates:
            return
        target = candidates[int(choice * len(candidates))]
        target["state"] = "terminating"
        self._tell(target["uid"])
        await asyncio.sleep(drain_s)
        target["state"] = "terminated"
        self._tell(target["uid"])
        del self.targets[target["uid"]]
        endpoint = self.running[target["uid"]]
        await self._add(endpoint.settings)

    async def move(self, choice: float, seconds: float) -> None:
        """Let an endpoint be mute for a while, in which it is listed in the other zone.

        choice: which one, as a share of those in service that have not moved and have no trouble.
        """
        uids = [uid for uid, target in self.targets.items() if target["state"] == "in_service"]
        uids = [uid for uid in uids if uid not in self.ledger.moved and not self.running[uid].trouble]
        if not uids:
            return
        uid = uids[int(choice * len(uids))]
        endpoint = self.running[uid]
        endpoint.trouble = MUTE
        await asyncio.sleep(MUTE_BEFORE_MOVE_S)
        self.ledger.moved.add(uid)
        if uid in self.targets:
            endpoint.zone = next(zone for zone in ZONES if zone != endpoint.zone)
            self.targets[uid]["az"] = endpoint.zone
            self._tell(uid)
        await asyncio.sleep(seconds)
        if endpoint.trouble == MUTE:
            endpoint.trouble = ""

    async def be_out(self, choice: float, seconds: float) -> None:
        """Let all endpoints of a partner with a rate limit be down; they come back cold.

        choice: which partner, as a share of those.
        """
        partners = [partner for partner in self.partners if partner.rate_per_s]
        partner = partners[int(choice * len(partners))]
        endpoints = [e for e in self.running.values() if e.settings is partner and not e.trouble]
        from_s = time.monotonic()
        await asyncio.gather(*(endpoint.begin_trouble("down") for endpoint in endpoints))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(endpoint.end_trouble() for endpoint in endpoints))
        self.ledger.outages_s.append((from_s, time.monotonic()))

    async def stop(self) -> None:
        """Stop all endpoints, those that are gone from the list too."""
        for endpoint in self.running.values():
            await endpoint.stop()
