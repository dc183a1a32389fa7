"""Names that leave the process: on a wire, on disk, in a setting, metric, log line, command or answer.

Another program, an older build or an operator's tool reads them, so a rename in the program must keep them.
`outer_names.json` holds those of revision a98808b. A name that a feature adds is added there by hand.
"""

from __future__ import annotations

import ast
import dataclasses
import enum
import importlib
import json
import pkgutil
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

import hopmill
from hopmill import interface

ROOT = Path(__file__).parent.parent
RECORDED = Path(__file__).with_name("outer_names.json")
LOG_METHODS = ("debug", "info", "warning", "error", "exception")
ENVIRONMENT = re.compile(r"LB_[A-Z_]+")
METRIC = re.compile(r"hopmill_[a-z_]+")
OPERATOR_API_PATH = re.compile(r"/[a-z]+(/.*)?")
LOG_EVENT = re.compile(r"[a-z_]+\.[a-z_]+")


def source_trees() -> list[ast.Module]:
    return [ast.parse(path.read_text()) for path in sorted((ROOT / "hopmill").rglob("*.py"))]


def constant(node: ast.AST | None) -> str | None:
    return node.value if isinstance(node, ast.Constant) and isinstance(node.value, str) else None


def keys(node: ast.AST) -> list[str | None]:
    """The string keys of mappings that a node writes or reads."""
    if isinstance(node, ast.Dict):
        return [constant(key) for key in node.keys]
    if isinstance(node, ast.Subscript):
        return [constant(node.slice)]
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "get":
        return [constant(argument) for argument in node.args[:1]]
    if isinstance(node, ast.Compare) and any(isinstance(op, ast.In | ast.NotIn) for op in node.ops):
        return [constant(node.left)]
    return []


def log_fields(node: ast.AST) -> list[str]:
    """`event field` for each field of a log line."""
    if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args):
        return []
    event = constant(node.args[0])
    if node.func.attr not in LOG_METHODS or event is None or not LOG_EVENT.fullmatch(event):
        return []
    return [event, *(f"{event} {keyword.arg}" for keyword in node.keywords if keyword.arg)]


def names_in_sources() -> dict[str, set[str]]:
    groups = ("keys", "log_events", "environment", "metrics", "paths")
    found: dict[str, set[str]] = {group: set() for group in groups}
    for tree in source_trees():
        for node in ast.walk(tree):
            found["keys"].update(key for key in keys(node) if key and key.isidentifier())
            found["log_events"].update(log_fields(node))
            text = constant(node)
            if text is None:
                continue
            found["environment"].update(ENVIRONMENT.findall(text))
            if METRIC.fullmatch(text):
                found["metrics"].add(text)
            if OPERATOR_API_PATH.fullmatch(text):
                found["paths"].add(text)
    return found


def structs() -> list[type[msgspec.Struct]]:
    for module in pkgutil.walk_packages(hopmill.__path__, "hopmill."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pending, found = [msgspec.Struct], []
    while pending:
        for kind in pending.pop().__subclasses__():
            pending.append(kind)
            if kind.__module__.startswith("hopmill."):
                found.append(kind)
    return found


def struct_shape(kind: type[msgspec.Struct]) -> str:
    """What is encoded of a struct: names, or for an array the tag and the number of fields."""
    config = kind.__struct_config__
    if config.array_like:
        return f"array {config.tag} of {len(kind.__struct_fields__)}"
    return f"map {config.tag} " + " ".join(kind.__struct_encode_fields__)


def interface_types() -> set[str]:
    """Each type that the module and its hosts exchange, with its fields or values."""
    found = set()
    for name, kind in vars(interface).items():
        if dataclasses.is_dataclass(kind):
            found.add(f"{name} " + " ".join(field.name for field in dataclasses.fields(kind)))
        elif isinstance(kind, type) and issubclass(kind, enum.Enum) and kind is not enum.Enum:
            found.add(f"{name} " + " ".join(f"{value.name}={value.value}" for value in kind))
    return found


def carried_names() -> set[str]:
    """What an upgrade hands over of an endpoint, by the names that the next process reads."""
    settings = interface.Settings(classes=(interface.MessageClass("c", 1, 1),), slots=1, max_held=1)
    courier = hopmill.Courier(settings, seed=1)
    entry = interface.ListEntry(1, 1, interface.EndpointState.READY)
    courier.handle(0, [interface.EndpointsListed(interface.ListForm.CACHED, (entry,))])
    ((_, figures),) = courier.carry()
    return set(figures)


def commands() -> set[str]:
    """Each command with its arguments and options."""
    import typer
    from hopmill.cli import app as cli

    cli._add_lab()
    cli._add_fleet()
    found = set()

    def walk(command: Any, path: str) -> None:
        for parameter in command.params:
            words = parameter.opts if parameter.param_type_name == "option" else [f"<{parameter.name}>"]
            found.add(f"{path} " + " ".join(words))
        for name, inner in getattr(command, "commands", {}).items():
            found.add(f"{path} {name}")
            walk(inner, f"{path} {name}")

    walk(typer.main.get_command(cli.app), "hopmill")
    return found


def schema_names(schema: Any, found: set[str] | None = None) -> set[str]:
    """The keys of the configuration, with the names that its JSON schema gives to their types."""
    found = set() if found is None else found
    if isinstance(schema, dict):
        found.update(schema.get("properties", {}))
        found.update(f"$defs {name}" for name in schema.get("$defs", {}))
        for inner in schema.values():
            schema_names(inner, found)
    elif isinstance(schema, list):
        for inner in schema:
            schema_names(inner, found)
    return found


def current_names() -> dict[str, list[str]]:
    from hopmill.document import Document

    found = names_in_sources()
    found["structs"] = {struct_shape(kind) for kind in structs()}
    found["interface"] = interface_types()
    found["carried"] = carried_names()
    found["commands"] = commands()
    found["schema"] = schema_names(msgspec.json.schema(Document))
    return {group: sorted(names) for group, names in sorted(found.items())}


GROUPS = sorted(json.loads(RECORDED.read_text())) if RECORDED.exists() else []


@pytest.fixture(scope="module")
def current() -> dict[str, list[str]]:
    """Read in a separate process, since that imports every module, which could affect other tests."""
    script = "import json, test_outer_names as t; print(json.dumps(t.current_names()))"
    paths = os.pathsep.join((str(ROOT), str(ROOT / "tests")))
    done = subprocess.run(
        [sys.executable, "-c", script],
        env={**os.environ, "PYTHONPATH": paths},
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    return json.loads(done.stdout)


@pytest.mark.parametrize("group", GROUPS)
def test_names_that_leave_the_process_are_kept(group, current):
    recorded = json.loads(RECORDED.read_text())[group]
    assert sorted(set(recorded) - set(current[group])) == []
