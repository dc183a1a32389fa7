"""The operators' policy: overrides of those fields of the configuration that can change while a courier runs.

Overrides are stored as {path: value}; a row of a list is identified by its name: `tenants[gold].quota_per_s`.
A patch is TOML with the tables of the configuration; `unset` lists paths that return to each courier's own
file.
The package hopmill.policy is something else: the decision core, which works with the resulting settings.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from hopmill import document as doc
from hopmill.document import Document
from hopmill.fields import ConfigError

ValuesByPath = dict[str, Any]


class RowRule(NamedTuple):
    """What overrides may change in the rows of a list."""

    key: str  # the field that identifies a row
    fields: tuple[str, ...]  # the fields that overrides may change
    may_add: bool  # whether overrides may add rows


# Table: its fields that overrides may change; "" is the top level of the configuration file.
CHANGEABLE_FIELDS = {
    "retries": ("attempts", "longest_told_wait_ms"),
    "worth": ("over_share", "late", "refused_price"),
    "returning": ("cold_share", "cold_ms", "fall_multiple", "fall_ms"),
    "left_out": ("endpoints", "zones"),
    "": ("held",),
}
CHANGEABLE_ROWS = {
    "classes": RowRule("name", ("worth", "late_share"), False),
    "tenants": RowRule("name", ("share", "quota_per_s"), False),
    "zones": RowRule("name", ("fee",), False),
    "ceilings": RowRule("partner", ("window", "rate_per_s"), True),
}
UNSET = "unset"
ROW_PATH = re.compile(r"^(\w+)\[([^\]]+)\]\.(\w+)$")  # list[row].field
MAX_FIELDS = 2000  # of one patch


def read_patch(raw: Any) -> tuple[ValuesByPath, tuple[str, ...]]:
    """Return the overrides that a patch sets and the paths that it unsets.

    Raises ConfigError, whose text is one line that names the first wrong path.
    """
    if not isinstance(raw, dict):
        raise ConfigError("the patch: must be a table")
    unset = raw.get(UNSET, [])
    if not isinstance(unset, list) or not all(isinstance(path, str) for path in unset):
        raise ConfigError(f"{UNSET}: must be a list of paths")
    overrides: ValuesByPath = {}
    for name, entry in raw.items():
        if name == UNSET:
            continue
        if name in CHANGEABLE_ROWS:
            overrides |= _read_rows(name, entry)
        elif isinstance(entry, dict) and entry:
            for field, value in entry.items():
                overrides[_require_changeable(f"{name}.{field}")] = value
        else:
            overrides[_require_changeable(name)] = entry
    for path in unset:
        _require_changeable(path)
    if not overrides and not unset:
        raise ConfigError("the patch: changes nothing")
    if len(overrides) + len(unset) > MAX_FIELDS:
        raise ConfigError(f"the patch: has over {MAX_FIELDS} fields")
    return overrides, tuple(unset)


def _read_rows(name: str, rows: Any) -> ValuesByPath:
    key = CHANGEABLE_ROWS[name].key
    overrides: ValuesByPath = {}
    if not isinstance(rows, list) or not all(isinstance(row, dict) and key in row for row in rows):
        raise ConfigError(f"{name}: must be rows with a {key} each")
    for row in rows:
        for field, value in row.items():
            if field != key:
                overrides[_require_changeable(f"{name}[{row[key]}].{field}")] = value
    return overrides


def _require_changeable(path: str) -> str:
    """Return the path. Raises ConfigError if the field is unknown or can't change while a courier runs."""
    if match := ROW_PATH.match(path):
        table, row, field = match.groups()
        if table in CHANGEABLE_ROWS and field in CHANGEABLE_ROWS[table].fields:
            return path
        is_known = table in CHANGEABLE_ROWS and field in _fields_of(table)
    else:
        table, _, field = path.rpartition(".")
        if field in CHANGEABLE_FIELDS.get(table, ()):
            return path
        is_known = path in doc.flatten(_minimal_document()) or field in _fields_of(table)
    raise ConfigError(f"{path}: " + ("can't change while couriers run" if is_known else "no such field"))


def _fields_of(table: str) -> set[str]:
    structs = {
        "classes": doc.MessageClass,
        "tenants": doc.Tenant,
        "zones": doc.Zone,
        "ceilings": doc.Ceiling,
        "kinds": doc.Kind,
        "": Document,
    }
    struct = structs.get(table)
    return {f.name for f in msgspec.structs.fields(struct)} if struct else set()


def _minimal_document() -> Document:
    return Document(classes=(doc.MessageClass(name="any", aim_ms=1.0, deadline_ms=1.0),))


def merge(overrides: ValuesByPath, patch: ValuesByPath, unset: tuple[str, ...]) -> ValuesByPath:
    """Return the overrides after a patch; `unset` wins over `patch`."""
    return {path: value for path, value in (overrides | patch).items() if path not in unset}


def apply(document: Document, overrides: ValuesByPath) -> Document:
    """Return the document with the overrides in it.

    Raises ConfigError, whose text is one line that names a value that does not fit this document.
    """
    tree = msgspec.to_builtins(document)
    for path, value in overrides.items():
        _require_changeable(path)
        match = ROW_PATH.match(path)
        if match is None:
            table, _, field = path.rpartition(".")
            (tree[table] if table else tree)[field] = value
            continue
        table, name, field = match.groups()
        rule = CHANGEABLE_ROWS[table]
        row = next((r for r in tree[table] if str(r[rule.key]) == name), None)
        if row is None:
            if not rule.may_add:
                raise ConfigError(f"{path}: this courier has no such row")
            row = {rule.key: int(name) if name.isdigit() else name}
            tree[table] = [*tree[table], row]
        row[field] = value
    changed = doc.convert(tree)
    for problem in doc.problems(changed):  # the first one is reported
        raise ConfigError(problem)
    return changed


def overridden_paths(document: Document, overrides: ValuesByPath) -> Iterator[str]:
    """Yield the paths whose value in a courier's own file is overridden by a different one.

    A field that has its default is treated as not set in the file.
    """
    own, defaults = dict(_changeable_values(document)), dict(_changeable_values(_minimal_document()))
    for path, value in overrides.items():
        if path in own and own[path] != value and own[path] != defaults.get(path):
            yield path


def _changeable_values(document: Document) -> Iterator[tuple[str, Any]]:
    tree = msgspec.to_builtins(document)
    for table, fields in CHANGEABLE_FIELDS.items():
        for field in fields:
            yield f"{table}.{field}" if table else field, (tree[table] if table else tree)[field]
    for table, rule in CHANGEABLE_ROWS.items():
        for row in tree[table]:
            for field in rule.fields:
                yield f"{table}[{row[rule.key]}].{field}", row[field]
