"""Clients that hold, flood or leave: memory, other clients' answers, and what is begun afterwards."""

import asyncio
import time
from pathlib import Path

import pytest
from loopback import Client, Fleet, bounded, courier, settings, until
from peers import OK, PONG, Peer, joined, put
from test_brain import Host, S, of_type

from hopmill.interface import EndpointsListed, ListForm, MessageArrived, Refuse, Result, SetByHand
from hopmill.net.endpoint_registry import MAX_REMOVED
from hopmill.net.journal import JOURNAL_FILE
from hopmill.net.journal_records import JournaledMessage, encode_record
from hopmill.net.large_requests import SMALL_REQUEST_BYTES, LargeRequests
from hopmill.net.put import BadRequestError, parse_put
from hopmill.net.resp import MAX_REQUEST_BYTES, RequestReader
from hopmill.soak import bad_clients
from hopmill.soak.bad_clients import Holding, Target

MEMORY_MB = 64
CLIENTS = 300
CLIENT_WAIT_S = 0.4  # after this a client gives up waiting for an answer


def peak_mb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


async def answer_times(port, until_done):
    """How long ordinary clients wait for an answer, one after the other, until the task is done."""
    times = []
    client = await Client().open(port)
    number = 0
    while not until_done.done():
        number += 1
        began = time.monotonic()
        try:
            await asyncio.wait_for(client.put(f"ordinary-{number}"), 2.0)
        except (ConnectionError, asyncio.IncompleteReadError, AssertionError):
            # Closed between requests: once more on a new connection.
            client = await Client().open(port)
            await asyncio.wait_for(client.put(f"ordinary-{number}"), 2.0)
        times.append(time.monotonic() - began)
        await asyncio.sleep(0.05)
    return times


@pytest.mark.parametrize("kind", [Holding.WHOLE, Holding.HALF, Holding.ANSWERS])
def test_memory_stays_under_the_limit_beside_hundreds_of_large_requests(tmp_path, kind):
    # A process with a limit of 64 MB took up to 173 MB: 256 KiB were read of each client at once, and bodies
    # were held as far as the disk allowed.
    raw = settings(policyLimits__maxOpen=600)

    async def run():
        async with Fleet(tmp_path, raw, memory_mb=MEMORY_MB, disk_mb=64) as fleet:
            await fleet.endpoint("a", rate=1000.0)
            await fleet.outside()
            await bad_clients.hold(Target(fleet.port), kind, CLIENTS, 3.0)
            assert peak_mb(fleet.process.pid) < MEMORY_MB
            assert await (await Client().open(fleet.port)).send(Client.command(b"PING")) == "+PONG"

    asyncio.run(run())


@courier
async def test_requests_with_thousands_of_fields_delay_no_other_client(fleet):
    # Each took some milliseconds to parse, so that other clients waited for over 0.4 s.
    await fleet.endpoint("a", rate=1000.0)
    await fleet.outside()
    holding = asyncio.create_task(bad_clients.hold(Target(fleet.port), Holding.FIELDS, 50, 3.0))
    times = await answer_times(fleet.port, holding)
    assert len(times) > 10 and max(times) < CLIENT_WAIT_S


FLOODS = {
    "sound": lambda target, n: target.put(f"m-{n}"),
    "unsound": lambda target, n: bad_clients.command(b"PING" if n % 8 == 0 else b"NOPE%d" % n),
    "unsound messages": lambda target, n: target.put(f"m-{n}", more=b",k=%d" % n + b"\xff"),
    "new keys": lambda target, n: target.put(f"m-{n}", more=b",k=" + str(n).encode() * 20),
    "one key": lambda target, n: target.put(f"m-{n}", more=b",k=same"),
}


@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_on_one_connection_leaves_others_their_answers_and_memory_its_bound(tmp_path, name):
    async def run():
        async with Fleet(tmp_path, memory_mb=MEMORY_MB) as fleet:
            await fleet.endpoint("a", rate=1000.0)
            await fleet.outside()
            kind = "keyed" if "key" in name else "safe"
            target = Target(fleet.port, kind)
            load = bad_clients.flood(fleet.port, lambda n: FLOODS[name](target, n), 2.0)
            flooding = asyncio.create_task(load)
            times = await answer_times(fleet.port, flooding)
            assert flooding.result() > 1000
            assert len(times) > 5 and max(times) < CLIENT_WAIT_S
            assert peak_mb(fleet.process.pid) < MEMORY_MB

    asyncio.run(run())


# Tables


