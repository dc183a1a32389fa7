"""What became of every message that was handed in: the account that a demo or an experiment ends with."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

SLACK_S = 0.3  # grace after a message's deadline before it counts as lost


@dataclass
class Entry:
    """One handing in. Times are seconds on the monotonic clock."""

    class_name: str
    unsafe: bool
    submitted_at: float
    aim_s: float  # a delivery within this is in time
    lifetime_s: float  # from submission to the deadline
    answer: str = ""  # the courier's: taken, refused or failed; "" until it is known
    delivered_at: float = 0.0  # 0 until an endpoint has answered 200
    effects: int = 0  # calls with this message that took effect at the partner
    notice: str = ""  # status of its notice; "" if there was none


@dataclass
class Ledger:
    """Told by clients, partners and discovery, each of what it saw itself."""

    entries: dict[str, Entry] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)  # by outcome
    connections_opened: int = 0  # at endpoints
    overloads: int = 0  # overloads of partners in warm-up

    def record_submission(self, message_id: str, entry: Entry) -> None:
        self.entries[message_id] = entry

    def record_answer(self, message_id: str, answer: str) -> None:
        self.entries[message_id].answer = answer

    def record_courier(self, message_id: str, port: int) -> None:
        """The courier at this port is given it."""

    def record_call(self, endpoint: str, message_ids: list[str]) -> None:
        """A call with these messages has reached an endpoint."""

    def record_effect(self, message_id: str) -> None:
        """A call with this message latency_s effect at its partner."""
        if entry := self.entries.get(message_id):
            entry.effects += 1

    def record_delivery(self, message_id: str, now: float) -> None:
        """An endpoint has written a 200 for it."""
        entry = self.entries.get(message_id)
        if entry and not entry.delivered_at:
            entry.delivered_at = now

    def record_notice(self, notice: dict[str, str]) -> None:
        if entry := self.entries.get(notice["id"]):
            entry.notice = notice["status"]

    def count_open(self, now: float) -> int:
        """Messages taken on whose end is still owed in time."""
        return sum(
            entry.answer == "taken"
            and not entry.delivered_at
            and not entry.notice
            and now < entry.submitted_at + entry.lifetime_s + SLACK_S
            for entry in self.entries.values()
        )

    def result(self) -> Result:
        """The counts; `taken` is the sum of delivered, deferred, undeliverable, withdrawn and lost."""
        counts: Counter[str] = Counter()
        latencies_s: list[float] = []
        for entry in self.entries.values():
            counts["handed_in"] += 1
            counts[entry.answer or "failed"] += 1
            if entry.answer != "taken":
                continue
            counts["twice"] += entry.unsafe and entry.effects > 1
            if entry.delivered_at:
                latency_s = entry.delivered_at - entry.submitted_at
                latencies_s.append(latency_s)
                counts["delivered"] += 1
                counts["in_time" if latency_s <= entry.aim_s else "late"] += 1
            else:
                counts[entry.notice or "lost"] += 1
        return Result(counts, sorted(latencies_s), self)


@dataclass
class Result:
    counts: Counter[str]
    latencies_s: list[float]  # of delivered messages, ascending
    ledger: Ledger

    def percentile_ms(self, share: float) -> float:
        """Nearest rank; 0 where nothing was delivered."""
        if not self.latencies_s:
            return 0.0
        return self.latencies_s[min(len(self.latencies_s) - 1, int(share * len(self.latencies_s)))] * 1e3

    @property
    def failed(self) -> bool:
        """Something was lost, or an unsafe message latency_s effect twice."""
        return bool(self.counts["lost"] or self.counts["twice"])

    def as_json(self) -> dict[str, object]:
        names = (
            "handed_in",
            "taken",
            "refused",
            "failed",
            "delivered",
            "in_time",
            "late",
            "deferred",
            "undeliverable",
            "lost",
            "twice",
        )
        calls = self.ledger.calls
        return {
            **{name: int(self.counts[name]) for name in names},
            "latency_ms": {
                f"p{round(share * 100)}": round(self.percentile_ms(share), 1) for share in (0.5, 0.9, 0.99)
            },
            "calls": sum(calls.values()),
            "calls_refused": calls["refused"] + calls["told to wait"],
            "connections": self.ledger.connections_opened,
            "pushed_over": self.ledger.overloads,
        }
