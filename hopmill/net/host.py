"""The turn: gathers events, lets the decision module act on them, carries its actions out in order."""

from __future__ import annotations

import asyncio
import ipaddress
import math
import os
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

from hopmill import interface as i
from hopmill import logs, observe
from hopmill.policy.courier import Courier
from hopmill.net.accept import listening_socket
from hopmill.net.calls import Calls, Hooks, Item, Outcome
from hopmill.net.clients import BACKLOG, BadRequest, ClientServer, Put, Reply
from hopmill.net.config import Address, Config, ConfigError, Options, parse_address
from hopmill.net.discovery import Notices, Watch
from hopmill.net.observer import Observer
from hopmill.net.operator import Door, Page, Routes
from hopmill.net.pool import ASKED, MOST_ROWS, Pool
from hopmill.net.resp import MAX_REQUEST
from hopmill.net.state import Held, Journal
from hopmill.net.upgrade import Cargo, Link, NotHandedOver, Owner, hand_over

STATES = {"in_service": i.EndpointState.READY, "terminating": i.EndpointState.DRAINING,
          "terminated": i.EndpointState.GONE}
OVERDUE_S = 0.1  # a message this long past its time with no end is ended here: the last line of defence
UNRUN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
# Shares of the limit on open files; the rest is for calls, discovery, the journal and Python itself. Clients
# may hold a third: over that they can't ask at all, so idle connections are closed before there are so many.
CLIENT_SHARE, IDLE_SHARE = 0.3, 0.2
MEMORY_SHARE = 1 / 8  # of the memory is for requests that are half way: each may be as long as the longest
# A planned restart, in seconds from SIGTERM: new clients come until LISTEN_S, calls may last until CALLS_S.
LISTEN_S, CALLS_S, EXIT_S = 0.5, 3.2, 3.4
FORMAT = 1  # of what an upgrade hands over; one that is not known counts as nothing
MOST_ZONES = 256  # an entry with one more is not used: names must not pile up
LAST_TURNS = 5  # taken before a hand-over, until nothing has come in
AGAIN_S = 1.0  # after one that failed, until the next is tried: the loop stands still in each
SPARE_FDS = 24  # what a new process has open before it is given anything
log, messages_log, policy_log = logs.part("courier"), logs.part("messages"), logs.part("policy")


