"""What the members' protocols ask of whoever runs them."""

from __future__ import annotations

from dataclasses import dataclass

from hopmill.fleet.wire import Body


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to a member, this one included; it may be lost, late, twice."""

    to: str
    body: Body


@dataclass(frozen=True, slots=True)
class Persist:
    """Put the whole state on disk (fsync); only then send. If the disk says no, nothing of it is sent."""

    state: bytes
    then: tuple[Send, ...]


Action = Send | Persist
