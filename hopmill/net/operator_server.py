"""Operator API server: HTTP/1.1, one call per connection. What a call does is up to its handler."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote, urlsplit

import h11

from hopmill import logs
from hopmill.net.accept import Acceptor, listening_socket
from hopmill.net.config import Address
from hopmill.net.upgrade import HandoverPayload

CALL_TIMEOUT_S = 3.0  # for receiving a whole call
# Time for the caller to read the response and close: closing with unread bytes would reset the connection and
# discard the response.
LINGER_S = 0.5
MAX_CALL_BYTES = 8192
MAX_HEAD_LINES = 128
MAX_CONNECTIONS, DESCRIPTOR_SHARE = 32, 1 / 16  # concurrent, and as a share of the file descriptors
BACKLOG = 64
FORMER_ADDRESS_S = 5.0  # after an upgrade the previous address is served this long
log = logs.part("door")


@dataclass(frozen=True)
class Page:
    """A response that is not JSON."""

    content_type: str
    text: bytes


Body = dict[str, Any] | Page
# Handler of a route. Its arguments are the parts of the path that match "*".
Handler = Callable[..., tuple[int, Body]]


class CallRefusedError(Exception):
    """A call answered with a 4xx or 5xx status instead of a handler."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


class WithBody:
    """A handler whose first argument is the body of the call."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler


class Routes:
    """Handlers by method and path; "*" in a path matches any one segment."""

    def __init__(self, *rows: tuple[str, str, Handler | WithBody]) -> None:
        self.rows = [
            (method, re.compile(re.escape(path).replace(r"\*", "([^/]+)")), handler)
            for method, path, handler in rows
        ]

    def answer(self, method: str, target: str, body: bytes = b"") -> tuple[int, Body]:
        """Call the handler of a target.

        Raises CallRefusedError if there is none.
        """
        try:
            path = urlsplit(target).path
        except ValueError:
            raise CallRefusedError(400, "the target can't be read") from None
        found = [
            (route_method, match, handler)
            for route_method, pattern, handler in self.rows
            if (match := pattern.fullmatch(path))
        ]
        if not found:
            raise CallRefusedError(404, "no such path")
        for allowed_method, match, handler in found:
            if allowed_method == method:
                words = [unquote(word) for word in match.groups()]
                return handler.handler(body, *words) if isinstance(handler, WithBody) else handler(*words)
        raise CallRefusedError(
            405, "wrong method", Allow=", ".join(allowed_method for allowed_method, _, _ in found)
        )


class OperatorConnection(asyncio.Protocol):
    """Connection of one caller."""

    def __init__(self, server: OperatorServer, received: bytes = b"") -> None:
        """received: what the previous process has read of the call."""
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_CALL_BYTES)
        self.request: h11.Request | None = None
        self.received, self.answered, self.body = bytearray(), False, bytearray()
        self.carried = received
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self.transport = transport  # type: ignore[assignment]
        self._set_timer(CALL_TIMEOUT_S, self._timed_out)
        self.server.connection_made(self)
        if self.carried:
            self.data_received(self.carried)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        if self.timer:
            self.timer.cancel()
        self.server.callers.pop(self, None)

    def _set_timer(self, delay: float, action: Callable[[], None]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(delay, action)

    def _timed_out(self) -> None:
        self._answer(408, {"error": "no whole call in time"})

    def eof_received(self) -> bool:
        """Handle what has been received of the call."""
        if self.answered:
            return False
        self._read(b"")  # a truncated call is answered too; the caller may still read
        return not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Collect the call; ignore data after it."""
        if self.answered:
            return  # one call per connection
        self.received += data
        if len(self.received) > MAX_CALL_BYTES:
            self._answer(413, {"error": f"a call is at most {MAX_CALL_BYTES} bytes"})
            return
        if self.request is None and self._head_lines() > MAX_HEAD_LINES:
            self._answer(431, {"error": f"a call has at most {MAX_HEAD_LINES} lines before its body"})
            return
        self._read(data)

    def _head_lines(self) -> int:
        end = self.received.find(b"\r\n\r\n")
        return self.received.count(b"\n", 0, end if end >= 0 else len(self.received))

    def _read(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage) and self.request:
                    self._handle(self.request.method.decode(), self.request.target.decode("latin-1"))
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                    return
            if self.http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                self.transport.write(self.http.send(continue_response) or b"")
        except h11.RemoteProtocolError as error:
            self._answer(400, {"error": str(error)})

    def _handle(self, method: str, target: str) -> None:
        try:
            status, body = self.server.routes.answer(method, target, bytes(self.body))
            headers = {}
        except CallRefusedError as error:
            status, body, headers = error.status, {"error": str(error)}, error.headers
        except OSError as error:  # the journal write failed, so the change is not made
            log.error("door.not_recorded", method=method, path=target[:200], error=error)
            status, body, headers = 503, {"error": "can't be recorded"}, {}
        log.info("door.call", method=method, path=target[:200], status=status)
        self._answer(status, body, headers)

    def _answer(self, status: int, body: Body, headers: dict[str, str] | None = None) -> None:
        self.answered = True
        page = body if isinstance(body, Page) else Page("application/json", json.dumps(body).encode() + b"\n")
        text = page.text
        fields = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(text))),
            ("Connection", "close"),
            *(headers or {}).items(),
        ]
        try:
            parts = [
                self.http.send(h11.Response(status_code=status, headers=fields)),
                self.http.send(h11.Data(data=text)) if not self._is_head else b"",
            ]
        except h11.LocalProtocolError:  # the connection can no longer carry a response
            self.transport.close()
            return
        self.transport.write(b"".join(part for part in parts if part))
        if not self.transport.is_closing():
            self.transport.write_eof()
        self._set_timer(LINGER_S, self.transport.abort)

    @property
    def _is_head(self) -> bool:
        return self.request is not None and self.request.method == b"HEAD"


