"""Checks the guarantees of policy changes against what each courier and each endpoint recorded.

All records use one clock, and none comes from the code that keeps the guarantees. A courier's record of an
act has two times: when it checked that it may act (`looked_us`) and when it had acted (`at_us`). The order
in between is not known, so only what is certain counts as a violation.
"""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Iterator
from typing import Any

from hopmill.trial.history import History

Row = dict[str, Any]


def violations(history: History) -> list[str]:
    """One line for each violated guarantee; at most 20."""
    acts = sorted(history.rows_of("began") + history.rows_of("took"), key=lambda row: row["at_us"])
    if not acts:
        return []
    return [
        *order_violations(acts, canary_members(history)),
        *content_violations(history),
        *outcome_violations(history),
        *calls_to_excluded(history, acts)[0],
    ][:20]


def first_acts(acts: list[Row]) -> tuple[list[int], list[int]]:
    """(times in us, versions): from each time on, an act under that version or a later one is known."""
    times, versions = [], []
    for row in acts:
        if not versions or row["version"] > versions[-1]:
            times.append(row["at_us"])
            versions.append(row["version"])
    return times, versions


def canary_members(history: History) -> dict[int, set[str]]:
    """By version: the couriers that applied it while it was staged, which are its canary group."""
    members_by_version: dict[int, set[str]] = {}
    for row in history.rows_of("policy"):
        if row["staged"]:
            members_by_version.setdefault(row["version"], set()).add(row["who"])
    return members_by_version


def order_violations(acts: list[Row], canaries: dict[int, set[str]]) -> Iterator[str]:
    """Once a courier has acted under a version, no courier that checks later acts under an earlier one.

    While a version is staged, acts of its canary group bind that group only.
    """
    others_first_acts = first_acts(
        [row for row in acts if row["who"] not in canaries.get(row["version"], ())]
    )
    all_first_acts = first_acts(acts)
    for row in acts:
        times, versions = all_first_acts
        position = bisect.bisect_left(times, row["looked_us"])
        if (
            position
            and versions[position - 1] in canaries
            and row["who"] not in canaries[versions[position - 1]]
        ):
            times, versions = others_first_acts
            position = bisect.bisect_left(times, row["looked_us"])
        if position and versions[position - 1] > row["version"]:
            yield (
                f"{row['who']} {row['what']} {row['messages'][:1]} under version {row['version']}, "
                f"having checked {row['looked_us'] - times[position - 1]} us after "
                f"an act under {versions[position - 1]}"
            )


def content_violations(history: History) -> Iterator[str]:
    """A version means the same policy at every courier."""
    first_rows: dict[int, Row] = {}
    for row in history.rows_of("policy"):
        first = first_rows.setdefault(row["version"], row)
        if first["values"] != row["values"]:
            yield f"version {row['version']} is {first['values']} at {first['who']}, not at {row['who']}"


def outcome_violations(history: History) -> Iterator[str]:
    """The reported outcome of each change is true.

    A change reported as in force nowhere never was, except while staged; nor was one that its only courier
    refused. A change reported as in force is part of that version and of every later one.
    """
    changes_by_version = {
        row["version"]: set(row["changes"]) for row in history.rows_of("policy") if not row["staged"]
    }
    ever_in_force = set[str]().union(*changes_by_version.values()) if changes_by_version else set()
    accepted_count = Counter(row["change"] for row in history.rows_of("proposed") if row["status"] < 400)
    for row in history.rows_of("not proposed"):
        if row["change"] in ever_in_force and accepted_count[row["change"]] <= 1:
            yield f"change {row['change']} was in force but its only proposal was refused: {row['why']}"
    for row in history.rows_of("outcome"):
        if row["state"] == "in force nowhere" and row["change"] in ever_in_force:
            yield f"change {row['change']} was in force but was reported to be so nowhere: {row['why']}"
        if row["state"] == "in force":
            for version, changes in changes_by_version.items():
                if version >= row["version"] and row["change"] not in changes:
                    yield f"version {version} lacks change {row['change']}, in force since {row['version']}"


