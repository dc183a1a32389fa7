"""Stand-in partners with limits, batches, latency, Retry-After and troubles.

An endpoint that was down warms up after its return: its rate limit starts low and grows. Too many calls
during the warm-up overload it: it refuses all calls for a while and starts the warm-up again.
"""

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

TROUBLES = (
    "down",  # does not listen; all connections are closed
    "silent",  # accepts calls and does not answer them before the trouble ends
    "slow",  # answers SLOW_FACTOR times later
    "errors",  # answers every call that it does not refuse with 500
    "shut",  # refuses every call with 429 and a Retry-After
)
SLOW_FACTOR = 10.0  # a slow endpoint multiplies the latency of its calls by this
SHUT_RETRY_AFTER_S = 2.0  # Retry-After of an endpoint that refuses every call
SILENCE_POLL_S = 0.05  # interval at which a silent endpoint checks whether its trouble is over
MIN_OVERLOAD_CALLS = 4.0  # so few calls never overload a partner, however low its rate
UNLIMITED_SLOTS = 1 << 20  # more than the connections of a run


@dataclass(frozen=True)
class PartnerSettings:
    """Capacity and behaviour of a partner."""

    number: int
    name: str
    kind: str = "plain"  # name of one of the kinds in the courier's configuration
    rate_per_s: float = 0.0  # token bucket that holds one second of calls; 0: no rate limit
    max_concurrent_calls: int = 0  # at each endpoint; 0: no limit
    max_queued_calls: int = 8  # calls that wait for a free slot at an endpoint; any more are refused with 503
    max_batch: int = 1  # messages in a call
    latency_ms: float = 40.0  # median of a log-normal distribution, for a call with one message
    latency_sigma: float = 0.3  # standard deviation of the logarithm of the latency
    extra_message_ms: float = 1.0  # added to the median by each further message of a batch
    max_connections: int = 64  # open connections to each endpoint, idle ones included
    routes_apart: bool = False  # each endpoint has a rate limit of its own
    cold_share: float = 0.2  # share of the capacity at the beginning of a warm-up
    cold_s: float = 2.0  # duration of a warm-up, in which the share grows linearly to 1
    # During a warm-up, more calls within fall_s than this times the current capacity overload the partner.
    fall_multiple: float = 2.5
    # Span over which the calls are counted, and for which an overloaded partner refuses all calls.
    fall_s: float = 1.0


