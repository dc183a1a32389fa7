"""An open-loop load: messages come at their times whether or not the couriers keep up."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from hopmill.standin.client import ANSWER_S, Client
from hopmill.standin.ledger import Entry, Ledger

COME_AGAIN = 2  # times that a refused message is handed in anew, while its life lasts
QUIET_S = 1.5  # an idle connection is used up to this age: couriers close them after 2 s


@dataclass(frozen=True)
class Kind:
    """What one class of messages asks for."""

    cls: str
    share: float  # of all messages
    aim_s: float
    life_s: float
    unsafe: bool = False
    keyed: bool = False


class Load:
    """Hands messages in at couriers that are up, over connections that are kept while they are used."""

    def __init__(
        self,
        ledger: Ledger,
        kinds: list[Kind],
        partners: list[int],
        ports: Callable[[], list[int]],
        chance: random.Random,
        tenant: str = "demo",
    ) -> None:
        """ports: of the couriers that take clients now."""
        self.ledger, self.kinds, self.partners, self.ports = ledger, kinds, partners, ports
        self.chance, self.tenant = chance, tenant
        self.idle: dict[int, list[tuple[float, Client]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Poisson arrivals; returns once the last has been handed in and answered."""
        loop = asyncio.get_running_loop()
        due = start = loop.time()
        while (due := due + self.chance.expovariate(rate_per_s)) < start + seconds:
            await asyncio.sleep(max(0.0, due - loop.time()))
            kind = self.chance.choices(self.kinds, [k.share for k in self.kinds])[0]
            task = loop.create_task(self._message(kind, self.chance.choice(self.partners), due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def _message(self, kind: Kind, partner: int, born: float) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(1 + COME_AGAIN):
            life = born + kind.life_s - loop.time()
            ports = self.ports()
            if life < 0.05 or not ports:
                return
            self.count += 1
            ident = f"d{self.count:08x}"
            self.ledger.handed_in(ident, Entry(kind.cls, kind.unsafe, loop.time(), kind.aim_s, life))
            port = self.chance.choice(ports)
            self.ledger.handed_to(ident, port)
            said = await self._put(port, ident, kind, partner, life)
            if said.startswith("+"):
                self.ledger.answered(ident, "taken")
                return
            refused = said.startswith("-BUSY")
            self.ledger.answered(ident, "refused" if refused else "failed")
            if not refused:
                return
            wait = said.split()[1:]
            await asyncio.sleep(int(wait[0]) / 1e3 if wait else self.chance.uniform(0.1, 0.3))

    async def _put(self, port: int, ident: str, kind: Kind, partner: int, life: float) -> str:
        """The courier's answer, "" if none came in time."""
        client = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                client = await self._client(port)
                said = await client.send(
                    client.message(
                        ident,
                        kind.cls,
                        partner,
                        int(life * 1e3),
                        b"x" * self.chance.randrange(20, 400),
                        f"k-{ident}" if kind.keyed else "",
                        self.tenant,
                    )
                )
            self.idle.setdefault(port, []).append((asyncio.get_running_loop().time(), client))
            return said
        if client is not None:
            client.close()
        return ""

    async def _client(self, port: int) -> Client:
        kept, now = self.idle.get(port, []), asyncio.get_running_loop().time()
        while kept:
            since, client = kept.pop()
            if now - since < QUIET_S and not client.reader.at_eof():
                return client
            client.close()
        return await Client().open(port)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for kept in self.idle.values():
            for _, client in kept:
                client.close()
