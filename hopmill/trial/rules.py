"""What is promised, checked against a history. Nothing here knows how the couriers keep it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from hopmill.standin.ledger import Ledger
from hopmill.trial.history import History

Row = dict[str, Any]


def violations(history: History, ledger: Ledger) -> list[str]:
    found = [*messages(ledger), *register(history), *leases(history), *views(history), *lives(history)]
    return found[:20]


def messages(ledger: Ledger) -> Iterator[str]:
    """One final answer each, and no unsafe effect twice."""
    for ident, e in ledger.entries.items():
        if e.answer == "taken" and not e.delivered_at and not e.notice:
            yield f"message {ident} was taken on and has no end"
        if e.unsafe and e.effects > 1:
            yield f"message {ident} took effect {e.effects} times"


def register(history: History) -> Iterator[str]:
    """One document a version; whoever begins after another was told sees what that one saw, or later."""
    contents: dict[int, Row] = {}
    told: list[tuple[int, int, str]] = []  # ended, version, ticket
    for row in sorted(history.of("change"), key=lambda r: r["at_us"]):
        if row["state"] not in ("done", "left"):
            continue
        first = contents.setdefault(row["version"], row)
        if (first["words"], first["voters"]) != (row["words"], row["voters"]):
            yield f"version {row['version']} is {first['words']} and {row['words']}"
        if row["state"] == "done" and row["made"] == row["version"] and row["words"].get("x") != row["text"]:
            yield f"{row['ticket']} put {row['text']} and was told version {row['version']} without it"
        told.append((row["at_us"], row["version"], row["ticket"]))
    for row in history.of("change"):
        if row["state"] in ("done", "left"):
            for at, version, ticket in told:
                if at < row["began_us"] and version > row["version"]:
                    yield f"{row['ticket']} saw version {row['version']} after {ticket} was told {version}"
                    break
    done: dict[int, str] = {}
    for row in history.of("change"):
        if row["state"] == "done" and done.setdefault(row["made"], row["ticket"]) != row["ticket"]:
            yield f"version {row['made']} is the change of {done[row['made']]} and of {row['ticket']}"


def leases(history: History) -> Iterator[str]:
    """By the time at which each courier looked whether it may act: a later act never has a lower number, and
    one number is never two couriers'."""
    fence, owner = 0, ""
    for row in sorted(history.of("act"), key=lambda r: r["looked_us"]):
        if row["fence"] < fence or row["fence"] == fence and row["owner"] != owner:
            yield f"{row['owner']} acts under {row['fence']} after {owner} did under {fence}"
        fence, owner = row["fence"], row["owner"]


def views(history: History) -> Iterator[str]:
    """What a courier knows of the document never grows older within its life."""
    last: dict[tuple[str, int], int] = {}
    for row in history.of("view"):
        life = row["who"], row["life"]
        if row["version"] < last.get(life, 0):
            yield f"{row['who']} went from version {last[life]} back to {row['version']}"
        last[life] = row["version"]


def lives(history: History) -> Iterator[str]:
    """No incarnation is used by two lives of a member."""
    used: dict[tuple[str, int], int] = {}
    for row in history.of("view"):
        key = row["who"], row["incarnation"]
        if used.setdefault(key, row["life"]) != row["life"]:
            yield f"{row['who']} used incarnation {row['incarnation']} in two lives"


def false_deaths(history: History, deaths: list[tuple[int, str, str]], slack_us: int) -> list[str]:
    """Members taken for dead that had run without any fault to them for as long as that takes."""
    troubled: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for row in history.of("fault"):
        for who in row["members"]:
            troubled[who].append((row["at_us"], row["until_us"] + slack_us))
    return [
        f"{who} by {where}"
        for at, where, who in deaths
        if not any(a <= at <= b for a, b in troubled[who] + troubled[where])
    ]
