"""Ownership of the state folder, and how it passes to a new process.

docs/operations.md describes the steps. Both sides block during the hand-over: nothing else may happen in
either process until the owner is settled.
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

LOCK_FILE, SOCKET_FILE = "owner.lock", "upgrade.sock"
STEP_TIMEOUT_S = 0.5  # for each step of the other side; the owner is blocked meanwhile
# How long a process that may take over waits for the lock, and how often it tries.
TAKEOVER_WAIT_S, LOCK_POLL_S = 60.0, 0.05
EXIT_WAIT_S = 2.0  # for a process that may not take over: one that was killed takes a moment to exit
FRAME_HEADER = struct.Struct(">II")  # bytes of the frame, number of descriptors after it
MAX_FDS_PER_MESSAGE = 200  # the kernel accepts 253
MAX_FRAME_BYTES = 64 << 20
MAX_SOCKET_PATH_BYTES = 100  # the kernel accepts 107
log = logs.part("upgrade")


class HandoverError(OSError):
    """The other side closed the connection or was too slow; the owner is the same as before."""


@dataclass
class HandoverPayload:
    """What is handed over: plain values, and descriptors to which they refer by index."""

    values: dict[str, Any] = field(default_factory=dict)
    fds: list[int] = field(default_factory=list)

    def add_descriptor(self, fd: int) -> int:
        """Add a descriptor and return its index."""
        self.fds.append(fd)
        return len(self.fds) - 1

    def close(self) -> None:
        """Close all descriptors."""
        for fd in self.fds:
            with contextlib.suppress(OSError):
                os.close(fd)


class FolderOwnership:
    """The right to act on the folder, held by a lock on a file.

    It ends with the process, however that ends, or passes to another one.
    """

    def __init__(self, folder: Path, fd: int) -> None:
        self.folder, self.fd = folder, fd

    def close(self) -> None:
        """Give up the ownership."""
        os.close(self.fd)


def try_lock(folder: Path) -> FolderOwnership | None:
    """Return the ownership of the folder, or None if another process has it."""
    fd = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(fd)
        if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
            return None
        raise
    return FolderOwnership(folder, fd)


def acquire_ownership(folder: Path, may_take_over: bool) -> tuple[FolderOwnership, HandoverPayload | None]:
    """Become the owner of the folder, with the payload if a former owner handed over.

    If nobody owns it, that happens at once; a process that may take over asks the owner. Raises OSError if
    another process keeps the lock.
    """
    deadline, last_error = time.monotonic() + (TAKEOVER_WAIT_S if may_take_over else EXIT_WAIT_S), ""
    while time.monotonic() < deadline:
        if ownership := try_lock(folder):
            return ownership, None
        if may_take_over:
            try:
                return take_over(folder)
            except (OSError, ValueError, msgpack.exceptions.UnpackException) as error:
                if str(error) != last_error:
                    last_error = str(error)
                    log.warning("upgrade.not_taken_over", error=last_error)
        time.sleep(LOCK_POLL_S)
    raise OSError(f"{folder / LOCK_FILE} is held by another process")


@contextlib.contextmanager
def socket_path(folder: Path) -> Any:
    """Yield the path of the hand-over socket; if too long, one by a descriptor of the folder."""
    path = str(folder / SOCKET_FILE)
    if len(path.encode()) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    directory_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory_fd}/{SOCKET_FILE}"
    finally:
        os.close(directory_fd)


# The side of the new process


def take_over(folder: Path) -> tuple[FolderOwnership, HandoverPayload]:
    """Take over from the owner.

    Raises OSError, ValueError or UnpackException if that fails; then the owner is the same as before.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(STEP_TIMEOUT_S)
        with socket_path(folder) as path:
            sock.connect(path)
        payload = HandoverPayload()
        try:
            size, count = FRAME_HEADER.unpack(_receive_exactly(sock, FRAME_HEADER.size))
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"the frame exceeds {MAX_FRAME_BYTES} bytes")
            payload.values = msgpack.unpackb(_receive_exactly(sock, size), strict_map_key=False)
            while len(payload.fds) < count:
                payload.fds += _receive_descriptors(sock, min(MAX_FDS_PER_MESSAGE, count - len(payload.fds)))
            sock.sendall(b"have")
            # With the lock received, only this process acts on the folder from here on.
            lock_fds = _receive_descriptors(sock, 1)
        except BaseException:
            payload.close()
            raise
        return FolderOwnership(folder, lock_fds[0]), payload


def _receive_exactly(sock: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        chunk = sock.recv(min(1 << 16, size - len(data)))
        if not chunk:
            raise HandoverError("the other process closed the connection")
        data += chunk
    return bytes(data)


def _receive_descriptors(sock: socket.socket, count: int) -> list[int]:
    data, fds, flags, _ = socket.recv_fds(sock, 1, count)
    if not data or len(fds) != count or flags & socket.MSG_CTRUNC:
        HandoverPayload(fds=list(fds)).close()
        raise HandoverError("fewer descriptors received than announced")
    return list(fds)


# The side of the owner


class HandoverSocket:
    """The socket on which the owner waits for a process that takes over."""

    def __init__(self, folder: Path) -> None:
        (folder / SOCKET_FILE).unlink(missing_ok=True)  # left by an earlier owner
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        with socket_path(folder) as path:
            self.sock.bind(path)
        os.chmod(folder / SOCKET_FILE, 0o600)
        self.sock.listen(1)

    def accept(self) -> socket.socket | None:
        """Return a connection, or None if there is none."""
        try:
            return self.sock.accept()[0]
        except OSError:
            return None

    def close(self) -> None:
        """Stop listening."""
        self.sock.close()


def hand_over(
    sock: socket.socket,
    payload: HandoverPayload,
    ownership: FolderOwnership,
    exit_process: Callable[[], None],
) -> None:
    """Hand everything to the process at the other end, then exit by `exit_process`.

    Raises HandoverError if this process remains the owner.
    """
    sock.settimeout(STEP_TIMEOUT_S)
    try:
        frame = msgpack.packb(payload.values)
        sock.sendall(FRAME_HEADER.pack(len(frame), len(payload.fds)) + frame)
        for start in range(0, len(payload.fds), MAX_FDS_PER_MESSAGE):
            socket.send_fds(sock, [b"."], payload.fds[start : start + MAX_FDS_PER_MESSAGE])
        if _receive_exactly(sock, 4) != b"have":
            raise HandoverError("unexpected answer from the new process")
        socket.send_fds(sock, [b"g"], [ownership.fd])
    except OSError as error:
        raise HandoverError(str(error)) from error
    exit_process()
