"""How long to wait for an answer: from latencies, and from the share of calls that are lost."""

from __future__ import annotations

import math

from hopmill.interface import Effect
from hopmill.policy.state import Endpoint, Lane, Message
from hopmill.policy.turn import Turn

# A call is given up once it is probably lost. With a share p of calls lost and a latency tail that shrinks by
# a factor e per TAIL_DEVIATIONS deviations, the odds that the answer still comes have fallen to GIVE_UP_ODDS
# after TAIL_DEVIATIONS * ln(1 / (GIVE_UP_ODDS * p)) deviations.
TAIL_DEVIATIONS = 1.35
GIVE_UP_ODDS = 0.1
LOSS_DISCOUNT_FACTOR = (
    4.0  # a time-out is no evidence of an outage once 1/LOSS_DISCOUNT_FACTOR of calls are lost
)
MIN_LOSS_SHARE = 0.002  # share of calls assumed lost at least
LOSS_WEIGHT = 1 / 32  # of the newest call in the moving share of lost calls
HIGH_LOSS_SHARE = 0.01  # above this share, calls are being lost and not only slow
TRIAL_TIMEOUT_FACTOR = 0.6  # of the time-out, for a half-open trial call


class Timeouts:
    """Latencies and losses of calls, and the time-outs that follow from them."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.settings = turn.settings
        self.mean_slot_time_us = 1e5  # mean time that a call occupies a slot, over all lanes
        self.loss_share = MIN_LOSS_SHARE  # moving share of calls never answered while others are

    def for_lane(self, lane: Lane) -> int:
        """Time-out in microseconds of a call in the lane, from its latencies and the share of lost calls."""
        return int(
            lane.mean_latency_us
            + max(
                lane.mean_latency_us,
                lane.latency_deviation_us * TAIL_DEVIATIONS * math.log(1 / (GIVE_UP_ODDS * self.loss_share)),
            )
        )

    def record_slot_time(self, lane: Lane, latency_us: int) -> None:
        """Record how long a call has occupied its slot."""
        lane.slot_time_us += (latency_us - lane.slot_time_us) / 8
        self.mean_slot_time_us += (latency_us - self.mean_slot_time_us) / 32

    def record_latency(self, lane: Lane, latency_us: int) -> None:
        """Update the moving mean and deviation (after RFC 6298) and the loss share by an answered call."""
        self.loss_share = max(MIN_LOSS_SHARE, self.loss_share * (1 - LOSS_WEIGHT))
        if not lane.mean_latency_us:
            # One fast answer does not justify a short time-out: start from the mean of all calls.
            lane.mean_latency_us = lane.latency_deviation_us = max(float(latency_us), self.mean_slot_time_us)
        lane.latency_deviation_us += (abs(latency_us - lane.mean_latency_us) - lane.latency_deviation_us) / 8
        lane.mean_latency_us += (latency_us - lane.mean_latency_us) / 8

    def record_loss(self) -> None:
        """Record a call that was lost while others were answered."""
        self.loss_share += LOSS_WEIGHT * (1 - self.loss_share)

    def loss_discount(self) -> float:
        """Return how much less a time-out counts as evidence, from 0 to 1: more, the more calls are lost."""
        return min(1.0, LOSS_DISCOUNT_FACTOR * self.loss_share)

    def time_left_us(self, message: Message) -> int:
        """Time until the message has to be answered or the courier shuts down."""
        return (
            int(min(message.valid_until_us, self.turn.shutdown_deadline_us))
            - self.turn.now_us
            - self.turn.deadline_margin_us
        )

    def may_share_call(self, message: Message, other: Message, lane: Lane) -> bool:
        """Return whether `other` may travel in the call of `message`, which ends by its earliest deadline.

        A message with less time left than calls usually take would end the call too early for the others.
        """
        usual_us = (
            lane.mean_latency_us + 2 * lane.latency_deviation_us
            if lane.mean_latency_us
            else self.settings.connect_timeout_us
        )
        left_us, other_left_us = self.time_left_us(message), self.time_left_us(other)
        return other_left_us >= usual_us if left_us >= usual_us else left_us <= other_left_us < usual_us

    def for_call(self, messages: list[Message], endpoint: Endpoint, slots_short: bool) -> int:
        """One time-out in microseconds for all messages of a call. slots_short: few slots are free."""
        longest_us = max(self.for_attempt(message, endpoint, slots_short) for message in messages)
        return max(1, min(longest_us, *map(self.time_left_us, messages)))

    def for_attempt(self, message: Message, endpoint: Endpoint, slots_short: bool) -> int:
        """Time-out in microseconds for an attempt of one message by itself."""
        left_us = self.time_left_us(message)
        timeout_us, lane = left_us, endpoint.lane
        guess_us = (
            self.for_lane(lane)
            if lane.mean_latency_us
            else max(self.settings.connect_timeout_us, message.message_class.aim_us)
        )
        # An unsafe message gets one long attempt; but while slots are short, lost calls take those of others.
        if message.message_class.effect is Effect.UNSAFE:
            timeout_us = min(
                left_us,
                guess_us
                if slots_short and self.loss_share >= HIGH_LOSS_SHARE
                else max(guess_us, message.message_class.aim_us),
            )
        elif guess_us + lane.mean_latency_us * 2 < left_us:
            timeout_us = guess_us
        # A trial call to an endpoint that may hang holds its slot only briefly.
        if endpoint.breaker.is_open and message.message_class.effect is not Effect.UNSAFE:
            timeout_us = min(timeout_us, int(TRIAL_TIMEOUT_FACTOR * guess_us))
        return timeout_us
