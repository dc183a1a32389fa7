"""Holds calls back while the endpoint list is out of date and discovery has been asked for it.

The list that a process starts with may name endpoints that have begun to drain or are gone since; so may
the list of a process whose watch was lost or fell silent. `ListFreshness` decides; this module asks it at
the right moments and tells the decision core.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hopmill import interface, logs
from hopmill.net.list_budget import START_HOLD_S

if TYPE_CHECKING:
    from hopmill.net.host import Host

# A new process goes by its cached list after this time if discovery refuses or can't be reached.
CONFIRMATION_TIMEOUT_S = START_HOLD_S
log = logs.part("courier")


class ListConfirmation:
    """Tells the decision core when calls may begin by the list and when they may not."""

    def __init__(self, host: Host) -> None:
        self.host, self.freshness = host, host.watch.freshness
        self.is_holding = not self.freshness.is_confirmed
        self.held_since = host.loop.time()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether discovery has confirmed the list to this process, or to the one that handed it over."""
        return self.freshness.is_confirmed

    def initial_events(self) -> list[interface.Event]:
        """Return the events for the first turn."""
        return [interface.AwaitList(True)] if self.is_holding else []

    def start(self) -> None:
        """Follow the age of the list from now on."""
        carried = self.host.handover.carried
        now = self.held_since = self.host.loop.time()
        if "list_valid_until" in carried:
            self.freshness.on_start(now, carried["list_valid_until"])
        else:
            self.freshness.on_start(now)
        self.host.watch.on_freshness_changed = self.update
        self.update()

    def update(self) -> None:
        """Ask whether calls may begin, now and when that may change by itself."""
        now = self.host.loop.time()
        holds = self.freshness.holds_calls(now)
        if holds != self.is_holding:
            self._set_holding(holds, now)
        self.close()
        change_at = self.freshness.next_change_at(now)
        if change_at < float("inf"):
            self.timer = self.host.loop.call_at(change_at, self.update)

    def close(self) -> None:
        """Cancel the timer."""
        if self.timer:
            self.timer.cancel()

    def _set_holding(self, holds: bool, now: float) -> None:
        self.is_holding = holds
        state = self.freshness.state(now).value
        if holds:
            self.held_since = now
            log.warning("endpoints.outdated", state=state)
        elif now < self.freshness.valid_until:
            log.info("endpoints.confirmed", seconds=round(now - self.held_since, 3))
        else:
            log.warning("endpoints.unconfirmed", seconds=round(now - self.held_since, 3), state=state)
        self.host.post(interface.AwaitList(holds))
