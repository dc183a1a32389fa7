"""The operators' door, and what its calls do."""

import asyncio
import json

import pytest
from loopback import Client, bounded, courier

CALL = b"%s %s HTTP/1.1\r\nHost: door\r\n%s\r\n"


async def say(port, data):
    """Send these bytes and read until the other side ends: status and body."""
    reader, writer = await bounded(asyncio.open_connection("127.0.0.1", port))
    writer.write(data)
    text = await bounded(reader.read())
    writer.close()
    if not text:
        return 0, None
    head, _, body = text.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body) if body else None


async def call(port, method, path):
    return await say(port, CALL % (method.encode(), path.encode(), b""))


@courier
async def test_the_door_says_whether_clients_are_taken(fleet):
    await fleet.inside()
    assert await call(fleet.door, "GET", "/healthcheck") == (200, {"taking_clients": True})
    fleet.host.terminate()
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 503


@pytest.mark.parametrize("data,status", [
    (b"nonsense\r\n\r\n", 400),
    (b"GET /healthcheck HTTP/1.1\r\n\r\n", 400),  # no Host
    (b"GET /healthcheck HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
    (b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    (b"GET /" + b"x" * 9000 + b" HTTP/1.1\r\n", 413),
    (b"POST /healthcheck HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000, 413),
    (CALL % (b"GET", b"/", b""), 404),
    (CALL % (b"GET", b"/healthcheck/", b""), 404),
    (CALL % (b"POST", b"/healthcheck", b"Content-Length: 2\r\n") + b"{}", 405),
    (CALL % (b"HEAD", b"/healthcheck", b""), 405),
    (CALL % (b"GET", b"/healthcheck?now=1", b""), 200),
    (b"GET /healthcheck HTTP/1.0\r\n\r\n", 200),
])
def test_a_call_that_is_not_proper_gets_a_no(tmp_path, data, status):
    @courier
    async def inner(fleet):
        await fleet.inside()
        assert (await say(fleet.door, data))[0] == status
        assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200  # and the door goes on
    inner(tmp_path)


@courier
async def test_callers_without_a_whole_call_keep_nobody_out(fleet):
    fleet.limits["sockets"] = 160
    await fleet.inside()
    slow = [await bounded(asyncio.open_connection("127.0.0.1", fleet.door)) for _ in range(40)]
    for _, writer in slow:
        writer.write(b"GET /healthch")
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200
    assert len(fleet.host.door.callers) <= 10
    answers = [await bounded(reader.read()) for reader, _ in slow[-3:]]
    assert all(a.startswith(b"HTTP/1.1 408") for a in answers)  # and none keeps its descriptor
    for _, writer in slow:
        writer.close()


@courier
async def test_no_address_no_door(fleet):
    fleet.door = 0
    await fleet.inside()
    assert fleet.host.door.server is None
    assert await (await Client().open(fleet.port)).send(Client.command(b"PING")) == "+PONG"
