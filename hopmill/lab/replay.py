"""Events and actions of one courier, recorded, and played again through any build."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from hopmill.lab.dialect import Dialect
from hopmill.lab.scenario import Scenario
from hopmill.lab.world import Simulation


def _plain(value: Any) -> list[Any]:
    """[type, fields]; enums by their names, which hold over revisions."""
    fields = {name: getattr(value, name) for name in getattr(value, "__dataclass_fields__", ())}
    return [type(value).__name__, {k: _field(v) for k, v in fields.items()}]


def _field(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return {"enum": type(value).__name__, "name": value.name}
    if hasattr(value, "__dataclass_fields__"):
        return {"type": _plain(value)}
    return [_field(v) for v in value] if isinstance(value, (tuple, list)) else value


def _back(dialect: Dialect, value: Any) -> Any:
    if isinstance(value, dict) and "enum" in value:
        return getattr(dialect.i, value["enum"])[value["name"]]
    if isinstance(value, dict) and "type" in value:
        return _made(dialect, value["type"])
    return tuple(_back(dialect, v) for v in value) if isinstance(value, list) else value


def _made(dialect: Dialect, row: list[Any]) -> Any:
    return dialect.make(row[0], **{k: _back(dialect, v) for k, v in row[1].items()})


def record(scenario: Scenario, seed: int, courier: int, path: Path) -> int:
    """Plays the scenario and writes that courier's turns; returns how many. One life a file: the first."""
    simulation = Simulation(scenario, seed)
    target = simulation.couriers[courier]
    turns = 0
    with path.open("wb") as file:
        head = {"settings": _plain(target.settings), "seed": simulation.module_seed(courier, 1)}
        file.write(msgspec.json.encode(head) + b"\n")

        def write(now: int, asked: int, events: list[Any], actions: list[Any]) -> None:
            nonlocal turns
            if target.generation == 1:
                turns += 1
                row = {
                    "now": now,
                    "asked": asked,
                    "events": [_plain(e) for e in events],
                    "actions": [_plain(a) for a in actions],
                }
                file.write(msgspec.json.encode(row) + b"\n")

        target.recorder = write
        simulation.play()
    return turns


def replay(path: Path) -> Iterator[tuple[int, list[Any], list[Any]]]:
    """(time, recorded actions, this build's actions) of each turn."""
    dialect = Dialect()
    with path.open() as file:
        head = json.loads(next(file))
        courier = dialect.courier(_made(dialect, head["settings"]), head["seed"])
        for line in file:
            row = json.loads(line)
            for _ in range(row["asked"]):
                courier.come_back_us()
            events = [e for e in (_made(dialect, e) for e in row["events"]) if e is not None]
            actions = json.loads(msgspec.json.encode([_plain(a) for a in courier.handle(row["now"], events)]))
            yield row["now"], row["actions"], actions


def first_difference(path: Path) -> str | None:
    """The first action that differs, in one line; None where all are the same."""
    for now, recorded, again in replay(path):
        for at in range(max(len(recorded), len(again))):
            a, b = (rows[at] if at < len(rows) else None for rows in (recorded, again))
            if a != b:
                return f"at {now / 1e6:.4f} s, action {at}: recorded {json.dumps(a)}, now {json.dumps(b)}"
    return None
