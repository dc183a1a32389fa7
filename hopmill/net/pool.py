"""The one owner of the connections to endpoints: opens, lends, takes back, closes and counts them.

How many are kept for an endpoint is the decision module's affair (hopmill/policy/links.py).
docs/operations.md has the design.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hopmill import logs
from hopmill.net.config import Address
from hopmill.net.http import LOCAL_ERRORS, Connection
from hopmill.net.upgrade import Cargo

AGAIN_S = 0.05  # with no descriptor left, until the next try: others in this process free some too
MOST_ROWS = 100  # endpoints that staff are shown in one answer
log = logs.part("pool")

# Why a connection was closed, as staff are told.
AGED, SURPLUS, ROOM = "aged", "over the endpoint's number", "room for others"
ENDED, BROKE, GIVEN_UP = "ended by the endpoint", "broke under a call", "call given up"
NEVER_UP = "never came up"
LEFT, RESTARTED, DOUBTED, ASKED = "left or moved", "endpoint restarted", "not trusted", "asked by the module"

Done = Callable[["PooledConnection | None", OSError | None], None]


class EndpointUnavailableError(OSError):
    """The endpoint may get no calls any more: it drains, is gone, or is out by hand."""


class PooledConnection(Connection):
    """A connection with its place in the pool."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: int,
        address: Address,
        born: float,
        sock: socket.socket | None = None,
    ) -> None:
        super().__init__(loop, address, sock)
        self.endpoint = endpoint
        self.born = born  # wall clock, as the list's boot times are
        self.idle_at = 0.0  # since when nothing was asked of it
        self.lent_at = 0.0
        self.idle_us = -1  # how long it had been idle before this loan, -1 for a new one
        self.state, self.why = "opening", ""
        self.timer: asyncio.TimerHandle | None = None


@dataclass
class EndpointConnections:
    """One endpoint's connections."""

    address: Address
    boot: float = 0.0  # when it last started, wall clock, 0 for long ago
    most: int = 1  # idle ones kept
    idle: OrderedDict[PooledConnection, None] = field(
        default_factory=OrderedDict
    )  # the most recently used last
    connections: set[PooledConnection] = field(default_factory=set)  # all, in any state
    canary: PooledConnection | None = None  # lent after a silence, and not heard from yet
    heard_at: float = -math.inf  # when an answer last came,
    heard_born: float = math.inf  # on a connection this old
    opened: int = 0
    reused: int = 0
    closed: Counter[str] = field(default_factory=Counter)

    def status(self) -> dict[str, Any]:
        states = Counter(link.state for link in self.connections)
        return {
            "open": len(self.connections),
            "lent": states["lent"],
            "opening": states["opening"],
            "idle": len(self.idle),
            "kept_at_most": self.most,
            "opened": self.opened,
            "reused": self.reused,
            "closed": dict(self.closed),
        }


@dataclass(eq=False)
class Checkout:
    """What a call asks for: a connection that is up. Ends with one call of `done`, or is cancelled."""

    endpoint: int
    done: Done
    link: PooledConnection | None = None
    timer: asyncio.TimerHandle | None = None

    def answer(self, link: PooledConnection | None, error: OSError | None) -> None:
        if self.timer:
            self.timer.cancel()
        self.link = link
        self.done(link, error)


def carry_link(cargo: Cargo, link: PooledConnection) -> int:
    """Its place in the cargo. When it was opened goes beside the rows, whose length older versions know."""
    place = cargo.place(link.sock.fileno())
    cargo.values.setdefault("born", {})[place] = link.born
    return place


