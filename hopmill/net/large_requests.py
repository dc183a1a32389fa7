"""Limits how many clients may be in the middle of a large request: the memory for these is bounded."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

from hopmill.net.resp import MAX_REQUEST_BYTES

SMALL_REQUEST_BYTES = 4096  # a partial request up to this size needs no place


class WaitingClient(Hashable, Protocol):
    """A client that waits for a place."""

    def place_granted(self) -> None:
        """Go on reading the request."""


class LargeRequests:
    """Places for partial requests of more than SMALL_REQUEST_BYTES.

    A client without a place is not read, so that the rest of its request waits in the kernel. Places are
    granted in the order in which clients asked for them.
    """

    def __init__(self, max_bytes: int) -> None:
        """max_bytes: of all large partial requests together."""
        self.max_places = max(1, max_bytes // MAX_REQUEST_BYTES)
        self.holders: set[WaitingClient] = set()
        self.waiting: dict[WaitingClient, None] = {}  # in the order of asking

    def may_grow(self, client: WaitingClient, partial_bytes: int) -> bool:
        """Return whether the client may be read further; if not, `place_granted` tells it when it may."""
        if partial_bytes <= SMALL_REQUEST_BYTES:
            self.release(client)
            return True
        if client in self.holders:
            return True
        if len(self.holders) < self.max_places and not self.waiting:
            self.holders.add(client)
            return True
        self.waiting[client] = None
        return False

    def release(self, client: WaitingClient) -> None:
        """Give up the client's place, or its wait for one."""
        self.waiting.pop(client, None)
        if client not in self.holders:
            return
        self.holders.remove(client)
        while self.waiting and len(self.holders) < self.max_places:
            following = next(iter(self.waiting))
            del self.waiting[following]
            self.holders.add(following)
            following.place_granted()
