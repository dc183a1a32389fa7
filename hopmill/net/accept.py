"""Accepts connections on a listening socket that may be shared with another process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hopmill import logs
from hopmill.net.config import Address

RETRY_S = 0.05  # after accept has failed, usually for lack of descriptors
MAX_ACCEPTS_AT_CLOSE = 1024  # before the socket is closed; more than any backlog
LOG_INTERVAL_S = 5.0  # at least, between two log lines on failed accepts
log = logs.part("accept")


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket for an IPv4 or IPv6 address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=backlog)


class Acceptor:
    """Accepts a few connections in each iteration of the event loop.

    It takes some iterations until new connections are counted and others are closed to make room. asyncio's
    own server is not used: it sets the backlog of the socket, which is not this program's to set, and cannot
    tell which connections it has accepted that no protocol has received yet.
    """

    def __init__(
        self, sock: socket.socket, protocol_factory: Callable[[], asyncio.Protocol], max_per_turn: int
    ) -> None:
        self.sock, self.protocol_factory, self.max_per_turn = sock, protocol_factory, max_per_turn
        self.loop = asyncio.get_running_loop()
        # Connections that were accepted and are not with their protocol yet.
        self.pending_joins: set[asyncio.Task[None]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None
        self.logged_at = -LOG_INTERVAL_S
        sock.setblocking(False)
        self.start()

    @property
    def is_open(self) -> bool:
        """Whether the listening socket is open."""
        return self.sock.fileno() >= 0

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return self.sock.getsockname()[1]

    def start(self) -> None:
        """Start or resume accepting."""
        self.resume_timer = None
        self.loop.add_reader(self.sock, self._on_readable)

    def stop(self) -> None:
        """Stop accepting; while the socket is open, further connections wait in the kernel."""
        self.loop.remove_reader(self.sock)
        if self.resume_timer:
            self.resume_timer.cancel()

    def close(self) -> None:
        """Close the socket, after accepting the connections that the kernel has completed.

        Closing the socket would reset them.
        """
        if self.is_open:
            self.stop()
            self._accept_up_to(MAX_ACCEPTS_AT_CLOSE)
            self.stop()
            self.sock.close()

    def _on_readable(self) -> None:
        self._accept_up_to(self.max_per_turn)

    def _accept_up_to(self, limit: int) -> None:
        for _ in range(limit):
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error)
                return
            connection.setblocking(False)
            # asyncio sets this only on sockets with an explicit protocol number, which those accepted from a
            # listening socket that was created without one do not have. Without it answers may be delayed.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.join(connection, self.protocol_factory)

    def join(self, connection: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        """Connect a socket with its protocol."""
        task = self.loop.create_task(self._join(connection, protocol_factory))
        self.pending_joins.add(task)
        task.add_done_callback(self.pending_joins.discard)

    async def _join(
        self, connection: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> None:
        try:
            await self.loop.connect_accepted_socket(protocol_factory, connection)
        except OSError as error:
            log.warning("connection.lost", error=error)
            connection.close()

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a moment after an error."""
        self.loop.remove_reader(self.sock)
        self.resume_timer = self.loop.call_later(RETRY_S, self.start)
        if self.loop.time() - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = self.loop.time()
            log.error("accept.paused", error=error)
