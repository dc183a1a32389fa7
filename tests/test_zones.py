"""Zones excluded and brought back by operators: decisions, the operator API, and what outlasts a process."""

import random

import pytest
from loopback import courier, settings, until
from test_brain import CLASSES, Host, S, of_type
from test_operator import call
from test_upgrade import healthy, hold_socket

from hopmill.interface import (
    AttemptEnded,
    CloseIdle,
    Connections,
    Effect,
    EndpointsListed,
    EndpointState,
    Fail,
    Kind,
    ListEntry,
    ListForm,
    Log,
    MessageArrived,
    MessageClass,
    Refuse,
    Result,
    Send,
    SetByHand,
    Settings,
    SetZoneByHand,
    ZoneCarried,
)
from hopmill.net.endpoint_registry import MAX_ZONES
from hopmill.net.journal import Journal
from hopmill.policy.courier import Courier
from hopmill.policy.zones import Zones

COLD = 12 * S


def two_zones(*zones, **changes):
    """Endpoints 100, 101, ... of one destination, one in each of these zones."""
    host = Host(endpoints=0, **{"cold_us": COLD, "cold_share": 0.2, **changes})
    host.do(
        EndpointsListed(
            ListForm.FULL,
            tuple(
                ListEntry(100 + n, 1, EndpointState.READY, 0.0, 0, zone)
                for n, zone in enumerate(zones or (0, 1))
            ),
        )
    )
    return host


def forget_idle(host):
    host.simulated.idle_since_us.clear()
    host.do(*(Connections(e, ()) for e in host.courier.state.endpoints))


def served(host, calls, **more):
    """The endpoints that this many messages go to, two at once; no idle connection favours one of them."""
    got = []
    for _ in range(calls // 2):
        forget_idle(host)
        sends = of_type(Send, host.arrive(after=50_000, **more) + host.arrive(after=1_000, **more))
        for send in sends:
            got.append(send.endpoint)
            sends += of_type(Send, host.end(send.message, Result.OK, after=20_000, endpoint=send.endpoint))
    return got


def test_an_excluded_zone_gets_nothing_and_its_idle_connections_close():
    host = two_zones()
    assert 100 in served(host, 10)
    actions = host.do(SetZoneByHand(0, True))
    assert [a.endpoint for a in of_type(CloseIdle, actions)] == [100]
    assert "zone 0: out" in of_type(Log, actions)[0].text
    assert set(served(host, 20)) == {101}


def test_a_zone_returns_gradually_and_then_has_its_full_share():
    host = two_zones()
    host.do(SetZoneByHand(0, True))
    served(host, 20)
    host.do(SetZoneByHand(0, False))
    early = served(host, 100)  # the first 4 s of a return of 9 to 15 s
    host.idle(15)
    late = served(host, 100)
    assert 0 < early.count(100) < 0.5 * late.count(100)


def test_repeats_and_a_zone_that_was_not_out_change_nothing():
    host = two_zones()
    host.do(SetZoneByHand(0, False))
    assert not host.courier.zones.returning
    for _ in range(3):
        host.do(SetZoneByHand(0, True))
    host.do(SetZoneByHand(0, False))
    back = dict(host.courier.zones.returning)
    host.do(SetZoneByHand(0, False))
    assert host.courier.zones.returning == back


def test_a_zone_is_excluded_again_while_it_returns():
    host = two_zones()
    host.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    host.do(SetZoneByHand(0, True))
    host.idle(20)
    assert set(served(host, 20)) == {101} and not host.courier.zones.returning


def test_a_zone_is_brought_back_while_its_endpoints_still_fail():
    host = two_zones()
    host.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    tried = 0
    for _ in range(200):
        forget_idle(host)
        sends = of_type(Send, host.arrive(after=50_000) + host.arrive(after=1_000))
        for send in sends:
            bad = send.endpoint == 100
            tried += bad
            result = Result.CONNECT_FAILED if bad else Result.OK
            sends += of_type(Send, host.end(send.message, result, after=20_000, endpoint=send.endpoint))
    assert 0 < tried < 20  # its breaker works as usual


@pytest.mark.parametrize("zones", [(0,), (0, 0)])
def test_a_destination_with_no_other_zone_gets_its_answer_in_time(zones):
    host = two_zones(*zones)
    host.do(SetZoneByHand(0, True))
    assert not of_type(Send, host.arrive(lifetime_us=3 * S))
    assert of_type(Refuse, host.idle(3.1))
    host.do(SetZoneByHand(0, False))
    got = served(host, 100)  # without another choice: a slow start, as after an outage
    assert got and host.courier.state.endpoints[100].breaker.slow_start_began_us >= 0


def test_without_another_choice_the_slow_start_alone_holds_back():
    for seed in range(20):  # there is no random choice in addition
        host = two_zones(0)
        host.courier.turn.rng.seed(seed)
        host.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
        assert of_type(Send, host.arrive())


def test_a_circuit_shared_with_other_zones_does_not_go_back_to_a_cold_start():
    # In a large fleet the endpoints of a destination share one breaker, and the other zones are healthy.
    host = two_zones(couriers=100, slots=4)
    host.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    one, other = (host.courier.state.endpoints[100 + n] for n in (0, 1))
    assert one.breaker is other.breaker and one.breaker.slow_start_began_us < 0
    alone = two_zones(0, couriers=100, slots=4)
    alone.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    assert alone.courier.state.endpoints[100].breaker.slow_start_began_us >= 0


def test_all_zones_out_and_a_zone_that_no_list_named():
    host = two_zones()
    host.do(SetZoneByHand(0, True), SetZoneByHand(1, True), SetZoneByHand(7, True))
    assert not of_type(Send, host.arrive(lifetime_us=2 * S)) and of_type(Refuse, host.idle(2.1))
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(107, 1, EndpointState.READY, 0.0, 0, 7),)))
    assert not of_type(Send, host.arrive())


