"""The RESP2 server to which clients submit messages: accepts connections and limits what they occupy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from hopmill.net.accept import Acceptor
from hopmill.net.client_turns import ClientTurns
from hopmill.net.clients import DRAIN_GRACE_S, ClientConnection, Reply
from hopmill.net.large_requests import LargeRequests
from hopmill.net.put import Put
from hopmill.net.upgrade import HandoverPayload

BACKLOG = 512  # connections waiting to be accepted
RECEIVE_BYTES = 16 * 1024  # read from one client at a time
DRAIN_IDLE_S = 0.2  # a drained courier closes connections without data for this time
DRAIN_SWEEP_S = 0.05  # interval of the sweep that closes idle connections while the courier is drained
FIRST_REQUEST_GRACE_S = 0.4  # a client that has not sent its first request yet counts as idle after this time
LINGERING_DIVISOR = 10  # one in so many of the clients' connections may linger
MAX_ACCEPTS_PER_ITERATION = 16  # new connections in one iteration of the event loop


class ClientServer:
    """Accepts clients; `put` receives each message with the reply to answer it by."""

    def __init__(
        self, put: Callable[[Put, Reply], None], max_clients: int, max_request_bytes: int = 1 << 20
    ) -> None:
        """max_clients: connected at once. max_request_bytes: of all large requests that are being read."""
        self.put, self.max_clients = put, max_clients
        self.turns = ClientTurns()
        self.large_requests = LargeRequests(max_request_bytes)
        self.receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        self.lingering: dict[ClientConnection, None] = {}  # being read until their end, oldest first
        self.acceptor: Acceptor | None = None
        # Whether PING is answered with an error; whether connections are closed between requests.
        self.drained = self.closes_after_answer = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    def set_drained(self, drained: bool) -> None:
        """Close clients' connections without cutting off requests, or accept clients again. Idempotent."""
        if drained is self.drained:
            return
        self.drained, self.closes_after_answer = drained, False
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if drained:
            self.sweep_timer = asyncio.get_running_loop().call_later(
                DRAIN_GRACE_S, self._close_idle_while_draining
            )

    def _close_idle_while_draining(self) -> None:
        loop = asyncio.get_running_loop()
        self.closes_after_answer = True  # from now on busy connections are closed after their answer
        for client in list(self.connections):
            if loop.time() - client.last_data_at >= DRAIN_IDLE_S:
                client.close_if_idle()
        self.sweep_timer = loop.call_later(DRAIN_SWEEP_S, self._close_idle_while_draining)

    def listen(self, sock: socket.socket) -> int:
        """Accept clients on this socket; returns its port."""
        self.acceptor = Acceptor(sock, lambda: ClientConnection(self), MAX_ACCEPTS_PER_ITERATION)
        return self.acceptor.port

    def connection_joined(self, client: ClientConnection) -> None:
        """Add a connection; if there are too many, another one is closed."""
        self.connections[client] = None
        if len(self.connections) > self.max_clients:  # to keep to the limits on open files and memory
            self._make_room(client)

    def _make_room(self, newcomer: ClientConnection) -> None:
        # Least recently used first.
        others = [c for c in self.connections if c is not newcomer and not c.pending_replies]
        closable = next((c for c in others if c.is_between_requests and not c.has_unread_bytes), None)
        # All others have partial requests or are about to be answered: the one idle longest is stalled.
        closable = closable or next((c for c in others if c.reader.has_partial_request), newcomer)
        # Removed at once, or the next to join in this iteration of the loop would choose the same one.
        self.connection_left(closable)
        if not (closable.has_sent_request or closable.reader.has_partial_request):
            closable.turn_away()  # its first request may be on its way
        else:
            closable.reject()

    def connection_left(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(client, None)
        self.lingering.pop(client, None)
        self.turns.remove(client)
        self.large_requests.release(client)

    def connection_lingers(self, client: ClientConnection) -> None:
        """Keep a connection that is read until its end; only few, as each occupies a descriptor."""
        self.connection_left(client)
        self.lingering[client] = None
        if len(self.lingering) > max(2, self.max_clients // LINGERING_DIVISOR):
            next(iter(self.lingering)).transport.abort()

    @property
    def is_empty(self) -> bool:
        """Whether no client is connected or about to be."""
        return not (self.connections or self.lingering or self.acceptor and self.acceptor.pending_joins)

    def touch(self, client: ClientConnection) -> None:
        """Mark a connection as the most recently used."""
        if client in self.connections:
            self.connections[client] = self.connections.pop(client)

    @property
    def is_listening(self) -> bool:
        """Whether new clients are accepted."""
        return self.acceptor is not None and self.acceptor.is_open

    def stop_listening(self) -> None:
        """Accept the clients that the kernel has accepted already, then no more."""
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if self.acceptor is not None:
            self.acceptor.close()

    def carry(self, payload: HandoverPayload, limit: int) -> list[list[Any]]:
        """Return up to `limit` connections to hand over to the next process, the most recently used ones.

        Between two turns no answer is pending on them.
        """
        return [
            [
                payload.add_descriptor(c.fileno),
                c.reader.carry(),
                c.last_data_at,
                c.last_request_at,
                c.request_began_at,
                c.awaits_first_byte,
            ]
            for c in list(self.connections)[-limit:]
            if c.can_be_handed_over
        ]

    def resume(self, sock: socket.socket, *carried: Any) -> None:
        """Go on with a connection that the previous process handed over at an upgrade."""
        assert self.acceptor is not None
        self.acceptor.join(sock, lambda: ClientConnection(self, carried))

    def close_idle(self) -> None:
        """Close the connections that are between requests.

        Others would lose their request. New connections are spared: their first request may be in transit.
        """
        now = asyncio.get_running_loop().time()
        for client in list(self.connections):
            if client.has_sent_request or now - client.last_request_at >= FIRST_REQUEST_GRACE_S:
                client.close_if_idle()

    def reject_all(self) -> None:
        """Reject incomplete requests on all connections, as the process ends."""
        for client in list(self.connections):
            client.reject()
