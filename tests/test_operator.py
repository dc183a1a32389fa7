"""The operator API server and its commands."""

import asyncio
import json

import pytest
from loopback import DOOR, Client, bounded, courier, until

from hopmill.net.journal import Journal

CALL = b"%s %s HTTP/1.1\r\nHost: door\r\n%s\r\n"


async def say(port, data):
    """Send these bytes and read until the other side ends: status and body."""
    reader, writer = await bounded(asyncio.open_connection(DOOR, port))
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
async def test_healthcheck_tells_whether_clients_are_accepted(fleet):
    await fleet.inside()
    status, said = await call(fleet.door, "GET", "/healthcheck")
    assert status == 200 and said["taking_clients"] and not said["drained"]
    fleet.host.restart.terminate()
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 503


@pytest.mark.parametrize(
    "data,status",
    [
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
    ],
)
def test_malformed_call_is_refused(tmp_path, data, status):
    @courier
    async def inner(fleet):
        await fleet.inside()
        assert (await say(fleet.door, data))[0] == status
        assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200  # and the server still responds

    inner(tmp_path)


@courier
async def test_incomplete_calls_do_not_block_others(fleet):
    fleet.limits["sockets"] = 160
    await fleet.inside()
    slow = [await bounded(asyncio.open_connection(DOOR, fleet.door)) for _ in range(40)]
    for _, writer in slow:
        writer.write(b"GET /healthch")
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200
    assert len(fleet.host.operator_server.callers) <= 10
    answers = [await bounded(reader.read()) for reader, _ in slow[-3:]]
    assert all(a.startswith(b"HTTP/1.1 408") for a in answers)  # and none keeps its file descriptor
    for _, writer in slow:
        writer.close()


@courier
async def test_without_an_address_the_operator_api_is_off(fleet):
    fleet.door = 0
    await fleet.inside()
    assert fleet.host.operator_server.acceptor is None
    assert await (await Client().open(fleet.port)).send(Client.command(b"PING")) == "+PONG"


PING = Client.command(b"PING")


@courier
async def test_drained_courier_completes_requests_and_closes_client_connections(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    quiet, busy, half = client, await Client().open(fleet.port), await Client().open(fleet.port)
    assert await quiet.send(PING) == "+PONG"
    message = client.message("half")
    half.writer.write(message[:40])
    started = asyncio.get_running_loop().time()
    for _ in range(2):  # the call is idempotent
        assert (await call(fleet.door, "POST", "/healthcheck/fail"))[0] == 200
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 503
    assert (await (await Client().open(fleet.port)).send(PING)).startswith("-ERR")
    assert await busy.put("m0") == "+OK"  # open connections are served for a while
    assert await bounded(quiet.reader.read()) == b""
    late = await Client().open(fleet.port)
    assert await late.put("late") == "+OK"  # a new connection is served once, then closed
    assert await bounded(late.reader.read()) == b""
    half.writer.write(message[40:])
    assert await half.line() == "+OK"  # a partial request may be completed
    assert await bounded(half.reader.read()) == b"" and await bounded(busy.reader.read()) == b""
    assert asyncio.get_running_loop().time() - started < 3
    assert {(await e.call())[1]["x-request-id"] for _ in range(3)} == {"m0", "late", "half"}
    for _ in range(2):
        assert (await call(fleet.door, "POST", "/healthcheck/ok"))[0] == 200
    again = await Client().open(fleet.port)
    assert await again.send(PING) == "+PONG" and await again.put("m1") == "+OK"
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200


@courier
async def test_a_drain_lasts_over_a_restart_and_a_rewritten_journal(fleet):
    await fleet.outside()
    assert (await call(fleet.door, "POST", "/healthcheck/fail"))[0] == 200
    await fleet.kill()
    journal = Journal(fleet.folder / "state", 3_000_000)
    journal.compact()
    journal.close()
    client = await fleet.outside()
    assert (await client.send(PING)).startswith("-ERR")
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 503
    assert (await call(fleet.door, "POST", "/healthcheck/ok"))[0] == 200
    assert await (await Client().open(fleet.port)).send(PING) == "+PONG"


@courier
async def test_command_that_can_not_be_recorded_is_refused_and_not_carried_out(fleet):
    client = await fleet.inside()
    fleet.host.journal.limit_bytes = 0
    assert (await call(fleet.door, "POST", "/healthcheck/fail"))[0] == 503
    assert await client.send(PING) == "+PONG"


async def out(fleet, uid, word="maint"):
    return (await call(fleet.door, "POST", f"/endpoints/{uid}/{word}"))[0]


@courier
async def test_endpoint_excluded_by_an_operator_gets_no_call_whatever_the_list_says(fleet):
    a, b = await fleet.endpoint("a"), await fleet.endpoint("b")
    client = await fleet.inside()
    for n in range(6):
        await client.put(f"m{n}")
    while a.calls.qsize() + b.calls.qsize() < 6:
        await asyncio.sleep(0.01)
    for _ in range(3):
        assert await out(fleet, "a") == 200
    assert await out(fleet, "nobody") == 404 and await out(fleet, "nobody", "ready") == 404
    assert (await call(fleet.door, "GET", "/endpoints/a/maint"))[0] == 405
    assert (await call(fleet.door, "GET", "/healthcheck"))[1]["out_by_hand"] == ["a"]
    assert not fleet.host.pool.endpoints[fleet.host.registry.uids["a"]].idle
    before = a.calls.qsize()
    for state in ("terminated", "in_service"):  # removed and listed again
        fleet.discovery.change("a", state=state)
    while fleet.host.watch.revision != fleet.discovery.rev:
        await asyncio.sleep(0.01)
    for n in range(8):
        await client.put(f"n{n}")
    while a.calls.qsize() + b.calls.qsize() < 14:
        await asyncio.sleep(0.01)
    assert a.calls.qsize() == before
    assert await out(fleet, "b") == 200
    assert await client.put("last") == "+OK"
    assert await out(fleet, "a", "ready") == 200  # one call readmits it, no matter how often it was excluded
    while a.calls.qsize() == before:
        await asyncio.sleep(0.01)
    assert await out(fleet, "a", "ready") == 200  # idempotent


@courier
async def test_call_waiting_for_a_connection_does_not_start_after_the_exclusion(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    begun = []
    fleet.host.calls.hooks.begin = lambda endpoint, items: begun.append(items) or items
    waiting = []
    fleet.host.pool._connected = lambda *args: waiting.append(args)
    await client.put("m")
    await until(lambda: waiting)
    assert await out(fleet, "a") == 200
    del fleet.host.pool._connected
    fleet.host.pool._connected(*waiting[0])
    assert not begun and e.calls.empty()
    assert waiting[0][1].closed  # and not kept idle


@courier
async def test_exclusion_lasts_over_a_restart_and_a_rewritten_journal(fleet):
    a = await fleet.endpoint("a")
    await fleet.endpoint("b", dest=8)
    await fleet.outside()
    assert await out(fleet, "a") == 200
    assert await out(fleet, "b") == 200 and await out(fleet, "b", "ready") == 200
    await fleet.kill()
    journal = Journal(fleet.folder / "state", 3_000_000)
    journal.compact()
    assert journal.excluded_endpoints == {"a"}
    journal.close()
    client = await fleet.outside()
    assert await client.put("m") == "+OK"
    fleet.discovery.change("a", state="in_service")
    assert await client.put("other", dest=8) == "+OK"
    await fleet.endpoints["b"].call()
    assert a.calls.empty()
    assert await out(fleet, "a", "ready") == 200
    assert (await a.call())[1]["x-request-id"] == "m"
