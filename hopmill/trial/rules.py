"""Checks a trial's history against the guarantees of the fleet, without knowing how couriers keep them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from hopmill.standin.ledger import Ledger
from hopmill.trial.history import History

# Kinds of rows of the history that are read here. Times are in us since boot; at_us: when the row was added.
# change: a request to the register whose outcome is known. began_us; ticket, its proposal id; text, the
#     value written to the entry "x" ("" for a read); state, "done" (a change was applied) or "left" (the
#     register was left as it was, as by a read); version, words (the entries) and voters of the register in
#     the outcome; made, the version that the change created (0: none, or no longer known).
# act: a courier held the lease of the trial. owner; fence, its fencing token; looked_us, when it checked
#     the lease.
# view: a courier's view of the fleet. who, the courier; life, its generation; incarnation; version of the
#     register that it knows.
# fault: an injected fault. members that it affects; until_us, its end.

MAX_VIOLATIONS = 20
Row = dict[str, Any]


def violations(history: History, ledger: Ledger) -> list[str]:
    """One line for each violated guarantee; at most MAX_VIOLATIONS."""
    found = [
        *message_violations(ledger),
        *ledger.contradictions(),
        *register_violations(history),
        *lease_violations(history),
        *view_violations(history),
        *generation_violations(history),
    ]
    return found[:MAX_VIOLATIONS]


def message_violations(ledger: Ledger) -> Iterator[str]:
    """Each accepted message has ended, and an unsafe message takes effect at most once."""
    for ident, entry in ledger.entries.items():
        if entry.answer == "taken" and not entry.delivered_at and not entry.notice:
            yield f"message {ident} was accepted but neither delivered nor reported as failed"
        if entry.unsafe and entry.effects > 1:
            yield f"message {ident} took effect {entry.effects} times"


def register_violations(history: History) -> Iterator[str]:
    """One document per version; no request sees an older version than one that ended before it began.

    At most one change makes a version, and the version that a change reports contains it.
    """
    first_row_by_version: dict[int, Row] = {}
    reported: list[tuple[int, int, str]] = []  # at_us, version, ticket
    for row in sorted(history.rows_of("change"), key=lambda change: change["at_us"]):
        if row["state"] not in ("done", "left"):  # other outcomes report no version
            continue
        first = first_row_by_version.setdefault(row["version"], row)
        if (first["words"], first["voters"]) != (row["words"], row["voters"]):
            yield f"version {row['version']} is {first['words']} and also {row['words']}"
        # "x" is the entry that the trial writes; the version that a change created has to contain its text.
        if row["state"] == "done" and row["made"] == row["version"] and row["words"].get("x") != row["text"]:
            yield f"{row['ticket']} wrote {row['text']}, but version {row['version']} was reported without it"
        reported.append((row["at_us"], row["version"], row["ticket"]))
    for row in history.rows_of("change"):
        if row["state"] in ("done", "left"):
            for reported_at_us, version, ticket in reported:
                if reported_at_us < row["began_us"] and version > row["version"]:
                    yield f"{row['ticket']} saw version {row['version']} after {ticket} had seen {version}"
                    break
    ticket_by_version: dict[int, str] = {}
    for row in history.rows_of("change"):
        if (
            row["state"] == "done"
            and ticket_by_version.setdefault(row["made"], row["ticket"]) != row["ticket"]
        ):
            yield f"version {row['made']} was made by {ticket_by_version[row['made']]} and by {row['ticket']}"


def lease_violations(history: History) -> Iterator[str]:
    """Fencing tokens never decrease, and no two couriers act under the same one.

    Acts are ordered by the time at which the courier checked its lease.
    """
    last_token, last_owner = 0, ""
    for row in sorted(history.rows_of("act"), key=lambda act: act["looked_us"]):
        if row["fence"] < last_token or row["fence"] == last_token and row["owner"] != last_owner:
            yield f"{row['owner']} acts under token {row['fence']} after {last_owner} did under {last_token}"
        last_token, last_owner = row["fence"], row["owner"]


def view_violations(history: History) -> Iterator[str]:
    """The register version that a courier knows never decreases within one generation of it."""
    latest_version: dict[tuple[str, int], int] = {}
    for row in history.rows_of("view"):
        generation = row["who"], row["life"]
        if row["version"] < latest_version.get(generation, 0):
            yield f"{row['who']} went from version {latest_version[generation]} back to {row['version']}"
        latest_version[generation] = row["version"]


def generation_violations(history: History) -> Iterator[str]:
    """No incarnation number is used by two generations of a member."""
    generation_by_incarnation: dict[tuple[str, int], int] = {}
    for row in history.rows_of("view"):
        member_incarnation = row["who"], row["incarnation"]
        if generation_by_incarnation.setdefault(member_incarnation, row["life"]) != row["life"]:
            yield f"{row['who']} used incarnation {row['incarnation']} in two generations"


def false_deaths(history: History, deaths: list[tuple[int, str, str]], slack_us: int) -> list[str]:
    """Members declared dead although neither they nor the observer had a fault that explains it.

    deaths: (at_us, observer, member), at_us by the clock of the history (us since boot). slack_us: how long
    after its end a fault may still cause a declaration.
    """
    fault_times: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for row in history.rows_of("fault"):
        for member in row["members"]:
            fault_times[member].append((row["at_us"], row["until_us"] + slack_us))
    return [
        f"{member} by {observer}"
        for at_us, observer, member in deaths
        if not any(
            began_us <= at_us <= explains_until_us
            for began_us, explains_until_us in fault_times[member] + fault_times[observer]
        )
    ]
