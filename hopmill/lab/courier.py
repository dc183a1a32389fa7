"""The model of a courier's host: turns, connections, calls, and a journal that outlasts a kill.

It drives the module itself, as hopmill/net/host.py does: events of a turn in, actions out in order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill.lab.calls import Calls, Held
from hopmill.lab.rules import LATE_US

if TYPE_CHECKING:
    from hopmill.lab.world import World

CALLS_US, EXIT_US = 3_200_000, 3_400_000  # of a planned restart, from its SIGTERM


class ModuleFailed(Exception):
    """The module threw: which courier, on which events."""


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
        self.calls = Calls(self)
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
        if self.world.members:
            self.world.members.start(self.number)
        if self.world.policy:
            self.world.policy.started(self.number)
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
        if self.world.members:
            self.world.members.kill(self.number)
        if self.world.policy:
            self.world.policy.ended(self.number)
        self.rules.forget(self.number)
        self.calls.lost()
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
        self.maybe_exit()

    def maybe_exit(self) -> None:
        busy = self.calls.by_attempt or self.journal or self.events or self.arrived
        if self.closing and self.alive and not busy:
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
            for number, since in self.calls.links.news()
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
            if m.given_up:  # nobody hears that it was taken on, so it is not
                self.tell(self.dialect.make("MessageGone", message=m.number))
                reply("gone", 0)
                continue
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
                self.calls.send(endpoint, items[at : at + most])
        self.maybe_exit()

    def _other(self, a: Any) -> None:
        name = type(a).__name__
        if name == "SetTimer":
            self.clock.after(a.delay_us + 50, self._timer, self.life, a.token)
        elif name == "Keep":
            self.calls.links.keep(a.endpoint, a.most)
        elif name == "CloseIdle":
            self.calls.links.close_idle(a.endpoint)
        elif name == "Cancel":
            self.calls.cancel(a.message, a.attempt)

    def _timer(self, life: int, token: int) -> None:
        if life == self.life:
            self.tell(self.dialect.make("TimerDue", token=token))

    # Messages

    def put(self, m: Held, reply: Callable[[str, int], None]) -> None:
        """reply(end, wait in us): taken, refused, failed, or gone where the process died first."""
        if not self.alive or not self.listening:
            reply("gone", 0)
        elif self.world.policy and self.world.policy.holding[self.number]:
            self.world.policy.wait(self.number, m, reply)
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
        self.ended(m, "deferred" if refused else "undeliverable")
        self.world.clients.ended(m, m.ended, a.retry_after_us if refused else 0)

    def ended(self, m: Held, how: str) -> None:
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
            self.calls.send(a.endpoint, [(m, attempt, a.timeout_us)])

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
