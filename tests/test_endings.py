"""Closes, resets, kills and time-outs at the moment in which something is still owed.

docs/endings.md has the table. The order of events is forced by bytes, closes and held-back turns; the few
waits are for the courier's own time-outs.
"""

import asyncio
import contextlib
import errno
import fcntl
import json
import os
import random
import re
import socket
import termios
import time
from pathlib import Path

import pytest
from loopback import Client, Endpoint, Fleet, answer, bounded, courier, until
from peers import OK, PING, PONG, Answering, Peer, at, joined, put
from test_calls import Outcomes

from hopmill.interface import Result
from hopmill.net import calls as c
from hopmill.net.accept import Acceptor, listening_socket
from hopmill.net.backoff import retry_waits
from hopmill.net.discovery import DiscoveryWatch
from hopmill.net.notices import NoticeSender
from hopmill.net.journal import JOURNAL_FILE, Journal, JournalFullError
from hopmill.net.journal_records import JournaledMessage, encode_record, parse_records

FLOOD = b"nonsense\r\n" * 100_000  # far more than the kernel buffers


# Clients


@courier
async def test_an_answer_is_never_held_back_by_the_system(fleet):
    # A listening socket created without a protocol number gave connections without TCP_NODELAY.
    await fleet.inside()
    peer = Peer(fleet.port)
    sock = (await joined(fleet.host, peer)).transport.get_extra_info("socket")
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    peer.close()


@pytest.mark.parametrize(
    ("sent", "said"),
    [
        (FLOOD, b"-ERR Protocol error: expected an array of bulk strings\r\n"),
        (b"*9999\r\n" + FLOOD, b"-ERR Protocol error: too large\r\n"),
        (Client.command(b"QUIT") + FLOOD, OK),
        (PING + b"\x00" * 300_000, PONG + b"-ERR Protocol error: a line is too long\r\n"),
    ],
)
def test_an_error_line_is_not_lost_to_unread_data(tmp_path, sent, said):
    # Closing with unread data resets the connection, and the error line may be lost.
    async def run():
        async with Fleet(tmp_path) as fleet:
            good = await fleet.inside()
            peer = Peer(fleet.port)
            sending = asyncio.create_task(peer.send(sent))
            got, how = await peer.rest()
            assert (got, how) == (said, "end")
            assert await good.send(PING) == "+PONG"
            await sending
            peer.close()
            assert not fleet.host.journal.messages

    asyncio.run(run())


@courier
async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_accepted(fleet):
    # The client submits it again on a new connection, since it cannot learn that it was accepted here.
    await fleet.endpoint("a")
    await fleet.inside()
    peer = Peer(fleet.port)
    side = await joined(fleet.host, peer)
    await peer.send(PING)
    assert await peer.some() == PONG
    side.close_if_idle()
    assert await peer.some() == b""  # it has seen EOF, and sends all the same
    await peer.send(put("late"))
    assert await peer.rest() == (b"", "end")
    await until(lambda: at(fleet.host, peer) is None)
    assert not fleet.host.journal.messages and fleet.endpoints["a"].calls.empty()
    peer.close()


@courier
async def test_an_idle_connection_is_not_closed_over_a_request_that_has_just_come(fleet):
    await fleet.inside()
    peer = Peer(fleet.port)
    side = await joined(fleet.host, peer)
    side.transport.pause_reading()  # the event loop has not read the data yet
    await peer.send(PING)
    await until(lambda: any(fcntl.ioctl(side.fileno, termios.FIONREAD, bytes(4))))
    side.last_request_at -= 60
    side._stop_timer()
    side._on_timeout()
    side.transport.resume_reading()
    assert await peer.some() == PONG
    peer.close()


