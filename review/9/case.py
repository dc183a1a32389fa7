"""The rest of an order key is forgotten at a planned restart if the message before has ended."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, TROUBLE, Agent, Call, Case, Client, Endpoint, NotRunError, command  # noqa: E402
from rig_2 import play, settings  # noqa: E402

REST_S, SLACK_S = 3.0, 0.05  # keyRestUs; time limits on sockets
PARTNER, LIFE_MS, KEY = 7, 24_000, b"00000000000000a7"


async def story(case: Case) -> int:
    """Let the endpoint hang under the first message of a key while the courier is told to end."""
    record, agent, hung = case.record, Agent(case.record), asyncio.Event()
    await agent.start()
    endpoint = Endpoint(record, "s-0")
    ends: dict[str, float] = {}  # when the courier gave up the call with a message

    async def behave(call: Call) -> bytes | None:
        if hung.is_set() and call.ids == ["first"]:
            return None
        return await endpoint.deliver(call)

    endpoint.behave = behave
    endpoint.on_given_up = lambda call: ends.setdefault(call.ids[0], record.now())
    await endpoint.start()
    agent.add(endpoint.uid, endpoint.port, PARTNER, "payment-provider", 20.0)
    given = settings(contract__keyRestUs=int(REST_S * 1e6))
    given["classes"][1]["sequential"] = True
    courier = case.courier("n0", agent.port, agent.known(), given)
    await courier.start()

    async def put(message_id: str) -> None:
        client = Client(record, courier.port)
        await client.open()
        fields = f"c=payout-order,t=kuzey-medya,d={LIFE_MS},dest={PARTNER}".encode()
        reply = await client.ask(command(b"MSG.PUT", KEY, message_id.encode(), fields, b"hello"))
        record(f"client: {message_id}: {reply}")
        client.close()
        if reply != "+OK":
            raise NotRunError(f"{message_id} was answered {reply}")

    for number in range(8):  # the courier learns how long calls take
        await put(f"before-{number}")
    await asyncio.sleep(1.5)
    record("endpoint: hangs under the next message")
    hung.set()
    await put("first")
    await asyncio.sleep(0.3)
    await put("second")
    await asyncio.sleep(0.7)  # the courier waits 4 s for an answer, so it gives up while it is told to end
    if TROUBLE:
        courier.signal(signal.SIGTERM)
        assert courier.process is not None
        try:
            await asyncio.wait_for(courier.process.wait(), 3.7)
        except TimeoutError:
            await courier.kill()
        record(f"n0: ended with {courier.process.returncode}")
        await asyncio.sleep(0.6)
        await courier.start()
    await asyncio.sleep(8)
    called = {call.ids[0]: call.at for call in endpoint.calls}
    if "second" not in called or "first" not in ends:
        raise NotRunError(f"calls: {called}, given up: {ends}")
    rest_s = called["second"] - ends["first"]
    record.say(
        f"the next call of the key came {rest_s:.2f} s after the one before was given up; {REST_S} s are due"
    )
    return BROKEN if rest_s < REST_S - SLACK_S else HELD


play(__file__, story)
