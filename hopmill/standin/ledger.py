"""What became of every message that was handed in: the account that a demo or an experiment ends with."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

SLACK_S = 0.3  # after its time a message may take so long to end before it counts as lost


@dataclass
class Entry:
    """One handing in. Times are seconds on the monotonic clock."""

    cls: str
    unsafe: bool
    handed_in: float
    aim_s: float
    life_s: float
    answer: str = ""  # taken, refused, failed; "" until it is known
    delivered_at: float = 0.0
    effects: int = 0
    notice: str = ""


@dataclass
class Ledger:
    """Told by clients, partners and discovery, each of what it saw itself."""

    entries: dict[str, Entry] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)  # answers of endpoints, by what they said
    connections: int = 0  # opened to endpoints
    fell: int = 0  # times that a cold partner was pushed over

    def handed_in(self, ident: str, entry: Entry) -> None:
        self.entries[ident] = entry

    def answered(self, ident: str, answer: str) -> None:
        self.entries[ident].answer = answer

    def handed_to(self, ident: str, port: int) -> None:
        """The courier at this port is given it."""

    def began(self, endpoint: str, idents: list[str]) -> None:
        """A call with these messages has reached an endpoint."""

    def effect(self, ident: str) -> None:
        """A call with this message took effect at its partner."""
        if entry := self.entries.get(ident):
            entry.effects += 1

    def delivered(self, ident: str, now: float) -> None:
        """An endpoint has written a 200 for it."""
        entry = self.entries.get(ident)
        if entry and not entry.delivered_at:
            entry.delivered_at = now

    def noted(self, line: dict[str, str]) -> None:
        if entry := self.entries.get(line["id"]):
            entry.notice = line["status"]

    def open(self, now: float) -> int:
        """Messages taken on whose end is still owed in time."""
        return sum(
            e.answer == "taken"
            and not e.delivered_at
            and not e.notice
            and now < e.handed_in + e.life_s + SLACK_S
            for e in self.entries.values()
        )

    def result(self) -> Result:
        """The counts; `taken` is the sum of delivered, deferred, undeliverable, withdrawn and lost."""
        counts: Counter[str] = Counter()
        latencies: list[float] = []
        for e in self.entries.values():
            counts["handed_in"] += 1
            counts[e.answer or "failed"] += 1
            if e.answer != "taken":
                continue
            counts["twice"] += e.unsafe and e.effects > 1
            if e.delivered_at:
                took = e.delivered_at - e.handed_in
                latencies.append(took)
                counts["delivered"] += 1
                counts["in_time" if took <= e.aim_s else "late"] += 1
            else:
                counts[e.notice or "lost"] += 1
        return Result(counts, sorted(latencies), self)


@dataclass
class Result:
    counts: Counter[str]
    latencies: list[float]  # of what was delivered, in order
    ledger: Ledger

    def percentile_ms(self, share: float) -> float:
        """Nearest rank; 0 where nothing was delivered."""
        if not self.latencies:
            return 0.0
        return self.latencies[min(len(self.latencies) - 1, int(share * len(self.latencies)))] * 1e3

    @property
    def failed(self) -> bool:
        """Something was lost, or an unsafe message took effect twice."""
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
            "connections": self.ledger.connections,
            "pushed_over": self.ledger.fell,
        }
