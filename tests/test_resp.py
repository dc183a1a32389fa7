"""RESP2 requests: complete ones, malformed ones, and announced sizes that never arrive."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import Client, courier

from hopmill.net.resp import MALFORMED, MAX_ELEMENTS, MAX_REQUEST_BYTES, ProtocolError, RequestReader


def read(*parts):
    reader, got = RequestReader(), []
    for part in parts:
        reader.feed(part)
        while (request := reader.next_request()) is not None:
            got.append(request)
    return got, reader


@given(st.lists(st.lists(st.binary(max_size=20), min_size=1, max_size=MAX_ELEMENTS), max_size=4), st.data())
def test_requests_come_whole_however_they_are_cut(requests, data):
    stream = b"".join(Client.command(*r) for r in requests)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    ends = [0, *cuts, len(stream)]
    got, reader = read(*(stream[a:b] for a, b in zip(ends, ends[1:], strict=False)))
    assert got == requests and not reader.has_partial_request


@pytest.mark.parametrize(
    "value",
    [
        b"+hello\r\n",
        b":5\r\n",
        b"-x\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"$2\r\nhi\r\n",
        b"*2\r\n$1\r\na\r\n*2\r\n:1\r\n$1\r\nb\r\n",
        b"*2\r\n$-1\r\n$1\r\na\r\n",
    ],
)
def test_a_malformed_value_is_read_completely(value):
    assert read(value + Client.command(b"PING"))[0] == [MALFORMED, [b"PING"]]


@pytest.mark.parametrize(
    "bad",
    [
        b"*1000000000\r\n",
        b"*4294967295\r\n",
        b"*17\r\n",
        b"*2\r\n*1000000\r\n",
        b"*9\r\n*9\r\n",
        b"*x\r\n",
        b"*\r\n",
        b"*1\r\n$600000000\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$1\r\nabc\r\n",
        b"GET / HTTP/1.1\r\n",
        b"\x00\x16\x03",
        b"+" + b"x" * 5000,
        b"*2\r\n$%d\r\n" % (MAX_REQUEST_BYTES + 1),
        b"*2\r\n$40000\r\n" + b"x" * 40000 + b"\r\n$40000\r\n",
    ],
)
def test_an_invalid_or_too_large_size_is_rejected_when_announced(bad):
    with pytest.raises(ProtocolError):
        read(bad)


@courier
async def test_a_huge_array_is_an_error_line_and_stalls_nobody(fleet):
    # A parser that trusts such a line allocates a list of that length and stalls, or runs out of memory.
    client = await fleet.inside()
    for announced in (b"*1000000000\r\n", b"*2\r\n$3\r\nabc\r\n*4294967295\r\n"):
        peer = await Client().open(fleet.port)
        assert (await peer.send(announced)).startswith("-ERR Protocol error")
    assert await client.send(client.command(b"PING")) == "+PONG"
