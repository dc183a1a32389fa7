"""The connection pool over loopback sockets. Each test names the case that it guards against."""

import asyncio
import errno
import os
import socket
import threading
import time

import pytest
from loopback import Endpoint, Fleet, answer, bounded, courier, free_port, until
from test_calls import Outcomes
from test_operator import call as operator_call

from hopmill.interface import Result
from hopmill.net import pool as p
from hopmill.net.settle_wait import SETTLE_S
from hopmill.net.upgrade import HandoverPayload


def run(test):
    """Runs a test with one endpoint and calls to it."""

    def inner():
        async def go():
            endpoint, o = await Endpoint().start(), Outcomes()
            await test(endpoint, o)
            o.calls.close()
            o.pool.close()
            await endpoint.stop()

        asyncio.run(go())

    return inner


def open_files():
    return len(os.listdir("/proc/self/fd"))


async def checked_out(o, endpoint):
    """A connection checked out from the pool; the endpoint receives no request."""
    got = asyncio.get_running_loop().create_future()
    o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port))
    o.pool.check_out(1, lambda connection, error: got.set_result(connection or error))
    return await bounded(got)


async def idle(o, endpoint, count):
    """This many idle connections; the first has been idle longest."""
    connections = [await checked_out(o, endpoint) for _ in range(count)]
    o.pool.set_max_idle(1, count)
    for connection in connections:
        o.pool.check_in(connection)
    return connections


def silent(o):
    """Lets the last response be longer ago than a connect may take."""
    o.pool.endpoints[1].last_response_at -= o.pool.connect_s + 1


@run
async def test_most_recently_used_connection_is_reused_first(endpoint, o):
    connections = await idle(o, endpoint, 3)
    await asyncio.sleep(2 * SETTLE_S)
    for _ in range(4):
        connection = await checked_out(o, endpoint)
        assert connection is connections[-1]
        o.pool.check_in(connection)
        await asyncio.sleep(2 * SETTLE_S)  # before that an older one is taken
    assert list(o.pool.idle) == connections


def test_longest_idle_connection_of_any_endpoint_is_evicted():
    # Guards against closing the newest idle connection, and against looking at every endpoint on each call.
    async def go():
        endpoints = [await Endpoint().start() for _ in range(3)]
        o = Outcomes(max_idle=2)
        for n, e in enumerate(endpoints):
            o.pool.set_endpoint(n, ("127.0.0.1", e.port))
            got = asyncio.get_running_loop().create_future()
            o.pool.check_out(n, lambda connection, error, got=got: got.set_result(connection))
            o.pool.check_in(await bounded(got))
        assert [len(o.pool.endpoints[n].idle) for n in range(3)] == [0, 1, 1]
        assert o.pool.endpoints[0].closed == {p.CloseReason.EVICTED: 1}
        o.pool.close()
        for e in endpoints:
            await e.stop()

    asyncio.run(go())


@run
async def test_longest_idle_connection_closes_over_the_endpoints_limit(endpoint, o):
    connections = await idle(o, endpoint, 4)
    o.pool.set_max_idle(1, 2)
    assert list(o.pool.endpoints[1].idle) == connections[2:]
    o.pool.set_max_idle(1, 0)
    assert not o.pool.idle and o.pool.endpoints[1].closed == {p.CloseReason.OVER_LIMIT: 4}
    connection = await checked_out(o, endpoint)
    o.pool.check_in(connection)
    assert connection.closed  # none is kept for an endpoint whose connection table is full


def test_one_timer_expires_idle_connections_in_order():
    async def go():
        endpoint, o = await Endpoint().start(), Outcomes(endpoint_idle_timeout_us=200_000)
        connections = await idle(o, endpoint, 2)
        await until(lambda: connections[0].closed and connections[1].closed)
        assert o.pool.endpoints[1].closed == {p.CloseReason.IDLE_EXPIRED: 2} and o.pool.expiry_timer is None
        await endpoint.stop()

    asyncio.run(go())


@pytest.mark.parametrize(("idle_us", "idle_s"), [(10_000_000, 9.0), (1_500_000, 0.75), (0, 0)])
def test_idle_connections_close_a_round_trip_before_the_endpoint_would(idle_us, idle_s):
    # With three quarters of the idle timeout one call in ten of hundreds of couriers arrived too late.
    async def go():
        assert Outcomes(endpoint_idle_timeout_us=idle_us).pool.idle_s == idle_s

    asyncio.run(go())


