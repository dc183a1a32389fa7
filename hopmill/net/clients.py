"""The RESP2 server that clients hand messages in at."""

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

# In seconds. A client without a request, in the middle of one, or with unread answers is closed once it has
# been idle for REQUEST_TIMEOUT_S: the platform's terms require an error line or a close within 3 s and allow
# idle connections to be closed after 2 s, and their number is limited, so idle ones keep other clients out.
# A request that arrives slowly may take MAX_REQUEST_S.
REQUEST_TIMEOUT_S, MAX_REQUEST_S = 2.05, 2.8
BACKLOG = 512  # connections waiting to be accepted
# In seconds after an operator drains the courier. The load balancer asks ten times a second, and new clients
# may come until 0.2 s after the first error answer. From DRAIN_GRACE_S on connections are closed between
# requests, those of idle clients after DRAIN_IDLE_S without data.
DRAIN_GRACE_S, DRAIN_IDLE_S, DRAIN_SWEEP_S = 0.5, 0.2, 0.05
# In seconds. After the last answer a connection is read for LINGER_S, and what comes is discarded. A client
# that has not sent its first request yet may take FIRST_REQUEST_GRACE_S before it counts as idle.
LINGER_S, FIRST_REQUEST_GRACE_S = 0.15, 0.4
MAX_ERROR_BYTES = 200  # of the text of an error answer
LINGERING_DIVISOR = 10  # one in so many of the clients' connections may linger
MAX_ACCEPTS_PER_TURN = 16  # new connections in one iteration of the event loop
MAX_REQUESTS_PER_TURN = 32  # handled for one client before other clients' requests
MAX_INVALID_REQUESTS = 16  # in a row; a peer that sends more is disconnected
log = logs.part("clients")


class Reply:
    """The place of one answer; answers leave in the order of their requests."""

    def __init__(self, client: ClientConnection) -> None:
        self.client, self.text = client, b""

    @property
    def is_wanted(self) -> bool:
        return not self.client.is_lost

    def send(self, text: bytes) -> None:
        if not self.text:
            self.text = text
            self.client.flush()


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: ClientServer, carried: tuple[Any, ...] = ()) -> None:
        self.server, self.carried = server, carried
        self.reader = RequestReader()
        self.pending_replies: deque[Reply] = deque()
        self.is_lost = self.is_closing = self.writing_paused = False
        # Whether this side, and whether the peer, has announced that it sends no more.
        self.is_lingering = self.peer_sent_eof = False
        self.has_served = bool(carried)  # it has sent a valid request
        self.invalid_count = 0  # requests since the last valid one
        self.resume_handle: asyncio.Handle | None = None  # set while data waits to be processed
        self.last_data_at = 0.0  # when it last sent data, or connected; these times are the event loop's
        self.last_request_at = 0.0  # when its last valid request was complete, or it connected
        self.request_began_at = 0.0  # first byte after that request, or time of connection
        self.awaits_first_byte = False  # no byte has arrived since that request
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None  # for the next request, reading answers or lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
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
        self.is_lost = True
        self._stop_timer()
        if self.resume_handle:
            self.resume_handle.cancel()
        self.server.connection_left(self)

    def _ensure_timer(self) -> None:
        """The time for the next proper request, or for reading the answers, runs unless it does already."""
        if self.timer is None and not self.is_lost:
            loop = asyncio.get_running_loop()
            is_late = self.is_closing or self.writing_paused  # must read its answers within the time-out
            self.timer = loop.call_at(
                loop.time() + REQUEST_TIMEOUT_S if is_late else self._deadline(), self._on_timeout
            )

    def _deadline(self) -> float:
        """It only moves on, so a timer set for an earlier one asks again."""
        if self.reader.has_partial_request:
            return min(self.last_data_at + REQUEST_TIMEOUT_S, self.request_began_at + MAX_REQUEST_S)
        return self.last_request_at + REQUEST_TIMEOUT_S

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self) -> None:
        """Nothing else ends a peer that sends nothing, or never ends its request, and holds a descriptor."""
        self.timer = None
        loop = asyncio.get_running_loop()
        if self.is_closing or self.transport.get_write_buffer_size():  # it does not read its answers
            self.transport.abort()
        elif self._deadline() > loop.time():
            self._ensure_timer()
        elif not self.reader.has_partial_request and self.has_unread_bytes:  # its next request is arriving
            self.timer = loop.call_later(LINGER_S, self._on_timeout)
        else:
            self.reject()

    def reject(self) -> None:
        """An error line for what will not be whole, if anything; then the end."""
        self.is_closing = True
        if self.reader.has_partial_request:
            self._add_reply().send(b"-ERR no whole request in time\r\n")
        self.flush()
        self._ensure_timer()

    def eof_received(self) -> bool:
        """A client that has peer_sent_eof its sending still gets the answers that it waits for."""
        self.is_closing = self.peer_sent_eof = True
        return bool(self.pending_replies)

    def pause_writing(self) -> None:
        self.writing_paused = True
        self._ensure_timer()
        self.transport.pause_reading()  # no new requests from a client that does not read its answers

    def resume_writing(self) -> None:
        self.writing_paused = False
        self._ensure_timer()
        self._process_later()

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            return
        self.server.touch(self)
        self.last_data_at = asyncio.get_running_loop().time()
        self.reader.feed(data)
        if self.resume_handle is None:
            self._process_requests()

    def _process_requests(self) -> None:
        """Some requests; what one client sends at once must not hold all others."""
        self.resume_handle = None
        try:
            self._note_request_start()
            for _ in range(MAX_REQUESTS_PER_TURN):
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
        """The time of a request runs from its first byte; improper ones before it give it none anew."""
        if self.awaits_first_byte and self.reader.has_partial_request:
            self.awaits_first_byte, self.request_began_at = False, self.last_data_at

    def _request_completed(self) -> None:
        """A proper request is whole: the time for the next one counts anew."""
        self.last_request_at, self.awaits_first_byte, self.has_served, self.invalid_count = (
            self.last_data_at,
            True,
            True,
            0,
        )

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
        answers = []
        while self.pending_replies and self.pending_replies[0].text:
            answers.append(self.pending_replies.popleft().text)
        # The transport may be closing before connection_lost is called.
        if answers and not self.is_lost and not self.transport.is_closing():
            self.transport.write(b"".join(answers))
        if self.is_closing and not self.pending_replies:
            self._start_linger()
        elif answers and self.server.closes_after_answer:
            self.close_if_idle()

    def _start_linger(self) -> None:
        """Say that nothing more comes, and read away what the client still sends: a connection that is closed
        over unread bytes is reset, and answers under way may go with it. What is read from here on is never
        taken on: the client sees the end, and hands it in on another connection."""
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
        return not self.pending_replies and not self.reader.has_partial_request

    @property
    def has_unread_bytes(self) -> bool:
        """Bytes have come that are not read yet: a close now would cut a request."""
        return any(fcntl.ioctl(self.fileno, termios.FIONREAD, bytes(4)))

    @property
    def fileno(self) -> int:
        return self.transport.get_extra_info("socket").fileno()

    @property
    def can_be_handed_over(self) -> bool:
        """Open, with nothing that this process still has to write or to end."""
        ending = self.is_lost or self.is_closing or self.writing_paused or self.transport.is_closing()
        return not ending and not self.pending_replies and not self.transport.get_write_buffer_size()

    def close_if_idle(self) -> None:
        """Close if that cuts nothing."""
        if self.is_between_requests and not self.transport.is_closing() and not self.has_unread_bytes:
            self._start_linger()


