"""Judges a soak by its records alone, with the bounds that the operators' pages state."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from hopmill.soak.bad_clients import LEFT_PREFIX
from hopmill.soak.records import SeenCall, SoakLedger
from hopmill.standin.client import ANSWER_TIMEOUT_S

DRAIN_GRACE_S = 0.5
CHANGE_BOUND_S = 6.0  # a change binds so long after discovery had it and could be reached
NOTICED_S = 1.0  # of an outage
ZONE_BOUND_CLASS = "receipt"  # of the load: its keys are known in one zone only
MEMORY_LIMIT_MB = 64  # of a courier, in its configuration
SLACK_S = 0.05  # by which every time limit is longer on sockets
STARTUP_S = (
    1.5  # a process may need this long before it can ask its agent; a part of it is the soak's own pause
)


def violations(ledger: SoakLedger) -> list[str]:
    """Return one line for each broken rule."""
    return [
        *late_calls(ledger),
        *lost_messages(ledger),
        *repeated_effects(ledger),
        *ledger.contradictions(),
        *falls_in_slow_start(ledger),
        *repeats_in_another_zone(ledger),
        *memory_over_limit(ledger),
        *late_answers(ledger),
        *calls_for_clients_that_left(ledger),
        *answers_given_up(ledger),
    ]


def answers_given_up(ledger: SoakLedger) -> list[str]:
    """Watches that a process closed although their answer was due, but for processes that end."""
    return [
        f"given up: {courier} closed a watch before its answer, at {at_s:.3f}"
        for courier, at_s in ledger.given_up_s
        if not _is_stopping(ledger, courier, at_s)
    ]


def _is_stopping(ledger: SoakLedger, courier: str, at_s: float) -> bool:
    """Return whether a process of the courier was to end and the next one had not begun."""
    latest_stop_s = max((s for s in ledger.stops_s.get(courier, []) if s <= at_s), default=-1.0)
    latest_start_s = max((s for s in ledger.starts_s.get(courier, []) if s <= at_s), default=0.0)
    return latest_stop_s > latest_start_s


def repeats_in_another_zone(ledger: SoakLedger) -> list[str]:
    """Messages of the class keyed by zone that endpoints of two zones have been called with.

    A call with an endpoint after its move is left out: which zone its courier knew of can't be told.
    """
    zones: dict[str, set[str]] = {}
    for call in ledger.calls_seen:
        for message in call.messages:
            submission = ledger.entries.get(message)
            if submission and submission.class_name == ZONE_BOUND_CLASS:
                zones.setdefault(message, set()).add(ledger.zones.get(call.endpoint, ""))
    return [
        f"zone: {message} was sent to {' and '.join(sorted(names))}"
        for message, names in zones.items()
        if len(names) > 1 and message not in ledger.calls_after_move
    ]


def memory_over_limit(ledger: SoakLedger) -> list[str]:
    """Couriers whose process took more memory than its configuration allows."""
    return [
        f"memory: {courier} took {peak_mb:.1f} MB of {MEMORY_LIMIT_MB}"
        for courier, peak_mb in ledger.peak_memory_mb.items()
        if peak_mb > MEMORY_LIMIT_MB
    ]


def late_answers(ledger: SoakLedger) -> list[str]:
    """Answers to ordinary clients that came too late beside clients that hold or flood."""
    return [
        f"answer: a client of {courier} waited {waited_s:.3f} s"
        for courier, waited_s in ledger.late_answers_s
        if waited_s > ANSWER_TIMEOUT_S
    ]


def calls_for_clients_that_left(ledger: SoakLedger) -> list[str]:
    """Calls for messages that their client had sent to a stopped process, and left before it went on."""
    return [
        f"left: {call.endpoint} was called for {message} at {call.at_s:.3f}"
        for call in ledger.calls_seen
        for message in call.messages
        if message.startswith(LEFT_PREFIX)
    ]


def late_calls(ledger: SoakLedger) -> list[str]:
    """Calls to an endpoint later than the grace after the courier was told that it drains or is gone."""
    return [
        f"drain: {call.courier} called {call.endpoint} {late_s:.3f} s after it was told, at {call.at_s:.3f}"
        for call in ledger.calls_seen
        if (late_s := _seconds_since_told(ledger, call, excuses_silence=True)) > DRAIN_GRACE_S + SLACK_S
    ]


def excused_calls(ledger: SoakLedger) -> int:
    """Count the calls that are late only if a process is held to what a silent agent could not tell it."""
    late = sum(
        _seconds_since_told(ledger, call, excuses_silence=False) > DRAIN_GRACE_S + SLACK_S
        for call in ledger.calls_seen
    )
    return late - len(late_calls(ledger))


def _seconds_since_told(ledger: SoakLedger, call: SeenCall, excuses_silence: bool) -> float:
    """Return how long the process that made the call had been told; negative if it had not.

    excuses_silence: a process whose agent can not be reached before it has written anything to it counts as
    told once it can.
    """
    told_s = _told_s(ledger, call)
    if told_s is None:
        return -1.0
    # What a shared server could not tell binds some time after it can be reached; what an agent has, at once.
    is_shared = (call.courier, call.endpoint) in ledger.had_s
    binds_after_s = CHANGE_BOUND_S if is_shared else 0.0
    starts_s = ledger.starts_s.get(call.courier, [])
    number = bisect_right(starts_s, call.at_s)
    started_s = starts_s[number - 1] if number else 0.0
    told_s = max(told_s, started_s)
    for from_s, until_s in ledger.unreachable_s.get(call.courier, []) if excuses_silence else []:
        # A process that could ask before goes by its old list only once discovery counts as down.
        if is_shared and from_s > started_s + STARTUP_S and call.at_s < started_s + CHANGE_BOUND_S:
            continue
        if is_shared and from_s > started_s + CHANGE_BOUND_S:
            continue
        if told_s < until_s and not _is_listed_between(ledger, call.courier, started_s, from_s):
            told_s = until_s + binds_after_s
    return call.at_s - told_s


def _told_s(ledger: SoakLedger, call: SeenCall) -> float | None:
    """Return when the courier counts as told that the endpoint drains; None if it does not."""
    key = call.courier, call.endpoint
    told_s, reached_s = ledger.told_s.get(key), ledger.had_s.get(key)
    if reached_s is None:
        return told_s
    for from_s, until_s in sorted(ledger.unreachable_s.get(call.courier, [])):
        if from_s < reached_s + CHANGE_BOUND_S and until_s > reached_s:
            reached_s = until_s
    bound_s = reached_s + CHANGE_BOUND_S
    return bound_s if told_s is None else min(told_s, bound_s)


def _is_listed_between(ledger: SoakLedger, courier: str, from_s: float, until_s: float) -> bool:
    """Return whether the agent has written a list or a change of it to the courier in that span."""
    listed_s = ledger.listed_s.get(courier, [])
    return bisect_left(listed_s, from_s) < bisect_right(listed_s, until_s)


def falls_in_slow_start(ledger: SoakLedger) -> list[str]:
    """Falls of a partner that came back cold, if over two thirds of the couriers knew of its outage.

    A courier knows of it if its process ran for NOTICED_S of it, since its calls failed then.
    """
    found = []
    for at_s in ledger.falls_s:
        from_s, until_s = max((span for span in ledger.outages_s if span[1] <= at_s), default=(0.0, 0.0))
        knowing = [
            courier
            for courier, starts_s in ledger.starts_s.items()
            if max(from_s, *(s for s in starts_s if s <= at_s)) <= until_s - NOTICED_S
        ]
        if 3 * len(knowing) > 2 * len(ledger.starts_s):
            found.append(f"failback: a partner fell {at_s - until_s:.3f} s after its return")
    return found


def lost_messages(ledger: SoakLedger) -> list[str]:
    """Messages that were taken on and have neither been delivered nor ended by a notice."""
    return [
        f"lost: {message} at {ledger.courier_by_message.get(message)}"
        for message, submission in ledger.entries.items()
        if submission.answer == "taken" and not submission.delivered_at and not submission.notice
    ]


def repeated_effects(ledger: SoakLedger) -> list[str]:
    """Messages that may not be repeated and took effect more than once."""
    return [
        f"twice: {message} took effect {submission.effects} times"
        for message, submission in ledger.entries.items()
        if submission.unsafe and submission.effects > 1
    ]
