"""Checkouts that wait for an idle connection to settle.

An endpoint may send more than its answer: a second copy, or noise. What comes while the connection is idle
shows it and closes the connection; what crosses the next request can't be told from its answer. So a
connection rests for SETTLE_S after an answer before it carries the next request.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from hopmill.net.pooled_connection import Checkout, EndpointConnections

SETTLE_S = 0.05


class SettleWait:
    """resume: called for a checkout once the connection that it waits for has settled."""

    def __init__(self, loop: asyncio.AbstractEventLoop, resume: Callable[[Checkout], None]) -> None:
        self.loop, self.resume = loop, resume
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by id() of the checkout
        self.counts: Counter[int] = Counter()  # waiting checkouts by endpoint

    def is_settled(self, idle_at: float) -> bool:
        """Return whether a connection that has been idle since this loop time may carry a request."""
        return self.loop.time() - idle_at >= SETTLE_S

    def add(self, checkout: Checkout, entry: EndpointConnections) -> bool:
        """Let a checkout wait; false if that takes too long, or each connection is waited for already."""
        settling = [idle.idle_at for idle in entry.idle if not self.is_settled(idle.idle_at)]
        count = self.counts.get(checkout.endpoint, 0)
        if count >= len(settling):
            return False
        settled_at = settling[count] + SETTLE_S
        if settled_at - self.loop.time() > checkout.max_rest_s:
            return False
        self.counts[checkout.endpoint] = count + 1
        self.timers[id(checkout)] = self.loop.call_at(settled_at, self._settled, checkout)
        return True

    def discard(self, checkout: Checkout) -> bool:
        """Remove a checkout; return whether it was waiting."""
        timer = self.timers.pop(id(checkout), None)
        if timer is None:
            return False
        timer.cancel()
        self.counts[checkout.endpoint] -= 1
        if not self.counts[checkout.endpoint]:
            del self.counts[checkout.endpoint]
        return True

    def close(self) -> None:
        """Forget all checkouts."""
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()
        self.counts.clear()

    def _settled(self, checkout: Checkout) -> None:
        self.discard(checkout)
        self.resume(checkout)
