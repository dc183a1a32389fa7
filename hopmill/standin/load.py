"""An open-loop load: messages are submitted when they are due, whether or not the couriers keep up."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from hopmill.standin.client import ANSWER_TIMEOUT_S, Client
from hopmill.standin.ledger import Submission, Ledger

MAX_RESUBMISSIONS = 2  # how often a refused message is submitted again before its deadline
MIN_LIFETIME_S = 0.05  # a message that is closer to its deadline is not submitted
MIN_RETRY_WAIT_S, MAX_RETRY_WAIT_S = 0.1, 0.3  # random wait after a refusal without retry-after
MAX_IDLE_S = 1.5  # couriers close a client's idle connection after 2 s


@dataclass(frozen=True)
class LoadClass:
    """One class of the load's messages."""

    name: str
    share: float  # of all messages; relative to the other classes' shares
    aim_s: float  # a delivery within this is in time
    lifetime_s: float  # from the time at which a message is due to its deadline
    unsafe: bool = False  # may take effect once at most
    keyed: bool = False  # carries an idempotency key
    zone_bound: bool = False  # its keys are known in one zone only


class LoadGenerator:
    """Submits messages to couriers that accept clients, and reuses idle connections."""

    def __init__(
        self,
        ledger: Ledger,
        classes: list[LoadClass],
        partners: list[int],
        list_ports: Callable[[], list[int]],
        rng: random.Random,
        tenant: str = "demo",
    ) -> None:
        """`list_ports` returns the ports of the couriers that accept clients now; `partners` are numbers."""
        self.ledger, self.classes, self.partners, self.list_ports = ledger, classes, partners, list_ports
        self.rng, self.tenant = rng, tenant
        self.idle_clients: dict[int, list[tuple[float, Client]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.submissions = 0

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Submit messages with Poisson arrivals; return once the last one has been answered."""
        loop = asyncio.get_running_loop()
        due_at = started_at = loop.time()
        while (due_at := due_at + self.rng.expovariate(rate_per_s)) < started_at + seconds:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            message_class = self.rng.choices(self.classes, [c.share for c in self.classes])[0]
            task = loop.create_task(self._submit(message_class, self.rng.choice(self.partners), due_at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def _submit(self, message_class: LoadClass, partner: int, due_at: float) -> None:
        """Submit a message, and again after a refusal while its lifetime lasts."""
        loop = asyncio.get_running_loop()
        for _ in range(1 + MAX_RESUBMISSIONS):
            remaining_s = due_at + message_class.lifetime_s - loop.time()
            ports = self.list_ports()
            if remaining_s < MIN_LIFETIME_S or not ports:
                return
            self.submissions += 1
            message_id = f"d{self.submissions:08x}"
            self.ledger.record_submission(
                message_id,
                Submission(
                    message_class.name, message_class.unsafe, loop.time(), message_class.aim_s, remaining_s
                ),
            )
            port = self.rng.choice(ports)
            self.ledger.record_courier(message_id, port)
            reply = await self._send(port, message_id, message_class, partner, remaining_s)
            if reply.startswith("+"):
                self.ledger.record_answer(message_id, "taken")
                return
            is_refused = reply.startswith("-BUSY")
            self.ledger.record_answer(message_id, "refused" if is_refused else "failed")
            if not is_refused:
                return
            retry_after = reply.split()[1:]
            await asyncio.sleep(
                int(retry_after[0]) / 1e3
                if retry_after
                else self.rng.uniform(MIN_RETRY_WAIT_S, MAX_RETRY_WAIT_S)
            )

    async def _send(
        self, port: int, message_id: str, message_class: LoadClass, partner: int, remaining_s: float
    ) -> str:
        """Return the courier's answer, or "" if there was none in time."""
        client = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                client = await self._connect(port)
                reply = await client.send(
                    client.message(
                        message_id,
                        message_class.name,
                        partner,
                        int(remaining_s * 1e3),
                        b"x" * self.rng.randrange(20, 400),
                        f"k-{message_id}" if message_class.keyed else "",
                        self.tenant,
                    )
                )
            self.idle_clients.setdefault(port, []).append((asyncio.get_running_loop().time(), client))
            return reply
        if client is not None:
            client.close()
        return ""

    async def _connect(self, port: int) -> Client:
        """Return an idle connection that the courier still keeps open, or a new one."""
        idle, now = self.idle_clients.get(port, []), asyncio.get_running_loop().time()
        while idle:
            idle_since, client = idle.pop()
            if now - idle_since < MAX_IDLE_S and not client.reader.at_eof():
                return client
            client.close()
        return await Client().open(port)

    def close(self) -> None:
        """Cancel the submissions and close the idle connections."""
        for task in self.tasks:
            task.cancel()
        for idle in self.idle_clients.values():
            for _, client in idle:
                client.close()
