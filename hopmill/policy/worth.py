"""What delivering a message is worth: by its class, its tenant's share of the traffic, and its delay."""

from __future__ import annotations

from hopmill.policy.state import Message
from hopmill.policy.turn import Turn


class Worth:
    """The worth of messages, with a bucket per tenant: [quota per second, tokens, time of last refill]."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.settings = turn.settings
        self.tenant_buckets = [
            [tenant_settings.quota_per_s / turn.settings.couriers, 1.0, 0]
            for tenant_settings in turn.settings.tenants
        ]

    def tenant_factor(self, tenant: int) -> float:
        """Factor for the worth of a new message: traffic above its tenant's quota is worth less."""
        if tenant >= len(self.tenant_buckets):
            return 1.0
        bucket, now_us = self.tenant_buckets[tenant], self.turn.now_us
        bucket[1], bucket[2] = (
            min(max(1.0, bucket[0]), bucket[1] + bucket[0] * (now_us - bucket[2]) / 1e6),
            now_us,
        )
        if bucket[1] < 1.0:
            return self.settings.over_share_worth
        bucket[1] -= 1.0
        return 1.0

    def at(self, message: Message, at_us: float) -> float:
        """Worth of delivering the message at `at_us`."""
        message_class = message.message_class
        age_us = at_us - message.created_us
        if age_us <= message_class.aim_us:
            return message.weight
        if at_us >= message.valid_until_us:
            return 0.0
        if self.settings.late_halves:
            return message.weight * max(
                message_class.late_share, 0.5 ** ((age_us - message_class.aim_us) / message_class.aim_us)
            )
        return message.weight * (
            1
            - (1 - message_class.late_share)
            * (age_us - message_class.aim_us)
            / max(1, message_class.deadline_us - message_class.aim_us)
        )
