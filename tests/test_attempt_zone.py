"""Where an attempt may have run is a fact of the message, whatever becomes of the endpoint and the lists."""

import asyncio
import dataclasses

import pytest
from loopback import bounded, courier, until
from test_brain import Host, S, of_type
from test_upgrade import healthy, hold_socket

from hopmill.interface import (
    AttemptEnded,
    CallCarried,
    Effect,
    EndpointsListed,
    EndpointState,
    Fail,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    Result,
    Send,
)

KEYED = MessageClass(
    "keyed", aim_us=S, deadline_us=9 * S, effect=Effect.KEYED, key_window_us=8 * S, key_scope="zone"
)
READY, GONE = EndpointState.READY, EndpointState.GONE


def listed(*rows):
    """A list of endpoints of destination 1, by number and zone."""
    entries = tuple(ListEntry(number, 1, READY, 0.0, 0, zone) for number, zone in rows)
    return EndpointsListed(ListForm.FULL, entries)


def repeats(host, result=Result.TIMEOUT, endpoint=100, attempt=0):
    """The endpoints of attempts that follow once an attempt of message 1 has ended so."""
    sends = of_type(Send, host.do(AttemptEnded(1, attempt, endpoint, result, 50_000), after=50_000))
    while not sends and host.courier.state.messages:
        actions = host.idle(0.1)
        sends = of_type(Send, actions)
        if of_type(Fail, actions):
            return []
    return [send.endpoint for send in sends]


@pytest.mark.parametrize(
    ("zone", "others", "expected"), [(1, (0, 2), []), (1, (0, 1), [202]), (-1, (0,), [])]
)
def test_a_carried_call_to_an_endpoint_that_left_the_list_keeps_its_zone(zone, others, expected):
    # The endpoint was added anew in the first zone, and the message repeated there.
    host = Host(endpoints=0, classes=(KEYED,))
    rows = [(200 + n, z) for n, z in enumerate(others, 1)]
    arrived = MessageArrived(1, 0, 1, host.now + 9 * S, tries=1, out=True, restored=True)
    host.do(listed(*rows), arrived, CallCarried(100, host.now, (1,), zone))
    assert repeats(host) == expected


@pytest.mark.parametrize("change", [listed((100, 0), (101, 0)), listed((101, 0))])
def test_the_zone_of_a_call_is_the_one_in_which_it_was_sent(change):
    # An endpoint that changes its zone while a call is in flight took the attempt with it.
    host = Host(endpoints=0, classes=(KEYED,))
    host.do(listed((100, 1)))
    (send,) = of_type(Send, host.do(MessageArrived(1, 0, 1, host.now + 9 * S)))
    assert send.endpoint == 100
    host.do(change)
    assert repeats(host) == []


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_an_attempt_in_an_unknown_place_is_not_repeated(scope):
    keyed = dataclasses.replace(KEYED, key_scope=scope)
    host = Host(endpoints=0, classes=(keyed,))
    ran_at = host.now - S // 10
    actions = host.do(
        listed((100, 0), (101, 1)),
        MessageArrived(1, 0, 1, host.now + 9 * S, tries=1, ran_at_us=ran_at, restored=True),
    )
    actions += host.idle(1)
    assert not of_type(Send, actions) and len(of_type(Fail, actions)) == 1


def zone_class(fleet, scope="zone"):
    """Let endpoints drop repeats of the class "keyed" in their zone only."""
    fleet.raw["classes"][1]["keyScope"] = scope
    fleet.raw["policyLimits"]["connectTimeoutUs"] = 3_000_000  # a first call may last as long
    fleet.raw["localities"] = ["here", "there"]


async def in_zone(fleet, uid, zone, *script):
    """An endpoint in a zone; discovery tells of it."""
    endpoint = await fleet.endpoint(uid, *script)
    fleet.discovery.targets[uid]["az"] = zone
    fleet.discovery.change(uid)
    return endpoint


async def hanging_call(fleet, start, zone="there"):
    """A courier with a call in flight to an endpoint that has left the list; another is in zone "here"."""
    first = await in_zone(fleet, "first", zone, "hang", "hang")
    client = await start()
    assert await client.put("m", kind="keyed", key="k") == "+OK"
    call = await first.call()
    here = await in_zone(fleet, "here", "here")
    fleet.discovery.change("first", state="terminated")
    del fleet.discovery.targets["first"]
    await asyncio.sleep(0.1)
    return call, first, here


@courier
async def test_after_an_upgrade_a_message_is_not_repeated_in_another_zone_than_it_ran_in(fleet):
    # review/6: the message ran in both zones.
    hold_socket(fleet)
    zone_class(fleet)
    _, first, here = await hanging_call(fleet, fleet.outside)
    await fleet.upgrade()
    await bounded(fleet.former.wait())
    await healthy(fleet.door)
    await bounded(first.ended.get())  # the courier has given up the call
    again = await in_zone(fleet, "again", "there")  # repeats are dropped here
    assert (await again.call())[1]["x-request-id"] == "m"
    assert here.calls.empty()


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_the_zone_outlives_a_kill_a_compaction_and_the_list(tmp_path, scope):
    @courier
    async def play(fleet):
        zone_class(fleet, scope)
        _, _, here = await hanging_call(fleet, fleet.outside)
        await fleet.kill()
        fleet.known = fleet.discovery.full_list()
        fleet.limits["disk_mb"] = 1  # the next process compacts its journal
        await fleet.outside()
        if scope == "cell":  # any endpoint of the destination
            assert (await here.call())[1]["x-request-id"] == "m"
            return
        await asyncio.sleep(1.0)
        again = await in_zone(fleet, "again", "there")
        assert (await again.call())[1]["x-request-id"] == "m"
        assert here.calls.empty()

    play(tmp_path)


@courier
async def test_an_endpoint_that_moves_to_another_zone_before_the_write_gets_no_repeat(fleet):
    # The decision was made by the list before; a connection takes time to open.
    zone_class(fleet)
    await in_zone(fleet, "a", "there", "hang")
    client = await fleet.inside()
    host = fleet.host
    assert await client.put("m", kind="keyed", key="k") == "+OK"
    await fleet.endpoints["a"].call()
    (message,) = host.journal.messages.values()
    assert message.may_have_run_zone == "there"
    (call,) = host.calls.in_flight
    endpoint = host.registry.number("a")
    now = host.journal.scale.now()
    assert host.attempts._may_attempt_now(call.items[0], endpoint, now)
    for zone in ("here", ""):
        moved = fleet.discovery.targets["a"] | {"az": zone}
        host.on_endpoint_list({"all": False, "targets": [moved]})
        assert not host.attempts._may_attempt_now(call.items[0], endpoint, now)


@courier
async def test_a_newer_message_with_the_key_is_repeated_only_where_the_older_one_ran(fleet):
    zone_class(fleet)
    await in_zone(fleet, "a", "there", "hang", "hang")
    client = await fleet.inside()
    assert await client.put("older", kind="keyed", key="k") == "+OK"
    await fleet.endpoints["a"].call()
    here = await in_zone(fleet, "b", "here")
    await until(lambda: len(fleet.host.registry.entries) == 2)
    assert await client.put("newer", kind="keyed", key="k") == "+OK"
    assert (await fleet.endpoints["a"].call())[1]["x-request-id"] == "newer"
    assert here.calls.empty()
