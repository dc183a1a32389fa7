"""Carries out the actions of a turn: refusals, calls, timers, connections and ends of messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hopmill import interface, logs
from hopmill.net.calls import CallItem, Outcome
from hopmill.net.clients import Reply
from hopmill.net.intake import refusal
from hopmill.net.journal_records import JournaledMessage
from hopmill.net.pooled_connection import CloseReason

if TYPE_CHECKING:
    from hopmill.net.host import Host

TIMER_MARGIN_S = 5e-5  # added to the decision core's timers
log, messages_log, policy_log = logs.part("courier"), logs.part("messages"), logs.part("policy")


class TurnActions:
    """Does what the decision core has decided, in order."""

    def __init__(self, host: Host) -> None:
        self.host = host

    def execute(
        self, actions: list[interface.Action], arrived: dict[int, tuple[JournaledMessage, list[Reply]]]
    ) -> None:
        """Carry out actions in order; `arrived` are the new messages of this turn, by number."""
        self._answer_refused(actions, arrived)
        for message, replies in arrived.values():
            self.host.intake.accept(message, replies)
        batches: dict[int, list[CallItem]] = {}
        for action in actions:
            self._carry_out(action, batches)
        for endpoint, items in batches.items():
            max_items = self.host.registry.max_batch(endpoint)
            for start in range(0, len(items), max_items):
                self._call(endpoint, items[start : start + max_items])

    def _answer_refused(
        self, actions: list[interface.Action], arrived: dict[int, tuple[JournaledMessage, list[Reply]]]
    ) -> None:
        """Answer the new messages that the decision core refuses, and remove them from `arrived`."""
        for action in actions:
            if isinstance(action, (interface.Refuse, interface.Fail)) and action.message in arrived:
                message, replies = arrived.pop(action.message)
                self.host.observer.refused(
                    message, action.retry_after_us if isinstance(action, interface.Refuse) else 0
                )
                for reply in replies:
                    reply.send(
                        refusal(action.retry_after_us)
                        if isinstance(action, interface.Refuse)
                        else b"-ERR failed\r\n"
                    )

    def _carry_out(self, action: interface.Action, batches: dict[int, list[CallItem]]) -> None:
        """Carry out an action; items for endpoints that take several per call are gathered in `batches`."""
        if isinstance(action, interface.Send):
            self._send(action, batches)
        elif isinstance(action, (interface.Refuse, interface.Fail)):
            self._end_by_action(action)
        elif isinstance(action, interface.SetTimer):
            self.host.loop.call_later(
                action.delay_us / 1e6 + TIMER_MARGIN_S, self.host.post, interface.TimerDue(action.token)
            )
        elif isinstance(action, interface.CloseIdle):
            self.host.pool.close_idle(action.endpoint, CloseReason.REQUESTED_BY_POLICY)
        elif isinstance(action, interface.Keep):
            self.host.pool.set_max_idle(action.endpoint, action.most)
        elif isinstance(action, interface.OpenIdle):
            self.host.pool.open_spare(action.endpoint)
        elif isinstance(action, interface.Cancel):
            self.host.calls.cancel(action.message, action.attempt)
        elif isinstance(action, interface.Probe):
            self.host.calls.probe(action.endpoint)
        elif isinstance(action, interface.Log):
            policy_log.info("policy", text=action.text)

    def _end_by_action(self, action: interface.Refuse | interface.Fail) -> None:
        message = self.host.journal.messages.get(action.message)
        if message is None or message.status:
            return
        if isinstance(action, interface.Refuse):
            self.host.end_message(message, "deferred", -(-action.retry_after_us // 1000))
        else:
            self.host.end_message(message, "undeliverable", 0)

    def _send(self, action: interface.Send, batches: dict[int, list[CallItem]]) -> None:
        message = self.host.journal.messages.get(action.message)
        attempt = self.host.next_attempts.get(action.message, message.attempts if message else 0)
        self.host.next_attempts[action.message] = attempt + 1
        if message is None or message.status:
            self.host.post(
                interface.AttemptEnded(
                    action.message, attempt, action.endpoint, interface.Result.MOOT, 0, message is None
                )
            )
            return
        item = CallItem(
            message.number, attempt, message.id, message.idempotency_key, message.body, action.timeout_us
        )
        if messages_log.debug_enabled:
            self.host.observer.attempt_sent(
                message, attempt, self.host.registry.uid(action.endpoint), action.timeout_us
            )
        if self.host.registry.max_batch(action.endpoint) > 1:
            batches.setdefault(action.endpoint, []).append(item)
        else:
            self._call(action.endpoint, [item])

    def _call(self, endpoint: int, items: list[CallItem]) -> None:
        try:
            self.host.calls.send(endpoint, items)
        except Exception:  # must not leave slots and messages occupied
            log.exception("call.failed", endpoint=self.host.registry.uid(endpoint))
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = interface.Result.RESET if item.begun else interface.Result.MOOT
                    self.host.attempts.end(item, endpoint, Outcome(result), 0)
