"""What a message counts for: its class, its tenant's share of the traffic, and how late it is."""

from __future__ import annotations

from hopmill.policy.state import Message
from hopmill.policy.turn import Turn


class Worth:
    def __init__(self, turn: Turn) -> None:
        self.turn, self.settings = turn, turn.settings
        self.quota = [[t.quota_per_s / turn.settings.couriers, 1.0, 0] for t in turn.settings.tenants]

    def share(self, tenant: int) -> float:
        """Of a new message: traffic over its tenant's share is worth little."""
        if tenant >= len(self.quota):
            return 1.0
        q, now = self.quota[tenant], self.turn.now
        q[1], q[2] = min(max(1.0, q[0]), q[1] + q[0] * (now - q[2]) / 1e6), now
        if q[1] < 1.0:
            return self.settings.over_share_worth
        q[1] -= 1.0
        return 1.0

    def at(self, m: Message, at: float) -> float:
        """Worth of delivering m at that time."""
        c = m.cls
        age = at - m.born
        if age <= c.aim_us:
            return m.weight
        if at >= m.until:
            return 0.0
        if self.settings.late_halves:
            return m.weight * max(c.late_share, 0.5 ** ((age - c.aim_us) / c.aim_us))
        return m.weight * (1 - (1 - c.late_share) * (age - c.aim_us) / max(1, c.deadline_us - c.aim_us))
