"""The RESP2 server that clients hand messages in at."""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import re
import socket
import termios
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hopmill import logs
from hopmill.net.accept import Acceptor
from hopmill.net.resp import IMPROPER, MAX_BODY, Improper, ProtocolError, RequestReader
from hopmill.net.upgrade import Cargo

WORD = re.compile(rb"[\x21-\x7e]{1,256}")
# A peer may be quiet for so long, in seconds: with no request, half way through one, or with answers to read.
# TERMS owes an error line or a close in 3 s, and lets idle connections be closed after 2 s: clients may only
# have so many, and those kept idle are missing for others. A request that comes slowly may take MOST_S.
REQUEST_S, MOST_S = 2.05, 2.8
BACKLOG = 512  # connections that wait to be accepted
# A drain, in seconds: the front asks ten times a second, and new clients come until 0.2 s after a no. From
# EMPTY_S on connections are closed between requests, those of quiet clients once quiet for QUIET_S.
EMPTY_S, QUIET_S, SWEEP_S = 0.5, 0.2, 0.05
ACCEPTS = 16  # in one turn of the loop
MAX_DEST = 0xFFFF  # destinations have 16 bits
log = logs.part("clients")


class BadRequest(ValueError):
    """What is wrong with a request, for its -ERR."""


@dataclass(frozen=True)
class Put:
    """A message as it is handed in."""

    id: str
    order: int  # what messages of an ordered class share, 0 if nothing
    cls: str
    tenant: str | None
    life_ms: int
    dest: int
    key: str
    resubmitted: bool
    body: bytes


def _number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise BadRequest(f"{name}: must be a whole number")
    return int(value)


def order_key(text: bytes) -> int:
    """Any text as a number that is the same after a restart; zeros stand for none."""
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def parse_put(args: list[bytes]) -> Put:
    """The arguments of MSG.PUT."""
    if len(args) != 4:
        raise BadRequest("wrong number of arguments for 'MSG.PUT'")
    order, ident, named, body = args
    if not WORD.fullmatch(ident):
        raise BadRequest("id: must be printable characters")
    if len(body) > MAX_BODY:
        raise BadRequest("body: over 65536 bytes")
    try:
        fields = dict(pair.split("=", 1) for pair in named.decode().split(",") if pair)
    except ValueError:
        raise BadRequest("fields: must be name=value, with commas between") from None
    key = fields.get("k", "")
    if key and not WORD.fullmatch(key.encode()):
        raise BadRequest("k: must be printable characters")
    if "c" not in fields:
        raise BadRequest("c: lacks")
    dest = _number(fields, "dest")
    if dest > MAX_DEST:
        raise BadRequest(f"dest: over {MAX_DEST}")
    return Put(ident.decode(), order_key(order), fields["c"], fields.get("t"), _number(fields, "d"), dest,
               key, fields.get("r") == "1", body)


