"""The RESP2 server to which clients submit messages."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import termios
from collections import deque
from collections.abc import Callable
from typing import Any

from hopmill import logs
from hopmill.net.accept import Acceptor
from hopmill.net.put import BadRequestError, Put, parse_put
from hopmill.net.resp import MALFORMED, MalformedValue, ProtocolError, RequestReader
from hopmill.net.upgrade import HandoverPayload

# A client without a request, in the middle of one, or with unread answers is closed once it has been idle for
# this time. The platform requires that an incomplete request is answered with an error line or a close within
# 3 s. It allows idle connections to be closed after 2 s; their number is limited, so idle ones keep other
# clients out.
REQUEST_TIMEOUT_S = 2.05
MAX_REQUEST_S = 2.8  # for a request that arrives slowly
BACKLOG = 512  # connections waiting to be accepted
# After an operator drains the courier, connections are closed between requests from this time on. The load
# balancer sends a PING ten times a second, and new clients may come until 0.2 s after the first error answer.
DRAIN_GRACE_S = 0.5
DRAIN_IDLE_S = 0.2  # a drained courier closes connections without data for this time
DRAIN_SWEEP_S = 0.05  # interval of the sweep that closes idle connections while the courier is drained
LINGER_S = 0.15  # after the last answer a connection is read for this time, and what comes is discarded
FIRST_REQUEST_GRACE_S = 0.4  # a client that has not sent its first request yet counts as idle after this time
MAX_ERROR_BYTES = 200  # of the text of an error answer
LINGERING_DIVISOR = 10  # one in so many of the clients' connections may linger
MAX_ACCEPTS_PER_ITERATION = 16  # new connections in one iteration of the event loop
MAX_REQUESTS_PER_ITERATION = 32  # handled for one client before other clients' requests
MAX_INVALID_REQUESTS = 16  # in a row; a peer that sends more is disconnected
log = logs.part("clients")


class Reply:
    """The place of one answer in its connection: answers are sent in the order of their requests."""

    def __init__(self, client: ClientConnection) -> None:
        self.client, self.data = client, b""

    @property
    def is_wanted(self) -> bool:
        """Whether the client is still connected."""
        return not self.client.is_lost

    def send(self, data: bytes) -> None:
        """Answer the request; only the first answer counts."""
        if not self.data:
            self.data = data
            self.client.flush()


class ClientConnection(asyncio.Protocol):
    """One client's connection.

    carried: what the previous process handed over at an upgrade: state of the reader, last_data_at,
    last_request_at, request_began_at, awaits_first_byte. It is empty for a new connection.
    """

    def __init__(self, server: ClientServer, carried: tuple[Any, ...] = ()) -> None:
        self.server, self.carried = server, carried
        self.reader = RequestReader()
        self.pending_replies: deque[Reply] = deque()
        self.is_lost = self.is_closing = self.writing_paused = False
        # Whether this side, and whether the peer, has announced that it sends no more.
        self.is_lingering = self.peer_sent_eof = False
        self.has_sent_request = bool(carried)  # it has sent a valid request
        self.invalid_count = 0  # requests since the last valid one
        self.resume_handle: asyncio.Handle | None = None  # set while data waits to be processed
        self.last_data_at = 0.0  # when it last sent data, or connected; these times are the event loop's
        self.last_request_at = 0.0  # when its last valid request was complete, or it connected
        self.request_began_at = 0.0  # first byte after that request, or time of connection
        self.awaits_first_byte = False  # no byte has arrived since that request
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None  # for the next request, reading answers or lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start, or go on from what the previous process handed over."""
        self.transport = transport  # type: ignore[assignment]
        self.last_data_at = self.last_request_at = self.request_began_at = asyncio.get_running_loop().time()
        if self.carried:
            reader, self.last_data_at, self.last_request_at, self.request_began_at, self.awaits_first_byte = (
                self.carried
            )
            self.reader.resume(reader)
            self._process_later()
        self._ensure_timer()
        self.server.connection_joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what is scheduled and leave the server."""
        self.is_lost = True
        self._stop_timer()
        if self.resume_handle:
            self.resume_handle.cancel()
        self.server.connection_left(self)

    def _ensure_timer(self) -> None:
        """Run the time-out for the next valid request, or for reading the answers, if it is not running."""
        if self.timer is None and not self.is_lost:
            loop = asyncio.get_running_loop()
            # The client gets no further request handled; it must read its answers within the time-out.
            must_read_answers = self.is_closing or self.writing_paused
            self.timer = loop.call_at(
                loop.time() + REQUEST_TIMEOUT_S if must_read_answers else self._deadline(), self._on_timeout
            )

    def _deadline(self) -> float:
        """Return when the next valid request is due.

        It only moves forward, so a timer that was set for an earlier deadline checks again.
        """
        if self.reader.has_partial_request:
            return min(self.last_data_at + REQUEST_TIMEOUT_S, self.request_began_at + MAX_REQUEST_S)
        return self.last_request_at + REQUEST_TIMEOUT_S

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self) -> None:
        """Close a connection that is idle, or whose request or reading of answers takes too long.

        Such a connection occupies a descriptor, and no other timer closes it.
        """
        self.timer = None
        loop = asyncio.get_running_loop()
        if self.is_closing or self.transport.get_write_buffer_size():  # it does not read its answers
            self.transport.abort()
        elif self._deadline() > loop.time():
            self._ensure_timer()
        elif not self.reader.has_partial_request and self.has_unread_bytes:  # its next request is arriving
            # LINGER_S gives the event loop time to read these bytes.
            self.timer = loop.call_later(LINGER_S, self._on_timeout)
        else:
            self.reject()

    def reject(self) -> None:
        """Close the connection; an incomplete request gets an error line first."""
        self.is_closing = True
        if self.reader.has_partial_request:
            self._add_reply().send(b"-ERR no whole request in time\r\n")
        self.flush()
        self._ensure_timer()

    def eof_received(self) -> bool:
        """Close, but only after the pending answers."""
        self.is_closing = self.peer_sent_eof = True
        return bool(self.pending_replies)

    def pause_writing(self) -> None:
        """Stop reading while the client does not read its answers."""
        self.writing_paused = True
        self._ensure_timer()
        self.transport.pause_reading()  # no new requests from a client that does not read its answers

    def resume_writing(self) -> None:
        """Go on with the requests that were read meanwhile."""
        self.writing_paused = False
        self._ensure_timer()
        self._process_later()

    def data_received(self, data: bytes) -> None:
        """Process what was received; ignored once the connection is closing."""
        if self.is_closing:
            return
        self.server.touch(self)
        self.last_data_at = asyncio.get_running_loop().time()
        self.reader.feed(data)
        if self.resume_handle is None:
            self._process_requests()

    def _process_requests(self) -> None:
        """Handle a limited number of requests, so that one client does not delay all others."""
        self.resume_handle = None
        try:
            self._note_request_start()
            for _ in range(MAX_REQUESTS_PER_ITERATION):
                if self.is_closing or self.writing_paused or (request := self.reader.next_request()) is None:
                    break
                self._handle(request)
                if self.invalid_count > MAX_INVALID_REQUESTS:
                    self.is_closing = True
                    self.flush()
            else:
                self._process_later()
            self._note_request_start()
        except ProtocolError as error:  # the start of the next request cannot be determined
            self.is_closing = True
            self._add_reply().send(b"-ERR Protocol error: %s\r\n" % _one_line(str(error)))
        if not self.resume_handle and not self.writing_paused and not self.is_closing:
            self.transport.resume_reading()
        self._ensure_timer()

    def _process_later(self) -> None:
        self.transport.pause_reading()  # so that EOF is seen only after the data before it
        self.resume_handle = asyncio.get_running_loop().call_soon(self._process_requests)

    def _note_request_start(self) -> None:
        """Start the time of a request at its first byte.

        Invalid requests before it do not restart the time.
        """
        if self.awaits_first_byte and self.reader.has_partial_request:
            self.awaits_first_byte, self.request_began_at = False, self.last_data_at

    def _request_completed(self) -> None:
        """Note a complete valid request: the time for the next one starts again."""
        self.last_request_at = self.last_data_at
        self.awaits_first_byte = True
        self.has_sent_request = True
        self.invalid_count = 0

    def _add_reply(self) -> Reply:
        self.pending_replies.append(Reply(self))
        return self.pending_replies[-1]

    def _handle(self, request: list[bytes] | MalformedValue) -> None:
        reply = self._add_reply()
        self.invalid_count += 1  # reset by _request_completed
        if request is MALFORMED:
            reply.send(b"-ERR expected an array of bulk strings\r\n")
            return
        command = request[0].upper()
        if command == b"PING" and len(request) <= 2:
            self._request_completed()
            if self.server.drained:
                reply.send(b"-ERR drained by an operator\r\n")
            else:
                reply.send(b"$%d\r\n%s\r\n" % (len(request[1]), request[1]) if request[1:] else b"+PONG\r\n")
        elif command == b"MSG.PUT":
            try:
                self.server.put(parse_put(request[1:]), reply)
                self._request_completed()
            except BadRequestError as error:
                log.warning("put.improper", error=error)
                reply.send(b"-ERR %s\r\n" % _one_line(str(error)))
        elif command == b"QUIT":
            self.is_closing = True
            reply.send(b"+OK\r\n")
        else:
            reply.send(b"-ERR unknown command\r\n")

    def flush(self) -> None:
        """Write the answers that are due, and close if the connection is to end."""
        answers = []
        while self.pending_replies and self.pending_replies[0].data:
            answers.append(self.pending_replies.popleft().data)
        # The transport may be closing before connection_lost is called.
        if answers and not self.is_lost and not self.transport.is_closing():
            self.transport.write(b"".join(answers))
        if self.is_closing and not self.pending_replies:
            self._start_linger()
        elif answers and self.server.closes_after_answer:
            self.close_if_idle()

    def _start_linger(self) -> None:
        """Send EOF, and read and discard what the client still sends.

        Closing a connection with unread data resets it, and answers in transit may be lost. Nothing read from
        here on is accepted: the client sees EOF and submits the request on another connection.
        """
        if self.is_lingering or self.is_lost or self.transport.is_closing():
            return
        self.is_closing = self.is_lingering = True
        self.reader = RequestReader()  # many lingering connections must not hold memory
        self._stop_timer()
        if self.peer_sent_eof:
            self.transport.close()
            return
        try:
            self.transport.write_eof()  # after the buffered answers
        except OSError:  # reset by the peer, and not noticed yet
            self.transport.abort()
            return
        self.transport.resume_reading()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LINGER_S, self._end_linger, loop.time() + REQUEST_TIMEOUT_S)
        self.server.connection_lingers(self)

    def _end_linger(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        if self.transport.get_write_buffer_size() and loop.time() < deadline:
            self.timer = loop.call_later(LINGER_S, self._end_linger, deadline)
        else:
            self.transport.abort()

    @property
    def is_between_requests(self) -> bool:
        """Whether there is neither a partial request nor an answer to come."""
        return not self.pending_replies and not self.reader.has_partial_request

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel has data that was not read yet: closing now would cut off a request."""
        # FIONREAD returns the number of unread bytes as a C int; it is 0 if all bytes of the int are.
        return any(fcntl.ioctl(self.fileno, termios.FIONREAD, bytes(4)))

    @property
    def fileno(self) -> int:
        """The descriptor of the socket."""
        return self.transport.get_extra_info("socket").fileno()

    @property
    def can_be_handed_over(self) -> bool:
        """Whether it is open, and this process has nothing left to write or to end on it."""
        ending = self.is_lost or self.is_closing or self.writing_paused or self.transport.is_closing()
        return not ending and not self.pending_replies and not self.transport.get_write_buffer_size()

    def close_if_idle(self) -> None:
        """Close the connection if no request or answer is cut off by that."""
        if self.is_between_requests and not self.transport.is_closing() and not self.has_unread_bytes:
            self._start_linger()


