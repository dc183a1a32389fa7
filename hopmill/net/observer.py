"""Reports each message and call as debug log lines, and counts them if metrics are on.

Nothing here changes a decision. Counting is off unless the operator API is open.
"""

from __future__ import annotations

import time
from enum import Enum
from typing import Protocol

from hopmill import interface
from hopmill import logs
from hopmill.net.journal_records import JournaledMessage

log, calls_log = logs.part("messages"), logs.part("calls")


class WithheldReason(Enum):
    """Why a call is not written although its connection is established."""

    NOT_IN_SERVICE = "not in service"  # the endpoint drains, is gone or is excluded
    RETRY_AFTER = "retry-after"  # the endpoint has announced a wait
    LIST_OUTDATED = "list outdated"  # an answer of discovery is due


class Meters(Protocol):
    """Receiver of counts: hopmill/net/metrics.py."""

    def count_message(self, cls: int, end: str, latency_s: float | None = None) -> None:
        """Count a message that was accepted or ended."""

    def count_attempt(self, partner: int, result: str, latency_s: float) -> None:
        """Count an ended attempt."""

    def count_withheld(self, reason: str) -> None:
        """Count a call that was not written although its connection was established."""

    def observe_turn(self, seconds: float, late_s: float) -> None:
        """Record duration and delay of a turn."""


class Observer:
    """Follows messages by their ids from PUT to end."""

    def __init__(self, settings: interface.Settings) -> None:
        self.settings = settings
        self.meters: Meters | None = None
        # Totals over ended messages and calls: worth offered, worth earned, calls, calls refused as full, and
        # calls that failed otherwise. Counted where a staged policy change is evaluated by them.
        self.is_counting, self.totals = False, [0.0] * 5
        self.accepted_at: dict[
            int, float
        ] = {}  # by message number, monotonic time; only while metrics are on

    def _cls(self, message: JournaledMessage) -> str:
        return self.settings.classes[message.class_index].name

    def received(self, message: JournaledMessage, life_ms: int) -> None:
        """A client has sent the message."""
        if log.debug_enabled:
            tenant = self.settings.tenants[message.tenant].name if self.settings.tenants else None
            log.debug(
                "message.put",
                message=message.id,
                cls=self._cls(message),
                tenant=tenant,
                partner=message.destination,
                life_ms=life_ms,
                bytes=len(message.body),
                resubmitted=message.resubmitted,
            )

    def refused(self, message: JournaledMessage, wait_us: int) -> None:
        """The message was answered -BUSY or -ERR before it was accepted."""
        if log.debug_enabled:
            log.debug("message.refused", message=message.id, again_ms=-(-wait_us // 1000))
        self._count_worth(message, False)
        if self.meters:
            self.meters.count_message(message.class_index, "refused")

    def accepted(self, message: JournaledMessage) -> None:
        """The message was accepted."""
        log.debug("message.taken", message=message.id)
        if self.meters:
            self.accepted_at[message.number] = time.monotonic()
            self.meters.count_message(message.class_index, "taken")

    def attempt_sent(self, message: JournaledMessage, attempt: int, endpoint: str, timeout_us: int) -> None:
        """An attempt was started."""
        if log.debug_enabled:
            log.debug(
                "attempt.sent",
                message=message.id,
                attempt=attempt,
                endpoint=endpoint,
                timeout_ms=timeout_us // 1000,
            )

    def attempt_written(self, message_id: str, attempt: int, endpoint: str) -> None:
        """The request of an attempt is written now: its connection is established."""
        log.debug("attempt.written", message=message_id, attempt=attempt, endpoint=endpoint)

    def call_withheld(self, endpoint: str, reason: WithheldReason) -> None:
        """A call is not written, although its connection is established."""
        calls_log.info("call.withheld", endpoint=endpoint, why=reason.value)
        if self.meters:
            self.meters.count_withheld(reason.value)

    def attempt_ended(
        self,
        message: JournaledMessage,
        attempt: int,
        endpoint: str,
        result: interface.Result,
        latency_us: int,
        wait_us: int,
    ) -> None:
        """An attempt has ended."""
        if log.debug_enabled:
            log.debug(
                "attempt.ended",
                message=message.id,
                attempt=attempt,
                endpoint=endpoint,
                result=result.value,
                latency_ms=round(latency_us / 1e3, 1),
                wait_ms=wait_us // 1000 or None,
            )
        if self.is_counting:
            self.totals[2] += 1
            self.totals[3] += result is interface.Result.FULL
            self.totals[4] += result not in (
                interface.Result.OK,
                interface.Result.FULL,
                interface.Result.MOOT,
            )
        if self.meters:
            self.meters.count_attempt(message.destination, result.value, latency_us / 1e6)

    def completed(self, message: JournaledMessage, status: str, again_ms: int = 0) -> None:
        """The message has ended.

        status: delivered, withdrawn (by its endpoint), deferred or undeliverable.
        """
        if log.debug_enabled:
            log.debug("message.over", message=message.id, status=status, again_ms=again_ms or None)
        self._count_worth(message, status in ("delivered", "withdrawn"))
        if self.meters:
            since = self.accepted_at.pop(message.number, None)
            self.meters.count_message(
                message.class_index, status, None if since is None else time.monotonic() - since
            )

    def _count_worth(self, message: JournaledMessage, delivered: bool) -> None:
        if self.is_counting:
            worth = self.settings.classes[message.class_index].worth
            self.totals[0] += worth
            self.totals[1] += worth * delivered

    def notice_accepted(self, message: JournaledMessage) -> None:
        """The platform has accepted the notice of the message."""
        log.debug("notice.accepted", message=message.id, status=message.status)
