"""How much a lane may get: its pace and share of the limit, its window, and announced waits."""

from __future__ import annotations

import math

from hopmill.policy.state import Destination, Lane
from hopmill.policy.turn import Turn

FIRST_BACKOFF_US = 100_000  # upper bound of the first jittered wait; Retries (Agents SDK design)
MAX_BACKOFF_US = 3_000_000  # highest upper bound; Retries (Agents SDK design)
MAX_DESTINATION_SLOT_SHARE = 0.75  # share of the courier's slots that calls of one destination may use
LANE_REFUSAL_WEIGHT = 0.5  # weight of the newest call in a lane's moving share of refused calls
KIND_REFUSAL_WEIGHT = 1 / 16  # the same, over all calls to a kind of destination
BURST_S = 0.8  # a token bucket holds the tokens of this time at the lane's pace
BURST_WITH_REFUSAL_COST_S = 0.4  # the same where refused calls have a cost (Settings.refused_price)
CUT_FACTOR = 0.75  # share of the pace that remains after an overload; applied once per round trip
GROWTH_SHARE = 0.1  # a success adds this share of the limit share (of the pace, if none is known)
NEAR_REFUSAL_SHARE = 0.9  # above this share of the last refused rate the pace grows slowly
RECOVERY_US = 5_000_000  # time after a cut in which growth near the refused rate returns to full speed
LIMIT_STEP_SHARE = 0.25  # a reported limit that differs by more is a new limit; less is random variation
REPORT_WEIGHT = 0.2  # weight of a reported limit that differs by less
MIN_LIMIT_SHARE = 0.4  # a cut leaves at least this part of the limit share, and recovery starts from it
MIN_PACE_PER_S = 0.2  # lowest pace after a cut, outside large fleets
MIN_LEARNED_PACE_PER_S = 0.5  # lowest pace of a lane that gets its first one by an overload
MIN_GROWTH_FACTOR = 0.1  # part of GROWTH_SHARE that applies right after a cut
SUCCESS_WINDOW_US = 4e6  # without successes their moving rate decays to 0 within this time
SUCCESS_STEP_PER_S = 0.25  # one success adds this to the moving rate
ROUNDING_MARGIN_US = 1_000  # announced waits are rounded down to whole milliseconds
ASSUMED_CAPACITY_FACTOR = 2.0  # assumed capacity of an unlisted lane, as a multiple of its rate of successes