class RateLimit:
    """Token bucket that holds one second of calls; its rate is reduced during a warm-up. Times in seconds."""

    def __init__(self, settings: PartnerSettings, now: float) -> None:
        self.settings, self.tokens, self.refilled_at = settings, settings.rate_per_s, now
        self.warm_up_began_at = -math.inf
        self.overloaded_until = -math.inf
        self.recent_calls: deque[float] = deque()  # times of the calls counted for an overload

    def capacity_share(self, now: float) -> float:
        """Return the share of the full rate that is available now."""
        settings = self.settings
        return min(
            1.0,
            settings.cold_share
            + (1 - settings.cold_share) * max(0.0, now - self.warm_up_began_at) / settings.cold_s,
        )

    def begin_warm_up(self, now: float) -> None:
        """Start at the reduced rate, with an empty bucket."""
        self.warm_up_began_at, self.tokens, self.refilled_at = now, 0.0, now
        self.recent_calls.clear()

    def register_call(self, now: float) -> bool:
        """Count a call; return whether it overloads the partner, which can happen during a warm-up only."""
        settings = self.settings
        if not settings.rate_per_s or self.capacity_share(now) >= 1.0 or now < self.overloaded_until:
            return False
        self.recent_calls.append(now)
        while self.recent_calls[0] < now - settings.fall_s:
            self.recent_calls.popleft()
        if len(self.recent_calls) <= self.max_warm_up_calls(now):
            return False
        self.overloaded_until = now + settings.fall_s
        self.begin_warm_up(self.overloaded_until)
        return True

    def max_warm_up_calls(self, now: float) -> float:
        """Return how many calls within `fall_s` do not overload the partner now."""
        settings = self.settings
        allowed = settings.fall_multiple * settings.rate_per_s * self.capacity_share(now) * settings.fall_s
        return max(MIN_OVERLOAD_CALLS, allowed)

    def take_token(self, now: float) -> float:
        """Take a token and return 0; if there is none, return the wait in seconds until one is available."""
        if not self.settings.rate_per_s:
            return 0.0
        if now < self.overloaded_until:
            return self.overloaded_until - now
        rate_per_s = self.settings.rate_per_s * self.capacity_share(now)
        self.tokens = min(max(1.0, rate_per_s), self.tokens + rate_per_s * max(0.0, now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / rate_per_s
        self.tokens -= 1.0
        return 0.0

    def load_headers(self) -> dict[str, str]:
        """Return the headers with which an answer reports the free share of the rate, and the rate."""
        rate_per_s = self.settings.rate_per_s
        return (
            {"X_Server_Load": f"x0={max(0.0, self.tokens) / rate_per_s:.2f},x1={rate_per_s:g}"}
            if rate_per_s
            else {}
        )


class PartnerEndpoint(Server):
    """One endpoint of a partner, as an HTTP server."""

    def __init__(
        self,
        settings: PartnerSettings,
        uid: str,
        zone: str,
        rate_limit: RateLimit,
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.settings, self.uid, self.zone, self.rate_limit = settings, uid, zone, rate_limit
        self.ledger, self.rng = ledger, rng
        self.trouble = ""
        self.slots = asyncio.Semaphore(settings.max_concurrent_calls or UNLIMITED_SLOTS)
        self.queued_calls = 0  # calls that wait for a free slot
        self.applied_keys: set[str] = set()  # idempotency keys of calls that took effect

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, which is closed at once if there are too many."""
        self.ledger.connections_opened += 1
        if len(self.writers) > self.settings.max_connections:
            return  # closes the connection
        while True:
            _, path, headers, body = await read_request(reader)
            while self.trouble == "silent":
                await asyncio.sleep(SILENCE_POLL_S)
            self.called(writer)
            text = await self._answer_call(path, headers, body)
            writer.write(text)
            self.answered(writer, text)

    def called(self, writer: asyncio.StreamWriter) -> None:
        """A call has arrived on a connection; a soak overrides this."""

    def answered(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Its answer has been written; a soak overrides this."""

    async def _answer_call(self, path: str, headers: dict[str, str], body: bytes) -> bytes:
        """Return the answer to a call, after its latency if it is not refused."""
        refusal = self._refusal()
        if refusal:
            return refusal
        messages = _read_messages(path, headers, body)
        self.ledger.record_call(self.uid, [message_id for message_id, _ in messages or ()])
        if messages is None or len(messages) > self.settings.max_batch:
            return answer(413 if messages else 400)
        self.queued_calls += 1
        async with self.slots:
            self.queued_calls -= 1
            await asyncio.sleep(self._latency_s(len(messages)))
        if self.trouble == "errors":
            self.ledger.calls["error"] += 1
            return answer(500)
        now = asyncio.get_running_loop().time()
        for message_id, key in messages:
            if not key or key not in self.applied_keys:
                self.ledger.record_effect(message_id)
            self.applied_keys.add(key)
            self.ledger.record_delivery(message_id, now)
        self.ledger.calls["delivered"] += 1
        rows = json.dumps([{"id": message_id, "state": "done"} for message_id, _ in messages]).encode()
        return answer(200, rows if path.endswith("/bundle") else b"", **self.rate_limit.load_headers())

    def _refusal(self) -> bytes:
        """Return the answer that refuses the call, or nothing if the call is accepted."""
        now = asyncio.get_running_loop().time()
        if self.trouble == "shut":
            self.ledger.calls["told to wait"] += 1
            return answer(429, Retry_After=SHUT_RETRY_AFTER_S)
        if self.rate_limit.register_call(now):
            self.ledger.overloads += 1
        if wait_s := self.rate_limit.take_token(now):
            self.ledger.calls["told to wait"] += 1
            return answer(429, Retry_After=f"{wait_s:.3f}", **self.rate_limit.load_headers())
        if self.slots.locked() and self.queued_calls >= self.settings.max_queued_calls:
            self.ledger.calls["refused"] += 1
            return answer(503)
        return b""

    def _latency_s(self, message_count: int) -> float:
        """Draw the latency of a call from a log-normal distribution."""
        median_ms = self.settings.latency_ms + self.settings.extra_message_ms * (message_count - 1)
        factor = SLOW_FACTOR if self.trouble == "slow" else 1.0
        return factor * median_ms / 1e3 * math.exp(self.settings.latency_sigma * self.rng.gauss(0, 1))

    async def begin_trouble(self, trouble: str) -> None:
        """Start one of TROUBLES; it lasts until `end_trouble`."""
        self.trouble = trouble
        if trouble == "down":
            await self.pause()

    async def end_trouble(self) -> None:
        """End the trouble. An endpoint that was down listens again and warms up."""
        if self.trouble == "down":
            self.rate_limit.begin_warm_up(asyncio.get_running_loop().time())
            await self.start()
        self.trouble = ""


def _read_messages(path: str, headers: dict[str, str], body: bytes) -> list[tuple[str, str]] | None:
    """Return (id, idempotency key) of each message in the call, or None if the body is malformed."""
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
    """All endpoints of one partner; they share one rate limit unless each has its own (`routes_apart`).

    zones: zone of each endpoint, one endpoint for each element.
    """

    def __init__(
        self, settings: PartnerSettings, zones: list[str], ledger: Ledger, rng: random.Random, now: float
    ) -> None:
        self.settings = settings
        shared = RateLimit(settings, now)
        self.endpoints = [
            PartnerEndpoint(
                settings,
                f"{settings.name}-{index}",
                zone,
                RateLimit(settings, now) if settings.routes_apart else shared,
                ledger,
                rng,
            )
            for index, zone in enumerate(zones)
        ]
