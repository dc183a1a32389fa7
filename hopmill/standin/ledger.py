"""The outcome of every submitted message, with the summary printed at the end of a demo or an experiment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

GRACE_S = 0.3  # grace after a message's deadline before it counts as lost


@dataclass
class Submission:
    """One submission of a message. Points in time are seconds on the monotonic clock."""

    class_name: str
    unsafe: bool  # must not take effect twice
    submitted_at: float
    aim_s: float  # a delivery within this is in time
    lifetime_s: float  # from submission to the deadline
    answer: str = ""  # the courier's: taken, refused or failed; "" until it is known
    delivered_at: float = 0.0  # 0 until an endpoint has answered 200
    effects: int = 0  # calls with this message that took effect at the partner
    notice: str = ""  # status of its first notice; "" if there was none
    other_notice: str = ""  # status of a later notice that says otherwise


@dataclass
class Ledger:
    """Records what clients, partners and discovery observe; each submission has a `message_id` of its own."""

    entries: dict[str, Submission] = field(default_factory=dict)
    # By outcome: delivered (200), error (500), refused (503), told to wait (429).
    calls: Counter[str] = field(default_factory=Counter)
    connections_opened: int = 0  # at endpoints
    overloads: int = 0  # how often a partner was overloaded during a warm-up

    def record_submission(self, message_id: str, submission: Submission) -> None:
        """Record a submission before it is sent to a courier."""
        self.entries[message_id] = submission

    def record_answer(self, message_id: str, answer: str) -> None:
        """Record the courier's answer: taken, refused or failed."""
        self.entries[message_id].answer = answer

    def record_courier(self, message_id: str, port: int) -> None:
        """The message is sent to the courier at this port. Subclasses record it."""

    def record_call(self, endpoint: str, message_ids: list[str]) -> None:
        """A call with these messages has reached an endpoint. Subclasses record it."""

    def record_effect(self, message_id: str) -> None:
        """Record that a call with this message took effect at its partner."""
        if submission := self.entries.get(message_id):
            submission.effects += 1

    def record_delivery(self, message_id: str, now: float) -> None:
        """Record that an endpoint has answered 200; only the first such answer counts."""
        submission = self.entries.get(message_id)
        if submission and not submission.delivered_at:
            submission.delivered_at = now

    def record_notice(self, notice: dict[str, str]) -> None:
        """Record the final status that the courier reported to discovery."""
        submission = self.entries.get(notice["id"])
        if submission is None:
            return
        submission.notice = submission.notice or notice["status"]
        if notice["status"] != submission.notice:
            submission.other_notice = notice["status"]

    def contradictions(self) -> Iterator[str]:
        """One line for each message whose ends contradict each other or what happened."""
        for message_id, submission in self.entries.items():
            if submission.other_notice:
                yield f"ends: {message_id} was reported {submission.notice}, then {submission.other_notice}"
            if submission.unsafe and submission.effects and submission.notice == "deferred":
                yield f"ends: {message_id} took effect and was reported as not run"

    def count_open(self, now: float) -> int:
        """Return the number of accepted messages that have no final answer yet and are not lost yet."""
        return sum(
            submission.answer == "taken"
            and not submission.delivered_at
            and not submission.notice
            and now < submission.submitted_at + submission.lifetime_s + GRACE_S
            for submission in self.entries.values()
        )

    def result(self) -> Result:
        """Count the outcomes; `taken` is the sum of delivered, `lost` and the statuses of the notices."""
        counts: Counter[str] = Counter()
        latencies_s: list[float] = []
        for submission in self.entries.values():
            counts["handed_in"] += 1
            counts[submission.answer or "failed"] += 1
            if submission.answer != "taken":
                continue
            counts["twice"] += submission.unsafe and submission.effects > 1
            if submission.delivered_at:
                latency_s = submission.delivered_at - submission.submitted_at
                latencies_s.append(latency_s)
                counts["delivered"] += 1
                counts["in_time" if latency_s <= submission.aim_s else "late"] += 1
            else:
                counts[submission.notice or "lost"] += 1
        return Result(counts, sorted(latencies_s), self)


@dataclass
class Result:
    """The outcomes of all messages, counted."""

    counts: Counter[str]
    latencies_s: list[float]  # of delivered messages, ascending
    ledger: Ledger

    def percentile_ms(self, share: float) -> float:
        """Return the percentile of the latencies by nearest rank; 0 if nothing was delivered."""
        if not self.latencies_s:
            return 0.0
        return self.latencies_s[min(len(self.latencies_s) - 1, int(share * len(self.latencies_s)))] * 1e3

    @property
    def has_violations(self) -> bool:
        """Whether a message was lost, or an unsafe one took effect twice."""
        return bool(self.counts["lost"] or self.counts["twice"])

    def as_json(self) -> dict[str, object]:
        """Return the summary as commands print it in JSON."""
        names = (
            "handed_in",  # submissions
            "taken",
            "refused",
            "failed",
            "delivered",
            "in_time",
            "late",
            "deferred",
            "undeliverable",
            "lost",
            "twice",  # unsafe messages that took effect more than once
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
            # Overloads of partners during a warm-up.
            "pushed_over": self.ledger.overloads,
        }
