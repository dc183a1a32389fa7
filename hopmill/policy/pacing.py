"""How much a lane may get: its pace and part of the limit, its window, and the waits it was told."""

from __future__ import annotations

import math

from hopmill.policy.state import Destination, Lane
from hopmill.policy.turn import Turn

FIRST_BACKOFF_US = 100_000  # first ceiling of the jittered wait (the note's default)
MAX_BACKOFF_US = 3_000_000  # highest ceiling (the note's default)
MAX_DESTINATION_SLOT_SHARE = 0.75  # a destination's calls stay under this share of the slots
LANE_REFUSAL_WEIGHT = 0.5
KIND_REFUSAL_WEIGHT = 1 / 16  # weight of the newest call in the share refused: lane, kind
BURST_S = 0.8
PRICED_BURST_S = 0.4  # a bucket holds this much of its rate; less where refusals are priced
CUT_FACTOR = 0.75  # on overload the rate shrinks by this, once a round trip
GROWTH_SHARE = 0.1  # and a success adds this share of the listed (or first learned) rate
NEAR_REFUSAL_SHARE = 0.9
RECOVERY_US = 5_000_000  # near the last refused pace it grows slowly, until this long after
LIMIT_STEP_SHARE = 0.25
REPORT_WEIGHT = 0.2  # a told limit this far off is a new one; else it is chance, and has this weight
MIN_LIMIT_SHARE = 0.4  # but a listed rate is not left further than this behind
SPARE_FACTOR = 2.0  # an unlisted capacity is taken for this multiple of the traffic that it was seen to take


