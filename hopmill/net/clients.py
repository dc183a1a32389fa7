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
from hopmill.net.resp import IMPROPER, Improper, ProtocolError, RequestReader
from hopmill.net.upgrade import HandoverPayload

# A peer may be quiet for so long, in seconds: with no request, half way through one, or with answers to read.
# TERMS owes an error line or a close in 3 s, and lets idle connections be closed after 2 s: clients may only
# have so many, and those kept idle are missing for others. A request that comes slowly may take MOST_S.
REQUEST_S, MOST_S = 2.05, 2.8
BACKLOG = 512  # connections that wait to be accepted
# A drain, in seconds: the front asks ten times a second, and new clients come until 0.2 s after a no. From
# EMPTY_S on connections are closed between requests, those of quiet clients once quiet for QUIET_S.
EMPTY_S, QUIET_S, SWEEP_S = 0.5, 0.2, 0.05
# After the last answer, in seconds: what still comes is read away, and a client that never had an answer may
# be that much older than its first request.
LINGER_S, FIRST_S = 0.15, 0.4
ACCEPTS = 16  # in one turn of the loop
REQUESTS = 32  # of one client before others have their turn
MOST_IMPROPER = 16  # values in a row: what sends more of them is no client
log = logs.part("clients")


class Reply:
    """The place of one answer; answers leave in the order of their requests."""

    def __init__(self, client: Client) -> None:
        self.client, self.text = client, b""

    @property
    def is_wanted(self) -> bool:
        return not self.client.gone

    def send(self, text: bytes) -> None:
        if not self.text:
            self.text = text
            self.client.flush()