class OperatorServer:
    """Listens at the operators' address."""

    def __init__(self, routes: Routes, sockets: int) -> None:
        self.routes = routes
        self.max_callers = max(4, min(MAX_CONNECTIONS, int(sockets * DESCRIPTOR_SHARE)))
        self.callers: dict[OperatorConnection, None] = {}  # oldest first
        self.acceptor: Acceptor | None = None
        self.former: Acceptor | None = None  # at the address of the previous process

    def listen(self, address: Address) -> None:
        """Start to listen."""
        self.acceptor = Acceptor(
            listening_socket(address, BACKLOG), lambda: OperatorConnection(self), self.max_callers
        )

    def connection_made(self, caller: OperatorConnection) -> None:
        """Register a connection and evict another one beyond the limit."""
        self.callers[caller] = None
        if len(self.callers) > self.max_callers:  # evict an answered one, else the oldest
            evicted = next((c for c in self.callers if c.answered), next(iter(self.callers)))
            # Removed at once: otherwise the next connection in this loop iteration would evict the same one.
            self.callers.pop(evicted)
            evicted.transport.abort()

    @property
    def acceptors(self) -> list[Acceptor]:
        """Open listeners."""
        return [a for a in (self.acceptor, self.former) if a and a.is_open]

    def carry(self, payload: HandoverPayload) -> dict[str, Any]:
        """Pack the listening socket and unanswered calls, to hand over to the next process."""
        callers = [
            [payload.add_descriptor(c.transport.get_extra_info("socket").fileno()), bytes(c.received)]
            for c in self.callers
            if not c.answered and not c.transport.is_closing()
        ]
        return {
            "listening": payload.add_descriptor(self.acceptor.sock.fileno()) if self.acceptor else None,
            "callers": callers,
        }

    def resume(self, sock: socket.socket, callers: list[tuple[socket.socket, bytes]]) -> None:
        """Serve the previous process's address for a while, with the calls that had begun there."""
        self.former = Acceptor(sock, lambda: OperatorConnection(self), self.max_callers)
        asyncio.get_running_loop().call_later(FORMER_ADDRESS_S, self.former.close)
        for connection, received in callers:
            connection.setblocking(False)
            self.former.join(connection, lambda received=received: OperatorConnection(self, received))

    def close(self) -> None:
        """Close all listeners and connections."""
        for acceptor in self.acceptors:
            acceptor.close()
        for caller in list(self.callers):
            caller.transport.abort()