class Pool:
    """Connections to all endpoints of one courier."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        idle_us: int,
        connect_us: int,
        max_idle: int,
        is_usable: Callable[[int], bool] = lambda endpoint: True,
    ) -> None:
        """wanted: whether an endpoint may get calls at all; nothing is kept for one that may not."""
        self.loop, self.is_usable = loop, is_usable
        # The endpoint counts from when it wrote its answer, and the next request takes a while to reach it. A
        # connect, which is a round trip, has connect_us: what is closed so much sooner crosses nothing.
        self.idle_s = max(idle_us / 2, idle_us - connect_us) / 1e6
        self.connect_s, self.max_idle = connect_us / 1e6, max_idle
        self.endpoints: dict[int, EndpointConnections] = {}
        self.idle: OrderedDict[PooledConnection, None] = (
            OrderedDict()
        )  # of all endpoints, the longest idle first
        self.leaving: set[PooledConnection] = set()  # lent ones of endpoints that have gone
        self.waiting: deque[Checkout] = deque()  # for a descriptor
        self.changed: set[int] = set()  # endpoints whose idle ones the module has not heard of yet
        self.gone: Counter[str] = Counter()  # figures of endpoints that have gone
        self.aging: asyncio.TimerHandle | None = None
        self.retrying: asyncio.TimerHandle | None = None

    # The list of endpoints

    def set_endpoint(self, endpoint: int, address: Address, boot_ms: float = 0.0) -> None:
        """Where the endpoint is and since when it runs: what was opened before reaches nobody."""
        place = self.endpoints.get(endpoint)
        if place is not None and place.address != address:
            self.forget(endpoint)
            place = None
        if place is None:
            place = self.endpoints[endpoint] = EndpointConnections(address)
            self.changed.add(endpoint)
        place.boot = boot_ms / 1e3
        for link in [k for k in place.idle if k.born < place.boot]:
            self.drop(link, RESTARTED)

    def forget(self, endpoint: int) -> None:
        place = self.endpoints.pop(endpoint, None)
        if place is None:
            return
        for link in list(place.connections):
            if link.state == "idle":
                self.drop(link, LEFT)
            else:  # its call goes on, and the connection ends with it
                self.leaving.add(link)
        self.changed.discard(endpoint)
        self.gone.update({"opened": place.opened, "reused": place.reused})
        self.gone.update(place.closed)

    def close_idle(self, endpoint: int, why: str = LEFT) -> None:
        if place := self.endpoints.get(endpoint):
            for link in list(place.idle):
                self.drop(link, why)

    def set_max_idle(self, endpoint: int, most: int) -> None:
        """How many idle ones are kept from now on."""
        if place := self.endpoints.get(endpoint):
            place.most = most
            self._trim(place)

    def close(self) -> None:
        for timer in (self.aging, self.retrying):
            if timer:
                timer.cancel()
        self.waiting.clear()
        for place in self.endpoints.values():
            for link in list(place.connections):
                self.drop(link, LEFT)
        for link in list(self.leaving):
            self.drop(link, LEFT)

    # Lending

    def check_out(self, endpoint: int, done: Done) -> Checkout:
        """The most recently used idle one, so that surplus ones age; else a new one."""
        loan, place = Checkout(endpoint, done), self.endpoints.get(endpoint)
        if place and (link := self._idle_one(place)):
            loan.answer(link, None)
        else:
            self._open(loan)
        return loan

    def cancel(self, loan: Checkout) -> None:
        """The call no longer wants it; what is being opened for it is closed."""
        if loan.timer:
            loan.timer.cancel()
        if loan in self.waiting:
            self.waiting.remove(loan)
        elif loan.link is not None and loan.link.state == "opening":
            self.drop(loan.link, GIVEN_UP)

    def open_spare(self, endpoint: int) -> None:
        """Open one before a message needs it. What comes of it says nothing to the module: it is no probe."""
        place = self.endpoints.get(endpoint)
        room = place and sum(link.state != "lent" for link in place.connections) < place.most
        if room and not self.waiting and len(self.idle) < self.max_idle:
            self._open(Checkout(endpoint, lambda link, error: self.check_in(link) if link else None))

    def _idle_one(self, place: EndpointConnections) -> PooledConnection | None:
        while place.idle:
            link = next(reversed(place.idle))
            trusted = self._trusted(place, link)
            if not trusted and place.canary:
                return None  # if they are all dead, one call finds it out for all
            if link.stale():
                self.drop(link, ENDED)
                continue
            self._leave_idle(link, place)
            now = self.loop.time()
            link.state, link.lent_at, link.idle_us = "lent", now, int((now - link.idle_at) * 1e6)
            place.canary = place.canary if trusted else link
            place.reused += 1
            return link
        return None

    def _trusted(self, place: EndpointConnections, link: PooledConnection) -> bool:
        """Heard from within the time that a connect may take, over a connection that is as old as this one's
        rest: the machine has neither vanished nor restarted since."""
        rested = time.time() - (self.loop.time() - link.idle_at)
        return self.loop.time() - place.heard_at <= self.connect_s and place.heard_born <= rested

    def _open(self, loan: Checkout) -> None:
        try:
            place, link = self._new(loan.endpoint)
        except EndpointUnavailableError as error:
            loan.answer(None, error)
        except OSError as error:
            self._no_room(loan, error)
        else:
            self._connect(loan, place, link)

    def _new(self, endpoint: int) -> tuple[EndpointConnections, PooledConnection]:
        place = self.endpoints.get(endpoint)
        if place is None or not self.is_usable(endpoint):
            raise EndpointUnavailableError(errno.ENETUNREACH, "the endpoint gets no calls any more")
        return place, PooledConnection(self.loop, endpoint, place.address, time.time())

    def _connect(self, loan: Checkout, place: EndpointConnections, link: PooledConnection) -> None:
        link.on_close = lambda: self._closed(link, place)
        place.connections.add(link)
        place.opened += 1
        loan.link = link
        link.timer = self.loop.call_later(self.connect_s, self._never_up, loan, link, place)
        try:
            link.connect(lambda error: self._up(loan, link, error))
        except OSError as error:
            self.drop(link, NEVER_UP)
            loan.answer(None, error)

    def _up(self, loan: Checkout, link: PooledConnection, error: OSError | None) -> None:
        if link.timer:
            link.timer.cancel()
        if error is not None:
            loan.answer(None, error)
            return
        link.state, link.lent_at = "lent", self.loop.time()
        loan.answer(link, None)

    def _never_up(self, loan: Checkout, link: PooledConnection, place: EndpointConnections) -> None:
        """Silence. An endpoint that has answered others meanwhile has its table full; else its machine may
        have vanished, and idle ones would lose a call each to that."""
        self.drop(link, NEVER_UP)
        self._doubt(place, self.loop.time() - self.connect_s)
        loan.answer(None, OSError(errno.ETIMEDOUT, "connect"))

    # No descriptor left

    def _no_room(self, loan: Checkout, error: OSError) -> None:
        if error.errno not in LOCAL_ERRORS:
            loan.answer(None, error)
        elif self.idle:  # the longest idle of any endpoint makes room
            self.drop(next(iter(self.idle)), ROOM)
            self._open(loan)
        else:
            if not self.waiting:
                log.error("connection.no_descriptor", error=error)
            loan.timer = self.loop.call_later(self.connect_s, self._waited, loan, error)
            self.waiting.append(loan)
            self._retry_in(AGAIN_S)

    def _waited(self, loan: Checkout, error: OSError) -> None:
        self.waiting.remove(loan)
        loan.answer(None, error)

    def _retry_in(self, delay: float) -> None:
        if self.retrying:
            self.retrying.cancel()
        self.retrying = self.loop.call_later(delay, self._retry)

    def _retry(self) -> None:
        self.retrying = None
        while self.waiting:
            loan = self.waiting[0]
            try:
                place, link = self._new(loan.endpoint)
            except EndpointUnavailableError as error:
                self.waiting.popleft()
                loan.answer(None, error)
            except OSError:
                self._retry_in(AGAIN_S)
                return
            else:
                self.waiting.popleft()
                self._connect(loan, place, link)

    # Taking back

    def check_in(self, link: PooledConnection) -> None:
        """A call is over and its connection is still good: it becomes idle, or is closed."""
        place = self.endpoints.get(link.endpoint)
        if link.closed or link.state != "lent":
            return
        if place is None or link not in place.connections or not self.is_usable(link.endpoint):
            self.drop(link, LEFT)
        elif link.born < place.boot:
            self.drop(link, RESTARTED)
        elif self.idle_s <= 0:
            self.drop(link, SURPLUS)
        else:
            self._rest(link, place, self.loop.time())

    def _rest(self, link: PooledConnection, place: EndpointConnections, since: float) -> None:
        if place.canary is link:
            place.canary = None
        link.state, link.idle_at = "idle", since
        place.idle[link] = self.idle[link] = None
        self.changed.add(link.endpoint)
        self._trim(place)
        while len(self.idle) > max(0, self.max_idle):
            self.drop(next(iter(self.idle)), ROOM)
        self._age_later()

    def _trim(self, place: EndpointConnections) -> None:
        while len(place.idle) > place.most:
            self.drop(next(iter(place.idle)), SURPLUS)

    def _age_later(self) -> None:
        if self.aging is None and self.idle:
            self.aging = self.loop.call_at(next(iter(self.idle)).idle_at + self.idle_s, self._age)

    def _age(self) -> None:
        self.aging, now = None, self.loop.time()
        while self.idle and (link := next(iter(self.idle))).idle_at + self.idle_s <= now:
            self.drop(link, AGED)
        self._age_later()

    # What calls show

    def heard(self, link: PooledConnection) -> None:
        """An answer came: whatever was idle while this connection was open is alive as well."""
        place = self.endpoints.get(link.endpoint)
        if place is None or link not in place.connections:
            return
        now = self.loop.time()
        if link.born <= place.heard_born or now - place.heard_at > self.connect_s:
            place.heard_at, place.heard_born = now, link.born
        if place.canary is link:
            place.canary = None

    def failed(self, link: PooledConnection) -> None:
        """A call on it broke or was not answered in its time."""
        place = self.endpoints.get(link.endpoint)
        if place is not None and link.address == place.address:
            self._doubt(place, link.lent_at)

    def _doubt(self, place: EndpointConnections, since: float) -> None:
        """Those idle since before then are not trusted, unless the endpoint was heard from after it."""
        if place.heard_at >= since:
            return
        for link in [k for k in place.idle if k.idle_at <= since]:
            self.drop(link, DOUBTED)

    # Closing

    def drop(self, link: PooledConnection, why: str) -> None:
        link.why = link.why or why
        link.close()

    def _leave_idle(self, link: PooledConnection, place: EndpointConnections) -> None:
        place.idle.pop(link, None)
        self.idle.pop(link, None)
        self.changed.add(link.endpoint)
        if self.aging and not self.idle:
            self.aging.cancel()
            self.aging = None

    def _closed(self, link: PooledConnection, place: EndpointConnections) -> None:
        """The one place that a connection leaves by."""
        self.leaving.discard(link)
        if link not in place.connections:
            return
        place.connections.discard(link)
        if link.timer:
            link.timer.cancel()
        if link.state == "idle":
            self._leave_idle(link, place)
        if place.canary is link:
            place.canary = None
        if not link.why:
            link.why = NEVER_UP if link.state == "opening" else BROKE if link.broke else ENDED
        closed = place.closed if self.endpoints.get(link.endpoint) is place else self.gone
        closed[link.why] += 1
        link.state = "closed"
        if self.waiting:
            self._retry_in(0)

    # The accounts

    def take_idle_changes(self) -> list[tuple[int, tuple[int, ...]]]:
        """Endpoints whose idle connections changed since the last time: when each came free, oldest first."""
        changed, self.changed = self.changed, set()
        return [
            (endpoint, tuple(int(link.idle_at * 1e6) for link in place.idle))
            for endpoint in sorted(changed)
            if (place := self.endpoints.get(endpoint))
        ]

    def totals(self) -> Counter[str]:
        """Over all endpoints, those that have gone too."""
        total = Counter(self.gone)
        for place in self.endpoints.values():
            total.update({"opened": place.opened, "reused": place.reused})
            total.update(place.closed)
        return total

    def status(self, name: Callable[[int], str]) -> dict[str, Any]:
        """For staff: those with the most connections first, in bounded size."""
        rows = sorted(self.endpoints.items(), key=lambda row: -len(row[1].connections))
        shown = [{"endpoint": name(endpoint), **place.status()} for endpoint, place in rows[:MOST_ROWS]]
        return {
            "open": sum(len(p.connections) for p in self.endpoints.values()) + len(self.leaving),
            "idle": len(self.idle),
            "idle_at_most": self.max_idle,
            "waiting": len(self.waiting),
            "total": dict(self.totals()),
            "endpoints": shown,
            "not_shown": len(rows) - len(shown),
        }

    # Upgrades

    def carry_idle(self, cargo: Cargo, most: int) -> list[list[Any]]:
        """The most recently used idle connections."""
        idle = [link for link in reversed(self.idle) if not link.stale()]
        return [[k.endpoint, list(k.address), carry_link(cargo, k), k.idle_at] for k in idle[: max(0, most)]]

    def resume(self, endpoint: int, address: Address, sock: socket.socket, born: float) -> PooledConnection:
        """A lent connection of the process before; its endpoint may have left the list since."""
        link = PooledConnection(self.loop, endpoint, address, born, sock)
        place = self.endpoints.get(endpoint)
        if place is None or place.address != address:
            place = EndpointConnections(address)
            self.leaving.add(link)
        place.connections.add(link)
        link.on_close = lambda: self._closed(link, place)
        link.state, link.lent_at, link.idle_us = "lent", self.loop.time(), 0
        return link

    def resume_idle(self, rows: list[tuple[int, Address, socket.socket, float, float]]) -> None:
        """Idle ones of the process before: endpoint, address, socket, idle since, born."""
        for endpoint, address, sock, since, born in sorted(rows, key=lambda row: row[3]):
            link = self.resume(endpoint, address, sock, born)
            place = self.endpoints.get(endpoint)
            if (
                place is None
                or link not in place.connections
                or born < place.boot
                or not self.is_usable(endpoint)
            ):
                self.drop(link, LEFT)
            else:
                place.most = max(place.most, len(place.idle) + 1)  # until the module says how many
                self._rest(link, place, since)
