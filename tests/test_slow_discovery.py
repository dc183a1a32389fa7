"""Discovery that is slow, crowded, refusing or silent: changes bind in time, and what is owed is tried."""

import asyncio
import copy
import json
import random
import socket
import time

import pytest
from loopback import Discovery, Fleet, bounded, courier, settings, until
from test_upgrade import hold_socket

from hopmill.net.backoff import retry_waits
from hopmill.net.discovery import DiscoveryWatch
from hopmill.net.list_budget import CHANGE_BOUND_S, RELOAD_BOUND_S, START_HOLD_S, UPGRADE_BOUND_S

DRAIN_GRACE_S, SLACK_S = 0.5, 0.05
LATENESSES_S = (3.0, 4.0, 5.5)


class Watched:
    """Discovery and one watch on it; `learned_s` is how long after a change the watch had it."""

    def __init__(self, couriers=2, is_server_shared=True):
        self.discovery, self.lists = Discovery(), []
        self.couriers, self.is_server_shared = couriers, is_server_shared

    async def open(self):
        await self.discovery.start()
        self.discovery.target("s", 1, 7)
        waits = retry_waits(self.couriers, self.is_server_shared)
        address = ("127.0.0.1", self.discovery.port)
        loop = asyncio.get_running_loop()
        self.watch = DiscoveryWatch(loop, address, 1, self.lists.append, waits)
        self.watch.freshness.on_start(loop.time())
        self.watch.open()
        return self

    async def learned_s(self, *, change=True, limit_s=CHANGE_BOUND_S + DRAIN_GRACE_S + SLACK_S):
        began = time.monotonic()
        if change:
            self.discovery.change("s", state="terminating")
        async with asyncio.timeout(limit_s):
            while self.watch.revision != self.discovery.rev:
                await asyncio.sleep(0.005)
        return time.monotonic() - began

    async def close(self):
        self.watch.stop()
        await self.discovery.stop()


def together(*scenarios):
    """Run scenarios beside one another."""

    async def run():
        async with asyncio.TaskGroup() as group:
            for scenario in scenarios:
                group.create_task(scenario)

    asyncio.run(run())


def test_a_drain_is_learned_from_a_discovery_that_is_late_with_first_answers_and_news_alike():
    # Guards against watches that are given up just before their answer comes, again and again (review/7).
    async def scenario(late_s, is_late_at_first, is_server_shared):
        watched = Watched(is_server_shared=is_server_shared)
        watched.discovery.delay_s = late_s if is_late_at_first else 0.0
        await watched.open()
        await asyncio.sleep(0.3)
        watched.discovery.delay_s = late_s
        await asyncio.sleep(2.0)
        assert await watched.learned_s() < CHANGE_BOUND_S
        assert watched.watch.given_up == 0 and watched.watch.last_number <= 3
        await watched.close()

    together(*(scenario(s, first, shared) for s in LATENESSES_S for first in (0, 1) for shared in (0, 1)))


def test_a_drain_is_learned_while_the_lateness_of_discovery_changes():
    async def scenario(latenesses_s):
        watched = await Watched().open()
        for late_s in latenesses_s:
            watched.discovery.delay_s = late_s
            await asyncio.sleep(1.7)
        assert await watched.learned_s() < CHANGE_BOUND_S
        assert watched.watch.given_up == 0
        await watched.close()

    together(scenario((1.0, 5.5, 2.0)), scenario((5.5, 0.0, 4.0)), scenario((3.0, 3.5, 5.0)))


class Refusing(Watched):
    """Discovery that refuses in one way until it is back."""

    async def refuse(self, how):
        discovery = self.discovery
        if how == "status":
            discovery.watch_status = 503
        elif how == "reset":
            discovery._watch = lambda path, reader, writer: asyncio.sleep(0, writer.transport.abort())
        elif how == "cut":
            discovery._watch = lambda path, reader, writer: asyncio.sleep(
                0, writer.write(b"HTTP/1.1 200 OK\r\n")
            )
        if how == "refused":
            await discovery.pause()
        discovery.drop()

    async def be_back(self, how):
        self.discovery.watch_status = 200
        self.discovery.__dict__.pop("_watch", None)
        if how == "refused":
            await self.discovery.start()


