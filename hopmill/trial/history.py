"""The history of a trial, as JSON lines: who, when (us since boot, the same in all processes), what."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from hopmill.standin.ledger import Submission, Ledger


def elapsed_us() -> int:
    """Time since boot, the same in all processes of the machine and not affected by the wall clock."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class History:
    """Rows in the order in which they were added; couriers' own records are appended at the end."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, who: str, what: str, **more: Any) -> None:
        """Adds a row at the present time. more: the fields of this kind of row."""
        self.rows.append({"at_us": elapsed_us(), "who": who, "what": what, **more})

    @staticmethod
    def now_us() -> int:
        """The time by the clock of the rows."""
        return elapsed_us()

    def rows_of(self, what: str) -> list[dict[str, Any]]:
        """The rows of one kind."""
        return [row for row in self.rows if row["what"] == what]

    def write(self, path: Path) -> None:
        """Writes one JSON object per line."""
        with path.open("w") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")


class RecordingLedger(Ledger):
    """A ledger that also records in the history what load, endpoints and discovery see."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self.history = history
        self.courier_names: dict[int, str] = {}  # by the port for clients
        # The courier that holds each message; only it delivers it.
        self.courier_by_message: dict[str, str] = {}

    def record_submission(self, message_id: str, entry: Submission) -> None:
        """The load sends a message."""
        super().record_submission(message_id, entry)
        self.history.add("load", "put", message=message_id, cls=entry.class_name)

    def record_answer(self, message_id: str, answer: str) -> None:
        """The load got an answer, or none in time."""
        super().record_answer(message_id, answer)
        self.history.add("load", "answer", message=message_id, answer=answer)

    def record_courier(self, message_id: str, port: int) -> None:
        """The load chose the courier that listens at this port."""
        self.courier_by_message[message_id] = self.courier_names.get(port, "")

    def record_call(self, endpoint: str, message_ids: list[str]) -> None:
        """A call with these messages reached an endpoint."""
        courier = self.courier_by_message.get(message_ids[0], "") if message_ids else ""
        self.history.add(endpoint, "call", courier=courier, messages=message_ids)

    def record_notice(self, notice: dict[str, str]) -> None:
        """Discovery got the notice of a message's end."""
        super().record_notice(notice)
        self.history.add("discovery", "notice", message=notice["id"], status=notice["status"])
