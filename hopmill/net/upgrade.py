"""One owner of the folder that lasts, and how it passes to a new process. docs/operations.md has the steps.

Both sides of the hand-over block: nothing else may happen in either process while the owner is settled.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

from hopmill import logs

LOCK, LINK = "owner.lock", "upgrade.sock"
STEP_S = 0.5  # what each side gives the other for a step: the owner stands still meanwhile
FREE_S, OFTEN_S = 60.0, 0.05  # how long the lock is waited for beside an owner that hands over, and how often
LEFT_S = 2.0  # and without one: a process that was killed may take a moment to be gone
HEAD = struct.Struct(">II")  # bytes of the frame, descriptors after it
MOST_FDS = 200  # in one message; the kernel takes 253
MAX_FRAME = 64 << 20
MAX_PATH = 100  # bytes of a socket's path; the kernel takes 107
log = logs.part("upgrade")


class HandoverError(OSError):
    """The other side broke off, or was too slow; nothing has changed hands."""


@dataclass
class HandoverPayload:
    """What is handed over: plain values, and descriptors that these name by their place in the list."""

    values: dict[str, Any] = field(default_factory=dict)
    fds: list[int] = field(default_factory=list)

    def add_descriptor(self, fd: int) -> int:
        self.fds.append(fd)
        return len(self.fds) - 1

    def close(self) -> None:
        for fd in self.fds:
            with contextlib.suppress(OSError):
                os.close(fd)


class FolderOwnership:
    """The right to act on the folder. It ends with the process, however that ends, or passes on."""

    def __init__(self, folder: Path, fd: int) -> None:
        self.folder, self.fd = folder, fd

    def close(self) -> None:
        os.close(self.fd)


def try_lock(folder: Path) -> FolderOwnership | None:
    fd = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(fd)
        if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
            return None
        raise
    return FolderOwnership(folder, fd)


def acquire_ownership(folder: Path, takes_over: bool) -> tuple[FolderOwnership, HandoverPayload | None]:
    """Own the folder: at once if nobody does, from the owner if this process may take over."""
    until, said = time.monotonic() + (FREE_S if takes_over else LEFT_S), ""
    while time.monotonic() < until:
        if ownership := try_lock(folder):
            return ownership, None
        if takes_over:
            try:
                return take_over(folder)
            except (OSError, ValueError, msgpack.exceptions.UnpackException) as error:
                if str(error) != said:
                    said = str(error)
                    log.warning("upgrade.not_taken_over", error=said)
        time.sleep(OFTEN_S)
    raise OSError(f"{folder / LOCK} is held by another process")


@contextlib.contextmanager
def link_path(folder: Path) -> Any:
    """The link's path, short enough for a socket."""
    path = str(folder / LINK)
    if len(path.encode()) <= MAX_PATH:
        yield path
        return
    at = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{at}/{LINK}"
    finally:
        os.close(at)


# The new process's side


def take_over(folder: Path) -> tuple[FolderOwnership, HandoverPayload]:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(STEP_S)
        with link_path(folder) as path:
            sock.connect(path)
        payload = HandoverPayload()
        try:
            size, count = HEAD.unpack(_exactly(sock, HEAD.size))
            if size > MAX_FRAME:
                raise ValueError("the frame is too large")
            payload.values = msgpack.unpackb(_exactly(sock, size), strict_map_key=False)
            while len(payload.fds) < count:
                payload.fds += _descriptors(sock, min(MOST_FDS, count - len(payload.fds)))
            sock.sendall(b"have")
            lock = _descriptors(sock, 1)  # 'go': from here on this process acts, and the other never again
        except BaseException:
            payload.close()
            raise
        return FolderOwnership(folder, lock[0]), payload


def _exactly(sock: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = sock.recv(min(1 << 16, size - len(data)))
        if not part:
            raise HandoverError("the other side ended")
        data += part
    return bytes(data)


def _descriptors(sock: socket.socket, count: int) -> list[int]:
    data, fds, flags, _ = socket.recv_fds(sock, 1, count)
    if not data or len(fds) != count or flags & socket.MSG_CTRUNC:
        HandoverPayload(fds=list(fds)).close()
        raise HandoverError("descriptors lack")
    return list(fds)


# The owner's side


class HandoverSocket:
    """Where the owner waits for a process that takes over."""

    def __init__(self, folder: Path) -> None:
        (folder / LINK).unlink(missing_ok=True)  # an earlier owner's
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        with link_path(folder) as path:
            self.sock.bind(path)
        os.chmod(folder / LINK, 0o600)
        self.sock.listen(1)

    def accept(self) -> socket.socket | None:
        try:
            return self.sock.accept()[0]
        except OSError:
            return None

    def close(self) -> None:
        self.sock.close()


def hand_over(
    sock: socket.socket, payload: HandoverPayload, ownership: FolderOwnership, leave: Callable[[], None]
) -> None:
    """Give all to the process at the other end, then leave; HandoverError if this one remains the owner."""
    sock.settimeout(STEP_S)
    try:
        frame = msgpack.packb(payload.values)
        sock.sendall(HEAD.pack(len(frame), len(payload.fds)) + frame)
        for at in range(0, len(payload.fds), MOST_FDS):
            socket.send_fds(sock, [b"."], payload.fds[at : at + MOST_FDS])
        if _exactly(sock, 4) != b"have":
            raise HandoverError("the other side spoke out of turn")
        socket.send_fds(sock, [b"g"], [ownership.fd])
    except OSError as error:
        raise HandoverError(str(error)) from error
    leave()
