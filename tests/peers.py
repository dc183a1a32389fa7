"""Connections on raw sockets whose bytes, half-closes and resets the test controls."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from loopback import LIMIT, Client, bounded, until

HOST = "127.0.0.1"


class Peer:
    """A client connection that reads and sends only when the test says so."""

    def __init__(self, port: int, room: int = 0) -> None:
        """room: size of its receive buffer in bytes, 0 for the default of the system."""
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        if room:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.sock.connect((HOST, port))
        self.sock.setblocking(False)

    async def send(self, data: bytes) -> None:
        """Send as much as the other side accepts; a closed connection is not an error here."""
        with contextlib.suppress(ConnectionError):
            await bounded(self.loop.sock_sendall(self.sock, data))

    def half_close(self) -> None:
        """Send EOF."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def some(self) -> bytes:
        """Return what arrives next, b"" for EOF."""
        return await bounded(self.loop.sock_recv(self.sock, 1 << 16))

    async def rest(self) -> tuple[bytes, str]:
        """Return everything until the end, and how it ended: `end` or `reset`."""
        got = b""
        while True:
            try:
                data = await self.some()
            except ConnectionError:
                return got, "reset"
            if not data:
                return got, "end"
            got += data

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def put(ident: str, **more) -> bytes:
    """Return the bytes of a MSG.PUT request."""
    return Client.message(ident, **more)


PING, PONG, OK = Client.command(b"PING"), b"+PONG\r\n", b"+OK\r\n"


def at(host, peer: Peer):
    """Return the courier's side of a peer's connection, None until it has joined."""
    name = peer.sock.getsockname()
    sides = [*host.clients.connections, *host.clients.lingering]
    return next((c for c in sides if c.transport.get_extra_info("peername") == name), None)


async def joined(host, peer: Peer):
    """Wait for the courier's side of a peer's connection and return it."""
    await until(lambda: at(host, peer) is not None)
    return at(host, peer)


class Answering:
    """An endpoint that answers its first call with exactly these bytes, then ends the connection.

    how: `end`, `reset`, or `stay` (open without data). Later connections get a complete 200.
    """

    def __init__(self, text: bytes, how: str) -> None:
        self.text, self.how, self.calls = text, how, 0
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.open: list[socket.socket] = []
        self.task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            self.open.append(sock)
            head = b""
            while b"\r\n\r\n" not in head:
                head += await loop.sock_recv(sock, 1 << 16)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = head.split(b"\r\n\r\n", 1)[1]
            while len(body) < length:
                body += await loop.sock_recv(sock, 1 << 16)
            self.calls += 1
            await loop.sock_sendall(sock, self.text)
            if self.how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if self.how != "stay":
                sock.close()

    def close(self) -> None:
        """Stop serving and close all sockets."""
        self.task.cancel()
        for sock in (self.listener, *self.open):
            sock.close()


__all__ = ["LIMIT", "OK", "PING", "PONG", "Answering", "Peer", "at", "joined", "put"]
