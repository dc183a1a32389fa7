"""Two processes on one folder and one listening socket: the hand-over, and what holds when a side dies."""

import asyncio
import os
import signal
import socket
import threading

import pytest
from loopback import Client, answer, bounded, courier
from test_operator import PING, call

from hopmill.net.settle_wait import SETTLE_S
from hopmill.net.upgrade import (
    HandoverError,
    HandoverPayload,
    HandoverSocket,
    acquire_ownership,
    hand_over,
    take_over,
    try_lock,
)


def hold_socket(fleet):
    fleet.listening = socket.create_server(("127.0.0.1", 0), backlog=512)


async def healthy(port):
    while (await call(port, "GET", "/healthcheck"))[0] != 200:
        await asyncio.sleep(0.01)


@courier
async def test_an_upgrade_goes_on_with_all_that_is_open(fleet):
    hold_socket(fleet)
    # A first call may last as long as a connection may take: longer than a slow start of the next process.
    fleet.raw["policyLimits"]["connectTimeoutUs"] = 6_000_000
    gate = asyncio.Event()
    e = await fleet.endpoint("a", dest=1)
    slow, bundles = await fleet.endpoint("b", dest=2), await fleet.endpoint("c", dest=3, kind="bundles")
    told = await fleet.endpoint("d", answer(429, Retry_After="1.2"), dest=4)
    slow.release = bundles.release = gate
    client = await fleet.outside()
    half, fresh = await Client().open(fleet.port), await Client().open(fleet.port)
    assert await fresh.send(PING) == "+PONG"
    assert await client.put("done", dest=1) == "+OK"
    await e.call()
    assert await client.put("pay", kind="unsafe", dest=2) == "+OK"
    assert await client.put("b0", kind="unsafe", dest=3) == "+OK"
    assert await client.put("nowhere", dest=9) == "+OK"
    assert await client.put("told", dest=4) == "+OK"
    for endpoint in (slow, bundles):
        await endpoint.call()
    told_at = (await told.call())[3]
    assert (await fleet.discovery.final())["id"] == "told"
    message = Client.message("half", dest=1)
    half.writer.write(message[:50])
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200

    await fleet.upgrade()
    assert await bounded(fleet.former.wait()) == 0
    await healthy(fleet.door)
    assert (await call(fleet.former_door, "GET", "/healthcheck"))[0] == 200  # for a while
    gate.set()  # the responses arrive on the connections of the calls
    half.writer.write(message[50:])
    assert await half.line() == "+OK"  # on its old connection
    assert await fresh.put("after", dest=4) == "+OK"
    assert (await e.call())[1]["x-request-id"] == "half"
    for sender, ident in ((client, "more"), (await Client().open(fleet.port), "new")):
        # A call beside one that waits for the only connection, or is on it, opens another.
        await asyncio.sleep(6 * SETTLE_S)
        assert await sender.put(ident, dest=1) == "+OK"
        assert (await e.call())[1]["x-request-id"] == ident
    assert (await told.call())[3] - told_at >= 1.2  # the retry-after is kept
    assert e.accepted == 1  # its idle connection is used again
    fleet.discovery.target("n", e.port, 9)
    fleet.discovery.change("n")
    assert (await e.call())[1]["x-request-id"] == "nowhere"
    # Calls in flight have ended as delivered: a restart neither sends them again nor notifies.
    await fleet.kill()
    await fleet.outside()
    assert slow.calls.empty() and bundles.calls.empty() and fleet.discovery.finals.empty()


@courier
async def test_nothing_is_lost_under_traffic_over_three_upgrades(fleet):
    hold_socket(fleet)
    fleet.raw["policyLimits"]["maxOpen"] = 10_000
    e = await fleet.endpoint("a", rate=100_000.0)
    await fleet.outside()
    stop, sent = asyncio.Event(), []

    async def traffic(number):
        kept = await Client().open(fleet.port)
        while not stop.is_set():
            ident = f"{number}-{len(sent)}"
            sent.append(ident)
            assert await kept.put(ident, kind="unsafe") == "+OK"
            other = await Client().open(fleet.port)
            assert await other.send(PING) == "+PONG"
            other.writer.close()

    senders = [asyncio.create_task(traffic(n)) for n in range(4)]
    for _ in range(3):
        await fleet.upgrade()
        assert await bounded(fleet.former.wait()) == 0
    stop.set()
    await bounded(asyncio.gather(*senders))
    got = [(await e.call())[1]["x-request-id"] for _ in sent]
    assert sorted(got) == sorted(sent) and e.calls.empty()
    assert fleet.discovery.finals.empty()


async def died_having_read(size, path):
    """The side of a new process that ends early; right after a failed hand-over it is closed at once."""
    while True:
        with socket.socket(socket.AF_UNIX) as peer:
            peer.connect(str(path))
            if not size or len(await asyncio.to_thread(peer.recv, size, socket.MSG_WAITALL)) == size:
                return
        await asyncio.sleep(0.05)


