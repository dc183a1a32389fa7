"""A courier's calls in the model: connections, outcomes at the endpoint, and the resulting events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hopmill.lab import partners
from hopmill.lab.links import Connection, IdleConnections

if TYPE_CHECKING:
    from hopmill.lab.courier import CourierModel

# Results after which the messages have certainly not been executed.
NOT_RUN = (partners.FULL, partners.CONNECT_FAILED, "moot")


@dataclass
class HeldMessage:
    """A message as its courier's journal knows it. Times in us."""

    number: int
    request_number: int
    class_index: int
    destination: int
    tenant: int
    valid_until_us: int
    work_us: tuple[float, ...]  # microseconds of work, by attempt
    resubmitted: bool = False
    client_left: bool = False  # before it got an answer
    attempts: int = 0
    attempt_started_us: int = -1  # the running attempt; -1 after one that certainly did not execute
    earlier_attempt_us: int = -1  # the first attempt that may have executed; -1: none
    executions: int = 0
    accepted_us: int = 0
    outcome: str = ""  # delivered, deferred or undeliverable; empty while open

    @property
    def may_have_run_us(self) -> int:
        """When the first attempt started that may have executed; -1 if none did."""
        return self.earlier_attempt_us if self.earlier_attempt_us >= 0 else self.attempt_started_us


class OutgoingCall:
    """An outstanding call, as seen by the courier."""

    def __init__(self, endpoint: partners.Endpoint, now: int, items: list[tuple[HeldMessage, int]]) -> None:
        self.endpoint, self.sent_us = endpoint, now
        self.items = items  # messages with their attempt numbers
        self.connection: Connection | None = None
        self.endpoint_call: partners.Call | None = None
        self.idle_us = -1  # how long the connection was idle before; -1: a new one
        self.is_done = False


