"""After an upgrade a keyed message is repeated in another zone than the one where it has run."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, HOST, TROUBLE, Agent, Call, Case, Client, Endpoint, NotRunError  # noqa: E402
from rig_2 import command, done, play, settings  # noqa: E402

ROUNDS = 3  # one message, one endpoint that goes and one upgrade each
PARTNER, LIFE_MS = 7, 12_000


async def story(case: Case) -> int:
    """Let an endpoint vanish after it has run a message; upgrade the courier before the call times out."""
    record, agent = case.record, Agent(case.record)
    await agent.start()
    ran: dict[str, list[str]] = {}  # zones in which a message has run, in order
    vanished: set[str] = set()

    def endpoint(uid: str, zone: str) -> Endpoint:
        place = Endpoint(record, uid)

        async def behave(call: Call) -> bytes | None:
            await asyncio.sleep(0.05)
            for message_id in call.ids:
                ran.setdefault(message_id, []).append(zone)
                record(f"{uid}: {message_id} has run in {zone}")
            return None if uid in vanished else done(call)

        place.behave = behave
        return place

    given = settings()
    given["classes"][1] |= {
        "idempotency": "idempotency_key",
        "keyScope": "zone",
        "goalTimeUs": 2_000_000,
        "deadlineUs": 12_000_000,
        "keyTtlUs": 4_000_000,
    }
    first = endpoint("s-0", "hall-b")
    await first.start()
    agent.add("s-0", first.port, PARTNER, "payment-provider", 20.0, "hall-b")
    agent.change("s-0", boot_ms=0)
    listening = socket.create_server((HOST, 0), backlog=512)
    courier = case.courier("n0", agent.port, agent.known(), given, listen_fd=listening, operator=True)
    await courier.start()
    for number in range(ROUNDS):
        uid, message_id = f"s-{number}", f"{number + 1:016x}"
        vanished.add(uid)  # it runs what it gets, and its answer never arrives
        client = Client(record, courier.port)
        await client.open()
        fields = f"c=payout-order,t=kuzey-medya,d={LIFE_MS},dest={PARTNER},k=key-{message_id}".encode()
        reply = await client.ask(command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields, b"hello"))
        client.close()
        record(f"client: {message_id}: {reply}")
        if reply != "+OK":
            raise NotRunError(f"answered {reply}")
        async with asyncio.timeout(5):
            while message_id not in ran:
                await asyncio.sleep(0.01)
        # Its machine is gone: the list says so and names others, one of them in the other hall.
        other = endpoint(f"s-other-{number}", "hall-a")
        await other.start()
        agent.add(other.uid, other.port, PARTNER, "payment-provider", 20.0, "hall-a")
        agent.change(other.uid, boot_ms=0)
        agent.change(uid, state="terminated")
        del agent.targets[uid]
        await asyncio.sleep(0.1)
        if TROUBLE:
            await upgrade(case, courier)
        await asyncio.sleep(6)  # the window for repeats, 4 s from the first attempt, is over
        if courier.crashed():
            raise NotRunError(f"the courier has ended: {courier.log_tail()}")
        agent.change(other.uid, state="terminated")
        del agent.targets[other.uid]
        following = endpoint(f"s-{number + 1}", "hall-b")
        await following.start()
        agent.add(following.uid, following.port, PARTNER, "payment-provider", 20.0, "hall-b")
        agent.change(following.uid, boot_ms=0)
        await asyncio.sleep(0.5)
    listening.close()
    twice = {message_id: zones for message_id, zones in ran.items() if len(set(zones)) > 1}
    record.say(
        f"{len(ran)} messages, of which {len(twice)} have run in both halls: {twice}; "
        f"notices: {dict(Counter(notice['status'] for _, notice in agent.notices))}"
    )
    return BROKEN if twice else HELD


async def upgrade(case: Case, courier: object) -> None:
    """Start the second process, wait for its yes and tell the first one to end."""
    former = courier.process
    courier.new_operator_port()
    courier.process = await courier.launch()
    case.others.append(former)
    async with asyncio.timeout(6):
        while not await says_yes(courier.operator_port):
            await asyncio.sleep(0.01)
    case.record("n0: the second process says yes")
    if former.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            former.send_signal(signal.SIGTERM)


async def says_yes(port: int) -> bool:
    """Return whether the courier's health check answers 200."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: operator\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


play(__file__, story)
