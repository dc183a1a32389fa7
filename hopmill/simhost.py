"""Runs couriers on the simulator's wire: one Courier per instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from hopmill import interface, wire
from hopmill.policy.courier import Courier

# A call with one of these results leaves its connection idle.
REUSABLE_RESULTS = (interface.Result.OK, interface.Result.ERROR, interface.Result.FULL)


class SimulatedHost:
    """A courier on the simulator's wire, and its idle connections.

    The simulator opens connections by itself and reports nothing about them, so the account that the real
    host gets from its pool is inferred from the calls.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """A courier with these settings and this seed."""
        self.settings = settings
        self.courier = Courier(settings, seed)
        self.kind_by_endpoint: dict[int, int] = {}  # of listed endpoints
        self.idle_since_us: dict[int, list[int]] = {}  # when each idle connection came free, by endpoint
        # By message and attempt: a list shared by the messages of a call, with the number not ended yet.
        self.open_attempts: dict[tuple[int, int], list[int]] = {}
        self.next_attempt: dict[int, int] = {}  # by message

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        """Handle the events of a turn, preceded by reports of idle connections; returns the actions."""
        changed = {event.endpoint: None for event in events if self._observe_event(now_us, event)}
        reports = [
            interface.Connections(endpoint, tuple(self.idle_since_us.get(endpoint, ())))
            for endpoint in changed
        ]
        actions = self.courier.handle(now_us, [*reports, *events])
        self._apply_actions(now_us, actions)
        return actions

    def _observe_event(self, now_us: int, event: interface.Event) -> bool:
        """Account for an event; returns whether it changes an endpoint's idle connections."""
        if isinstance(event, interface.EndpointsListed):
            self.kind_by_endpoint.update((entry.endpoint, entry.kind) for entry in event.entries)
        if not isinstance(event, interface.AttemptEnded):
            return False
        if event.closed:
            self.next_attempt.pop(event.message, None)
        call = self.open_attempts.pop((event.message, event.attempt), [0])
        call[0] -= 1
        if event.result is interface.Result.CONNECT_FAILED:
            self.idle_since_us.pop(event.endpoint, None)
        elif call[0] == 0 and event.result in REUSABLE_RESULTS:
            self.idle_since_us.setdefault(event.endpoint, []).append(now_us)
        return True

    def _apply_actions(self, now_us: int, actions: list[interface.Action]) -> None:
        open_calls: dict[int, list[int]] = {}  # by endpoint: calls of this turn, which may take more messages
        for action in actions:
            if isinstance(action, interface.Send):
                call = open_calls.get(action.endpoint)
                if (
                    call is None
                    or call[0] >= self.settings.kinds[self.kind_by_endpoint.get(action.endpoint, 0)].batch
                ):
                    call = open_calls[action.endpoint] = [0]
                    oldest_us = now_us - self.settings.connection_idle_us
                    self.idle_since_us[action.endpoint] = [
                        since_us
                        for since_us in self.idle_since_us.get(action.endpoint, ())
                        if since_us > oldest_us
                    ][:-1]
                call[0] += 1
                attempt = self.next_attempt.get(action.message, 0)
                self.next_attempt[action.message] = attempt + 1
                self.open_attempts[action.message, attempt] = call
            elif isinstance(action, interface.CloseIdle):
                self.idle_since_us.pop(action.endpoint, None)
            elif isinstance(action, (interface.Refuse, interface.Fail)):
                self.next_attempt.pop(action.message, None)


def answer(
    sequence: int,
    now_us: int,
    body: bytes,
    count: int,
    couriers: dict[int, SimulatedHost],
    numbered_lists: dict[int, Any],
) -> bytes:
    """The reply to one batch of events."""
    events_by_instance: dict[int, list[Any]] = {}
    for instance, event in wire.read_events(body, count, numbered_lists):
        events = events_by_instance.setdefault(instance, [])
        if isinstance(event, wire.Begin):
            couriers[instance] = SimulatedHost(event.settings, event.seed)
        elif isinstance(event, wire.Shutdown):
            couriers.pop(instance, None)
            events.clear()
        else:
            events.append(event)
    reply = wire.Reply()
    for instance, events in events_by_instance.items():
        courier = couriers.get(instance)
        if courier is None:
            continue
        try:
            actions = courier.handle(now_us, events)
        except Exception as error:  # the simulator reports the text of any error
            reply.instance(instance)
            reply.fault(f"{type(error).__name__}: {error}")
            continue
        if actions:
            reply.instance(instance)
            for action in actions:
                reply.action(action)
    return reply.pack(sequence)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    couriers: dict[int, SimulatedHost] = {}
    numbered_lists: dict[int, Any] = {}
    while header := source.read(wire.BATCH_HEADER.size):
        sequence, size, now_us, count = wire.split_header(header)
        body = source.read(size)
        if len(body) != size:
            raise wire.MalformedFrameError(f"truncated batch: {len(body)} of {size} bytes")
        sink.write(answer(sequence, now_us, body, count, couriers, numbered_lists))
        sink.flush()


def main() -> int:
    """Serve on standard input and output; returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:  # malformed frame or invalid settings
        print(f"hopmill.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
