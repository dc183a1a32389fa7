"""How fresh the endpoint list is: whether calls may begin by it, and how discovery fares. No I/O, no clock.

The list may be used until `valid_until`: CHANGE_BOUND_S after the last moment for which discovery vouched
for it, or after the last time at which discovery could not be asked. Later, calls wait while an answer of
discovery is due. A discovery that stays silent for longer than the patience counts as down, and calls go on
by the list at hand.
"""

from __future__ import annotations

import math
from enum import Enum

from hopmill.net.list_budget import (
    AGENT_PATIENCE,
    CHANGE_BOUND_S,
    HEARTBEAT_INTERVAL_S,
    RELOAD_BOUND_S,
    SHARED_SERVER_PATIENCE,
    SILENCE_TIMEOUT_S,
    START_HOLD_S,
    UPGRADE_BOUND_S,
)

SLOW_AFTER_S = 1.0  # an answer that is due for longer is slow


class DiscoveryState(Enum):
    """What this process knows of discovery."""

    CONFIRMED = "confirmed"  # a watch is open and heard
    ASKED = "asked"  # a question is under way, or its answer is not late yet
    SLOW = "slow"  # it has accepted a question whose answer is late
    SILENT = "silent"  # the same, for longer than an answer is waited for
    REFUSED = "refused"  # it turned the last question down
    CUT_OFF = "cut off"  # it ended the connection on which the last answer was due
    UNREACHABLE = "unreachable"  # no connection could be established


