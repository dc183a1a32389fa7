"""Connections of the clients that submit messages (RESP2)."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections import deque
from typing import TYPE_CHECKING, Any

from hopmill import logs
from hopmill.net.peer_state import PeerState, peer_state
from hopmill.net.put import BadRequestError, parse_put
from hopmill.net.resp import MALFORMED, MalformedValue, ProtocolError, RequestReader

if TYPE_CHECKING:
    from hopmill.net.client_server import ClientServer

# A client without a request, in the middle of one, or with unread answers is closed once it has been idle for
# this time. The platform requires that an incomplete request is answered with an error line or a close within
# 3 s. It allows idle connections to be closed after 2 s; their number is limited, so idle ones keep other
# clients out.
REQUEST_TIMEOUT_S = 2.05
MAX_REQUEST_S = 2.8  # for a request that arrives slowly
MAX_PLACE_WAIT_S = 0.3  # of a large request; clients wait 0.4 s for an answer
# After an operator drains the courier, connections are closed between requests from this time on. The load
# balancer sends a PING ten times a second, and new clients may come until 0.2 s after the first error answer.
DRAIN_GRACE_S = 0.5
LINGER_S = 0.15  # after the last answer a connection is read for this time, and what comes is discarded
MAX_ERROR_BYTES = 200  # of the text of an error answer
UNREAD_ANSWER_POLL_S = 0.02  # of a client that sends no more
MAX_UNREAD_ANSWER_BYTES = 16 * 1024  # buffered for a client; no request of it is handled meanwhile
MAX_REQUESTS_PER_TURN = 8  # handled for one client before other clients' requests
MAX_INVALID_REQUESTS = 16  # in a row; a peer that sends more is disconnected
NO_WHOLE_REQUEST = b"-ERR no whole request in time\r\n"
POSITIVE = b"+"  # the first byte of the answer that a message is accepted
OVERLOADED = b"-BUSY 1000\r\n"  # refused before it was read: it may be submitted again after so many ms
log = logs.part("clients")


class Reply:
    """The place of one answer in its connection: answers are sent in the order of their requests."""

    def __init__(self, client: ClientConnection) -> None:
        self.client, self.data = client, b""
        self.is_begun = False  # the first byte of a positive answer is written

    def begin_positive(self) -> bool:
        """Return whether the client is still there to be told that its message is accepted.

        Of a client that sends no more only an answer shows whether it still reads. In that case the first
        byte of the answer is written, and a refusal can no longer be.
        """
        return self.client.begin_positive(self)

    def send(self, data: bytes) -> None:
        """Answer the request; only the first answer counts."""
        if self.data:
            return
        if self.is_begun and not data.startswith(POSITIVE):
            self.client.drop()
            return
        self.data = data[len(POSITIVE) :] if self.is_begun else data
        self.client.flush()


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection.

    What it occupies is bounded: its data is read in small parts and handled in turns with other clients'
    (ClientTurns), and a large request needs a place (LargeRequests).

    carried: what the previous process handed over at an upgrade: state of the reader, last_data_at,
    last_request_at, request_began_at, awaits_first_byte. It is empty for a new connection.
    """

    def __init__(self, server: ClientServer, carried: tuple[Any, ...] = ()) -> None:
        self.server, self.carried = server, carried
        self.reader = RequestReader()
        self.pending_replies: deque[Reply] = deque()
        self.is_lost = self.is_closing = self.writing_paused = False
        self.waits_for_place = False  # it is in the middle of a large request and not read for now
        # Whether this side, and whether the peer, has announced that it sends no more.
        self.is_lingering = self.peer_sent_eof = False
        self.has_sent_request = bool(carried)  # it has sent a valid request
        self.invalid_count = 0  # requests since the last valid one
        self.last_data_at = 0.0  # when it last sent data, or connected; these times are the event loop's
        self.last_request_at = 0.0  # when its last valid request was complete, or it connected
        self.request_began_at = 0.0  # first byte after that request, or time of connection
        self.awaits_first_byte = False  # no byte has arrived since that request
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None  # for the next request, reading answers or lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start, or go on from what the previous process handed over."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWER_BYTES)
        self.last_data_at = self.last_request_at = self.request_began_at = asyncio.get_running_loop().time()
        if self.carried:
            reader, self.last_data_at, self.last_request_at, self.request_began_at, self.awaits_first_byte = (
                self.carried
            )
            self.reader.resume(reader)
            self.server.turns.add(self)
        self._ensure_timer()
        self.server.connection_joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what is scheduled and leave the server."""
        self.is_lost = True
        self._stop_timer()
        self.server.connection_left(self)

    def drop(self) -> None:
        """Forget a client that has left; nothing of what it has sent is handled any more."""
        self.is_lost = self.is_closing = True
        self.reader = RequestReader()
        self.transport.abort()

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
        if self.waits_for_place:
            return self.last_data_at + MAX_PLACE_WAIT_S
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
        elif self.waits_for_place:
            self.turn_away()
        else:
            self.reject()

    def reject(self) -> None:
        """Close the connection; an incomplete request gets an error line first."""
        self.is_closing = True
        if self.reader.has_partial_request:
            self._add_reply().send(NO_WHOLE_REQUEST)
        self.flush()
        self._ensure_timer()

    def turn_away(self) -> None:
        """Close the connection for lack of room, and tell when to come again."""
        self.is_closing = True
        self._add_reply().send(OVERLOADED)
        self.flush()
        self._ensure_timer()

    def eof_received(self) -> bool:
        """Close, but only after the requests before it and their answers."""
        self.peer_sent_eof = True
        if self.is_closing:
            return bool(self.pending_replies)
        self.server.turns.add(self)
        return True

    def pause_writing(self) -> None:
        """Stop reading while the client does not read its answers."""
        self.writing_paused = True
        self._ensure_timer()
        self.transport.pause_reading()  # no new requests from a client that does not read its answers

    def resume_writing(self) -> None:
        """Go on with the requests that were read meanwhile."""
        self.writing_paused = False
        self._ensure_timer()
        self.server.turns.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read into: memory that all clients share, since it is copied at once."""
        return self.server.receive_buffer

    def buffer_updated(self, count: int) -> None:
        """Process what was read."""
        self.data_received(self.server.receive_buffer[:count])

    def data_received(self, data: bytes | memoryview) -> None:
        """Keep what was received until the client has its turn; ignored once the connection is closing."""
        if self.is_closing:
            return
        self.server.touch(self)
        self.last_data_at = asyncio.get_running_loop().time()
        self.reader.feed(data)
        self._note_request_start()
        if len(self.reader.buffer) >= len(self.server.receive_buffer):
            self.transport.pause_reading()
        self.server.turns.add(self)

    def process_some(self) -> bool:
        """Handle a few requests; return whether there may be more to handle now."""
        if self.is_lost:
            return False
        has_more = False
        try:
            has_more = self._handle_some()
            self._note_request_start()
        except ProtocolError as error:  # the start of the next request cannot be determined
            self.is_closing = True
            self._add_reply().send(b"-ERR Protocol error: %s\r\n" % _one_line(str(error)))
        if not self.is_lost:
            self._read_on(has_more)
            self._ensure_timer()
        return has_more

    def _handle_some(self) -> bool:
        for _ in range(MAX_REQUESTS_PER_TURN):
            if not self._may_handle_next() or (request := self.reader.next_request()) is None:
                return False
            self._handle(request)
            if self.invalid_count > MAX_INVALID_REQUESTS:
                self.is_closing = True
                self.flush()
        return True

    def _may_handle_next(self) -> bool:
        """Return whether the next request may be handled now.

        The requests of a client that sends no more are handled one at a time: the answer to one shows
        whether the client has left the others behind.
        """
        if self.is_closing or self.writing_paused or not self.reader.buffer:
            return False
        state = self._peer_state()
        if state is PeerState.GONE:
            self.drop()
        return state is PeerState.CONNECTED or (
            state is PeerState.FINISHED
            and not self.pending_replies
            and not self.transport.get_write_buffer_size()
        )

    def _peer_state(self) -> PeerState:
        if self.is_lost or self.transport.is_closing():
            return PeerState.GONE
        return peer_state(self.transport.get_extra_info("socket"))

    def begin_positive(self, reply: Reply) -> bool:
        """See Reply.begin_positive."""
        state = self._peer_state()
        is_first = bool(self.pending_replies) and self.pending_replies[0] is reply
        is_next = is_first and not self.transport.get_write_buffer_size()
        if state is PeerState.FINISHED and is_next:
            self.transport.write(POSITIVE)
            reply.is_begun = True
            state = self._peer_state()
        if state is PeerState.GONE:
            self.drop()
        return state is not PeerState.GONE

    def _read_on(self, has_more: bool) -> None:
        """Read the client further, unless it waits for its turn, for a place, or has to read its answers."""
        if self.is_closing or self.writing_paused:
            return
        if has_more:
            self.transport.pause_reading()
        elif self.peer_sent_eof and self.transport.get_write_buffer_size():
            # Its next request is handled once it has read the answers before.
            asyncio.get_running_loop().call_later(UNREAD_ANSWER_POLL_S, self.server.turns.add, self)
        elif self.peer_sent_eof and not self.pending_replies:
            self.is_closing = True
            self.flush()
        elif not self.peer_sent_eof:
            held_bytes = self.reader.partial_bytes + self.transport.get_write_buffer_size()
            self.waits_for_place = not self.server.large_requests.may_grow(self, held_bytes)
            if self.waits_for_place:
                self._stop_timer()  # the one for a wait for a place is shorter
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def place_granted(self) -> None:
        """Go on reading a large request."""
        self.waits_for_place = False
        if not (self.is_closing or self.writing_paused):
            self.last_data_at = asyncio.get_running_loop().time()  # it could not be read meanwhile
            self.transport.resume_reading()

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
        elif answers and not self.pending_replies and (self.peer_sent_eof or self.reader.buffer):
            self.server.turns.add(self)  # the next request of a client that sends no more had to wait

    def _start_linger(self) -> None:
        """Send EOF, and read and discard what the client still sends.

        Closing a connection with unread data resets it, and answers in transit may be lost. Nothing read from
        here on is accepted: the client sees EOF and submits the request on another connection.
        """
        if self.is_lingering or self.is_lost or self.transport.is_closing():
            return
        self.is_closing = self.is_lingering = True
        self.reader = RequestReader()  # many lingering connections must not hold memory
        self.waits_for_place = False
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
