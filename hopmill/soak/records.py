"""What endpoints, agents and the platform observe of the couriers; all times by one monotonic clock, in s."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from hopmill.standin.ledger import Ledger


@dataclass(frozen=True)
class SeenCall:
    """A call as its endpoint saw it begin."""

    courier: str
    endpoint: str
    at_s: float
    messages: tuple[str, ...]


@dataclass
class SoakLedger(Ledger):
    """The ledger of all messages, with the calls, starts of processes and told drains of each courier."""

    calls_seen: list[SeenCall] = field(default_factory=list)
    courier_by_port: dict[int, str] = field(default_factory=dict)
    courier_by_message: dict[str, str] = field(default_factory=dict)
    starts_s: dict[str, list[float]] = field(default_factory=dict)  # by courier, ascending
    listed_s: dict[str, list[float]] = field(default_factory=dict)  # writes of its agent to a courier
    # By courier: spans in which its agent of discovery could not be reached.
    unreachable_s: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    # By courier and endpoint: when it counts as told that the endpoint drains or is gone.
    told_s: dict[tuple[str, str], float] = field(default_factory=dict)
    # By courier and endpoint: when a shared server of discovery had it.
    had_s: dict[tuple[str, str], float] = field(default_factory=dict)

    given_up_s: list[tuple[str, float]] = field(default_factory=list)  # watches closed before their answer
    stops_s: dict[str, list[float]] = field(default_factory=dict)  # by courier: ends of its processes begin

    zones: dict[str, str] = field(default_factory=dict)  # by endpoint: the zone in which it was first listed
    moved: set[str] = field(default_factory=set)  # endpoints that are listed in another zone since
    calls_after_move: set[str] = field(default_factory=set)  # messages that a moved endpoint was called with
    late_answers_s: list[tuple[str, float]] = field(default_factory=list)  # to ordinary clients, by courier
    peak_memory_mb: dict[str, float] = field(default_factory=dict)  # by courier, of any of its processes

    falls_s: list[float] = field(default_factory=list)  # partners in slow start that were pushed over
    outages_s: list[tuple[float, float]] = field(default_factory=list)  # of partners, from and until

    def record_courier(self, message_id: str, port: int) -> None:
        """Record to which courier a client sends the message; no other one delivers it."""
        self.courier_by_message[message_id] = self.courier_by_port[port]

    def record_call(self, endpoint: str, message_ids: list[str]) -> None:
        """Record that a call has reached an endpoint."""
        courier = self.courier_by_message.get(message_ids[0], "") if message_ids else ""
        if endpoint in self.moved:
            self.calls_after_move.update(message_ids)
        self.calls_seen.append(SeenCall(courier, endpoint, time.monotonic(), tuple(message_ids)))

    def record_memory(self, courier: str, peak_mb: float) -> None:
        """Record the peak memory of a courier's process."""
        self.peak_memory_mb[courier] = max(peak_mb, self.peak_memory_mb.get(courier, 0.0))

    def record_start(self, courier: str) -> None:
        """Record the first moment of a courier's next process."""
        self.starts_s.setdefault(courier, []).append(time.monotonic())

    def record_listed(self, courier: str) -> None:
        """Record that the agent writes a list, or a change of it, to the courier."""
        self.listed_s.setdefault(courier, []).append(time.monotonic())

    def record_unreachable(self, courier: str, from_s: float, until_s: float) -> None:
        """Record that the agent could not be reached."""
        self.unreachable_s.setdefault(courier, []).append((from_s, until_s))

    def record_told(self, courier: str, endpoint: str, at_s: float) -> None:
        """Record that the courier counts as told of a drain from then on; the earliest time stays."""
        key = courier, endpoint
        self.told_s[key] = min(at_s, self.told_s.get(key, at_s))

    def record_given_up(self, courier: str) -> None:
        """Record that the courier has closed a watch whose answer was due."""
        self.given_up_s.append((courier, time.monotonic()))

    def record_stop(self, courier: str) -> None:
        """Record that the process is to end from now on."""
        self.stops_s.setdefault(courier, []).append(time.monotonic())

    def record_had(self, courier: str, endpoint: str, at_s: float) -> None:
        """Record that a shared server has a drain from then on; it binds later."""
        self.had_s.setdefault((courier, endpoint), at_s)

    def record_told_later(self, courier: str, endpoint: str, at_s: float) -> None:
        """Record that the courier could not be told before that time."""
        key = courier, endpoint
        self.told_s[key] = max(at_s, self.told_s.get(key, at_s))
