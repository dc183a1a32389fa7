"""Each row of the outcome table, and the connections, over loopback sockets."""

import asyncio
import socket
import threading

import pytest
from loopback import Endpoint, answer, bounded, read_request

from hopmill.interface import Result
from hopmill.net import calls as c
from hopmill.net.http import Connection, Exchange
from hopmill.net.pool import Pool


class Outcomes:
    """Calls with a host that permits everything and records its callbacks."""

    def __init__(self, **changes):
        self.ended, self.waits, self.probes, self.begun = asyncio.Queue(), [], asyncio.Queue(), []
        self.taken_back = []
        self.allowed = self.wanted = True
        hooks = c.CallHooks(
            lambda e: self.allowed,
            self.begin,
            self.taken_back.append,
            self.end,
            lambda e, w: self.waits.append(w),
            lambda e, r, latency: self.probes.put_nowait(r),
        )
        given = {
            "endpoint_idle_timeout_us": 10_000_000,
            "connect_timeout_us": 1_000_000,
            "max_idle": 20,
            **changes,
        }
        loop = asyncio.get_running_loop()
        self.pool = Pool(loop, is_usable=lambda e: self.wanted, **given)
        self.calls = c.Calls(loop, hooks, self.pool)

    def begin(self, endpoint, items):
        self.begun += [i.id for i in items]
        return items

    def end(self, item, endpoint, outcome, latency):
        self.ended.put_nowait((item.id, outcome))

    async def send(self, port, *ids, timeout_us=5_000_000, body=b"x"):
        """timeout_us: for all messages, or a tuple with one for each."""
        self.pool.set_endpoint(1, ("127.0.0.1", port))
        times = timeout_us if isinstance(timeout_us, tuple) else (timeout_us,) * len(ids)
        items = [
            c.CallItem(n, 0, i, "k" + i, body, t) for n, (i, t) in enumerate(zip(ids, times, strict=True))
        ]
        self.calls.send(1, items)
        return [await bounded(self.ended.get()) for _ in ids]


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (answer(200), c.Outcome(Result.OK, over=True)),
        (answer(500), c.Outcome(Result.ERROR)),
        (answer(429, Retry_After="0.25"), c.Outcome(Result.FULL, retry_after_us=250_000)),
        (answer(503), c.Outcome(Result.FULL)),
        (
            answer(503, X_Server_Load="x0=0.4,x1=25"),
            c.Outcome(Result.FULL, report=(("x0", 0.4), ("x1", 25.0))),
        ),
        (
            answer(503, X_Server_Load="x0=0.4,x1=nan"),
            c.Outcome(Result.FULL),
        ),  # an unreadable report counts as none
        (answer(503, X_Server_Load="x0,=,x1=25,"), c.Outcome(Result.FULL)),
        (answer(503, Slots_Taken="1"), c.Outcome(Result.MOOT)),
        (answer(504), c.Outcome(Result.MOOT)),
        (answer(410), c.Outcome(Result.MOOT, over=True)),
        (answer(413), c.Outcome(Result.MOOT)),
        ("reset", c.Outcome(Result.RESET)),
        ("hang", c.Outcome(Result.TIMEOUT)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", c.Outcome(Result.OK, over=True)),
        (b"nonsense\r\n\r\n", c.Outcome(Result.RESET)),
        # Only the status line of these can be read; if it is complete and says 200, it decides.
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 9000, c.Outcome(Result.OK, over=True)),
        (b"HTTP/1.1 200 OK\r\nno header\r\n\r\n", c.Outcome(Result.OK, over=True)),
        (b"HTTP/1.1 200\r\nContent-Length: -1\r\n\r\n", c.Outcome(Result.OK, over=True)),
        (("end", b"HTTP/1.1 200 OK\r\nContent-Le"), c.Outcome(Result.OK, over=True)),
        (("end", b"HTTP/1.1 200 O"), c.Outcome(Result.RESET)),
        (b"HTTP/1.1 2000 OK\r\nno header\r\n\r\n", c.Outcome(Result.RESET)),
        (b"HTTP/1.1 500 x\r\nno header\r\n\r\n", c.Outcome(Result.RESET)),
    ],
)
def test_each_answer_has_its_outcome(step, outcome):
    async def run():
        endpoint = await Endpoint(step).start()
        o = Outcomes()
        timeout = 100_000 if step == "hang" else 5_000_000
        assert await o.send(endpoint.port, "a", timeout_us=timeout) == [("a", outcome)]
        path, headers, body, _ = await endpoint.call()
        assert (path, headers["x-request-id"], headers["idempotency-key"]) == ("/events", "a", "ka")
        assert body == b"x"
        assert 1 <= int(headers["x-timeout-ms"]) <= 5000
        if step == "hang":  # a timed-out call closes its connection, which frees the slot
            await bounded(endpoint.ended.get())
        assert o.waits == ([250_000] if outcome.retry_after_us else [])
        o.calls.close()
        await endpoint.stop()

    asyncio.run(run())


