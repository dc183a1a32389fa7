"""The turn: gathers events, lets the decision module act on them, carries its actions out in order."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Iterable
from typing import Any

from hopmill import interface as i
from hopmill import logs
from hopmill.policy.courier import Courier
from hopmill.net import joining
from hopmill.net.accept import listening_socket
from hopmill.net.calls import Calls, Hooks, Item, Outcome
from hopmill.net.clients import BACKLOG, ClientServer, Reply
from hopmill.net.config import Address, Config, Options
from hopmill.net.discovery import Notices, Watch
from hopmill.net.handover import HandOver
from hopmill.net.intake import Intake, refusal
from hopmill.net.observer import Observer
from hopmill.net.operator import Door
from hopmill.net.pool import ASKED, Pool
from hopmill.net.resp import MAX_REQUEST
from hopmill.net.restart import Restart
from hopmill.net.roster import Roster
from hopmill.net.staff import Staff
from hopmill.net.state import Held, Journal
from hopmill.net.upgrade import Cargo, Owner

OVERDUE_S = 0.1  # a message this long past its time with no end is ended here: the last line of defence
UNRUN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
# Shares of the limit on open files; the rest is for calls, discovery, the journal and Python itself. Clients
# may hold a third: over that they can't ask at all, so idle connections are closed before there are so many.
CLIENT_SHARE, IDLE_SHARE = 0.3, 0.2
MEMORY_SHARE = 1 / 8  # of the memory is for requests that are half way: each may be as long as the longest
log, messages_log, policy_log = logs.part("courier"), logs.part("messages"), logs.part("policy")


class Host:
    """One courier on real sockets."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, owner: Owner, cargo: Cargo | None = None
    ) -> None:
        """owner: the right to act on the journal; cargo: what came with it from the process before."""
        self.loop, self.config, self.s = loop, config, config.settings
        self.upgrade = HandOver(self, owner, cargo)
        self.courier = Courier(self.s, config.seed)
        self.peers: Any = None  # hopmill/net/peers.py, where the configuration names a fleet
        self.in_force: Any = None  # hopmill/net/in_force.py, where something may differ from the file
        self.journal = Journal(
            owner.folder,
            config.disk_bytes - joining.fleet_bytes(config),
            max(c.key_window_us for c in self.s.classes) / 1e6,
        )
        self.roster = Roster(self.s, config.zones, self.courier.may_serve)
        self.events: list[i.Event] = []
        self.intake = Intake(self)
        self.guards: dict[int, asyncio.TimerHandle] = {}
        self.attempts: dict[int, int] = {}  # numbers of the next attempts, as the decision module counts
        self.scheduled = False
        self.last_turn = -self.s.tick_us
        self.restart = Restart(self)
        hooks = Hooks(
            lambda endpoint: self.roster.may_write(endpoint, self.clock()),
            self._begin,
            self._ended,
            lambda endpoint, wait_us: self.roster.told_wait(endpoint, self.clock() + wait_us),
            self._probed,
        )
        self.pool = Pool(
            loop,
            self.s.connection_idle_us,
            self.s.connect_timeout_us,
            int(config.sockets * IDLE_SHARE),
            self.roster.wanted,
        )
        self.calls = Calls(loop, hooks, self.pool)
        places = min(config.sockets * CLIENT_SHARE, config.memory_bytes * MEMORY_SHARE / MAX_REQUEST)
        self.clients = ClientServer(self.intake.put, max(8, int(places)))
        self.notices = Notices(loop, config.discovery, self._accepted)
        self.watch = Watch(loop, config.discovery, config.known["rev"], self.listed, self.s.couriers)
        self.options = Options()
        self.observer = Observer(self.s)
        self.metrics: Any = None  # counted only while the operators' door is open
        self.due = 0  # when the next turn was to begin, in us of the monotonic clock
        self.moved_to: Address | None = None  # where discovery went with a changed configuration
        self.staff = Staff(
            self.courier,
            self.journal,
            self.roster,
            self.pool,
            self.clients,
            self.clock,
            self.act,
            lambda: self.clients.listening and not self.restart.closing_at,
        )
        self.door = Door(self.staff.routes(), config.sockets)

    def start(self) -> int:
        """Restore, take the first turn, then listen: a PING is answered from here on. Returns the port."""
        carried = self.upgrade.carried
        self.roster.uids.update(carried.get("uids", {}))
        known = carried.get("known", self.config.known)
        self.listed({"all": True, "targets": known["targets"]}, i.ListForm.CACHED)
        number, zone = self.roster.number, self.roster.zone
        self.events += [i.SetByHand(number(uid), True) for uid in sorted(self.journal.out_by_hand)]
        self.events += [i.SetZoneByHand(zone(name), True) for name in sorted(self.journal.zones_out)]
        self.watch.rev = known["rev"]
        self.set_options(self.config.options)
        joining.go_by_policy(self)
        if carried:
            self.upgrade.resume()
        else:
            self.restore(set())
            self.turn()
        joining.join_fleet(self)
        self.clients.drain(self.journal.drained)
        self.watch.open()
        port = self.clients.listen(self._listening_socket())
        if self.config.operator:
            self._count()
            self.door.listen(self.config.operator)
        if carried:
            self.upgrade.resume_connections()
        if self.config.listen_fd is not None:
            self.upgrade.offer()
        return port

    def _listening_socket(self) -> socket.socket:
        if self.config.listen_fd is None:
            return listening_socket(self.config.listen, BACKLOG)
        return socket.socket(fileno=os.dup(self.config.listen_fd))

    def restore(self, out: set[int]) -> None:
        """What the journal holds. out: messages whose newest attempt goes on in this process."""
        for m in list(self.journal.held.values()):
            if m.status:
                self.notices.add(m.number, m.id, m.status, m.again_ms)
            else:
                self.events.append(self.arrival(m, m.number in out, True))
                self.guard(m)

    def clock(self) -> int:
        return time.monotonic_ns() // 1000

    def _mono(self, at: float) -> int:
        """On the module's clock, of a time in the journal."""
        return self.clock() + int((at - self.journal.scale.now()) * 1e6)

    def arrival(self, m: Held, out: bool = False, restored: bool = False) -> i.MessageArrived:
        ran, zone = (m.ran_at, m.ran_zone) if out else (m.may_have_run_at, m.may_have_run_zone)
        return i.MessageArrived(
            m.number,
            m.cls,
            m.dest,
            self._mono(m.until),
            m.tenant,
            m.order,
            m.resubmitted,
            m.tries,
            self._mono(ran) if ran else -1,
            self.roster.zones.get(zone, -1),
            out,
            restored,
        )

    # The turn

    def tell(self, event: i.Event) -> None:
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Take a turn as soon as what has come in with this event is read, a tick after the last at least."""
        if self.scheduled:
            return
        self.scheduled = True
        now = self.clock()
        early = self.last_turn + self.s.tick_us - now
        self.due = now + max(0, early)
        if early <= 0:
            self.loop.call_soon(self.turn)
        else:
            self.loop.call_later(early / 1e6, self.turn)

    def turn(self) -> None:
        self.scheduled = False
        self.last_turn = now = self.clock()
        late, self.due = now - (self.due or now), 0
        events: list[i.Event] = [i.Connections(*news) for news in self.pool.news()]
        events += self.events
        self.events = []
        arrived = self.intake.turn()
        try:
            actions: Iterable[i.Action] = self.courier.handle(now, events)
        except Exception:  # one bad turn must not end the process; each message still has its guard
            log.exception("turn.failed", count=len(events))
            actions = [i.Fail(n) for n in arrived]
        try:
            self._carry_out(list(actions), arrived)
        except Exception:
            log.exception("actions.failed", count=len(actions))
            for _, replies in arrived.values():
                for reply in replies:
                    reply.send(b"-ERR internal error\r\n")
        if self.metrics:
            self.metrics.turn((self.clock() - now) / 1e6, late / 1e6)

    def _carry_out(self, actions: list[i.Action], arrived: dict[int, tuple[Held, list[Reply]]]) -> None:
        for a in actions:
            if isinstance(a, (i.Refuse, i.Fail)) and a.message in arrived:
                m, replies = arrived.pop(a.message)
                self.observer.refused(m, a.retry_after_us if isinstance(a, i.Refuse) else 0)
                for reply in replies:
                    reply.send(refusal(a.retry_after_us) if isinstance(a, i.Refuse) else b"-ERR failed\r\n")
        for m, replies in arrived.values():
            self.intake.take(m, replies)
        bundles: dict[int, list[Item]] = {}
        for a in actions:
            if isinstance(a, i.Send):
                self._send(a, bundles)
            elif isinstance(a, (i.Refuse, i.Fail)):
                self._final(a)
            elif isinstance(a, i.SetTimer):
                self.loop.call_later(a.delay_us / 1e6 + 5e-5, self.tell, i.TimerDue(a.token))
            elif isinstance(a, i.CloseIdle):
                self.pool.close_idle(a.endpoint, ASKED)
            elif isinstance(a, i.Keep):
                self.pool.keep(a.endpoint, a.most)
            elif isinstance(a, i.OpenIdle):
                self.pool.warm(a.endpoint)
            elif isinstance(a, i.Cancel):
                self.calls.cancel(a.message, a.attempt)
            elif isinstance(a, i.Probe):
                self.calls.probe(a.endpoint)
            elif isinstance(a, i.Log):
                policy_log.info("policy", text=a.text)
        for endpoint, items in bundles.items():
            most = self.roster.batch(endpoint)
            for at in range(0, len(items), most):
                self._call(endpoint, items[at : at + most])

    # Ends

    def guard(self, m: Held) -> None:
        delay = max(0.0, m.until + OVERDUE_S - self.journal.scale.now())
        self.guards[m.number] = self.loop.call_later(delay, self._overdue, m.number)

    def _overdue(self, number: int) -> None:
        m = self.journal.held.get(number)
        if m and not m.status:
            messages_log.error("message.overdue", message=m.id)
            self.tell(i.MessageGone(number))
            self.end(m, "undeliverable", 0)

    def _final(self, a: i.Refuse | i.Fail) -> None:
        m = self.journal.held.get(a.message)
        if m is None or m.status:
            return
        if isinstance(a, i.Refuse):
            self.end(m, "deferred", -(-a.retry_after_us // 1000))
        else:
            self.end(m, "undeliverable", 0)

    def end(self, m: Held, status: str, again_ms: int) -> None:
        """Owe the notice, then send it."""
        try:
            self.journal.final(m.number, status, again_ms)
        except OSError as error:  # sent all the same: to end it once more after a restart does no harm
            log.error("journal.failed", error=error)
            self.journal.settle(m, status, again_ms)
        self._unguard(m.number)
        self.attempts.pop(m.number, None)
        self.observer.over(m, status, again_ms)
        self.notices.add(m.number, m.id, status, again_ms)

    def _unguard(self, number: int) -> None:
        if guard := self.guards.pop(number, None):
            guard.cancel()

    def _accepted(self, numbers: list[int]) -> None:
        if messages_log.debug_enabled:
            for m in (self.journal.held[n] for n in numbers if n in self.journal.held):
                self.observer.told(m)
        self.note(self.journal.told, numbers)
        self.restart.maybe_exit()

    def note(self, write: Any, *args: Any) -> None:
        """A record whose loss does no harm: a restart then takes the more careful view."""
        try:
            write(*args)
        except OSError as error:
            log.error("journal.failed", error=error)

    # Calls

    def _send(self, a: i.Send, bundles: dict[int, list[Item]]) -> None:
        m = self.journal.held.get(a.message)
        attempt = self.attempts.get(a.message, m.tries if m else 0)
        self.attempts[a.message] = attempt + 1
        if m is None or m.status:
            self.tell(i.AttemptEnded(a.message, attempt, a.endpoint, i.Result.MOOT, 0, m is None))
            return
        item = Item(m.number, attempt, m.id, m.key, m.body, a.timeout_us)
        if messages_log.debug_enabled:
            self.observer.sent(m, attempt, self.roster.uid(a.endpoint), a.timeout_us)
        if self.roster.batch(a.endpoint) > 1:
            bundles.setdefault(a.endpoint, []).append(item)
        else:
            self._call(a.endpoint, [item])

    def _call(self, endpoint: int, items: list[Item]) -> None:
        try:
            self.calls.send(endpoint, items)
        except Exception:  # its slots and messages must not hang on it
            log.exception("call.failed", endpoint=self.roster.uid(endpoint))
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = i.Result.RESET if item.begun else i.Result.MOOT
                    self._ended(item, endpoint, Outcome(result), 0)

    def _begin(self, endpoint: int, items: list[Item]) -> list[Item]:
        now = self.journal.scale.now()
        items = [x for x in items if (m := self.journal.held.get(x.number)) and self._repeats(m, now)]
        if not items:
            return items
        try:
            self.journal.attempt([n.number for n in items], now, self.roster.zone_of(endpoint))
        except OSError as error:
            log.error("journal.failed", error=error)
            return []
        if self.in_force and not self.in_force.may_act():  # the last thing before the call is written
            for item in items:
                self.note(self.journal.missed, item.number)
            return []
        return items

    def _repeats(self, m: Held, now: float) -> bool:
        """Whether its class allows another attempt at this moment: the module has decided some time ago, and
        a connection may have taken long to come up."""
        cls, ran_at = self.s.classes[m.cls], m.may_have_run_at
        if not ran_at or cls.effect is i.Effect.SAFE:
            return True
        window = cls.key_window_us if cls.effect is i.Effect.KEYED else 0
        return now < ran_at + (window - 3 * self.s.tick_us) / 1e6

    def _ended(self, item: Item, endpoint: int, outcome: Outcome, latency: int) -> None:
        m = self.journal.held.get(item.number)
        over = outcome.over or m is None
        if m and (self.metrics or self.observer.counting or messages_log.debug_enabled):
            self.observer.ended(
                m, item.attempt, self.roster.uid(endpoint), outcome.result, latency, outcome.wait_us
            )
        if outcome.over and m:
            if not m.status:
                self.observer.over(m, "delivered" if outcome.result is i.Result.OK else "withdrawn")
            self.note(self.journal.done, m.number)
            self._unguard(m.number)
        elif m and item.begun and outcome.result in UNRUN:
            self.note(self.journal.missed, m.number)
        if over:
            self.attempts.pop(item.number, None)
        named = dict(outcome.report)
        report = tuple(named.get(name, 0.0) for name in self.s.report_fields) if named else ()
        self.tell(
            i.AttemptEnded(
                item.number,
                item.attempt,
                endpoint,
                outcome.result,
                max(1, latency),
                over,
                outcome.wait_us,
                report,
                item.idle_us,
            )
        )
        self.restart.maybe_exit()

    def _probed(self, endpoint: int, result: i.Result, latency: int) -> None:
        self.tell(i.ProbeEnded(endpoint, result, latency))

    # News

    def listed(self, change: dict[str, Any], form: i.ListForm | None = None) -> None:
        self.tell(self.roster.listed(change, form, self.pool))

    def act(self, event: i.Event) -> None:
        """An operator's word holds from the answer on: its turn comes before that."""
        self.events.append(event)
        self.turn()

    def _count(self) -> None:
        """Only here is the library read: what is not asked for costs a courier in service no memory."""
        from hopmill.net.metrics import HostState, Metrics

        self.metrics = Metrics(tuple(c.name for c in self.s.classes), HostState(self))
        self.observer.meters = self.staff.metrics = self.metrics

    def set_options(self, options: Options) -> None:
        """Only what changes is told: while a part is off the module never hears of it."""
        if options != self.options:
            log.info("config.options", warm_up=options.warm_up)
            self.options = options
            self.tell(i.WarmUp(options.warm_up))

    def move_discovery(self, address: Address) -> None:
        """A changed configuration: the list comes from there and notices go there from now on."""
        self.moved_to = address
        self.watch.move(address)
        self.notices.move(address)

    def close(self) -> None:
        """Let go of everything at once; the journal already holds what is open."""
        if self.peers:
            self.peers.close()
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        self.pool.close()
        self.clients.stop_listening()
        self.door.close()
        self.journal.close()
        self.upgrade.close()