def test_an_endpoint_that_changes_its_zone_goes_by_the_new_one():
    host = two_zones()
    host.do(SetZoneByHand(0, True))
    host.do(
        EndpointsListed(
            ListForm.DELTA,
            (
                ListEntry(100, 1, EndpointState.READY, 0.0, 0, 1),
                ListEntry(101, 1, EndpointState.READY, 0.0, 0, 0),
            ),
        )
    )
    assert set(served(host, 10)) == {100}


def test_an_endpoint_out_by_hand_stays_out_when_its_zone_returns():
    host = two_zones(0, 0, 1)
    host.do(SetByHand(100, True), SetZoneByHand(0, True), SetZoneByHand(0, False))
    host.idle(20)
    assert set(served(host, 40)) == {101, 102}


def test_what_may_only_be_repeated_in_the_zone_is_not_sent_elsewhere_while_that_is_out():
    keyed = MessageClass(
        "keyed", aim_us=S, deadline_us=5 * S, effect=Effect.KEYED, key_window_us=5 * S, key_scope="zone"
    )
    host = two_zones(classes=(keyed,))
    (send,) = of_type(Send, host.do(MessageArrived(1, 0, 1, host.now + 5 * S)))
    zone = host.courier.state.endpoints[send.endpoint].zone
    host.do(SetZoneByHand(zone, True))
    actions = host.end(1, Result.ERROR, after=50_000, endpoint=send.endpoint) + host.idle(5)
    assert not of_type(Send, actions) and len(of_type(Fail, actions)) == 1


