"""A staged change: how those that go first do, against the others and against themselves before.

Each member counts; whoever leads the change asks for the sums. What is compared is the change of a share from
before to after, of the few against the rest, so that couriers that always differ do not count; the spread
between couriers of the rest widens it. A pre/post comparison with controls: Angrist, Pischke, Mostly Harmless
Econometrics (2009), ch. 5.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from hopmill.fleet.wire import OutcomeTotals

EACH_US = 1_000_000  # between two counts that are kept
MOST_KEPT = 300
LEAST = 20  # messages of a group, before and after, below which nothing is said of it
# Of a stage that changes nothing, about one in a thousand is ended for it: over all looks and all figures.
ALPHA = 1e-3
FIGURES = ("worth", "refusals", "errors")


class Watch:
    """One member's counts over time. Times are us of its elapsed clock."""

    def __init__(self) -> None:
        self.counts: Callable[[], OutcomeTotals] = OutcomeTotals
        self.kept: deque[tuple[int, OutcomeTotals]] = deque(maxlen=MOST_KEPT)
        self.stage = ""
        self.began: tuple[int, OutcomeTotals] = 0, OutcomeTotals()

    def tick(self, now: int) -> None:
        if not self.kept or now - self.kept[-1][0] >= EACH_US:
            self.kept.append((now, self.counts()))

    def staged(self, ident: str, now: int) -> None:
        """The first that is known of this stage here."""
        if ident != self.stage:
            self.stage, self.began = ident, (now, self.counts())

    def told(self, now: int, watch_us: int) -> tuple[OutcomeTotals, OutcomeTotals]:
        """(before, after): over as long before the stage as it lasts, and since."""
        at, sums = self.began
        since = max(watch_us, now - at)
        earlier = next((s for t, s in self.kept if t >= at - since), sums)
        return less(sums, earlier), less(self.counts(), sums)


def less(a: OutcomeTotals, b: OutcomeTotals) -> OutcomeTotals:
    return OutcomeTotals(*(max(0, x - y) for x, y in zip(_row(a), _row(b), strict=True)))


def _row(s: OutcomeTotals) -> tuple[float, ...]:
    return s.worth, s.earned, s.calls, s.refused, s.failed


def shares(s: OutcomeTotals) -> dict[str, tuple[float, float]]:
    """(good share, of how many) by figure: all of them are better when larger."""
    calls = max(1e-9, s.calls)
    return {
        "worth": (s.earned / max(1e-9, s.worth), s.worth),
        "refusals": (1 - s.refused / calls, s.calls),
        "errors": (1 - s.failed / calls, s.calls),
    }


def worse(
    few: Iterable[tuple[OutcomeTotals, OutcomeTotals]],
    rest: Iterable[tuple[OutcomeTotals, OutcomeTotals]],
    looks: int,
) -> str:
    """What the few do worse beyond chance, "" if nothing. looks: how often it is asked in all."""
    few, rest = list(few), list(rest)
    if not few or not rest:
        return ""
    least = _quantile(ALPHA / len(FIGURES) / max(1, looks))
    for figure in FIGURES:
        (a, a_var, a_n), (b, b_var, b_n) = _moved(few, figure), _moved(rest, figure)
        if min(a_n, b_n) < LEAST:
            continue
        z = (a - b) / math.sqrt(max(1e-12, (a_var + b_var) * _spread(rest, figure)))
        if z < -least:
            return f"{figure}: {a:+.3f} against {b:+.3f} of the others"
    return ""


def _moved(group: list[tuple[OutcomeTotals, OutcomeTotals]], figure: str) -> tuple[float, float, float]:
    """(how far the group's share moved, its variance by chance alone, the smaller of the two counts)."""
    before, after = (shares(total(rows))[figure] for rows in zip(*group, strict=True))
    return after[0] - before[0], sum(_variance(p, n) for p, n in (before, after)), min(before[1], after[1])


def total(rows: Iterable[OutcomeTotals]) -> OutcomeTotals:
    return OutcomeTotals(*(sum(column) for column in zip(*map(_row, rows), strict=True)))


def _variance(p: float, n: float) -> float:
    """Of a share, and never none: one of so many may be otherwise."""
    p = min(max(p, 1 / (n + 2)), 1 - 1 / (n + 2))
    return p * (1 - p) / max(n, 1e-9)


def _spread(group: list[tuple[OutcomeTotals, OutcomeTotals]], figure: str) -> float:
    """How much more couriers differ than chance would have them, at least 1."""
    mean = _moved(group, figure)[0]
    squares = [
        (_moved([row], figure)[0] - mean) ** 2 / max(1e-12, _moved([row], figure)[1])
        for row in group
        if _moved([row], figure)[2] >= 1
    ]
    return max(1.0, sum(squares) / (len(squares) - 1)) if len(squares) > 1 else 1.0


def _quantile(tail: float) -> float:
    """The normal deviate with this much beyond it."""
    low, high = 0.0, 40.0
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (middle, high) if 0.5 * math.erfc(middle / math.sqrt(2)) > tail else (low, middle)
    return low
