"""One question for the endpoint list on a connection of its own, and the watch that its answer opens."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hopmill.net.config import Address
from hopmill.net.http import Connection, Exchange
from hopmill.net.list_reader import ListReader

STATUS_OK = 200


class WatchEvents(Protocol):
    """What the owner of the watches is told of each one."""

    def on_connected(self, watch: WatchConnection) -> None:
        """The connection is established; the question can be asked."""

    def on_part_received(self, watch: WatchConnection, documents: list[bytes]) -> None:
        """Something has arrived, with the documents that it completes."""

    def on_ended(self, watch: WatchConnection) -> None:
        """The connection could not be established, or has ended; it is closed."""

    def on_refused(self, watch: WatchConnection) -> None:
        """The answer has another status than 200."""


class WatchConnection(Exchange):
    """Asks discovery for what has changed since a revision."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        number: int,
        revision: int,
        owner: WatchEvents,
    ) -> None:
        """number: of the question, ascending. revision: of the list that is known.

        Raises OSError if no socket can be created.
        """
        self.address, self.number, self.revision, self.owner = address, number, revision, owner
        self.loop, self.asked_at = loop, loop.time()
        self.reader, self.status = ListReader(), 0
        self.connected_at: float | None = None  # loop time; None before the connection is established
        self.is_answered = False  # a list that could be used has arrived
        self.has_gone_back = False  # it has told a revision older than the one it was asked from
        self.connection = Connection(loop, address)

    def connect(self) -> None:
        """Connect, then ask."""
        self.connection.connect(self._on_connect_ended)

    def _on_connect_ended(self, error: OSError | None) -> None:
        if error is not None:
            self.owner.on_ended(self)
            return
        self.connected_at = self.loop.time()
        self.owner.on_connected(self)
        self.connection.request("GET", f"/discovery/hosts?watch=1&from={self.revision}", [], b"", self)

    def read_pending(self) -> None:
        """Take in what has arrived but the event loop has not reported yet."""
        if self.connection.exchange is self:
            self.connection.read_pending()

    def close(self) -> None:
        """Close the connection; the owner is told nothing more."""
        self.connection.close()

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Go on with a status of 200 only."""
        self.status = status
        if status == STATUS_OK:
            self.owner.on_part_received(self, [])
        else:
            self.owner.on_refused(self)

    def body_received(self, data: bytes) -> None:
        """Pass on the documents that are complete."""
        self.owner.on_part_received(self, self.reader.feed(data))

    def response_complete(self) -> None:
        """The server has ended the watch."""
        self.connection_lost(True)

    def connection_lost(self, written: bool) -> None:
        """Close the connection and tell the owner."""
        self.close()
        self.owner.on_ended(self)
