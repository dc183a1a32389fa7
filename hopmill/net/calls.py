"""Calls to endpoints: single messages, batches and probes, each on a connection from the pool."""

from __future__ import annotations

import asyncio
import base64
import json
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hopmill import logs
from hopmill.interface import Result
from hopmill.net.config import Address
from hopmill.net.http import LOCAL_ERRORS, Exchange
from hopmill.net.pool import Pool
from hopmill.net.pooled_connection import (
    Checkout,
    CloseReason,
    EndpointUnavailableError,
    PooledConnection,
    carry_connection,
)
from hopmill.net.upgrade import HandoverPayload

MAX_REST_SHARE = 0.25  # of a call's time, for a connection to rest; else a new one is opened
RESPONSE_TAIL_S = 1.0  # wait for the rest of a response whose head has been received
MAX_RESPONSE_BYTES = 64 * 1024  # of a body; a longer response counts as none and is not waited for
MAX_WIRE_BYTES = 2 * MAX_RESPONSE_BYTES  # of a response with its head and the framing of its chunks
BATCH_RESULTS = {
    "done": Result.OK,
    "failed": Result.ERROR,
    "busy": Result.FULL,
    "void": Result.MOOT,
    "used_up": Result.MOOT,
}
log = logs.part("calls")


@dataclass
class CallItem:
    """One message's part in a call."""

    number: int
    attempt: int
    id: str
    key: str
    body: bytes
    timeout_us: int
    begun: bool = False  # its first byte may have been written
    ended: bool = False
    held_back: bool = False  # not begun for a reason on this side, such as a full disk
    idle_us: int = -1  # idle time of its connection before, -1 for a new one


@dataclass(frozen=True)
class Outcome:
    """How an attempt ended."""

    result: Result
    over: bool = False  # the message needs no further attempt or notice
    retry_after_us: int = 0  # wait announced by the endpoint, 0 if none
    report: tuple[tuple[str, float], ...] = ()  # load figures of the endpoint, by name


@dataclass
class CallHooks:
    """Callbacks into the host."""

    may_write: Callable[[int], bool]  # false while the endpoint drains or has announced a wait
    begin: Callable[[int, list[CallItem]], list[CallItem]]  # endpoint, items: those that may be written now
    not_written: Callable[[CallItem], None]  # item: it had begun and was not written; it begins once more
    ended: Callable[[CallItem, int, Outcome, int], None]  # item, endpoint, outcome, latency (us)
    retry_after: Callable[[int, int], None]  # endpoint, wait (us); called before any outcome
    probed: Callable[[int, Result, int], None]


def single_outcome(status: int, headers: dict[str, str]) -> Outcome:
    """The outcome of a call with one message, by the protocol's table of status codes."""
    # 500, or a status that the protocol does not name: the call may have run.
    result, over = Result.ERROR, False
    if status == 200:
        result, over = Result.OK, True
    elif status in (429, 503):
        result = Result.MOOT if headers.get("slots-taken") == "1" else Result.FULL
    elif status == 410:
        result, over = Result.MOOT, True
    elif status in (400, 413, 504):  # by the protocol it did not run
        result = Result.MOOT
    return Outcome(result, over, parse_retry_after_us(headers), parse_load_report(headers))


def parse_load_report(headers: dict[str, str]) -> tuple[tuple[str, float], ...]:
    """Parse 'x0=0.4,x1=25'. If one value can't be read the whole report is discarded."""
    try:
        pairs = [part.partition("=") for part in headers.get("x-server-load", "").split(",") if part]
        report = tuple((name.strip(), float(value)) for name, _, value in pairs)
    except ValueError:
        return ()
    return report if all(math.isfinite(value) for _, value in report) else ()


def parse_retry_after_us(headers: dict[str, str]) -> int:
    """The wait that an endpoint announces, 0 if none or unreadable."""
    try:
        return max(0, int(float(headers.get("retry-after", "0")) * 1e6))
    except (ValueError, OverflowError):
        return 0


