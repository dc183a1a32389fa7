"""The model of a courier's host: turns, connections, calls, and a journal that outlasts a kill.

It drives the module itself, as hopmill/net/host.py does: events of a turn in, actions out in order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from hopmill.lab import partners as p
from hopmill.lab.links import Link, Links
from hopmill.lab.rules import LATE_US

if TYPE_CHECKING:
    from hopmill.lab.world import World

CALLS_US, EXIT_US = 3_200_000, 3_400_000  # of a planned restart, from its SIGTERM
UNRUN = (p.FULL, p.CONNECT_FAILED, "moot")


class ModuleFailed(Exception):
    """The module threw: which courier, on which events."""


@dataclass
class Held:
    """A message as its courier's journal knows it."""

    number: int
    origin: int
    cls: int
    dest: int
    tenant: int
    until: int
    works: tuple[float, ...]  # by attempt
    resubmitted: bool = False
    tries: int = 0
    trying_at: int = -1
    ran_at: int = -1
    effects: int = 0
    taken_at: int = 0
    ended: str = ""  # delivered, deferred, undeliverable

    @property
    def may_have_run_at(self) -> int:
        return self.ran_at if self.ran_at >= 0 else self.trying_at


class Out:
    """A call that is out, from this side."""

    def __init__(self, courier: CourierModel, endpoint: p.Endpoint, items: list[tuple[Held, int]]) -> None:
        self.courier, self.endpoint = courier, endpoint
        self.items = items  # with their attempt numbers
        self.sent_at = courier.world.clock.now
        self.link: Link | None = None
        self.call: p.Call | None = None
        self.idle_us = -1
        self.done = False


