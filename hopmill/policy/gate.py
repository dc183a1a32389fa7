"""Whether an endpoint may get a call now, and whether a message may be sent to it."""

from __future__ import annotations

import math

from hopmill.interface import Effect, EndpointState
from hopmill.policy.circuit import CircuitBreakers
from hopmill.policy.pacing import Pacing
from hopmill.policy.state import CourierState, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.zones import Zones

MAX_AMBIGUOUS_SHARE = 0.15  # of calls that failed but may have run; above it unsafe messages wait
AMBIGUOUS_WAIT_US = 250_000  # until such a message is looked at again


class Gate:
    """The conditions that a call has to meet before it is sent."""

    def __init__(
        self,
        turn: Turn,
        state: CourierState,
        pacing: Pacing,
        breakers: CircuitBreakers,
        timeouts: Timeouts,
        zones: Zones,
        max_attempts: int,
    ) -> None:
        """max_attempts: of one message, the first included."""
        self.turn = turn
        self.settings = turn.settings
        self.state = state
        self.max_attempts = max_attempts
        self.pacing = pacing
        self.breakers = breakers
        self.timeouts = timeouts
        self.zones = zones

    def may_serve(self, endpoint_id: int, zone: int) -> bool:
        """Return whether operators let the endpoint have calls, and connections for them."""
        return endpoint_id not in self.state.excluded_endpoints and zone not in self.zones.excluded

    def is_serving(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint list and the operators let the endpoint have calls."""
        return endpoint.state is EndpointState.READY and self.may_serve(endpoint.id, endpoint.zone)

    def has_capacity(self, endpoint: Endpoint, has_quick_retry: bool = False) -> bool:
        """Return whether the lane permits a call: drain, retry-after, slots, windows, pace, breaker."""
        lane, state, max_calls = endpoint.lane, self.state, self.pacing.max_calls(endpoint.lane.destination)
        is_busy = (
            state.calls_in_flight >= self.settings.slots
            or lane.destination.calls_in_flight >= max_calls
            or lane.calls_in_flight >= int(lane.window)
        )
        if is_busy or not self.is_serving(endpoint):
            return False
        if self.turn.now_us < lane.wait_until_us:
            self.turn.wake_at(lane.wait_until_us)
            return False
        return self.breakers.allows(endpoint, has_quick_retry) and self.pacing.allows(lane)

    def may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether the message permits an attempt now: attempts, effect class, key order, deadline."""
        turn, state, now_us = self.turn, self.state, self.turn.now_us
        left_us = min(message.valid_until_us, turn.shutdown_deadline_us) - now_us - turn.deadline_margin_us
        # Before a shutdown the call has to end in time.
        if turn.shutdown_deadline_us < math.inf and left_us < self.timeouts.for_lane(endpoint.lane):
            return False
        if (
            message.is_closed
            or message.attempts_in_flight
            or message.counted_attempts >= self.max_attempts
            or left_us <= 0
            or now_us >= message.last_send_us(turn.deadline_margin_us)
        ):
            return False
        if now_us < message.ready_us:
            turn.wake_at(message.ready_us)
            return False
        if (
            turn.is_large_fleet
            and endpoint.breaker.is_open
            and endpoint.breaker.tokens < 1.0
            and not message.failed_quickly
        ):
            return False
        if (
            message.may_have_run_since_us >= 0
            and message.is_zone_bound
            and endpoint.zone != message.may_have_run_zone
        ):
            return False
        if message.order_key and (
            state.order_queues[message.order_key][0] is not message
            or message.attempts == 0
            and now_us < state.order_pauses_us.get(message.order_key, 0)
        ):
            if message.attempts == 0 and state.order_pauses_us.get(message.order_key, 0) > now_us:
                turn.wake_at(state.order_pauses_us[message.order_key])
            return False
        # An unsafe message that may have run cannot be repeated: it waits while calls there fail that way.
        if (
            message.message_class.effect is Effect.UNSAFE
            and self.breakers.current_ambiguous_share(endpoint) > MAX_AMBIGUOUS_SHARE
            and left_us > 4 * endpoint.lane.mean_latency_us
        ):
            turn.wake_at(now_us + AMBIGUOUS_WAIT_US)
            return False
        return True