@run
async def test_dead_idle_connections_cost_one_attempt_together(endpoint, o):
    # The machine vanished and restarted without closing: a request on an old connection is reset.
    connections = await idle(o, endpoint, 3)
    silent(o)
    first = await checked_out(o, endpoint)
    assert first is connections[-1]
    second, third = await checked_out(o, endpoint), await checked_out(o, endpoint)
    # Until the first is answered the others use new connections.
    assert not {second, third} & set(connections)
    o.pool.call_failed(first)
    first.close()
    assert (
        all(connection.closed for connection in connections)
        and o.pool.endpoints[1].closed[p.CloseReason.NOT_TRUSTED] == 2
    )


@run
async def test_response_restores_trust_in_older_connections(endpoint, o):
    connections = await idle(o, endpoint, 3)
    silent(o)
    first = await checked_out(o, endpoint)
    o.pool.response_received(first)
    assert await checked_out(o, endpoint) is connections[1]
    o.pool.call_failed(first)  # responses have arrived since: only this connection was lost
    assert not connections[0].closed


@run
async def test_response_on_a_younger_connection_restores_no_trust(endpoint, o):
    # The process that responds may have started after the older connections became idle.
    connections = await idle(o, endpoint, 2)
    silent(o)
    await asyncio.sleep(0.01)  # opened after the others became idle
    young = await checked_out(o, endpoint), await checked_out(o, endpoint)
    assert young[0] is connections[1] and young[1] not in connections
    o.pool.response_received(young[1])
    third = await checked_out(o, endpoint)
    assert third not in connections


@run
async def test_failed_call_closes_older_idle_connections(endpoint, o):
    endpoint.script += [answer(200)] * 2 + ["hang"]
    o.pool.set_max_idle(1, 4)
    gate = endpoint.release = asyncio.Event()
    sends = [asyncio.ensure_future(o.send(endpoint.port, i)) for i in "ab"]
    await until(lambda: endpoint.calls.qsize() == 2)
    o.pool.set_max_idle(1, 4)
    gate.set()
    await bounded(asyncio.gather(*sends))
    assert len(o.pool.idle) == 2
    await asyncio.sleep(2 * SETTLE_S)  # a call with so little time does not wait for a connection that rests
    assert (await o.send(endpoint.port, "c", timeout_us=100_000))[0][1].result is Result.TIMEOUT
    assert not o.pool.idle and o.pool.endpoints[1].closed == {
        p.CloseReason.CALL_ABANDONED: 1,
        p.CloseReason.NOT_TRUSTED: 1,
    }
    assert (await o.send(endpoint.port, "d"))[0][1].result is Result.OK and endpoint.accepted == 3


@run
async def test_connections_from_before_an_endpoint_restart_are_closed(endpoint, o):
    connections = await idle(o, endpoint, 2)
    busy = await checked_out(o, endpoint)
    o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port), (time.time() - 60) * 1e3)
    assert not connections[0].closed  # the endpoint started long before
    o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port), (time.time() + 1) * 1e3)
    assert connections[0].closed and o.pool.endpoints[1].closed == {p.CloseReason.ENDPOINT_RESTARTED: 1}
    o.pool.check_in(busy)
    assert busy.closed


@run
async def test_no_connection_is_kept_for_an_endpoint_that_may_not_be_called(endpoint, o):
    # The connect succeeds after the endpoint has begun to drain.
    waiting = []
    o.pool._connected = lambda *args: waiting.append(args)
    sending = asyncio.ensure_future(o.send(endpoint.port, "a"))
    await until(lambda: waiting)
    o.wanted = o.allowed = False
    del o.pool._connected
    o.pool._connected(*waiting[0])
    assert (await sending)[0][1].result is Result.MOOT
    assert not o.pool.idle and waiting[0][1].closed and endpoint.calls.empty()
    assert (await o.send(endpoint.port, "b"))[0][1].result is Result.MOOT  # and no connection is opened
    assert o.pool.endpoints[1].opened == 1


@run
async def test_connections_of_a_moved_endpoint_close_after_their_calls(endpoint, o):
    connections = await idle(o, endpoint, 2)
    busy = await checked_out(o, endpoint)
    o.pool.take_idle_changes()
    o.pool.set_endpoint(1, ("127.0.0.1", free_port()))
    assert connections[0].closed and not busy.closed and o.pool.take_idle_changes() == [(1, ())]
    assert o.pool.status(str)["open"] == 1  # still counted, and closed with the pool
    o.pool.check_in(busy)
    assert busy.closed and not o.pool.orphaned_connections
    assert o.pool.totals() == {"opened": 2, "reused": 1, p.CloseReason.ENDPOINT_REMOVED: 2}


