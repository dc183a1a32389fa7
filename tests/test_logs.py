"""Logs: the rate is bounded, writing never blocks, and docs/logs.md lists every event and field."""

import ast
import json
import os
import re
import time
from pathlib import Path

import pytest

from hopmill import logs

ROOT = Path(__file__).parent.parent


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for part in logs._loggers.values():  # no output, as before `configure`
        for method in logs.METHODS:
            setattr(part, method, logs._discard)
        part.debug_enabled = False
    logs._configuration.clear()
    os.close(reader)
    os.close(writer)


def lines(reader):
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_both_forms_carry_the_same_fields(pipe):
    reader, writer = pipe
    log = logs.part("calls")
    for form in logs.FORMATS:
        logs.configure(form, stream=writer)
        log.info("attempt.ended", message="m 1", attempt=0, error=ValueError("a\nb"), none=None)
    (line, text), error = lines(reader), r"ValueError('a\nb')"
    at, _, rest = line.partition(" ")
    assert rest == f'info    calls     attempt.ended message="m 1" attempt=0 error={error}'
    assert at.endswith("Z")
    assert list(json.loads(text).items())[1:] == [
        ("level", "info"),
        ("part", "calls"),
        ("event", "attempt.ended"),
        ("message", "m 1"),
        ("attempt", 0),
        ("error", error),
    ]


def test_levels_hold_by_part_and_change_for_loggers_that_exist(pipe):
    reader, writer = pipe
    calls, door = logs.part("calls"), logs.part("door")
    logs.configure(level="warning", levels={"door": "debug"}, stream=writer)
    assert (calls.debug_enabled, door.debug_enabled) == (False, True)
    for log in (calls, door):
        log.debug("x")
        log.error("y")
    assert [line.split()[2:4] for line in lines(reader)] == [["calls", "y"], ["door", "x"], ["door", "y"]]


def test_a_flood_is_bounded_and_says_how_much_it_dropped(pipe):
    reader, writer = pipe
    logs.configure(lines_per_s=5, stream=writer)
    log = logs.part("calls")
    while time.monotonic() % 1 > 0.5:  # all within one second of the clock
        time.sleep(0.01)
    for n in range(100):
        log.info("x", count=n)
    assert len(lines(reader)) == 5
    time.sleep(1.0)
    log.info("y")
    dropped, last = lines(reader)
    assert "log.dropped count=95" in dropped and " y" in last


def test_a_reader_that_does_not_read_stalls_nobody(pipe):
    reader, writer = pipe
    logs.configure(lines_per_s=10**6, stream=writer)
    log = logs.part("calls")
    began = time.monotonic()
    for _ in range(3000):  # far more than a pipe holds
        log.info("x", text="y" * 8000)
    assert time.monotonic() - began < 5
    got = lines(reader)
    assert got and all(len(line) < logs.MAX_LINE_BYTES for line in got)


def events_in_code():
    """(part, event) and the field names of every line that the program can write."""
    for path in (ROOT / "hopmill").rglob("*.py"):
        tree = ast.parse(path.read_text())
        parts = {}
        for node in ast.walk(tree):
            if isinstance(node, ast.Assign) and "logs.part(" in ast.unparse(node.value):
                names = [ast.unparse(n) for n in getattr(node.targets[0], "elts", node.targets)]
                part_names = re.findall(r"part\('(\w+)'\)", ast.unparse(node.value))
                parts |= dict(zip(names, part_names, strict=True))
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                owner = ast.unparse(node.func.value)
                is_literal = isinstance(node.args[0], ast.Constant)
                if owner in parts and node.func.attr in logs.METHODS and is_literal:
                    yield parts[owner], node.args[0].value, {k.arg for k in node.keywords} - {"exc_info"}


def test_every_event_and_field_is_in_the_page():
    events, _, fields = (ROOT / "docs" / "logs.md").read_text().partition("## Fields")
    listed = {tuple(row) for row in re.findall(r"^\| (\w+) \| ([\w.]+) \|", events, re.M)}
    listed -= {("part", "event")}
    names = {n for row in re.findall(r"^\| ([\w, ]+) \|", fields, re.M) for n in row.split(", ")} - {"name"}
    found = list(events_in_code())
    elsewhere = {
        ("courier", "log.dropped"),
        ("asyncio", "library"),
        ("config", "config.changed"),
        ("config", "config.needs_restart"),
    }  # part or event is computed there
    assert len(found) > 30 and {(part, event) for part, event, _ in found} | elsewhere == listed
    assert {n for _, _, f in found for n in f} - {"name"} <= names
    assert {part for part, _ in listed} <= set(logs.PARTS)
