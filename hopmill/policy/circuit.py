"""Circuit breakers: they stop calls to failing endpoints, then let trial calls and a slow start through."""

from __future__ import annotations

from hopmill.interface import EndpointState, Result
from hopmill.policy.pacing import ASSUMED_CAPACITY_FACTOR
from hopmill.policy.state import CircuitBreaker, Endpoint
from hopmill.policy.turn import Turn

OUTCOME_WEIGHT = 0.25  # weight of the newest outcome in the moving failure share
OPENING_SHARE = 0.5  # failure share that opens a breaker: three failures in a row after none
TWO_FAILURES_SHARE = 0.4  # failure share after two failures in a row
FIRST_TRIAL_GAP_US = 400_000  # upper bound of the jittered gap before the first half-open trial call
MAX_TRIAL_GAP_US = 2_500_000
AMBIGUOUS_DECAY_FACTOR = 0.6  # the ambiguous share decays to 0 within this multiple of Settings.cold_us
MIN_WARM_RATE_PER_S = 0.5
MIN_SLOW_START_RATE_PER_S = 0.05
MIN_FLEET_SLOW_START_RATE_PER_S = 0.001  # of one courier in a large fleet, since the rates of all add up
CLOSING_SHARE_FACTOR = 0.8  # a closing breaker keeps at most this part of OPENING_SHARE as its failure share
# Part of Settings.fall_multiple that recovery uses: to stay below the load at which a cold destination fails
# again, with a margin for random variation.
RECOVERY_FACTOR = 0.8