@courier
async def test_requests_that_come_at_once_are_all_answered_with_others_between(fleet):
    # Handling a read of 256 KiB at once took up to half a second, during which no other client was served.
    await fleet.inside()
    many, one = Peer(fleet.port), Peer(fleet.port)
    side, beside = await joined(fleet.host, many), await joined(fleet.host, one)
    order = []
    handle = type(side)._handle
    for n, client in (("many", side), ("one", beside)):
        client._handle = lambda request, n=n, client=client: (order.append(n), handle(client, request))
    beside.transport.pause_reading()
    await one.send(PING)
    await until(lambda: beside.has_unread_bytes)
    beside.transport.resume_reading()  # it is read in the next iteration of the event loop
    side.data_received(PING * 1000)  # in one read
    many.half_close()
    assert await one.some() == PONG
    assert await many.rest() == (PONG * 1000, "end")
    assert order.count("many") == 1000 and order.index("one") < 200
    many.close()
    one.close()


@courier
async def test_a_peer_that_sends_only_improper_values_is_ended(fleet):
    good = await fleet.inside()
    peer = Peer(fleet.port)
    await peer.send(b"$0\r\n\r\n" * 40_000)
    got, how = await peer.rest()
    assert how == "end" and set(got.splitlines()) == {b"-ERR expected an array of bulk strings"}
    assert got.count(b"-ERR") < 40 and await good.send(PING) == "+PONG"
    peer.close()


@pytest.mark.parametrize("end", ["half_close", "reset", "close"])
@pytest.mark.parametrize("when", ["before", "after"])
def test_a_client_that_closes_as_it_is_answered(tmp_path, end, when):
    """when: it closes before the turn that answers, or after the answer was written."""

    async def run():
        async with Fleet(tmp_path) as fleet:
            e = await fleet.endpoint("a")
            good = await fleet.inside()
            peer = Peer(fleet.port)
            side = await joined(fleet.host, peer)
            turns, wake = [], fleet.host.schedule_turn
            fleet.host.schedule_turn = lambda: turns.append(1)  # no turn until the test runs one
            await peer.send(put("m"))
            await until(lambda: fleet.host.intake.arrived)
            if when == "before":
                getattr(peer, end)()
                # A close looks like a half-close until something is written to it.
                await until(lambda: side.is_lost if end == "reset" else side.peer_sent_eof)
            fleet.host.schedule_turn = wake
            fleet.host.turn()
            taken = when == "after" or end == "half_close"
            assert [m.id for m in fleet.host.journal.messages.values()] == ["m"] * taken
            if end == "half_close":
                assert await (peer.rest() if when == "before" else peer.some()) == (
                    (OK, "end") if when == "before" else OK
                )
            if when == "after":
                getattr(peer, end)()
                await until(lambda: side.is_lost)
            if taken:
                assert (await e.call())[1]["x-request-id"] == "m"
            assert await good.put("good") == "+OK"
            assert (await e.call())[1]["x-request-id"] == "good"
            peer.close()

    asyncio.run(run())


BAD = {
    "sends nothing": [],
    "one byte at a time": [bytes([b]) for b in put("slow")[:60]],
    "half a request": [put("half")[:50]],
    "half a request, then its end": [put("half")[:50], "half_close"],
    "a flood, and goes": [FLOOD[:200_000], "reset"],
    "many requests, and goes": [put("x", kind="none") * 500, "reset"],
    "does not read": [PING * 5_000],
    "an endless line": [b"*" + b"1" * 9000],
}


@pytest.mark.parametrize("bad", BAD)
def test_a_bad_peer_costs_a_good_client_nothing_and_is_ended(tmp_path, monkeypatch, bad):
    monkeypatch.setattr("hopmill.net.clients.REQUEST_TIMEOUT_S", 1.0)
    monkeypatch.setattr("hopmill.net.clients.MAX_REQUEST_S", 1.2)

    async def run():
        async with Fleet(tmp_path) as fleet:
            e = await fleet.endpoint("a")
            good = await fleet.inside()
            peer = Peer(fleet.port, room=4096 if bad == "does not read" else 0)
            side = await joined(fleet.host, peer)

            async def act():
                for step in BAD[bad]:
                    if isinstance(step, str):
                        getattr(peer, step)()
                    else:
                        await peer.send(step)
                        await asyncio.sleep(0)

            acting = asyncio.create_task(act())
            for n in range(20):
                assert await asyncio.wait_for(good.put(f"m{n}"), 0.4) == "+OK"
                assert (await e.call())[1]["x-request-id"] == f"m{n}"
            await until(lambda: side.is_lost)
            acting.cancel()
            peer.close()
            assert not {m.id for m in fleet.host.journal.messages.values()} - {f"m{n}" for n in range(20)}

    asyncio.run(run())