class Pacing:
    """Token buckets, windows and retry-after waits of all lanes."""

    def __init__(self, turn: Turn) -> None:
        settings = turn.settings
        self.turn = turn
        self.settings = settings
        self.max_calls_per_destination = max(1, int(MAX_DESTINATION_SLOT_SHARE * settings.slots))
        # By destination: (max calls in flight, max calls per second of all couriers); 0: none.
        self.ceilings: dict[int, tuple[int, float]] = {}
        # Buckets that many couriers empty at the same time also refill at the same time, seconds later where
        # each courier has one call in several seconds. A call therefore costs a random amount around one
        # token.
        self.token_jitter = max(0.0, 1 - settings.slots / settings.couriers)
        self.refused_share_by_kind = [0.0] * len(settings.kinds)  # moving share of calls refused

    def max_calls(self, destination: Destination) -> int:
        """Return how many calls to the destination may be in flight at once."""
        return min(
            self.max_calls_per_destination,
            self.ceilings.get(destination.number, (0, 0.0))[0] or self.max_calls_per_destination,
        )

    def _policy_limit_per_s(self, lane: Lane) -> float:
        """Return this courier's share of the policy's rate limit per lane of a destination; inf: no limit."""
        limit_per_s = (
            self.ceilings[lane.destination.number][1] if lane.destination.number in self.ceilings else 0.0
        )
        return limit_per_s / self.settings.couriers / len(lane.destination.lanes) if limit_per_s else math.inf

    def record_listed_rate(self, lane: Lane, rate_per_s: float) -> None:
        """Take a lane's rate from the endpoint list as the limit, if it has changed."""
        if self.settings.rates_listed and rate_per_s > 0 and lane.listed_rate_per_s != rate_per_s:
            lane.listed_rate_per_s = rate_per_s
            # The listed rate is where refusals are expected, so growth near it is slow from the beginning.
            lane.limit_share_per_s = lane.pace_per_s = lane.last_refused_rate_per_s = (
                rate_per_s / self.settings.couriers
            )

    def backoff_us(self, failures: int) -> int:
        """Return a full-jitter exponential backoff.

        failures: before a retry, the number of the retry, from 0. After a refusal without an announced
        wait: Lane.consecutive_refusals.
        """
        return int(self.turn.rng.uniform(0, min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** min(failures, 30))))

    # Token bucket

    def current_pace_per_s(self, lane: Lane) -> float:
        """Return the calls per second that the lane is limited to now.

        Where answers report the limit, the pace returns to the equal share by itself after a refusal: one of
        many couriers sees few answers, so answers alone would restore the pace too slowly.
        """
        # next_cut_us is the time of the last cut plus one round trip: recovery counts from there.
        since_us = self.turn.now_us - lane.next_cut_us
        recovered_share = (
            min(1.0, MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * since_us / RECOVERY_US)
            if lane.has_reported_limit
            else 0.0
        )
        pace_per_s = max(lane.pace_per_s, lane.limit_share_per_s * recovered_share)
        max_pace_per_s = self._policy_limit_per_s(lane)
        return pace_per_s if max_pace_per_s == math.inf else min(pace_per_s or max_pace_per_s, max_pace_per_s)

    def refill(self, lane: Lane) -> float:
        """Add the tokens of the time since the last refill and return the tokens of the lane."""
        if not lane.pace_per_s and self._policy_limit_per_s(lane) == math.inf:
            return 1.0
        if self.turn.now_us > lane.refilled_us:
            pace_per_s = self.current_pace_per_s(lane)
            burst_s = BURST_WITH_REFUSAL_COST_S if self.settings.refused_price else BURST_S
            tokens = lane.tokens + pace_per_s * (self.turn.now_us - lane.refilled_us) / 1e6
            lane.tokens = min(tokens, max(1.0, pace_per_s * burst_s))
            lane.refilled_us = self.turn.now_us
        return lane.tokens

    def spend_token(self, lane: Lane) -> None:
        """Take the token of one call; a lane without a pace needs none."""
        if lane.pace_per_s or self._policy_limit_per_s(lane) < math.inf:
            lane.tokens -= 1.0 + self.turn.rng.uniform(-self.token_jitter, self.token_jitter)

    def allows(self, lane: Lane) -> bool:
        """Return whether a token is available; if not, request a turn for when it will be."""
        if self.refill(lane) < 1.0:
            self.turn.wake_at(
                max(self.turn.now_us, lane.refilled_us)
                + int((1 - lane.tokens) / self.current_pace_per_s(lane) * 1e6)
                + 1
            )
            return False
        return True

    # Evidence from answers

    def record_retry_after(self, lane: Lane, wait_us: int) -> None:
        """Wait as announced. The longest wait of a batch's messages applies.

        An announced wait is rounded down to whole milliseconds; ROUNDING_MARGIN_US keeps a call from being
        sent just before its end.
        """
        lane.wait_until_us = max(lane.wait_until_us, self.turn.now_us + wait_us + ROUNDING_MARGIN_US)

    def record_report(self, lane: Lane, report: tuple[float, ...]) -> None:
        """Take the limit in force, and how much of it is left, from the load report of an answer or refusal.

        The endpoint list keeps naming the usual limit. What is left is the only sign of what all other
        couriers send.
        """
        # x1: limit in calls per second of all couriers; x0: share of it that is unused, 0 to 1.
        # Endpoints renew their reports a few times per second at most; many answers repeat one. Each counts
        # once.
        if report == lane.last_report:
            return
        lane.last_report = report
        reported = dict(zip(self.settings.report_fields, report, strict=False))
        reported_share_per_s = reported.get("x1", 0.0) / self.settings.couriers
        left_share = min(1.0, max(0.0, reported.get("x0", 0.0)))
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
        # Of a limit that is fully used, half is left on average over its window. While more is left, this
        # courier takes up shares that others leave idle; while less is left, it returns towards its equal
        # share (the equal shares sum to the limit). The steps are small: all couriers see the same reports,
        # and calls above the limit are refused and count against it.
        pace_per_s = lane.pace_per_s + GROWTH_SHARE * share_per_s * (2 * left_share - 1)
        lane.pace_per_s = min(
            max(pace_per_s, min(lane.pace_per_s, share_per_s)), share_per_s * self.settings.couriers
        )

    def has_limit_left(self, lane: Lane) -> bool:
        """Return whether part of the limit (x0, its unused share) is left, as far as reports say."""
        reported = dict(zip(self.settings.report_fields, lane.last_report, strict=False))
        return not lane.has_reported_limit or reported.get("x0", 0.0) > 0

    def record_success(self, lane: Lane) -> None:
        """Record a delivery: widen the window and raise the pace."""
        now_us = self.turn.now_us
        left_share = max(0.0, 1 - (now_us - lane.last_success_us) / SUCCESS_WINDOW_US)
        lane.success_rate_per_s = lane.success_rate_per_s * left_share + SUCCESS_STEP_PER_S
        lane.last_success_us = now_us
        lane.consecutive_refusals = 0
        lane.refused_share = lane.refused_share * (1 - LANE_REFUSAL_WEIGHT)
        self.refused_share_by_kind[lane.destination.kind] *= 1 - KIND_REFUSAL_WEIGHT
        lane.window = min(self.max_calls_per_destination, lane.window + 1)
        if lane.pace_per_s and not lane.has_reported_limit:
            max_pace_per_s = lane.limit_share_per_s * self.settings.couriers or math.inf
            # Fast growth up to the rate that was last refused, then slow growth, faster the longer ago that
            # was. Constant growth causes about 10 % refusals.
            is_near = lane.pace_per_s >= NEAR_REFUSAL_SHARE * lane.last_refused_rate_per_s
            growth_share = (
                GROWTH_SHARE * min(1.0, max(MIN_GROWTH_FACTOR, (now_us - lane.next_cut_us) / RECOVERY_US))
                if is_near
                else GROWTH_SHARE
            )
            lane.pace_per_s = min(
                max_pace_per_s, lane.pace_per_s + growth_share * (lane.limit_share_per_s or lane.pace_per_s)
            )

    def record_overload(self, lane: Lane, retry_after_us: int) -> None:
        """Record a refusal (Result.FULL): lower the pace, halve the window, and wait.

        retry_after_us: the announced wait; 0: none, then the wait is a backoff.
        """
        now_us, turn = self.turn.now_us, self.turn
        lane.refused_share += (1 - lane.refused_share) * LANE_REFUSAL_WEIGHT
        self.refused_share_by_kind[lane.destination.kind] += (
            1 - self.refused_share_by_kind[lane.destination.kind]
        ) * KIND_REFUSAL_WEIGHT
        if now_us >= lane.next_cut_us:
            lane.next_cut_us = now_us + max(int(lane.mean_latency_us), 2 * self.settings.tick_us)
            lane.window = max(1.0, lane.window / 2)
            lane.last_refused_rate_per_s = (
                lane.pace_per_s or lane.success_rate_per_s * ASSUMED_CAPACITY_FACTOR
            )
            if lane.pace_per_s:
                # At most the equal share: the equal shares of all couriers sum to the limit.
                cut_pace_per_s = min(lane.pace_per_s * CUT_FACTOR, lane.limit_share_per_s or math.inf)
                lane.pace_per_s = max(
                    cut_pace_per_s,
                    lane.limit_share_per_s * MIN_LIMIT_SHARE,
                    0.0 if turn.is_large_fleet else MIN_PACE_PER_S,
                )
            elif not turn.is_large_fleet:  # the minimum paces of many couriers would add up
                lane.pace_per_s = max(MIN_LEARNED_PACE_PER_S, lane.success_rate_per_s * CUT_FACTOR)
            lane.consecutive_refusals += 1
        lane.wait_until_us = max(
            lane.wait_until_us, now_us + (retry_after_us or self.backoff_us(lane.consecutive_refusals))
        )
        self.refill(lane)
        lane.tokens = min(lane.tokens, turn.rng.random() if self.settings.couriers > 1 else 1.0)
        lane.refilled_us = max(now_us, lane.wait_until_us)

    def record_timeout(self, lane: Lane, others_answered: bool) -> None:
        """Record a time-out: narrow the window, by one if other calls were answered, else by half."""
        lane.window = max(1.0, lane.window - 1 if others_answered else lane.window / 2)
