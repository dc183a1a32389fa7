"""Messages that clients submit, until they are accepted or refused.

Of the protocol it knows only the lines of the answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hopmill import interface, logs
from hopmill.net.clients import Reply
from hopmill.net.put import BadRequestError, Put
from hopmill.net.journal_records import JournaledMessage

if TYPE_CHECKING:
    from hopmill.net.host import Host

messages_log = logs.part("messages")
Arrived = dict[int, tuple[JournaledMessage, list[Reply]]]


class Intake:
    """Holds the messages that have arrived and are not answered yet."""

    def __init__(self, host: Host) -> None:
        self.host, settings = host, host.settings
        self.last_number = host.journal.last_number
        self.class_indexes = {c.name: index for index, c in enumerate(settings.classes)}
        self.tenant_indexes = {t.name: index for index, t in enumerate(settings.tenants)}
        self.arrived: Arrived = {}
        self.arrived_bytes = 0  # that the messages in `arrived` take in the journal
        self.arrived_numbers_by_id: dict[str, int] = {}

    def take_arrived(self) -> Arrived:
        """Return and forget what has arrived since the last turn; the caller answers it."""
        arrived, self.arrived, self.arrived_bytes = self.arrived, {}, 0
        self.arrived_numbers_by_id.clear()
        return arrived

    def put(self, put: Put, reply: Reply) -> None:
        """Take a submitted message, which is answered in the next turn unless it can be answered at once.

        Raises BadRequestError.
        """
        host = self.host
        class_index = self.class_indexes.get(put.class_name)
        if class_index is None:
            raise BadRequestError("c: no such class")
        tenant = self.tenant_indexes.get(put.tenant_name or "", -1) if self.tenant_indexes else 0
        if tenant < 0:
            raise BadRequestError("t: no such tenant")
        if host.settings.classes[class_index].effect is interface.Effect.KEYED and not put.idempotency_key:
            raise BadRequestError("k: lacks, and the class is keyed")
        # The protocol requires zeros unless the class is ordered; a known id is accepted all the same.
        if put.order_key and not host.settings.classes[class_index].ordered and not self._is_known(put.id):
            raise BadRequestError("key: must be zeros, for the class keeps no order")
        if put.id in self.arrived_numbers_by_id:
            self.arrived[self.arrived_numbers_by_id[put.id]][1].append(reply)
            return
        if self._is_known(put.id):
            reply.send(b"+OK\r\n")  # submitted again: it is in progress or has ended
            return
        if host.active_policy and not host.active_policy.may_act():
            host.active_policy.queue(put, reply)
            return
        message = self._new_message(put, class_index, tenant)
        if not self._has_room_for(message):
            reply.send(refusal(host.courier.come_back_us()))
            return
        self.arrived_bytes += host.journal.bytes_to_accept(message)
        self._replace_older(message)
        self.arrived[message.number] = (message, [reply])
        self.arrived_numbers_by_id[message.id] = message.number
        host.observer.received(message, put.lifetime_ms)
        host.post(host.arrival_event(message))

    def _has_room_for(self, message: JournaledMessage) -> bool:
        journal = self.host.journal
        if journal.open_count + len(self.arrived) >= self.host.settings.max_held:
            return False
        return journal.has_room_for_messages(self.arrived_bytes + journal.bytes_to_accept(message))

    def _new_message(self, put: Put, class_index: int, tenant: int) -> JournaledMessage:
        """Return the message with the next number; its expiry counts from now."""
        now = self.host.journal.scale.now()
        self.last_number += 1
        return JournaledMessage(
            self.last_number,
            put.id,
            class_index,
            tenant,
            put.destination,
            put.idempotency_key,
            now + put.lifetime_ms / 1e3,
            put.resubmitted,
            put.body,
            put.order_key,
            earlier_run_at=self.host.journal.key_first_run_at(put.idempotency_key),
        )

    def _is_known(self, message_id: str) -> bool:
        host = self.host
        return (
            message_id in self.arrived_numbers_by_id
            or message_id in host.journal.numbers_by_id
            or message_id in host.journal.ended_ids
        )

    def _replace_older(self, message: JournaledMessage) -> None:
        """End an open message with the same idempotency key.

        A client submits a key that is still open again only if it has given up the older message.
        """
        host = self.host
        older = host.journal.open_message_with_key(message.idempotency_key)
        if older is None:
            return
        if older.may_have_run_at and older.destination == message.destination:
            message.earlier_run_at = older.may_have_run_at
            message.earlier_run_zone = older.may_have_run_zone
        elif not message.earlier_run_at:  # endpoints of another destination: the zone tells nothing
            message.earlier_run_at = older.may_have_run_at
        host.post(interface.MessageGone(older.number))
        latest_attempt = host.next_attempts.get(older.number, 0) - 1
        host.end_message(older, "deferred", 0)
        host.calls.cancel(older.number, latest_attempt)

    def accept(self, message: JournaledMessage, replies: list[Reply]) -> None:
        """Record a message that the decision core has admitted, then answer the client."""
        host, answer = self.host, b"+OK\r\n"
        if host.active_policy and not host.active_policy.may_act():
            host.post(interface.MessageGone(message.number))  # the lease ended during this turn
            for reply in replies:
                reply.send(refusal(host.courier.come_back_us()))
            return
        if not any(reply.begin_positive() for reply in replies):
            host.post(interface.MessageGone(message.number))  # no client would learn that it was accepted
            return
        try:
            host.journal.record_message(message)
        except OSError as error:
            messages_log.error("message.not_taken", message=message.id, error=error)
            answer = refusal(host.courier.come_back_us())
            host.post(interface.MessageGone(message.number))
        else:
            host.start_expiry_timer(message)
            host.observer.accepted(message)
        for reply in replies:
            reply.send(answer)


def refusal(wait_us: int) -> bytes:
    """Return the answer to a message that is not accepted, with the time after which to retry if known."""
    return b"-BUSY %d\r\n" % -(-wait_us // 1000) if wait_us > 0 else b"-BUSY\r\n"
