"""The environment of a measured courier: partners and a load, both cheap enough not to be the bottleneck.

Messages are counted by id: one is delivered when an endpoint has written its 200, and lost if it was accepted
and neither delivered nor ended by a notice before its deadline and the grace.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

from hopmill.standin.client import ANSWER_TIMEOUT_S
from hopmill.standin.discovery import Discovery
from hopmill.standin.load import MAX_RETRY_WAIT_S, MIN_RETRY_WAIT_S
from hopmill.standin.server import HOST

MIN_LIFETIME_S = 0.01  # a message that is closer to its deadline is not submitted
POLL_INTERVAL_S = 0.02  # between two checks for messages without a final answer
MAX_BACKLOG = 4096  # connections waiting to be accepted by an endpoint
GRACE_S = 0.3  # grace after a message's deadline before it counts as late or lost
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Endpoint(asyncio.Protocol):
    """Answers every call with 200 after a fixed time; one call at a time on a connection."""

    def __init__(self, environment: Environment) -> None:
        self.environment, self.buffer = environment, b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.environment.connections_opened += 1

    def data_received(self, data: bytes) -> None:
        """Schedule the answer once the request is complete."""
        self.buffer += data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(line.split(b":", 1) for line in head.lower().split(b"\r\n")[1:])
        size = int(fields.get(b"content-length", b"0"))
        if len(rest) < size:
            return
        self.buffer = rest[size:]
        message_id = fields[b"x-request-id"].strip().decode()
        asyncio.get_running_loop().call_later(self.environment.latency_s, self._answer, message_id)

    def _answer(self, message_id: str) -> None:
        """Write the 200 and count the delivery, unless the connection is being closed."""
        if not self.transport.is_closing():
            self.transport.write(OK_RESPONSE)
            self.environment.record_delivery(message_id)


@dataclass
class LoadResult:
    """The outcome of one load; latencies count from the time at which a message was due."""

    offered: int = 0
    taken: int = 0
    refused: int = 0
    failed: int = 0
    delivered: int = 0
    lost: int = 0
    ended_late: int = 0  # deliveries and notices after the message's deadline and its grace
    latencies_s: list[float] = field(default_factory=list)
    by_second: dict[int, int] = field(default_factory=dict)  # deliveries in each second of the load

    def percentile_ms(self, share: float) -> float:
        """Return the percentile of the latencies by nearest rank; 0 if nothing was delivered."""
        values = sorted(self.latencies_s)
        return values[min(len(values) - 1, int(share * len(values)))] * 1e3 if values else 0.0


class Environment:
    """Partners and discovery around a measured courier, and the load on it.

    slots: calls at a time of the courier; max_held: messages that it holds at most.
    """

    def __init__(
        self,
        partner_count: int = 20,
        latency_s: float = 0.05,
        endpoints_per_partner: int = 2,
        slots: int = 256,
        max_held: int = 4000,
    ) -> None:
        self.partner_count, self.latency_s, self.endpoints_per_partner = (
            partner_count,
            latency_s,
            endpoints_per_partner,
        )
        self.slots, self.max_held = slots, max_held
        self.discovery = Discovery(self._end_by_notice)
        self.servers: list[asyncio.Server] = []
        self.connections_opened = 0
        self.due_and_deadline: dict[str, tuple[float, float]] = {}  # by message id: due time and deadline
        self.open_ids: set[str] = set()  # ids of accepted messages that are not in ended_ids
        self.ended_ids: set[str] = set()  # ids of messages delivered or ended by a notice
        self.result = LoadResult()
        self.began_at = 0.0

    async def start(self) -> None:
        """Start discovery and the endpoints, and list these."""
        loop = asyncio.get_running_loop()
        await self.discovery.start()
        for partner in range(1, self.partner_count + 1):
            for index in range(self.endpoints_per_partner):
                server = await loop.create_server(lambda: Endpoint(self), HOST, 0, backlog=MAX_BACKLOG)
                self.servers.append(server)
                self.discovery.target(
                    f"p{partner}-{index}", server.sockets[0].getsockname()[1], partner, "plain", rate=0.0
                )

    async def stop(self) -> None:
        """Stop the endpoints and discovery."""
        for server in self.servers:
            server.close()
        await self.discovery.stop()

    def known_targets(self) -> dict[str, Any]:
        """Return the full list of targets, which the courier starts with."""
        return self.discovery.full_list()

    def settings(self) -> dict[str, Any]:
        """Return the courier's settings in the platform's format.

        Every git revision of the courier that can be measured reads this format.
        """
        return {
            "classes": [
                {
                    "name": "safe",
                    "goalTimeUs": 2_000_000,
                    "deadlineUs": 8_000_000,
                    "idempotency": "read_like",
                },
                {
                    "name": "unsafe",
                    "goalTimeUs": 2_000_000,
                    "deadlineUs": 8_000_000,
                    "idempotency": "non_idempotent",
                },
            ],
            "clients": {"marksRetry": False},
            "groupSize": 1,
            "me": 0,
            "stepUs": 2000,
            "contract": {
                "coldShare": 0.2,
                "coldUs": 2_000_000,
                "drainGraceUs": 2_000_000,
                "fallMultiple": 3.0,
                "fallUs": 1_000_000,
            },
            "familyInfo": {"maxCalls": self.slots, "kindApart": [False], "kindBatch": [1]},
            "policyLimits": {
                "attemptsCap": 3,
                "connIdleUs": 10_000_000,
                "connectTimeoutUs": 1_000_000,
                "maxOpen": self.max_held,
                "retryAfter": True,
                "maxRetryAfterUs": 2_000_000,
            },
            "localities": ["here"],
            "shapes": ["plain"],
            "weightSource": "none",
            "tenants": [{"name": "t", "fraction": 1.0, "quotaPerS": 1e9}],
        }

    async def load(
        self,
        port: int,
        rate_per_s: float,
        duration_s: float,
        connections: int = 20,
        lifetime_s: float = 8.0,
        resubmissions: int = 0,
        seed: int = 1,
        partner: int = 0,
    ) -> LoadResult:
        """Submit messages in an open loop with Poisson arrivals, over connections with one request at a time.

        resubmissions: how often a refused message is submitted again. partner: number of the partner of all
        messages, 0 for random ones.
        """
        loop, rng = asyncio.get_running_loop(), random.Random(seed)
        self.result, self.began_at = LoadResult(), loop.time()
        queue: asyncio.Queue[tuple[str, int, int]] = asyncio.Queue()
        workers = [
            loop.create_task(self._submit_from_queue(port, queue, lifetime_s, rng))
            for _ in range(connections)
        ]
        due_at, offered_count = loop.time(), 0
        while (due_at := due_at + rng.expovariate(rate_per_s)) < self.began_at + duration_s:
            if (wait_s := due_at - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            offered_count += 1
            message_id = f"b{seed:x}-{offered_count:x}"
            self.due_and_deadline[message_id] = due_at, due_at + lifetime_s
            self.result.offered += 1
            queue.put_nowait((message_id, partner or rng.randint(1, self.partner_count), resubmissions))
        await queue.join()
        deadline = loop.time() + lifetime_s + GRACE_S
        while self.open_ids and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        for worker in workers:
            worker.cancel()
        self.result.lost = len(self.open_ids)
        return self.result

    async def _submit_from_queue(
        self, port: int, queue: asyncio.Queue[tuple[str, int, int]], lifetime_s: float, rng: random.Random
    ) -> None:
        """Submit the queued messages over one connection, which is opened again after an error."""
        loop = asyncio.get_running_loop()
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while True:
            message_id, partner, resubmissions = await queue.get()
            remaining_s = self.due_and_deadline[message_id][1] - loop.time()
            try:
                if remaining_s <= MIN_LIFETIME_S:
                    self.result.failed += 1
                    continue
                if writer is None:
                    reader, writer = await asyncio.open_connection(HOST, port)
                # Class, tenant, remaining lifetime in milliseconds, destination.
                fields = f"c=safe,t=t,d={int(remaining_s * 1e3)},dest={partner}".encode()
                writer.write(
                    b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n"
                    b"$64\r\n%s\r\n" % (len(message_id), message_id.encode(), len(fields), fields, b"x" * 64)
                )
                reply = await asyncio.wait_for(reader.readuntil(b"\r\n"), ANSWER_TIMEOUT_S)
                self._record_reply(message_id, reply, resubmissions, queue, loop, partner, rng)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.result.failed += 1
                if writer is not None:
                    writer.close()
                reader = writer = None
            finally:
                queue.task_done()

    def _record_reply(
        self,
        message_id: str,
        reply: bytes,
        resubmissions: int,
        queue: asyncio.Queue[tuple[str, int, int]],
        loop: asyncio.AbstractEventLoop,
        partner: int,
        rng: random.Random,
    ) -> None:
        """Count the answer; queue a refused message again under a new id once its wait is over.

        resubmissions: how often the message may still be submitted again.
        """
        if reply.startswith(b"+"):
            self.result.taken += 1
            if message_id not in self.ended_ids:
                self.open_ids.add(message_id)
            return
        self.result.refused += 1
        if resubmissions and reply.startswith(b"-BUSY"):
            fields = reply.split()
            wait_s = (
                int(fields[1]) / 1e3 if len(fields) > 1 else rng.uniform(MIN_RETRY_WAIT_S, MAX_RETRY_WAIT_S)
            )
            new_id = f"{message_id}a"
            self.due_and_deadline[new_id] = self.due_and_deadline[message_id]
            loop.call_later(wait_s, queue.put_nowait, (new_id, partner, resubmissions - 1))

    def record_delivery(self, message_id: str) -> None:
        """Count the first 200 of a message."""
        now = asyncio.get_running_loop().time()
        due_at, deadline = self.due_and_deadline.get(message_id, (now, now))
        if message_id in self.ended_ids:
            return
        self.ended_ids.add(message_id)
        self.open_ids.discard(message_id)
        self.result.delivered += 1
        self.result.ended_late += now > deadline + GRACE_S
        self.result.latencies_s.append(now - due_at)
        second = int(now - self.began_at)
        self.result.by_second[second] = self.result.by_second.get(second, 0) + 1

    def _end_by_notice(self, notice: dict[str, str]) -> None:
        """Record that the courier reported a final status for a message, in time or not."""
        message_id = notice["id"]
        if message_id in self.due_and_deadline:
            self.result.ended_late += (
                asyncio.get_running_loop().time() > self.due_and_deadline[message_id][1] + GRACE_S
            )
        self.ended_ids.add(message_id)
        self.open_ids.discard(message_id)


def dump(result: LoadResult) -> str:
    """Return the result as one JSON object, with percentiles in place of the latencies."""
    return json.dumps(
        {
            "offered": result.offered,
            "taken": result.taken,
            "refused": result.refused,
            "failed": result.failed,
            "delivered": result.delivered,
            "lost": result.lost,
            "late_ends": result.ended_late,
            "p50_ms": round(result.percentile_ms(0.5), 1),
            "p99_ms": round(result.percentile_ms(0.99), 1),
        }
    )