def batch_outcomes(body: bytes, headers: dict[str, str]) -> dict[str, Outcome]:
    """Outcome of each message of a batch, by its id. An unreadable body gives none."""
    wait, report = parse_retry_after_us(headers), parse_load_report(headers)
    try:
        rows = json.loads(body)
        states = {str(row["id"]): BATCH_RESULTS[row["state"]] for row in rows}
        final_ids = {str(row["id"]) for row in rows if row["state"] in ("done", "void")}
    except (ValueError, KeyError, TypeError, RecursionError):  # RecursionError: nested too deeply
        return {}
    return {
        message: Outcome(result, message in final_ids, wait, report) for message, result in states.items()
    }


class Call(Exchange):
    """A call in flight, until each of its items has ended."""

    def __init__(self, calls: Calls, endpoint: int, items: list[CallItem], path: str = "") -> None:
        self.calls, self.endpoint, self.items = calls, endpoint, items
        self.path = path  # of a probe, "" for messages
        self.started = calls.loop.time()
        self.status, self.headers, self.body, self.body_bytes = 0, {}, bytearray(), 0
        self.connection: PooledConnection | None = None
        self.checkout: Checkout | None = None
        self.timers: list[asyncio.TimerHandle] = []

    @property
    def latency_us(self) -> int:
        """Time since the call was started."""
        return int((self.calls.loop.time() - self.started) * 1e6)

    @property
    def is_open(self) -> bool:
        """Whether an item has not ended yet."""
        return any(not item.ended for item in self.items)

    @property
    def deadline(self) -> float:
        """Loop time at which the whole call times out: the earliest of its items.

        If it waited longer, a response that arrives after the timeout of some items would count for the
        others on this side only.
        """
        return self.started + min((item.timeout_us for item in self.items if not item.ended), default=0) / 1e6

    def timer(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action that is cancelled when the call ends."""
        self.timers.append(self.calls.loop.call_later(max(0.0, delay), action))

    def response_complete(self) -> None:
        """End a probe or the items of a batch, and release the connection."""
        if self.path:
            self.calls.probe_ended(self, Result.OK if self.status == 200 else Result.FULL)
        elif self.status == 200 and len(self.items) > 1:
            ends = batch_outcomes(bytes(self.body), self.headers)
            for item in self.items:
                # A message that the response leaves out may have run.
                self.finish(item, ends.get(item.id, Outcome(Result.ERROR)))
        self.calls.release(self)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """End a single call by its status; report an announced wait at once."""
        self.status, self.headers = status, headers
        if self.connection is not None:
            self.calls.pool.response_received(self.connection)
        if wait := parse_retry_after_us(headers):
            self.calls.hooks.retry_after(self.endpoint, wait)
        if self.path or status == 200 and len(self.items) > 1:  # a batch response counts once it is complete
            return
        for item in self.items:
            self.finish(item, single_outcome(status, headers))
        self.timer(RESPONSE_TAIL_S, self.abandon)

    def body_received(self, data: bytes) -> None:
        """Collect the body of a batch response; abandon a response over MAX_RESPONSE_BYTES."""
        self.body_bytes += len(data)
        wire_bytes = self.connection.response_bytes if self.connection is not None else 0
        if self.body_bytes > MAX_RESPONSE_BYTES or wire_bytes > MAX_WIRE_BYTES:
            log.warning("answer.too_long", endpoint_number=self.endpoint, most=MAX_RESPONSE_BYTES)
            self.abandon()
            self.finish_all(Outcome(Result.ERROR, retry_after_us=parse_retry_after_us(self.headers)))
        elif len(self.items) > 1:  # the body of a single call carries no information
            self.body += data

    def connection_lost(self, written: bool) -> None:
        """End all items: without the last byte written the call has not run."""
        if self.connection is not None:
            self.calls.pool.call_failed(self.connection)
        if self.path:
            self.calls.probe_ended(self, Result.RESET)
        self.finish_all(self.unread_outcome(Result.RESET if written else Result.CONNECT_FAILED))
        self.calls.release(self)

    def surplus_received(self) -> None:
        """Start again on another connection: the request on this one was not complete."""
        self.calls.start_again(self)

    def unread_outcome(self, result: Result) -> Outcome:
        """The outcome of a call whose response head could not be read completely.

        For a single call the status line decides if it says 200.
        """
        if len(self.items) == 1 and self.connection is not None and self.connection.status == 200:
            return Outcome(Result.OK, over=True)
        return Outcome(result)

    def timed_out(self) -> None:
        """End the call and close the connection, since a late response would meet the next call."""
        if not self.is_open and not self.path:  # the head has been received, only the rest is missing
            return
        sent = self.connection is not None and self.connection.exchange is self and self.connection.written
        if self.connection is not None:
            self.calls.pool.call_failed(self.connection)
        if self.path:
            self.calls.probe_ended(self, Result.TIMEOUT)
        outcome = self.unread_outcome(Result.TIMEOUT) if sent else Outcome(Result.CONNECT_FAILED)
        self.abandon()
        self.finish_all(outcome)

    def abandon(self) -> None:
        """Close the connection without waiting for the rest of the response."""
        if self.connection is not None:
            self.calls.pool.drop(self.connection, CloseReason.CALL_ABANDONED)
        self.calls.release(self)

    def finish_all(self, outcome: Outcome) -> None:
        """End each item that has not ended yet."""
        for item in self.items:
            self.finish(item, outcome)

    def finish(self, item: CallItem, outcome: Outcome) -> None:
        """End one item, once."""
        if not item.ended:
            item.ended = True
            self.calls.hooks.ended(item, self.endpoint, outcome, self.latency_us)


class Calls:
    """All calls in flight."""

    def __init__(self, loop: asyncio.AbstractEventLoop, hooks: CallHooks, pool: Pool) -> None:
        self.loop, self.hooks, self.pool = loop, hooks, pool
        self.in_flight: set[Call] = set()

    def close(self) -> None:
        """Abandon all calls."""
        for call in list(self.in_flight):
            call.abandon()

    def read_pending(self) -> None:
        """Handle responses that have arrived but that the event loop has not reported yet."""
        for call in list(self.in_flight):
            if call.connection is not None and call.connection.exchange is call:
                call.connection.read_pending()

    # Upgrades

    def carry(self, payload: HandoverPayload) -> list[list[Any]]:
        """Pack the calls whose request is written, to hand over to the next process.

        All others have not run; their connections close.
        """
        rows = []
        for call in self.in_flight:
            connection = call.connection
            if call.path or not call.is_open or connection is None or connection.exchange is not call:
                continue
            received = connection.received if connection.written else None
            if received is not None:
                items = [[item.number, item.timeout_us, item.ended] for item in call.items]
                rows.append(
                    [
                        call.endpoint,
                        list(connection.address),
                        carry_connection(payload, connection),
                        call.started,
                        items,
                        received,
                    ]
                )
            # A call that has begun and is not handed over may have run, unless its last byte was not written.
        return rows

    def unwritten(self) -> list[int]:
        """Return the messages whose newest attempt has begun but not run: its last byte is not written."""
        return [
            item.number
            for call in self.in_flight
            if call.connection and not call.connection.written
            for item in call.items
            if item.begun and not item.ended
        ]

    def resume(
        self,
        endpoint: int,
        address: Address,
        sock: socket.socket,
        opened_at: float,
        started: float,
        items: list[CallItem],
        received: bytes,
    ) -> None:
        """Continue a call of the previous process."""
        call = Call(self, endpoint, items)
        call.started = started
        call.connection = self.pool.resume(endpoint, address, sock, opened_at)
        self.in_flight.add(call)
        call.timer(call.deadline - self.loop.time(), call.timed_out)
        call.connection.resume(call, received)

    # Starting

    def send(self, endpoint: int, items: list[CallItem]) -> None:
        """Start one call with these messages; the end of each item is reported once."""
        call = Call(self, endpoint, items)
        call.timer(call.deadline - call.started, call.timed_out)
        self._start(call)

    def probe(self, endpoint: int, path: str = "/alive") -> None:
        """Start a GET that tells whether the endpoint responds."""
        call = Call(self, endpoint, [], path)
        call.timer(self.pool.connect_s, call.timed_out)
        self._start(call)

    def cancel(self, number: int, attempt: int) -> None:
        """Stop waiting for a single call. A message in a batch stays with its batch."""
        for call in list(self.in_flight):
            item = call.items[0] if len(call.items) == 1 else None
            if item and item.number == number and item.attempt == attempt and not item.ended:
                call.abandon()
                call.finish(item, Outcome(Result.CANCELLED if item.begun else Result.MOOT))

    def _start(self, call: Call) -> None:
        self.in_flight.add(call)
        earlier = call.checkout
        checkout = self.pool.check_out(
            call.endpoint,
            lambda connection, error: self._checked_out(call, connection, error),
            MAX_REST_SHARE * (call.deadline - self.loop.time()),
        )
        if call.checkout is earlier:  # it may have started again already, or ended
            call.checkout = checkout if call in self.in_flight else None

    def start_again(self, call: Call) -> None:
        """Start a call again whose connection can't be used, and whose last byte is not written."""
        for item in call.items:
            if item.begun and not item.ended:
                item.begun = False
                self.hooks.not_written(item)
        call.connection = None
        self._start(call)

    def _checked_out(self, call: Call, connection: PooledConnection | None, error: OSError | None) -> None:
        if connection is not None:
            for item in call.items:
                item.idle_us = connection.idle_us
            self._write(call, connection)
        elif isinstance(error, EndpointUnavailableError) or error is not None and error.errno in LOCAL_ERRORS:
            for item in call.items:
                item.held_back = not isinstance(error, EndpointUnavailableError)
            self._end_unsent(call, Result.MOOT)
        else:
            self._end_unsent(call, Result.CONNECT_FAILED)

    def _write(self, call: Call, connection: PooledConnection) -> None:
        call.connection = connection
        items = [item for item in call.items if not item.ended]
        call.items = items
        may_write = self.hooks.may_write(call.endpoint) and self.pool.is_current(connection)
        if not items and not call.path or not may_write:
            self._end_unsent(call, Result.MOOT)
            self.pool.check_in(connection)
            return
        begun = self.hooks.begin(call.endpoint, items) if items else []
        if items and not begun:
            self._end_unsent(call, Result.MOOT)
            self.pool.check_in(connection)
            return
        for item in items:
            item.begun = item in begun
            if not item.begun:
                call.finish(item, Outcome(Result.MOOT))
        items = call.items = begun
        if (
            connection.idle_us >= 0 and connection.stale()
        ):  # asked again, since recording the attempt took time
            self.pool.drop_stale(connection)
            self.start_again(call)
            return
        if call.path:
            connection.request("GET", call.path, [], b"", call)
        elif len(items) == 1:
            connection.request("POST", "/events", self._message_headers(call, items[0]), items[0].body, call)
        else:
            body = json.dumps([self._batch_row(item) for item in items], separators=(",", ":")).encode()
            headers = [self._timeout_header(call), ("Content-Type", "application/json")]
            connection.request("POST", "/events/bundle", headers, body, call)

    def _timeout_header(self, call: Call) -> tuple[str, str]:
        left = max(1, int((call.deadline - self.loop.time()) * 1e3))
        return "X-Timeout-Ms", str(left)

    def _message_headers(self, call: Call, item: CallItem) -> list[tuple[str, str]]:
        headers = [("X-Request-ID", item.id), self._timeout_header(call)]
        if item.key:
            headers.append(("Idempotency-Key", item.key))
        return headers

    @staticmethod
    def _batch_row(item: CallItem) -> dict[str, Any]:
        row = {"id": item.id, "body": base64.b64encode(item.body).decode()}
        if item.key:
            row["key"] = item.key
        return row

    # Ending

    def _end_unsent(self, call: Call, result: Result) -> None:
        self._forget(call)
        if call.path:
            self.probe_ended(call, result)
        call.finish_all(Outcome(result))

    def probe_ended(self, call: Call, result: Result) -> None:
        """Report the result of a probe, once."""
        if call.path:
            call.path, latency = "", call.latency_us
            self.hooks.probed(call.endpoint, result, latency)

    def _forget(self, call: Call) -> None:
        self.in_flight.discard(call)
        for timer in call.timers:
            timer.cancel()
        if call.checkout and call.connection is None:
            self.pool.cancel(call.checkout)

    def release(self, call: Call) -> None:
        """End the call; return its connection to the pool if it is still usable."""
        if call not in self.in_flight:
            return
        self._forget(call)
        if call.connection is not None:
            self.pool.check_in(call.connection)
