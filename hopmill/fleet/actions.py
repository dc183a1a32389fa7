"""What the members' protocols ask their host to do."""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.wire import Body


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member, possibly this one; it may be lost, delayed or duplicated."""

    to: str
    body: Body


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the whole state to disk (fsync), and only then send. If the write fails, nothing is sent."""

    state: bytes
    then: tuple[Send, ...]


Action = Send | Persist
