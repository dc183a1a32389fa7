"""What clients hand in, until it is taken on or turned away. It knows no protocol but the reply's lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hopmill import interface as i
from hopmill import logs
from hopmill.net.clients import Reply
from hopmill.net.put import BadRequest, Put
from hopmill.net.state import Held

if TYPE_CHECKING:
    from hopmill.net.host import Host

messages_log = logs.part("messages")
Arrived = dict[int, tuple[Held, list[Reply]]]


class Intake:
    """One owner of the messages that have come and are not answered yet."""

    def __init__(self, host: Host) -> None:
        self.host, s = host, host.s
        self.numbers = host.journal.last
        self.classes = {c.name: n for n, c in enumerate(s.classes)}
        self.tenants = {t.name: n for n, t in enumerate(s.tenants)}
        self.arrived: Arrived = {}
        self.arriving: dict[str, int] = {}  # their ids

    def turn(self) -> Arrived:
        """What came since the last turn: this one answers it."""
        arrived, self.arrived = self.arrived, {}
        self.arriving.clear()
        return arrived

    def put(self, put: Put, reply: Reply) -> None:
        """A message is handed in. It is answered in the turn that follows."""
        host = self.host
        cls = self.classes.get(put.cls)
        if cls is None:
            raise BadRequest("c: no such class")
        tenant = self.tenants.get(put.tenant or "", -1) if self.tenants else 0
        if tenant < 0:
            raise BadRequest("t: no such tenant")
        if host.s.classes[cls].effect is i.Effect.KEYED and not put.key:
            raise BadRequest("k: lacks, and the class is keyed")
        # PROTOCOL has zeros there unless the class keeps an order; a known id is answered all the same.
        if put.order and not host.s.classes[cls].ordered and not self._known(put.id):
            raise BadRequest("key: must be zeros, for the class keeps no order")
        if put.id in self.arriving:
            self.arrived[self.arriving[put.id]][1].append(reply)
            return
        if self._known(put.id):
            reply.send(b"+OK\r\n")  # handed in again on a new connection: it is, or was, taken care of
            return
        if host.active_policy and not host.active_policy.may_act():
            host.active_policy.queue(put, reply)
            return
        if host.journal.open + len(self.arrived) >= host.s.max_held:
            reply.send(refusal(host.courier.come_back_us()))
            return
        now = host.journal.scale.now()
        self.numbers += 1
        m = Held(
            self.numbers,
            put.id,
            cls,
            tenant,
            put.dest,
            put.key,
            now + put.life_ms / 1e3,
            put.resubmitted,
            put.body,
            put.order,
            ran_at=host.journal.key_ran_at(put.key),
        )
        self._replace(m)
        self.arrived[m.number] = (m, [reply])
        self.arriving[m.id] = m.number
        host.observer.received(m, put.life_ms)
        host.tell(host.arrival(m))

    def _known(self, ident: str) -> bool:
        host = self.host
        return ident in self.arriving or ident in host.journal.ids or ident in host.journal.over

    def _replace(self, m: Held) -> None:
        """A key that is still open here is handed in again only by a client that gave the older one up."""
        host = self.host
        if not m.key:
            return
        for old in host.journal.held.values():
            if old.key == m.key and not old.status:
                if not m.ran_at:
                    m.ran_at, m.ran_zone = old.may_have_run_at, old.may_have_run_zone
                host.tell(i.MessageGone(old.number))
                last = host.attempts.get(old.number, 0) - 1
                host.end(old, "deferred", 0)
                host.calls.cancel(old.number, last)
                return

    def take(self, m: Held, replies: list[Reply]) -> None:
        """The module has let it in: it is recorded, then answered."""
        host, text = self.host, b"+OK\r\n"
        if host.active_policy and not host.active_policy.may_act():
            host.tell(i.MessageGone(m.number))  # the lease ended between the turn's two halves
            for reply in replies:
                reply.send(refusal(host.courier.come_back_us()))
            return
        if not any(r.wanted for r in replies):
            host.tell(i.MessageGone(m.number))  # nobody heard that it was taken on
            return
        try:
            host.journal.take(m)
        except OSError as error:
            messages_log.error("message.not_taken", message=m.id, error=error)
            text = refusal(host.courier.come_back_us())
            host.tell(i.MessageGone(m.number))
        else:
            host.guard(m)
            host.observer.accepted(m)
        for reply in replies:
            reply.send(text)


def refusal(wait_us: int) -> bytes:
    return b"-BUSY %d\r\n" % -(-wait_us // 1000) if wait_us > 0 else b"-BUSY\r\n"
