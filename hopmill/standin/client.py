"""Clients that hand messages in over RESP2."""

from __future__ import annotations

import asyncio

from hopmill.standin.server import HOST

ANSWER_TIMEOUT_S = 0.4  # how long a client waits for the courier's answer


class Client:
    """One connection to a courier."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, port: int) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    @staticmethod
    def command(*args: bytes) -> bytes:
        return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(arg), arg) for arg in args)

    @classmethod
    def message(
        cls,
        message_id: str,
        kind: str = "safe",
        dest: int = 7,
        life: int = 6000,
        body: bytes = b"hello",
        key: str = "",
        tenant: str = "t",
    ) -> bytes:
        """life: in milliseconds."""
        fields = f"c={kind},t={tenant},d={life},dest={dest}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode(), body)

    async def line(self) -> str:
        return (await self.reader.readuntil(b"\r\n")).decode().strip()

    async def send(self, data: bytes) -> str:
        self.writer.write(data)
        return await self.line()

    def close(self) -> None:
        self.writer.close()