class Flood(Endpoint):
    """Answers each call with a body that does not end."""

    async def serve(self, reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000000000\r\n\r\n")
        try:
            while True:
                writer.write(b"x" * 50_000)
                await writer.drain()
        finally:
            self.ended.put_nowait(None)


@pytest.mark.parametrize(
    ("ids", "outcome"),
    [
        (("a",), c.Outcome(Result.OK, over=True)),  # the status line had been received
        (("a", "b"), c.Outcome(Result.ERROR)),  # it may have run
    ],
)
def test_an_answer_that_does_not_end_is_not_kept(ids, outcome, monkeypatch):
    monkeypatch.setattr(c, "RESPONSE_TAIL_S", 1000.0)

    async def run():
        endpoint = await Flood().start()
        o = Outcomes()
        assert await o.send(endpoint.port, *ids, timeout_us=1_000_000_000) == [(i, outcome) for i in ids]
        await bounded(endpoint.ended.get())  # the connection was closed, and not because of a time-out
        assert not o.calls.in_flight
        await endpoint.stop()

    asyncio.run(run())


def test_a_call_that_times_out_within_the_headers_keeps_its_first_line():
    async def run():
        endpoint = await Endpoint(b"HTTP/1.1 200 OK\r\nX-Pad: ").start()
        o = Outcomes()
        sending = asyncio.ensure_future(o.send(endpoint.port, "a", timeout_us=1_000_000_000))
        while not any(call.connection and call.connection.status == 200 for call in o.calls.in_flight):
            await asyncio.sleep(0.01)
        next(iter(o.calls.in_flight)).timed_out()
        assert await sending == [("a", c.Outcome(Result.OK, over=True))]
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("rows", [b"[" * 60_000, b"{}", b"[1]", b'[{"id":"a","state":[]}]', b"nan"])
def test_a_bundles_answer_that_cannot_be_read_frees_its_slot(rows):
    async def run():
        endpoint = await Endpoint(answer(200, rows)).start()
        o = Outcomes()
        ends = await o.send(endpoint.port, "a", "b")
        assert ends == [(i, c.Outcome(Result.ERROR)) for i in "ab"]  # it may have run
        assert not o.calls.in_flight
        o.calls.close()
        await endpoint.stop()

    asyncio.run(run())


def test_status_line_of_a_batch_does_not_decide_on_its_messages():
    async def run():
        endpoint = await Endpoint(b"HTTP/1.1 200 OK\r\nno header\r\n\r\n").start()
        o = Outcomes()
        ends = await o.send(endpoint.port, "a", "b")
        assert ends == [(i, c.Outcome(Result.RESET)) for i in "ab"]
        await endpoint.stop()

    asyncio.run(run())


def test_call_whose_connect_is_refused_has_not_run():
    async def run():
        o = Outcomes()
        assert await o.send(free_port(), "a") == [("a", c.Outcome(Result.CONNECT_FAILED))]
        assert o.begun == []  # nothing was written, so no attempt is recorded

    asyncio.run(run())


def test_call_whose_connect_is_not_answered_has_not_run():
    # A full accept queue drops the handshake, like an unreachable machine.
    async def run():
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            s.listen(0)
            fill = [socket.socket() for _ in range(4)]
            for f in fill:
                f.setblocking(False)
                f.connect_ex(s.getsockname())
            await asyncio.sleep(0.05)
            o = Outcomes(connect_timeout_us=100_000)
            assert await o.send(s.getsockname()[1], "a") == [("a", c.Outcome(Result.CONNECT_FAILED))]
            for f in fill:
                f.close()

    asyncio.run(run())


def test_call_broken_before_its_last_byte_has_not_run():
    # asyncio's transports would count the request as written once it is in their buffer.
    async def run():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def take_a_little():
            peer, _ = listener.accept()
            peer.recv(10)
            peer.close()  # with unread bytes: causes a reset

        thread = threading.Thread(target=take_a_little)
        thread.start()
        loop = asyncio.get_running_loop()
        up, lost = loop.create_future(), loop.create_future()

        class Seen(Exchange):
            def connection_lost(self, written):
                lost.set_result(written)

        connection = Connection(loop, listener.getsockname())
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.connect(up.set_result)
        assert await bounded(up) is None
        connection.request("POST", "/events", [], b"x" * 4_000_000, Seen())
        assert await bounded(lost) is False
        thread.join()
        listener.close()

    asyncio.run(run())


def test_a_connection_is_used_again_but_not_a_stale_one():
    async def run():
        endpoint = await Endpoint().start()
        o = Outcomes()
        for ident in "abc":
            await o.send(endpoint.port, ident)
        assert endpoint.accepted == 1
        endpoint.drop()  # closed while idle: a request on it would be reset
        await bounded(endpoint.ended.get())
        assert (await o.send(endpoint.port, "d"))[0][1].result is Result.OK
        assert endpoint.accepted == 2
        o.calls.close()
        await endpoint.stop()

    asyncio.run(run())


def test_idle_connections_close_well_before_the_endpoint_would():
    async def run():
        endpoint = await Endpoint().start()
        o = Outcomes(endpoint_idle_timeout_us=100_000)
        await o.send(endpoint.port, "a")
        await bounded(endpoint.ended.get())  # closed by the pool
        assert not o.pool.idle
        await endpoint.stop()

    asyncio.run(run())


def test_each_message_of_a_batch_has_its_outcome():
    async def run():
        rows = (
            b'[{"id":"a","state":"done"},{"id":"b","state":"failed"},{"id":"c","state":"busy"},'
            b'{"id":"d","state":"void"},{"id":"e","state":"used_up"}]'
        )
        endpoint = await Endpoint(
            answer(200, rows, Retry_After="0.5"), answer(429, Retry_After="1"), answer(200, b"[]"), "reset"
        ).start()
        o = Outcomes()
        ends = dict(await o.send(endpoint.port, *"abcde"))
        path, headers, body, _ = await endpoint.call()
        assert path == "/events/bundle" and b'"key":"ka"' in body and b'"body":"eA=="' in body
        assert {o.retry_after_us for o in ends.values()} == {500_000}
        assert {i: (o.result, o.over) for i, o in ends.items()} == {
            "a": (Result.OK, True),
            "b": (Result.ERROR, False),
            "c": (Result.FULL, False),
            "d": (Result.MOOT, True),
            "e": (Result.MOOT, False),
        }
        assert {o.result for _, o in await o.send(endpoint.port, *"fg")} == {Result.FULL}
        assert {o.result for _, o in await o.send(endpoint.port, *"hi")} == {Result.ERROR}  # may have run
        assert {o.result for _, o in await o.send(endpoint.port, *"jk")} == {Result.RESET}
        assert o.waits == [500_000, 1_000_000]
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("times", [(300_000, 60_000_000), (60_000_000, 300_000)])
def test_batch_times_out_with_its_earliest_item_and_sends_that_time(times):
    # Guards against using a response that arrives after the timeout of some items for the others only.
    async def run():
        endpoint = await Endpoint("hang").start()
        o = Outcomes()
        ends = dict(await o.send(endpoint.port, "a", "b", timeout_us=times))
        _, headers, _, _ = await endpoint.call()
        assert 0 < int(headers["x-timeout-ms"]) <= 300
        await bounded(endpoint.ended.get())  # the connection is closed: no response can arrive
        assert {end.result for end in ends.values()} == {Result.TIMEOUT} and not o.calls.in_flight
        await endpoint.stop()

    asyncio.run(run())


def test_call_that_may_no_longer_be_written_is_reported_as_not_run():
    # A wait or a drain can be announced while the connection for a call is being opened.
    async def run():
        endpoint = await Endpoint().start()
        o = Outcomes()
        o.allowed = False
        assert await o.send(endpoint.port, "a") == [("a", c.Outcome(Result.MOOT))]
        assert endpoint.calls.empty() and o.begun == []
        o.calls.close()
        await endpoint.stop()

    asyncio.run(run())


def test_probes():
    async def run():
        endpoint = await Endpoint(answer(200), answer(503), "reset").start()
        o = Outcomes()
        o.pool.set_endpoint(1, ("127.0.0.1", endpoint.port))
        for wanted in (Result.OK, Result.FULL, Result.RESET):
            o.calls.probe(1)
            assert await bounded(o.probes.get()) is wanted
        assert (await endpoint.call())[0] == "/alive"
        o.calls.close()
        await endpoint.stop()

    asyncio.run(run())


def test_close_not_yet_seen_by_the_loop_is_noticed_before_reuse():
    # The endpoint closes the connection just before the call: a request on it would count as reset.
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        end, ended = threading.Event(), threading.Event()

        def serve():
            for _ in range(2):
                peer, _ = listener.accept()
                peer.recv(65536)
                peer.sendall(answer(200))
                end.wait(10)
                peer.close()
                ended.set()

        thread = threading.Thread(target=serve)
        thread.start()
        o = Outcomes()
        port = listener.getsockname()[1]
        await o.send(port, "a")
        end.set()
        ended.wait(10)  # blocks the loop, so that it has not seen the close
        assert (await o.send(port, "b"))[0][1].result is Result.OK
        assert o.pool.endpoints[1].opened == 2
        o.calls.close()
        thread.join()
        listener.close()

    asyncio.run(run())