def test_destinations_that_no_list_names_are_forgotten_with_their_messages():
    # One for each number that a client ever named was kept, and looked through in each turn.
    host = Host(endpoints=1)
    for number in range(2000):
        actions = host.do(MessageArrived(number, 0, 10 + number, host.now + S))
        host.do(EndpointsListed(ListForm.DELTA))
        host.idle(0.001)
    actions += host.idle(2)
    assert of_type(Refuse, actions)
    assert set(host.courier.state.destinations) == {1}


def test_expiries_of_ended_messages_are_forgotten_before_their_time():
    host = Host()
    for _ in range(3000):
        host.arrive(lifetime_us=10**12)
        (number,) = host.courier.state.messages
        host.end(number, Result.OK)
    assert len(host.courier.expiries) < 300


@pytest.mark.parametrize(
    "fields",
    [
        b"c=safe,d=1,dest=7," + b"a=" * 2500,
        b"c=safe,d=1,dest=7" + b",a=" * 64,
        b"c=safe,d=1,dest=7" + b"," * 64,
    ],
)
def test_the_fields_of_a_message_are_bounded(fields):
    with pytest.raises(BadRequestError, match="over"):
        parse_put([b"0", b"m", fields, b""])


class Waiting:
    granted = False

    def place_granted(self):
        self.granted = True


def test_places_for_large_requests_are_granted_in_order():
    places = LargeRequests(2 * MAX_REQUEST_BYTES)
    clients = [Waiting() for _ in range(5)]
    small = SMALL_REQUEST_BYTES
    assert [places.may_grow(client, small + 1) for client in clients] == [True, True, False, False, False]
    assert places.may_grow(Waiting(), small)
    places.release(clients[3])  # it has left
    places.release(clients[0])
    assert [client.granted for client in clients] == [False, False, True, False, False]
    assert not places.may_grow(clients[0], small + 1)
    places.release(clients[1])
    assert clients[4].granted and len(places.holders) == 2


@courier
async def test_a_large_request_without_a_place_is_refused_at_once_and_says_when_to_come_again(fleet):
    fleet.limits["memory_mb"] = 16  # a few places
    await fleet.inside()
    places = fleet.host.clients.large_requests.max_places
    peers = [Peer(fleet.port) for _ in range(places + 1)]
    large = put("large", body=b"x" * 60_000)
    for peer in peers:
        await peer.send(large[:50_000])
    began = asyncio.get_running_loop().time()
    assert await peers[-1].some() == b"-BUSY 1000\r\n"
    assert asyncio.get_running_loop().time() - began < CLIENT_WAIT_S
    for peer in peers:
        peer.close()


@courier
async def test_a_new_client_that_has_to_make_room_is_told_when_to_come_again(fleet):
    # It was closed without a word, though its first request was on its way.
    fleet.limits["memory_mb"] = 16  # a few clients
    await fleet.inside()
    most = fleet.host.clients.max_clients
    peers = [Peer(fleet.port) for _ in range(most + 1)]
    await until(lambda: len(fleet.host.clients.connections) == most)
    ends = [asyncio.ensure_future(peer.some()) for peer in peers]
    done, _ = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    assert {task.result() for task in done} == {b"-BUSY 1000\r\n"}
    for task in ends:
        task.cancel()
    for peer in peers:
        peer.close()


@courier
async def test_ids_of_ended_messages_are_bounded_in_memory(fleet):
    # Any number of them was remembered for 30 s.
    fleet.limits |= {"memory_mb": 4, "disk_mb": 64}
    await fleet.endpoint("a", rate=10_000.0)
    client = await fleet.inside()
    journal = fleet.host.journal
    answers = [await client.put(f"m-{number}" + "x" * 200) for number in range(1200)]
    assert answers[0] == "+OK" and answers[-1].startswith("-BUSY")
    assert journal.memory_bytes <= 4 * (1 << 20) / 12


# Clients that leave


@pytest.mark.parametrize("end", ["close", "reset", "half_close"])
def test_what_a_client_left_unread_is_not_begun_after_it_has_left(tmp_path, end):
    # All of it was taken on and called: its end was seen only behind the last request.
    async def run():
        async with Fleet(tmp_path) as fleet:
            endpoint = await fleet.endpoint("a")
            good = await fleet.inside()
            peer = Peer(fleet.port)
            side = await joined(fleet.host, peer)
            side.transport.pause_reading()
            await peer.send(b"".join(put(f"m{number}") for number in range(30)))
            getattr(peer, end)()
            side.transport.resume_reading()
            if end == "half_close":  # it may still read
                assert await peer.rest() == (OK * 30, "end")
                assert len({(await endpoint.call())[1]["x-request-id"] for _ in range(30)}) == 30
            else:
                await until(lambda: side.is_lost)
                assert await good.put("good") == "+OK"
                assert (await endpoint.call())[1]["x-request-id"] == "good"
            peer.close()
            assert endpoint.calls.empty() and side.server.turns.clients == {}

    asyncio.run(run())


