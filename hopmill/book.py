"""The text of a policy's version: all values in force, and the changes that led there, the newest last."""

from __future__ import annotations

from typing import Any

import msgspec

from hopmill.overlay import ValuesByPath, merged

FORMAT = 1
MAX_BYTES = 40_000  # of the encoded history: the oldest changes are dropped first, the values are not
MAX_TEXT_CHARACTERS = 200  # of a reason or of a name; the rest is cut off


class UnreadableHistoryError(ValueError):
    """The text is none that this version of the program reads."""


class HistoryTooLongError(ValueError):
    """The values alone are more than a text may hold."""


class AppliedChange(msgspec.Struct, frozen=True):
    """A change that came into force. at_s: wall clock of the courier that was asked."""

    id: str
    version: int  # the policy version that the change made
    at_s: float  # wall clock of the courier that received the proposal
    by: str  # the operator
    reason: str
    # Path, value before, value after; None stands for the value in each courier's own file.
    changes: list[tuple[str, Any, Any]]


class PolicyHistory(msgspec.Struct, frozen=True):
    format: int = FORMAT
    version: int = 0
    values: ValuesByPath = {}
    entries: list[AppliedChange] = []

    def with_change(
        self, change_id: str, at_s: float, by: str, reason: str, patch: ValuesByPath, unset: tuple[str, ...]
    ) -> PolicyHistory:
        """What is in force after this change. HistoryTooLongError."""
        values = merged(self.values, patch, unset)
        changes = [
            (path, self.values.get(path), values.get(path))
            for path in sorted({*self.values, *values})
            if self.values.get(path) != values.get(path)
        ]
        entry = AppliedChange(
            change_id, self.version + 1, at_s, by[:MAX_TEXT_CHARACTERS], reason[:MAX_TEXT_CHARACTERS], changes
        )
        history = PolicyHistory(FORMAT, self.version + 1, values, [*self.entries, entry])
        while len(history.encode()) > MAX_BYTES:
            if not history.entries:
                raise HistoryTooLongError(f"the policy's values would take over {MAX_BYTES} bytes")
            history = msgspec.structs.replace(history, entries=history.entries[1:])
        return history

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self)

    def values_at(self, version: int) -> ValuesByPath:
        """The values that were in force at a version. KeyError: that is no longer known."""
        if version == 0 and self.version == len(self.entries):
            pass  # no change has been dropped, so version 0 can be restored
        elif not any(e.version == version or e.version == version + 1 for e in self.entries):
            raise KeyError(version)
        values = dict(self.values)
        for entry in reversed(self.entries):
            if entry.version > version:
                for path, before, _ in entry.changes:
                    values.pop(path, None)
                    if before is not None:
                        values[path] = before
        return values

    def patch_to(self, version: int) -> tuple[ValuesByPath, tuple[str, ...]]:
        """The change that puts back what was in force at a version. KeyError."""
        target = self.values_at(version)
        return (
            {p: v for p, v in target.items() if self.values.get(p) != v},
            tuple(p for p in self.values if p not in target),
        )


def decode(text: bytes) -> PolicyHistory:
    """UnreadableHistoryError."""
    try:
        history = msgspec.msgpack.decode(text, type=PolicyHistory)
    except msgspec.DecodeError as error:
        raise UnreadableHistoryError(str(error)) from None
    if history.format != FORMAT:
        raise UnreadableHistoryError(f"policy history format {history.format} is not supported")
    return history
