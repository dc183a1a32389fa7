"""Clients that hold requests, flood a courier or leave it, on sockets of their own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from hopmill.standin.server import HOST

LARGE_BODY = b"x" * 65_536
SHORT_FIELDS = b",".join(b"a%d=" % number for number in range(9000))[:60_000]
STOP_AFTER_BYTES = 62_000
REQUESTS_AT_ONCE = 4
FLOOD_PART_BYTES = 16 * 1024
LEFT_PREFIX = "left-"  # of the ids of messages whose client leaves
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection


def command(*words: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


@dataclass(frozen=True)
class Target:
    """Where bad clients connect, and what their messages name."""

    port: int
    message_class: str = "safe"
    tenant: str = "t"
    destination: int = 7
    lifetime_ms: int = 5000

    def put(self, message_id: str, body: bytes = b"hello", more: bytes = b"") -> bytes:
        """Return the bytes of a message."""
        fields = f"c={self.message_class},t={self.tenant},d={self.lifetime_ms},dest={self.destination}"
        return command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode() + more, body)


class Holding(Enum):
    """What each of many clients sends."""

    WHOLE = "whole"  # several large requests at once
    HALF = "half"  # most of a large request, then nothing
    FIELDS = "fields"  # a request with thousands of short fields
    ANSWERS = "answers"  # requests with large answers, which it does not read


def held_data(target: Target, kind: Holding, name: str) -> bytes:
    """Return what one client sends at once."""
    if kind is Holding.WHOLE:
        return b"".join(target.put(f"{name}-{n}", LARGE_BODY) for n in range(REQUESTS_AT_ONCE))
    if kind is Holding.HALF:
        return target.put(name, LARGE_BODY)[:STOP_AFTER_BYTES]
    if kind is Holding.FIELDS:
        return target.put(name, more=b"," + SHORT_FIELDS) * REQUESTS_AT_ONCE
    return command(b"PING", LARGE_BODY[:60_000]) * REQUESTS_AT_ONCE


async def hold(target: Target, kind: Holding, clients: int, seconds: float) -> None:
    """Let many clients send so, each again on a new connection once it is closed."""
    names = itertools.count()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(_hold_one(target, kind, names))


async def _hold_one(target: Target, kind: Holding, names: Iterator[int]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, target.port))
            is_open = True
            while is_open:
                data = held_data(target, kind, f"{kind.value}-{next(names)}")
                await loop.sock_sendall(sock, data)
                if kind is Holding.ANSWERS:
                    await asyncio.sleep(1.0)
                is_open = bool(await loop.sock_recv(sock, 1 << 16))
        await asyncio.sleep(0)


async def flood(port: int, make: Callable[[int], bytes], seconds: float) -> int:
    """Send requests on one connection at full speed and read the answers; return how many were sent."""
    loop, count = asyncio.get_running_loop(), 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while True:
                with socket.socket() as sock, contextlib.suppress(OSError):
                    sock.setblocking(False)
                    await loop.sock_connect(sock, (HOST, port))
                    reading = loop.create_task(_read_all(sock))
                    try:
                        while not reading.done():
                            data = bytearray()
                            while len(data) < FLOOD_PART_BYTES:
                                data += make(count)
                                count += 1
                            await loop.sock_sendall(sock, data)
                            await asyncio.sleep(0)  # sending may not have waited
                    finally:
                        reading.cancel()
                await asyncio.sleep(0)
    return count


async def _read_all(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(sock, 1 << 16):
            pass


async def leave(port: int, data: bytes, resets: bool) -> None:
    """Send requests at once and close the connection, or reset it, without reading an answer."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, port))
        async with asyncio.timeout(0.2):
            await loop.sock_sendall(sock, data)
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
