"""A client that submits messages to a courier over RESP2."""

from __future__ import annotations

import asyncio

from hopmill.standin.server import HOST

ANSWER_TIMEOUT_S = 0.4  # how long a client waits for the courier's answer


class Client:
    """One connection to a courier; `open` connects it."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, port: int) -> Client:
        """Connect to the courier at this port; return the client itself."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    @staticmethod
    def command(*args: bytes) -> bytes:
        """Return a command as an array of bulk strings (RESP2)."""
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
        """Return the bytes of a MSG.PUT request.

        kind: the message's class; dest: number of its partner; life: time to its deadline in milliseconds;
        key: idempotency key, "" for none.
        """
        fields = f"c={kind},t={tenant},d={life},dest={dest}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode(), body)

    async def line(self) -> str:
        """Return the next line of the courier's answers."""
        return (await self.reader.readuntil(b"\r\n")).decode().strip()

    async def send(self, data: bytes) -> str:
        """Send a request and return the first line of its answer."""
        self.writer.write(data)
        return await self.line()

    def close(self) -> None:
        """Close the connection without waiting."""
        self.writer.close()
