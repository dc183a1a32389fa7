"""Couriers that start, or lose their watch, while their copy of the endpoint list is out of date."""

import asyncio
import copy
import json
import signal
import time

import pytest
from loopback import Discovery, answer, bounded, courier, until

from hopmill.interface import (
    AwaitList,
    EndpointsListed,
    EndpointState,
    Hold,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    Send,
    Settings,
)
from hopmill.net.backoff import retry_waits
from hopmill.net.calls import CallItem
from hopmill.net.discovery import DiscoveryWatch
from hopmill.net.http import READ_BYTES
from hopmill.net.list_confirmation import CONFIRMATION_TIMEOUT_S
from hopmill.net.list_reader import MAX_LIST_BYTES, ListReader
from hopmill.net.watch_connection import WatchConnection
from hopmill.policy.courier import Courier

DRAIN_GRACE_S = 0.5
HOLD_UP_S = 0.15
MESSAGES = 4
LARGE_FLEET = 200  # couriers in the settings
MOST_ENDPOINTS = 3200


class LateDiscovery(Discovery):
    """Answers each watch only after a delay, in seconds."""

    def __init__(self, delay_s):
        super().__init__()
        self.delay_s = delay_s

    async def _watch(self, path, reader, writer):
        await asyncio.sleep(self.delay_s)
        await super()._watch(path, reader, writer)


class CutDiscovery(Discovery):
    """Ends the first answers to a watch in the middle of the list."""

    def __init__(self, cuts):
        super().__init__()
        self.cuts = cuts

    async def _watch(self, path, reader, writer):
        if self.cuts > 0:
            self.cuts -= 1
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"rev":9,"all"')
            return
        await super()._watch(path, reader, writer)


async def send_for(client, seconds, step_s=0.05):
    """Submit a message every `step_s` seconds."""
    for number in range(round(seconds / step_s)):
        await client.put(f"later{number}", dest=5)
        await asyncio.sleep(step_s)


async def like(discovery, former):
    """Start a stand-in in place of another one, with its list."""
    await former.stop()
    discovery.rev, discovery.targets = former.rev, former.targets
    return await discovery.start()


def calls_after(endpoint, at):
    """Return the number of calls that an endpoint got after a time of the event loop."""
    calls = [endpoint.calls.get_nowait() for _ in range(endpoint.calls.qsize())]
    return sum(called_at > at for _, _, _, called_at in calls)


async def start_held_up(fleet, seconds):
    """Start a courier process that is stopped for some seconds during its start; return the start's time."""
    started_at = asyncio.get_running_loop().time()
    starting = asyncio.create_task(fleet.start())
    while len(fleet.processes) < 2:
        await asyncio.sleep(0.001)
    process = fleet.processes[-1]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send_signal(signal.SIGCONT)
    fleet.process, fleet.port = await starting
    return started_at


@pytest.mark.parametrize("answer_delay_s", [0.0, 0.3])
def test_no_call_to_an_endpoint_that_began_to_drain_while_the_courier_was_down(tmp_path, answer_delay_s):
    @courier
    async def scenario(fleet):
        client = await fleet.outside()
        for number in range(MESSAGES):
            await client.put(f"m{number}", dest=5)
        await fleet.kill()
        fleet.discovery.rev, fleet.discovery.targets = 2, {}
        drained = await fleet.endpoint("drained", dest=5)
        fleet.known = copy.deepcopy(fleet.discovery.full_list())
        other = await fleet.endpoint("other", dest=5)
        fleet.discovery.change("drained", state="terminating")
        fleet.discovery = await like(LateDiscovery(answer_delay_s), fleet.discovery)
        started_at = await start_held_up(fleet, DRAIN_GRACE_S)
        await until(lambda: drained.calls.qsize() + other.calls.qsize() == MESSAGES)
        assert calls_after(drained, started_at + DRAIN_GRACE_S) == 0

    scenario(tmp_path)


@courier
async def test_no_call_to_an_endpoint_that_drains_once_an_agent_in_a_large_fleet_is_back(fleet):
    fleet.raw["groupSize"] = LARGE_FLEET
    drained = await fleet.endpoint("drained", dest=5)
    await fleet.endpoint("other", dest=5)
    client = await fleet.outside()
    await bounded(fleet.discovery.watches.get())
    await fleet.discovery.stop()
    await send_for(client, 1.0)
    fleet.discovery.rev += 1
    fleet.discovery.targets["drained"]["state"] = "terminating"
    await fleet.discovery.start()
    told_at = asyncio.get_running_loop().time()
    await send_for(client, 2.0)
    assert calls_after(drained, told_at + DRAIN_GRACE_S) == 0


