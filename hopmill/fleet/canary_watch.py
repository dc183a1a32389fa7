"""A staged change: how the canary group does, against the other members and against itself before.

Each member counts; the member that leads the change asks for the totals. What is compared is the change of a
share from before to after, of the canary group against the rest, so that couriers that always differ do not
count; the spread between couriers of the rest widens the allowed range. A pre/post comparison with controls:
Angrist, Pischke, Mostly Harmless Econometrics (2009), ch. 5.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from hopmill.fleet.wire import OutcomeTotals

SAMPLE_INTERVAL_US = 1_000_000
MAX_SAMPLES = 300  # five minutes of history
MIN_COUNT = 20  # messages of a group, before and after; with fewer no regression is reported
# Of the stages that change nothing, about one in a thousand is rolled back: over all looks and all figures.
ALPHA = 1e-3
FIGURES = ("worth", "refusals", "errors")


class CanaryWatch:
    """One member's totals over time. Times are us of its elapsed clock."""

    def __init__(self) -> None:
        """`counts` returns the totals so far; the host sets it."""
        self.counts: Callable[[], OutcomeTotals] = OutcomeTotals
        self.samples: deque[tuple[int, OutcomeTotals]] = deque(maxlen=MAX_SAMPLES)
        self.stage_id = ""
        self.stage_start: tuple[int, OutcomeTotals] = 0, OutcomeTotals()

    def tick(self, now: int) -> None:
        """Take a sample if one is due."""
        if not self.samples or now - self.samples[-1][0] >= SAMPLE_INTERVAL_US:
            self.samples.append((now, self.counts()))

    def on_stage(self, stage_id: str, now: int) -> None:
        """Note the start of a stage when it is first known here."""
        if stage_id != self.stage_id:
            self.stage_id, self.stage_start = stage_id, (now, self.counts())

    def totals_around(self, now: int, watch_us: int) -> tuple[OutcomeTotals, OutcomeTotals]:
        """(before, after): what was counted over as long before the stage as it lasts, and since."""
        at, start_totals = self.stage_start
        since = max(watch_us, now - at)
        earlier = next((totals for at_us, totals in self.samples if at_us >= at - since), start_totals)
        return difference(start_totals, earlier), difference(self.counts(), start_totals)


def difference(later: OutcomeTotals, earlier: OutcomeTotals) -> OutcomeTotals:
    """What was counted between two totals, never negative."""
    return OutcomeTotals(*(max(0, x - y) for x, y in zip(_as_tuple(later), _as_tuple(earlier), strict=True)))


def _as_tuple(totals: OutcomeTotals) -> tuple[float, ...]:
    return totals.worth, totals.earned, totals.calls, totals.refused, totals.failed


def shares(totals: OutcomeTotals) -> dict[str, tuple[float, float]]:
    """(good share, of how many) by figure: larger is better for all of them."""
    calls = max(1e-9, totals.calls)
    return {
        "worth": (totals.earned / max(1e-9, totals.worth), totals.worth),
        "refusals": (1 - totals.refused / calls, totals.calls),
        "errors": (1 - totals.failed / calls, totals.calls),
    }


def regression(
    canary: Iterable[tuple[OutcomeTotals, OutcomeTotals]],
    rest: Iterable[tuple[OutcomeTotals, OutcomeTotals]],
    looks: int,
) -> str:
    """What the canary group does worse beyond chance, "" if nothing.

    Each row is (before, after) of one member. looks: how often the test is made in all, for which the
    threshold is corrected.
    """
    canary, rest = list(canary), list(rest)
    if not canary or not rest:
        return ""
    threshold = _quantile(ALPHA / len(FIGURES) / max(1, looks))
    for figure in FIGURES:
        (canary_shift, canary_variance, canary_count), (rest_shift, rest_variance, rest_count) = (
            _shift(canary, figure),
            _shift(rest, figure),
        )
        if min(canary_count, rest_count) < MIN_COUNT:
            continue
        z_score = (canary_shift - rest_shift) / math.sqrt(
            max(1e-12, (canary_variance + rest_variance) * _spread(rest, figure))
        )
        if z_score < -threshold:
            return f"{figure}: {canary_shift:+.3f} against {rest_shift:+.3f} of the others"
    return ""


def _shift(group: list[tuple[OutcomeTotals, OutcomeTotals]], figure: str) -> tuple[float, float, float]:
    """(how far the group's share moved, its variance by chance alone, the smaller of the two counts)."""
    before, after = (shares(total(rows))[figure] for rows in zip(*group, strict=True))
    return (
        after[0] - before[0],
        sum(_variance(share, count) for share, count in (before, after)),
        min(before[1], after[1]),
    )


def total(rows: Iterable[OutcomeTotals]) -> OutcomeTotals:
    """The sum of these totals."""
    return OutcomeTotals(*(sum(column) for column in zip(*map(_as_tuple, rows), strict=True)))


def _variance(share: float, count: float) -> float:
    """Of a share, and never zero: one of so many may be otherwise."""
    share = min(max(share, 1 / (count + 2)), 1 - 1 / (count + 2))
    return share * (1 - share) / max(count, 1e-9)


def _spread(group: list[tuple[OutcomeTotals, OutcomeTotals]], figure: str) -> float:
    """How much more couriers differ than by chance alone, at least 1."""
    mean = _shift(group, figure)[0]
    squares = [
        (_shift([row], figure)[0] - mean) ** 2 / max(1e-12, _shift([row], figure)[1])
        for row in group
        if _shift([row], figure)[2] >= 1
    ]
    return max(1.0, sum(squares) / (len(squares) - 1)) if len(squares) > 1 else 1.0


def _quantile(tail: float) -> float:
    """The normal deviate with this probability beyond it."""
    low, high = 0.0, 40.0
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (middle, high) if 0.5 * math.erfc(middle / math.sqrt(2)) > tail else (low, middle)
    return low
