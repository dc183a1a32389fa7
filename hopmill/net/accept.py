"""Accepting connections on a listening socket that may be shared with another process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hopmill import logs
from hopmill.net.config import Address

PAUSE_S = 0.05  # with no descriptor left, until the next try
LAST = 1024  # connections taken as the socket closes; over any backlog
OUT_OF_ROOM_S = 5.0  # between two lines of log on that
log = logs.part("accept")


def listening_socket(address: Address, backlog: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=backlog)


class Acceptor:
    """Accepts a few connections in each turn of the loop: some turns pass until these are counted and others
    closed to make room. asyncio's own server sets the socket's backlog, which is not ours to set, and can't
    say which connections it has taken that no protocol has seen yet."""

    def __init__(self, sock: socket.socket, protocol: Callable[[], asyncio.Protocol], a_turn: int) -> None:
        self.sock, self.protocol, self.a_turn = sock, protocol, a_turn
        self.loop = asyncio.get_running_loop()
        self.pending_joins: set[asyncio.Task[None]] = set()  # accepted, and not with their protocol yet
        self.pausing: asyncio.TimerHandle | None = None
        self.warned_at = -OUT_OF_ROOM_S
        sock.setblocking(False)
        self.start()

    @property
    def is_open(self) -> bool:
        return self.sock.fileno() >= 0

    @property
    def port(self) -> int:
        return self.sock.getsockname()[1]

    def start(self) -> None:
        self.pausing = None
        self.loop.add_reader(self.sock, self._ready)

    def stop(self) -> None:
        """Accept no more; what has not been accepted waits in the kernel while the socket is open."""
        self.loop.remove_reader(self.sock)
        if self.pausing:
            self.pausing.cancel()

    def close(self) -> None:
        """Those that the kernel has accepted already are taken: closing the socket would reset them."""
        if self.is_open:
            self.stop()
            self._take(LAST)
            self.stop()
            self.sock.close()

    def _ready(self) -> None:
        self._take(self.a_turn)

    def _take(self, most: int) -> None:
        for _ in range(most):
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._out_of_room(error)
                return
            connection.setblocking(False)
            # Asyncio does so only where a socket says which protocol it is of, and those of a listening one
            # that was made without saying so don't. Without it an answer may be held back.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.join(connection, self.protocol)

    def join(self, connection: socket.socket, protocol: Callable[[], asyncio.Protocol]) -> None:
        task = self.loop.create_task(self._join(connection, protocol))
        self.pending_joins.add(task)
        task.add_done_callback(self.pending_joins.discard)

    async def _join(self, connection: socket.socket, protocol: Callable[[], asyncio.Protocol]) -> None:
        try:
            await self.loop.connect_accepted_socket(protocol, connection)
        except OSError as error:
            log.warning("connection.lost", error=error)
            connection.close()

    def _out_of_room(self, error: OSError) -> None:
        self.loop.remove_reader(self.sock)
        self.pausing = self.loop.call_later(PAUSE_S, self.start)
        if self.loop.time() - self.warned_at >= OUT_OF_ROOM_S:
            self.warned_at = self.loop.time()
            log.error("accept.paused", error=error)