@courier
async def test_no_call_by_an_old_list_when_the_first_answers_to_a_new_process_are_cut(fleet):
    fleet.raw["groupSize"] = LARGE_FLEET
    drained = await fleet.endpoint("drained", dest=5)
    fleet.known = copy.deepcopy(fleet.discovery.full_list())
    await fleet.endpoint("other", dest=5)
    fleet.discovery.change("drained", state="terminating")
    fleet.discovery = await like(CutDiscovery(cuts=2), fleet.discovery)
    started_at = asyncio.get_running_loop().time()
    client = await fleet.outside()
    await send_for(client, 2.0)
    assert calls_after(drained, started_at + DRAIN_GRACE_S) == 0


@pytest.mark.parametrize("change", ["address", "destination"])
def test_no_call_to_an_endpoint_that_moved_while_its_connection_was_opened(tmp_path, change):
    @courier
    async def scenario(fleet):
        former = await fleet.endpoint("moved", dest=5)
        client = await fleet.inside()
        await until(lambda: fleet.host.list_confirmation.is_confirmed)
        present = await fleet.endpoint("moved" if change == "address" else "other", dest=5)
        if change == "destination":
            fleet.discovery.targets["moved"]["pod_group"] = 6
        start_call = fleet.host.calls.send

        def move_after_start(endpoint, items):
            start_call(endpoint, items)
            fleet.host.calls.send = start_call
            fleet.host.on_endpoint_list(fleet.discovery.full_list())

        fleet.host.calls.send = move_after_start
        await client.put("m", dest=5)
        await until(lambda: former.calls.qsize() + present.calls.qsize())
        assert former.calls.empty()
        await former.stop()

    scenario(tmp_path)


@courier
async def test_no_call_to_an_endpoint_whose_drain_lies_unread_when_a_turn_is_held_up(fleet):
    drained = await fleet.endpoint("drained", dest=5)
    client = await fleet.inside()
    await until(lambda: fleet.host.list_confirmation.is_confirmed)
    await client.put("before", dest=5)
    await drained.call()
    await until(lambda: fleet.host.pool.idle)
    other = await fleet.endpoint("other", dest=5)
    decide = fleet.host.courier.handle

    def decide_and_be_held_up(now_us, events):
        actions = decide(now_us, events)
        if any(isinstance(action, Send) for action in actions):
            fleet.host.courier.handle = decide
            fleet.discovery.change("other")
            fleet.discovery.change("drained", state="terminating")
            time.sleep(DRAIN_GRACE_S)
        return actions

    fleet.host.courier.handle = decide_and_be_held_up
    await client.put("m", dest=5)
    await until(lambda: drained.calls.qsize() + other.calls.qsize())
    assert drained.calls.empty()


@pytest.mark.parametrize(
    "entry",
    [
        {"state": "terminating", "capacity_hint": "much"},
        {"state": "terminated", "endpoint": "partner.invalid:80"},
        {"state": "retired"},
    ],
)
def test_no_call_to_an_endpoint_whose_entry_can_be_read_only_in_part(tmp_path, entry):
    @courier
    async def scenario(fleet):
        drained = await fleet.endpoint("drained", dest=5)
        other = await fleet.endpoint("other", dest=5)
        client = await fleet.inside()
        await until(lambda: fleet.host.list_confirmation.is_confirmed)
        fleet.discovery.change("drained", **entry)
        await until(lambda: fleet.host.watch.revision == fleet.discovery.rev)
        for number in range(MESSAGES):
            await client.put(f"m{number}", dest=5)
        await until(lambda: drained.calls.qsize() + other.calls.qsize() == MESSAGES)
        assert drained.calls.empty()

    scenario(tmp_path)


@courier
async def test_a_wait_told_by_an_endpoint_that_left_the_list_holds_for_calls_that_wait_for_connections(fleet):
    left = await fleet.endpoint("left", answer(429, Retry_After=5), dest=5)
    left.release = asyncio.Event()
    client = await fleet.inside()
    await client.put("m", kind="unsafe", dest=5)
    await left.call()
    await client.put("waiting", dest=5)
    other = await fleet.endpoint("other", dest=5)
    fleet.discovery.change("other")
    fleet.discovery.change("left", state="terminated")
    await until(lambda: fleet.host.watch.revision == fleet.discovery.rev)
    left.release.set()
    await until(lambda: not fleet.host.calls.in_flight)
    waiting = CallItem(2, 0, "waiting", "", b"hello", 1_000_000)
    fleet.host.calls.send(fleet.host.registry.number("other"), [waiting])
    await until(lambda: waiting.ended)
    assert other.calls.empty()


