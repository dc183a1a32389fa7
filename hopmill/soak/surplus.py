"""Sends more than an answer now and then: a second copy, or noise, while no call waits on the connection."""

from __future__ import annotations

import asyncio
import random

SURPLUS_SHARE = 0.05  # of the answers
MAX_DELAY_S = 0.005  # from the answer until what follows it
NOISE = b"\x00\x17 noise \xff\r\n\r\n"


class SurplusSender:
    """What one stand-in sends behind its answers. Chance from `rng`."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.pending: dict[asyncio.StreamWriter, asyncio.TimerHandle] = {}

    def called(self, writer: asyncio.StreamWriter) -> None:
        """A call has arrived on the connection: nothing more is sent behind the answer before."""
        if handle := self.pending.pop(writer, None):
            handle.cancel()

    def answered(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """A good answer has been written."""
        if self.rng.random() >= SURPLUS_SHARE:
            return
        text = self.rng.choice((answer, answer[: len(answer) // 2], NOISE))
        delay_s = self.rng.uniform(0, MAX_DELAY_S)
        self.pending[writer] = asyncio.get_running_loop().call_later(delay_s, self._send, writer, text)

    def _send(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        del self.pending[writer]
        if not writer.is_closing():
            writer.write(text)