class Late(Endpoint):
    """Sends bytes beyond its response."""

    async def serve(self, reader, writer):
        self.accepted += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer(200) + answer(500))
        await reader.read()


def test_bytes_after_a_response_never_reach_the_next_call():
    async def go():
        endpoint, o = await Late().start(), Outcomes()
        for ident in "ab":
            assert (await o.send(endpoint.port, ident))[0][1].result is Result.OK
        assert endpoint.accepted == 2 and o.pool.endpoints[1].reused == 0
        await endpoint.stop()

    asyncio.run(go())


@run
async def test_response_after_the_timeout_never_reaches_the_next_call(endpoint, o):
    endpoint.release = asyncio.Event()
    endpoint.script = [answer(500), answer(200)]
    assert (await o.send(endpoint.port, "a", timeout_us=50_000))[0][1].result is Result.TIMEOUT
    endpoint.release.set()
    assert (await o.send(endpoint.port, "b"))[0][1].result is Result.OK and endpoint.accepted == 2


@pytest.mark.parametrize(("size", "result"), [(10, Result.RESET), (4_000_000, Result.CONNECT_FAILED)])
def test_connection_loss_before_the_last_byte_proves_that_the_call_has_not_run(size, result):
    async def go():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        ended = threading.Event()

        def serve():
            peer, _ = listener.accept()
            peer.recv(65536)
            peer.sendall(answer(200))
            peer.recv(10)  # of the next request, on the same connection
            peer.close()
            ended.set()

        thread = threading.Thread(target=serve)
        thread.start()
        o = Outcomes()
        port = listener.getsockname()[1]
        assert (await o.send(port, "a"))[0][1].result is Result.OK
        assert (await o.send(port, "b", body=b"x" * size))[0][1].result is result
        assert o.pool.endpoints[1].reused == 1 and o.pool.endpoints[1].closed == {
            p.CloseReason.BROKE_DURING_CALL: 1
        }
        thread.join()
        listener.close()

    asyncio.run(go())


class Full:
    """A process that has no file descriptors left."""

    def __init__(self, monkeypatch):
        self.room, self.asked = 0, 0
        real = p.PooledConnection.__init__

        def init(connection, *args, **more):
            self.asked += 1
            if not self.room:
                raise OSError(errno.EMFILE, "too many open files")
            self.room -= 1
            real(connection, *args, **more)

        monkeypatch.setattr(p.PooledConnection, "__init__", init)


def test_without_descriptors_idle_connections_are_evicted_and_calls_wait(monkeypatch):
    async def go():
        a, b = await Endpoint().start(), await Endpoint().start()
        o = Outcomes(connect_timeout_us=300_000)
        await idle(o, a, 1)
        o.pool.set_endpoint(2, ("127.0.0.1", b.port))
        files = Full(monkeypatch)
        real = o.pool.drop
        o.pool.drop = lambda connection, why: (real(connection, why), setattr(files, "room", files.room + 1))
        got = []
        o.pool.check_out(2, lambda connection, error: got.append(connection))
        await until(lambda: got)
        assert got[0].endpoint == 2 and o.pool.endpoints[1].closed == {p.CloseReason.EVICTED: 1}
        assert [r.result for _, r in await o.send(a.port, "x")] == [
            Result.MOOT
        ]  # no descriptor was freed in time
        sending = asyncio.ensure_future(o.send(a.port, "y"))
        await until(lambda: o.pool.connect_retry.waiting)
        o.pool.drop(got[0], p.CloseReason.REQUESTED_BY_POLICY)  # frees a descriptor
        assert [r.result for _, r in await sending] == [Result.OK]
        assert not o.pool.connect_retry.waiting and not o.calls.in_flight and files.asked < 50
        for e in (a, b):
            await e.stop()

    asyncio.run(go())