@courier
async def test_no_call_within_a_told_wait_that_lies_unread_after_the_courier_was_held_up(fleet):
    full = await fleet.endpoint("full", dest=5)
    full.release = asyncio.Event()
    client = await fleet.inside()
    await client.put("m", kind="unsafe", dest=5)
    await full.call()
    await client.put("waiting", dest=5)
    other = await fleet.endpoint("other", dest=5)
    fleet.discovery.change("other")
    await until(lambda: fleet.host.watch.revision == fleet.discovery.rev)
    fleet.host.pool.open_spare(fleet.host.registry.number("other"))
    await until(lambda: fleet.host.pool.idle)
    for writer in full.writers:
        writer.write(answer(429, Retry_After=5))
    time.sleep(HOLD_UP_S)
    waiting = CallItem(2, 0, "waiting", "", b"hello", 1_000_000)
    fleet.host.calls.send(fleet.host.registry.number("other"), [waiting])
    await until(lambda: waiting.ended)
    assert other.calls.empty()


@pytest.mark.parametrize("indent", [None, 1])
def test_the_largest_list_is_read_within_the_grace_of_a_drain(indent):
    async def scenario():
        lists = []
        waits = retry_waits(LARGE_FLEET, is_server_shared=False)
        loop, address = asyncio.get_running_loop(), ("127.0.0.1", 1)
        watch = DiscoveryWatch(loop, address, 0, lists.append, waits)
        connection = WatchConnection(loop, address, 1, 0, watch)
        discovery = Discovery()
        for number in range(MOST_ENDPOINTS):
            discovery.target(f"s-{number:08x}", 6379, dest=number % 100)
        text = json.dumps(discovery.full_list(), indent=indent).encode() + b"\n"
        began = time.monotonic()
        for start in range(0, len(text), READ_BYTES):
            connection.body_received(text[start : start + READ_BYTES])
        assert time.monotonic() - began < DRAIN_GRACE_S
        assert [len(change["targets"]) for change in lists] == [MOST_ENDPOINTS]
        watch.stop()
        connection.close()

    asyncio.run(scenario())


@courier
async def test_the_whole_list_is_asked_for_after_a_line_that_cannot_be_read_though_another_follows(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    await bounded(fleet.discovery.watches.get())
    await until(lambda: fleet.host.list_confirmation.is_confirmed)
    last_line = json.dumps({"rev": fleet.discovery.rev + 2, "all": False, "targets": []}).encode()
    for writer in fleet.discovery.watchers:
        fleet.discovery.write_line(writer, b'{"rev": "?"}\n' + last_line)
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=0")


@courier
async def test_a_start_without_discovery_delivers_by_the_cached_list(fleet):
    endpoint = await fleet.endpoint("a")
    await fleet.discovery.stop()
    client = await fleet.outside()
    ready_at = asyncio.get_running_loop().time()
    assert await client.put("m") == "+OK"
    _, headers, _, called_at = await endpoint.call()
    assert headers["x-request-id"] == "m"
    assert called_at < ready_at + 2 * CONFIRMATION_TIMEOUT_S


def test_calls_wait_while_either_event_holds_them():
    policy = Courier(Settings(classes=(MessageClass("safe", 1_000_000, 6_000_000),), slots=4, max_held=16), 1)
    listed = EndpointsListed(ListForm.CACHED, (ListEntry(1, 7, EndpointState.READY),))
    steps = ([listed, AwaitList(True), Hold(True), MessageArrived(1, 0, 7, 6_000_000)], [Hold(False)])
    steps += ([Hold(True), AwaitList(False)], [Hold(False)])
    sent = [policy.handle(now_us, events) for now_us, events in enumerate(steps)]
    assert [sum(isinstance(action, Send) for action in actions) for actions in sent] == [0, 0, 0, 1]


def test_a_line_of_a_list_that_never_ends_does_not_fill_the_memory():
    reader, unreadable = ListReader(), []
    for _ in range(MAX_LIST_BYTES // 50_000):
        unreadable += reader.feed(b"x" * 100_000)
        assert len(reader.partial_line) <= MAX_LIST_BYTES
    assert len(unreadable) >= 1
