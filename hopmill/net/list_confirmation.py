"""Holds back calls of a new process until discovery has confirmed the cached endpoint list.

The list that a process starts with may name endpoints that have begun to drain or are gone since. Discovery
counts these changes as told from the process's first moment, so no call may be sent by that list unless
discovery does not answer.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hopmill import interface, logs

if TYPE_CHECKING:
    from hopmill.net.host import Host

CONFIRMATION_TIMEOUT_S = 1.0  # after this time without an answer discovery counts as down
log = logs.part("courier")


class ListConfirmation:
    """Waits for the first list from discovery, for a bounded time."""

    def __init__(self, host: Host, is_confirmed: bool) -> None:
        """is_confirmed: discovery has confirmed the list to the previous process, which handed it over."""
        self.host = host
        self.is_confirmed = is_confirmed
        self.timer: asyncio.TimerHandle | None = None

    def initial_events(self) -> list[interface.Event]:
        """Return the events for the first turn."""
        if self.is_confirmed:
            return []
        return [interface.AwaitList(True)]

    def start_timer(self) -> None:
        """Bound the wait from now on."""
        if not self.is_confirmed:
            self.timer = self.host.loop.call_later(CONFIRMATION_TIMEOUT_S, self._check_request)

    def on_list(self) -> None:
        """Let calls begin: a list from discovery has been applied."""
        if not self.is_confirmed:
            self.is_confirmed = True
            self._let_calls_begin()

    def close(self) -> None:
        """Cancel the timer."""
        if self.timer:
            self.timer.cancel()

    def _check_request(self) -> None:
        """Wait as long again for the answer to a request that was written late.

        A process that is held up may reach this time before its request has had a chance to be answered.
        """
        connected_at = max((w.connected_at or 0.0 for w in self.host.watch.connections), default=0.0)
        since_request_s = self.host.loop.time() - connected_at
        if since_request_s < CONFIRMATION_TIMEOUT_S:
            remaining_s = CONFIRMATION_TIMEOUT_S - since_request_s
            self.timer = self.host.loop.call_later(remaining_s, self._give_up)
        else:
            self._give_up()

    def _give_up(self) -> None:
        log.warning("endpoints.unconfirmed", seconds=CONFIRMATION_TIMEOUT_S)
        self._let_calls_begin()

    def _let_calls_begin(self) -> None:
        self.close()
        self.host.post(interface.AwaitList(False))
