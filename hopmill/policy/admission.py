"""Which new messages are refused before any attempt, and when their clients may resubmit them."""

from __future__ import annotations

import math

from hopmill.policy.pacing import Pacing
from hopmill.policy.state import Destination, Message
from hopmill.policy.turn import Turn

UNRETURNED_LIMIT = 20  # after this many refusals without a resubmission, clients are assumed not to resubmit
MAX_UNSENT_SHARE = 0.9  # of new messages that are refused before any attempt
ROOM_SHARE = 0.8  # of Settings.max_held: below it there is room again


class Admission:
    """Refuses new messages that have no prospect of being delivered."""

    def __init__(self, turn: Turn, pacing: Pacing, max_attempts: int) -> None:
        """max_attempts: of one message, the first included."""
        self.turn = turn
        self.settings = turn.settings
        self.pacing = pacing
        self.max_attempts = max_attempts
        self.is_full = False
        self.refusals_without_resubmission = 0  # of messages that had time for one, since the last one

    def is_spent(self, message: Message) -> bool:
        """Return whether no attempt is left: the final answer is due at once."""
        return message.counted_attempts >= self.max_attempts or self.turn.now_us >= message.last_send_us(
            self.turn.deadline_margin_us
        )

    def come_back_us(self) -> int:
        """Jittered retry-after for a message that the courier has no room for."""
        return int(self.settings.max_retry_after_us * self.turn.rng.uniform(0.5, 1))

    def refusal_share(self, destination: Destination, lifetime_us: int) -> float:
        """Return the share of new messages to refuse unsent: the share of the destination's refused calls.

        Where refused calls use up the limit too, a destination of many couriers refuses nearly all calls once
        they exceed its limit, and resubmissions keep it there. One courier sees too few refusals to pace
        itself, but a random share, taken by all of them, adds up.
        """
        pacing = self.pacing
        if destination.lanes and all(lane.pace_per_s for lane in destination.lanes):
            pace_per_s = sum(pacing.current_pace_per_s(lane) for lane in destination.lanes)
            call_count = math.ceil(len(destination.queue) / self.settings.kinds[destination.kind].batch)
            calls_ahead = call_count - sum(pacing.refill(lane) for lane in destination.lanes)
            return float(calls_ahead / pace_per_s * 1e6 > lifetime_us)
        # For lanes without calls; counts only if most calls to the kind are refused.
        kind_share = pacing.refused_share_by_kind[destination.kind] ** 2
        shares = [
            lane.refused_share if lane.refused_share or lane.last_success_us else kind_share
            for lane in destination.lanes
            if not lane.pace_per_s
        ]
        return min(MAX_UNSENT_SHARE, sum(shares) / max(1, len(destination.lanes)))

    def should_refuse(self, message: Message) -> bool:
        """Return whether to refuse a new message, at random by the refusal share; in a large fleet only."""
        return self.turn.is_large_fleet and self.turn.rng.random() < self.refusal_share(
            message.destination, message.valid_until_us - self.turn.now_us
        )

    def record_load(self, messages: int, calls_in_flight: int) -> None:
        """Log when the room for messages runs out or is there again."""
        is_full = messages >= self.settings.max_held - 1
        if is_full != self.is_full and (is_full or messages < self.settings.max_held * ROOM_SHARE):
            self.is_full = is_full
            self.turn.log(
                f"held: {'full' if is_full else 'room'}; {calls_in_flight}/{self.settings.slots} slots used"
            )

    def should_wait(self, message: Message) -> bool:
        """Return whether a message whose call was refused waits here instead of being refused as well.

        It does where clients mark resubmissions and many refusals brought none: there a refusal is a loss.
        """
        return (
            self.settings.clients_mark_retries
            and self.refusals_without_resubmission >= UNRETURNED_LIMIT
            and message.counted_attempts < self.max_attempts
        )
