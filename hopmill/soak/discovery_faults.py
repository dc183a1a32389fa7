"""Faults of a shared server of discovery: slow, refusing, or slow while a courier starts by an old list."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from hopmill.soak.agent import Refusal
from hopmill.soak.courier import SoakCourier
from hopmill.soak.endpoints import Endpoints
from hopmill.soak.records import SoakLedger
from hopmill.soak.schedule import Fault, Kind

DRAIN_S = 3.0  # how long an endpoint drains before it is gone
DRAIN_AFTER_S = 2.5  # from when discovery is slow until an endpoint begins to drain
DRAIN_BEFORE_S = 0.5  # from when an endpoint begins to drain until discovery no longer refuses
SLOW_AFTER_START_S = 5.0


class DiscoveryFaults:
    """start_process: starts a courier with the list as its former process had it."""

    def __init__(
        self,
        ledger: SoakLedger,
        endpoints: Endpoints,
        start_process: Callable[[SoakCourier, float], Awaitable[None]],
    ) -> None:
        self.ledger, self.endpoints, self.start_process = ledger, endpoints, start_process

    async def inject(self, courier: SoakCourier, fault: Fault) -> None:
        """Play one fault."""
        if fault.kind is Kind.DISCOVERY_SLOW:
            await self._be_slow(courier, fault)
        elif fault.kind is Kind.DISCOVERY_REFUSING:
            await self._refuse(courier, fault)
        elif not courier.process_lock.locked():
            async with courier.process_lock:
                await self._be_slow_at_a_start(courier, fault)

    async def _drain(self, fault: Fault, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.endpoints.replace(fault.choice, DRAIN_S)

    async def _be_slow(self, courier: SoakCourier, fault: Fault) -> None:
        courier.agent.delay_s = fault.late_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self._drain(fault, DRAIN_AFTER_S))
            await asyncio.sleep(fault.duration_s)
            courier.agent.delay_s = 0.0

    async def _refuse(self, courier: SoakCourier, fault: Fault) -> None:
        from_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._drain(fault, fault.duration_s - DRAIN_BEFORE_S))
            await courier.agent.be_refusing(Refusal(fault.refusal), fault.duration_s)
            self.ledger.record_unreachable(courier.name, from_s, time.monotonic())

    async def _be_slow_at_a_start(self, courier: SoakCourier, fault: Fault) -> None:
        self.ledger.record_stop(courier.name)
        await courier.stop(signal.SIGKILL)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._drain(fault, 0.0))
            await asyncio.sleep(fault.duration_s)
            courier.agent.delay_s = fault.late_s
            await self.start_process(courier, 0.0)
            await asyncio.sleep(SLOW_AFTER_START_S)
            courier.agent.delay_s = 0.0