# SIGTERM


@courier
async def test_connections_that_wait_in_the_kernel_as_the_listener_closes_are_served(fleet):
    await fleet.inside()
    acceptor = fleet.host.clients.acceptor
    acceptor.stop()
    peers = [Peer(fleet.port) for _ in range(40)]
    for peer in peers:
        await peer.send(PING)
    fleet.host.clients.stop_listening()
    assert not fleet.host.clients.is_empty
    for peer in peers:
        assert await peer.some() == PONG
        peer.close()


@courier
async def test_a_new_connections_first_request_is_not_cut_by_a_planned_restart(fleet):
    await fleet.inside()
    peer = Peer(fleet.port)
    await joined(fleet.host, peer)
    fleet.host.clients.close_idle()  # its request is still in transit
    await peer.send(put("first", dest=99))
    assert await peer.some() == OK
    fleet.host.clients.close_idle()
    assert await peer.rest() == (b"", "end")
    peer.close()


@courier
async def test_requests_are_answered_at_the_exit_and_partial_ones_rejected(fleet):
    await fleet.inside()
    host = fleet.host
    whole, half = Peer(fleet.port), Peer(fleet.port)
    await joined(host, whole)
    side = await joined(host, half)
    host.schedule_turn = lambda: None  # no turn answers before the exit
    await whole.send(put("whole", dest=99))
    await half.send(put("half", dest=99)[:50])
    await until(lambda: host.intake.arrived and side.reader.has_partial_request)
    host.restart.terminate()
    host.restart._answer_and_reject()
    assert await whole.rest() == (OK, "end")
    assert await half.rest() == (b"-ERR no whole request in time\r\n", "end")
    assert [m.id for m in host.journal.messages.values()] == ["whole"]
    whole.close()
    half.close()


@courier
async def test_the_process_does_not_end_before_its_last_answers_are_heard(fleet):
    await fleet.inside()
    peer = Peer(fleet.port)
    side = await joined(fleet.host, peer)
    await peer.send(PING)
    assert await peer.some() == PONG
    fleet.host.restart.terminate()
    fleet.host.clients.stop_listening()
    for client in list(fleet.host.clients.connections):
        client.close_if_idle()
    assert side.is_lingering and not side.is_lost
    fleet.host.restart.maybe_exit()
    assert not fleet.host.restart.closed.done()
    assert await peer.some() == b""
    peer.close()
    await until(lambda: fleet.host.clients.is_empty)
    fleet.host.restart.maybe_exit()
    assert fleet.host.restart.closed.done()


# Calls

