"""A courier's process in a soak: its wall clock steps and its system calls fail as a control file says."""

from __future__ import annotations

import mmap
import os
import socket
import struct
import sys
import time
from pathlib import Path


CONTROL_VARIABLE = "HOPMILL_SOAK_CONTROL"  # environment variable with the path of the control file
# Added to the wall clock (s); errno of connect and of accept; most bytes of a read or write. 0: no fault.
CONTROL = struct.Struct("<diii")


class ProcessFaults:
    """The soak's side of the control file. Changes are in force at once, also for the next process."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.clock_offset_s, self.connect_errno, self.accept_errno, self.max_io_bytes = 0.0, 0, 0, 0
        self.write()

    @property
    def is_any_set(self) -> bool:
        """Whether a system call fails or does little now."""
        return bool(self.connect_errno or self.accept_errno or self.max_io_bytes)

    def write(self) -> None:
        """Put the present values in force."""
        data = CONTROL.pack(self.clock_offset_s, self.connect_errno, self.accept_errno, self.max_io_bytes)
        mode = "r+b" if self.path.exists() else "wb"
        with self.path.open(mode) as file:
            file.write(data)


def install(path: str) -> None:
    """Let `time.time`, and connect, accept, recv and send of sockets, follow the control file."""
    with Path(path).open("rb") as file:
        control = mmap.mmap(file.fileno(), CONTROL.size, access=mmap.ACCESS_READ)
    wall_clock = time.time

    class FaultySocket(socket.socket):
        """A socket whose calls fail, or do little at once, while the control file says so."""

        def connect_ex(self, address: object) -> int:
            """Return the error to be injected, else connect."""
            return CONTROL.unpack(control[:])[1] or super().connect_ex(address)

        def accept(self) -> tuple[socket.socket, object]:
            """Raise the error to be injected, else accept."""
            if code := CONTROL.unpack(control[:])[2]:
                raise OSError(code, os.strerror(code))
            return super().accept()

        def recv(self, size: int, flags: int = 0) -> bytes:
            """Read no more than the limit."""
            return super().recv(min(size, CONTROL.unpack(control[:])[3] or size), flags)

        def recv_into(self, buffer: memoryview, size: int = 0, flags: int = 0) -> int:
            """Read no more than the limit."""
            most = CONTROL.unpack(control[:])[3] or len(buffer)
            return super().recv_into(buffer, min(size or len(buffer), most), flags)

        def send(self, data: bytes, flags: int = 0) -> int:
            """Write no more than the limit."""
            return super().send(memoryview(data)[: CONTROL.unpack(control[:])[3] or None], flags)

    time.time = lambda: wall_clock() + CONTROL.unpack(control[:])[0]
    socket.socket = FaultySocket  # type: ignore[misc]


def main() -> int:
    """Install the faults, run the program and return its exit status."""
    install(os.environ[CONTROL_VARIABLE])
    from hopmill.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
