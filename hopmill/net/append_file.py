"""An append-only file that ends with a complete write, also after writes that failed or were cut short."""

from __future__ import annotations

import contextlib
import errno
import os


def write_all(fd: int, data: bytes) -> None:
    """Write all of the data, in several writes where the system cuts them short. Raises OSError."""
    view = memoryview(data)
    while view:
        count = os.write(fd, view)
        if not count:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        view = view[count:]


class AppendFile:
    """Methods raise OSError. `size` is the number of bytes up to the end of the last complete write."""

    def __init__(self, fd: int, size: int) -> None:
        """fd: opened with O_APPEND; owned from now on. Bytes after `size` are cut off."""
        self.fd, self.size = fd, size
        self.may_have_torn_tail = True
        with contextlib.suppress(OSError):  # tried again before the next write
            self._cut_torn_tail()

    def append(self, data: bytes) -> None:
        """Write the data completely or not at all."""
        self._cut_torn_tail()
        self.may_have_torn_tail = True
        try:
            write_all(self.fd, data)
        except OSError:
            with contextlib.suppress(OSError):  # tried again before the next write
                self._cut_torn_tail()
            raise
        self.may_have_torn_tail = False
        self.size += len(data)

    def replace(self, fd: int, size: int) -> None:
        """Go on with another file, which is complete up to `size`."""
        former, self.fd, self.size, self.may_have_torn_tail = self.fd, fd, size, False
        with contextlib.suppress(OSError):  # the descriptor is closed all the same
            os.close(former)

    def cut_off(self, size: int) -> None:
        """Cut off what lies behind `size`, which is no more than the present size."""
        self.size, self.may_have_torn_tail = size, True
        self._cut_torn_tail()

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)

    def _cut_torn_tail(self) -> None:
        if self.may_have_torn_tail:
            os.ftruncate(self.fd, self.size)
            self.may_have_torn_tail = False