class Pacing:
    def __init__(self, turn: Turn) -> None:
        settings = turn.settings
        self.turn = turn
        self.settings = settings
        self.max_calls_per_destination = max(1, int(MAX_DESTINATION_SLOT_SHARE * settings.slots))
        self.ceilings: dict[int, tuple[int, float]] = {}  # by destination, as the policy in force has them
        # Buckets that many couriers empty together refill together, seconds later where each has a call in
        # seconds: a call costs a token more or less by chance, so that they fall out of step.
        self.token_jitter = max(0.0, 1 - settings.slots / settings.couriers)
        self.refused_share_by_kind = [0.0] * len(settings.kinds)  # as the lanes', over all calls to a kind

    def max_calls(self, destination: Destination) -> int:
        """Calls at once."""
        return min(
            self.max_calls_per_destination,
            self.ceilings.get(destination.number, (0, 0.0))[0] or self.max_calls_per_destination,
        )

    def _policy_limit_per_s(self, lane: Lane) -> float:
        """This courier's part of what the policy lets a partner have a second; inf: all that it takes."""
        limit_per_s = (
            self.ceilings[lane.destination.number][1] if lane.destination.number in self.ceilings else 0.0
        )
        return limit_per_s / self.settings.couriers / len(lane.destination.lanes) if limit_per_s else math.inf

    def record_listed_rate(self, lane: Lane, rate_per_s: float) -> None:
        """The list names its rate."""
        if self.settings.rates_listed and rate_per_s > 0 and lane.listed_rate_per_s != rate_per_s:
            lane.listed_rate_per_s = rate_per_s
            lane.limit_share_per_s = lane.pace_per_s = lane.last_refused_rate_per_s = (
                rate_per_s / self.settings.couriers
            )

    def backoff_us(self, retry: int) -> int:
        return int(self.turn.rng.uniform(0, min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** min(retry, 30))))

    # The pace

    def current_pace_per_s(self, lane: Lane) -> float:
        """Calls a second. After a refusal it comes back to the equal part by itself: one of many couriers
        hears of a lane so seldom that answers alone left it down for as long as the limit was lowered."""
        since_us = self.turn.now_us - lane.next_cut_us
        recovered_share = (
            min(1.0, MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * since_us / RECOVERY_US)
            if lane.has_reported_limit
            else 0.0
        )
        pace_per_s, max_pace_per_s = (
            max(lane.pace_per_s, lane.limit_share_per_s * recovered_share),
            self._policy_limit_per_s(lane),
        )
        return pace_per_s if max_pace_per_s == math.inf else min(pace_per_s or max_pace_per_s, max_pace_per_s)

    def refill(self, lane: Lane) -> float:
        if not lane.pace_per_s and self._policy_limit_per_s(lane) == math.inf:
            return 1.0
        if self.turn.now_us > lane.refilled_us:
            pace_per_s, burst_s = (
                self.current_pace_per_s(lane),
                PRICED_BURST_S if self.settings.refused_price else BURST_S,
            )
            tokens = lane.tokens + pace_per_s * (self.turn.now_us - lane.refilled_us) / 1e6
            lane.tokens, lane.refilled_us = min(tokens, max(1.0, pace_per_s * burst_s)), self.turn.now_us
        return lane.tokens

    def spend_token(self, lane: Lane) -> None:
        if lane.pace_per_s or self._policy_limit_per_s(lane) < math.inf:
            lane.tokens -= 1.0 + self.turn.rng.uniform(-self.token_jitter, self.token_jitter)

    def allows(self, lane: Lane) -> bool:
        if self.refill(lane) < 1.0:
            self.turn.wake_at(
                max(self.turn.now_us, lane.refilled_us)
                + int((1 - lane.tokens) / self.current_pace_per_s(lane) * 1e6)
                + 1
            )
            return False
        return True

    # What answers tell

    def record_retry_after(self, lane: Lane, wait_us: int) -> None:
        """Heeded for each message: those of one batched call were told different waits. A told wait comes
        in cut milliseconds, so one more keeps a send from falling just inside its end."""
        lane.wait_until_us = max(lane.wait_until_us, self.turn.now_us + wait_us + 1_000)

    def record_report(self, lane: Lane, report: tuple[float, ...]) -> None:
        """Answers, refusals too, tell the limit in force, where the list goes on naming the usual one, and
        how much of it is left: the one thing that tells a courier what all the others send."""
        if (
            report == lane.last_report
        ):  # endpoints renew theirs a few times a second at most: each counts once
            return
        lane.last_report = report
        reported = dict(zip(self.settings.report_fields, report, strict=False))
        reported_share_per_s, left_share = (
            reported.get("x1", 0.0) / self.settings.couriers,
            min(1.0, max(0.0, reported.get("x0", 0.0))),
        )
        lane.has_reported_limit = reported_share_per_s > 0
        if not lane.has_reported_limit:
            return
        known_share_per_s = lane.limit_share_per_s or reported_share_per_s
        share_per_s = (
            reported_share_per_s
            if abs(reported_share_per_s - known_share_per_s) > LIMIT_STEP_SHARE * known_share_per_s
            else known_share_per_s + (reported_share_per_s - known_share_per_s) * REPORT_WEIGHT
        )
        lane.pace_per_s = (lane.pace_per_s or share_per_s) * share_per_s / known_share_per_s
        lane.limit_share_per_s = share_per_s
        # Of a limit that is all used, half is left in the mean over its span. While more is, parts that
        # others leave idle are taken up; while less is, back towards the equal part, whose sum is the limit.
        # In small steps: all of them hear the same news, and what they send too much together is refused and
        # paid back out of the limit.
        pace_per_s = lane.pace_per_s + GROWTH_SHARE * share_per_s * (2 * left_share - 1)
        lane.pace_per_s = min(
            max(pace_per_s, min(lane.pace_per_s, share_per_s)), share_per_s * self.settings.couriers
        )

    def has_limit_left(self, lane: Lane) -> bool:
        """Whether the limit is not used up, as far as answers tell it."""
        reported = dict(zip(self.settings.report_fields, lane.last_report, strict=False))
        return not lane.has_reported_limit or reported.get("x0", 0.0) > 0

    def record_success(self, lane: Lane) -> None:
        now_us = self.turn.now_us
        lane.success_rate_per_s, lane.last_success_us = (
            lane.success_rate_per_s * max(0.0, 1 - (now_us - lane.last_success_us) / 4e6) + 0.25,
            now_us,
        )
        lane.consecutive_refusals, lane.refused_share = 0, lane.refused_share * (1 - LANE_REFUSAL_WEIGHT)
        self.refused_share_by_kind[lane.destination.kind] *= 1 - KIND_REFUSAL_WEIGHT
        lane.window = min(self.max_calls_per_destination, lane.window + 1)
        if lane.pace_per_s and not lane.has_reported_limit:
            max_pace_per_s = lane.limit_share_per_s * self.settings.couriers or math.inf
            # Fast up to where it was last refused, then slowly, the faster the longer ago that was: growth at
            # one pace met a refusal in ten calls.
            is_near = lane.pace_per_s >= NEAR_REFUSAL_SHARE * lane.last_refused_rate_per_s
            growth_share = (
                GROWTH_SHARE * min(1.0, max(0.1, (now_us - lane.next_cut_us) / RECOVERY_US))
                if is_near
                else GROWTH_SHARE
            )
            lane.pace_per_s = min(
                max_pace_per_s, lane.pace_per_s + growth_share * (lane.limit_share_per_s or lane.pace_per_s)
            )

    def record_overload(self, lane: Lane, retry_after_us: int) -> None:
        """A refusal as full: pace down, close the window, and wait as told (or a jittered wait)."""
        now_us, turn = self.turn.now_us, self.turn
        lane.refused_share += (1 - lane.refused_share) * LANE_REFUSAL_WEIGHT
        self.refused_share_by_kind[lane.destination.kind] += (
            1 - self.refused_share_by_kind[lane.destination.kind]
        ) * KIND_REFUSAL_WEIGHT
        if now_us >= lane.next_cut_us:
            lane.next_cut_us = now_us + max(int(lane.mean_latency_us), 2 * self.settings.tick_us)
            lane.window = max(1.0, lane.window / 2)
            lane.last_refused_rate_per_s = lane.pace_per_s or lane.success_rate_per_s * SPARE_FACTOR
            if lane.pace_per_s:
                cut_pace_per_s = min(
                    lane.pace_per_s * CUT_FACTOR, lane.limit_share_per_s or math.inf
                )  # the equal parts sum to the limit
                lane.pace_per_s = max(
                    cut_pace_per_s,
                    lane.limit_share_per_s * MIN_LIMIT_SHARE,
                    0.0 if turn.is_large_fleet else 0.2,
                )
            elif not turn.is_large_fleet:  # a floor for each of many couriers would add up
                lane.pace_per_s = max(0.5, lane.success_rate_per_s * CUT_FACTOR)
            lane.consecutive_refusals += 1
        lane.wait_until_us = max(
            lane.wait_until_us, now_us + (retry_after_us or self.backoff_us(lane.consecutive_refusals))
        )
        self.refill(lane)
        lane.tokens = min(lane.tokens, turn.rng.random() if self.settings.couriers > 1 else 1.0)
        lane.refilled_us = max(now_us, lane.wait_until_us)

    def record_timeout(self, lane: Lane, others_answered: bool) -> None:
        lane.window = max(1.0, lane.window - 1 if others_answered else lane.window / 2)
