"""The model of a courier's host: turns, connections, calls, and a journal that survives a kill.

It drives the module under test (hopmill.Courier) itself, as hopmill/net/host.py does. A turn is one call of
`handle`: events in, actions out in order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill.lab.calls import Calls, HeldMessage
from hopmill.lab.rules import END_GRACE_US

if TYPE_CHECKING:
    from hopmill.lab.simulation import Simulation

# After SIGTERM: calls may run until the first time, the process exits at the second.
SHUTDOWN_CALLS_US, SHUTDOWN_EXIT_US = 3_200_000, 3_400_000
TIMER_LATENCY_US = 50  # by which a timer fires after its time


class ModuleFailedError(Exception):
    """The module under test raised an exception; the text names the courier, the time and the events."""


class CourierModel:
    """One courier: its process, which is killed and restarted, and the folder that survives it."""

    def __init__(self, simulation: Simulation, number: int, zone: int) -> None:
        self.simulation, self.number, self.zone = simulation, number, zone
        self.clock, self.dialect, self.rules = simulation.clock, simulation.dialect, simulation.rules
        self.settings = simulation.courier_settings(number)
        self.is_alive = self.is_listening = False
        self.generation = 0  # grows at each start and kill: callbacks of an earlier process run are ignored
        self.journal: dict[int, HeldMessage] = {}  # accepted and not ended; survives a kill
        self.known_entries: dict[int, Any] = {}  # discovery's list as last received
        self.leaving_since_us: dict[int, int] = {}  # draining or gone endpoints: since when known
        # Called after each turn: time in us, calls of come_back_us since the last turn, events, actions.
        self.recorder: Callable[[int, int, list[Any], list[Any]], None] | None = None
        self._reset_process_state()

    def _reset_process_state(self) -> None:
        self.module: Any = None
        self.events: list[Any] = []
        # Submitted since the last turn: the messages, and how to answer their clients.
        self.pending: dict[int, tuple[HeldMessage, Callable[[str, int], None]]] = {}
        self.is_turn_scheduled, self.last_turn_us = False, -self.settings.tick_us
        self.calls = Calls(self)
        self.is_closing = False
        # Calls of come_back_us since the last turn. Each draws a random number, so a replay has to repeat
        # them to get the same actions.
        self.retry_after_requests = 0

    # Process lifecycle

    def start(self) -> None:
        """Starts the process with the journal and the last endpoint list, also after a kill."""
        self._reset_process_state()
        self.generation += 1
        self.is_alive = self.is_listening = True
        self.module = self.dialect.courier(
            self.settings, self.simulation.module_seed(self.number, self.generation)
        )
        interface = self.dialect.interface
        if self.simulation.members:
            self.simulation.members.start(self.number)
        if self.simulation.policy:
            self.simulation.policy.courier_started(self.number)
        self.add_event(
            self.dialect.make(
                "EndpointsListed", form=interface.ListForm.CACHED, entries=tuple(self.known_entries.values())
            )
        )
        for message in self.journal.values():
            self.add_event(self._arrival_event(message))
        self.run_turn()

    def kill(self) -> None:
        """Ends the process by SIGKILL."""
        self._end_process()

    def _end_process(self) -> None:
        """Ends the process, killed or by its own exit.

        Outstanding calls may have executed; clients that wait see a broken connection.
        """
        self.is_alive = self.is_listening = False
        self.generation += 1
        if self.simulation.members:
            self.simulation.members.kill(self.number)
        if self.simulation.policy:
            self.simulation.policy.courier_ended(self.number)
        self.rules.courier_restarted(self.number)
        self.calls.process_died()
        replies = [reply for _, reply in self.pending.values()]
        self._reset_process_state()
        for reply in replies:
            reply("gone", 0)

    def terminate(self) -> None:
        """SIGTERM: accepts no new messages; what cannot be sent in time waits for the next process."""
        if not self.is_alive or self.is_closing:
            return
        self.is_closing, self.is_listening = True, False
        self.add_event(self.dialect.make("Closing", until_us=self.clock.now + SHUTDOWN_CALLS_US))
        self.clock.after(SHUTDOWN_EXIT_US, self._exit, self.generation)
        self.exit_if_idle()

    def exit_if_idle(self) -> None:
        """After SIGTERM, exits as soon as no call, message or event is left."""
        has_work = self.calls.by_attempt or self.journal or self.events or self.pending
        if self.is_closing and self.is_alive and not has_work:
            self._exit(self.generation)

    def _exit(self, generation: int) -> None:
        if self.is_alive and generation == self.generation:
            self._end_process()
            self.simulation.process_ended(self)

    # Events and turns

    def add_event(self, event: Any) -> None:
        """Queues an event for the next turn. None stands for an event that the module does not know."""
        if event is None or not self.is_alive:
            return
        self.events.append(event)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.clock.at(
                max(self.clock.now, self.last_turn_us + self.settings.tick_us),
                self._run_scheduled_turn,
                self.generation,
            )

    def _run_scheduled_turn(self, generation: int) -> None:
        if generation == self.generation and self.is_alive:
            self.run_turn()

    def _arrival_event(self, message: HeldMessage) -> Any:
        return self.dialect.make(
            "MessageArrived",
            message=message.number,
            message_class=message.class_index,
            destination=message.destination,
            valid_until_us=message.valid_until_us,
            tenant=message.tenant,
            resubmitted=message.resubmitted,
            tries=message.attempts,
            ran_at_us=message.may_have_run_us,
        )

    def run_turn(self) -> None:
        """Hands the queued events to the module and carries out its actions. May raise ModuleFailedError."""
        now = self.clock.now
        self.is_turn_scheduled, self.last_turn_us = False, now
        connection_changes = [
            e
            for number, since in self.calls.connections.take_changes()
            if (e := self.dialect.make("Connections", endpoint=number, idle_since=since))
        ]
        events, self.events = connection_changes + self.events, []
        pending, self.pending = self.pending, {}
        retry_after_requests, self.retry_after_requests = self.retry_after_requests, 0
        actions = self._call_module(now, events)
        if self.recorder:
            self.recorder(now, retry_after_requests, events, actions)
        self._answer_submissions(now, actions, pending)
        self._carry_out(actions)
        self.exit_if_idle()

    def _call_module(self, now: int, events: list[Any]) -> list[Any]:
        try:
            return list(self.module.handle(now, events))
        except Exception as error:
            last_event = events[-1] if events else "no event"
            raise ModuleFailedError(
                f"courier {self.number} at {now / 1e6:.4f} s, on {len(events)} events, the "
                f"last {last_event!r}: {error!r}"
            ) from error

    def _answer_submissions(
        self, now: int, actions: list[Any], pending: dict[int, tuple[HeldMessage, Callable[[str, int], None]]]
    ) -> None:
        """Answers the clients of this turn's messages, and journals the accepted ones."""
        interface = self.dialect.interface
        for action in actions:
            if isinstance(action, (interface.Refuse, interface.Fail)) and action.message in pending:
                message, reply = pending.pop(action.message)
                self.rules.record(now, self.number, message.number, message.destination, "refused or failed")
                reply(
                    *(
                        ("refused", action.retry_after_us)
                        if isinstance(action, interface.Refuse)
                        else ("failed", 0)
                    )
                )
        for message, reply in pending.values():
            if message.client_left:  # no client receives the acceptance, so the message is not accepted
                self.add_event(self.dialect.make("MessageGone", message=message.number))
                reply("gone", 0)
                continue
            self.journal[message.number] = message
            message.accepted_us = now
            self.simulation.change_held(1)
            self.rules.record(now, self.number, message.number, message.destination, "accepted")
            self.clock.at(message.valid_until_us + END_GRACE_US, self._check_ended, message)
            reply("taken", 0)

    def _carry_out(self, actions: list[Any]) -> None:
        """Carries out the actions; the sends to one endpoint are batched where it takes batches."""
        interface = self.dialect.interface
        batches: dict[int, list[tuple[HeldMessage, int, int]]] = {}
        for action in actions:
            if isinstance(action, interface.Send):
                self._send(action, batches)
            elif isinstance(action, (interface.Refuse, interface.Fail)):
                self._end_message(action)
            else:
                self._apply_other(action)
        for endpoint, items in batches.items():
            max_batch = self.simulation.batch_size(endpoint)
            for start in range(0, len(items), max_batch):
                self.calls.send(endpoint, items[start : start + max_batch])

    def _apply_other(self, action: Any) -> None:
        name = type(action).__name__
        if name == "SetTimer":
            self.clock.after(
                action.delay_us + TIMER_LATENCY_US, self._timer_due, self.generation, action.token
            )
        elif name == "Keep":
            self.calls.connections.set_max_idle(action.endpoint, action.most)
        elif name == "CloseIdle":
            self.calls.connections.close_idle(action.endpoint)
        elif name == "Cancel":
            self.calls.cancel(action.message, action.attempt)

    def _timer_due(self, generation: int, token: int) -> None:
        if generation == self.generation:
            self.add_event(self.dialect.make("TimerDue", token=token))

    # Messages

    def submit(self, message: HeldMessage, reply: Callable[[str, int], None]) -> None:
        """Takes a message from a client. reply(answer, retry-after in us) is called once.

        Answers: taken, refused, failed or gone. Gone: the process does not accept messages, it ended before
        it answered, or the client left before the answer.
        """
        if not self.is_alive or not self.is_listening:
            reply("gone", 0)
        elif self.simulation.policy and self.simulation.policy.is_holding[self.number]:
            self.simulation.policy.queue(self.number, message, reply)
        elif len(self.journal) + len(self.pending) >= self.settings.max_held:
            self.retry_after_requests += 1
            reply("refused", self.module.come_back_us())
        else:
            self.pending[message.number] = message, reply
            self.add_event(self._arrival_event(message))

    def _check_ended(self, message: HeldMessage) -> None:
        if not message.outcome and self.simulation.must_end_messages(self):
            raise self.rules.violation(
                "lost",
                self.clock.now,
                f"message {message.number} of courier {self.number} has "
                f"no outcome {END_GRACE_US / 1e3:.0f} ms after its deadline",
                message.number,
            )

    def _end_message(self, action: Any) -> None:
        message = self.journal.get(action.message)
        if message is None or message.outcome:
            return
        interface, effect = self.dialect.interface, self.settings.classes[message.class_index].effect
        refused = isinstance(action, interface.Refuse)
        if refused and effect is interface.Effect.UNSAFE and message.may_have_run_us >= 0:
            raise self.rules.violation(
                "duplicates",
                self.clock.now,
                f"message {message.number} may have executed and must "
                "not be repeated, but its client was asked to retry",
                message.number,
            )
        # Refusing an accepted message defers it: its client is notified and may submit it again.
        self.record_end(message, "deferred" if refused else "undeliverable")
        self.simulation.clients.message_ended(
            message, message.outcome, action.retry_after_us if refused else 0
        )

    def record_end(self, message: HeldMessage, outcome: str) -> None:
        """Removes a message from the journal. outcome: delivered, deferred or undeliverable."""
        message.outcome = outcome
        self.journal.pop(message.number, None)
        self.simulation.change_held(-1)
        self.simulation.total_stay_us += self.clock.now - message.accepted_us
        self.rules.record(self.clock.now, self.number, message.number, message.destination, outcome)

    # Calls

    def _send(self, action: Any, batches: dict[int, list[tuple[HeldMessage, int, int]]]) -> None:
        message, interface = self.journal.get(action.message), self.dialect.interface
        if message is None or message.outcome:
            self.add_event(
                self.dialect.make(
                    "AttemptEnded",
                    message=action.message,
                    attempt=message.attempts if message else 0,
                    endpoint=action.endpoint,
                    result=interface.Result.MOOT,
                    latency_us=0,
                    closed=True,
                )
            )
            return
        attempt = message.attempts
        if (
            message.may_have_run_us >= 0
            and self.settings.classes[message.class_index].effect is interface.Effect.UNSAFE
        ):
            raise self.rules.violation(
                "duplicates",
                self.clock.now,
                f"message {message.number} may have executed and must not be repeated, but was sent again",
                message.number,
            )
        if self.simulation.batch_size(action.endpoint) > 1:
            batches.setdefault(action.endpoint, []).append((message, attempt, action.timeout_us))
        else:
            self.calls.send(action.endpoint, [(message, attempt, action.timeout_us)])

    # Discovery

    def update_endpoints(self, entries: list[Any]) -> None:
        """Apply changed entries of discovery's list."""
        if not self.is_alive:
            return
        interface = self.dialect.interface
        for entry in entries:
            if entry.state is interface.EndpointState.READY:
                self.leaving_since_us.pop(entry.endpoint, None)
            else:
                self.leaving_since_us.setdefault(entry.endpoint, self.clock.now)
            if entry.state is interface.EndpointState.GONE:
                self.known_entries.pop(entry.endpoint, None)
            else:
                self.known_entries[entry.endpoint] = entry
        self.add_event(
            self.dialect.make("EndpointsListed", form=interface.ListForm.DELTA, entries=tuple(entries))
        )