WHOLE = answer(200, b"0123456789abcdef", X_Server_Load="x0=0.4,x1=25")
ROWS = json.dumps([{"id": i, "state": "done"} for i in "ab"]).encode()
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(ROWS), ROWS)


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize(("ids", "whole"), [("a", WHOLE), ("ab", answer(200, ROWS)), ("ab", CHUNKED)])
def test_a_response_cut_at_any_byte_reports_only_what_arrived(how, ids, whole):
    first_line = whole.index(b"\n") + 1

    async def run():
        for cut in [*range(0, len(whole), 1 if ids == "a" else 3), *range(len(whole) - 6, len(whole) + 1)]:
            endpoint = Answering(whole[:cut], how)
            o = Outcomes()
            ends = dict(await o.send(endpoint.port, *ids))
            told = cut >= (first_line if ids == "a" else len(whole))
            results = {end.result for end in ends.values()}
            # A reset may arrive before the response is read: then that is lost, and the call may have run.
            allowed = (
                [{Result.OK}]
                if told and how == "end"
                else [{Result.OK}, {Result.RESET}]
                if told
                else [{Result.RESET}]
            )
            assert results in allowed, cut
            assert not o.calls.in_flight or cut < len(whole)
            o.calls.close()
            o.pool.close()
            endpoint.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "ids", "result"),
    [
        (b"", "a", Result.TIMEOUT),
        (b"HTTP/1.1 20", "a", Result.TIMEOUT),
        (WHOLE[:30], "a", Result.OK),
        (answer(200, ROWS)[:-1], "ab", Result.TIMEOUT),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[{"id', "ab", Result.TIMEOUT),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 50, "ab", Result.TIMEOUT),
    ],
)
def test_an_answer_that_does_not_end_is_given_up_with_its_connection(text, ids, result):
    async def run():
        endpoint = Answering(text, "stay")
        o = Outcomes()
        ends = dict(await o.send(endpoint.port, *ids, timeout_us=200_000))
        assert {end.result for end in ends.values()} == {result}
        await until(lambda: endpoint.open)
        loop = asyncio.get_running_loop()
        endpoint.open[0].setblocking(False)
        assert await bounded(loop.sock_recv(endpoint.open[0], 1)) == b""  # the courier has closed it
        assert not o.calls.in_flight and not o.pool.idle
        o.calls.close()
        endpoint.close()

    asyncio.run(run())


@pytest.mark.parametrize("given_up", ["cancelled", "timed out"])
def test_a_connection_that_comes_up_after_its_call_was_given_up_carries_nothing(given_up, monkeypatch):
    async def run():
        endpoint = await Endpoint().start()
        o = Outcomes()
        o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port))
        held = []
        connected = c.PooledConnection._connected
        monkeypatch.setattr(
            c.PooledConnection,
            "_connected",
            lambda link, *a: held.append((link, a)) or (link.loop.remove_writer(link.sock)),
        )
        o.calls.send(1, [c.CallItem(0, 0, "a", "", b"x", 100_000 if given_up == "timed out" else 60_000_000)])
        await until(lambda: held)
        if given_up == "cancelled":
            o.calls.cancel(0, 0)
        ident, outcome = await bounded(o.ended.get())
        assert (ident, outcome.result) == (
            "a",
            {"cancelled": Result.MOOT, "timed out": Result.CONNECT_FAILED}[given_up],
        )
        for link, args in held:  # now it is connected
            connected(link, *args)
        await asyncio.sleep(0)
        assert endpoint.calls.empty() and not o.begun and not o.calls.in_flight
        assert not any(place.connections for place in o.pool.endpoints.values())
        await endpoint.stop()

    asyncio.run(run())


# Discovery


