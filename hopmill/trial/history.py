"""What happened, by one clock: JSON lines of who, when (us of elapsed time) and what."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from hopmill.standin.ledger import Entry, Ledger


def elapsed_us() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class History:
    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, who: str, what: str, **more: Any) -> None:
        self.rows.append({"at_us": elapsed_us(), "who": who, "what": what, **more})

    @staticmethod
    def now_us() -> int:
        return elapsed_us()

    def rows_of(self, what: str) -> list[dict[str, Any]]:
        return [row for row in self.rows if row["what"] == what]

    def write(self, path: Path) -> None:
        with path.open("w") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")


class RecordingLedger(Ledger):
    """The ledger that also writes the stand-ins' own record of each call."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self.history = history
        self.courier_names: dict[int, str] = {}  # by the port for clients
        self.courier_by_message: dict[
            str, str
        ] = {}  # the courier that holds the message; only it delivers it

    def handed_in(self, ident: str, entry: Entry) -> None:
        super().handed_in(ident, entry)
        self.history.add("load", "put", message=ident, cls=entry.cls)

    def answered(self, ident: str, answer: str) -> None:
        super().answered(ident, answer)
        self.history.add("load", "answer", message=ident, answer=answer)

    def handed_to(self, ident: str, port: int) -> None:
        self.courier_by_message[ident] = self.courier_names.get(port, "")

    def began(self, endpoint: str, idents: list[str]) -> None:
        courier = self.courier_by_message.get(idents[0], "") if idents else ""
        self.history.add(endpoint, "call", courier=courier, messages=idents)

    def noted(self, line: dict[str, str]) -> None:
        super().noted(line)
        self.history.add("discovery", "notice", message=line["id"], status=line["status"])