@pytest.mark.parametrize("end", ["close", "reset"])
def test_what_a_client_left_behind_is_not_begun_by_the_process_after_an_upgrade(tmp_path, end):
    async def run():
        async with Fleet(tmp_path) as fleet:
            endpoint = await fleet.endpoint("a")
            good = await fleet.inside()
            peer = Peer(fleet.port)
            side = await joined(fleet.host, peer)
            ours = side.transport.get_extra_info("socket").dup()
            ours.setblocking(False)
            side.drop = side.eof_received = lambda: None  # its socket belongs to the next process
            side.transport.pause_reading()
            reader = RequestReader()
            reader.feed(b"".join(put(f"m{number}") for number in range(20)))
            getattr(peer, end)()
            now = asyncio.get_running_loop().time()
            fleet.host.clients.resume(ours, reader.carry(), now, now, now, True)
            assert await good.put("m0") == "+OK"  # it comes again: it runs once
            assert (await endpoint.call())[1]["x-request-id"] == "m0"
            await asyncio.sleep(0.1)
            assert endpoint.calls.empty()

    asyncio.run(run())


@courier
async def test_a_client_that_half_closes_reads_a_whole_answer_also_if_it_is_a_refusal(fleet):
    fleet.raw["policyLimits"]["maxOpen"] = 3
    await fleet.endpoint("a", "hang", "hang", "hang", "hang")
    await fleet.inside()
    peer = Peer(fleet.port)
    await peer.send(b"".join(put(f"m{n}") for n in range(3)) + PONG.replace(b"+PONG", b"*1\r\n$4\r\nPING"))
    peer.half_close()
    got, how = await bounded(peer.rest())
    assert how == "end" and len(got.splitlines()) == 4
    assert {line[:1] for line in got.splitlines()} <= {b"+", b"-"} and got.endswith(PONG)
    peer.close()


def message(number):
    expires_at = time.time() + 5
    return JournaledMessage(number, f"m{number}", 0, 0, 7, "", expires_at, False, b"x" * 65_000)


def test_a_large_journal_is_read_in_parts(tmp_path):
    # The whole file and all its records were in memory at a start: several times the open messages.
    raw = settings(policyLimits__maxOpen=600)

    async def run():
        async with Fleet(tmp_path, raw, memory_mb=MEMORY_MB, disk_mb=64) as fleet:
            data = b"".join(encode_record(message(number).to_record()) for number in range(600, 610)) * 40
            (tmp_path / "state" / JOURNAL_FILE).write_bytes(data)
            await fleet.endpoint("a", rate=1000.0)
            await fleet.outside()
            assert peak_mb(fleet.process.pid) < MEMORY_MB
            ids = {(await fleet.endpoints["a"].call())[1]["x-request-id"] for _ in range(10)}
            assert ids == {f"m{number}" for number in range(600, 610)}

    asyncio.run(run())


@courier
async def test_a_client_that_half_closes_and_reads_slowly_gets_each_of_its_answers(fleet):
    await fleet.inside()
    peer = Peer(fleet.port, room=4096)
    ping = Client.command(b"PING", b"z" * 9000)
    sending = asyncio.ensure_future(peer.send(ping * 60))
    side = await joined(fleet.host, peer)
    got = b""
    while not sending.done():
        got += await peer.some()
    peer.half_close()
    while len(got) < 60 * 9009:
        await asyncio.sleep(0.002)
        got += await peer.some()
    assert got.count(b"$9000") == 60 and await bounded(peer.rest()) == (b"", "end")
    await until(lambda: side.is_lost)
    peer.close()


@courier
async def test_numbers_of_endpoints_that_left_are_forgotten_but_never_given_twice(fleet):
    # One for each name that discovery ever sent was kept, also of entries that can't be read.
    await fleet.endpoint("a")
    client = await fleet.inside()
    registry, target = fleet.host.registry, fleet.discovery.targets["a"]
    fleet.host.journal.record_endpoint_excluded("u0", True)
    fleet.host.handle_now(SetByHand(registry.number("u0"), True))
    numbers = {registry.number("u0")}
    for number in range(3 * MAX_REMOVED):
        bad = target | {"uid": f"bad{number}", "endpoint": "nowhere"}
        targets = [target | {"uid": f"u{number}"}, bad]
        fleet.host.on_endpoint_list({"rev": number, "all": True, "targets": targets})
        numbers.add(registry.number(f"u{number}"))
        fleet.host.turn()
    assert len(numbers) == 3 * MAX_REMOVED
    assert len(registry.uids) == len(registry.names) <= MAX_REMOVED + 2
    assert registry.uids["u0"] == min(numbers)
    assert await client.put("m") == "+OK"