class Client(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: ClientServer, carried: tuple[Any, ...] = ()) -> None:
        self.server, self.carried = server, carried
        self.reader = RequestReader()
        self.pending: deque[Reply] = deque()
        self.gone = self.closing = self.paused = False
        self.leaving = self.ended = False  # this side, that side has said that it sends no more
        self.served = bool(carried)  # has had a proper request
        self.improper = 0  # values since the last proper one
        self.going_on: asyncio.Handle | None = None  # with what is read and not handled yet
        self.heard_at = 0.0  # when it last sent anything, or connected
        self.proper_at = 0.0  # when its newest proper request was whole, or it connected
        self.begun_at = 0.0  # when what came after that began; the first with the connection
        self.fresh = False  # nothing has come since that request
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None  # for the next request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.heard_at = self.proper_at = self.begun_at = asyncio.get_running_loop().time()
        if self.carried:
            reader, self.heard_at, self.proper_at, self.begun_at, self.fresh = self.carried
            self.reader.resume(reader)
            self._go_on_later()
        self._review()
        self.server.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True
        self._stop_timer()
        if self.going_on:
            self.going_on.cancel()
        self.server.left(self)

    def _review(self) -> None:
        """The time for the next proper request, or for reading the answers, runs unless it does already."""
        if self.timer is None and not self.gone:
            loop = asyncio.get_running_loop()
            late = self.closing or self.paused  # for its answers, from now on
            self.timer = loop.call_at(loop.time() + REQUEST_S if late else self._due(), self._overdue)

    def _due(self) -> float:
        """It only moves on, so a timer set for an earlier one asks again."""
        if self.reader.has_partial_request:
            return min(self.heard_at + REQUEST_S, self.begun_at + MOST_S)
        return self.proper_at + REQUEST_S

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _overdue(self) -> None:
        """Nothing else ends a peer that sends nothing, or never ends its request, and holds a descriptor."""
        self.timer = None
        loop = asyncio.get_running_loop()
        if self.closing or self.transport.get_write_buffer_size():  # it does not read either
            self.transport.abort()
        elif self._due() > loop.time():
            self._review()
        elif not self.reader.has_partial_request and self.unheard:  # its next request, in this very moment
            self.timer = loop.call_later(LINGER_S, self._overdue)
        else:
            self.turn_away()

    def turn_away(self) -> None:
        """An error line for what will not be whole, if anything; then the end."""
        self.closing = True
        if self.reader.has_partial_request:
            self._reply().send(b"-ERR no whole request in time\r\n")
        self.flush()
        self._review()

    def eof_received(self) -> bool:
        """A client that has ended its sending still gets the answers that it waits for."""
        self.closing = self.ended = True
        return bool(self.pending)

    def pause_writing(self) -> None:
        self.paused = True
        self._review()
        self.transport.pause_reading()  # one that does not read its answers is not read from either

    def resume_writing(self) -> None:
        self.paused = False
        self._review()
        self._go_on_later()

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.server.touch(self)
        self.heard_at = asyncio.get_running_loop().time()
        self.reader.feed(data)
        if self.going_on is None:
            self._go_on()

    def _go_on(self) -> None:
        """Some requests; what one client sends at once must not hold all others."""
        self.going_on = None
        try:
            self._begin()
            for _ in range(REQUESTS):
                if self.closing or self.paused or (request := self.reader.next()) is None:
                    break
                self._handle(request)
                if self.improper > MOST_IMPROPER:
                    self.closing = True
                    self.flush()
            else:
                self._go_on_later()
            self._begin()
        except ProtocolError as error:  # where the next request begins can't be known any more
            self.closing = True
            self._reply().send(b"-ERR Protocol error: %s\r\n" % _line(str(error)))
        if not self.going_on and not self.paused and not self.closing:
            self.transport.resume_reading()
        self._review()

    def _go_on_later(self) -> None:
        self.transport.pause_reading()  # its end too is heard after what came before it
        self.going_on = asyncio.get_running_loop().call_soon(self._go_on)

    def _begin(self) -> None:
        """The time of a request runs from its first byte; improper ones before it give it none anew."""
        if self.fresh and self.reader.has_partial_request:
            self.fresh, self.begun_at = False, self.heard_at

    def _proper(self) -> None:
        """A proper request is whole: the time for the next one counts anew."""
        self.proper_at, self.fresh, self.served, self.improper = self.heard_at, True, True, 0

    def _reply(self) -> Reply:
        self.pending.append(Reply(self))
        return self.pending[-1]

    def _handle(self, request: list[bytes] | Improper) -> None:
        reply = self._reply()
        self.improper += 1  # until it is known to be proper
        if request is IMPROPER:
            reply.send(b"-ERR expected an array of bulk strings\r\n")
            return
        name = request[0].upper()
        if name == b"PING" and len(request) <= 2:
            self._proper()
            if self.server.drained:
                reply.send(b"-ERR drained by an operator\r\n")
            else:
                reply.send(b"$%d\r\n%s\r\n" % (len(request[1]), request[1]) if request[1:] else b"+PONG\r\n")
        elif name == b"MSG.PUT":
            try:
                self.server.put(parse_put(request[1:]), reply)
                self._proper()
            except BadRequestError as error:
                log.warning("put.improper", error=error)
                reply.send(b"-ERR %s\r\n" % _line(str(error)))
        elif name == b"QUIT":
            self.closing = True
            reply.send(b"+OK\r\n")
        else:
            reply.send(b"-ERR unknown command\r\n")

    def flush(self) -> None:
        out = []
        while self.pending and self.pending[0].text:
            out.append(self.pending.popleft().text)
        if out and not self.gone and not self.transport.is_closing():  # broken, and not lost yet
            self.transport.write(b"".join(out))
        if self.closing and not self.pending:
            self._leave()
        elif out and self.server.emptying:
            self.finish()

    def _leave(self) -> None:
        """Say that nothing more comes, and read away what the client still sends: a connection that is closed
        over unread bytes is reset, and answers under way may go with it. What is read from here on is never
        taken on: the client sees the end, and hands it in on another connection."""
        if self.leaving or self.gone or self.transport.is_closing():
            return
        self.closing = self.leaving = True
        self.reader = RequestReader()  # a crowd that is turned away holds no memory while it goes
        self._stop_timer()
        if self.ended:
            self.transport.close()
            return
        try:
            self.transport.write_eof()  # once what is buffered is written
        except OSError:  # reset, and not read yet
            self.transport.abort()
            return
        self.transport.resume_reading()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LINGER_S, self._lingered, loop.time() + REQUEST_S)
        self.server.lingers(self)

    def _lingered(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        if self.transport.get_write_buffer_size() and loop.time() < until:
            self.timer = loop.call_later(LINGER_S, self._lingered, until)
        else:
            self.transport.abort()

    @property
    def between_requests(self) -> bool:
        return not self.pending and not self.reader.has_partial_request

    @property
    def unheard(self) -> bool:
        """Bytes have come that are not read yet: a close now would cut a request."""
        return any(fcntl.ioctl(self.fileno, termios.FIONREAD, bytes(4)))

    @property
    def fileno(self) -> int:
        return self.transport.get_extra_info("socket").fileno()

    @property
    def steady(self) -> bool:
        """Open, with nothing that this process still has to write or to end."""
        ending = self.gone or self.closing or self.paused or self.transport.is_closing()
        return not ending and not self.pending and not self.transport.get_write_buffer_size()

    def finish(self) -> None:
        """Close if that cuts nothing."""
        if self.between_requests and not self.transport.is_closing() and not self.unheard:
            self._leave()


def _line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:200]