@pytest.mark.parametrize("refused_s", [5.0, 10.0])
def test_a_drain_is_learned_in_time_after_refusals_in_a_row(refused_s, monkeypatch):
    # Guards against waits after refusals that outlast the time in which a change binds (review/8).
    monkeypatch.setattr(random, "uniform", lambda low, high: high)

    async def scenario(how, couriers):
        watched = await Refusing(couriers).open()
        await asyncio.sleep(0.2)
        await watched.refuse(how)
        await asyncio.sleep(refused_s - 0.5)
        watched.discovery.rev += 1
        await asyncio.sleep(0.5)
        await watched.be_back(how)
        assert await watched.learned_s(change=False) < CHANGE_BOUND_S - 0.5
        await watched.close()

    kinds = ("status", "reset", "refused", "cut")
    together(*(scenario(how, couriers) for how in kinds for couriers in (2, 24, 200, 1000)))


def test_connections_that_come_up_late_and_a_watch_that_falls_silent_do_not_outlast_the_bound():
    async def never_up():
        watched = Watched()
        await watched.discovery.start()
        await watched.discovery.stop()
        crowded = socket.socket()
        crowded.bind(("127.0.0.1", 0))
        crowded.listen(0)
        fillers = [socket.create_connection(crowded.getsockname())]
        watch = DiscoveryWatch(
            asyncio.get_running_loop(), crowded.getsockname(), 1, watched.lists.append, retry_waits(2, True)
        )
        watch.open()
        await asyncio.sleep(2.5)
        assert not watched.lists
        server = await asyncio.start_server(watched.discovery._accept, sock=crowded, backlog=100)
        await asyncio.wait_for(until(lambda: watched.lists), CHANGE_BOUND_S)
        watch.stop()
        fillers[0].close()
        server.close()

    async def silent():
        watched = await Watched().open()
        await asyncio.sleep(0.2)
        for writer in watched.discovery.watchers:
            watched.discovery.due_at[writer] = asyncio.get_running_loop().time() + 60
        assert await watched.learned_s() < CHANGE_BOUND_S
        await watched.close()

    together(never_up(), silent())


def test_a_revision_that_goes_back_changes_nothing_and_is_no_answer():
    async def scenario():
        watched = Watched()
        watched.discovery.rev = 0
        await watched.open()
        await bounded(watched.discovery.watches.get())
        await asyncio.sleep(0.2)
        assert not watched.lists and not watched.watch.freshness.is_confirmed
        watched.discovery.change("s", state="terminating")
        await until(lambda: watched.lists)
        await watched.close()

    asyncio.run(scenario())


def test_news_of_the_former_address_count_until_the_new_one_answers():
    async def scenario():
        watched = await Watched().open()
        await until(lambda: watched.lists)
        with socket.socket() as nobody:
            nobody.bind(("127.0.0.1", 0))
            for _ in range(3):
                watched.watch.move(nobody.getsockname())
        assert await watched.learned_s() < 1
        await watched.close()

    asyncio.run(scenario())


# The whole courier


async def started(folder, *, is_server_shared=True, drains=True):
    """A courier's surroundings, whose known list is older than a drain that discovery has."""
    folder.mkdir()
    fleet = Fleet(folder, settings(contract__drainGraceUs=500_000))
    fleet.raw["membershipMode"] = "on_request" if is_server_shared else "pushed"
    await fleet.__aenter__()
    fleet.old = await fleet.endpoint("old", dest=5)
    fleet.known = copy.deepcopy(fleet.discovery.full_list())
    if drains:
        fleet.new = await fleet.endpoint("new", dest=5)
        fleet.discovery.change("old", state="terminating")
    return fleet


def first_call_s(endpoint, since):
    """When the first call came, in seconds since a time of the loop."""
    return endpoint.calls.get_nowait()[3] - since


