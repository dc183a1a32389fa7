"""A drain that discovery tells 4 s late is never learned, as long as discovery is that slow."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, TROUBLE, Agent, Case, Endpoint, NotRunError, play, settings  # noqa: E402

SLOW_S = 4.0  # from when discovery has something to tell until it writes it; answers to watches included
TOLD_S, GRACE_S, SLACK_S = 6.0, 0.5, 0.05  # told at the latest; drainGraceUs; time limits on sockets
PARTNER, LIFE_MS = 7, 8000


async def story(case: Case) -> int:
    """Replace the only endpoint of a partner while discovery is slow."""
    record, agent = case.record, Agent(case.record, "discovery")
    await agent.start()
    old, new = Endpoint(record, "s-old"), Endpoint(record, "s-new")
    for endpoint in (old, new):
        await endpoint.start()
    agent.add(old.uid, old.port, PARTNER, "directory", 20.0)
    courier = case.courier("n0", agent.port, agent.known(), settings(membershipMode="on_request"))
    await courier.start()

    async def load() -> None:
        while True:
            case.keep(case.clients.put(courier.port, "episode-status", PARTNER, LIFE_MS))
            await asyncio.sleep(0.1)

    case.keep(load())
    await asyncio.sleep(3)
    if TROUBLE:
        record(f"discovery: from now on {SLOW_S} s late")
        agent.delay_s = SLOW_S
    await asyncio.sleep(4)
    agent.add(new.uid, new.port, PARTNER, "directory", 20.0)
    agent.change(new.uid, boot_ms=0)
    agent.change(old.uid, state="terminating")
    had_at = record.now()
    await asyncio.sleep(16)
    if courier.crashed() or not old.calls:
        raise NotRunError(f"no traffic: {courier.log_tail()}")
    limit_s = TOLD_S + GRACE_S + SLACK_S
    late = [call.at - had_at for call in old.calls if call.at > had_at + limit_s]
    record.say(
        f"calls to the draining endpoint over {limit_s:.2f} s after discovery had the drain: {len(late)}"
        + (f", from {late[0]:.2f} s to {late[-1]:.2f} s" if late else "")
        + f"; calls to its replacement: {len(new.calls)}"
    )
    return BROKEN if late else HELD


play(__file__, story)
