"""What the outcome of a call shows, passed on to each module that learns from it."""

from __future__ import annotations

from hopmill.interface import Result
from hopmill.policy.circuit import CircuitBreakers
from hopmill.policy.connections import Connections
from hopmill.policy.pacing import Pacing
from hopmill.policy.state import RECENT_SUCCESS_US, Call, Endpoint
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn

OUTAGE_RETRY_AFTER_US = 2_500_000  # longer than any rate-limit window: such a retry-after means an outage


class Evidence:
    """Interprets the outcomes of calls."""

    def __init__(
        self,
        turn: Turn,
        pacing: Pacing,
        breakers: CircuitBreakers,
        timeouts: Timeouts,
        connections: Connections,
    ) -> None:
        self.turn = turn
        self.pacing = pacing
        self.breakers = breakers
        self.timeouts = timeouts
        self.connections = connections

    def record_outcome(
        self, endpoint: Endpoint, result: Result, call: Call, latency_us: int, retry_after_us: int
    ) -> None:
        """Record the outcome of a call, once per call. retry_after_us: the announced wait, 0 if none."""
        lane, now_us = endpoint.lane, self.turn.now_us
        self.connections.record_outcome(endpoint, result, call)
        if result is Result.OK:
            self.record_success(endpoint, latency_us)
            return
        if result in (Result.CANCELLED, Result.MOOT):
            return
        if result is Result.FULL:
            self.pacing.record_overload(lane, retry_after_us)
            if retry_after_us > OUTAGE_RETRY_AFTER_US:
                self.breakers.record_outage_wait(endpoint)
                return
            if now_us - endpoint.last_success_us < RECENT_SUCCESS_US:
                is_turned_away = (
                    not retry_after_us
                    and endpoint.last_reuse_success_us > call.sent_us - RECENT_SUCCESS_US
                    and self.pacing.has_limit_left(lane)
                )
                if is_turned_away and endpoint.connection_budget.record_refusal(call.connection_idle_us < 0):
                    self.connections.record_full_table(endpoint)
                return
        elif result is Result.TIMEOUT:
            # If calls sent at the same time or later were answered, this call was lost and there is no
            # outage: a period of losses must not put whole lanes into recovery.
            others_answered = endpoint.last_success_us > call.sent_us
            self.pacing.record_timeout(lane, others_answered)
            if others_answered:
                self.timeouts.record_loss()
                return
        elif (
            result is Result.CONNECT_FAILED
            and now_us - endpoint.last_success_us < RECENT_SUCCESS_US
            and endpoint.calls_in_flight
        ):
            self.connections.record_full_table(endpoint)  # the endpoint itself answers
            return
        if result in (Result.ERROR, Result.TIMEOUT, Result.RESET):
            self.breakers.record_ambiguous_failure(endpoint)
        discount = self.timeouts.loss_discount() if result is Result.TIMEOUT else 0.0
        self.breakers.record_failure(endpoint, result, call is endpoint.breaker.trial_call, 1 - discount)

    def record_success(self, endpoint: Endpoint, latency_us: int) -> None:
        """Record a delivery. latency_us: 0 if it is not known."""
        endpoint.last_success_us = self.turn.now_us
        self.breakers.lower_failure_shares(endpoint)
        if latency_us:
            self.timeouts.record_latency(endpoint.lane, latency_us)
        self.pacing.record_success(endpoint.lane)
        self.breakers.close_after_success(endpoint)
