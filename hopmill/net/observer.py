"""What happens to each message and call, told as debug lines and counted where somebody may ask.

The host tells it; nothing here changes a decision. Counting is off unless the operators' door is open.
"""

from __future__ import annotations

import time
from typing import Protocol

from hopmill import interface as i
from hopmill import logs
from hopmill.net.state import Held

log = logs.part("messages")


class Meters(Protocol):
    """What is counted: hopmill/net/metrics.py, or nothing."""

    def message(self, cls: int, end: str, latency_s: float | None = None) -> None: ...
    def call(self, partner: int, result: str, latency_s: float) -> None: ...
    def turn(self, seconds: float, late_s: float) -> None: ...


class Observer:
    """Follows messages by their ids from put to end."""

    def __init__(self, settings: i.Settings) -> None:
        self.s = settings
        self.meters: Meters | None = None
        # Of messages and calls that ended: worth, earned, calls, refused as full, failed otherwise; counted
        # where a change of the fleet's policy is watched by them.
        self.counting, self.sums = False, [0.0] * 5
        self.taken_at: dict[int, float] = {}  # by number, while it is open and counted

    def _cls(self, m: Held) -> str:
        return self.s.classes[m.cls].name

    def put(self, m: Held, life_ms: int) -> None:
        if log.debug_enabled:
            tenant = self.s.tenants[m.tenant].name if self.s.tenants else None
            log.debug(
                "message.put",
                message=m.id,
                cls=self._cls(m),
                tenant=tenant,
                partner=m.dest,
                life_ms=life_ms,
                bytes=len(m.body),
                resubmitted=m.resubmitted,
            )

    def refused(self, m: Held, wait_us: int) -> None:
        """Answered -BUSY or -ERR before it was taken on."""
        if log.debug_enabled:
            log.debug("message.refused", message=m.id, again_ms=-(-wait_us // 1000))
        self._earned(m, False)
        if self.meters:
            self.meters.message(m.cls, "refused")

    def taken(self, m: Held) -> None:
        log.debug("message.taken", message=m.id)
        if self.meters:
            self.taken_at[m.number] = time.monotonic()
            self.meters.message(m.cls, "taken")

    def sent(self, m: Held, attempt: int, endpoint: str, timeout_us: int) -> None:
        if log.debug_enabled:
            log.debug(
                "attempt.sent",
                message=m.id,
                attempt=attempt,
                endpoint=endpoint,
                timeout_ms=timeout_us // 1000,
            )

    def ended(
        self, m: Held, attempt: int, endpoint: str, result: i.Result, latency_us: int, wait_us: int
    ) -> None:
        if log.debug_enabled:
            log.debug(
                "attempt.ended",
                message=m.id,
                attempt=attempt,
                endpoint=endpoint,
                result=result.value,
                latency_ms=round(latency_us / 1e3, 1),
                wait_ms=wait_us // 1000 or None,
            )
        if self.counting:
            self.sums[2] += 1
            self.sums[3] += result is i.Result.FULL
            self.sums[4] += result not in (i.Result.OK, i.Result.FULL, i.Result.MOOT)
        if self.meters:
            self.meters.call(m.dest, result.value, latency_us / 1e6)

    def over(self, m: Held, status: str, again_ms: int = 0) -> None:
        """status: delivered (or withdrawn by its endpoint), deferred or undeliverable."""
        if log.debug_enabled:
            log.debug("message.over", message=m.id, status=status, again_ms=again_ms or None)
        self._earned(m, status in ("delivered", "withdrawn"))
        if self.meters:
            since = self.taken_at.pop(m.number, None)
            self.meters.message(m.cls, status, None if since is None else time.monotonic() - since)

    def _earned(self, m: Held, delivered: bool) -> None:
        if self.counting:
            worth = self.s.classes[m.cls].worth
            self.sums[0] += worth
            self.sums[1] += worth * delivered

    def told(self, m: Held) -> None:
        """The platform has accepted its notice."""
        log.debug("notice.accepted", message=m.id, status=m.status)
