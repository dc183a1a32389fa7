"""After a crowded discovery has refused a courier's calls, the courier does not ask again for up to 24 s."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, TROUBLE, Agent, Case, Endpoint, NotRunError, play, settings  # noqa: E402

FLEET, STARTED = 24, 8  # couriers that the settings name; of them, those that this case starts
CROWDED_S = 12.0  # for so long discovery refuses watches
TOLD_S, GRACE_S, SLACK_S = 6.0, 0.5, 0.05  # told at the latest; drainGraceUs; time limits on sockets
PARTNER, LIFE_MS = 7, 8000


async def story(case: Case) -> int:
    """Replace the only endpoint of a partner while discovery is crowded."""
    record, agent = case.record, Agent(case.record, "discovery")
    await agent.start()
    old, new = Endpoint(record, "s-old"), Endpoint(record, "s-new")
    for endpoint in (old, new):
        await endpoint.start()
    agent.add(old.uid, old.port, PARTNER, "directory", 400.0)
    couriers = [
        case.courier(
            f"n{me}",
            agent.port,
            agent.known(),
            settings(membershipMode="on_request", groupSize=FLEET, me=me),
        )
        for me in range(STARTED)
    ]
    await asyncio.gather(*(courier.start() for courier in couriers))

    async def load() -> None:
        while True:
            for courier in couriers:
                case.keep(case.clients.put(courier.port, "episode-status", PARTNER, LIFE_MS))
            await asyncio.sleep(0.25)

    case.keep(load())
    await asyncio.sleep(3)
    if TROUBLE:
        record("discovery: crowded, ends its watches and refuses new ones")
        agent.watch_status = 503
        for writer in list(agent.watches):
            writer.close()
    await asyncio.sleep(CROWDED_S - 1.0)
    agent.add(new.uid, new.port, PARTNER, "directory", 400.0)
    agent.change(new.uid, boot_ms=0)
    agent.change(old.uid, state="terminating")
    await asyncio.sleep(1.0)
    agent.watch_status = 200
    reached_at = record.now()
    record("discovery: takes every watch again")
    await asyncio.sleep(28)
    if any(courier.crashed() for courier in couriers) or not old.calls:
        raise NotRunError(f"no traffic: {couriers[0].log_tail()}")
    limit_s = TOLD_S + GRACE_S + SLACK_S
    late = [call.at - reached_at for call in old.calls if call.at > reached_at + limit_s]
    record.say(
        f"calls to the draining endpoint over {limit_s:.2f} s after discovery was back: {len(late)}"
        + (f", from {late[0]:.2f} s to {late[-1]:.2f} s" if late else "")
        + f"; calls to its replacement: {len(new.calls)}"
    )
    return BROKEN if late else HELD


play(__file__, story)