def calls_to_excluded(history: History, acts: list[Row]) -> tuple[list[str], int]:
    """(violations, number of late calls), by the endpoints' own records.

    From the first act under a version that excludes an endpoint, the endpoint gets no call. A call whose
    courier had checked before that act is late: it is allowed, and counted separately.
    """
    excluded_by_version = {
        row["version"]: set(row["values"].get("left_out.endpoints", ())) for row in history.rows_of("policy")
    }
    decisions_by_message: dict[str, list[Row]] = {}
    for row in acts:
        if row["what"] == "began":
            for message in row["messages"]:
                decisions_by_message.setdefault(message, []).append(row)
    canaries = canary_members(history)
    times, versions = first_acts([row for row in acts if row["who"] not in canaries.get(row["version"], ())])
    unexpected_calls, late_calls = [], 0
    for call in history.rows_of("call"):
        position = bisect.bisect_left(times, call["at_us"])
        decisions = (
            [
                row
                for row in decisions_by_message.get(call["messages"][0], ())
                if row["looked_us"] <= call["at_us"]
            ]
            if call["messages"]
            else []
        )
        decision = max(decisions, key=lambda row: row["looked_us"], default=None)
        # A staged version binds its canary group before it binds the others.
        version = max(versions[position - 1] if position else -1, decision["version"] if decision else -1)
        if call["who"] not in excluded_by_version.get(version, ()):
            continue
        if (
            decision
            and position
            and decision["version"] < version
            and decision["looked_us"] <= times[position - 1]
        ):
            late_calls += 1
        else:
            unexpected_calls.append(
                f"{call['who']} got a call of {call['courier']} that had checked "
                f"at {decision and decision['looked_us']}, under version {version}, which excludes it"
            )
    return unexpected_calls, late_calls


def figures(history: History) -> Row:
    """The policy part of the result line: changes by outcome, their durations, and pauses of new work."""
    outcome_rows = history.rows_of("outcome")
    in_force = [row for row in outcome_rows if row["state"] == "in force"]
    durations_ms = sorted((row["at_us"] - row["began_us"]) // 1000 for row in in_force if not row["staged"])
    acts = sorted(history.rows_of("began") + history.rows_of("took"), key=lambda row: row["at_us"])
    pauses_ms = sorted(pause_ms for _, pause_ms in pauses(history))
    return {
        "policies": len(outcome_rows),
        "not_proposed": len(history.rows_of("not proposed")),
        "in_force": len(in_force),
        "staged": sum(row["staged"] for row in in_force),
        "nowhere": sum(row["state"] == "in force nowhere" for row in outcome_rows),
        "not_ended": sum(row["state"] not in ("in force", "in force nowhere") for row in outcome_rows),
        "versions": max((row["version"] for row in history.rows_of("policy")), default=0),
        "policy_p50_ms": quantile(durations_ms, 0.5),
        "policy_p99_ms": quantile(durations_ms, 0.99),
        "pause_p50_ms": quantile(pauses_ms, 0.5),
        "pause_p99_ms": quantile(pauses_ms, 0.99),
        "began": len(acts),
        "late_calls": calls_to_excluded(history, acts)[1] if acts else 0,
    }


def quantile(values: list[int], share: float) -> int | None:
    """The value at that share of a sorted list; None if it is empty."""
    return values[min(len(values) - 1, int(len(values) * share))] if values else None


def pauses(history: History) -> Iterator[tuple[str, int]]:
    """(courier, duration in ms) of each pause in which a courier without a policy lease began no new work."""
    held_since_us: dict[str, int] = {}
    for row in sorted(history.rows_of("holds"), key=lambda row: row["at_us"]):
        if row["on"]:
            held_since_us[row["who"]] = row["at_us"]
        elif row["who"] in held_since_us:
            yield row["who"], (row["at_us"] - held_since_us.pop(row["who"])) // 1000
