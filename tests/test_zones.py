"""Zones left out and brought back by hand: the module's part, the door's, and what lasts."""

import random

import pytest
from loopback import courier, settings, until
from test_brain import CLASSES, Host, S, of
from test_operator import call
from test_upgrade import healthy, hold_socket

from hopmill.policy.courier import Courier
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
from hopmill.net.state import Journal
from hopmill.policy.zones import Zones

COLD = 12 * S


def two_zones(*zones, **changes):
    """Endpoints 100, 101, ... of one destination, one in each of these zones."""
    h = Host(endpoints=0, **{"cold_us": COLD, "cold_share": 0.2, **changes})
    h.do(
        EndpointsListed(
            ListForm.FULL,
            tuple(
                ListEntry(100 + n, 1, EndpointState.READY, 0.0, 0, zone)
                for n, zone in enumerate(zones or (0, 1))
            ),
        )
    )
    return h


def forget_idle(h):
    h.connected.idle.clear()
    h.do(*(Connections(e, ()) for e in h.courier.book.endpoints))


def served(h, calls, **more):
    """Which endpoints so many messages go to, two at once. No idle connection draws them to one side."""
    got = []
    for _ in range(calls // 2):
        forget_idle(h)
        sends = of(Send, h.arrive(after=50_000, **more) + h.arrive(after=1_000, **more))
        for send in sends:
            got.append(send.endpoint)
            sends += of(Send, h.end(send.message, Result.OK, after=20_000, endpoint=send.endpoint))
    return got


def test_a_zone_out_by_hand_gets_nothing_and_its_idle_connections_close():
    h = two_zones()
    assert 100 in served(h, 10)
    acts = h.do(SetZoneByHand(0, True))
    assert [a.endpoint for a in of(CloseIdle, acts)] == [100]
    assert "zone 0: out" in of(Log, acts)[0].text
    assert set(served(h, 20)) == {101}


def test_it_returns_gradually_and_then_has_all():
    h = two_zones()
    h.do(SetZoneByHand(0, True))
    served(h, 20)
    h.do(SetZoneByHand(0, False))
    early = served(h, 100)  # 4 s of the 9 to 15
    h.idle(15)
    late = served(h, 100)
    assert 0 < early.count(100) < 0.5 * late.count(100)


def test_repeats_and_a_zone_that_was_not_out_change_nothing():
    h = two_zones()
    h.do(SetZoneByHand(0, False))
    assert not h.courier.zones.back
    for _ in range(3):
        h.do(SetZoneByHand(0, True))
    h.do(SetZoneByHand(0, False))
    back = dict(h.courier.zones.back)
    h.do(SetZoneByHand(0, False))
    assert h.courier.zones.back == back


def test_out_again_while_it_returns():
    h = two_zones()
    h.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    h.do(SetZoneByHand(0, True))
    h.idle(20)
    assert set(served(h, 20)) == {101} and not h.courier.zones.back


def test_let_back_while_it_still_fails():
    h = two_zones()
    h.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    tried = 0
    for _ in range(200):
        forget_idle(h)
        sends = of(Send, h.arrive(after=50_000) + h.arrive(after=1_000))
        for send in sends:
            bad = send.endpoint == 100
            tried += bad
            result = Result.CONNECT_FAILED if bad else Result.OK
            sends += of(Send, h.end(send.message, result, after=20_000, endpoint=send.endpoint))
    assert 0 < tried < 20  # its own health counts as ever


@pytest.mark.parametrize("zones", [(0,), (0, 0)])
def test_a_destination_with_no_other_zone_gets_its_answer_in_time(zones):
    h = two_zones(*zones)
    h.do(SetZoneByHand(0, True))
    assert not of(Send, h.arrive(life=3 * S))
    assert of(Refuse, h.idle(3.1))
    h.do(SetZoneByHand(0, False))
    got = served(h, 100)  # no other choice: a slow start, as after an outage
    assert got and h.courier.book.endpoints[100].c.ramp_from >= 0


def test_without_another_choice_the_slow_start_alone_holds_back():
    for seed in range(20):  # no chance is taken on top of it
        h = two_zones(0)
        h.courier.turn.random.seed(seed)
        h.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
        assert of(Send, h.arrive())


def test_a_circuit_shared_with_other_zones_does_not_go_back_to_a_cold_start():
    # In a large fleet a destination's endpoints share one: the other zones are well.
    h = two_zones(couriers=100, slots=4)
    h.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    one, other = (h.courier.book.endpoints[100 + n] for n in (0, 1))
    assert one.c is other.c and one.c.ramp_from < 0
    alone = two_zones(0, couriers=100, slots=4)
    alone.do(SetZoneByHand(0, True), SetZoneByHand(0, False))
    assert alone.courier.book.endpoints[100].c.ramp_from >= 0


def test_all_zones_out_and_a_zone_that_no_list_named():
    h = two_zones()
    h.do(SetZoneByHand(0, True), SetZoneByHand(1, True), SetZoneByHand(7, True))
    assert not of(Send, h.arrive(life=2 * S)) and of(Refuse, h.idle(2.1))
    h.do(EndpointsListed(ListForm.DELTA, (ListEntry(107, 1, EndpointState.READY, 0.0, 0, 7),)))
    assert not of(Send, h.arrive())


def test_an_endpoint_that_changes_its_zone_goes_by_the_new_one():
    h = two_zones()
    h.do(SetZoneByHand(0, True))
    h.do(
        EndpointsListed(
            ListForm.DELTA,
            (
                ListEntry(100, 1, EndpointState.READY, 0.0, 0, 1),
                ListEntry(101, 1, EndpointState.READY, 0.0, 0, 0),
            ),
        )
    )
    assert set(served(h, 10)) == {100}


def test_an_endpoint_out_by_hand_stays_out_when_its_zone_returns():
    h = two_zones(0, 0, 1)
    h.do(SetByHand(100, True), SetZoneByHand(0, True), SetZoneByHand(0, False))
    h.idle(20)
    assert set(served(h, 40)) == {101, 102}


def test_what_may_only_be_repeated_in_the_zone_is_not_sent_elsewhere_while_that_is_out():
    keyed = MessageClass(
        "keyed", aim_us=S, deadline_us=5 * S, effect=Effect.KEYED, key_window_us=5 * S, key_scope="zone"
    )
    h = two_zones(classes=(keyed,))
    (send,) = of(Send, h.do(MessageArrived(1, 0, 1, h.now + 5 * S)))
    zone = h.courier.book.endpoints[send.endpoint].zone
    h.do(SetZoneByHand(zone, True))
    acts = h.end(1, Result.ERROR, after=50_000, endpoint=send.endpoint) + h.idle(5)
    assert not of(Send, acts) and len(of(Fail, acts)) == 1


def test_a_return_goes_on_over_an_upgrade():
    h = two_zones()
    h.do(ZoneCarried(0, h.now - COLD // 2, h.now + COLD // 2))
    assert h.courier.zones.share(0, h.now) == pytest.approx(0.6)
    h.idle(6.1)
    assert h.courier.zones.state(0, h.now) == ("serving", 1.0, "")


def test_couriers_do_not_come_back_in_step():
    ends = set()
    for seed in range(50):
        zones = Zones(0.2, COLD, random.Random(seed))
        zones.leave(1)
        assert zones.bring_back(1, 0)
        ends.add(zones.back[1][1])
    assert len(ends) == 50 and max(ends) - min(ends) > COLD / 4


def test_without_a_zone_out_no_decision_changes():
    def day(touch):
        h, got = two_zones(0, 1, 1), []
        if touch:
            h.do(SetZoneByHand(5, True), SetZoneByHand(5, False))
            h.courier.zones.back.clear()
            h.courier.turn.random.seed(7)
        else:
            h.courier.turn.random.seed(7)
        return got + served(h, 100)

    assert day(False) == day(True)


def test_forty_couriers_bring_a_zone_back_within_the_cold_budget():
    """Hand-made events: a destination of 40 calls a second, an endpoint in each of two zones. What all send
    to the zone as it returns stays under the fall multiple of what it can do at that moment, in each 2 s."""
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
    all_ = [Courier(Settings(me=k, **given), k) for k in range(couriers)]
    told = EndpointsListed(
        ListForm.CACHED, tuple(ListEntry(100 + z, 1, EndpointState.READY, rate, 0, z) for z in range(2))
    )
    for c in all_:
        c.handle(now, [told, SetZoneByHand(0, True)])
    chance, calls, sent, start = random.Random(3), [], [], now + 10 * S
    for step in range(4000):  # 40 s
        now += 10_000
        inbox = {}
        if now == start:
            inbox = {k: [SetZoneByHand(0, False)] for k in range(couriers)}
        if step % 5 < 2:
            inbox.setdefault(chance.randrange(couriers), []).append(MessageArrived(step, 0, 1, now + 5 * S))
        for _, k, event in [x for x in calls if x[0] <= now]:
            inbox.setdefault(k, []).append(event)
        calls = [x for x in calls if x[0] > now]
        for k, events in inbox.items():
            for a in of(Send, all_[k].handle(now, events)):
                if a.endpoint == 100:
                    sent.append(now)
                attempt = max(t for m, t in all_[k].book.calls if m == a.message)
                done = AttemptEnded(a.message, attempt, a.endpoint, Result.OK, 50_000, True)
                calls.append((now + 50_000, k, done))
    assert not [t for t in sent if t < start]
    for at in range(start, start + COLD, S // 2):
        able = min(1.0, cold + (1 - cold) * (at - start) / COLD) * rate
        assert sum(at <= t < at + 2 * S for t in sent) <= multiple * able * 2
    late = [t for t in sent if t >= start + 20 * S]
    assert len(late) > 5 * 20 * 0.5  # and it is back in the end


@courier
async def test_a_zone_at_the_door(fleet):
    fleet.raw = settings()
    fleet.raw["localities"] = ["here", "there"]
    a, b = await fleet.endpoint("a"), await fleet.endpoint("b")
    fleet.discovery.targets["b"]["az"] = "annex"  # one that the settings don't name
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
    limit, fleet.host.journal.limit = fleet.host.journal.limit, 0
    assert (await call(fleet.door, "POST", "/zones/annex/maint"))[0] == 503
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 503
    assert fleet.host.courier.zones.out == {0}  # with nothing changed
    fleet.host.journal.limit = limit
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 200
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "returning"


@courier
async def test_a_zone_out_lasts_over_a_restart_a_rewritten_journal_and_an_upgrade(fleet):
    hold_socket(fleet)
    a = await fleet.endpoint("a")
    await fleet.outside()
    assert (await call(fleet.door, "POST", "/zones/here/maint"))[0] == 200
    await fleet.kill()
    journal = Journal(fleet.folder / "state", 3_000_000)
    journal.compact()
    assert journal.zones_out == {"here"}
    journal.close()
    client = await fleet.outside()
    assert await client.put("m") == "+OK"
    await fleet.upgrade()
    await healthy(fleet.door)
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "out"
    assert a.calls.empty()
    assert (await call(fleet.door, "POST", "/zones/here/ready"))[0] == 200
    assert (await a.call())[1]["x-request-id"] == "m"
    await fleet.upgrade()  # on its way back: the next process goes on with that
    await healthy(fleet.door)
    assert (await call(fleet.door, "GET", "/zones"))[1]["zones"][0]["state"] == "returning"


@courier
async def test_zone_names_do_not_pile_up(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    host = fleet.host
    for n in range(1000):
        target = {**fleet.discovery.targets["a"], "uid": f"u{n}", "az": f"z{n}"}
        host.listed({"all": False, "targets": [target]})
    await until(lambda: not host.events)
    assert len(host.registry.zones) == 256