def _one_line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:MAX_ERROR_BYTES]


class ClientServer:
    """Accepts clients; `put` receives each message with the reply to answer it by."""

    def __init__(self, put: Callable[[Put, Reply], None], max_clients: int) -> None:
        self.put, self.max_clients = put, max_clients
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        self.lingering: dict[ClientConnection, None] = {}  # being read until their end, oldest first
        self.acceptor: Acceptor | None = None
        # Whether PING is answered with an error; whether connections are closed between requests.
        self.drained = self.closes_after_answer = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    def set_drained(self, drained: bool) -> None:
        """Close clients' connections without cutting off requests, or accept clients again. Idempotent."""
        if drained is self.drained:
            return
        self.drained, self.closes_after_answer = drained, False
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if drained:
            self.sweep_timer = asyncio.get_running_loop().call_later(
                DRAIN_GRACE_S, self._close_idle_while_draining
            )

    def _close_idle_while_draining(self) -> None:
        loop = asyncio.get_running_loop()
        self.closes_after_answer = True  # from now on busy connections are closed after their answer
        for client in list(self.connections):
            if loop.time() - client.last_data_at >= DRAIN_IDLE_S:
                client.close_if_idle()
        self.sweep_timer = loop.call_later(DRAIN_SWEEP_S, self._close_idle_while_draining)

    def listen(self, sock: socket.socket) -> int:
        """Accept clients on this socket; returns its port."""
        self.acceptor = Acceptor(sock, lambda: ClientConnection(self), MAX_ACCEPTS_PER_ITERATION)
        return self.acceptor.port

    def connection_joined(self, client: ClientConnection) -> None:
        """Add a connection; if there are too many, another one is closed."""
        self.connections[client] = None
        if len(self.connections) > self.max_clients:  # to keep to the limits on open files and memory
            self._make_room(client)

    def _make_room(self, newcomer: ClientConnection) -> None:
        # Least recently used first.
        others = [c for c in self.connections if c is not newcomer and not c.pending_replies]
        closable = next((c for c in others if c.is_between_requests and not c.has_unread_bytes), None)
        # All others have partial requests or are about to be answered: the one idle longest is stalled.
        closable = closable or next((c for c in others if c.reader.has_partial_request), newcomer)
        # Removed at once, or the next to join in this iteration of the loop would choose the same one.
        self.connection_left(closable)
        closable.reject()

    def connection_left(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(client, None)
        self.lingering.pop(client, None)

    def connection_lingers(self, client: ClientConnection) -> None:
        """Keep a connection that is read until its end; only few, as each occupies a descriptor."""
        self.connection_left(client)
        self.lingering[client] = None
        if len(self.lingering) > max(2, self.max_clients // LINGERING_DIVISOR):
            next(iter(self.lingering)).transport.abort()

    @property
    def is_empty(self) -> bool:
        """Whether no client is connected or about to be."""
        return not (self.connections or self.lingering or self.acceptor and self.acceptor.pending_joins)

    def touch(self, client: ClientConnection) -> None:
        """Mark a connection as the most recently used."""
        if client in self.connections:
            self.connections[client] = self.connections.pop(client)

    @property
    def is_listening(self) -> bool:
        """Whether new clients are accepted."""
        return self.acceptor is not None and self.acceptor.is_open

    def stop_listening(self) -> None:
        """Accept the clients that the kernel has accepted already, then no more."""
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if self.acceptor is not None:
            self.acceptor.close()

    def carry(self, payload: HandoverPayload, limit: int) -> list[list[Any]]:
        """Return up to `limit` connections to hand over to the next process, the most recently used ones.

        Between two turns no answer is pending on them.
        """
        return [
            [
                payload.add_descriptor(c.fileno),
                c.reader.carry(),
                c.last_data_at,
                c.last_request_at,
                c.request_began_at,
                c.awaits_first_byte,
            ]
            for c in list(self.connections)[-limit:]
            if c.can_be_handed_over
        ]

    def resume(self, sock: socket.socket, *carried: Any) -> None:
        """Go on with a connection that the previous process handed over at an upgrade."""
        assert self.acceptor is not None
        self.acceptor.join(sock, lambda: ClientConnection(self, carried))

    def close_idle(self) -> None:
        """Close the connections that are between requests.

        Others would lose their request. New connections are spared: their first request may be in transit.
        """
        now = asyncio.get_running_loop().time()
        for client in list(self.connections):
            if client.has_sent_request or now - client.last_request_at >= FIRST_REQUEST_GRACE_S:
                client.close_if_idle()

    def reject_all(self) -> None:
        """Reject incomplete requests on all connections, as the process ends."""
        for client in list(self.connections):
            client.reject()
