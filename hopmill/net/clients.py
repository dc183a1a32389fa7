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

# A peer may be quiet for so long, in seconds: with no request, half way through one, or with answers to read.
# TERMS owes an error line or a close in 3 s, and lets idle connections be closed after 2 s: clients may only
# have so many, and those kept idle are missing for others. A request that comes slowly may take
# MAX_REQUEST_S.
REQUEST_TIMEOUT_S, MAX_REQUEST_S = 2.05, 2.8
BACKLOG = 512  # connections that wait to be accepted
# A drain, in seconds: the front asks ten times a second, and new clients come until 0.2 s after a no. From
# DRAIN_GRACE_S on connections are closed between requests, those of quiet clients once quiet for
# DRAIN_IDLE_S.
DRAIN_GRACE_S, DRAIN_IDLE_S, DRAIN_SWEEP_S = 0.5, 0.2, 0.05
# After the last answer, in seconds: what still comes is read away, and a client that never had an answer may
# be that much older than its first request.
LINGER_S, FIRST_REQUEST_GRACE_S = 0.15, 0.4
MAX_ERROR_BYTES = 200
LINGERING_DIVISOR = 10
MAX_ACCEPTS_PER_TURN = 16  # in one turn of the loop
MAX_REQUESTS_PER_TURN = 32  # of one client before others have their turn
MAX_INVALID_REQUESTS = 16  # values in a row: what sends more of them is no client
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
        self.is_lingering = self.peer_sent_eof = False  # this side, that side has said that it sends no more
        self.has_served = bool(carried)  # has had a proper request
        self.invalid_count = 0  # values since the last proper one
        self.resume_handle: asyncio.Handle | None = None  # with what is read and not handled yet
        self.last_data_at = 0.0  # when it last sent anything, or connected
        self.last_request_at = 0.0  # when its newest proper request was whole, or it connected
        self.request_began_at = 0.0  # when what came after that began; the first with the connection
        self.awaits_first_byte = False  # nothing has come since that request
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None  # for the next request

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
            is_late = self.is_closing or self.writing_paused  # for its answers, from now on
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
        if self.is_closing or self.transport.get_write_buffer_size():  # it does not read either
            self.transport.abort()
        elif self._deadline() > loop.time():
            self._ensure_timer()
        elif (
            not self.reader.has_partial_request and self.has_unread_bytes
        ):  # its next request, in this very moment
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
        self.transport.pause_reading()  # one that does not read its answers is not read from either

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
        except ProtocolError as error:  # where the next request begins can't be known any more
            self.is_closing = True
            self._add_reply().send(b"-ERR Protocol error: %s\r\n" % _one_line(str(error)))
        if not self.resume_handle and not self.writing_paused and not self.is_closing:
            self.transport.resume_reading()
        self._ensure_timer()

    def _process_later(self) -> None:
        self.transport.pause_reading()  # its end too is heard after what came before it
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
        self.invalid_count += 1  # deadline it is known to be proper
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
        if answers and not self.is_lost and not self.transport.is_closing():  # broken, and not lost yet
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
        self.reader = RequestReader()  # a crowd that is turned away holds no memory while it goes
        self._stop_timer()
        if self.peer_sent_eof:
            self.transport.close()
            return
        try:
            self.transport.write_eof()  # once what is buffered is written
        except OSError:  # reset, and not read yet
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
        self.connections: dict[ClientConnection, None] = {}  # the longest unused first
        self.lingering: dict[ClientConnection, None] = {}  # those that are read away, the oldest first
        self.acceptor: Acceptor | None = None
        self.drained = self.closes_after_answer = (
            False  # PING is answered no; connections are closed between requests
        )
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
        self.closes_after_answer = True  # from here on each is closed after its answer, too
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
        if len(self.connections) > self.max_clients:  # open files and memory must stay under their limits
            self._make_room(client)

    def _make_room(self, newcomer: ClientConnection) -> None:
        others = [
            c for c in self.connections if c is not newcomer and not c.pending_replies
        ]  # the longest quiet first
        closable = next((c for c in others if c.is_between_requests and not c.has_unread_bytes), None)
        # All others are half way, or answered in a moment: the one that has been quiet longest is stalled.
        closable = closable or next((c for c in others if c.reader.has_partial_request), newcomer)
        self.connection_left(
            closable
        )  # or the next to join in this turn of the loop would close the same again
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
