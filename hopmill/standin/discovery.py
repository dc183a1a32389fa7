"""A stand-in for the discovery agent: a list of targets, a watch on it, and the reception of notices."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from hopmill.standin.server import HOST, Server, read_request

WRITE_ORDER_S = 1e-6  # between two delayed writes: timers of the same time run in any order
HEARTBEAT_INTERVAL_S = 2.0  # an empty line keeps the watch open while nothing changes


class Discovery(Server):
    """Serves the list to watching couriers; `on_notice` is called with each notice that is answered 204."""

    def __init__(self, on_notice: Callable[[dict[str, Any]], None] = lambda notice: None) -> None:
        super().__init__()
        self.on_notice = on_notice
        self.rev = 1  # revision of the list
        self.targets: dict[str, dict[str, Any]] = {}  # by uid
        self.finals: asyncio.Queue[tuple[int, dict[str, Any]]] = asyncio.Queue()  # (status, notice)
        self.watches: asyncio.Queue[str] = asyncio.Queue()  # paths of watch requests
        self.watchers: list[asyncio.StreamWriter] = []
        self.delay_s = 0.0  # how late it writes what watches are told
        self.due_at: dict[asyncio.StreamWriter, float] = {}  # loop time of the latest delayed write
        self.watch_status = 200  # of the answer to a watch; another one is a refusal
        self.notice_status: list[int] = []  # statuses of the next answers to notices; 204 once it is empty

    def target(
        self,
        uid: str,
        port: int,
        dest: int,
        kind: str = "plain",
        state: str = "in_service",
        rate: float = 100.0,
        zone: str = "here",
    ) -> dict[str, Any]:
        """Add a target to the list without notifying the watches, and return it."""
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"{HOST}:{port}",
            "az": zone,
            "model": kind,
            "pod_group": dest,
            "state": state,
            "capacity_hint": rate,
            "boot_ms": 0,
        }
        return self.targets[uid]

    def full_list(self) -> dict[str, Any]:
        """Return the line that lists all targets."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, uid: str, **values: Any) -> None:
        """Update a target and send it to every watch at once."""
        self.rev += 1
        self.targets[uid].update(values)
        self.push({"rev": self.rev, "all": False, "targets": [self.targets[uid]]})

    def push(self, line: dict[str, Any]) -> None:
        """Send a line to every watch."""
        for writer in self.watchers:
            self.write_line(writer, json.dumps(line).encode())

    def write_line(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Write a line to a watch as one chunk of a chunked body (RFC 9112, section 7.1)."""
        self.write(writer, b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write to a watch, after the delay and not before what was to be written earlier."""
        self.when_due(writer, lambda: writer.write(data))

    def when_due(self, writer: asyncio.StreamWriter, action: Callable[[], None]) -> None:
        """Do something once all that is to be written to a watch before now and the delay is written."""
        loop = asyncio.get_running_loop()
        due_at = max(loop.time() + self.delay_s, self.due_at.get(writer, 0.0) + WRITE_ORDER_S)
        if due_at <= loop.time():
            action()
            return
        self.due_at[writer] = due_at
        loop.call_at(due_at, lambda: None if writer.is_closing() else action())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a watch, or receive notices: one JSON object a line in the body of a request."""
        while True:
            _, path, _, body = await read_request(reader)
            if path.startswith("/discovery"):
                await self._watch(path, reader, writer)
                return
            self.called(writer)
            status = self.notice_status.pop(0) if self.notice_status else 204
            for line in body.splitlines():
                notice = json.loads(line)
                self.finals.put_nowait((status, notice))
                if status == 204:
                    self.on_notice(notice)
            text = b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status
            writer.write(text)
            self.answered(writer, text)

    def called(self, writer: asyncio.StreamWriter) -> None:
        """Notices have arrived on a connection; a soak overrides this."""

    def answered(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Their answer has been written; a soak overrides this."""

    async def _watch(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the full list, then changes and heartbeats until the courier closes the connection."""
        self.watches.put_nowait(path)
        if self.watch_status != 200:
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % self.watch_status)
            return
        self.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(writer, json.dumps(self.full_list()).encode())
        self.watchers.append(writer)
        heartbeats = asyncio.create_task(self._send_heartbeats(writer))
        try:
            await reader.read()
        finally:
            heartbeats.cancel()
            self.watchers.remove(writer)
            self.due_at.pop(writer, None)

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.write_line(writer, b"")
