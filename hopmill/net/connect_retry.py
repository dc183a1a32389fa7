"""Connects that failed on this side (no descriptor, buffer, port or route), until they can be tried again."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from hopmill import logs
from hopmill.net.pooled_connection import Checkout

RETRY_S = 0.05
log = logs.part("pool")


class ConnectRetry:
    """Checkouts that wait for the next try, in order.

    try_again: tries one checkout; returns whether the next may be tried too. give_up: ends one that has
    waited for `limit_s` altogether.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit_s: float,
        try_again: Callable[[Checkout], bool],
        give_up: Callable[[Checkout, OSError], None],
    ) -> None:
        self.loop, self.limit_s, self.try_again, self.give_up = loop, limit_s, try_again, give_up
        self.waiting: deque[Checkout] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, checkout: Checkout, error: OSError) -> None:
        """Let the checkout wait after this error."""
        if checkout.timer is None:
            if not self.waiting:
                log.error("connection.no_descriptor", error=error)
            checkout.timer = self.loop.call_later(self.limit_s, self.give_up, checkout, error)
        self.waiting.append(checkout)
        self._schedule(RETRY_S)

    def discard(self, checkout: Checkout) -> bool:
        """Remove a checkout; return whether it was waiting."""
        is_waiting = checkout in self.waiting
        if is_waiting:
            self.waiting.remove(checkout)
        return is_waiting

    def on_descriptor_freed(self) -> None:
        """Try again at once, since a descriptor has become free."""
        if self.waiting:
            self._schedule(0)

    def close(self) -> None:
        """Forget all checkouts."""
        self.waiting.clear()
        if self.timer:
            self.timer.cancel()

    def _schedule(self, delay_s: float) -> None:
        if self.timer and not delay_s:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self.timer = self.loop.call_later(delay_s, self._retry)

    def _retry(self) -> None:
        self.timer = None
        while self.waiting:
            checkout = self.waiting.popleft()
            if not self.try_again(checkout):
                self.waiting.appendleft(checkout)
                self._schedule(RETRY_S)
                return