def test_a_new_process_calls_nothing_by_an_old_list_while_a_slow_discovery_answers(tmp_path):
    # Guards against calls by the cached list once a second has passed without an answer (review/9).
    async def scenario(late_s, is_in_pieces):
        fleet = await started(tmp_path / f"{late_s}{is_in_pieces}")
        fleet.discovery.delay_s = late_s
        if is_in_pieces:
            fleet.discovery.write_line = lambda writer, text: [
                Discovery.write(
                    fleet.discovery, writer, b"%x\r\n%s\r\n" % (len(text[n : n + 60]), text[n : n + 60])
                )
                or setattr(fleet.discovery, "delay_s", fleet.discovery.delay_s + 1.0)
                for n in range(0, len(text + b"\n"), 60)
            ]
        client = await fleet.inside()
        assert await client.put("m", dest=5) == "+OK"
        await (fleet.new.call() if not is_in_pieces else asyncio.sleep(4))
        assert fleet.old.calls.empty()
        await fleet.__aexit__()

    together(*(scenario(late_s, False) for late_s in (2.0, 4.0, 5.5)), scenario(0.5, True))


def test_what_is_owed_is_tried_while_discovery_refuses_or_is_silent(tmp_path):
    async def scenario(how, is_server_shared, from_s, until_s):
        fleet = await started(tmp_path / f"{how}{is_server_shared}", is_server_shared=is_server_shared)
        fleet.discovery.watch_status = 503 if how == "refuses" else 200
        fleet.discovery.delay_s = 60.0 if how == "silent" else 0.0
        client = await fleet.inside()
        began = asyncio.get_running_loop().time()
        assert await client.put("m", kind="unsafe", dest=5, life=8500) == "+OK"
        await until(lambda: not fleet.old.calls.empty())
        assert from_s - 0.1 < first_call_s(fleet.old, began) < until_s
        await fleet.__aexit__()

    together(
        scenario("refuses", True, START_HOLD_S, 2 * START_HOLD_S),
        scenario("silent", True, CHANGE_BOUND_S, CHANGE_BOUND_S + START_HOLD_S),
        scenario("silent", False, START_HOLD_S, 2 * START_HOLD_S),
    )


async def put_for(client, seconds):
    """Submit a message every 50 ms."""
    for number in range(round(seconds / 0.05)):
        await client.put(f"later{number}", dest=5)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("how", ["upgrade", "reload", "refusals"])
def test_a_drain_binds_in_time_after_an_upgrade_a_reload_and_refusals_while_discovery_is_slow(how, tmp_path):
    @courier
    async def scenario(fleet):
        fleet.raw["membershipMode"] = "on_request"
        hold_socket(fleet)
        old = await fleet.endpoint("old", dest=5)
        new = await fleet.endpoint("new", dest=5)
        client = await fleet.outside()
        await put_for(client, 0.5)
        if how == "refusals":
            fleet.discovery.watch_status = 503
            fleet.discovery.drop()
            await put_for(client, 2.0)
        fleet.discovery.delay_s, fleet.discovery.watch_status = 5.0, 200
        fleet.discovery.change("old", state="terminating")
        if how == "upgrade":
            await fleet.upgrade()
            bound_s = UPGRADE_BOUND_S
        elif how == "refusals":
            bound_s = CHANGE_BOUND_S
        else:
            address = f"127.0.0.1:{fleet.discovery.port}"
            path = fleet.folder / "config.json"
            path.write_text(json.dumps(json.loads(path.read_text()) | {"discovery": address}))
            fleet.discovery.drop()
            fleet.process.send_signal(1)
            bound_s = RELOAD_BOUND_S
        began = asyncio.get_running_loop().time()
        await put_for(client, bound_s + 2.0)
        calls = [old.calls.get_nowait()[3] - began for _ in range(old.calls.qsize())]
        assert max(calls) < bound_s + DRAIN_GRACE_S + SLACK_S
        await until(lambda: new.calls.qsize() > 20)

    scenario(tmp_path)