class CircuitBreakers:
    """Opens and closes circuit breakers and meters the calls that they let through."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.settings = turn.settings

    def warm_share(self, breaker: CircuitBreaker) -> float:
        """Return the share of the warm rate that a returning endpoint may get, from 0 to 1.

        Its capacity grows from cold_share to 1 within cold_us. It fails again at fall_multiple times its
        present capacity, so it may get that load, less a margin.
        """
        cold_share = self.settings.cold_share
        since_us = self.turn.now_us if breaker.is_open else breaker.slow_start_began_us
        share = cold_share + (1 - cold_share) * (self.turn.now_us - since_us) / max(1, self.settings.cold_us)
        return min(1.0, RECOVERY_FACTOR * self.settings.fall_multiple * share)

    def record_arrival(self, breaker: CircuitBreaker, lane_count: int) -> None:
        """Add slow-start tokens for a new message (large fleets: one breaker per lane).

        lane_count: lanes of the message's destination. A returning destination gets a share of new messages:
        summed over a large fleet it follows the total, whichever courier gets them. At most one token is
        kept, since all couriers that were given the same retry-after return at the same moment.
        """
        if breaker.is_open or breaker.slow_start_began_us >= 0:
            breaker.tokens = min(1.0, breaker.tokens + self.warm_share(breaker) / lane_count)

    def set_warm_rate(self, endpoint: Endpoint) -> None:
        """Set the rate that the slow start leads to."""
        # A lane that fails repeatedly has few successes, so the highest rate seen counts. In a large fleet
        # the minimum rates of hundreds of couriers add up: there the warm rate is the rate of this courier's
        # own messages, since the sum of those over the fleet follows the total.
        turn = self.turn
        own_rate_per_s = (
            endpoint.lane.destination.arrivals
            / max(turn.now_us - turn.started_us, self.settings.cold_us, 1)
            * 1e6
        )
        best_rate_per_s = max(
            endpoint.breaker.warm_rate_per_s,
            endpoint.lane.limit_share_per_s or endpoint.lane.success_rate_per_s * ASSUMED_CAPACITY_FACTOR,
            MIN_WARM_RATE_PER_S,
        )
        endpoint.breaker.warm_rate_per_s = (
            (endpoint.lane.limit_share_per_s or own_rate_per_s) if turn.is_large_fleet else best_rate_per_s
        )

    def begin_slow_start(self, endpoint: Endpoint) -> None:
        """Begin a slow start: an operator had excluded the endpoint, and it may have been restarted."""
        self.set_warm_rate(endpoint)
        endpoint.failure_share = endpoint.ambiguous_share = endpoint.breaker.failure_share = 0.0
        endpoint.breaker.is_open = False
        endpoint.breaker.trial_call = None
        endpoint.breaker.trial_gap_us = 0
        endpoint.breaker.tokens = 1.0
        endpoint.breaker.slow_start_began_us = endpoint.breaker.refilled_us = self.turn.now_us
        self.turn.log(f"endpoint {endpoint.id} may serve again: slow start")

    def open_breaker(self, endpoint: Endpoint, reason: str) -> None:
        """Open the breaker: only single trial calls, with growing jittered gaps."""
        turn = self.turn
        if not endpoint.breaker.is_open:
            self.set_warm_rate(endpoint)
            if turn.is_large_fleet and endpoint.breaker.slow_start_began_us < 0:
                endpoint.breaker.tokens = turn.rng.random()  # random, so that couriers do not try in step
            turn.log(f"endpoint {endpoint.id}: circuit opened ({reason}), half-open trial calls only")
        endpoint.breaker.is_open, endpoint.breaker.slow_start_began_us = True, -1
        endpoint.breaker.trial_gap_us = min(
            MAX_TRIAL_GAP_US, endpoint.breaker.trial_gap_us * 2 or FIRST_TRIAL_GAP_US
        )
        endpoint.breaker.next_trial_us = turn.now_us + int(
            turn.rng.uniform(0.5, 1) * endpoint.breaker.trial_gap_us
        )

    def current_ambiguous_share(self, endpoint: Endpoint) -> float:
        """Return the moving share of calls that failed but may have run, decayed since its last update."""
        return endpoint.ambiguous_share * max(
            0.0,
            1
            - (self.turn.now_us - endpoint.ambiguous_updated_us)
            / max(1.0, AMBIGUOUS_DECAY_FACTOR * self.settings.cold_us),
        )

    def record_ambiguous_failure(self, endpoint: Endpoint) -> None:
        """Record a failed call after which the message may have been processed all the same."""
        share = self.current_ambiguous_share(endpoint)
        endpoint.ambiguous_share = share + OUTCOME_WEIGHT * (1 - share)
        endpoint.ambiguous_updated_us = self.turn.now_us

    def record_outage_wait(self, endpoint: Endpoint) -> None:
        """Record an outage: a refusal whose retry-after is longer than any rate-limit window."""
        endpoint.failure_share = endpoint.breaker.failure_share = 1.0
        self.open_breaker(endpoint, "long retry-after")

    def record_failure(self, endpoint: Endpoint, result: Result, is_trial: bool, weight: float) -> None:
        """Record a failed call. weight: how much the failure counts as evidence, from 0 to 1."""
        is_large_fleet = self.turn.is_large_fleet
        endpoint.failure_share += OUTCOME_WEIGHT * (1 - endpoint.failure_share) * weight
        endpoint.breaker.failure_share += OUTCOME_WEIGHT * (1 - endpoint.breaker.failure_share) * weight
        if endpoint.breaker.slow_start_began_us >= 0 and endpoint.breaker.failure_share >= OPENING_SHARE / 2:
            endpoint.breaker.slow_start_began_us = self.turn.now_us
        # In a large fleet one failure opens the breaker, or two lost calls: three from each of hundreds of
        # couriers are more than a cold destination can take. One failure may be random: the next answer
        # closes it.
        opens_at_once = is_large_fleet and result is not Result.FULL
        opens_at_once = opens_at_once and (
            result is not Result.TIMEOUT or endpoint.breaker.failure_share >= TWO_FAILURES_SHARE
        )
        if (
            endpoint.breaker.failure_share >= OPENING_SHARE
            or endpoint.breaker.is_open
            and is_trial
            or opens_at_once
        ):
            if result is not Result.ERROR or is_large_fleet:
                self.open_breaker(endpoint, result.value)
                return
            # The endpoint answers, but with errors. Trial calls alone would lose what an endpoint that fails
            # half its calls still delivers, so it continues at the pace of a slow start, which it can take
            # when the errors stop.
            if endpoint.breaker.slow_start_began_us < 0:
                self.turn.log(f"endpoint {endpoint.id} answers with errors: slow start")
            self.set_warm_rate(endpoint)
            endpoint.breaker.is_open = False
            endpoint.breaker.trial_gap_us = 0
            endpoint.breaker.slow_start_began_us = self.turn.now_us

    def lower_failure_shares(self, endpoint: Endpoint) -> None:
        """After a successful call, lower the failure shares and the ambiguous share."""
        endpoint.failure_share = endpoint.failure_share * (1 - OUTCOME_WEIGHT)
        endpoint.breaker.failure_share = endpoint.breaker.failure_share * (1 - OUTCOME_WEIGHT)
        endpoint.ambiguous_share = self.current_ambiguous_share(endpoint) * (1 - OUTCOME_WEIGHT)
        endpoint.ambiguous_updated_us = self.turn.now_us

    def close_after_success(self, endpoint: Endpoint) -> None:
        """After a successful call, close an open breaker, or end a slow start whose time is over."""
        now_us, is_large_fleet = self.turn.now_us, self.turn.is_large_fleet
        if endpoint.breaker.is_open:
            endpoint.breaker.is_open = False
            # In a large fleet a single failure opened it: that was no outage and needs no slow start.
            if not is_large_fleet or endpoint.breaker.failure_share >= TWO_FAILURES_SHARE * (
                1 - OUTCOME_WEIGHT
            ):
                endpoint.breaker.slow_start_began_us = endpoint.breaker.refilled_us = now_us
                if not is_large_fleet:
                    endpoint.breaker.tokens = 1.0
                self.turn.log(f"endpoint {endpoint.id} answers again: circuit closed, slow start")
            endpoint.breaker.trial_gap_us = 0
            endpoint.breaker.failure_share = min(
                endpoint.breaker.failure_share, OPENING_SHARE * CLOSING_SHARE_FACTOR
            )
        elif (
            0 <= endpoint.breaker.slow_start_began_us <= now_us - self.settings.cold_us
            or is_large_fleet
            and self.warm_share(endpoint.breaker) >= 1
        ):
            endpoint.breaker.slow_start_began_us = -1

    def allows(self, endpoint: Endpoint, has_quick_retry: bool) -> bool:
        """Return whether the breaker lets a call through now; if not, request a turn for when it may.

        has_quick_retry: a message waits whose first attempt failed so soon that it may be repeated during an
        outage.
        """
        now_us, is_large_fleet = self.turn.now_us, self.turn.is_large_fleet
        if endpoint.breaker.is_open:
            if (
                endpoint.breaker.trial_call is not None
                or is_large_fleet
                and endpoint.breaker.tokens < 1.0
                and not has_quick_retry
            ):
                return False
            if not is_large_fleet and now_us < endpoint.breaker.next_trial_us:
                self.turn.wake_at(endpoint.breaker.next_trial_us)
                return False
        elif endpoint.breaker.slow_start_began_us >= 0:
            ready_count = sum(
                1 for other in endpoint.lane.endpoints.values() if other.state is EndpointState.READY
            )
            rate_per_s = (
                self.warm_share(endpoint.breaker)
                * endpoint.breaker.warm_rate_per_s
                / (1 if is_large_fleet else ready_count)
            )
            rate_per_s = max(
                rate_per_s, MIN_FLEET_SLOW_START_RATE_PER_S if is_large_fleet else MIN_SLOW_START_RATE_PER_S
            )
            new_tokens = rate_per_s * (now_us - endpoint.breaker.refilled_us) / 1e6
            endpoint.breaker.tokens = min(1.0, endpoint.breaker.tokens + new_tokens)
            endpoint.breaker.refilled_us = now_us
            if endpoint.breaker.tokens < 1.0:
                self.turn.wake_at(now_us + int((1 - endpoint.breaker.tokens) / rate_per_s * 1e6) + 1)
                return False
        return True

    def spend_token(self, endpoint: Endpoint) -> None:
        """Take the token of a call during a slow start or, in a large fleet, of a trial call."""
        if endpoint.breaker.slow_start_began_us >= 0 or endpoint.breaker.is_open and self.turn.is_large_fleet:
            endpoint.breaker.tokens -= 1.0