class CourierModel:
    def __init__(self, world: World, number: int, zone: int) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.clock, self.dialect, self.rules = world.clock, world.dialect, world.rules
        self.settings = world.settings_of(number)
        self.alive = self.listening = False
        self.life = 0  # how often it was started: what belongs to an earlier life is void
        self.journal: dict[int, Held] = {}  # what is taken on and not ended: outlasts a kill
        self.known: dict[int, Any] = {}  # the list as it last had it
        self.told_gone: dict[int, int] = {}  # endpoints that drain or are gone: since when it knows
        self.recorder: Callable[[int, int, list[Any], list[Any]], None] | None = None
        self._blank()

    def _blank(self) -> None:
        self.module: Any = None
        self.events: list[Any] = []
        self.arrived: dict[int, tuple[Held, Callable[[str, int], None]]] = {}
        self.scheduled, self.last_turn = False, -self.settings.tick_us
        self.calls: dict[tuple[int, int], Out] = {}
        self.links = Links(self.clock, self.settings.connection_idle_us)
        self.waits: dict[int, int] = {}  # by lane
        self.out = 0
        self.closing = False
        self.asked = 0  # how often the module was asked for a wait since its last turn: each draws a chance

    # Its life

    def start(self) -> None:
        """With its folder and its last list; also after a kill."""
        self._blank()
        self.life += 1
        self.alive = self.listening = True
        self.module = self.dialect.courier(self.settings, self.world.module_seed(self.number, self.life))
        i = self.dialect.i
        self.tell(
            self.dialect.make("EndpointsListed", form=i.ListForm.CACHED, entries=tuple(self.known.values()))
        )
        for m in self.journal.values():
            self.tell(self._arrival(m))
        self.turn()

    def kill(self) -> None:
        """SIGKILL: calls that are out may have run; who has no answer yet gets none."""
        self.alive = self.listening = False
        self.life += 1
        self.rules.forget(self.number)
        for out in {id(o): o for o in self.calls.values()}.values():
            out.done = True
            if out.call:
                out.call.gone = True
            self.links.close(out.link)
        self.links.close_all()
        waiting = [reply for _, reply in self.arrived.values()]
        self._blank()
        for reply in waiting:
            reply("gone", 0)

    def terminate(self) -> None:
        """SIGTERM: no new clients; what can't be sent in time waits for the next process."""
        if not self.alive or self.closing:
            return
        self.closing, self.listening = True, False
        self.tell(self.dialect.make("Closing", until_us=self.clock.now + CALLS_US))
        self.clock.after(EXIT_US, self._exit, self.life)
        self._maybe_exit()

    def _maybe_exit(self) -> None:
        if self.closing and self.alive and not (self.calls or self.journal or self.events or self.arrived):
            self._exit(self.life)

    def _exit(self, life: int) -> None:
        if self.alive and life == self.life:
            self.kill()
            self.world.left(self)

    # Events and turns

    def tell(self, event: Any) -> None:
        if event is None or not self.alive:
            return
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.clock.at(max(self.clock.now, self.last_turn + self.settings.tick_us), self._due, self.life)

    def _due(self, life: int) -> None:
        if life == self.life and self.alive:
            self.turn()

    def _arrival(self, m: Held) -> Any:
        return self.dialect.make(
            "MessageArrived",
            message=m.number,
            message_class=m.cls,
            destination=m.dest,
            valid_until_us=m.until,
            tenant=m.tenant,
            resubmitted=m.resubmitted,
            tries=m.tries,
            ran_at_us=m.may_have_run_at,
        )

    def turn(self) -> None:
        now, i = self.clock.now, self.dialect.i
        self.scheduled, self.last_turn = False, now
        news = [
            e
            for number, since in self.links.news()
            if (e := self.dialect.make("Connections", endpoint=number, idle_since=since))
        ]
        events, self.events = news + self.events, []
        arrived, self.arrived = self.arrived, {}
        asked, self.asked = self.asked, 0
        try:
            actions = list(self.module.handle(now, events))
        except Exception as error:
            last = events[-1] if events else "no event"
            raise ModuleFailed(
                f"courier {self.number} at {now / 1e6:.4f} s, on {len(events)} events, the "
                f"last {last!r}: {error!r}"
            ) from error
        if self.recorder:
            self.recorder(now, asked, events, actions)
        for a in actions:
            if isinstance(a, (i.Refuse, i.Fail)) and a.message in arrived:
                m, reply = arrived.pop(a.message)
                self.rules.note(now, self.number, m.number, m.dest, "turned away")
                reply(*(("refused", a.retry_after_us) if isinstance(a, i.Refuse) else ("failed", 0)))
        for m, reply in arrived.values():
            self.journal[m.number] = m
            m.taken_at = now
            self.world.holds(1)
            self.rules.note(now, self.number, m.number, m.dest, "taken on")
            self.clock.at(m.until + LATE_US, self._check_ended, m)
            reply("taken", 0)
        bundles: dict[int, list[tuple[Held, int, int]]] = {}
        for a in actions:
            if isinstance(a, i.Send):
                self._send(a, bundles)
            elif isinstance(a, (i.Refuse, i.Fail)):
                self._final(a)
            else:
                self._other(a)
        for endpoint, items in bundles.items():
            most = self.world.batch(endpoint)
            for at in range(0, len(items), most):
                self._call(endpoint, items[at : at + most])
        self._maybe_exit()

    def _other(self, a: Any) -> None:
        name = type(a).__name__
        if name == "SetTimer":
            self.clock.after(a.delay_us + 50, self._timer, self.life, a.token)
        elif name == "Keep":
            self.links.keep(a.endpoint, a.most)
        elif name == "CloseIdle":
            self.links.close_idle(a.endpoint)
        elif name == "Cancel" and (out := self.calls.get((a.message, a.attempt))) and len(out.items) == 1:
            self._give_up(out, "cancelled")

    def _timer(self, life: int, token: int) -> None:
        if life == self.life:
            self.tell(self.dialect.make("TimerDue", token=token))

    # Messages

    def put(self, m: Held, reply: Callable[[str, int], None]) -> None:
        """reply(end, wait in us): taken, refused, failed, or gone where the process died first."""
        if not self.alive or not self.listening:
            reply("gone", 0)
        elif len(self.journal) + len(self.arrived) >= self.settings.max_held:
            self.asked += 1
            reply("refused", self.module.come_back_us())
        else:
            self.arrived[m.number] = m, reply
            self.tell(self._arrival(m))

    def _check_ended(self, m: Held) -> None:
        if not m.ended and self.world.owes(self):
            raise self.rules.broken(
                "lost",
                self.clock.now,
                f"message {m.number} of courier {self.number} has "
                f"no end {LATE_US / 1e3:.0f} ms after its time",
                m.number,
            )

    def _final(self, a: Any) -> None:
        m = self.journal.get(a.message)
        if m is None or m.ended:
            return
        i, effect = self.dialect.i, self.settings.classes[m.cls].effect
        refused = isinstance(a, i.Refuse)
        if refused and effect is i.Effect.UNSAFE and m.may_have_run_at >= 0:
            raise self.rules.broken(
                "duplicates",
                self.clock.now,
                f"message {m.number} may have run and may "
                "not be repeated, and its client is told to come again",
                m.number,
            )
        self._ended(m, "deferred" if refused else "undeliverable")
        self.world.clients.ended(m, m.ended, a.retry_after_us if refused else 0)

    def _ended(self, m: Held, how: str) -> None:
        m.ended = how
        self.journal.pop(m.number, None)
        self.world.holds(-1)
        self.world.stayed_us += self.clock.now - m.taken_at
        self.rules.note(self.clock.now, self.number, m.number, m.dest, how)

    # Calls

    def _send(self, a: Any, bundles: dict[int, list[tuple[Held, int, int]]]) -> None:
        m, i = self.journal.get(a.message), self.dialect.i
        if m is None or m.ended:
            self.tell(
                self.dialect.make(
                    "AttemptEnded",
                    message=a.message,
                    attempt=m.tries if m else 0,
                    endpoint=a.endpoint,
                    result=i.Result.MOOT,
                    latency_us=0,
                    closed=True,
                )
            )
            return
        attempt = m.tries
        if m.may_have_run_at >= 0 and self.settings.classes[m.cls].effect is i.Effect.UNSAFE:
            raise self.rules.broken(
                "duplicates",
                self.clock.now,
                f"message {m.number} may have run and may not be repeated, and is sent again",
                m.number,
            )
        if self.world.batch(a.endpoint) > 1:
            bundles.setdefault(a.endpoint, []).append((m, attempt, a.timeout_us))
        else:
            self._call(a.endpoint, [(m, attempt, a.timeout_us)])

    def _call(self, number: int, items: list[tuple[Held, int, int]]) -> None:
        now, endpoint = self.clock.now, self.world.endpoints[number]
        out = Out(self, endpoint, [(m, attempt) for m, attempt, _ in items])
        for m, attempt, _ in items:
            m.tries = attempt + 1
            self.calls[(m.number, attempt)] = out
            self.rules.note(now, self.number, m.number, m.dest, f"attempt {attempt} to", number)
        self.out += 1
        if self.out > self.settings.slots:
            raise self.rules.broken(
                "slots", now, f"courier {self.number} has {self.out} calls out", items[0][0].number
            )
        since = self.told_gone.get(number)
        if since is not None and now > since + self.settings.drain_grace_us:
            raise self.rules.broken(
                "drains",
                now,
                f"courier {self.number} sends to endpoint {number} {(now - since) / 1e3:.0f} ms after word",
                items[0][0].number,
                number,
            )
        self.clock.after(max(t for _, _, t in items), self._late, out)
        if link := self.links.lend(number):
            out.link, out.idle_us = link, now - link.idle_at
            self._begin(out)
            return
        self.world.counts["connections"] += 1
        delay = self.world.delay(self, endpoint)
        self.clock.after(delay, self._connects, out, delay)

    def _connects(self, out: Out, delay: int) -> None:
        if out.done:
            return
        met = out.endpoint.connect()
        if met in (p.OK, p.FULL):
            out.link = Link(out.endpoint, over=met == p.FULL)
            self.clock.after(delay + self.world.handshake_us, self._up, out)
        elif met == p.CONNECT_FAILED:
            self.clock.after(delay, self._answered, out, p.CONNECT_FAILED, 0, ())
        else:
            left = out.sent_at + self.settings.connect_timeout_us - self.clock.now
            self.clock.after(max(0, left), self._answered, out, p.CONNECT_FAILED, 0, ())

    def _up(self, out: Out) -> None:
        """The connection stands; news that came meanwhile holds for the call that waits for it."""
        if out.done:
            return
        number = out.endpoint.number
        if number in self.told_gone or self.waits.get(self.world.lane(number), 0) > self.clock.now:
            self._finish(out, "moot", 0, ())
        else:
            self._begin(out)

    def _begin(self, out: Out) -> None:
        """Its first byte is written: from here on it may run."""
        now = self.clock.now
        for m, _ in out.items:
            m.ran_at = m.may_have_run_at
            m.trying_at = now
        works = tuple(m.works[min(attempt, len(m.works) - 1)] for m, attempt in out.items)
        life = self.life

        def answer(outcome: str, wait: int, report: tuple[float, ...]) -> None:
            if wait and life == self.life and not out.done:
                self.rules.told_wait(self.number, self.world.lane(out.endpoint.number), self.clock.now, wait)
            if outcome == p.OK and life == self.life and not out.done:
                for m, _ in out.items:
                    self.world.clients.delivered(m)
            if self.world.answer_lost():
                return
            self.clock.after(self.world.delay(self, out.endpoint), self._answered, out, outcome, wait, report)

        def ran() -> None:
            for m, _ in out.items:
                m.effects += 1
                if m.effects > 1 and self.settings.classes[m.cls].effect is self.dialect.i.Effect.UNSAFE:
                    raise self.rules.broken(
                        "duplicates", self.clock.now, f"message {m.number} took effect twice", m.number
                    )

        out.call = p.Call(self.number, tuple(m.number for m, _ in out.items), works, answer, ran)
        out.call.over = out.link is not None and out.link.over
        self.clock.after(self.world.delay(self, out.endpoint), self._arrives, out, life)

    def _arrives(self, out: Out, life: int) -> None:
        assert out.call is not None
        self.world.counts["calls"] += 1
        if life == self.life:
            self.rules.call_arrives(
                self.number, self.world.lane(out.endpoint.number), self.clock.now, out.items[0][0].number
            )
        out.endpoint.arrives(out.call)
        self.world.after_arrival(out.endpoint)

    def _late(self, out: Out) -> None:
        if not out.done:
            self._give_up(out, "timeout" if out.call else p.CONNECT_FAILED)

    def _give_up(self, out: Out, result: str) -> None:
        if out.call:
            out.call.gone = True
        link, out.link = out.link, None
        self.links.close(link)
        self._finish(out, result, 0, ())

    def _answered(self, out: Out, outcome: str, wait: int, report: tuple[float, ...]) -> None:
        if out.done:
            return
        if wait:
            lane = self.world.lane(out.endpoint.number)
            self.waits[lane] = max(self.waits.get(lane, 0), self.clock.now + wait)
        if outcome in (p.RESET, p.CONNECT_FAILED) or out.link and out.link.over:
            link, out.link = out.link, None
            self.links.close(link)
        self._finish(out, outcome, wait, report)

    def _finish(self, out: Out, outcome: str, wait: int, report: tuple[float, ...]) -> None:
        i, now = self.dialect.i, self.clock.now
        out.done = True
        self.out -= 1
        if out.link:
            self._rest(out.link)
        result = i.Result(outcome)
        self.world.counts[f"outcome {outcome}"] += 1
        for m, attempt in out.items:
            self.calls.pop((m.number, attempt), None)
            over = outcome == p.OK
            if over and not m.ended:
                self._ended(m, "delivered")
            elif outcome in UNRUN:
                m.trying_at = -1
            self.rules.note(now, self.number, m.number, m.dest, f"attempt {attempt}: {outcome}", wait or "")
            self.tell(
                self.dialect.make(
                    "AttemptEnded",
                    message=m.number,
                    attempt=attempt,
                    endpoint=out.endpoint.number,
                    result=result,
                    latency_us=max(1, now - out.sent_at),
                    closed=over or bool(m.ended),
                    retry_after_us=wait,
                    report=report,
                    idle_us=out.idle_us,
                )
            )
        self._maybe_exit()

    # Connections

    def _rest(self, link: Link) -> None:
        if not link.open or link.endpoint.number in self.told_gone:
            self.links.close(link)
        else:
            self.links.rest(link)

    def reset_by(self, endpoint: p.Endpoint) -> None:
        """Its machine went down or came back: what was open there is reset."""
        self.links.close_idle(endpoint.number)
        for out in {id(o): o for o in self.calls.values() if o.endpoint is endpoint and o.link}.values():
            link, out.link = out.link, None
            self.links.close(link)
            if out.call:
                out.call.gone = True
            self._finish(out, p.RESET if out.call else p.CONNECT_FAILED, 0, ())

    # The list

    def listed(self, entries: list[Any]) -> None:
        """Discovery's news has reached it."""
        if not self.alive:
            return
        i = self.dialect.i
        for e in entries:
            if e.state is i.EndpointState.READY:
                self.told_gone.pop(e.endpoint, None)
            else:
                self.told_gone.setdefault(e.endpoint, self.clock.now)
            if e.state is i.EndpointState.GONE:
                self.known.pop(e.endpoint, None)
            else:
                self.known[e.endpoint] = e
        self.tell(self.dialect.make("EndpointsListed", form=i.ListForm.DELTA, entries=tuple(entries)))
