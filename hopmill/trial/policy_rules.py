"""What is promised of policy changes, checked against what each courier and each endpoint recorded.

By one clock, and with no word from the parts that keep the promise. A courier's record of an act has two
times: before it looked whether it may, and after. Only what is certain is a violation.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from typing import Any

from hopmill.trial.history import History

Row = dict[str, Any]


def violations(history: History) -> list[str]:
    acts = sorted(history.of("began") + history.of("took"), key=lambda row: row["at_us"])
    if not acts:
        return []
    return [*order(acts, staged(history)), *texts(history), *outcomes(history), *left_out(history, acts)[0]][
        :20
    ]


def firsts(acts: list[Row]) -> tuple[list[int], list[int]]:
    """(times, versions): from each time on, an act under that version or a later one is known."""
    times, versions = [], []
    for row in acts:
        if not versions or row["version"] > versions[-1]:
            times.append(row["at_us"])
            versions.append(row["version"])
    return times, versions


def staged(history: History) -> dict[int, set[str]]:
    """Who went by a version while it was staged."""
    few: dict[int, set[str]] = {}
    for row in history.of("policy"):
        if row["staged"]:
            few.setdefault(row["version"], set()).add(row["who"])
    return few


def order(acts: list[Row], few: dict[int, set[str]]) -> Iterator[str]:
    """Once any courier has acted under a version, none that looks later acts under one before. While a
    version is staged, what its few do binds those few alone."""
    others = firsts([row for row in acts if row["who"] not in few.get(row["version"], ())])
    every = firsts(acts)
    for row in acts:
        times, versions = every
        at = bisect.bisect_left(times, row["looked_us"])
        if at and versions[at - 1] in few and row["who"] not in few[versions[at - 1]]:
            times, versions = others
            at = bisect.bisect_left(times, row["looked_us"])
        if at and versions[at - 1] > row["version"]:
            yield (
                f"{row['who']} {row['what']} {row['messages'][:1]} under version {row['version']}, having "
                f"looked {row['looked_us'] - times[at - 1]} us after an act under {versions[at - 1]}"
            )


def texts(history: History) -> Iterator[str]:
    """One version is one policy, at every courier."""
    first: dict[int, Row] = {}
    for row in history.of("policy"):
        known = first.setdefault(row["version"], row)
        if known["values"] != row["values"]:
            yield f"version {row['version']} is {known['values']} at {known['who']}, not at {row['who']}"


def outcomes(history: History) -> Iterator[str]:
    """What was said to be in force nowhere never was, but staged; what was said to be in force is, in every
    version from then on."""
    versions = {row["version"]: set(row["changes"]) for row in history.of("policy") if not row["staged"]}
    ever = set[str]().union(*versions.values()) if versions else set()
    for row in history.of("outcome"):
        if row["state"] == "in force nowhere" and row["change"] in ever:
            yield f"change {row['change']} was in force and was said to be so nowhere: {row['why']}"
        if row["state"] == "in force":
            for version, changes in versions.items():
                if version >= row["version"] and row["change"] not in changes:
                    yield f"version {version} lacks change {row['change']}, in force since {row['version']}"


def left_out(history: History, acts: list[Row]) -> tuple[list[str], int]:
    """(violations, late calls) by the endpoints' own record: from the first act under a version that leaves
    an endpoint out, it gets no call. One whose courier had looked before that is late, and counted apart."""
    out = {row["version"]: set(row["values"].get("left_out.endpoints", ())) for row in history.of("policy")}
    looked: dict[str, list[Row]] = {}
    for row in acts:
        if row["what"] == "began":
            for message in row["messages"]:
                looked.setdefault(message, []).append(row)
    few = staged(history)
    times, versions = firsts([row for row in acts if row["who"] not in few.get(row["version"], ())])
    found, late = [], 0
    for call in history.of("call"):
        at = bisect.bisect_left(times, call["at_us"])
        decided = (
            [row for row in looked.get(call["messages"][0], ()) if row["looked_us"] <= call["at_us"]]
            if call["messages"]
            else []
        )
        by = max(decided, key=lambda row: row["looked_us"], default=None)
        # A staged version is its few's before it binds the others.
        version = max(versions[at - 1] if at else -1, by["version"] if by else -1)
        if call["who"] not in out.get(version, ()):
            continue
        if by and at and by["version"] < version and by["looked_us"] <= times[at - 1]:
            late += 1
        else:
            found.append(
                f"{call['who']} got a call of {call['courier']} that had looked "
                f"at {by and by['looked_us']}, under version {version}, which leaves it out"
            )
    return found, late


def figures(history: History) -> Row:
    """How many changes, how they ended, and how long each took and stopped new work."""
    rows = history.of("outcome")
    there = [r for r in rows if r["state"] == "in force"]
    took = sorted((r["at_us"] - r["began_us"]) // 1000 for r in there if not r["staged"])
    acts = sorted(history.of("began") + history.of("took"), key=lambda row: row["at_us"])
    pauses = sorted(pause_ms for _, pause_ms in stops(history))
    return {
        "policies": len(rows),
        "in_force": len(there),
        "staged": sum(r["staged"] for r in there),
        "nowhere": sum(r["state"] == "in force nowhere" for r in rows),
        "not_ended": sum(r["state"] not in ("in force", "in force nowhere") for r in rows),
        "versions": max((r["version"] for r in history.of("policy")), default=0),
        "policy_p50_ms": quantile(took, 0.5),
        "policy_p99_ms": quantile(took, 0.99),
        "pause_p50_ms": quantile(pauses, 0.5),
        "pause_p99_ms": quantile(pauses, 0.99),
        "began": len(acts),
        "late_calls": left_out(history, acts)[1] if acts else 0,
    }


def quantile(values: list[int], share: float) -> int | None:
    return values[min(len(values) - 1, int(len(values) * share))] if values else None


def stops(history: History) -> Iterator[tuple[str, int]]:
    """(courier, ms) of each time that one began nothing, from one change of its standing to the next."""
    since: dict[str, int] = {}
    for row in sorted(history.of("holds"), key=lambda row: row["at_us"]):
        if row["on"]:
            since[row["who"]] = row["at_us"]
        elif row["who"] in since:
            yield row["who"], (row["at_us"] - since.pop(row["who"])) // 1000
