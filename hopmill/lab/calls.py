"""A courier's calls in the model: over which connection, what they meet, and what the module hears of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hopmill.lab import partners as p
from hopmill.lab.links import Link, Links

if TYPE_CHECKING:
    from hopmill.lab.courier import CourierModel

UNRUN = (p.FULL, p.CONNECT_FAILED, "moot")


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
    given_up: bool = False  # its client has left before the answer
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

    def __init__(self, endpoint: p.Endpoint, now: int, items: list[tuple[Held, int]]) -> None:
        self.endpoint, self.sent_at = endpoint, now
        self.items = items  # with their attempt numbers
        self.link: Link | None = None
        self.call: p.Call | None = None
        self.idle_us = -1
        self.done = False


class Calls:
    """Those of one life of a courier."""

    def __init__(self, courier: CourierModel) -> None:
        self.c, self.world, self.number = courier, courier.world, courier.number
        self.clock, self.dialect, self.rules = courier.clock, courier.dialect, courier.rules
        self.settings = courier.settings
        self.by_attempt: dict[tuple[int, int], Out] = {}  # by message and attempt
        self.links = Links(self.clock, self.settings.connection_idle_us)
        self.waits: dict[int, int] = {}  # told ones, by lane: until when
        self.out = 0

    def all(self) -> list[Out]:
        return list({id(out): out for out in self.by_attempt.values()}.values())

    def lost(self) -> None:
        """The process has died: those that are out may have run."""
        for out in self.all():
            out.done = True
            if out.call:
                out.call.gone = True
            self.links.close(out.link)
        self.links.close_all()

    def cancel(self, message: int, attempt: int) -> None:
        out = self.by_attempt.get((message, attempt))
        if out and len(out.items) == 1:
            self._give_up(out, "cancelled")

    def send(self, number: int, items: list[tuple[Held, int, int]]) -> None:
        now, endpoint = self.clock.now, self.world.endpoints[number]
        out = Out(endpoint, self.clock.now, [(m, attempt) for m, attempt, _ in items])
        for m, attempt, _ in items:
            m.tries = attempt + 1
            self.by_attempt[(m.number, attempt)] = out
            self.rules.note(now, self.number, m.number, m.dest, f"attempt {attempt} to", number)
        self.out += 1
        if self.out > self.settings.slots:
            raise self.rules.broken(
                "slots", now, f"courier {self.number} has {self.out} calls out", items[0][0].number
            )
        since = self.c.told_gone.get(number)
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
        delay = self.world.delay(self.c, endpoint)
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
        if number in self.c.told_gone or self.waits.get(self.world.lane(number), 0) > self.clock.now:
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
        life = self.c.life

        def answer(outcome: str, wait: int, report: tuple[float, ...]) -> None:
            if wait and life == self.c.life and not out.done:
                self.rules.told_wait(self.number, self.world.lane(out.endpoint.number), self.clock.now, wait)
            if outcome == p.OK and life == self.c.life and not out.done:
                for m, _ in out.items:
                    self.world.clients.delivered(m)
            if self.world.answer_lost():
                return
            delay = self.world.delay(self.c, out.endpoint)
            self.clock.after(delay, self._answered, out, outcome, wait, report)

        def ran() -> None:
            for m, _ in out.items:
                m.effects += 1
                if m.effects > 1 and self.settings.classes[m.cls].effect is self.dialect.i.Effect.UNSAFE:
                    raise self.rules.broken(
                        "duplicates", self.clock.now, f"message {m.number} took effect twice", m.number
                    )

        out.call = p.Call(self.number, tuple(m.number for m, _ in out.items), works, answer, ran)
        out.call.over = out.link is not None and out.link.over
        self.clock.after(self.world.delay(self.c, out.endpoint), self._arrives, out, life)

    def _arrives(self, out: Out, life: int) -> None:
        assert out.call is not None
        self.world.counts["calls"] += 1
        if life == self.c.life:
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
            self.by_attempt.pop((m.number, attempt), None)
            over = outcome == p.OK
            if over and not m.ended:
                self.c.ended(m, "delivered")
            elif outcome in UNRUN:
                m.trying_at = -1
            self.rules.note(now, self.number, m.number, m.dest, f"attempt {attempt}: {outcome}", wait or "")
            self.c.tell(
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
        self.c.maybe_exit()

    # Connections

    def _rest(self, link: Link) -> None:
        if not link.open or link.endpoint.number in self.c.told_gone:
            self.links.close(link)
        else:
            self.links.rest(link)

    def reset_by(self, endpoint: p.Endpoint) -> None:
        """Its machine went down or came back: what was open there is reset."""
        self.links.close_idle(endpoint.number)
        for out in [o for o in self.all() if o.endpoint is endpoint and o.link]:
            link, out.link = out.link, None
            self.links.close(link)
            if out.call:
                out.call.gone = True
            self._finish(out, p.RESET if out.call else p.CONNECT_FAILED, 0, ())
