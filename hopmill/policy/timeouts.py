"""How long a call is waited for: from latencies, and from how many calls are lost anyway."""

from __future__ import annotations

import math

from hopmill.interface import Effect
from hopmill.policy.state import Endpoint, Lane, Message
from hopmill.policy.turn import Turn

# A call is given up once it is likely lost: with a share p of calls lost and a tail that shrinks by e for
# each TAIL_X deviations, the odds that it still comes are ALIVE after TAIL_X * ln(1 / (ALIVE * p)) of them.
TAIL_DEVIATIONS = 1.35
GIVE_UP_ODDS = 0.1
LOSS_DISCOUNT_FACTOR = 4.0  # at 1/LOST_X lost, time-outs are no evidence
MIN_LOSS_SHARE = 0.002
LOSS_WEIGHT = 1 / 32  # least share of calls taken as lost, weight of the newest call
HIGH_LOSS_SHARE = 0.01  # over this share, calls are being lost, and not only slow
TRIAL_TIMEOUT_FACTOR = 0.6  # a half-open trial gets this share of the time-out


class Timeouts:
    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.settings = turn.settings
        self.mean_slot_time_us = 1e5  # time that a call takes a slot, over all calls
        self.loss_share = MIN_LOSS_SHARE  # share of calls that are never answered though others are

    def for_lane(self, lane: Lane) -> int:
        return int(
            lane.mean_latency_us
            + max(
                lane.mean_latency_us,
                lane.latency_deviation_us * TAIL_DEVIATIONS * math.log(1 / (GIVE_UP_ODDS * self.loss_share)),
            )
        )

    def record_slot_time(self, lane: Lane, latency_us: int) -> None:
        """A call has given its slot back."""
        lane.slot_time_us += (latency_us - lane.slot_time_us) / 8
        self.mean_slot_time_us += (latency_us - self.mean_slot_time_us) / 32

    def record_latency(self, lane: Lane, latency_us: int) -> None:
        self.loss_share = max(MIN_LOSS_SHARE, self.loss_share * (1 - LOSS_WEIGHT))
        if not lane.mean_latency_us:
            # One quick answer is no ground for a short time-out: start from the mean of all calls.
            lane.mean_latency_us = lane.latency_deviation_us = max(float(latency_us), self.mean_slot_time_us)
        lane.latency_deviation_us += (abs(latency_us - lane.mean_latency_us) - lane.latency_deviation_us) / 8
        lane.mean_latency_us += (latency_us - lane.mean_latency_us) / 8

    def record_loss(self) -> None:
        self.loss_share += LOSS_WEIGHT * (1 - self.loss_share)

    def loss_discount(self) -> float:
        """Where many calls are lost anyway, one without an answer says little of its endpoint."""
        return min(1.0, LOSS_DISCOUNT_FACTOR * self.loss_share)

    def time_left_us(self, message: Message) -> int:
        return (
            int(min(message.valid_until_us, self.turn.shutdown_deadline_us))
            - self.turn.now_us
            - self.turn.deadline_margin_us
        )

    def may_share_call(self, message: Message, other: Message, lane: Lane) -> bool:
        """Whether x may go in m's call, which ends with the first one's time: with less left than most calls
        take, one would end it too early for others."""
        usual_us = (
            lane.mean_latency_us + 2 * lane.latency_deviation_us
            if lane.mean_latency_us
            else self.settings.connect_timeout_us
        )
        left_us, other_left_us = self.time_left_us(message), self.time_left_us(other)
        return other_left_us >= usual_us if left_us >= usual_us else left_us <= other_left_us < usual_us

    def for_call(self, messages: list[Message], endpoint: Endpoint, slots_short: bool) -> int:
        """One time for all that go in it. short: slots are."""
        longest_us = max(self.for_attempt(message, endpoint, slots_short) for message in messages)
        return max(1, min(longest_us, *map(self.time_left_us, messages)))

    def for_attempt(self, message: Message, endpoint: Endpoint, slots_short: bool) -> int:
        left_us = self.time_left_us(message)
        timeout_us, lane = left_us, endpoint.lane
        guess_us = (
            self.for_lane(lane)
            if lane.mean_latency_us
            else max(self.settings.connect_timeout_us, message.message_class.aim_us)
        )
        if (
            message.message_class.effect is Effect.UNSAFE
        ):  # one long try; but where slots are short, lost calls take others'
            timeout_us = min(
                left_us,
                guess_us
                if slots_short and self.loss_share >= HIGH_LOSS_SHARE
                else max(guess_us, message.message_class.aim_us),
            )
        elif guess_us + lane.mean_latency_us * 2 < left_us:
            timeout_us = guess_us
        if (
            endpoint.breaker.is_open and message.message_class.effect is not Effect.UNSAFE
        ):  # a trial of what may hang: hold the slot briefly
            timeout_us = min(timeout_us, int(TRIAL_TIMEOUT_FACTOR * guess_us))
        return timeout_us