def test_unanswered_connects_time_out_and_leave_nothing():
    async def go():
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            s.listen(0)
            fill = [socket.socket() for _ in range(4)]
            for f in fill:
                f.setblocking(False)
                f.connect_ex(s.getsockname())
            o, before = Outcomes(connect_timeout_us=200_000), open_files()
            o.pool.set_endpoint(1, s.getsockname())
            ends = await asyncio.gather(*(o.send(s.getsockname()[1], str(n)) for n in range(30)))
            assert {outcome.result for ((_, outcome),) in ends} == {Result.CONNECT_FAILED}
            assert open_files() == before and not o.pool.endpoints[1].connections
            assert o.pool.endpoints[1].closed == {p.CloseReason.NEVER_CONNECTED: 30}
            for f in fill:
                f.close()

    asyncio.run(go())


@run
async def test_warm_up_stays_within_the_bounds_and_writes_nothing(endpoint, o):
    o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port))
    o.pool.set_max_idle(1, 2)
    for _ in range(5):
        o.pool.open_spare(1)
    await until(lambda: len(o.pool.idle) == 2)
    assert o.pool.endpoints[1].opened == 2 and endpoint.calls.empty() and o.ended.empty()
    o.wanted = False
    o.pool.close_idle(1)
    o.pool.open_spare(1)
    assert not o.pool.endpoints[1].connections


@run
async def test_thousands_of_churned_endpoints_leave_no_descriptor(endpoint, o):
    before = open_files()
    for n in range(2000):
        o.pool.set_endpoint(n, ("127.0.0.1", endpoint.port))
        done = asyncio.get_running_loop().create_future()
        o.pool.check_out(n, lambda connection, error, done=done: done.set_result(connection))
        connection = await bounded(done)
        if n % 3:
            o.pool.check_in(connection)
        o.pool.forget(n)
        if not n % 3:
            o.pool.check_in(connection)
    await until(lambda: not endpoint.writers)
    assert (
        open_files() == before
        and not o.pool.endpoints
        and not o.pool.orphaned_connections
        and not o.pool.idle_changed
    )
    assert o.pool.totals() == {"opened": 2000, "reused": 0, p.CloseReason.ENDPOINT_REMOVED: 2000}


@run
async def test_upgrade_hands_over_opening_times_beside_the_rows(endpoint, o):
    connections = await idle(o, endpoint, 2)
    payload = HandoverPayload()
    rows = o.pool.carry_idle(payload, 10)
    assert [len(row) for row in rows] == [4, 4]  # as the previous version expects
    to_wall = time.time() - asyncio.get_running_loop().time()
    opened_at = {0: connections[1].opened_at + to_wall, 1: connections[0].opened_at + to_wall}
    assert payload.values["born"] == pytest.approx(opened_at, rel=0, abs=0.01)
    other = Outcomes()
    other.pool.set_endpoint(1, ("127.0.0.1", endpoint.port))
    other.pool.resume_idle(
        [
            (
                e,
                tuple(a),
                socket.socket(fileno=os.dup(payload.fds[place])),
                since,
                payload.values["born"][place] - to_wall,
            )
            for e, a, place, since in rows
        ]
    )
    assert [connection.idle_at for connection in other.pool.endpoints[1].idle] == [
        connection.idle_at for connection in connections
    ]
    other.pool.close()


