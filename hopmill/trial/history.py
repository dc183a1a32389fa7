"""What happened, by one clock: JSON lines of who, when (us of elapsed time) and what."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from hopmill.standin.ledger import Submission, Ledger


def elapsed_us() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class History:
    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, who: str, what: str, **more: Any) -> None:
        self.rows.append({"at_us": elapsed_us(), "who": who, "what": what, **more})

    @staticmethod
    def now() -> int:
        return elapsed_us()

    def of(self, what: str) -> list[dict[str, Any]]:
        return [row for row in self.rows if row["what"] == what]

    def write(self, path: Path) -> None:
        with path.open("w") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")


class Recorder(Ledger):
    """The ledger that also writes the stand-ins' own record of each call."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self.history = history
        self.names: dict[int, str] = {}  # of couriers, by their clients' port
        self.given: dict[str, str] = {}  # message: the courier that has it, which alone delivers it

    def record_submission(self, message_id: str, entry: Submission) -> None:
        super().record_submission(message_id, entry)
        self.history.add("load", "put", message=message_id, cls=entry.class_name)

    def record_answer(self, message_id: str, answer: str) -> None:
        super().record_answer(message_id, answer)
        self.history.add("load", "answer", message=message_id, answer=answer)

    def record_courier(self, message_id: str, port: int) -> None:
        self.given[message_id] = self.names.get(port, "")

    def record_call(self, endpoint: str, message_ids: list[str]) -> None:
        courier = self.given.get(message_ids[0], "") if message_ids else ""
        self.history.add(endpoint, "call", courier=courier, messages=message_ids)

    def record_notice(self, notice: dict[str, str]) -> None:
        super().record_notice(notice)
        self.history.add("discovery", "notice", message=notice["id"], status=notice["status"])
