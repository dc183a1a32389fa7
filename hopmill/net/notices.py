"""Notices of messages that ended undelivered, sent to the agent of discovery until it accepts them.

The agent runs on this machine. It answers notices itself and at once, whatever discovery does.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from typing import Any

from hopmill import logs
from hopmill.net.backoff import Backoff
from hopmill.net.config import Address
from hopmill.net.http import Connection, Exchange
from hopmill.net.list_budget import CONNECT_TIMEOUT_S
from hopmill.net.settle_wait import SETTLE_S

# The agent answers notices at once. After this time they are sent again on a new connection.
NOTICE_TIMEOUT_S = 0.3
NOTICE_MAX_WAITS_S = (0.1, 1.0)  # first and largest upper bound of the wait before notices are sent again
MAX_NOTICES_PER_REQUEST = 200
log = logs.part("discovery")


class ReconnectingClient:
    """A connection to the agent of discovery that is reopened when it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, backoff: Backoff) -> None:
        self.loop, self.address, self.backoff = loop, address, backoff
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopped = False

    def set_timer(self, delay: float, action: Callable[[], None]) -> None:
        """Set the single timer; it replaces the previous one."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, action)

    def open(self) -> None:
        """Open a new connection in place of the current one."""
        if self.is_stopped:
            return
        if self.connection is not None:
            self.connection.close()
        try:
            self.connection = Connection(self.loop, self.address)
            self.connection.connect(self._connected)
        except OSError as error:
            log.warning("discovery.unreachable", error=error)
            self.set_timer(self.backoff.next(), self.open)
            return
        self.set_timer(CONNECT_TIMEOUT_S, self.open)

    def _connected(self, error: OSError | None) -> None:
        if error is not None:
            self.retry()
        else:
            self.connected()

    def connected(self) -> None:
        """Go on after the connection was established."""
        raise NotImplementedError

    def retry(self) -> None:
        """Close the connection and reopen it after a backoff."""
        if self.connection is not None:
            self.connection.close()
        if not self.is_stopped:
            self.set_timer(self.backoff.next(), self.open)

    def move(self, address: Address) -> None:
        """Continue at another address; unanswered requests are repeated there."""
        self.address = address
        self.backoff.reset()
        if self.connection is not None:
            self.connection.close()
        if self.has_work:
            self.open()

    @property
    def has_work(self) -> bool:
        """Whether a connection is needed now."""
        return True

    def stop(self) -> None:
        """Close the connection for good."""
        self.is_stopped = True
        if self.timer:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.close()


class NoticeSender(ReconnectingClient, Exchange):
    """Sends notices in batches, each until it is answered 204."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, on_done: Callable[[list[int]], None]
    ) -> None:
        super().__init__(loop, address, Backoff(*NOTICE_MAX_WAITS_S))
        self.on_done = on_done
        self.waiting: dict[int, bytes] = {}  # JSON lines of notices not accepted yet, by message number
        self.sent_numbers: list[int] = []
        self.is_sending = False
        self.batch_size = MAX_NOTICES_PER_REQUEST
        self.status = 0
        self.answered_at = -math.inf  # loop time of the last answer

    def add(self, number: int, message_id: str, status: str, retry_after_ms: int) -> None:
        """Queue the notice of one message."""
        line: dict[str, Any] = {"id": message_id, "status": status}
        if retry_after_ms:
            line["again_ms"] = retry_after_ms
        self.waiting[number] = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if not self.is_sending:
            self.is_sending = True
            self.loop.call_soon(self._send_next)

    @property
    def has_work(self) -> bool:
        """Whether a batch is to be sent."""
        return self.is_sending

    def _send_next(self) -> None:
        if not self.waiting:
            self.is_sending = False
            if self.timer:
                self.timer.cancel()
            return
        connection = self.connection
        if connection is None or connection.closed or connection.stale():
            self.open()
        elif (settles_s := self.answered_at + SETTLE_S - self.loop.time()) > 0:
            self.set_timer(settles_s, self._send_next)  # what follows the last answer may be under way
        else:
            self.connected()

    def connected(self) -> None:
        """Send the next batch."""
        assert self.connection is not None
        self.sent_numbers = list(self.waiting)[: self.batch_size]
        body = b"".join(self.waiting[n] for n in self.sent_numbers)
        self.status = 0
        self.set_timer(NOTICE_TIMEOUT_S, self.open)
        self.connection.request("POST", "/v2/finals", [("Content-Type", "application/x-ndjson")], body, self)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Note the status."""
        self.status = status

    def response_complete(self) -> None:
        """Drop the batch if it was accepted, halve it if it was rejected as unreadable, else retry.

        A single notice that is rejected is logged and dropped as well, since it would be rejected each time.
        """
        self.answered_at = self.loop.time()
        if self.status == 204:
            self.backoff.reset()
            self._finish_batch()
            self.batch_size = MAX_NOTICES_PER_REQUEST
        elif self.status == 400 and len(self.sent_numbers) > 1:  # bisect to find the line that is rejected
            self.batch_size = len(self.sent_numbers) // 2
        elif self.status == 400:
            log.error("notice.turned_down", text=self.waiting[self.sent_numbers[0]])
            self._finish_batch()
        else:
            log.warning("notice.not_accepted", status=self.status)
            self.retry()
            return
        self._send_next()

    def _finish_batch(self) -> None:
        """Drop the notices that were sent and report them as done, whether accepted or rejected for good."""
        for number in self.sent_numbers:
            self.waiting.pop(number, None)
        self.on_done(self.sent_numbers)

    def connection_lost(self, written: bool) -> None:
        """Send the batch again after a backoff."""
        self.retry()
