"""What the kernel knows of the other end of a TCP connection, also while received data waits to be read."""

from __future__ import annotations

import select
from enum import Enum, auto
from typing import Protocol

POLLRDHUP = getattr(select, "POLLRDHUP", 0x2000)  # Linux: the peer has sent its last byte
GONE_EVENTS = select.POLLERR | select.POLLHUP


class PeerState(Enum):
    """Whether the peer may still send, and whether it still reads."""

    CONNECTED = auto()
    FINISHED = auto()  # it sends no more; whether it still reads shows once something is written to it
    GONE = auto()  # the connection is reset, or closed on both sides


class ConnectedSocket(Protocol):
    """The methods of a socket that are needed here."""

    def fileno(self) -> int:
        """Return the descriptor, negative once the socket is closed."""

    def getpeername(self) -> object:
        """Return the address of the peer; OSError once there is none."""


def peer_state(sock: ConnectedSocket) -> PeerState:
    """Return the state of the peer of a socket."""
    if sock.fileno() < 0:
        return PeerState.GONE
    try:
        poll = select.poll()
        poll.register(sock.fileno(), POLLRDHUP)
        events = sum(event for _, event in poll.poll(0))
    except OSError:
        return PeerState.CONNECTED
    if events & GONE_EVENTS and not _has_peer(sock):
        return PeerState.GONE
    return PeerState.FINISHED if events & (POLLRDHUP | GONE_EVENTS) else PeerState.CONNECTED


def _has_peer(sock: ConnectedSocket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