class Calls:
    """The outstanding calls of one process run of a courier."""

    def __init__(self, courier: CourierModel) -> None:
        self.courier, self.simulation, self.number = courier, courier.simulation, courier.number
        self.clock, self.dialect, self.rules = courier.clock, courier.dialect, courier.rules
        self.settings = courier.settings
        self.by_attempt: dict[tuple[int, int], OutgoingCall] = {}  # by message and attempt
        self.connections = IdleConnections(self.clock, self.settings.connection_idle_us)
        self.retry_after_until_us: dict[int, int] = {}  # announced to this courier, by lane
        self.calls_out = 0

    def outstanding(self) -> list[OutgoingCall]:
        """Each outstanding call once, although by_attempt lists a batch under each of its messages."""
        return list({id(outgoing): outgoing for outgoing in self.by_attempt.values()}.values())

    def process_died(self) -> None:
        """Drops all calls. Those that have reached an endpoint may still execute."""
        for outgoing in self.outstanding():
            outgoing.is_done = True
            if outgoing.endpoint_call:
                outgoing.endpoint_call.is_abandoned = True
            self.connections.close(outgoing.connection)
        self.connections.close_all()

    def cancel(self, message: int, attempt: int) -> None:
        """Cancels an attempt, unless its call carries other messages too."""
        outgoing = self.by_attempt.get((message, attempt))
        if outgoing and len(outgoing.items) == 1:
            self._abandon(outgoing, "cancelled")

    def send(self, number: int, items: list[tuple[HeldMessage, int, int]]) -> None:
        """Starts one call to an endpoint. items: (message, attempt, time-out in us).

        RuleBrokenError if it exceeds the slots, or the endpoint has been leaving for longer than the grace
        period.
        """
        now, endpoint = self.clock.now, self.simulation.endpoints[number]
        outgoing = OutgoingCall(
            endpoint, self.clock.now, [(message, attempt) for message, attempt, _ in items]
        )
        for message, attempt, _ in items:
            message.attempts = attempt + 1
            self.by_attempt[(message.number, attempt)] = outgoing
            self.rules.record(
                now, self.number, message.number, message.destination, f"attempt {attempt} to", number
            )
        self.calls_out += 1
        if self.calls_out > self.settings.slots:
            raise self.rules.violation(
                "slots",
                now,
                f"courier {self.number} has {self.calls_out} outstanding calls",
                items[0][0].number,
            )
        leaving_since_us = self.courier.leaving_since_us.get(number)
        if leaving_since_us is not None and now > leaving_since_us + self.settings.drain_grace_us:
            raise self.rules.violation(
                "drains",
                now,
                f"courier {self.number} sends to endpoint {number} "
                f"{(now - leaving_since_us) / 1e3:.0f} ms after it was listed as leaving",
                items[0][0].number,
                number,
            )
        self.clock.after(max(t for _, _, t in items), self._time_out, outgoing)
        if connection := self.connections.check_out(number):
            outgoing.connection, outgoing.idle_us = connection, now - connection.idle_since_us
            self._start_call(outgoing)
            return
        self.simulation.counts["connections"] += 1
        delay_us = self.simulation.network_delay_us(self.courier, endpoint)
        self.clock.after(delay_us, self._reach_endpoint, outgoing, delay_us)

    def _reach_endpoint(self, outgoing: OutgoingCall, delay_us: int) -> None:
        if outgoing.is_done:
            return
        result = outgoing.endpoint.connect()
        if result in (partners.OK, partners.FULL):
            outgoing.connection = Connection(outgoing.endpoint, over_connection_limit=result == partners.FULL)
            self.clock.after(delay_us + self.simulation.handshake_us, self._connected, outgoing)
        elif result == partners.CONNECT_FAILED:
            self.clock.after(delay_us, self._answer_arrived, outgoing, partners.CONNECT_FAILED, 0, ())
        else:
            remaining_us = outgoing.sent_us + self.settings.connect_timeout_us - self.clock.now
            self.clock.after(
                max(0, remaining_us), self._answer_arrived, outgoing, partners.CONNECT_FAILED, 0, ()
            )

    def _connected(self, outgoing: OutgoingCall) -> None:
        """The connection is up. Sends nothing if the endpoint left or announced a retry-after meanwhile."""
        if outgoing.is_done:
            return
        number = outgoing.endpoint.number
        if (
            number in self.courier.leaving_since_us
            or self.retry_after_until_us.get(self.simulation.lane_of(number), 0) > self.clock.now
        ):
            self._finish(outgoing, "moot", 0, ())
        else:
            self._start_call(outgoing)

    def _start_call(self, outgoing: OutgoingCall) -> None:
        """Writes the first byte of the call: from here on it may execute."""
        now = self.clock.now
        for message, _ in outgoing.items:
            message.earlier_attempt_us = message.may_have_run_us
            message.attempt_started_us = now
        work_us = tuple(
            message.work_us[min(attempt, len(message.work_us) - 1)] for message, attempt in outgoing.items
        )
        generation = self.courier.generation

        def answer(outcome: str, retry_after_us: int, report: tuple[float, ...]) -> None:
            if retry_after_us and generation == self.courier.generation and not outgoing.is_done:
                self.rules.retry_after_announced(
                    self.number,
                    self.simulation.lane_of(outgoing.endpoint.number),
                    self.clock.now,
                    retry_after_us,
                )
            if outcome == partners.OK and generation == self.courier.generation and not outgoing.is_done:
                for message, _ in outgoing.items:
                    self.simulation.clients.message_delivered(message)
            if self.simulation.is_answer_lost():
                return
            delay_us = self.simulation.network_delay_us(self.courier, outgoing.endpoint)
            self.clock.after(delay_us, self._answer_arrived, outgoing, outcome, retry_after_us, report)

        def executed() -> None:
            for message, _ in outgoing.items:
                message.executions += 1
                if (
                    message.executions > 1
                    and self.settings.classes[message.class_index].effect
                    is self.dialect.interface.Effect.UNSAFE
                ):
                    raise self.rules.violation(
                        "duplicates",
                        self.clock.now,
                        f"message {message.number} was executed twice",
                        message.number,
                    )

        outgoing.endpoint_call = partners.Call(
            self.number, tuple(message.number for message, _ in outgoing.items), work_us, answer, executed
        )
        outgoing.endpoint_call.over_connection_limit = (
            outgoing.connection is not None and outgoing.connection.over_connection_limit
        )
        self.clock.after(
            self.simulation.network_delay_us(self.courier, outgoing.endpoint),
            self._arrive,
            outgoing,
            generation,
        )

    def _arrive(self, outgoing: OutgoingCall, generation: int) -> None:
        assert outgoing.endpoint_call is not None
        self.simulation.counts["calls"] += 1
        if generation == self.courier.generation:
            self.rules.check_call(
                self.number,
                self.simulation.lane_of(outgoing.endpoint.number),
                self.clock.now,
                outgoing.items[0][0].number,
            )
        outgoing.endpoint.receive(outgoing.endpoint_call)
        self.simulation.check_for_collapse(outgoing.endpoint)

    def _time_out(self, outgoing: OutgoingCall) -> None:
        if not outgoing.is_done:
            self._abandon(outgoing, "timeout" if outgoing.endpoint_call else partners.CONNECT_FAILED)

    def _abandon(self, outgoing: OutgoingCall, result: str) -> None:
        if outgoing.endpoint_call:
            outgoing.endpoint_call.is_abandoned = True
        connection, outgoing.connection = outgoing.connection, None
        self.connections.close(connection)
        self._finish(outgoing, result, 0, ())

    def _answer_arrived(
        self, outgoing: OutgoingCall, outcome: str, retry_after_us: int, report: tuple[float, ...]
    ) -> None:
        if outgoing.is_done:
            return
        if retry_after_us:
            lane = self.simulation.lane_of(outgoing.endpoint.number)
            self.retry_after_until_us[lane] = max(
                self.retry_after_until_us.get(lane, 0), self.clock.now + retry_after_us
            )
        if (
            outcome in (partners.RESET, partners.CONNECT_FAILED)
            or outgoing.connection
            and outgoing.connection.over_connection_limit
        ):
            connection, outgoing.connection = outgoing.connection, None
            self.connections.close(connection)
        self._finish(outgoing, outcome, retry_after_us, report)

    def _finish(
        self, outgoing: OutgoingCall, outcome: str, retry_after_us: int, report: tuple[float, ...]
    ) -> None:
        interface, now = self.dialect.interface, self.clock.now
        outgoing.is_done = True
        self.calls_out -= 1
        if outgoing.connection:
            self._check_in(outgoing.connection)
        result = interface.Result(outcome)
        self.simulation.counts[f"outcome {outcome}"] += 1
        for message, attempt in outgoing.items:
            self.by_attempt.pop((message.number, attempt), None)
            is_delivered = outcome == partners.OK
            if is_delivered and not message.outcome:
                self.courier.record_end(message, "delivered")
            elif outcome in NOT_RUN:
                message.attempt_started_us = -1
            self.rules.record(
                now,
                self.number,
                message.number,
                message.destination,
                f"attempt {attempt}: {outcome}",
                retry_after_us or "",
            )
            self.courier.add_event(
                self.dialect.make(
                    "AttemptEnded",
                    message=message.number,
                    attempt=attempt,
                    endpoint=outgoing.endpoint.number,
                    result=result,
                    latency_us=max(1, now - outgoing.sent_us),
                    closed=is_delivered or bool(message.outcome),
                    retry_after_us=retry_after_us,
                    report=report,
                    idle_us=outgoing.idle_us,
                )
            )
        self.courier.exit_if_idle()

    # Connections

    def _check_in(self, connection: Connection) -> None:
        if not connection.is_open or connection.endpoint.number in self.courier.leaving_since_us:
            self.connections.close(connection)
        else:
            self.connections.check_in(connection)

    def reset_connections(self, endpoint: partners.Endpoint) -> None:
        """Resets all connections to an endpoint, whose machine went down or came back."""
        self.connections.close_idle(endpoint.number)
        for outgoing in [o for o in self.outstanding() if o.endpoint is endpoint and o.connection]:
            connection, outgoing.connection = outgoing.connection, None
            self.connections.close(connection)
            if outgoing.endpoint_call:
                outgoing.endpoint_call.is_abandoned = True
            self._finish(
                outgoing, partners.RESET if outgoing.endpoint_call else partners.CONNECT_FAILED, 0, ()
            )
