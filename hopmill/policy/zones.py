"""How much of the traffic that has another choice a zone may get. No I/O, no clock.

Zones are excluded and brought back by operators only: no decision is made here from the outcomes of calls.
"""

from __future__ import annotations

import random

RETURN_JITTER_SHARE = 0.25  # of the duration of a return, either way: couriers do not return in step


class Zones:
    """The zones that operators have excluded, and those that are returning."""

    def __init__(self, cold_share: float, cold_us: int, rng: random.Random) -> None:
        """cold_share: of its capacity that a returning zone begins with. cold_us: until it has all of it."""
        self.cold_share = cold_share
        self.cold_us = max(1, cold_us)
        self.rng = rng
        self.excluded: set[int] = set()
        self.returning: dict[int, tuple[int, int]] = {}  # from when until when, in microseconds

    def exclude(self, zone: int) -> None:
        """No further calls to the zone."""
        self.excluded.add(zone)
        self.returning.pop(zone, None)

    def bring_back(self, zone: int, now_us: int) -> bool:
        """Let an excluded zone return gradually, with real messages. False if it was not excluded."""
        if zone not in self.excluded:
            return False
        self.excluded.remove(zone)
        self.returning[zone] = (
            now_us,
            now_us + int(self.cold_us * self.rng.uniform(1 - RETURN_JITTER_SHARE, 1 + RETURN_JITTER_SHARE)),
        )
        return True

    def share(self, zone: int, now_us: int) -> float:
        """Return the share of its usual traffic that the zone may get now, from 0 to 1."""
        if zone in self.excluded:
            return 0.0
        if zone not in self.returning:
            return 1.0
        since_us, until_us = self.returning[zone]
        if now_us >= until_us:
            del self.returning[zone]
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0, now_us - since_us) / (until_us - since_us)

    def state(self, zone: int, now_us: int) -> tuple[str, float, str]:
        """For operators: state, share and reason."""
        share = self.share(zone, now_us)
        if zone in self.excluded:
            return "out", share, "left out by an operator"
        if zone in self.returning:
            return "returning", share, "brought back by an operator"
        return "serving", share, ""