class ClientServer:
    """Accepts clients; `put` takes what they hand in."""

    def __init__(self, put: Callable[[Put, Reply], None], max_clients: int) -> None:
        self.put, self.max_clients = put, max_clients
        self.connections: dict[Client, None] = {}  # the longest unused first
        self.lingering: dict[Client, None] = {}  # those that are read away, the oldest first
        self.acceptor: Acceptor | None = None
        self.drained = self.emptying = False  # PING is answered no; connections are closed between requests
        self.sweeping: asyncio.TimerHandle | None = None

    def set_drained(self, on: bool) -> None:
        """Send clients away, cutting nothing, or take them again. Repeats change nothing."""
        if on is self.drained:
            return
        self.drained, self.emptying = on, False
        if self.sweeping:
            self.sweeping.cancel()
        if on:
            self.sweeping = asyncio.get_running_loop().call_later(EMPTY_S, self._sweep)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.emptying = True  # from here on each is closed after its answer, too
        for client in list(self.connections):
            if loop.time() - client.heard_at >= QUIET_S:
                client.finish()
        self.sweeping = loop.call_later(SWEEP_S, self._sweep)

    def listen(self, sock: socket.socket) -> int:
        """Take clients; returns the port."""
        self.acceptor = Acceptor(sock, lambda: Client(self), ACCEPTS)
        return self.acceptor.port

    def joined(self, client: Client) -> None:
        self.connections[client] = None
        if len(self.connections) > self.max_clients:  # open files and memory must stay under their limits
            self._make_room(client)

    def _make_room(self, newcomer: Client) -> None:
        others = [
            c for c in self.connections if c is not newcomer and not c.pending
        ]  # the longest quiet first
        spare = next((c for c in others if c.between_requests and not c.unheard), None)
        # All others are half way, or answered in a moment: the one that has been quiet longest is stalled.
        spare = spare or next((c for c in others if c.reader.has_partial_request), newcomer)
        self.left(spare)  # or the next to join in this turn of the loop would close the same again
        spare.turn_away()

    def left(self, client: Client) -> None:
        self.connections.pop(client, None)
        self.lingering.pop(client, None)

    def lingers(self, client: Client) -> None:
        """They hold descriptors too, so only few may."""
        self.left(client)
        self.lingering[client] = None
        if len(self.lingering) > max(2, self.max_clients // 10):
            next(iter(self.lingering)).transport.abort()

    @property
    def empty(self) -> bool:
        """Nobody is connected, or about to be."""
        return not (self.connections or self.lingering or self.acceptor and self.acceptor.pending_joins)

    def touch(self, client: Client) -> None:
        if client in self.connections:
            self.connections[client] = self.connections.pop(client)

    @property
    def listening(self) -> bool:
        return self.acceptor is not None and self.acceptor.is_open

    def stop_listening(self) -> None:
        if self.sweeping:
            self.sweeping.cancel()
        if self.acceptor is not None:
            self.acceptor.close()

    def carry(self, payload: HandoverPayload, most: int) -> list[list[Any]]:
        """The connections, most recently used last; nothing is pending on them between two turns."""
        return [
            [payload.add_descriptor(c.fileno), c.reader.carry(), c.heard_at, c.proper_at, c.begun_at, c.fresh]
            for c in list(self.connections)[-most:]
            if c.steady
        ]

    def resume(self, sock: socket.socket, *carried: Any) -> None:
        """Go on with a connection of the process before this one."""
        assert self.acceptor is not None
        self.acceptor.join(sock, lambda: Client(self, carried))

    def close_idle(self) -> None:
        """Close those between requests: one with a request unanswered would lose it. The first request of one
        that has just connected may be under way."""
        now = asyncio.get_running_loop().time()
        for client in list(self.connections):
            if client.served or now - client.proper_at >= FIRST_S:
                client.finish()

    def turn_all_away(self) -> None:
        """The process ends: whatever is not whole by now will not be."""
        for client in list(self.connections):
            client.turn_away()
