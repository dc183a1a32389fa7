"""What the kernel knows of the other end of a TCP connection, also while received data waits to be read."""

from __future__ import annotations

import select
from enum import Enum, auto

POLLRDHUP = getattr(select, "POLLRDHUP", 0x2000)  # Linux: the peer has sent its last byte
GONE_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL


class PeerState(Enum):
    """Whether the peer may still send, and whether it still reads."""

    CONNECTED = auto()
    FINISHED = auto()  # it sends no more; whether it still reads shows once something is written to it
    GONE = auto()  # the connection is reset, or closed on both sides


def peer_state(fd: int) -> PeerState:
    """Return the state of the peer of a socket."""
    try:
        poll = select.poll()
        poll.register(fd, POLLRDHUP)
        events = sum(event for _, event in poll.poll(0))
    except (OSError, ValueError):  # ValueError: the socket is closed on this side
        return PeerState.GONE if fd < 0 else PeerState.CONNECTED
    if events & GONE_EVENTS:
        return PeerState.GONE
    return PeerState.FINISHED if events & POLLRDHUP else PeerState.CONNECTED
