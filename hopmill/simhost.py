"""Runs couriers on the simulator's wire: one Courier for each instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from hopmill import interface as i
from hopmill import wire
from hopmill.policy.courier import Courier

BACK = (i.Result.OK, i.Result.ERROR, i.Result.FULL)  # a call that ends so leaves its connection idle


class Connected:
    """A courier on the wire, and its idle connections. The simulator opens these by itself and tells nothing
    of them: the account that the real host gets from its pool is inferred here from the calls."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.courier = settings, Courier(settings, seed)
        self.kinds: dict[int, int] = {}  # of the endpoints listed
        self.idle: dict[int, list[int]] = {}  # when each connection came free
        self.calls: dict[tuple[int, int], list[int]] = {}  # by message and attempt: the call's open ones
        self.attempts: dict[int, int] = {}  # the next of each message

    def handle(self, now: int, events: list[i.Event]) -> list[i.Action]:
        changed = {e.endpoint: None for e in events if self._heard(now, e)}
        told = [i.Connections(e, tuple(self.idle.get(e, ()))) for e in changed]
        actions = self.courier.handle(now, [*told, *events])
        self._acted(now, actions)
        return actions

    def _heard(self, now: int, e: i.Event) -> bool:
        """Whether it changes an endpoint's idle connections."""
        if isinstance(e, i.EndpointsListed):
            self.kinds.update((entry.endpoint, entry.kind) for entry in e.entries)
        if not isinstance(e, i.AttemptEnded):
            return False
        if e.closed:
            self.attempts.pop(e.message, None)
        call = self.calls.pop((e.message, e.attempt), [0])
        call[0] -= 1
        if e.result is i.Result.CONNECT_FAILED:
            self.idle.pop(e.endpoint, None)
        elif call[0] == 0 and e.result in BACK:
            self.idle.setdefault(e.endpoint, []).append(now)
        return True

    def _acted(self, now: int, actions: list[i.Action]) -> None:
        open_calls: dict[int, list[int]] = {}  # what travels together in this round
        for a in actions:
            if isinstance(a, i.Send):
                call = open_calls.get(a.endpoint)
                if call is None or call[0] >= self.s.kinds[self.kinds.get(a.endpoint, 0)].batch:
                    call = open_calls[a.endpoint] = [0]
                    oldest = now - self.s.connection_idle_us
                    self.idle[a.endpoint] = [t for t in self.idle.get(a.endpoint, ()) if t > oldest][:-1]
                call[0] += 1
                attempt = self.attempts.get(a.message, 0)
                self.attempts[a.message] = attempt + 1
                self.calls[a.message, attempt] = call
            elif isinstance(a, i.CloseIdle):
                self.idle.pop(a.endpoint, None)
            elif isinstance(a, (i.Refuse, i.Fail)):
                self.attempts.pop(a.message, None)


def answer(
    sequence: int, now_us: int, body: bytes, count: int, couriers: dict[int, Connected], pages: dict[int, Any]
) -> bytes:
    """The reply to one batch."""
    inbox: dict[int, list[Any]] = {}
    for instance, event in wire.read_events(body, count, pages):
        events = inbox.setdefault(instance, [])
        if isinstance(event, wire.Begin):
            couriers[instance] = Connected(event.settings, event.seed)
        elif isinstance(event, wire.Shutdown):
            couriers.pop(instance, None)
            events.clear()
        else:
            events.append(event)
    reply = wire.Reply()
    for instance, events in inbox.items():
        courier = couriers.get(instance)
        if courier is None:
            continue
        try:
            actions = courier.handle(now_us, events)
        except Exception as error:  # the bench wants the text, whatever went wrong
            reply.instance(instance)
            reply.fault(f"{type(error).__name__}: {error}")
            continue
        if actions:
            reply.instance(instance)
            for action in actions:
                reply.action(action)
    return reply.pack(sequence)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends."""
    couriers: dict[int, Connected] = {}
    pages: dict[int, Any] = {}
    while header := source.read(wire.BATCH_HEADER.size):
        sequence, size, now_us, count = wire.split_header(header)
        body = source.read(size)
        if len(body) != size:
            raise wire.Malformed(f"truncated batch: {len(body)} of {size} bytes")
        sink.write(answer(sequence, now_us, body, count, couriers, pages))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:  # a malformed frame or settings that cannot be
        print(f"hopmill.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
