"""The rules, checked as things happen. A break ends the play with what led to it."""

from __future__ import annotations

from collections import deque
from typing import Any

TRACE = 20_000  # events of the whole fleet that are remembered
SHOWN = 25
LATE_US = 300_000  # a message may end so long after its time
WAIT_SLACK_US = 100_000  # calls that arrive so soon after a told wait was written are let through
BLAME = 2 / 3  # of what pushed it over came from couriers that knew


class RuleBroken(Exception):
    """Which rule, when, and the last events of that message and lane."""

    def __init__(self, rule: str, at_us: int, text: str, trace: list[str]) -> None:
        super().__init__(f"{rule} at {at_us / 1e6:.3f} s: {text}")
        self.rule, self.at_us, self.trace = rule, at_us, trace


class Rules:
    """Sees everything; changes nothing."""

    def __init__(self) -> None:
        self.trace: deque[tuple[int, int, int, int, str, Any]] = deque(maxlen=TRACE)
        self.waits: dict[tuple[int, int], list[tuple[int, int]]] = {}  # (courier, lane): written, until

    def note(self, now: int, courier: int, message: int, lane: int, what: str, more: Any = "") -> None:
        self.trace.append((now, courier, message, lane, what, more))

    def broken(self, rule: str, now: int, text: str, message: int = -1, lane: int = -1) -> RuleBroken:
        rows = [
            f"{at / 1e6:9.4f} s  courier {who}  message {m}  lane {ln}  {what} {more}"
            for at, who, m, ln, what, more in self.trace
            if m == message and message >= 0 or ln == lane and lane >= 0
        ]
        return RuleBroken(rule, now, text, rows[-SHOWN:])

    # Waits: told to one courier, they bind it for every message to that lane.

    def told_wait(self, courier: int, lane: int, now: int, wait: int) -> None:
        kept = [w for w in self.waits.get((courier, lane), []) if w[1] > now]
        self.waits[(courier, lane)] = [*kept, (now, now + wait)]

    def call_arrives(self, courier: int, lane: int, now: int, message: int) -> None:
        for written, until in self.waits.get((courier, lane), ()):
            if written + WAIT_SLACK_US < now < until:
                raise self.broken(
                    "waits",
                    now,
                    f"courier {courier} called lane {lane} "
                    f"{(until - now) / 1e3:.0f} ms before the end of its wait",
                    message,
                    lane,
                )

    def forget(self, courier: int) -> None:
        """A restart ends the waits."""
        for key in [k for k in self.waits if k[0] == courier]:
            del self.waits[key]
