"""Records the events and actions of one courier, and replays them with any build."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from hopmill.lab.dialect import Dialect
from hopmill.lab.scenario import Scenario
from hopmill.lab.simulation import Simulation


def _encode_object(value: Any) -> list[Any]:
    """[type, fields]. Enum values are stored by name, since names are kept between revisions."""
    fields = {name: getattr(value, name) for name in getattr(value, "__dataclass_fields__", ())}
    return [type(value).__name__, {k: _encode_value(v) for k, v in fields.items()}]


def _encode_value(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return {"enum": type(value).__name__, "name": value.name}
    if hasattr(value, "__dataclass_fields__"):
        return {"type": _encode_object(value)}
    return [_encode_value(v) for v in value] if isinstance(value, (tuple, list)) else value


def _decode_value(dialect: Dialect, value: Any) -> Any:
    if isinstance(value, dict) and "enum" in value:
        return getattr(dialect.interface, value["enum"])[value["name"]]
    if isinstance(value, dict) and "type" in value:
        return _decode_object(dialect, value["type"])
    return tuple(_decode_value(dialect, v) for v in value) if isinstance(value, list) else value


def _decode_object(dialect: Dialect, row: list[Any]) -> Any:
    return dialect.make(row[0], **{k: _decode_value(dialect, v) for k, v in row[1].items()})


def record(scenario: Scenario, seed: int, courier: int, path: Path) -> int:
    """Runs the scenario and writes that courier's turns, up to its first kill. Returns their number."""
    simulation = Simulation(scenario, seed)
    target = simulation.couriers[courier]
    turns = 0
    with path.open("wb") as file:
        header = {"settings": _encode_object(target.settings), "seed": simulation.module_seed(courier, 1)}
        file.write(msgspec.json.encode(header) + b"\n")

        def write(now: int, retry_after_requests: int, events: list[Any], actions: list[Any]) -> None:
            nonlocal turns
            if target.generation == 1:
                turns += 1
                row = {
                    "now": now,
                    "asked": retry_after_requests,
                    "events": [_encode_object(e) for e in events],
                    "actions": [_encode_object(a) for a in actions],
                }
                file.write(msgspec.json.encode(row) + b"\n")

        target.recorder = write
        simulation.play()
    return turns


def replay(path: Path) -> Iterator[tuple[int, list[Any], list[Any]]]:
    """Yields (time, recorded actions, this build's actions) of each turn."""
    dialect = Dialect()
    with path.open() as file:
        header = json.loads(next(file))
        courier = dialect.courier(_decode_object(dialect, header["settings"]), header["seed"])
        for line in file:
            row = json.loads(line)
            for _ in range(row["asked"]):
                courier.come_back_us()
            events = [e for e in (_decode_object(dialect, e) for e in row["events"]) if e is not None]
            actions = json.loads(
                msgspec.json.encode([_encode_object(a) for a in courier.handle(row["now"], events)])
            )
            yield row["now"], row["actions"], actions


def first_difference(path: Path) -> str | None:
    """Describes the first action that differs, in one line; None if all are the same."""
    for now, recorded, replayed in replay(path):
        for index in range(max(len(recorded), len(replayed))):
            old_action, new_action = (
                rows[index] if index < len(rows) else None for rows in (recorded, replayed)
            )
            if old_action != new_action:
                return (
                    f"at {now / 1e6:.4f} s, action {index}: recorded {json.dumps(old_action)}, "
                    f"now {json.dumps(new_action)}"
                )
    return None
