"""The configuration: errors name the field, and TOML and the platform's JSON give the same settings."""

import re
import tomllib
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import settings

from hopmill import document as doc
from hopmill import wire

EXAMPLE = Path(__file__).parent.parent / "deploy" / "courier.example.toml"
TEXT = EXAMPLE.read_text()


def read(tmp_path, text):
    path = tmp_path / "c.toml"
    path.write_text(text)
    return doc.read_toml(path)


def test_the_example_is_read_and_names_every_field(tmp_path):
    document = read(tmp_path, TEXT)
    assert document.partners[0].endpoints[0].zone == "hall-a" and document.log.levels == {"messages": "info"}
    assert document.known_endpoints()["targets"][0]["pod_group"] == 7
    raw = tomllib.loads(TEXT)

    def missing(struct, given, path):
        """Fields of the struct that no table of the example at that place names."""
        for field in msgspec.structs.fields(struct):
            rows = [row[field.name] for row in given if field.name in row]
            if not rows:
                yield f"{path}{field.name}"
            for inner in (field.type, *getattr(field.type, "__args__", ())):
                if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
                    flat = [r for row in rows for r in (row if isinstance(row, list) else [row])]
                    yield from missing(inner, flat, f"{path}{field.name}.")

    assert not list(missing(doc.Document, [raw], ""))


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("[[partners]]", "[[partners", "is not TOML"),
        (TEXT[len(TEXT) // 2 :], "", "is not TOML|lacks|must be"),
        ("idle_ms = 10000.0", "idle_s = 10.0", r"^calls\.idle_s: no such field; there is idle_ms$"),
        ("idle_ms = 10000.0", 'idle_ms = "10 s"', r"^calls\.idle_ms: Expected `float`"),
        ("slots = 32", "slots = 0", r"^calls\.slots: Expected `int` >= 1$"),
        ("format = 1\n", "", r"^format: must be 1, not None$"),
        ("format = 1\n", "format = 2\n", r"^format: must be 1, not 2$"),
        ('effect = "unsafe"', 'effect = "maybe"', r"^classes\[2\]\.effect: Invalid enum value 'maybe'$"),
        ('messages = "info"', 'mesages = "info"', r"^log\.levels\.mesages: no such part; there are "),
        ("aim_ms = 1000.0  ", "aim_ms = 9000.0  ", r"^classes\[0\]\.aim_ms: is over deadline_ms$"),
        ('kind = "plain"', 'kind = "plan"', r"^partners\[0\]\.kind: no such kind: 'plan'$"),
        ("me = 0", "me = 1", r"^settings: me: must be from 0 to under couriers"),
    ],
)
def test_what_is_wrong_is_named_in_one_line(tmp_path, old, new, expected):
    assert old in TEXT
    with pytest.raises(doc.ConfigError) as caught:
        read(tmp_path, TEXT.replace(old, new, 1))
    assert re.search(expected, str(caught.value)) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ("[[partners]]\nnumber = 7\n", r"^partners\[1\]: 7 is there twice$"),
        (
            '[[partners]]\nnumber = 8\n[[partners.endpoints]]\nuid = "s-5be2a07c"\naddress = "10.0.0.1:1"\n',
            r"^partners\[1\]\.endpoints\[0\]\.uid: 's-5be2a07c' is there twice$",
        ),
        (
            '[[classes]]\nname = "news"\naim_ms = 1\ndeadline_ms = 2\n',
            r"^classes\[3\]: 'news' is there twice$",
        ),
    ],
)
def test_what_is_there_twice_is_named(tmp_path, more, expected):
    with pytest.raises(doc.ConfigError, match=expected):
        read(tmp_path, TEXT + more)


@given(
    st.fixed_dictionaries(
        {},
        optional={
            "group": st.integers(1, 500),
            "tick": st.integers(1, 10**7),
            "calls": st.integers(1, 10**5),
            "idle": st.integers(0, 10**10),
            "cold": st.floats(0.01, 1),
            "late": st.booleans(),
            "fees": st.lists(st.floats(0, 1), min_size=2, max_size=2).filter(any),
        },
    )
)
def test_the_platforms_figures_are_the_same_through_the_structs(drawn):
    raw = settings(
        familyInfo__maxCalls=drawn.get("calls", 12),
        contract__coldShare=drawn.get("cold", 0.15),
        policyLimits__connIdleUs=drawn.get("idle", 1000),
    )
    raw |= {"groupSize": drawn.get("group", 2), "stepUs": drawn.get("tick", 5000), "localities": ["a", "b"]}
    raw["familyInfo"] |= {"carriage": drawn.get("fees", []), "late": "halves" if drawn.get("late") else ""}
    document, settings_read = doc.from_platform({"settings": raw, "name": "n1"})
    assert settings_read == wire.read_settings(msgspec.json.encode(raw))
    assert document.settings() == settings_read and [z.name for z in document.zones] == ["a", "b"]


def test_changes_are_told_by_their_paths(tmp_path):
    old = read(tmp_path, TEXT)
    new = read(tmp_path, TEXT.replace("slots = 32", "slots = 40").replace('name = "bundles"', 'name = "b"'))
    assert doc.changes(old, new) == [("calls.slots", 32, 40), ("kinds[1].name", "bundles", "b")]
    assert not doc.changes(old, old)