@courier
async def test_an_old_process_that_hands_over_fewer_or_unknown_fields_is_understood(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    assert await client.put("m") == "+OK"
    await e.call()
    host = fleet.host
    await until(lambda: host.pool.idle)
    payload = host.handover._build_payload()
    values = payload.values
    del values["born"]
    values["unknown"] = {"x": 1}
    values["idle"] = [[*row, "later field"] for row in values["idle"]]
    born = host.handover._opened_at(0, host.loop.time() - 5)
    host.handover.payload = HandoverPayload(values, [os.dup(fd) for fd in payload.fds])
    host.pool.close_idle(host.registry.uids["a"])
    host.handover.resume()
    assert len(host.pool.idle) == 1 and abs(host.loop.time() - 5 - born) < 1
    del values["idle"]
    host.handover.resume()
    assert await client.put("n") == "+OK"
    await e.call()


@courier
async def test_policy_and_pool_agree_on_idle_connections(fleet):
    # Guards against a policy that counts idle connections itself and misses those that the pool closes.
    e = await fleet.endpoint("a", answer(200, Connection="close"), answer(200), answer(200))
    client = await fleet.inside()
    host = fleet.host
    number = host.registry.uids["a"]

    def agree():
        host.turn()
        known = host.courier.state.endpoints[number].connection_budget.idle_since_us
        return known == [int(connection.idle_at * 1e6) for connection in host.pool.endpoints[number].idle]

    for n in range(3):
        assert await client.put(f"m{n}") == "+OK"
        await e.call()
        await until(lambda: not host.calls.in_flight)
        assert agree() and len(host.pool.idle) == (n > 0)
    host.pool.close_idle(number)
    assert agree() and not host.pool.idle
    fleet.discovery.change("a", endpoint=f"127.0.0.1:{free_port()}")
    await until(lambda: host.watch.revision == fleet.discovery.rev)
    assert agree()


@courier
async def test_operator_api_shows_connections(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    for n in range(3):
        assert await client.put(f"m{n}") == "+OK"
        await e.call()
        await until(lambda: not fleet.host.calls.in_flight)
    status, said = await operator_call(fleet.door, "GET", "/connections")
    assert status == 200 and said["open"] == said["idle"] == 1 and said["not_shown"] == 0
    (row,) = said["endpoints"]
    assert row == {
        "endpoint": "a",
        "open": 1,
        "lent": 0,
        "opening": 0,
        "idle": 1,
        "opened": 1,
        "reused": 2,
        "closed": {},
        "kept_at_most": fleet.host.courier.state.endpoints[1].connection_budget.announced,
    }
    assert await operator_call(fleet.door, "GET", "/connections/a") == (200, row)
    assert (await operator_call(fleet.door, "GET", "/connections/b"))[0] == 404
    assert (await operator_call(fleet.door, "POST", "/connections"))[0] == 405
    places = fleet.host.pool.endpoints
    for n in range(1000, 5000):  # the answer is bounded
        places[n] = p.EndpointConnections(("127.0.0.1", 1))
    status, said = await operator_call(fleet.door, "GET", "/connections")
    assert len(said["endpoints"]) == p.MAX_ROWS and said["not_shown"] == 4001 - p.MAX_ROWS


def test_restarts_reloads_and_whole_new_lists_leave_no_descriptor(tmp_path):
    async def go():
        async with Fleet(tmp_path) as fleet:
            e = await fleet.endpoint("a0")
            client = await fleet.inside()
            host = fleet.host
            assert await client.put("m0") == "+OK"
            await e.call()
            base = None
            for n in range(1, 40):
                fleet.discovery.targets.clear()
                fleet.discovery.target(f"a{n}", e.port, 7)
                fleet.discovery.rev += 1
                fleet.discovery.push(fleet.discovery.full_list())
                await until(lambda: host.watch.revision == fleet.discovery.rev)
                assert await client.put(f"m{n}") == "+OK"
                await e.call()
                await until(lambda: not host.calls.in_flight)
                host.move_discovery(("127.0.0.1", fleet.discovery.port))
                await until(lambda: len(fleet.discovery.watchers) == 1)
                if n == 9:
                    await until(lambda: len(e.writers) == 1)
                    base = open_files()
            await until(lambda: len(e.writers) == 1 and open_files() <= base)
            client.writer.close()
            host.restart.terminate()
            await bounded(host.restart.closed)
            host.close()
            fleet.host = None
            assert not host.pool.endpoints or not any(x.connections for x in host.pool.endpoints.values())

    asyncio.run(go())


def test_a_payment_lost_on_a_reused_connection_is_not_sent_twice_and_a_safe_one_is(tmp_path):
    async def go():
        async with Fleet(tmp_path) as fleet:
            e = await fleet.endpoint("a", answer(200), "reset", answer(200), "reset", answer(200))
            client = await fleet.inside()
            for ident, kind in (("first", "safe"), ("pay", "unsafe"), ("next", "safe"), ("again", "safe")):
                assert await client.put(ident, kind=kind) == "+OK"
                await until(lambda: not fleet.host.calls.in_flight and not fleet.host.events)
            assert (await fleet.discovery.final()) == {"id": "pay", "status": "undeliverable"}
            ids = [(await e.call())[1]["x-request-id"] for _ in range(5)]
            assert ids == ["first", "pay", "next", "again", "again"]
            place = fleet.host.pool.endpoints[1]
            assert (place.opened, place.reused) == (3, 2)  # both were lost on a reused connection
            await until(lambda: not fleet.host.journal.messages)
            assert e.calls.empty()

    asyncio.run(go())


# The wall clock is stepped while connections are open


@pytest.fixture
def step_wall_clock(monkeypatch):
    offset, wall = [0.0], time.time
    monkeypatch.setattr(time, "time", lambda: wall() + offset[0])
    return lambda seconds: offset.__setitem__(0, seconds)


@pytest.mark.parametrize("step_s", [-3600, -30, -1, 1, 30, 3600])
def test_connections_stay_in_use_when_the_wall_clock_is_stepped(step_wall_clock, step_s):
    @run
    async def play(endpoint, o):
        o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port), (time.time() - 0.5) * 1e3)
        step_wall_clock(step_s)
        o.pool.set_max_idle(1, 1)
        for _ in range(3):
            got = asyncio.get_running_loop().create_future()
            o.pool.check_out(1, lambda connection, error, got=got: got.set_result(connection))
            connection = await bounded(got)
            o.pool.response_received(connection)
            o.pool.check_in(connection)
        assert o.pool.endpoints[1].opened == 1 and not connection.closed

    play()


