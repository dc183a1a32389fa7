"""The connections of the pool with their states, and what is known of each endpoint's connections."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hopmill.net.config import Address
from hopmill.net.http import Connection
from hopmill.net.upgrade import HandoverPayload

CheckoutCallback = Callable[["PooledConnection | None", OSError | None], None]


class ConnectionState(StrEnum):
    """Where a connection is in its life."""

    OPENING = "opening"
    CHECKED_OUT = "checked out"
    IDLE = "idle"
    CLOSED = "closed"


class CloseReason(StrEnum):
    """Why a connection was closed, as the operator API and the metrics show it."""

    IDLE_EXPIRED = "aged"  # idle so long that the endpoint may close it at any moment
    OVER_LIMIT = "over the endpoint's number"  # more idle connections than are kept to this endpoint
    EVICTED = "room for others"  # idle longest, for lack of descriptors or over the number for all endpoints
    CLOSED_BY_ENDPOINT = "ended by the endpoint"  # closed from outside while idle
    SURPLUS_DATA = "sent more than its answer"  # a second copy, or noise
    BROKE_DURING_CALL = "broke under a call"
    CALL_ABANDONED = "call given up"  # closed by the call that used it or waited for it
    NEVER_CONNECTED = "never came up"  # refused, or not established in time
    ENDPOINT_REMOVED = "left or moved"  # no longer listed, at another address, or may not be called
    ENDPOINT_RESTARTED = "endpoint restarted"  # opened before the endpoint last started
    NOT_TRUSTED = "not trusted"  # idle since before a call or connect that failed without a later response
    REQUESTED_BY_POLICY = "asked by the module"


class EndpointUnavailableError(OSError):
    """The endpoint must not be called: it drains, is no longer listed, or is excluded by an operator."""


class PooledConnection(Connection):
    """A connection together with its state in the pool."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: int,
        address: Address,
        opened_at: float,
        sock: socket.socket | None = None,
    ) -> None:
        super().__init__(loop, address, sock)
        self.endpoint = endpoint
        self.opened_at = opened_at  # loop time
        self.idle_at = 0.0  # loop time since which it has carried no call
        self.checked_out_at = 0.0
        self.idle_us = -1  # idle time before the current checkout, -1 for a new connection
        self.state = ConnectionState.OPENING
        self.reason: CloseReason | None = None
        self.timer: asyncio.TimerHandle | None = None


@dataclass
class EndpointConnections:
    """The connections to one endpoint."""

    address: Address
    boot_ms: float | None = None  # when the endpoint last started, as discovery gave it
    booted_at: float = -math.inf  # loop time of it
    max_idle: int = 1  # idle connections that are kept
    idle: OrderedDict[PooledConnection, None] = field(default_factory=OrderedDict)  # most recently used last
    connections: set[PooledConnection] = field(default_factory=set)  # in any state
    # Reused connection that tests whether the idle ones are alive; None if no such test is running.
    trial_connection: PooledConnection | None = None
    # The response that shows idle connections to be alive: when it arrived, and when its connection was
    # opened (loop times). A later response replaces it if its connection is no newer, or once
    # the earlier response is older than the connect timeout.
    last_response_at: float = -math.inf
    last_response_opened_at: float = math.inf
    opened: int = 0
    reused: int = 0
    closed: Counter[str] = field(default_factory=Counter)

    def status(self) -> dict[str, Any]:
        """Return counters and limits for the operator API."""
        states = Counter(connection.state for connection in self.connections)
        return {
            "open": len(self.connections),
            "lent": states[ConnectionState.CHECKED_OUT],
            "opening": states[ConnectionState.OPENING],
            "idle": len(self.idle),
            "kept_at_most": self.max_idle,
            "opened": self.opened,
            "reused": self.reused,
            "closed": dict(self.closed),
        }


@dataclass(eq=False)
class Checkout:
    """A request for an established connection. It ends with one call of `done`, or is cancelled."""

    endpoint: int
    done: CheckoutCallback
    max_rest_s: float = math.inf  # how long it may wait for a connection that rests
    connection: PooledConnection | None = None
    timer: asyncio.TimerHandle | None = None  # ends it, once an attempt has failed on this side

    def complete(self, connection: PooledConnection | None, error: OSError | None) -> None:
        """End the checkout with a connection or with the error that prevented one."""
        if self.timer:
            self.timer.cancel()
        self.connection = connection
        self.done(connection, error)


def carry_connection(payload: HandoverPayload, connection: PooledConnection) -> int:
    """Add a connection's socket to what is handed over to the next process, and return its index there.

    The opening time is stored beside the rows, because older versions expect rows of a fixed length, and by
    the wall clock, as they expect it.
    """
    index = payload.add_descriptor(connection.sock.fileno())
    age_s = connection.loop.time() - connection.opened_at
    payload.values.setdefault("born", {})[index] = time.time() - age_s
    return index
