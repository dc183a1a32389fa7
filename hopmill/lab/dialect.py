"""The types of the module under test, which may be of another revision than the laboratory.

What that revision does not know is left out: an event is not sent, a field of an event or of the settings is
not given. `unknown` names it, and every result contains it.
"""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Callable
from types import ModuleType
from typing import Any

REQUIRED_TYPES = (
    "MessageArrived",
    "AttemptEnded",
    "EndpointsListed",
    "TimerDue",
    "Settings",
    "MessageClass",
    "Kind",
    "Tenant",
    "ListEntry",
    "ListForm",
    "EndpointState",
    "Effect",
    "Result",
    "Send",
    "Refuse",
    "Fail",
)


class DialectError(Exception):
    """The revision lacks types that every run needs."""


class Dialect:
    """Creates events and settings of the module under test."""

    def __init__(self) -> None:
        self.interface: ModuleType = importlib.import_module("hopmill.interface")
        self.unknown: set[str] = set()
        if missing := [name for name in REQUIRED_TYPES if not hasattr(self.interface, name)]:
            raise DialectError(f"this revision has no {', '.join(missing)}")
        self.courier: Callable[[Any, int], Any] = importlib.import_module("hopmill").Courier
        self._fields: dict[str, frozenset[str]] = {}

    def make(self, type_name: str, /, **values: Any) -> Any:
        """An object of that type with the fields that this revision knows; None if it lacks the type."""
        kind = getattr(self.interface, type_name, None)
        if kind is None:
            self.unknown.add(type_name)
            return None
        known = self._fields.get(type_name)
        if known is None:
            known = self._fields[type_name] = frozenset(f.name for f in dataclasses.fields(kind))
        if not known.issuperset(values):
            self.unknown.update(f"{type_name}.{field}" for field in values if field not in known)
            values = {field: value for field, value in values.items() if field in known}
        return kind(**values)
