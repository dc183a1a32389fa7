"""Answers of endpoints and calls of operators are held to bounds too: lines, bytes, what is kept."""

import asyncio

import pytest
from loopback import Endpoint, answer, bounded, courier
from test_operator import call

from hopmill.net.http import HEAD_END, MAX_HEAD_LINES, Connection, Exchange
from hopmill.net.calls import MAX_WIRE_BYTES

CHUNK = b"1\r\nx\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Recorded(Exchange):
    """Records how an exchange goes."""

    def __init__(self):
        self.heads, self.over = [], asyncio.Event()

    def head_received(self, status, headers):
        self.heads.append((status, len(headers)))

    def response_complete(self):
        self.over.set()

    def connection_lost(self, written):
        self.over.set()


async def exchanged(text):
    """A connection and the record of its exchange with an endpoint that answers so."""
    endpoint = await Endpoint(text).start()
    connection, record = Connection(asyncio.get_running_loop(), ("127.0.0.1", endpoint.port)), Recorded()
    connected = asyncio.get_running_loop().create_future()
    connection.connect(connected.set_result)
    await bounded(connected)
    connection.request("POST", "/events", [], b"x", record)
    await bounded(record.over.wait())
    kept, closed = connection.received, connection.closed
    connection.close()
    await endpoint.stop()
    return record, kept, closed


@pytest.mark.parametrize(
    ("text", "heads"),
    [
        (b"HTTP/1.1 500 x\r\n" + b"a:b\r\n" * 5000 + b"Content-Length: 0" + HEAD_END, []),
        (b"HTTP/1.1 100 x\r\n\r\n" * 5000, []),
        (b"HTTP/1.1 500 x\r\nx: " + b"y" * 20_000 + HEAD_END, []),
        (b"HTTP/1.1 500 x\r\n" + b"a:b\r\n" * (MAX_HEAD_LINES // 2) + b"Content-Length: 0" + HEAD_END, [500]),
    ],
)
def test_a_head_of_thousands_of_fields_is_not_read(text, heads):
    # Each such answer stopped the event loop while it was parsed.
    record, _, closed = asyncio.run(exchanged(text))
    assert [status for status, _ in record.heads] == heads and closed is not bool(heads)


def test_an_idle_connection_keeps_nothing_of_its_last_answer():
    # Up to 96 KiB of each idle connection were kept.
    _, kept, closed = asyncio.run(exchanged(answer(200, b"x" * 60_000)))
    assert kept == b"" and not closed


@courier
async def test_an_answer_in_tiny_chunks_is_not_read_to_its_end(fleet):
    # The size of the body alone was bounded, not what its framing takes.
    text = CHUNKED_HEAD + CHUNK * 60_000 + b"0\r\n\r\n"
    endpoint = await fleet.endpoint("a", text)
    client = await fleet.inside()
    pool, taken = fleet.host.pool, []
    drop = pool.drop
    pool.drop = lambda connection, reason: (taken.append(connection.response_bytes), drop(connection, reason))
    assert await client.put("m") == "+OK"
    await endpoint.call()
    await bounded(endpoint.ended.get())
    assert MAX_WIRE_BYTES < taken[0] < 2 * MAX_WIRE_BYTES


@courier
async def test_a_call_of_an_operator_has_a_bounded_number_of_lines(fleet):
    await fleet.inside()
    reader, writer = await asyncio.open_connection("127.0.0.2", fleet.door)
    writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 500 + b"\r\n")
    assert b" 431 " in await bounded(reader.readline())
    writer.close()
    assert (await call(fleet.door, "GET", "/healthcheck"))[0] == 200
