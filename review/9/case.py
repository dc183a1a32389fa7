"""A restarted courier calls by its old list after 1 s, although discovery would answer a second later."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, TROUBLE, Agent, Case, Endpoint, NotRunError, play, settings  # noqa: E402

DOWN_S = 7.6  # the longest time that the brief gives for a courier that dies and comes back
SLOW_S = 2.0  # from a call to discovery until its answer
TOLD_S, GRACE_S, SLACK_S = 6.0, 0.5, 0.05  # told at the latest; drainGraceUs; time limits on sockets
PARTNER, LIFE_MS = 7, 20_000


async def story(case: Case) -> int:
    """Kill the courier, replace an endpoint while it is down, and let discovery be slow as it returns."""
    record, agent = case.record, Agent(case.record, "discovery")
    await agent.start()
    old, new = Endpoint(record, "s-old"), Endpoint(record, "s-new")
    for endpoint in (old, new):
        await endpoint.start()
    agent.add(old.uid, old.port, PARTNER, "payment-provider", 20.0)
    courier = case.courier("n0", agent.port, agent.known(), settings(membershipMode="on_request"))
    await courier.start()
    for _ in range(20):
        await case.clients.put(courier.port, "episode-status", PARTNER, LIFE_MS)
        await asyncio.sleep(0.1)
    await courier.kill()
    killed_at = record.now()
    await asyncio.sleep(0.5)
    agent.add(new.uid, new.port, PARTNER, "payment-provider", 20.0)
    agent.change(new.uid, boot_ms=0)
    agent.change(old.uid, state="terminating")
    had_at = record.now()
    if TROUBLE:
        record(f"discovery: from now on it answers {SLOW_S} s after a call")
        agent.delay_s = SLOW_S
    await asyncio.sleep(killed_at + DOWN_S - record.now())
    started_at = record.now()
    await courier.start()

    async def load() -> None:
        while True:
            case.keep(case.clients.put(courier.port, "episode-status", PARTNER, LIFE_MS))
            await asyncio.sleep(0.1)

    case.keep(load())
    await asyncio.sleep(8)
    if courier.crashed() or not new.calls:
        raise NotRunError(f"no traffic: {courier.log_tail()}")
    # Told 6 s after discovery had it; a process that starts later is told from its first moment on.
    limit = max(had_at + TOLD_S, started_at) + GRACE_S + SLACK_S
    late = [call.at for call in old.calls if call.at > limit]
    record.say(
        f"the process started {started_at - had_at:.2f} s after discovery had the drain; calls to the "
        f"draining endpoint over {GRACE_S + SLACK_S:.2f} s after the start: {len(late)}"
        + (f", from {late[0] - started_at:.2f} s to {late[-1] - started_at:.2f} s" if late else "")
        + f"; calls to its replacement: {len(new.calls)}"
    )
    return BROKEN if late else HELD


play(__file__, story)