def test_a_return_goes_on_over_an_upgrade():
    host = two_zones()
    host.do(ZoneCarried(0, host.now - COLD // 2, host.now + COLD // 2))
    assert host.courier.zones.share(0, host.now) == pytest.approx(0.6)
    host.idle(6.1)
    assert host.courier.zones.state(0, host.now) == ("serving", 1.0, "")


def test_couriers_do_not_come_back_in_step():
    ends = set()
    for seed in range(50):
        zones = Zones(0.2, COLD, random.Random(seed))
        zones.exclude(1)
        assert zones.bring_back(1, 0)
        ends.add(zones.returning[1][1])
    assert len(ends) == 50 and max(ends) - min(ends) > COLD / 4


def test_without_a_zone_out_no_decision_changes():
    def day(touch):
        host, got = two_zones(0, 1, 1), []
        if touch:
            host.do(SetZoneByHand(5, True), SetZoneByHand(5, False))
            host.courier.zones.returning.clear()
            host.courier.turn.rng.seed(7)
        else:
            host.courier.turn.rng.seed(7)
        return got + served(host, 100)

    assert day(False) == day(True)


def test_forty_couriers_bring_a_zone_back_within_the_cold_budget():
    """A destination of 40 calls per second with an endpoint in each of two zones.

    What all couriers send to a zone while it returns stays below fall_multiple times its capacity of that
    moment, in each 2 s.
    """
    couriers, rate, cold, multiple, now = 40, 40.0, 0.2, 2.0, 1000 * S
    given = dict(
        classes=CLASSES,
        slots=4,
        max_held=50,
        couriers=couriers,
        rates_listed=True,
        cold_us=COLD,
        cold_share=cold,
        fall_multiple=multiple,
        tick_us=5000,
        kinds=(Kind("k"),),
    )
    fleet_couriers = [Courier(Settings(me=k, **given), k) for k in range(couriers)]
    listed = EndpointsListed(
        ListForm.CACHED, tuple(ListEntry(100 + z, 1, EndpointState.READY, rate, 0, z) for z in range(2))
    )
    for one in fleet_couriers:
        one.handle(now, [listed, SetZoneByHand(0, True)])
    rng, calls, sent, start = random.Random(3), [], [], now + 10 * S
    for step in range(4000):  # 40 s
        now += 10_000
        inbox = {}
        if now == start:
            inbox = {k: [SetZoneByHand(0, False)] for k in range(couriers)}
        if step % 5 < 2:
            inbox.setdefault(rng.randrange(couriers), []).append(MessageArrived(step, 0, 1, now + 5 * S))
        for _, k, event in [x for x in calls if x[0] <= now]:
            inbox.setdefault(k, []).append(event)
        calls = [x for x in calls if x[0] > now]
        for k, events in inbox.items():
            for action in of_type(Send, fleet_couriers[k].handle(now, events)):
                if action.endpoint == 100:
                    sent.append(now)
                attempt = max(t for m, t in fleet_couriers[k].state.calls if m == action.message)
                done = AttemptEnded(action.message, attempt, action.endpoint, Result.OK, 50_000, True)
                calls.append((now + 50_000, k, done))
    assert not [t for t in sent if t < start]
    for at in range(start, start + COLD, S // 2):
        able = min(1.0, cold + (1 - cold) * (at - start) / COLD) * rate
        assert sum(at <= t < at + 2 * S for t in sent) <= multiple * able * 2
    late = [t for t in sent if t >= start + 20 * S]
    assert len(late) > 5 * 20 * 0.5  # the zone has returned in the end


@courier
async def test_a_zone_in_the_operator_api(fleet):
    fleet.raw = settings()
    fleet.raw["localities"] = ["here", "there"]
    a, b = await fleet.endpoint("a"), await fleet.endpoint("b")
    fleet.discovery.targets["b"]["az"] = "annex"  # a zone that the settings do not name
    client = await fleet.inside()
    status, said = await call(fleet.door, "GET", "/zones")
    assert status == 200 and [(z["zone"], z["state"], z["endpoints"]) for z in said["zones"]] == [
        ("here", "serving", 1),
        ("there", "serving", 0),
        ("annex", "serving", 1),
    ]
    assert (await call(fleet.door, "POST", "/zones/here/maint"))[0] == 200
    row = (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]
    assert (row["state"], row["share"], row["reason"]) == ("out", 0.0, "left out by an operator")
    for n in range(6):
        assert await client.put(f"m{n}") == "+OK"
    for _ in range(6):
        await b.call()
    assert a.calls.empty()
    assert (await call(fleet.door, "POST", "/zones/nowhere/maint"))[0] == 404
    assert (await call(fleet.door, "GET", "/zones/here/maint"))[0] == 405
    assert (await call(fleet.door, "POST", "/zones"))[0] == 405
    limit, fleet.host.journal.limit_bytes = fleet.host.journal.limit_bytes, 0
    assert (await call(fleet.door, "POST", "/zones/annex/maint"))[0] == 503
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 503
    assert fleet.host.courier.zones.excluded == {0}  # nothing has changed
    fleet.host.journal.limit_bytes = limit
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 200
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "returning"


@courier
async def test_a_zone_out_lasts_over_a_restart_a_rewritten_journal_and_an_upgrade(fleet):
    hold_socket(fleet)
    # The zone is on its way back for longer than a slow start of the next process.
    fleet.raw["contract"]["coldUs"] = 6_000_000
    a = await fleet.endpoint("a")
    await fleet.outside()
    assert (await call(fleet.door, "POST", "/zones/here/maint"))[0] == 200
    await fleet.kill()
    journal = Journal(fleet.folder / "state", 3_000_000)
    journal.compact()
    assert journal.excluded_zones == {"here"}
    journal.close()
    client = await fleet.outside()
    assert await client.put("m") == "+OK"
    await fleet.upgrade()
    await healthy(fleet.door)
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "out"
    assert a.calls.empty()
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 200
    assert (await a.call())[1]["x-request-id"] == "m"
    await fleet.upgrade()  # while the zone returns: the next process continues that
    await healthy(fleet.door)
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "returning"


@courier
async def test_zone_names_do_not_pile_up(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    host = fleet.host
    for n in range(1000):
        target = {**fleet.discovery.targets["a"], "uid": f"u{n}", "az": f"z{n}"}
        host.on_endpoint_list({"all": False, "targets": [target]})
    await until(lambda: not host.events)
    assert len(host.registry.zones) == 256


@courier
async def test_a_table_of_zones_that_was_full_has_room_once_zones_are_gone(fleet):
    # Names were never forgotten: after 256 of them no endpoint in a new zone was used, for ever.
    fleet.raw["localities"] = ["here"]
    endpoint = await fleet.endpoint("a")
    client = await fleet.inside()
    registry, journal = fleet.host.registry, fleet.host.journal
    journal.record_zone_excluded("kept-out", True)
    kept = {name: registry.zone(name) for name in ("here", "kept-out")}
    used = {}
    for number in range(3 * MAX_ZONES):
        fleet.discovery.targets["a"]["az"] = name = f"hall-{number}"
        fleet.host.on_endpoint_list({"rev": number, "all": True, "targets": [fleet.discovery.targets["a"]]})
        fleet.host.turn()
        used[name] = registry.zones[name]
        assert fleet.host.courier.state.endpoints[registry.number("a")].zone == used[name]
        assert len(registry.zones) <= MAX_ZONES and len(set(registry.zones.values())) == len(registry.zones)
    assert {name: registry.zone(name) for name in kept} == kept
    assert await client.put("m") == "+OK"
    await endpoint.call()
    await until(lambda: not journal.messages)


@courier
async def test_the_zone_of_an_attempt_that_may_have_run_keeps_its_number(fleet):
    # With another zone's number a message of a class keyed by zone could be repeated there.
    await fleet.endpoint("a", "hang", "hang", "hang")
    client = await fleet.inside()
    fleet.discovery.targets["a"]["az"] = "first"
    fleet.host.on_endpoint_list({"rev": 2, "all": True, "targets": [fleet.discovery.targets["a"]]})
    assert await client.put("m", kind="keyed", key="k") == "+OK"
    await fleet.endpoints["a"].call()
    number = fleet.host.registry.zones["first"]
    for rev in range(2 * MAX_ZONES):
        moved = fleet.discovery.targets["a"] | {"az": f"hall-{rev}"}
        fleet.host.on_endpoint_list({"rev": 3 + rev, "all": True, "targets": [moved]})
    assert fleet.host.registry.zones["first"] == number
