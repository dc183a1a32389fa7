"""Shares the event loop among the clients that have requests to be handled: round robin."""

from __future__ import annotations

import asyncio
from typing import Protocol

MAX_RUN_S = 0.004  # of requests handled in one iteration of the event loop


class WorkingClient(Protocol):
    """A client whose received data may hold requests."""

    def process_some(self) -> bool:
        """Handle a few requests; return whether there may be more to handle now."""


class ClientTurns:
    """The clients that have something to be handled, in the order of their turns.

    A client that has used its turn goes to the end, so that one that sends much delays the others by the
    requests of one turn each.
    """

    def __init__(self) -> None:
        self.clients: dict[WorkingClient, None] = {}
        self.is_scheduled = False

    def add(self, client: WorkingClient) -> None:
        """Give the client a turn."""
        self.clients.setdefault(client)
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def remove(self, client: WorkingClient) -> None:
        """Give the client no further turn."""
        self.clients.pop(client, None)

    def __contains__(self, client: object) -> bool:
        return client in self.clients

    def _run(self) -> None:
        """Give each client one turn, as far as the time for it suffices."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + MAX_RUN_S
        self.is_scheduled = False
        for client in list(self.clients):
            if client not in self.clients:  # it has left in another one's turn
                continue
            del self.clients[client]
            if client.process_some():
                self.clients.setdefault(client)
            if loop.time() >= end_at:
                break
        if self.clients and not self.is_scheduled:
            self.is_scheduled = True
            loop.call_soon(self._run)