@courier
async def test_the_owner_goes_on_when_the_new_process_dies_before_go(fleet):
    hold_socket(fleet)
    e = await fleet.endpoint("a")
    client = await fleet.outside()
    assert await client.put("first") == "+OK"
    for read in (0, 4, 64):  # the new process dies at several steps
        await died_having_read(read, fleet.folder / "state" / "upgrade.sock")
        while b"upgrade.not_handed_over" not in await bounded(fleet.process.stderr.readline()):
            pass
        assert await (await Client().open(fleet.port)).put(f"m{read}") == "+OK"
    assert await (await Client().open(fleet.port)).put("late") == "+OK"
    for _ in range(5):
        await e.call()
    await fleet.upgrade()  # and a later one succeeds
    assert await bounded(fleet.former.wait()) == 0
    assert await (await Client().open(fleet.port)).put("last") == "+OK"


@courier
async def test_an_owner_killed_while_the_next_process_starts(fleet):
    # The owner dies while the new process starts: that one starts as after a crash.
    hold_socket(fleet)
    client = await fleet.outside()
    assert await client.put("m", dest=5) == "+OK"
    fleet.process.send_signal(signal.SIGSTOP)  # it never answers the new process
    second = await fleet.launch()
    while b"upgrade.not_taken_over" not in (line := await bounded(second.stderr.readline())):
        assert line
    await fleet.kill()
    while b" ready " not in (line := await bounded(second.stderr.readline())):
        assert line
    assert b"restored=1" in line
    e = await fleet.endpoint("a", dest=5)
    fleet.discovery.change("a")
    assert (await e.call())[1]["x-request-id"] == "m"


@courier
async def test_a_second_process_without_the_socket_leaves_the_journal_alone(fleet):
    client = await fleet.outside()
    assert await client.put("m", dest=5) == "+OK"
    before = (fleet.folder / "state" / "messages.journal").read_bytes()
    second = await fleet.launch()
    said = (await bounded(second.stderr.read())).decode()
    assert await bounded(second.wait()) == 1 and "held by another process" in said
    assert (fleet.folder / "state" / "messages.journal").read_bytes() == before
    assert await (await Client().open(fleet.port)).put("m2", dest=5) == "+OK"


@courier
async def test_a_courier_whose_former_operator_api_has_closed_hands_over_again(fleet):
    await fleet.inside()
    former = socket.create_server(("127.0.0.1", 0))
    fleet.host.operator_server.resume(former, [])
    fleet.host.operator_server.former.close()
    left = asyncio.Event()
    fleet.host.handover.exit_process = left.set
    link = HandoverSocket(fleet.folder / "state")
    fleet.host.handover.listener = link
    fleet.host.loop.add_reader(link.sock, fleet.host.handover._on_request)
    new, payload = await bounded(asyncio.to_thread(take_over, fleet.folder / "state"))
    await bounded(left.wait())
    assert payload.values["door"]["listening"] is not None
    new.close()
    payload.close()


def test_one_owner_at_a_time(tmp_path):
    owner = try_lock(tmp_path)
    assert owner and try_lock(tmp_path) is None
    owner.close()
    again, payload = acquire_ownership(tmp_path, may_take_over=False)
    assert payload is None
    again.close()


def side(folder, owner, payload, left):
    """Run the side of the owner in a thread."""
    link = HandoverSocket(folder)
    link.sock.setblocking(True)

    def run():
        try:
            hand_over(link.sock.accept()[0], payload, owner, lambda: left.append("left"))
        except HandoverError:
            left.append("stayed")
        link.close()

    thread = threading.Thread(target=run)
    thread.start()
    return thread


def test_the_lock_passes_to_the_new_process_and_is_never_free(tmp_path):
    owner, left = try_lock(tmp_path), []
    pipes = [os.pipe() for _ in range(150)]
    payload = HandoverPayload({"format": 1, "x": [1, b"2"]}, [fd for pair in pipes for fd in pair])
    thread = side(tmp_path, owner, payload, left)
    new, got = take_over(tmp_path)
    thread.join()
    assert left == ["left"] and got.values == payload.values and len(got.fds) == 300
    os.write(got.fds[-1], b"x")
    assert os.read(pipes[-1][0], 1) == b"x"  # in the same order
    owner.close()
    assert try_lock(tmp_path) is None  # the new process holds it
    new.close()
    got.close()
    payload.close()
    owner = try_lock(tmp_path)
    assert owner
    owner.close()


@pytest.mark.parametrize("frame", [b"", b"\0\0\0\5", b"\0\0\0\1\0\0\0\0\xc1", b"\xff\xff\xff\xff\0\0\0\0"])
def test_a_new_process_without_the_lock_owns_nothing(tmp_path, frame):
    owner = try_lock(tmp_path)
    link = HandoverSocket(tmp_path)
    link.sock.setblocking(True)

    def broken():
        peer = link.sock.accept()[0]
        peer.sendall(frame)
        peer.close()
        link.close()
        owner.close()

    thread = threading.Thread(target=broken)
    thread.start()
    new, payload = acquire_ownership(tmp_path, may_take_over=True)  # it gets the lock once the owner is gone
    thread.join()
    assert payload is None
    new.close()


def test_a_long_path_to_the_folder(tmp_path):
    folder = tmp_path / ("x" * 60) / ("y" * 60)
    folder.mkdir(parents=True)
    owner, left = try_lock(folder), []
    thread = side(folder, owner, HandoverPayload({"format": 1}), left)
    new, _ = take_over(folder)
    thread.join()
    assert left == ["left"]
    new.close()
    owner.close()
