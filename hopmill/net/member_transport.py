"""Member transport: UDP socket, timer and storage of a fleet member.

Decisions are made by hopmill/fleet/node.py; this module owns the resources.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
import struct
import time
import zlib
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from hopmill import logs
from hopmill.fleet import wire
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.node import DeleteTexts, Node, Stored, Write, WriteText
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.settings import Members, warnings

STATE, ANCHOR, TEXT_PREFIX = "fleet.state", "fleet.anchor", "fleet.text."
SLOT_BYTES = 4096
SLOT_HEADER = struct.Struct(">II")  # length and CRC-32 of a slot's payload
ERROR_RETRY_US = 1_000_000  # next tick after an unexpected exception
MAX_DATAGRAMS_PER_READ = 256  # before other events of the loop are handled
RECEIVE_BUFFER_BYTES = 1 << 18
FREEZE_TIMEOUT_S = 0.4  # an upgrade waits this long for a write in progress
log = logs.part("fleet")


class FreezeTimeoutError(OSError):
    """A write did not complete in time; the upgrade is retried later."""


def elapsed_us() -> int:
    """Monotonic time that includes suspension (CLOCK_BOOTTIME)."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Storage:
    """The member's state in two slots of one file, written alternately.

    A torn write leaves the previous state. The anchor file beside it is created once and never changed. Each
    slot records its inode and change time, which tools that copy or unpack files can not set: so a restored
    backup is recognized.
    """

    class Slot(msgspec.Struct, array_like=True):
        """One stored state with its write number and the identity of the anchor."""

        count: int  # number of the write; the larger is the later
        inode: int
        changed_ns: int
        state: bytes

    def __init__(self, folder: Path) -> None:
        self.folder, self.state, self.anchor = folder, folder / STATE, folder / ANCHOR
        self.write_count = -1  # of the latest write, -1 before the file is read

    def load(self) -> tuple[Stored, bool]:
        """Return (stored state, whether it is the one last written here).

        Raises OSError if it can not be read.
        """
        self.write_count = 0
        try:
            data = self.state.read_bytes()
        except FileNotFoundError:
            return Stored(), False
        slots = [s for at in (0, SLOT_BYTES) if (s := self._slot(data[at : at + SLOT_BYTES]))]
        if not slots:  # damaged; treated like an empty folder
            log.error("fleet.storage_unreadable", path=self.state)
            return Stored(), False
        slot = max(slots, key=lambda s: s.count)
        self.write_count = slot.count
        try:
            stored = msgspec.msgpack.decode(slot.state, type=Stored)
        except msgspec.DecodeError:  # written by a later version
            log.error("fleet.storage_unreadable", path=self.state)
            return Stored(), False
        try:
            anchor = os.stat(self.anchor)
        except FileNotFoundError:
            return stored, False
        return stored, (anchor.st_ino, anchor.st_ctime_ns) == (slot.inode, slot.changed_ns)

    def _slot(self, data: bytes) -> Slot | None:
        size, checksum = SLOT_HEADER.unpack_from(data.ljust(SLOT_HEADER.size, b"\0"))
        payload = data[SLOT_HEADER.size : SLOT_HEADER.size + size]
        if not size or len(payload) != size or zlib.crc32(payload) != checksum:
            return None
        try:
            return msgspec.msgpack.decode(payload, type=self.Slot)
        except msgspec.DecodeError:
            return None

    def texts(self) -> dict[bytes, bytes]:
        """Policy texts on disk, by digest.

        The reader verifies the digest. Partially written files are removed.
        """
        found = {}
        for path in self.folder.glob(TEXT_PREFIX + "*"):
            try:
                found[bytes.fromhex(path.name.removeprefix(TEXT_PREFIX))] = path.read_bytes()
            except (OSError, ValueError):
                path.unlink(missing_ok=True)
        return found

    def write_text(self, digest: bytes, text: bytes) -> None:
        """Write a text under its digest; it is durable on return."""
        partial = self.folder / f"{TEXT_PREFIX}half"
        fd = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            if os.write(fd, text) != len(text):
                raise OSError("short write of a policy text")
            os.fdatasync(fd)
        finally:
            os.close(fd)
        os.rename(partial, self.folder / (TEXT_PREFIX + digest.hex()))
        self._sync_folder()

    def drop_texts(self, digests: frozenset[bytes]) -> None:
        """Delete texts that are no longer needed."""
        for digest in digests:
            (self.folder / (TEXT_PREFIX + digest.hex())).unlink(missing_ok=True)

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def ensure_anchor(self, is_same_folder: bool) -> None:
        """Create a new anchor unless the stored state belongs to the current one."""
        if not is_same_folder:
            self.anchor.unlink(missing_ok=True)
            self.anchor.write_text(secrets.token_hex(16))
            self._sync_folder()

    def write(self, state: bytes) -> None:
        """Write the state; it is durable on return.

        Raises OSError; then the previous state may still be in place.
        """
        if self.write_count < 0:  # after an upgrade: continue after the last write of the previous process
            self.load()
        anchor = os.stat(self.anchor)
        payload = msgspec.msgpack.encode(
            self.Slot(self.write_count + 1, anchor.st_ino, anchor.st_ctime_ns, state)
        )
        data = SLOT_HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        if len(data) > SLOT_BYTES:
            raise OSError("fleet state exceeds its slot size")
        fd = os.open(self.state, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            # Always the whole slot: its blocks are allocated once, and later writes change no metadata.
            if (
                os.pwrite(fd, data.ljust(SLOT_BYTES, b"\0"), (self.write_count + 1) % 2 * SLOT_BYTES)
                != SLOT_BYTES
            ):
                raise OSError("short write of the fleet state")
            os.fdatasync(fd)
        finally:
            os.close(fd)
        self.write_count += 1


class MemberTransport:
    """One fleet member in this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        members: Members,
        folder: Path,
        carried: dict[str, Any] | None = None,
        sock: socket.socket | None = None,
    ) -> None:
        """carried, sock: state and socket from the previous process, in an upgrade.

        Raises OSError if the address or the folder can not be used.
        """
        self.loop, self.settings = loop, members
        self.storage = Storage(folder)
        if carried:
            stored, is_same_folder = msgspec.msgpack.decode(carried["state"], type=Stored), True
        else:
            stored, is_same_folder = self.storage.load()
            self.storage.ensure_anchor(is_same_folder)
        self.node = Node(
            members,
            stored,
            is_same_folder,
            secrets.randbits(64),
            carried,
            self.storage.texts() if members.policy else None,
        )
        self.on_change: Callable[[], None] = lambda: None  # set by the active policy
        self.sock = sock or self._bind()
        self.writer = ThreadPoolExecutor(1, "fleet-disk")
        self.current_write: Future[None] | None = None
        self.pending_writes: list[Write] = []
        self.timer: asyncio.TimerHandle | None = None
        self.is_failing = False
        self.is_open = True
        self.logged_version, self.logged_leases = -1, dict[str, int]()
        for text in warnings(members):
            log.warning("fleet.settings", text=text)
        log.info(
            "fleet.member",
            member=members.id,
            incarnation=self.node.swim.me.incarnation,
            same_folder=is_same_folder,
            votes=members.id in members.voters,
        )
        loop.add_reader(self.sock, self._readable)
        self.run_due_work()

    def _bind(self) -> socket.socket:
        host, _, port = self.settings.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind((host, int(port)))
        except (OSError, OverflowError):
            sock.close()
            raise
        return sock

    # Datagrams and actions

    def _readable(self) -> None:
        now, needs_tick = elapsed_us(), False
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data = self.sock.recv(wire.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # ICMP error for an earlier datagram; SWIM detects lost members
                continue
            try:
                needs_tick |= self.node.datagram(data, now)
            except Exception:
                log.exception("fleet.failed")
        if needs_tick or self.node.writes:
            self.run_due_work()
        else:  # most datagrams need no tick
            self._perform_actions(now)

    def run_due_work(self) -> None:
        """Run the node's due work and set the next timer.

        No exception may end the courier or the member's timers.
        """
        if not self.is_open:
            return
        try:
            wait_us = self._tick(elapsed_us())
        except Exception:
            log.exception("fleet.failed")
            wait_us = ERROR_RETRY_US
        due = self.loop.time() + max(0.001, wait_us / 1e6)
        if self.timer:
            if self.loop.time() < self.timer.when() <= due:
                return  # the timer that is set fires first and sets the next
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self.run_due_work)

    def _tick(self, now: int) -> int:
        """Run the node; return the time until it is due again (us)."""
        due = self.node.tick(now)
        self._perform_actions(now)
        self._log_changes(now)
        return due - now

    def _perform_actions(self, now: int) -> None:
        for action in self.node.take(now):
            if isinstance(action, Write):
                self.pending_writes.append(action)
            elif isinstance(action, WriteText):
                done = self.writer.submit(self.storage.write_text, action.digest, action.text)
                done.add_done_callback(
                    lambda done, digest=action.digest: (
                        self.loop.call_soon_threadsafe(self._text_written, digest, done)
                        if self.is_open
                        else None
                    )
                )
            elif isinstance(action, DeleteTexts):
                self.writer.submit(self.storage.drop_texts, action.digests)
            else:
                self._send(action.address, action.data)
        self._write()

    def _send(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            self.sock.sendto(data, (host, int(port)))
        except (OSError, ValueError, OverflowError):
            self.node.counts.dropped["not sent"] += 1

    def _write(self) -> None:
        """Write the newest state in a thread, one write at a time; it covers the earlier ones."""
        if self.current_write or not self.pending_writes:
            return
        batch, self.pending_writes = self.pending_writes, []
        self.current_write = self.writer.submit(self.storage.write, batch[-1].state)
        self.current_write.add_done_callback(
            lambda done: self.loop.call_soon_threadsafe(self._written, batch, done) if self.is_open else None
        )

    def _written(self, batch: list[Write], done: Future[None]) -> None:
        if self.current_write is not done:
            return  # already handled by freeze
        self.current_write = None
        error = done.exception()
        if bool(error) is not self.is_failing:
            self.is_failing = bool(error)
            if error:
                log.error("fleet.not_written", error=error)
            else:
                log.info("fleet.written_again")
        for write in batch:
            self.node.written(write, error is None, elapsed_us())
        self.run_due_work()

    def _text_written(self, digest: bytes, done: Future[None]) -> None:
        if error := done.exception():
            log.error("fleet.not_written", error=error)
        self.node.text_written(digest, error is None, elapsed_us())
        self.run_due_work()

    # Logs

    def _log_changes(self, now: int) -> None:
        for change in self.node.take_member_changes():
            log.info(
                "fleet.changed",
                member=change.id,
                state=change.state,
                was=change.was,
                incarnation=change.incarnation,
                why=change.why,
            )
        document = self.node.register.document
        if document.version != self.logged_version:
            self.logged_version = document.version
            log.info("fleet.document", version=document.version, voters=",".join(document.voters))
        for name in self.settings.leases:
            fencing_token = self.node.fencing_token(name, now)
            if fencing_token != self.logged_leases.get(name, 0):
                self.logged_leases[name] = fencing_token
                log.info("fleet.lease", lease=name, held=bool(fencing_token), fence=fencing_token or None)
        self.on_change()

    # Operator API

    def status(self) -> dict[str, Any]:
        """State for the operator API."""
        return self.node.status(elapsed_us()) | {"disk": "failing" if self.is_failing else "well"}

    def propose(
        self,
        change: Callable[[str, RegisterDocument], RegisterDocument | None],
        then: Callable[[Outcome], None],
    ) -> str:
        """Propose a change of the register; return its proposal id."""
        proposal_id = self.node.propose(change, elapsed_us(), then)
        self.run_due_work()
        return proposal_id

    def update_policy(self, act: Callable[[Any, int], Any]) -> None:
        """Call `act` with this member's part in the fleet policy and carry out the result."""
        act(self.node.policy_member, elapsed_us())
        self.run_due_work()

    def fencing_token(self, lease: str) -> tuple[int, int]:
        """Return (fencing token, 0 if the lease is not held; elapsed time of the answer, us)."""
        now = elapsed_us()
        return self.node.fencing_token(lease, now), now

    # Shutdown and upgrade

    def leave(self) -> None:
        """Announce a planned restart, so that the other members need not detect it."""
        if self.is_open and self.node.started:
            for lease_holder in self.node.register.lease_holders.values():
                lease_holder.wanted = False  # released at once
            self.node.swim.leave()
            self.run_due_work()

    def freeze(self) -> dict[str, Any]:
        """Stop sending and receiving, and return the state for the next process.

        Raises FreezeTimeoutError if a write does not complete in time.
        """
        self.loop.remove_reader(self.sock)
        if self.timer:
            self.timer.cancel()
        self.is_open = False
        if self.current_write:
            try:
                self.current_write.exception(FREEZE_TIMEOUT_S)
            except TimeoutError:
                self.thaw()
                raise FreezeTimeoutError("a write of the fleet state is in progress") from None
            self.current_write = None
        return self.node.carry()

    def thaw(self) -> None:
        """Continue after a failed upgrade."""
        if self.is_open:
            return
        self.is_open = True
        self.current_write = None
        self.loop.add_reader(self.sock, self._readable)
        self.run_due_work()

    def close(self) -> None:
        """Close the socket and stop the writer."""
        if self.is_open:
            self.loop.remove_reader(self.sock)
        self.is_open = False
        if self.timer:
            self.timer.cancel()
        self.sock.close()
        self.writer.shutdown(wait=False, cancel_futures=True)