@pytest.mark.parametrize("step_s", [-3600, -30, 30, 3600])
def test_what_a_response_shows_of_idle_connections_holds_over_a_step_of_the_wall_clock(
    step_wall_clock, step_s
):
    @run
    async def play(endpoint, o):
        answering, *others = await idle(o, endpoint, 3)
        o.pool.response_received(answering)
        step_wall_clock(step_s)
        entry = o.pool.endpoints[1]
        assert all(o.pool._is_trusted(entry, connection) for connection in others)
        newest = [await checked_out(o, endpoint) for _ in range(4)][-1]
        entry.last_response_opened_at = newest.opened_at
        assert not any(o.pool._is_trusted(entry, connection) for connection in others)

    play()


@pytest.mark.parametrize("step_s", [-3600, 0, 3600])
def test_an_endpoint_restart_closes_old_connections_after_a_step_of_the_wall_clock(step_wall_clock, step_s):
    @run
    async def play(endpoint, o):
        started_at = time.time()
        step_wall_clock(step_s)
        connection = (await idle(o, endpoint, 1))[0]
        connection.opened_at -= 10
        o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port), started_at * 1e3)
        assert connection.closed

    play()


# System calls that fail for a moment


class FailingConnect:
    """Connects fail with this error while it is set."""

    def __init__(self, monkeypatch, code):
        self.code, self.failed = code, 0

        class FailingSocket(socket.socket):
            def connect_ex(self, address):
                return failing.next_code() or super().connect_ex(address)

        failing = self
        monkeypatch.setattr("hopmill.net.http.socket.socket", FailingSocket)

    def next_code(self):
        self.failed += bool(self.code)
        return self.code


@pytest.mark.parametrize(
    "code", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN, errno.EINTR]
)
def test_a_connect_that_fails_on_this_side_for_a_moment_is_not_held_against_the_endpoint(monkeypatch, code):
    @run
    async def play(endpoint, o):
        failing = FailingConnect(monkeypatch, code)
        sending = asyncio.ensure_future(o.send(endpoint.port, "a"))
        await asyncio.sleep(0.3)
        assert not sending.done() and failing.failed <= 10
        failing.code = 0
        assert (await sending)[0][1].result is Result.OK

    play()


def test_a_lasting_error_of_connects_ends_the_call_within_the_time_for_a_connect(monkeypatch):
    async def go():
        endpoint, o = await Endpoint().start(), Outcomes(connect_timeout_us=300_000)
        for code, result in ((errno.EADDRNOTAVAIL, Result.MOOT), (errno.ENETUNREACH, Result.CONNECT_FAILED)):
            FailingConnect(monkeypatch, code)
            began = time.monotonic()
            assert (await o.send(endpoint.port, "a"))[0][1].result is result
            assert time.monotonic() - began < 0.6
        o.pool.close()
        await endpoint.stop()

    asyncio.run(go())


@pytest.mark.parametrize("code", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_shortage_of_the_whole_machine_closes_no_idle_connections(monkeypatch, code):
    @run
    async def play(endpoint, o):
        other = await Endpoint().start()
        kept = await idle(o, endpoint, 1)
        o.pool.set_endpoint(2, ("127.0.0.1", other.port))
        real, failing = p.PooledConnection.__init__, [True]

        def init(connection, *args, **more):
            if failing[0]:
                raise OSError(code, os.strerror(code))
            real(connection, *args, **more)

        monkeypatch.setattr(p.PooledConnection, "__init__", init)
        got = []
        o.pool.check_out(2, lambda connection, error: got.append(connection))
        await asyncio.sleep(0.1)
        failing[0] = False
        await until(lambda: got)
        assert got[0] and not kept[0].closed
        await other.stop()

    play()
