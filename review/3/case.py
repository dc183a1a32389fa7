"""Order of a class across an upgrade; claim.txt says what is claimed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig  # noqa: E402

KEY_REST_S = 4.0  # contract.keyRestUs of the settings
SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
SLOW_S = 4.5  # how long the endpoint works on a call of the first message of a round
FIRST_LIFE_MS = 1500  # `d` of the first message
SECOND_LIFE_MS = 28000
WAIT_S = 8.0  # how long the second message's call is waited for
ROUNDS = 3
PARTNER = 7


class Endpoint:
    """The partner's only endpoint. Each message overwrites the state of its key."""

    def __init__(self, record: rig.Record) -> None:
        """No message is slow at first."""
        self.record = record
        self.slow: set[str] = set()  # ids whose calls take SLOW_S
        self.calls: dict[str, float] = {}  # id: when its first call's last byte arrived
        self.given_up: dict[str, float] = {}  # id: when the courier ended the connection of its newest call
        self.effects: list[str] = []  # ids, in the order in which they took effect

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection."""
        while True:
            _, _, headers, _ = await rig.read_http(reader)
            message = headers["x-request-id"]
            self.calls.setdefault(message, self.record.add(f"endpoint: call {message} arrived"))
            if message in self.slow:
                # Its work goes on when the courier gives the call up.
                asyncio.get_running_loop().call_later(SLOW_S, self._take_effect, message)
                await reader.read(1)
                self.given_up[message] = self.record.add(f"endpoint: the call {message} was given up")
                return
            await asyncio.sleep(0.05)
            self._take_effect(message)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def _take_effect(self, message: str) -> None:
        self.effects.append(message)
        self.record.add(f"endpoint: {message} took effect")


async def hand_in(port: int, messages: list[tuple[str, int]], key: bytes, record: rig.Record) -> None:
    """Hand the messages (id, life in ms) in, one after the other, on one connection."""
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    for message, life_ms in messages:
        writer.write(rig.put(message, "episode-status", PARTNER, life_ms, key=key))
        answer = await asyncio.wait_for(reader.readline(), rig.CLIENT_WAIT_S)
        record.add(f"client: {message} d={life_ms} key {key.decode()}: {answer.decode().strip()}")
        if not answer.startswith(b"+"):
            raise rig.CannotRunError(f"{message} was not taken on")
    writer.close()


async def wait_for(condition, limit_s: float, what: str) -> None:
    """Wait until the condition holds."""
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise rig.CannotRunError(f"in {limit_s} s not seen: {what}")
        await asyncio.sleep(0.01)


async def case() -> bool:
    """Return whether the key rested in each round."""
    record = rig.Record(HERE)
    endpoint = Endpoint(record)
    server, port = await rig.serve(endpoint.connection)
    discovery = await rig.Discovery(record, [rig.target("s-5be2a07c", port, PARTNER)]).start()
    classes = [rig.EPISODE_STATUS | {"sequential": True}]
    settings = rig.settings(classes, keyRestUs=int(KEY_REST_S * 1e6))
    platform = rig.Platform(record, discovery, settings, holds_listener=True)
    broken = 0
    try:
        process, operator = platform.start()
        await platform.wait_until_yes(process, operator)
        await hand_in(platform.port, [("0000000000000001", SECOND_LIFE_MS)], b"0" * 16, record)
        await asyncio.sleep(1.5)  # discovery and the endpoint have answered once
        for number in range(ROUNDS):
            first, second, key = f"a{number:015x}", f"b{number:015x}", b"7f3a9c21e0b4d65%d" % number
            endpoint.slow.add(first)
            await hand_in(platform.port, [(first, FIRST_LIFE_MS), (second, SECOND_LIFE_MS)], key, record)
            await wait_for(
                lambda first=first: first in endpoint.given_up and first in discovery.notices,
                5,
                f"the end of {first}",
            )
            if rig.TROUBLE:
                await asyncio.sleep(0.1)
                process = await platform.upgrade(process)
            await wait_for(lambda second=second: second in endpoint.calls, WAIT_S, f"a call of {second}")
            rested_s = endpoint.calls[second] - endpoint.given_up[first]
            held = rested_s >= KEY_REST_S - SLACK_S
            broken += not held
            record.add(
                f"judge: round {number}: the key rested {rested_s:.3f} of {KEY_REST_S} s: "
                f"{'held' if held else 'BROKEN'}"
            )
            await asyncio.sleep(max(0.0, KEY_REST_S - rested_s) + 0.2)
            latest = [message for message in endpoint.effects if message in (first, second)][-1]
            record.add(f"judge: round {number}: the partner is left with the state of {latest}")
    finally:
        platform.close()
        server.close()
        discovery.close()
    record.add(f"judge: the rule was broken in {broken} of {ROUNDS} rounds")
    return not broken


if __name__ == "__main__":
    rig.play(case)