class Host:
    """One courier on real sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, owner: Owner,
                 cargo: Cargo | None = None) -> None:
        """owner: the right to act on the journal; cargo: what came with it from the process before."""
        self.loop, self.config, self.s = loop, config, config.settings
        self.owner, self.cargo = owner, cargo or Cargo()
        if self.cargo.values.get("format") != FORMAT:
            self.cargo.close()
            self.cargo = Cargo()
        self.link: Link | None = None
        self.courier = Courier(self.s, config.seed)
        self.journal = Journal(owner.folder, config.disk_bytes,
                               max(c.key_window_us for c in self.s.classes) / 1e6)
        self.numbers = self.journal.last
        self.classes = {c.name: n for n, c in enumerate(self.s.classes)}
        self.tenants = {t.name: n for n, t in enumerate(self.s.tenants)}
        self.kinds = {k.name: n for n, k in enumerate(self.s.kinds)}
        self.zones = {z: n for n, z in enumerate(config.zones)}
        self.uids: dict[str, int] = {}
        self.entries: dict[int, i.ListEntry] = {}
        self.targets: dict[int, dict[str, Any]] = {}  # the same as discovery told them
        self.waits: dict[tuple[int, int], int] = {}  # told waits, by destination or route: when they end
        self.events: list[i.Event] = []
        self.arrived: dict[int, tuple[Held, list[Reply]]] = {}  # not answered yet
        self.arriving: dict[str, int] = {}  # their ids
        self.guards: dict[int, asyncio.TimerHandle] = {}
        self.attempts: dict[int, int] = {}  # numbers of the next attempts, as the decision module counts
        self.scheduled = False
        self.last_turn = -self.s.tick_us
        self.closing_at = 0.0
        self.closed: asyncio.Future[None] = loop.create_future()
        self.handing_over: asyncio.Task[None] | None = None
        self.no_upgrade_until = 0.0
        self.leave: Callable[[], None] = lambda: os._exit(0)  # at once: what is open belongs to another now
        hooks = Hooks(self._may_write, self._begin, self._ended, self._told_wait, self._probed)
        self.pool = Pool(loop, self.s.connection_idle_us, self.s.connect_timeout_us,
                         int(config.sockets * IDLE_SHARE), self._wanted)
        self.calls = Calls(loop, hooks, self.pool)
        places = min(config.sockets * CLIENT_SHARE, config.memory_bytes * MEMORY_SHARE / MAX_REQUEST)
        self.clients = ClientServer(self.put, max(8, int(places)))
        self.notices = Notices(loop, config.discovery, self._accepted)
        self.watch = Watch(loop, config.discovery, config.known["rev"], self.listed, self.s.couriers)
        self.options = Options()
        self.observer = Observer(self.s)
        self.metrics: Any = None  # counted only while the operators' door is open
        self.due = 0  # when the next turn was to begin, in us of the monotonic clock
        self.moved_to: Address | None = None  # where discovery went with a changed configuration
        self.door = Door(Routes(("GET", "/healthcheck", self._healthcheck),
                                ("POST", "/healthcheck/fail", lambda: self._drain(True)),
                                ("POST", "/healthcheck/ok", lambda: self._drain(False)),
                                ("GET", "/metrics", self._metrics),
                                ("GET", "/endpoints", self._endpoints),
                                ("GET", "/lanes", self._lanes),
                                ("GET", "/connections", lambda: (200, self.pool.figures(self.uid))),
                                ("GET", "/connections/*", self._connections),
                                ("GET", "/zones", self._zones),
                                ("POST", "/zones/*/maint", lambda name: self._set_zone_by_hand(name, True)),
                                ("POST", "/zones/*/ready", lambda name: self._set_zone_by_hand(name, False)),
                                ("POST", "/endpoints/*/maint", lambda uid: self._set_by_hand(uid, True)),
                                ("POST", "/endpoints/*/ready", lambda uid: self._set_by_hand(uid, False))),
                         config.sockets)

    def start(self) -> int:
        """Restore, take the first turn, then listen: a PING is answered from here on. Returns the port."""
        carried = self.cargo.values
        self.uids.update(carried.get("uids", {}))
        known = carried.get("known", self.config.known)
        self.listed({"all": True, "targets": known["targets"]}, i.ListForm.CACHED)
        self.events += [i.SetByHand(self._number(uid), True) for uid in sorted(self.journal.out_by_hand)]
        self.events += [i.SetZoneByHand(self._zone(name), True) for name in sorted(self.journal.zones_out)]
        self.watch.rev = known["rev"]
        self.set_options(self.config.options)
        if carried:
            self._resume(carried)
        else:
            self._restore(set())
            self.turn()
        self.clients.drain(self.journal.drained)
        self.watch.open()
        port = self.clients.listen(self._listening_socket())
        if self.config.operator:
            self._count()
            self.door.listen(self.config.operator)
        if carried:
            self._resume_connections(carried)
            self.cargo = Cargo()  # all of it has its owner now
        if self.config.listen_fd is not None:
            self._offer_upgrades()
        return port

    def _listening_socket(self) -> socket.socket:
        if self.config.listen_fd is None:
            return listening_socket(self.config.listen, BACKLOG)
        return socket.socket(fileno=os.dup(self.config.listen_fd))

    def _restore(self, out: set[int]) -> None:
        """What the journal holds. out: messages whose newest attempt goes on in this process."""
        for m in list(self.journal.held.values()):
            if m.status:
                self.notices.add(m.number, m.id, m.status, m.again_ms)
            else:
                self.events.append(self._arrival(m, m.number in out))
                self._guard(m)

    # Upgrades: docs/operations.md has the steps

    def _offer_upgrades(self) -> None:
        try:
            self.link = Link(self.owner.folder)
        except OSError as error:  # it serves all the same; an upgrade then waits for its end
            log.error("upgrade.not_offered", error=error)
            return
        self.loop.add_reader(self.link.sock, self._asked_to_hand_over)

    def _asked_to_hand_over(self) -> None:
        sock = self.link.accept() if self.link else None
        if sock is None:
            return
        if self.handing_over or self.loop.time() < self.no_upgrade_until:
            sock.close()  # it asks again
        else:
            self.handing_over = self.loop.create_task(self._hand_over(sock))

    async def _hand_over(self, sock: socket.socket) -> None:
        began = self.loop.time()
        acceptors = [*self.door.acceptors, *([self.clients.acceptor] if self.clients.listening else [])]
        for acceptor in acceptors:
            acceptor.stop()
        try:
            while any(acceptor.joining for acceptor in acceptors):  # none is taken that nobody reads
                await asyncio.sleep(0)
            for _ in range(LAST_TURNS):  # those that end calls unsent make events anew
                if self.events or self.arrived:
                    self.turn()
            # From here on the loop stands still: nothing else happens in this process.
            hand_over(sock, self._cargo(), self.owner, self.leave)
        except NotHandedOver as error:
            log.error("upgrade.not_handed_over", error=error)
        except Exception:  # whatever it was, this process is still the owner
            log.exception("upgrade.not_handed_over")
        sock.close()
        self.handing_over, self.no_upgrade_until = None, self.loop.time() + AGAIN_S
        log.warning("upgrade.stood_still", seconds=round(self.loop.time() - began, 3))
        for acceptor in acceptors:
            if acceptor.open:
                acceptor.start()

    def _cargo(self) -> Cargo:
        """What the journal does not hold. Both processes' copies count as open descriptors."""
        room = self.config.sockets - len(os.listdir("/proc/self/fd")) - SPARE_FDS
        cargo = Cargo({"format": FORMAT})
        cargo.values.update(
            uids=self.uids, known={"rev": self.watch.rev, "targets": list(self.targets.values())},
            waits=[[*key, until] for key, until in self.waits.items()],
            learned=self.courier.carry(), returning=self._zones_returning(),
            calls=self.calls.carry(cargo), unwritten=self.calls.unwritten(),
            door=self.door.carry(cargo), moved=self.moved_to)
        cargo.values["clients"] = self.clients.carry(cargo, max(1, room - len(cargo.fds)))
        cargo.values["idle"] = self.pool.carry_idle(cargo, room - len(cargo.fds))
        return cargo

    def _resume(self, carried: dict[str, Any]) -> None:
        """The first turn after an upgrade: the module hears what was learned and which calls are out. What it
        sends then may go over the idle connections, so these have their owner before."""
        self.waits = {(dest, route): until for dest, route, until in carried["waits"]}
        self.pool.resume_idle([
            (endpoint, tuple(address), self._carried_sock(place), since, self._born(place, since))
            for endpoint, address, place, since, *_ in carried.get("idle", ())])
        self.events += [i.ZoneCarried(self._zone(name), since, until)
                        for name, since, until in carried.get("returning", ())]
        self.events += [i.Carried(endpoint, figures) for endpoint, figures in carried["learned"]]
        for number in carried["unwritten"]:
            self._note(self.journal.missed, number)
        calls = [(endpoint, int(started * 1e6), tuple(n for n, _, ended in items if not ended))
                 for endpoint, _, _, started, items, *_ in carried["calls"]]
        self._restore({number for _, _, numbers in calls for number in numbers})
        self.events += [i.CallCarried(*call) for call in calls]
        self.turn()

    def _carried_sock(self, place: int) -> socket.socket:
        return socket.socket(fileno=self.cargo.fds[place])

    def _born(self, place: int, since: float) -> float:
        """When a connection was opened, wall clock; the version before told only when it was in use."""
        told = self.cargo.values.get("born", {}).get(place)
        return told if told is not None else time.time() - (self.loop.time() - since)

    def _resume_connections(self, carried: dict[str, Any]) -> None:
        sock = self._carried_sock
        if carried["moved"]:
            self.move_discovery((carried["moved"][0], carried["moved"][1]))
        for endpoint, address, place, started, rows, received, *_ in carried["calls"]:
            items = [self._carried_item(*row) for row in rows]
            self.calls.resume(endpoint, tuple(address), sock(place), self._born(place, started), started,
                              items, received)
        for place, *rest in carried["clients"]:
            self.clients.resume(sock(place), *rest)
        door = carried["door"]
        if door["listening"] is not None:
            self.door.resume(sock(door["listening"]), [(sock(p), heard) for p, heard in door["callers"]])

    def _carried_item(self, number: int, timeout_us: int, ended: bool) -> Item:
        m = self.journal.held.get(number)
        if m is None:
            return Item(number, -1, "", "", b"", timeout_us, True, ended)
        return Item(number, m.tries - 1, m.id, m.key, m.body, timeout_us, True, ended)

    def clock(self) -> int:
        return time.monotonic_ns() // 1000

    def _mono(self, wall: float) -> int:
        return self.clock() + int((wall - time.time()) * 1e6)

    def _arrival(self, m: Held, out: bool = False) -> i.MessageArrived:
        ran = m.ran_at if out else m.may_have_run_at
        return i.MessageArrived(m.number, m.cls, m.dest, self._mono(m.until), m.tenant, m.order,
                                m.resubmitted, m.tries, self._mono(ran) if ran else -1, out)

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
        arrived, self.arrived = self.arrived, {}
        self.arriving.clear()
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
            self._take(m, replies)
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
            most = self._batch(endpoint)
            for at in range(0, len(items), most):
                self._call(endpoint, items[at:at + most])

    # Clients

    def put(self, put: Put, reply: Reply) -> None:
        """A message is handed in. It is answered in the turn that follows."""
        cls = self.classes.get(put.cls)
        if cls is None:
            raise BadRequest("c: no such class")
        tenant = self.tenants.get(put.tenant or "", -1) if self.tenants else 0
        if tenant < 0:
            raise BadRequest("t: no such tenant")
        if self.s.classes[cls].effect is i.Effect.KEYED and not put.key:
            raise BadRequest("k: lacks, and the class is keyed")
        # PROTOCOL has zeros there unless the class keeps an order; a known id is answered all the same.
        if put.order and not self.s.classes[cls].ordered and not self._known(put.id):
            raise BadRequest("key: must be zeros, for the class keeps no order")
        if put.id in self.arriving:
            self.arrived[self.arriving[put.id]][1].append(reply)
            return
        if self._known(put.id):
            reply.send(b"+OK\r\n")  # handed in again on a new connection: it is, or was, taken care of
            return
        if sum(not m.status for m in self.journal.held.values()) + len(self.arrived) >= self.s.max_held:
            reply.send(refusal(self.courier.come_back_us()))
            return
        now = time.time()
        self.numbers += 1
        m = Held(self.numbers, put.id, cls, tenant, put.dest, put.key, now + put.life_ms / 1e3,
                 put.resubmitted, put.body, put.order, ran_at=self.journal.key_ran_at(put.key))
        self._replace(m)
        self.arrived[m.number] = (m, [reply])
        self.arriving[m.id] = m.number
        self.observer.put(m, put.life_ms)
        self.tell(self._arrival(m))

    def _known(self, ident: str) -> bool:
        return ident in self.arriving or ident in self.journal.ids or ident in self.journal.over

    def _replace(self, m: Held) -> None:
        """A key that is still open here is handed in again only by a client that gave the older one up."""
        if not m.key:
            return
        for old in self.journal.held.values():
            if old.key == m.key and not old.status:
                m.ran_at = m.ran_at or old.may_have_run_at
                self.tell(i.MessageGone(old.number))
                last = self.attempts.get(old.number, 0) - 1
                self._end(old, "deferred", 0)
                self.calls.cancel(old.number, last)
                return

    def _take(self, m: Held, replies: list[Reply]) -> None:
        text = b"+OK\r\n"
        if not any(r.wanted for r in replies):
            self.tell(i.MessageGone(m.number))  # nobody heard that it was taken on
            return
        try:
            self.journal.take(m)
        except OSError as error:
            messages_log.error("message.not_taken", message=m.id, error=error)
            text = refusal(self.courier.come_back_us())
            self.tell(i.MessageGone(m.number))
        else:
            self._guard(m)
            self.observer.taken(m)
        for reply in replies:
            reply.send(text)

    def _guard(self, m: Held) -> None:
        delay = max(0.0, m.until + OVERDUE_S - time.time())
        self.guards[m.number] = self.loop.call_later(delay, self._overdue, m.number)

    def _overdue(self, number: int) -> None:
        m = self.journal.held.get(number)
        if m and not m.status:
            messages_log.error("message.overdue", message=m.id)
            self.tell(i.MessageGone(number))
            self._end(m, "undeliverable", 0)

    # Ends

    def _final(self, a: i.Refuse | i.Fail) -> None:
        m = self.journal.held.get(a.message)
        if m is None or m.status:
            return
        if isinstance(a, i.Refuse):
            self._end(m, "deferred", -(-a.retry_after_us // 1000))
        else:
            self._end(m, "undeliverable", 0)

    def _end(self, m: Held, status: str, again_ms: int) -> None:
        """Owe the notice, then send it."""
        try:
            self.journal.final(m.number, status, again_ms)
        except OSError as error:  # sent all the same: to end it once more after a restart does no harm
            log.error("journal.failed", error=error)
            m.status, m.again_ms = status, again_ms
        self._unguard(m.number)
        self.attempts.pop(m.number, None)
        self.observer.over(m, status, again_ms)
        self.notices.add(m.number, m.id, status, again_ms)

    def _unguard(self, number: int) -> None:
        if guard := self.guards.pop(number, None):
            guard.cancel()

    def _accepted(self, numbers: list[int]) -> None:
        if messages_log.debugs:
            for m in (self.journal.held[n] for n in numbers if n in self.journal.held):
                self.observer.told(m)
        self._note(self.journal.told, numbers)
        self._maybe_exit()

    def _note(self, write: Any, *args: Any) -> None:
        """A record whose loss does no harm: a restart then takes the more careful view."""
        try:
            write(*args)
        except OSError as error:
            log.error("journal.failed", error=error)

    # Calls

    def _batch(self, endpoint: int) -> int:
        entry = self.entries.get(endpoint)
        return self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)].batch if entry else 1

    def _send(self, a: i.Send, bundles: dict[int, list[Item]]) -> None:
        m = self.journal.held.get(a.message)
        attempt = self.attempts.get(a.message, m.tries if m else 0)
        self.attempts[a.message] = attempt + 1
        if m is None or m.status:
            self.tell(i.AttemptEnded(a.message, attempt, a.endpoint, i.Result.MOOT, 0, m is None))
            return
        item = Item(m.number, attempt, m.id, m.key, m.body, a.timeout_us)
        if messages_log.debugs:
            self.observer.sent(m, attempt, self.uid(a.endpoint), a.timeout_us)
        if self._batch(a.endpoint) > 1:
            bundles.setdefault(a.endpoint, []).append(item)
        else:
            self._call(a.endpoint, [item])

    def _call(self, endpoint: int, items: list[Item]) -> None:
        longest = max(item.timeout_us for item in items)
        for item in items:
            left = self._mono(self.journal.held[item.number].until) - self.clock() - 2 * self.s.tick_us
            item.timeout_us = max(item.timeout_us, min(longest, left))
        try:
            self.calls.send(endpoint, items)
        except Exception:  # its slots and messages must not hang on it
            log.exception("call.failed", endpoint=self.uid(endpoint))
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = i.Result.RESET if item.begun else i.Result.MOOT
                    self._ended(item, endpoint, Outcome(result), 0)

    def _wait_key(self, endpoint: int) -> tuple[int, int]:
        entry = self.entries.get(endpoint)
        if entry is None:
            return (-1, endpoint)
        apart = self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)].routes_apart
        return (entry.destination, endpoint if apart else -1)

    def _told_wait(self, endpoint: int, wait_us: int) -> None:
        key = self._wait_key(endpoint)
        self.waits[key] = max(self.waits.get(key, 0), self.clock() + wait_us)

    def _wanted(self, endpoint: int) -> bool:
        """Neither draining, nor gone, nor out by hand: it may get calls, and connections for them."""
        entry = self.entries.get(endpoint)
        ready = entry is not None and entry.state is i.EndpointState.READY
        return ready and self.courier.may_serve(endpoint, entry.zone)

    def _may_write(self, endpoint: int) -> bool:
        """News that came while a connection was being made holds for the call that waits for it."""
        return self._wanted(endpoint) and self.waits.get(self._wait_key(endpoint), 0) <= self.clock()

    def _begin(self, items: list[Item]) -> bool:
        if any(n.number not in self.journal.held for n in items):
            return False
        try:
            self.journal.attempt([n.number for n in items], time.time())
        except OSError as error:
            log.error("journal.failed", error=error)
            return False
        return True

    def _ended(self, item: Item, endpoint: int, outcome: Outcome, latency: int) -> None:
        m = self.journal.held.get(item.number)
        over = outcome.over or m is None
        if m and (self.metrics or messages_log.debugs):
            self.observer.ended(m, item.attempt, self.uid(endpoint), outcome.result, latency, outcome.wait_us)
        if outcome.over and m:
            if not m.status:
                self.observer.over(m, "delivered" if outcome.result is i.Result.OK else "withdrawn")
            self._note(self.journal.done, m.number)
            self._unguard(m.number)
        elif m and item.begun and outcome.result in UNRUN:
            self._note(self.journal.missed, m.number)
        if over:
            self.attempts.pop(item.number, None)
        named = dict(outcome.report)
        report = tuple(named.get(name, 0.0) for name in self.s.report_fields) if named else ()
        self.tell(i.AttemptEnded(item.number, item.attempt, endpoint, outcome.result, max(1, latency), over,
                                 outcome.wait_us, report, item.idle_us))
        self._maybe_exit()

    def _probed(self, endpoint: int, result: i.Result, latency: int) -> None:
        self.tell(i.ProbeEnded(endpoint, result, latency))

    # The list

    def listed(self, change: dict[str, Any], form: i.ListForm | None = None) -> None:
        form = form or (i.ListForm.FULL if change.get("all") else i.ListForm.DELTA)
        entries = []
        for target in change.get("targets", []):
            try:
                entry, address, boot_ms = self._entry(target)
            except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
                log.error("discovery.entry_unreadable", error=error)
                continue
            entries.append(entry)
            self.entries[entry.endpoint], self.targets[entry.endpoint] = entry, target
            self.pool.place(entry.endpoint, address, boot_ms)
        if form is not i.ListForm.DELTA:
            named = {e.endpoint for e in entries}
            for number in [n for n in self.entries if n not in named]:
                self._gone(number)
        for entry in entries:
            if entry.state is i.EndpointState.GONE:
                self._gone(entry.endpoint)
            elif entry.state is i.EndpointState.DRAINING:
                self.pool.close_idle(entry.endpoint)
        self.tell(i.EndpointsListed(form, tuple(entries)))

    def _gone(self, endpoint: int) -> None:
        self.entries.pop(endpoint, None)
        self.targets.pop(endpoint, None)
        self.pool.forget(endpoint)

    def _entry(self, target: dict[str, Any]) -> tuple[i.ListEntry, Address, float]:
        number = self._number(str(target["uid"]))
        kind, zone = self.kinds.get(target.get("model", ""), 0), self._zone(str(target.get("az", "")))
        rate = float(target.get("capacity_hint") or 0.0)
        if not math.isfinite(rate):  # the decision module would pace by it
            raise ValueError("capacity_hint")
        entry = i.ListEntry(number, int(target["pod_group"]), STATES[target["state"]], rate, kind, zone)
        address = parse_address(target["endpoint"], "endpoint")
        ipaddress.ip_address(address[0])  # a name would be looked up, and block the loop
        boot_ms = float(target.get("boot_ms") or 0.0)
        if not math.isfinite(boot_ms):
            raise ValueError("boot_ms")
        return entry, address, boot_ms

    def _zone(self, name: str) -> int:
        """Those of the settings come first; the list and staff may name more, up to a bound."""
        if name not in self.zones and len(self.zones) >= MOST_ZONES:
            raise ValueError("az")
        return self.zones.setdefault(name, len(self.zones))

    def _number(self, uid: str) -> int:
        return self.uids.setdefault(uid, len(self.uids) + 1)

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

    # Operators

    def _healthcheck(self) -> tuple[int, dict[str, Any]]:
        taking = self.clients.listening and not self.closing_at and not self.clients.drained
        return 200 if taking else 503, self._state(taking)

    def _state(self, taking: bool) -> dict[str, Any]:
        """What staff on call want to know first."""
        return {"taking_clients": taking, "drained": self.clients.drained,
                "out_by_hand": sorted(self.journal.out_by_hand), "clients": len(self.clients.clients),
                "messages": sum(not m.status for m in self.journal.held.values())}

    def _drain(self, on: bool) -> tuple[int, dict[str, Any]]:
        """Recorded before it is done: a drained courier that is started again still is."""
        if on is not self.journal.drained:
            self.journal.drain(on)
        self.clients.drain(on)
        return 200, {"drained": on}

    def _set_by_hand(self, uid: str, out: bool) -> tuple[int, dict[str, Any]]:
        """Recorded, then done, then answered: nothing new starts there after the yes."""
        if uid not in self.uids:
            return 404, {"error": "no such endpoint was ever listed"}
        if out is not (uid in self.journal.out_by_hand):
            self.journal.set_by_hand(uid, out)
            self.events.append(i.SetByHand(self.uids[uid], out))
            self.turn()
        return 200, {"endpoint": uid, "out_by_hand": out}

    def uid(self, number: int) -> str:
        target = self.targets.get(number)
        return str(target["uid"]) if target else f"#{number}"

    def _connections(self, uid: str) -> tuple[int, dict[str, Any]]:
        place = self.pool.places.get(self.uids.get(uid, -1))
        if place is None:
            return 404, {"error": "no such endpoint is listed"}
        return 200, {"endpoint": uid, **place.figures()}

    def _zones_returning(self) -> list[tuple[str, int, int]]:
        """By name: the next process may number them otherwise."""
        names = {number: name for name, number in self.zones.items()}
        return [(names[zone], *span) for zone, span in self.courier.zones.back.items()]

    def zone_rows(self) -> list[dict[str, Any]]:
        """For staff: each zone ever named, with its state, share, reason and endpoints."""
        now, listed = self.clock(), [entry.zone for entry in self.entries.values()]
        rows = []
        for name, number in self.zones.items():
            state, share, why = self.courier.zones.state(number, now)
            rows.append({"zone": name, "state": state, "share": round(share, 3), "reason": why,
                         "endpoints": listed.count(number)})
        return rows

    def _zones(self) -> tuple[int, dict[str, Any]]:
        return 200, {"zones": self.zone_rows()}

    def _count(self) -> None:
        """Only here is the library read: what is not asked for costs a courier in service no memory."""
        from hopmill.net.metrics import HostState, Metrics
        self.metrics = Metrics(tuple(c.name for c in self.s.classes), HostState(self))
        self.observer.meters = self.metrics

    def _metrics(self) -> tuple[int, Page]:
        from hopmill.net.metrics import CONTENT_TYPE
        return 200, Page(CONTENT_TYPE, self.metrics.text())

    def _endpoints(self) -> tuple[int, dict[str, Any]]:
        names = {number: name for name, number in self.zones.items()}
        rows = observe.endpoint_rows(self.courier, self.uid)
        return 200, {"endpoints": [row | {"zone": names.get(row["zone"])} for row in rows[:MOST_ROWS]],
                     "not_shown": max(0, len(rows) - MOST_ROWS)}

    def _lanes(self) -> tuple[int, dict[str, Any]]:
        rows = list(observe.lanes(self.courier, self.clock()))
        return 200, {"lanes": [{"partner": row.partner,
                                "endpoint": None if row.endpoint is None else self.uid(row.endpoint),
                                "queued": row.queued, "out": row.out, "window": round(row.window, 2),
                                "pace": round(row.pace, 3), "part": round(row.part, 3),
                                "refused": round(row.refused, 3), "wait_ms": row.wait_us // 1000}
                               for row in rows[:MOST_ROWS]], "not_shown": max(0, len(rows) - MOST_ROWS)}

    def _set_zone_by_hand(self, name: str, out: bool) -> tuple[int, dict[str, Any]]:
        """Recorded, then done, then answered: nothing new starts there after the yes."""
        if name not in self.zones:
            return 404, {"error": "no such zone was ever named"}
        if out is not (name in self.journal.zones_out):
            self.journal.set_zone_by_hand(name, out)
            self.events.append(i.SetZoneByHand(self.zones[name], out))
            self.turn()
        return 200, {"zone": name, "out_by_hand": out}

    # The end

    def terminate(self) -> None:
        """A planned restart: clients that still come are served, what is not done stays in the journal."""
        if self.closing_at:
            return
        now = self.loop.time()
        self.closing_at = now + EXIT_S
        self.tell(i.Closing(self.clock() + int(CALLS_S * 1e6)))
        self.loop.call_later(LISTEN_S, self._stop_clients)
        self.loop.call_later(EXIT_S, self._exit)

    def _stop_clients(self) -> None:
        self.clients.stop_listening()
        self.clients.close_idle()
        if self.clients.clients:
            self.loop.call_later(0.02, self._stop_clients)
        self._maybe_exit()

    def _maybe_exit(self) -> None:
        # What still waits for its turn may be sent until the last call must have begun.
        done = not self.calls.out and not self.journal.held and not self.events and not self.arrived
        if self.closing_at and done and not self.clients.clients and not self.clients.listening:
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def close(self) -> None:
        """Let go of everything at once; the journal already holds what is open."""
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        self.pool.close()
        self.clients.stop_listening()
        self.door.close()
        if self.link:
            self.loop.remove_reader(self.link.sock)
            self.link.close()
        self.journal.close()
        self.owner.close()


def refusal(wait_us: int) -> bytes:
    return b"-BUSY %d\r\n" % -(-wait_us // 1000) if wait_us > 0 else b"-BUSY\r\n"
