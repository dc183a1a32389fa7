"""The rules, checked while the simulation runs. A violation ends the run with the events that led to it."""

from __future__ import annotations

from collections import deque
from typing import Any

MAX_TRACE_EVENTS = 20_000  # events of the whole fleet that are kept
MAX_SHOWN_EVENTS = 25  # of the trace, with a violation
END_GRACE_US = 300_000  # a message may end so long after its deadline
WAIT_SLACK_US = 100_000  # for calls that were on their way when the retry-after was announced
INFORMED_SHARE_LIMIT = 2 / 3  # of the load under which a target collapsed


class RuleBrokenError(Exception):
    """Names the rule and the time; `trace` has the last events of that message or lane."""

    def __init__(self, rule: str, at_us: int, text: str, trace: list[str]) -> None:
        super().__init__(f"{rule} at {at_us / 1e6:.3f} s: {text}")
        self.rule, self.at_us, self.trace = rule, at_us, trace


class Rules:
    """Observes the whole simulation and changes nothing."""

    def __init__(self) -> None:
        self.trace: deque[tuple[int, int, int, int, str, Any]] = deque(maxlen=MAX_TRACE_EVENTS)
        # By (courier, lane): (announced at, until), in us.
        self.announced_waits: dict[tuple[int, int], list[tuple[int, int]]] = {}

    def record(self, now: int, courier: int, message: int, lane: int, what: str, more: Any = "") -> None:
        """Adds an event to the trace."""
        self.trace.append((now, courier, message, lane, what, more))

    def violation(self, rule: str, now: int, text: str, message: int = -1, lane: int = -1) -> RuleBrokenError:
        """The error to raise, with the events of that message or lane."""
        rows = [
            f"{at / 1e6:9.4f} s  courier {who}  message {subject}  lane {where}  {what} {more}"
            for at, who, subject, where, what, more in self.trace
            if subject == message and message >= 0 or where == lane and lane >= 0
        ]
        return RuleBrokenError(rule, now, text, rows[-MAX_SHOWN_EVENTS:])

    # A retry-after that one courier received binds it for every message to that lane.

    def retry_after_announced(self, courier: int, lane: int, now: int, retry_after_us: int) -> None:
        """A partner answered a courier's call with a retry-after."""
        kept = [w for w in self.announced_waits.get((courier, lane), []) if w[1] > now]
        self.announced_waits[(courier, lane)] = [*kept, (now, now + retry_after_us)]

    def check_call(self, courier: int, lane: int, now: int, message: int) -> None:
        """RuleBrokenError if a call arrives while a retry-after binds its courier."""
        for announced_us, until_us in self.announced_waits.get((courier, lane), ()):
            if announced_us + WAIT_SLACK_US < now < until_us:
                raise self.violation(
                    "waits",
                    now,
                    f"courier {courier} called lane {lane} "
                    f"{(until_us - now) / 1e3:.0f} ms before the end of its retry-after",
                    message,
                    lane,
                )

    def courier_restarted(self, courier: int) -> None:
        """A restarted courier does not know the retry-afters announced before."""
        for key in [k for k in self.announced_waits if k[0] == courier]:
            del self.announced_waits[key]