class ListFreshness:
    """The age of the list, and what holds calls back. Each method takes the time of the event."""

    def __init__(self, is_server_shared: bool, is_confirmed: bool = False) -> None:
        """is_confirmed: discovery has confirmed the list to the previous process, which handed it over."""
        self.patience = SHARED_SERVER_PATIENCE if is_server_shared else AGENT_PATIENCE
        self.is_confirmed = is_confirmed
        self.started_at = math.inf
        self.valid_until = -math.inf
        self.reload_bound_at = math.inf  # until discovery answers at its new address
        self.first_accepted_at = math.inf  # of all questions of this process
        self.lateness_s = 0.0  # how late discovery tells what it has, at least
        self.open_watch: int | None = None  # the question whose answer has opened it
        self.heard_at = -math.inf  # when the open watch last brought something
        self.failure: DiscoveryState | None = None  # of the last question
        self.pending: dict[int, float] = {}  # accepted questions without an answer: when, by their number
        self.part_received_at = -math.inf  # of an answer that is not complete

    # Events

    def on_start(self, now: float, carried_valid_until: float = math.inf) -> None:
        """The process begins to serve. carried_valid_until: of the list of the previous process."""
        self.started_at = now
        if self.is_confirmed:
            self.valid_until = min(carried_valid_until, now + UPGRADE_BOUND_S)

    def on_moved(self, now: float) -> None:
        """Discovery has another address from now on; what it has there binds after RELOAD_BOUND_S."""
        self.open_watch = None
        self.reload_bound_at = now + RELOAD_BOUND_S
        self.valid_until = min(self.valid_until, self.reload_bound_at)

    def on_accepted(self, now: float, question: int) -> None:
        """A connection is established and the question written."""
        self.failure = None
        self.first_accepted_at = min(self.first_accepted_at, now)
        self.pending[question] = now

    def on_part_received(self, now: float, question: int) -> None:
        """A part of the answer has arrived, and not yet a whole list."""
        if question in self.pending:
            self.part_received_at = now

    def on_answered(self, now: float, question: int) -> None:
        """The answer has arrived; the watch is open. What it tells is as old as the question."""
        asked_at = self.pending.pop(question, now)
        self.lateness_s = min(CHANGE_BOUND_S, now - asked_at)
        self.is_confirmed, self.failure = True, None
        self.open_watch, self.heard_at = question, now
        self.reload_bound_at = math.inf
        self._vouch(now)

    def on_heard(self, now: float, is_between_lists: bool) -> None:
        """The open watch has brought something. is_between_lists: no part of a list is under way on it.

        What it brings in parts is due like the answer to a question.
        """
        gap_s = now - self.heard_at
        self.lateness_s = min(CHANGE_BOUND_S, max(self.lateness_s, gap_s - HEARTBEAT_INTERVAL_S))
        self.heard_at = now
        if self.open_watch is None:
            return
        if is_between_lists:
            self.pending.pop(self.open_watch, None)
            self._vouch(now)
        else:
            self.pending.setdefault(self.open_watch, now)

    def _vouch(self, now: float) -> None:
        until = now - self.lateness_s + CHANGE_BOUND_S
        self.valid_until = min(self.reload_bound_at, max(self.valid_until, until))

    def on_closed(self, question: int) -> None:
        """The question, or the watch that it opened, has ended on this side, or after its answer."""
        self.pending.pop(question, None)
        if self.open_watch == question:
            self.open_watch = None

    def on_failed(self, now: float, question: int, failure: DiscoveryState) -> None:
        """Discovery did not answer the question, so that what it has could not be told.

        One that accepted it and ended the connection later could be reached at the former time.
        """
        accepted_at = self.pending.get(question, now)
        self.on_closed(question)
        if self.pending:
            return
        self.failure = failure
        reached_at = accepted_at if failure is DiscoveryState.CUT_OFF else now
        if self.is_confirmed:
            self.valid_until = max(self.valid_until, reached_at + CHANGE_BOUND_S)

    # Queries

    def holds_calls(self, now: float) -> bool:
        """Return whether no call may begin by the list."""
        return now < self._held_until(now)

    def next_change_at(self, now: float) -> float:
        """Return when `holds_calls` may change if no event comes before; infinity if it can't."""
        held_until = self._held_until(now)
        if now < held_until:
            return held_until
        usable_until = self._usable_until()
        return usable_until if now < usable_until else math.inf

    def _held_until(self, now: float) -> float:
        if now < self._usable_until():
            return -math.inf
        return max(self._start_hold_until(), self._awaited_until())

    def _usable_until(self) -> float:
        """Return until when calls may begin by the list, whatever is due."""
        if self.open_watch is None or self.open_watch in self.pending:
            return self.valid_until
        return max(self.valid_until, self.heard_at + SILENCE_TIMEOUT_S)

    def _start_hold_until(self) -> float:
        """Return until when a new process waits for its first answer although none is due.

        While discovery cuts its answers off, it is asked again for as long as a silent one is waited for.
        """
        if self.is_confirmed:
            return -math.inf
        start_hold_until = self.started_at + START_HOLD_S
        if self.failure is not DiscoveryState.CUT_OFF:
            return start_hold_until
        return max(start_hold_until, self.first_accepted_at + self.patience.silent_s)

    def _awaited_until(self) -> float:
        """Return until when an answer that is due is waited for."""
        if not self.pending:
            return -math.inf
        outdated_at = max(self.valid_until, self.started_at if not self.is_confirmed else -math.inf)
        return min(self._silent_since() + self.patience.silent_s, outdated_at + self.patience.total_s)

    def _silent_since(self) -> float:
        """Return since when discovery has brought nothing, although an answer is due."""
        return max(min(self.pending.values()), self.part_received_at, self.heard_at)

    def state(self, now: float) -> DiscoveryState:
        """Return what is known of discovery."""
        if self.open_watch is not None and now - self.heard_at < SILENCE_TIMEOUT_S:
            return DiscoveryState.CONFIRMED
        if not self.pending:
            return self.failure or DiscoveryState.ASKED
        silent_s = now - self._silent_since()
        if silent_s >= self.patience.silent_s:
            return DiscoveryState.SILENT
        return DiscoveryState.SLOW if silent_s >= SLOW_AFTER_S else DiscoveryState.ASKED