class Reply:
    """The place of one answer; answers leave in the order of their requests."""

    def __init__(self, client: Client) -> None:
        self.client, self.text = client, b""

    @property
    def wanted(self) -> bool:
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
        self._review()
        self.server.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.gone = True
        self._stop_timer()
        self.server.left(self)

    def _review(self) -> None:
        """The time for the next proper request, or for reading the answers, runs unless it does already."""
        if self.timer is None and not self.gone:
            loop = asyncio.get_running_loop()
            late = self.closing or self.paused  # for its answers, from now on
            self.timer = loop.call_at(loop.time() + REQUEST_S if late else self._due(), self._overdue)

    def _due(self) -> float:
        """It only moves on, so a timer set for an earlier one asks again."""
        if self.reader.unread:
            return min(self.heard_at + REQUEST_S, self.begun_at + MOST_S)
        return self.proper_at + REQUEST_S

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _overdue(self) -> None:
        """Nothing else ends a peer that sends nothing, or never ends its request, and holds a descriptor."""
        self.timer = None
        if self.closing or self.transport.get_write_buffer_size():  # it does not read either
            self.transport.abort()
        elif self._due() > asyncio.get_running_loop().time():
            self._review()
        else:
            self.turn_away()

    def turn_away(self) -> None:
        """An error line for what will not be whole, if anything; then the end."""
        self.closing = True
        if self.reader.unread:
            self._reply().send(b"-ERR no whole request in time\r\n")
        self.flush()
        self._review()

    def eof_received(self) -> bool:
        """A client that has ended its sending still gets the answers that it waits for."""
        self.closing = True
        return bool(self.pending)

    def pause_writing(self) -> None:
        self.paused = True
        self._review()
        self.transport.pause_reading()  # one that does not read its answers is not read from either

    def resume_writing(self) -> None:
        self.paused = False
        self._review()
        self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.server.touch(self)
        self.heard_at = asyncio.get_running_loop().time()
        self.reader.feed(data)
        try:
            self._begin()
            while (request := self.reader.next()) is not None:
                self._handle(request)
            self._begin()
        except ProtocolError as error:  # where the next request begins can't be known any more
            self.closing = True
            self._reply().send(b"-ERR Protocol error: %s\r\n" % _line(str(error)))
        self._review()

    def _begin(self) -> None:
        """The time of a request runs from its first byte; improper ones before it give it none anew."""
        if self.fresh and self.reader.unread:
            self.fresh, self.begun_at = False, self.heard_at

    def _proper(self) -> None:
        """A proper request is whole: the time for the next one counts anew."""
        self.proper_at, self.fresh = self.heard_at, True

    def _reply(self) -> Reply:
        self.pending.append(Reply(self))
        return self.pending[-1]

    def _handle(self, request: list[bytes] | Improper) -> None:
        reply = self._reply()
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
            except BadRequest as error:
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
        if out and not self.gone:
            self.transport.write(b"".join(out))
        if self.closing and not self.pending:
            self.transport.close()
        elif out and self.server.emptying:
            self.finish()

    @property
    def between_requests(self) -> bool:
        return not self.pending and not self.reader.unread

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
            self.transport.close()


def _line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:200]


class ClientServer:
    """Accepts clients; `put` takes what they hand in."""

    def __init__(self, put: Callable[[Put, Reply], None], max_clients: int) -> None:
        self.put, self.max_clients = put, max_clients
        self.clients: dict[Client, None] = {}  # the longest unused first
        self.acceptor: Acceptor | None = None
        self.drained = self.emptying = False  # PING is answered no; connections are closed between requests
        self.sweeping: asyncio.TimerHandle | None = None

    def drain(self, on: bool) -> None:
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
        for client in list(self.clients):
            if loop.time() - client.heard_at >= QUIET_S:
                client.finish()
        self.sweeping = loop.call_later(SWEEP_S, self._sweep)

    def listen(self, sock: socket.socket) -> int:
        """Take clients; returns the port."""
        self.acceptor = Acceptor(sock, lambda: Client(self), ACCEPTS)
        return self.acceptor.port

    def joined(self, client: Client) -> None:
        self.clients[client] = None
        if len(self.clients) > self.max_clients:  # open files and memory must stay under their limits
            self._make_room(client)

    def _make_room(self, newcomer: Client) -> None:
        others = [c for c in self.clients if c is not newcomer and not c.pending]  # the longest quiet first
        spare = next((c for c in others if c.between_requests and not c.unheard), None)
        # All others are half way, or answered in a moment: the one that has been quiet longest is stalled.
        spare = spare or next((c for c in others if c.reader.unread), newcomer)
        self.left(spare)  # or the next to join in this turn of the loop would close the same again
        spare.turn_away()

    def left(self, client: Client) -> None:
        self.clients.pop(client, None)

    def touch(self, client: Client) -> None:
        if client in self.clients:
            self.clients[client] = self.clients.pop(client)

    @property
    def listening(self) -> bool:
        return self.acceptor is not None and self.acceptor.open

    def stop_listening(self) -> None:
        if self.sweeping:
            self.sweeping.cancel()
        if self.acceptor is not None:
            self.acceptor.close()

    def carry(self, cargo: Cargo, most: int) -> list[list[Any]]:
        """The connections, most recently used last; nothing is pending on them between two turns."""
        return [[cargo.place(c.fileno), c.reader.carry(), c.heard_at, c.proper_at, c.begun_at, c.fresh]
                for c in list(self.clients)[-most:] if c.steady]

    def resume(self, sock: socket.socket, *carried: Any) -> None:
        """Go on with a connection of the process before this one."""
        assert self.acceptor is not None
        self.acceptor.join(sock, lambda: Client(self, carried))

    def close_idle(self) -> None:
        """Close those between requests: one with a request unanswered would lose it."""
        for client in list(self.clients):
            client.finish()
