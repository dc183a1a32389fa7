"""Discovery: follows the endpoint list by watches.

The list comes from an agent on this machine or from a server that all couriers share. A question that
discovery has accepted is not given up for the same question on a new connection: after a silence it is
asked again beside the former one, and the newest watch that is answered replaces the older ones.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hopmill import logs
from hopmill.net.backoff import Backoff, RetryWaits
from hopmill.net.config import Address
from hopmill.net.list_budget import CHANGE_BOUND_S, CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S
from hopmill.net.list_freshness import DiscoveryState, ListFreshness
from hopmill.net.watch_connection import STATUS_OK, WatchConnection

ESTABLISHED_S = 1.0  # a watch that has worked for so long is opened again sooner
MAX_CONNECTIONS = 3  # of watches and questions at one time
log = logs.part("discovery")


@dataclass(frozen=True)
class ListChange:
    """A document of a watch: the whole list, or the entries that have changed."""

    revision: int
    is_whole: bool
    content: dict[str, Any]


class UnreadableListError(ValueError):
    """A document of a watch is no list."""


def parse_change(document: bytes) -> ListChange:
    """Return the content of a document; UnreadableListError if it is no list or change of one."""
    try:
        content = json.loads(document)
        revision, targets = int(content["rev"]), content["targets"]
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise UnreadableListError(f"{type(error).__name__}: {error}") from error
    if not isinstance(targets, list):
        raise UnreadableListError("targets")
    return ListChange(revision, bool(content.get("all")), content)


class DiscoveryWatch:
    """Follows the endpoint list from the last known revision on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        revision: int,
        on_change: Callable[[dict[str, Any]], None],
        waits: RetryWaits,
        freshness: ListFreshness | None = None,
    ) -> None:
        """revision: of the list that is known. on_change: called with each list or change of it."""
        self.loop, self.address, self.waits = loop, address, waits
        self.revision, self.on_change = revision, on_change
        self.freshness = freshness or ListFreshness(waits.is_server_shared)
        self.on_freshness_changed: Callable[[], None] = lambda: None
        self.needs_whole_list = False  # since something that it had told could not be read
        self.connections: list[WatchConnection] = []  # oldest first; at most one of them is answered
        self.last_number = 0  # of a question
        self.timer: asyncio.TimerHandle | None = None  # until discovery is asked again
        self.is_stopped = False
        self.heard_at = loop.time()  # loop time of the last byte, at first of the start
        self.given_up = 0  # accepted questions that were closed within CHANGE_BOUND_S, with no newer answer

    @property
    def known_revision(self) -> int:
        """The revision from which on discovery is asked: 0 for the whole list."""
        return 0 if self.needs_whole_list else self.revision

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Set the single timer; it replaces the former one."""
        if self.timer:
            self.timer.cancel()
        if not self.is_stopped:
            self.timer = self.loop.call_later(delay_s, action)

    # Asking

    def open(self) -> None:
        """Ask on a new connection, beside those on which an answer is due."""
        if self.is_stopped:
            return
        self._make_room()
        self.last_number += 1
        try:
            watch = WatchConnection(self.loop, self.address, self.last_number, self.known_revision, self)
            watch.connect()
        except OSError as error:
            log.warning("discovery.unreachable", error=error)
            self._retry_after_failure(self.last_number, DiscoveryState.UNREACHABLE, self.waits.after_loss)
            return
        self.connections.append(watch)
        self._set_timer(CONNECT_TIMEOUT_S, self._on_connect_overdue)

    def _make_room(self) -> None:
        """Close a connection if there are too many: one that is not established, else the oldest question."""
        if len(self.connections) < MAX_CONNECTIONS:
            return
        unanswered = [watch for watch in self.connections if not watch.is_answered]
        not_established = [watch for watch in unanswered if watch.connected_at is None]
        watch = (not_established or unanswered)[0]
        if watch.connected_at is not None:
            due_s = self.loop.time() - watch.connected_at
            self.given_up += due_s < CHANGE_BOUND_S
            log.info("discovery.given_up", seconds=round(due_s, 3))
        self._close(watch)

    def _close(self, watch: WatchConnection) -> None:
        watch.close()
        self._forget(watch)
        self.freshness.on_closed(watch.number)

    def _forget(self, watch: WatchConnection) -> None:
        self.connections = [other for other in self.connections if other is not watch]

    def _on_connect_overdue(self) -> None:
        """The connection may still come up; meanwhile another one is tried."""
        if not any(watch.connected_at is not None for watch in self.connections):
            log.warning("discovery.unreachable", error="connect timed out")
        self.freshness.on_failed(self.loop.time(), self.last_number, DiscoveryState.UNREACHABLE)
        self.open()
        self.on_freshness_changed()

    def _on_silence(self) -> None:
        log.info("watch.silent", revision=self.revision, state=self.freshness.state(self.loop.time()).value)
        self.open()

    def _retry_after_failure(self, number: int, failure: DiscoveryState, backoff: Backoff) -> None:
        """Ask again after a wait."""
        self.freshness.on_failed(self.loop.time(), number, failure)
        self._ask_after(backoff.next(), failure)

    def _ask_after(self, wait_s: float, reason: DiscoveryState) -> None:
        log.info("discovery.retry", seconds=round(wait_s, 3), why=reason.value)
        self._set_timer(wait_s, self.open)
        self.on_freshness_changed()

    def move(self, address: Address) -> None:
        """Ask at another address; what the former one still tells is taken until the new one answers."""
        self.address = address
        self.waits.reset()
        self.freshness.on_moved(self.loop.time())
        self.open()
        self.on_freshness_changed()

    def stop(self) -> None:
        """Close all connections for good."""
        self.is_stopped = True
        if self.timer:
            self.timer.cancel()
        for watch in self.connections:
            watch.close()

    def read_pending(self) -> None:
        """Apply changes that have arrived but that the event loop has not reported yet."""
        for watch in list(self.connections):
            watch.read_pending()

    # Events of the connections

    def on_connected(self, watch: WatchConnection) -> None:
        """The question is accepted: its answer is due."""
        log.info("watch.opened", revision=watch.revision)
        self.freshness.on_accepted(self.loop.time(), watch.number)
        self._set_timer(SILENCE_TIMEOUT_S, self._on_silence)
        self.on_freshness_changed()

    def on_part_received(self, watch: WatchConnection, documents: list[bytes]) -> None:
        """Apply the changes that are complete."""
        now = self.heard_at = self.loop.time()
        was_answered = watch.is_answered
        if not was_answered:
            self.freshness.on_part_received(now, watch.number)
        if watch.address == self.address:
            self._set_timer(SILENCE_TIMEOUT_S, self._on_silence)
        for document in documents:
            if not self._apply(watch, document):
                return
        if was_answered and watch.address == self.address:
            self.freshness.on_heard(now, watch.reader.is_between_documents)
        self.on_freshness_changed()

    def _apply(self, watch: WatchConnection, document: bytes) -> bool:
        """Apply a document; return whether the watch goes on.

        After one that can not be read it does not: the whole list is asked for, since its content is lost.
        """
        try:
            change = parse_change(document)
        except UnreadableListError as error:
            log.error("discovery.unreadable", error=error)
            self.needs_whole_list = True
            self._close(watch)
            self._ask_after(self.waits.after_loss.next(), DiscoveryState.REFUSED)
            return False
        if change.revision < self.revision:
            self._skip_old(watch, change)
            return True
        self.revision = change.revision
        if change.is_whole or watch.revision == 0:
            self.needs_whole_list = False
        self._on_answered(watch)
        self.on_change(change.content)
        return True

    def _skip_old(self, watch: WatchConnection, change: ListChange) -> None:
        """Ignore a revision that is older than the one known: a newer watch may run behind an older one."""
        if change.revision < watch.revision and not watch.has_gone_back:
            watch.has_gone_back = True
            log.error("discovery.revision_went_back", revision=change.revision, known=self.revision)

    def _on_answered(self, watch: WatchConnection) -> None:
        """Replace the older watches by one whose answer has arrived."""
        if watch.is_answered:
            return
        watch.is_answered = True
        self.waits.after_refusal.reset()
        if watch.address == self.address:
            self.freshness.on_answered(self.loop.time(), watch.number)
        else:
            self.freshness.on_closed(watch.number)
        for older in [other for other in self.connections if other.number < watch.number]:
            self._close(older)

    def on_refused(self, watch: WatchConnection) -> None:
        """Ask again after a wait; a server that refuses may be overloaded."""
        log.warning("discovery.turned_down", status=watch.status)
        watch.close()
        self._forget(watch)
        if watch.address != self.address:
            self.freshness.on_closed(watch.number)
        else:
            self._retry_after_failure(watch.number, DiscoveryState.REFUSED, self.waits.after_refusal)

    def on_ended(self, watch: WatchConnection) -> None:
        """Ask again after a wait; at a shared server sooner if the watch has worked.

        The courier is held to changes published while it has no watch, so it asks soon.
        """
        if watch.connected_at is not None:
            log.info("watch.lost", revision=self.revision, status=watch.status)
        self._forget(watch)
        if watch.address != self.address:
            self.freshness.on_closed(watch.number)
            return
        if watch.connected_at is None:
            self._retry_after_failure(watch.number, DiscoveryState.UNREACHABLE, self.waits.after_loss)
        elif not watch.is_answered:
            self._retry_after_failure(watch.number, DiscoveryState.CUT_OFF, self.waits.after_loss)
        else:
            self.freshness.on_closed(watch.number)
            self._reopen(watch)

    def _reopen(self, watch: WatchConnection) -> None:
        """Ask again after a watch was lost, unless that has just been done."""
        has_worked = watch.status == STATUS_OK and self.loop.time() - watch.connected_at >= ESTABLISHED_S
        if has_worked:
            self.waits.after_loss.reset()
        if any(self.loop.time() - newer.asked_at < CONNECT_TIMEOUT_S for newer in self.connections):
            return
        use_short_wait = has_worked and self.waits.is_server_shared
        wait_s = self.waits.reopen() if use_short_wait else self.waits.after_loss.next()
        self._ask_after(wait_s, DiscoveryState.ASKED)
