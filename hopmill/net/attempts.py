"""Attempts of messages: the last checks before a call is written, its record, and what its end means."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hopmill import interface, logs
from hopmill.net.calls import CallItem, Outcome
from hopmill.net.journal_records import JournaledMessage
from hopmill.net.observer import WithheldReason

if TYPE_CHECKING:
    from hopmill.net.host import Host

KEY_WINDOW_MARGIN_TICKS = 3  # no attempt begins this close to the end of its key's window
MAX_UNREAD_S = 0.05  # how long word of a drain or a wait may lie unread when a call is written
HELD_BACK_WAIT_US = 100_000  # until a message that was held back is tried again
NOT_RUN_RESULTS = (interface.Result.FULL, interface.Result.CONNECT_FAILED, interface.Result.MOOT)
messages_log = logs.part("messages")


class Attempts:
    """The host's side of calls."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.pending_read_at = 0.0  # loop time at which what had arrived was last read before a call

    def may_write(self, endpoint: int) -> bool:
        """Return whether a call to the endpoint may be written now, and log a call that is withheld."""
        host = self.host
        self._read_pending()
        if host.list_confirmation.is_holding:
            reason = WithheldReason.LIST_OUTDATED
        elif not host.registry.is_usable(endpoint):
            reason = WithheldReason.NOT_IN_SERVICE
        elif not host.registry.may_write(endpoint, host.clock()):
            reason = WithheldReason.RETRY_AFTER
        else:
            return True
        host.observer.call_withheld(host.registry.uid(endpoint), reason)
        return False

    def _read_pending(self) -> None:
        """Take in what discovery and endpoints have written by now.

        A process that was held up would otherwise call by what it read before, although it has been told of
        drains and waits since.
        """
        now = self.host.loop.time()
        if now - self.pending_read_at >= MAX_UNREAD_S:
            self.pending_read_at = now
            self.host.watch.read_pending()
            self.host.calls.read_pending()

    def record(self, endpoint: int, items: list[CallItem]) -> list[CallItem]:
        """Record that these items are about to be sent; called just before a call is written.

        Returns the items that may be sent: if the record cannot be written, those that may be repeated.
        """
        host = self.host
        now = host.journal.scale.now()
        items = [item for item in items if self._may_attempt_now(item, endpoint, now)]
        if not items:
            return items
        items = self._write_attempt(items, now, host.registry.zone_of(endpoint))
        # The lease may have expired during the write. This is the last check before the call is written.
        if host.active_policy and not host.active_policy.may_act():
            for item in items:
                host.journal.record_not_run(item.number)
            return []
        if messages_log.debug_enabled:
            for item in items:
                host.observer.attempt_written(item.id, item.attempt, host.registry.uid(endpoint))
        return items

    def _write_attempt(self, items: list[CallItem], now: float, zone: str) -> list[CallItem]:
        """Write the record of an attempt. Return the items that may be sent; the others are held back."""
        journal = self.host.journal
        try:
            journal.record_attempt([item.number for item in items], now, zone)
            return items
        except OSError:
            repeatable = [item for item in items if self._is_repeatable(item)]
            for item in items:
                item.held_back = item not in repeatable
        if repeatable:
            journal.record_repeatable_attempt([item.number for item in repeatable], now, zone)
        return repeatable

    def _is_repeatable(self, item: CallItem) -> bool:
        message_class = self.host.settings.classes[self.host.journal.messages[item.number].class_index]
        return message_class.effect is interface.Effect.SAFE

    def _may_attempt_now(self, item: CallItem, endpoint: int, now: float) -> bool:
        """Return whether the message may be sent to the endpoint at this moment.

        The decision may be some time old, since a connection may have taken long to open.
        """
        message = self.host.journal.messages.get(item.number)
        if message is None or not self.host.registry.serves(endpoint, message.destination):
            return False
        message_class = self.host.settings.classes[message.class_index]
        ran_at = message.may_have_run_at
        if not ran_at or message_class.effect is interface.Effect.SAFE:
            return True
        window_us = message_class.key_window_us if message_class.effect is interface.Effect.KEYED else 0
        margin_us = KEY_WINDOW_MARGIN_TICKS * self.host.settings.tick_us
        is_in_window = now < ran_at + (window_us - margin_us) / 1e6
        return is_in_window and self._is_in_scope(message, message_class, endpoint)

    def _is_in_scope(
        self, message: JournaledMessage, message_class: interface.MessageClass, endpoint: int
    ) -> bool:
        """Return whether the endpoint drops repeats of what the message's first attempt may have run."""
        zone = message.may_have_run_zone
        if message_class.key_scope == "zone":
            return bool(zone) and zone == self.host.registry.zone_of(endpoint)
        return bool(zone) or message_class.key_scope == "all"

    def take_back(self, item: CallItem) -> None:
        """Record that an attempt was not written; it begins once more on another connection."""
        self.host.journal.record_not_run(item.number)

    def end(self, item: CallItem, endpoint: int, outcome: Outcome, latency_us: int) -> None:
        """Record the end of an attempt and report it to the decision core."""
        host = self.host
        message = host.journal.messages.get(item.number)
        if item.held_back and message is not None:
            host.post(interface.AttemptHeldBack(item.number, item.attempt, endpoint, HELD_BACK_WAIT_US))
            host.restart.maybe_exit()
            return
        if message is not None:
            self._observe_end(message, item, endpoint, outcome, latency_us)
            self._record_end(message, item, outcome)
        is_over = outcome.over or message is None
        if is_over:
            host.next_attempts.pop(item.number, None)
        values = dict(outcome.report)
        report = tuple(values.get(name, 0.0) for name in host.settings.report_fields) if values else ()
        host.post(
            interface.AttemptEnded(
                item.number,
                item.attempt,
                endpoint,
                outcome.result,
                max(1, latency_us),
                is_over,
                outcome.retry_after_us,
                report,
                item.idle_us,
            )
        )
        host.restart.maybe_exit()

    def _observe_end(
        self, message: JournaledMessage, item: CallItem, endpoint: int, outcome: Outcome, latency_us: int
    ) -> None:
        host = self.host
        if host.metrics or host.observer.is_counting or messages_log.debug_enabled:
            host.observer.attempt_ended(
                message,
                item.attempt,
                host.registry.uid(endpoint),
                outcome.result,
                latency_us,
                outcome.retry_after_us,
            )

    def _record_end(self, message: JournaledMessage, item: CallItem, outcome: Outcome) -> None:
        host = self.host
        if outcome.over:
            if not message.status:
                is_delivered = outcome.result is interface.Result.OK
                host.observer.completed(message, "delivered" if is_delivered else "withdrawn")
            host.journal.record_done(message.number)
            host.cancel_expiry_timer(message.number)
        elif item.begun and outcome.result in NOT_RUN_RESULTS:
            host.journal.record_not_run(message.number)

    def end_probe(self, endpoint: int, result: interface.Result, latency_us: int) -> None:
        """Report the result of a probe to the decision core."""
        self.host.post(interface.ProbeEnded(endpoint, result, latency_us))