def _one_line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:MAX_ERROR_BYTES]


class ClientServer:
    """Accepts clients; `put` takes what they hand in."""

    def __init__(self, put: Callable[[Put, Reply], None], max_clients: int) -> None:
        self.put, self.max_clients = put, max_clients
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        self.lingering: dict[ClientConnection, None] = {}  # being read until their end, oldest first
        self.acceptor: Acceptor | None = None
        # Whether PING is answered with an error; whether connections are closed between requests.
        self.drained = self.closes_after_answer = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    def set_drained(self, drained: bool) -> None:
        """Send clients away, cutting nothing, or take them again. Repeats change nothing."""
        if drained is self.drained:
            return
        self.drained, self.closes_after_answer = drained, False
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if drained:
            self.sweep_timer = asyncio.get_running_loop().call_later(DRAIN_GRACE_S, self._close_quiet)

    def _close_quiet(self) -> None:
        loop = asyncio.get_running_loop()
        self.closes_after_answer = True  # from now on busy connections are closed after their answer
        for client in list(self.connections):
            if loop.time() - client.last_data_at >= DRAIN_IDLE_S:
                client.close_if_idle()
        self.sweep_timer = loop.call_later(DRAIN_SWEEP_S, self._close_quiet)

    def listen(self, sock: socket.socket) -> int:
        """Take clients; returns the port."""
        self.acceptor = Acceptor(sock, lambda: ClientConnection(self), MAX_ACCEPTS_PER_TURN)
        return self.acceptor.port

    def connection_joined(self, client: ClientConnection) -> None:
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
        self.connections.pop(client, None)
        self.lingering.pop(client, None)

    def connection_lingers(self, client: ClientConnection) -> None:
        """They hold descriptors too, so only few may."""
        self.connection_left(client)
        self.lingering[client] = None
        if len(self.lingering) > max(2, self.max_clients // LINGERING_DIVISOR):
            next(iter(self.lingering)).transport.abort()

    @property
    def is_empty(self) -> bool:
        """Nobody is connected, or about to be."""
        return not (self.connections or self.lingering or self.acceptor and self.acceptor.pending_joins)

    def touch(self, client: ClientConnection) -> None:
        if client in self.connections:
            self.connections[client] = self.connections.pop(client)

    @property
    def is_listening(self) -> bool:
        return self.acceptor is not None and self.acceptor.is_open

    def stop_listening(self) -> None:
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if self.acceptor is not None:
            self.acceptor.close()

    def carry(self, payload: HandoverPayload, limit: int) -> list[list[Any]]:
        """The connections, limit recently used last; nothing is pending on them between two turns."""
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
        """Go on with a connection of the process before this one."""
        assert self.acceptor is not None
        self.acceptor.join(sock, lambda: ClientConnection(self, carried))

    def close_idle(self) -> None:
        """Close those between requests: one with a request unanswered would lose it. The first request of one
        that has just connected may be under way."""
        now = asyncio.get_running_loop().time()
        for client in list(self.connections):
            if client.has_served or now - client.last_request_at >= FIRST_REQUEST_GRACE_S:
                client.close_if_idle()

    def reject_all(self) -> None:
        """The process ends: whatever is not whole by now will not be."""
        for client in list(self.connections):
            client.reject()
