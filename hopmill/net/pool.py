"""Connection pool: opens, checks out, keeps, closes and counts the connections to endpoints.

How many idle connections are kept per endpoint is decided by the decision core (hopmill/policy/links.py).
docs/operations.md describes the design.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from hopmill.net.config import Address
from hopmill.net.connect_retry import ConnectRetry
from hopmill.net.http import MOMENTARY_ERRORS
from hopmill.net.pooled_connection import (
    Checkout,
    CheckoutCallback,
    CloseReason,
    ConnectionState,
    EndpointConnections,
    EndpointUnavailableError,
    PooledConnection,
    carry_connection,
)
from hopmill.net.settle_wait import SettleWait
from hopmill.net.upgrade import HandoverPayload

MAX_NEWS_DELAY_S = 1.0  # from the restart of an endpoint until discovery tells of it
MAX_ROWS = 100  # endpoints in one answer of the operator API


class Pool:
    """Connections to all endpoints of one courier."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint_idle_timeout_us: int,
        connect_timeout_us: int,
        max_idle: int,
        is_usable: Callable[[int], bool] = lambda endpoint: True,
    ) -> None:
        """Create an empty pool.

        endpoint_idle_timeout_us: after which endpoints close an idle connection. connect_timeout_us: for a
        connect. max_idle: idle connections to all endpoints together. is_usable: whether an endpoint may be
        called at all; no connection is kept for one that may not.
        """
        self.loop, self.is_usable = loop, is_usable
        # Idle connections close connect_timeout_us early, so that a request does not cross the endpoint's
        # close on the wire: the endpoint's idle timeout starts when it writes its response, and the next
        # request needs time to reach it. A connect takes a round trip, so its timeout covers that time.
        # Half of the endpoint's idle timeout is used in any case.
        self.idle_s = max(endpoint_idle_timeout_us / 2, endpoint_idle_timeout_us - connect_timeout_us) / 1e6
        self.connect_s, self.max_idle = connect_timeout_us / 1e6, max_idle
        self.endpoints: dict[int, EndpointConnections] = {}
        self.idle: OrderedDict[PooledConnection, None] = OrderedDict()  # of all endpoints, longest idle first
        self.orphaned_connections: set[PooledConnection] = set()  # in use, endpoint removed or moved
        self.connect_retry = ConnectRetry(loop, self.connect_s, self._try_again, self._give_up)
        self.settle_wait = SettleWait(loop, self._serve)
        self.idle_changed: set[int] = set()  # endpoints with idle connections not reported yet
        self.removed_totals: Counter[str] = Counter()  # counters of endpoints no longer listed
        self.expiry_timer: asyncio.TimerHandle | None = None

    # Endpoints

    def set_endpoint(self, endpoint: int, address: Address, boot_ms: float = 0.0) -> None:
        """Set address and start time of an endpoint; connections opened before its start are closed."""
        entry = self.endpoints.get(endpoint)
        if entry is not None and entry.address != address:
            self.forget(endpoint)
            entry = None
        if entry is None:
            entry = self.endpoints[endpoint] = EndpointConnections(address)
            self.idle_changed.add(endpoint)
        if boot_ms != entry.boot_ms:
            entry.booted_at = self._booted_at(boot_ms, entry.boot_ms is None)
            entry.boot_ms = boot_ms
        for connection in [idle for idle in entry.idle if idle.opened_at < entry.booted_at]:
            self.drop(connection, CloseReason.ENDPOINT_RESTARTED)

    def _booted_at(self, boot_ms: float, is_first: bool) -> float:
        """Return the loop time at which an endpoint started, by a wall clock that may have been stepped.

        A restart of an endpoint that was listed before is not taken to be older than MAX_NEWS_DELAY_S.
        """
        age_s = max(0.0, time.time() - boot_ms / 1e3)
        return self.loop.time() - (age_s if is_first else min(age_s, MAX_NEWS_DELAY_S))

    def forget(self, endpoint: int) -> None:
        """Remove an endpoint. Idle connections close now, connections in use when their call ends."""
        entry = self.endpoints.pop(endpoint, None)
        if entry is None:
            return
        for connection in list(entry.connections):
            if connection.state is ConnectionState.IDLE:
                self.drop(connection, CloseReason.ENDPOINT_REMOVED)
            else:  # closed when its call ends
                self.orphaned_connections.add(connection)
        self.idle_changed.discard(endpoint)
        self.removed_totals.update({"opened": entry.opened, "reused": entry.reused})
        self.removed_totals.update(entry.closed)

    def close_idle(self, endpoint: int, reason: CloseReason = CloseReason.ENDPOINT_REMOVED) -> None:
        """Close the idle connections of an endpoint."""
        if entry := self.endpoints.get(endpoint):
            for connection in list(entry.idle):
                self.drop(connection, reason)

    def set_max_idle(self, endpoint: int, max_idle: int) -> None:
        """Set how many idle connections are kept from now on."""
        if entry := self.endpoints.get(endpoint):
            entry.max_idle = max_idle
            self._trim(entry)

    def close(self) -> None:
        """Close all connections and cancel timers."""
        if self.expiry_timer:
            self.expiry_timer.cancel()
        self.connect_retry.close()
        self.settle_wait.close()
        for entry in self.endpoints.values():
            for connection in list(entry.connections):
                self.drop(connection, CloseReason.ENDPOINT_REMOVED)
        for connection in list(self.orphaned_connections):
            self.drop(connection, CloseReason.ENDPOINT_REMOVED)

    # Checking out

    def check_out(self, endpoint: int, done: CheckoutCallback, max_rest_s: float = math.inf) -> Checkout:
        """Hand out the most recently used idle connection, so that surplus ones expire; else opens one.

        max_rest_s: how long to wait for a connection that still rests after its last answer.
        """
        checkout = Checkout(endpoint, done, max_rest_s)
        self._serve(checkout)
        return checkout

    def _serve(self, checkout: Checkout) -> None:
        entry = self.endpoints.get(checkout.endpoint)
        if entry and (connection := self._take_idle(entry)):
            checkout.complete(connection, None)
        elif not entry or not self.settle_wait.add(checkout, entry):
            self._open(checkout)

    def cancel(self, checkout: Checkout) -> None:
        """End a checkout that its call no longer wants, and close a connection being opened for it."""
        if checkout.timer:
            checkout.timer.cancel()
        was_waiting = self.settle_wait.discard(checkout) or self.connect_retry.discard(checkout)
        if (
            not was_waiting
            and checkout.connection is not None
            and checkout.connection.state is ConnectionState.OPENING
        ):
            self.drop(checkout.connection, CloseReason.CALL_ABANDONED)

    def open_spare(self, endpoint: int) -> None:
        """Open a connection before a message needs it.

        Its result is not reported to the decision core, since it is not a probe.
        """
        entry = self.endpoints.get(endpoint)
        has_room = (
            entry
            and sum(connection.state is not ConnectionState.CHECKED_OUT for connection in entry.connections)
            < entry.max_idle
        )
        if has_room and not self.connect_retry.waiting and len(self.idle) < self.max_idle:
            self._open(
                Checkout(
                    endpoint, lambda connection, error: self.check_in(connection) if connection else None
                )
            )

    def _take_idle(self, entry: EndpointConnections) -> PooledConnection | None:
        while connection := self._newest_settled(entry):
            is_trusted = self._is_trusted(entry, connection)
            if not is_trusted and entry.trial_connection:
                return None  # if all are dead, one call finds out for all
            if connection.stale():
                self.drop_stale(connection)
                continue
            self._remove_from_idle(connection, entry)
            now = self.loop.time()
            connection.state, connection.checked_out_at, connection.idle_us = (
                ConnectionState.CHECKED_OUT,
                now,
                int((now - connection.idle_at) * 1e6),
            )
            entry.trial_connection = entry.trial_connection if is_trusted else connection
            entry.reused += 1
            return connection
        return None

    def _newest_settled(self, entry: EndpointConnections) -> PooledConnection | None:
        return next((c for c in reversed(entry.idle) if self.settle_wait.is_settled(c.idle_at)), None)

    def _is_trusted(self, entry: EndpointConnections, connection: PooledConnection) -> bool:
        """Return whether an idle connection is known to be alive.

        It is if a response has arrived within the time that a connect may take, over a connection opened
        before this one became idle: then the machine has neither vanished nor restarted since.
        """
        return (
            self.loop.time() - entry.last_response_at <= self.connect_s
            and entry.last_response_opened_at <= connection.idle_at
        )

    def _open(self, checkout: Checkout) -> None:
        try:
            entry, connection = self._new_connection(checkout.endpoint)
        except EndpointUnavailableError as error:
            checkout.complete(None, error)
        except OSError as error:
            self._retry_or_fail(checkout, error)
        else:
            self._connect(checkout, entry, connection)

    def _new_connection(self, endpoint: int) -> tuple[EndpointConnections, PooledConnection]:
        entry = self.endpoints.get(endpoint)
        if entry is None or not self.is_usable(endpoint):
            raise EndpointUnavailableError(errno.ENETUNREACH, "the endpoint gets no calls any more")
        return entry, PooledConnection(self.loop, endpoint, entry.address, self.loop.time())

    def _connect(self, checkout: Checkout, entry: EndpointConnections, connection: PooledConnection) -> None:
        connection.on_close = lambda: self._connection_closed(connection, entry)
        entry.connections.add(connection)
        entry.opened += 1
        checkout.connection = connection
        connection.timer = self.loop.call_later(
            self.connect_s, self._connect_timed_out, checkout, connection, entry
        )
        try:
            connection.connect(lambda error: self._connected(checkout, connection, error))
        except OSError as error:
            self.drop(connection, CloseReason.NEVER_CONNECTED)
            self._retry_or_fail(checkout, error)

    def _connected(self, checkout: Checkout, connection: PooledConnection, error: OSError | None) -> None:
        if connection.timer:
            connection.timer.cancel()
        if error is not None:
            self._retry_or_fail(checkout, error)
            return
        connection.state, connection.checked_out_at = ConnectionState.CHECKED_OUT, self.loop.time()
        checkout.complete(connection, None)

    def _connect_timed_out(
        self, checkout: Checkout, connection: PooledConnection, entry: EndpointConnections
    ) -> None:
        """Handle a connect without any reply.

        If the endpoint has responded to other calls meanwhile its accept queue is full. Otherwise its machine
        may have vanished, and idle connections would cost a call each; they are closed.
        """
        self.drop(connection, CloseReason.NEVER_CONNECTED)
        self._distrust_idle(entry, self.loop.time() - self.connect_s)
        checkout.complete(None, OSError(errno.ETIMEDOUT, "connect"))

    def _retry_or_fail(self, checkout: Checkout, error: OSError) -> None:
        """Try again for as long as a connect may take, if the failure may be over in a moment."""
        if error.errno not in MOMENTARY_ERRORS:
            checkout.complete(None, error)
        elif error.errno == errno.EMFILE and self.idle:  # close the longest idle connection of any endpoint
            self.drop(next(iter(self.idle)), CloseReason.EVICTED)
            self._open(checkout)
        else:
            self.connect_retry.add(checkout, error)

    def _try_again(self, checkout: Checkout) -> bool:
        """Try a waiting checkout; return whether a socket could be created or was not needed."""
        try:
            entry, connection = self._new_connection(checkout.endpoint)
        except EndpointUnavailableError as error:
            checkout.complete(None, error)
        except OSError:
            return False
        else:
            self._connect(checkout, entry, connection)
        return True

    def _give_up(self, checkout: Checkout, error: OSError) -> None:
        self.cancel(checkout)
        checkout.complete(None, error)

    def is_current(self, connection: PooledConnection) -> bool:
        """Return whether the connection leads to the present address of its endpoint."""
        return connection not in self.orphaned_connections

    # Checking in

    def check_in(self, connection: PooledConnection) -> None:
        """Take back the connection of a finished call: it becomes idle, or is closed."""
        entry = self.endpoints.get(connection.endpoint)
        if connection.closed or connection.state is not ConnectionState.CHECKED_OUT:
            return
        if entry is None or connection not in entry.connections or not self.is_usable(connection.endpoint):
            self.drop(connection, CloseReason.ENDPOINT_REMOVED)
        elif connection.opened_at < entry.booted_at:
            self.drop(connection, CloseReason.ENDPOINT_RESTARTED)
        elif self.idle_s <= 0:  # endpoints keep no idle connections, so the number to keep is 0
            self.drop(connection, CloseReason.OVER_LIMIT)
        else:
            self._make_idle(connection, entry, self.loop.time())

    def _make_idle(self, connection: PooledConnection, entry: EndpointConnections, idle_since: float) -> None:
        if entry.trial_connection is connection:
            entry.trial_connection = None
        connection.state, connection.idle_at = ConnectionState.IDLE, idle_since
        entry.idle[connection] = self.idle[connection] = None
        self.idle_changed.add(connection.endpoint)
        self._trim(entry)
        while len(self.idle) > max(0, self.max_idle):
            self.drop(next(iter(self.idle)), CloseReason.EVICTED)
        self._schedule_expiry()

    def _trim(self, entry: EndpointConnections) -> None:
        while len(entry.idle) > entry.max_idle:
            self.drop(next(iter(entry.idle)), CloseReason.OVER_LIMIT)

    def _schedule_expiry(self) -> None:
        if self.expiry_timer is None and self.idle:
            self.expiry_timer = self.loop.call_at(
                next(iter(self.idle)).idle_at + self.idle_s, self._expire_idle
            )

    def _expire_idle(self) -> None:
        self.expiry_timer, now = None, self.loop.time()
        while self.idle and (connection := next(iter(self.idle))).idle_at + self.idle_s <= now:
            self.drop(connection, CloseReason.IDLE_EXPIRED)
        self._schedule_expiry()

    # Evidence from calls

    def response_received(self, connection: PooledConnection) -> None:
        """Record a response: connections that were idle while this one was open are alive as well."""
        entry = self.endpoints.get(connection.endpoint)
        if entry is None or connection not in entry.connections:
            return
        now = self.loop.time()
        if (
            connection.opened_at <= entry.last_response_opened_at
            or now - entry.last_response_at > self.connect_s
        ):
            entry.last_response_at, entry.last_response_opened_at = now, connection.opened_at
        if entry.trial_connection is connection:
            entry.trial_connection = None

    def call_failed(self, connection: PooledConnection) -> None:
        """Record that a call on the connection broke or timed out."""
        entry = self.endpoints.get(connection.endpoint)
        if entry is not None and connection.address == entry.address:
            self._distrust_idle(entry, connection.checked_out_at)

    def _distrust_idle(self, entry: EndpointConnections, failure_began_at: float) -> None:
        """Close connections idle since before the failed call or connect began.

        They stay if the endpoint has responded since then.
        """
        if entry.last_response_at >= failure_began_at:
            return
        for connection in [idle for idle in entry.idle if idle.idle_at <= failure_began_at]:
            self.drop(connection, CloseReason.NOT_TRUSTED)

    # Closing

    def drop(self, connection: PooledConnection, reason: CloseReason) -> None:
        """Close a connection; the first reason given is counted."""
        connection.reason = connection.reason or reason
        connection.close()

    def drop_stale(self, connection: PooledConnection) -> None:
        """Close a connection that its endpoint has closed, or on which it sent more than its answer."""
        reason = CloseReason.SURPLUS_DATA if connection.has_surplus else CloseReason.CLOSED_BY_ENDPOINT
        self.drop(connection, reason)

    def _remove_from_idle(self, connection: PooledConnection, entry: EndpointConnections) -> None:
        entry.idle.pop(connection, None)
        self.idle.pop(connection, None)
        self.idle_changed.add(connection.endpoint)
        if self.expiry_timer and not self.idle:
            self.expiry_timer.cancel()
            self.expiry_timer = None

    def _connection_closed(self, connection: PooledConnection, entry: EndpointConnections) -> None:
        """Remove a closed connection from all collections. Every close ends here."""
        self.orphaned_connections.discard(connection)
        if connection not in entry.connections:
            return
        entry.connections.discard(connection)
        if connection.timer:
            connection.timer.cancel()
        if connection.state is ConnectionState.IDLE:
            self._remove_from_idle(connection, entry)
        if entry.trial_connection is connection:
            entry.trial_connection = None
        if not connection.reason:
            connection.reason = (
                CloseReason.NEVER_CONNECTED
                if connection.state is ConnectionState.OPENING
                else CloseReason.SURPLUS_DATA
                if connection.has_surplus
                else CloseReason.BROKE_DURING_CALL
                if connection.broke_during_exchange
                else CloseReason.CLOSED_BY_ENDPOINT
            )
        closed = entry.closed if self.endpoints.get(connection.endpoint) is entry else self.removed_totals
        closed[connection.reason] += 1
        connection.state = ConnectionState.CLOSED
        if connection.reason is not CloseReason.NEVER_CONNECTED:
            self.connect_retry.on_descriptor_freed()

    # Reporting

    def take_idle_changes(self) -> list[tuple[int, tuple[int, ...]]]:
        """Return the endpoints whose idle connections changed since the last call.

        Each with the loop times (us) at which its connections became idle, oldest first.
        """
        endpoints, self.idle_changed = self.idle_changed, set()
        return [
            (endpoint, tuple(int(connection.idle_at * 1e6) for connection in entry.idle))
            for endpoint in sorted(endpoints)
            if (entry := self.endpoints.get(endpoint))
        ]

    def totals(self) -> Counter[str]:
        """Return the counters over all endpoints, those no longer listed included."""
        total = Counter(self.removed_totals)
        for entry in self.endpoints.values():
            total.update({"opened": entry.opened, "reused": entry.reused})
            total.update(entry.closed)
        return total

    def status(self, name: Callable[[int], str]) -> dict[str, Any]:
        """Return the state for the operator API.

        Endpoints with the most connections come first, at most MAX_ROWS of them.
        """
        rows = sorted(self.endpoints.items(), key=lambda row: -len(row[1].connections))
        shown = [{"endpoint": name(endpoint), **entry.status()} for endpoint, entry in rows[:MAX_ROWS]]
        return {
            "open": sum(len(entry.connections) for entry in self.endpoints.values())
            + len(self.orphaned_connections),
            "idle": len(self.idle),
            "idle_at_most": self.max_idle,
            "waiting": len(self.connect_retry.waiting),
            "total": dict(self.totals()),
            "endpoints": shown,
            "not_shown": len(rows) - len(shown),
        }

    # Upgrades

    def carry_idle(self, payload: HandoverPayload, max_count: int) -> list[list[Any]]:
        """Pack the most recently used idle connections, to hand over to the next process."""
        idle = [connection for connection in reversed(self.idle) if not connection.stale()]
        return [
            [
                connection.endpoint,
                list(connection.address),
                carry_connection(payload, connection),
                connection.idle_at,
            ]
            for connection in idle[: max(0, max_count)]
        ]

    def resume(
        self, endpoint: int, address: Address, sock: socket.socket, opened_at: float
    ) -> PooledConnection:
        """Take over a connection in use; its endpoint may have been removed since the upgrade began."""
        connection = PooledConnection(self.loop, endpoint, address, opened_at, sock)
        entry = self.endpoints.get(endpoint)
        if entry is None or entry.address != address:
            entry = EndpointConnections(address)
            self.orphaned_connections.add(connection)
        entry.connections.add(connection)
        connection.on_close = lambda: self._connection_closed(connection, entry)
        connection.state, connection.checked_out_at, connection.idle_us = (
            ConnectionState.CHECKED_OUT,
            self.loop.time(),
            0,
        )
        return connection

    def resume_idle(self, rows: list[tuple[int, Address, socket.socket, float, float]]) -> None:
        """Take over idle connections.

        Rows: endpoint, address, socket, idle since, opened at (loop times, s).
        """
        for endpoint, address, sock, idle_since, opened_at in sorted(rows, key=lambda row: row[3]):
            connection = self.resume(endpoint, address, sock, opened_at)
            entry = self.endpoints.get(endpoint)
            if (
                entry is None
                or connection not in entry.connections
                or opened_at < entry.booted_at
                or not self.is_usable(endpoint)
            ):
                self.drop(connection, CloseReason.ENDPOINT_REMOVED)
            else:
                # This limit holds until the decision core sets another one.
                entry.max_idle = max(entry.max_idle, len(entry.idle) + 1)
                self._make_idle(connection, entry, idle_since)