class Lists:
    """A stand-in for the watch that writes exactly what the test tells it to."""

    def __init__(self):
        self.asked, self.open = asyncio.Queue(), []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.open.append(writer)
        self.asked.put_nowait((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await reader.read()

    def say(self, text):
        self.open[-1].write(b"%x\r\n%s\r\n" % (len(text), text))

    def end(self, how):
        writer = self.open[-1]
        if how == "reset":
            writer.transport.abort()
        elif how == "end":
            writer.close()


def line(rev, **more):
    return json.dumps({"rev": rev, "all": False, "targets": []}, **more).encode() + b"\n"


@pytest.mark.parametrize("is_server_shared", [False, True])
@pytest.mark.parametrize("how", ["reset", "end", "move", "silence"])
def test_a_watch_that_dies_in_half_a_line_is_opened_again_soon_from_where_it_was(
    how, is_server_shared, monkeypatch
):
    monkeypatch.setattr("hopmill.net.discovery.ESTABLISHED_S", 0.0)
    monkeypatch.setattr("hopmill.net.discovery.SILENCE_TIMEOUT_S", 0.3 if how == "silence" else 30.0)
    random.seed(1)

    async def run():
        lists, told = Lists(), []
        port = await lists.start()
        waits = retry_waits(200, is_server_shared)
        watch = DiscoveryWatch(asyncio.get_running_loop(), ("127.0.0.1", port), 3, told.append, waits)
        watch.open()
        assert (await bounded(lists.asked.get())).endswith("from=3")
        lists.say(line(4))
        await until(lambda: told)
        lists.say(line(5)[:20])
        if how == "move":
            watch.move(("127.0.0.1", port))
        lists.end(how)
        # Two hundred couriers wait 5 to 20 s for a busy discovery; its changes have to apply within 0.5 s.
        assert (await asyncio.wait_for(lists.asked.get(), 2.0)).endswith("from=4")
        lists.say(line(5))
        await until(lambda: len(told) == 2)
        assert [t["rev"] for t in told] == [4, 5]
        watch.stop()
        lists.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_an_indented_list_is_read(cut):
    async def run():
        lists, told = Lists(), []
        port = await lists.start()
        waits = retry_waits(1, is_server_shared=False)
        watch = DiscoveryWatch(asyncio.get_running_loop(), ("127.0.0.1", port), 3, told.append, waits)
        watch.open()
        await bounded(lists.asked.get())
        odd = json.dumps({"rev": 5, "all": False, "targets": [{"uid": "s-{{"}]}).encode() + b"\n"
        text = line(4, indent=2) + b"\n" + odd + line(6, indent=1)
        for start in range(0, len(text), cut):
            lists.say(text[start : start + cut])
        await until(lambda: len(told) == 3)
        assert [t["rev"] for t in told] == [4, 5, 6] and watch.revision == 6
        watch.stop()
        lists.server.close()

    asyncio.run(run())


def test_a_listener_without_descriptors_closes_without_end():
    async def run():
        sock = listening_socket(("127.0.0.1", 0), 8)
        acceptor = Acceptor(sock, asyncio.Protocol, 4)

        class Full:
            def accept(self):
                raise OSError(errno.EMFILE, "no descriptor")

            def __getattr__(self, name):
                return getattr(sock, name)

        acceptor.stop()
        acceptor.sock = Full()
        acceptor.close()
        assert not acceptor.is_open and acceptor.resume_timer.cancelled()

    asyncio.run(run())


def test_a_notice_on_a_connection_that_stopped_answering_is_sent_in_time_on_another():
    # A notice is too late half a second after the message's expiry; it was repeated only after a second.
    async def run():
        got = asyncio.Queue()

        async def serve(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                got.put_nowait(await reader.readexactly(length))
                if got.qsize() + len(told) > 1:
                    writer.write(b"HTTP/1.1 204 x\r\n\r\n")

        told = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        notices = NoticeSender(asyncio.get_running_loop(), server.sockets[0].getsockname(), told.extend)
        notices.add(1, "m", "deferred", 500)
        first = await bounded(got.get())
        told.append("silent")
        assert await asyncio.wait_for(got.get(), 0.45) == first
        await until(lambda: told == ["silent", 1])
        notices.stop()
        server.close()

    asyncio.run(run())


# What the next process finds


@pytest.mark.parametrize("kind", ["safe", "keyed", "unsafe"])
def test_a_process_that_was_killed_between_any_two_writes_owes_no_more_and_no_less(tmp_path, kind):
    """The journal of one message is cut after and inside each record, as a kill would leave it."""

    async def life(folder):
        async with Fleet(folder) as fleet:
            e = await fleet.endpoint("a", answer(500), answer(500), answer(500))
            client = await fleet.inside()
            await client.put("m", kind=kind, key="k", life=60_000)
            await e.call()
            assert (await fleet.discovery.final())["id"] == "m"
            await until(lambda: not fleet.host.journal.messages)
            return (folder / "state" / JOURNAL_FILE).read_bytes()

    async def after(folder, journal, records):
        (folder / "state").mkdir(parents=True)
        (folder / "state" / JOURNAL_FILE).write_bytes(journal)
        async with Fleet(folder) as fleet:
            e = await fleet.endpoint("a")
            await fleet.inside()
            await until(lambda: not fleet.host.journal.messages)
            kinds = [record[0] for record in records]
            ended = "final" in kinds or "over" in kinds
            tried = kinds.count("try")
            call = "take" in kinds and not ended and (tried < 3 if kind != "unsafe" else not tried)
            notice = "take" in kinds and "over" not in kinds and not call
            assert (e.calls.qsize(), fleet.discovery.finals.qsize()) == (call, notice), kinds
            if call:
                assert (await e.call())[1]["x-request-id"] == "m"

    async def run():
        whole = await life(tmp_path)
        records, _ = parse_records(whole)
        kinds = [record[0] for record in records]
        assert kinds[:3] == ["clock", "take", "try"] and kinds[-1] == "over"
        ends = [0]
        for record in records:
            ends.append(ends[-1] + len(encode_record(record)))
        for n, end in enumerate(ends):
            await after(tmp_path / f"{n}", whole[:end], records[:n])
            if n < len(records):  # the next record is torn
                await after(tmp_path / f"{n}-torn", whole[: ends[n + 1] - 3], records[:n])

    asyncio.run(run())


def test_a_journal_as_large_as_it_may_be_is_read_in_a_moment(tmp_path):
    # The courier must be ready within 10 s on a share of a core.
    journal = Journal(tmp_path, 3_000_000)
    with contextlib.suppress(JournalFullError):
        for n in range(100_000):
            journal.record_message(
                JournaledMessage(n, f"{n:016x}", 0, 0, 1, "", time.time() + 60, False, b"x" * 40)
            )
            journal.record_attempt([n], time.time(), "here")
    journal.close()
    assert os.path.getsize(tmp_path / JOURNAL_FILE) > 500_000
    began = time.process_time()
    again = Journal(tmp_path, 3_000_000)
    assert time.process_time() - began < 1.5 and len(again.messages) == len(journal.messages) > 5000
    again.close()


@courier
async def test_what_was_read_and_not_handled_is_handled_by_the_process_that_takes_over(fleet):
    await fleet.inside()
    ours, theirs = socket.socketpair()
    now = asyncio.get_running_loop().time()
    read = [PING * 40 + PING[:5], [], 1, -1, 0, 0, True]  # RequestReader.carry
    fleet.host.clients.resume(ours, read, now, now, now, True)
    theirs.setblocking(False)
    got, loop = b"", asyncio.get_running_loop()
    while len(got) < len(PONG) * 40:
        got += await bounded(loop.sock_recv(theirs, 4096))
    theirs.sendall(PING[5:])
    assert got + await bounded(loop.sock_recv(theirs, 4096)) == PONG * 41
    theirs.close()


@courier
async def test_a_call_whose_last_byte_is_not_written_at_the_exit_may_be_sent_by_the_next_process(fleet):
    listener = socket.create_server(("127.0.0.1", 0))
    fleet.discovery.target("a", listener.getsockname()[1], 7)
    client = await fleet.inside()
    host, written = fleet.host, c.PooledConnection.written
    try:
        c.PooledConnection.written = property(lambda link: False)  # the endpoint's TCP window is full
        await client.put("m", kind="unsafe")
        await until(lambda: host.calls.in_flight and host.journal.messages[1].latest_attempt_at)
        assert host.calls.unwritten() == [1]
        host.restart._exit()
    finally:
        c.PooledConnection.written = written
    assert host.journal.messages[1].may_have_run_at == 0
    listener.close()


@courier
async def test_many_requests_one_byte_short_of_complete_stay_within_the_memory(fleet):
    # As many connections as descriptors allow, far more than memory does: stalled ones are closed first.
    await fleet.endpoint("a")
    fleet.limits |= {"memory_mb": 48, "sockets": 4000}
    (await fleet.outside()).close()

    async def half_way(number):
        peer = Peer(fleet.port)
        await peer.send(put(f"half{number}", body=b"x" * 65_536)[:-1])
        return peer

    crowd = []
    for at_once in range(0, 800, 40):
        crowd += await asyncio.gather(*(half_way(n) for n in range(at_once, at_once + 40)))
    client = await Client().open(fleet.port)
    assert await client.put("good") == "+OK"
    status = Path(f"/proc/{fleet.process.pid}/status").read_text()
    assert int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 <= 48_000_000
    client.close()
    for peer in crowd:
        peer.close()
