"""A courier's connections to endpoints, as the pool keeps them: which are idle, since when, and how many."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from hopmill.lab.clock import Clock
from hopmill.lab.partners import Endpoint

TRUST = 0.95  # of the time after which an endpoint closes an idle connection: it is closed a little before


@dataclass(eq=False)
class Link:
    """A connection to an endpoint."""

    endpoint: Endpoint
    idle_at: int = 0
    open: bool = True
    over: bool = False  # the endpoint has no place for it: one call is turned away on it, and it closes


class Links:
    """The idle ones, by endpoint, the most recently used last."""

    def __init__(self, clock: Clock, idle_us: int) -> None:
        """idle_us: for how long an endpoint lets one stand idle."""
        self.clock, self.idle_us = clock, int(idle_us * TRUST)
        self.idle: dict[int, deque[Link]] = {}
        self.most: dict[int, int] = {}  # that are kept, by endpoint; 1 until the module says
        self.changed: dict[int, None] = {}  # endpoints whose idle ones the module has not heard of yet

    def lend(self, endpoint: int) -> Link | None:
        """The most recently used one."""
        links = self.idle.get(endpoint)
        if not links:
            return None
        self.changed[endpoint] = None
        return links.pop()

    def rest(self, link: Link) -> None:
        """A call on it is over, and it is still good."""
        number = link.endpoint.number
        link.idle_at = self.clock.now
        self.idle.setdefault(number, deque()).append(link)
        self.changed[number] = None
        self.clock.after(self.idle_us, self._age, link, link.idle_at)
        self._trim(number)

    def keep(self, endpoint: int, most: int) -> None:
        self.most[endpoint] = most
        self._trim(endpoint)

    def close(self, link: Link | None) -> None:
        if link is None or not link.open:
            return
        link.open = False
        link.endpoint.disconnect()
        links = self.idle.get(link.endpoint.number)
        if links and link in links:
            links.remove(link)
            self.changed[link.endpoint.number] = None

    def close_idle(self, endpoint: int) -> None:
        for link in list(self.idle.get(endpoint, ())):
            self.close(link)

    def close_all(self) -> None:
        for endpoint in list(self.idle):
            self.close_idle(endpoint)

    def news(self) -> list[tuple[int, tuple[int, ...]]]:
        """(endpoint, since when each is idle) where that changed since the last time."""
        changed, self.changed = self.changed, {}
        return [(number, tuple(k.idle_at for k in self.idle.get(number, ()))) for number in changed]

    def _trim(self, number: int) -> None:
        links = self.idle.get(number, ())
        while len(links) > self.most.get(number, 1):
            self.close(links[0])

    def _age(self, link: Link, since: int) -> None:
        if link.open and link.idle_at == since and link in self.idle.get(link.endpoint.number, ()):
            self.close(link)
