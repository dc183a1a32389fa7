"""The history of the fleet's policy: all values of a version, and the changes that led to it, oldest first.

Its MessagePack encoding is the text of a policy version that the members of a fleet exchange and store.
"""

from __future__ import annotations

from typing import Any

import msgspec

from hopmill.overlay import ValuesByPath, merge

FORMAT = 1
MAX_BYTES = 40_000  # of the encoded history: the oldest changes are dropped first, the values are not
MAX_TEXT_CHARACTERS = 200  # of a reason or of a name; the rest is cut off


class UnreadableHistoryError(ValueError):
    """The text is not a policy history, or has a format that this program does not read."""


class HistoryTooLongError(ValueError):
    """The policy's values alone take more than MAX_BYTES."""


class AppliedChange(msgspec.Struct, frozen=True):
    """A change that came into force."""

    id: str
    version: int  # the policy version that the change made
    at_s: float  # wall clock of the courier that received the proposal
    by: str  # the operator
    reason: str
    # Path, value before, value after; None stands for the value in each courier's own file.
    changes: list[tuple[str, Any, Any]]


class PolicyHistory(msgspec.Struct, frozen=True):
    """The values of a policy version, and the latest changes that led to it."""

    format: int = FORMAT
    version: int = 0
    values: ValuesByPath = {}
    entries: list[AppliedChange] = []

    def with_change(
        self, change_id: str, at_s: float, by: str, reason: str, patch: ValuesByPath, unset: tuple[str, ...]
    ) -> PolicyHistory:
        """Returns the history of the next version; the oldest changes are dropped to fit MAX_BYTES.

        Raises HistoryTooLongError.
        """
        values = merge(self.values, patch, unset)
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
        """Returns the text of this version, which `decode` reads."""
        return msgspec.msgpack.encode(self)

    def values_at(self, version: int) -> ValuesByPath:
        """Returns the values of an earlier version.

        Raises KeyError if the changes since that version are no longer known.
        """
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
        """Returns the patch, as values and unset paths, that restores an earlier version. Raises KeyError."""
        target = self.values_at(version)
        return (
            {p: v for p, v in target.items() if self.values.get(p) != v},
            tuple(p for p in self.values if p not in target),
        )


def decode(text: bytes) -> PolicyHistory:
    """Reads the text of a version. Raises UnreadableHistoryError."""
    try:
        history = msgspec.msgpack.decode(text, type=PolicyHistory)
    except msgspec.DecodeError as error:
        raise UnreadableHistoryError(str(error)) from None
    if history.format != FORMAT:
        raise UnreadableHistoryError(f"policy history format {history.format} is not supported")
    return history
