"""A small HTTP/1.1 server on loopback, the base of the stand-ins for partners and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import socket

HOST = "127.0.0.1"
MAX_HEAD_BYTES = 1 << 20  # of a request


def reserve_port(port: int = 0) -> socket.socket:
    """Return a socket that holds a port without listening: no other program is given it.

    Connections to it are refused. A server that sets SO_REUSEADDR may listen at it all the same. port: 0 for
    any that is free. The caller closes the socket.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    return sock


class Server:
    """A TCP server on a free port; subclasses handle one connection in `serve`.

    It holds its port until `stop`, also while it does not listen.
    """

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.reservation: socket.socket | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> Server:
        """Listen. After a pause or a stop it listens on the same port again."""
        if self.reservation is None:
            self.reservation = reserve_port(port or self.port)
            self.port = self.reservation.getsockname()[1]
        self.server = await asyncio.start_server(self._accept, HOST, self.port, limit=MAX_HEAD_BYTES)
        return self

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection; it is closed when this returns."""
        raise NotImplementedError

    def drop(self) -> None:
        """Close all open connections."""
        for writer in list(self.writers):
            writer.close()

    async def pause(self) -> None:
        """Stop listening and close all open connections; the port stays reserved."""
        if self.server is not None:
            self.server.close()
        self.drop()

    async def stop(self) -> None:
        """Stop listening, close all open connections and give the port up."""
        await self.pause()
        if self.reservation is not None:
            self.reservation.close()
            self.reservation = None


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Return (method, path, headers by lower-case name, body) of the next request.

    asyncio.IncompleteReadError if the connection ends before the request does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, value in (line.split(":", 1) for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = head[0].split()
    return method, path, headers, body


def answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Return the bytes of an answer; `_` in the name of a header stands for `-`."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
