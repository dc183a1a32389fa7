"""A courier's idle connections to endpoints, as its pool keeps them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from hopmill.lab.clock import Clock
from hopmill.lab.partners import Endpoint

# Of the time after which an endpoint closes an idle connection: the courier closes it a little earlier.
IDLE_TIMEOUT_SHARE = 0.95


@dataclass(eq=False)
class Connection:
    """A connection to an endpoint. Times in us."""

    endpoint: Endpoint
    idle_since_us: int = 0
    is_open: bool = True
    over_connection_limit: bool = False  # the endpoint refuses one call on it and closes it


class IdleConnections:
    """The idle connections by endpoint, the most recently used last."""

    def __init__(self, clock: Clock, idle_us: int) -> None:
        """idle_us: how long an endpoint keeps an idle connection open."""
        self.clock, self.idle_us = clock, int(idle_us * IDLE_TIMEOUT_SHARE)
        self.idle: dict[int, deque[Connection]] = {}
        self.max_idle: dict[int, int] = {}  # by endpoint; 1 until the module sets it
        # An ordered set of endpoints whose idle connections changed since the last take_changes.
        self.changed_endpoints: dict[int, None] = {}

    def check_out(self, endpoint: int) -> Connection | None:
        """Takes the most recently used idle connection, if there is one."""
        connections = self.idle.get(endpoint)
        if not connections:
            return None
        self.changed_endpoints[endpoint] = None
        return connections.pop()

    def check_in(self, connection: Connection) -> None:
        """Returns a connection that can be used again."""
        endpoint = connection.endpoint.number
        connection.idle_since_us = self.clock.now
        self.idle.setdefault(endpoint, deque()).append(connection)
        self.changed_endpoints[endpoint] = None
        self.clock.after(self.idle_us, self._expire, connection, connection.idle_since_us)
        self._trim(endpoint)

    def set_max_idle(self, endpoint: int, max_idle: int) -> None:
        """Sets how many idle connections to keep to an endpoint, and closes those over it."""
        self.max_idle[endpoint] = max_idle
        self._trim(endpoint)

    def close(self, connection: Connection | None) -> None:
        """Closes a connection, idle or not. None and closed ones are ignored."""
        if connection is None or not connection.is_open:
            return
        connection.is_open = False
        connection.endpoint.disconnect()
        connections = self.idle.get(connection.endpoint.number)
        if connections and connection in connections:
            connections.remove(connection)
            self.changed_endpoints[connection.endpoint.number] = None

    def close_idle(self, endpoint: int) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in list(self.idle.get(endpoint, ())):
            self.close(connection)

    def close_all(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self.idle):
            self.close_idle(endpoint)

    def take_changes(self) -> list[tuple[int, tuple[int, ...]]]:
        """(endpoint, since when each connection is idle) where that changed since the last call."""
        changed, self.changed_endpoints = self.changed_endpoints, {}
        return [
            (endpoint, tuple(k.idle_since_us for k in self.idle.get(endpoint, ()))) for endpoint in changed
        ]

    def _trim(self, endpoint: int) -> None:
        connections = self.idle.get(endpoint, ())
        while len(connections) > self.max_idle.get(endpoint, 1):
            self.close(connections[0])

    def _expire(self, connection: Connection, idle_since_us: int) -> None:
        if (
            connection.is_open
            and connection.idle_since_us == idle_since_us
            and connection in self.idle.get(connection.endpoint.number, ())
        ):
            self.close(connection)
