"""How many connections to keep to an endpoint: the arithmetic, and decisions of one courier and of many."""

import random

import pytest
from test_brain import CLASSES, Host, S, of_type

from hopmill.policy.courier import Courier
from hopmill.interface import (
    AttemptEnded,
    Carried,
    CloseIdle,
    Connections,
    EndpointsListed,
    EndpointState,
    Keep,
    ListEntry,
    ListForm,
    MessageArrived,
    OpenIdle,
    Result,
    Send,
    Settings,
    WarmUp,
)
from hopmill.policy.links import ConnectionBudget

IDLE = 10 * S


def steady(per_s, seconds=60):
    links = ConnectionBudget(IDLE, random.Random(1))
    for n in range(int(per_s * seconds)):
        links.check_out(int(n * S / per_s), 0)
    return links, seconds * S


@pytest.mark.parametrize(
    ("per_s", "slot_time_us", "kept"),
    [
        (0.2, 400_000, 1),  # one call in 5 s: one of hundreds of couriers
        (4, 400_000, 5),  # 1.6 calls in flight on average
        (20, 400_000, 14),
        (20, 20_000, 2),  # short calls share few connections
    ],
)
def test_connections_kept_follow_from_the_rate_of_calls_times_their_duration(per_s, slot_time_us, kept):
    links, now = steady(per_s)
    assert links.max_idle(now, slot_time_us, 100) == kept
    assert links.max_idle(now, slot_time_us, 3) == min(kept, 3)  # the window allows no more


def test_the_first_calls_count_in_full():
    # The fading count alone would need 10 s to reflect a busy endpoint.
    links = ConnectionBudget(IDLE, random.Random(1))
    for n in range(20):
        links.check_out(n * 50_000, 0)
    assert links.mean_calls_in_flight(S, 400_000) == pytest.approx(8, rel=0.1)


def test_an_endpoint_without_calls_needs_fewer_connections():
    links, now = steady(20)
    assert links.max_idle(now + 3 * IDLE, 400_000, 100) < 5


def test_a_full_table_halves_the_share_once_per_round_trip_and_it_grows_back_with_jitter():
    back = []
    for seed in range(40):
        links = ConnectionBudget(IDLE, random.Random(seed))
        now = 100 * S
        assert links.record_full_table(now, 8, 400_000) and links.table_share == 4
        assert not links.record_full_table(now + 1, 8, 400_000)  # the same round trip
        assert links.record_full_table(now + 500_000, 4, 400_000) and links.table_share == 2
        while links.max_idle(now, 400_000, 100) < 6:  # 14 are needed at 20 calls per second
            assert now < 300 * S
            now += 50_000
            links.check_out(now, 0)
        back.append(now)
    assert min(back) > 112 * S and max(back) - min(back) > 5 * S  # gradually, and not in step


def test_a_share_below_one_is_the_probability_of_keeping_a_connection():
    kept = 0
    for seed in range(400):
        links = ConnectionBudget(IDLE, random.Random(seed))
        links.record_full_table(S, 1, 0)
        kept += links.max_idle(S, 400_000, 10)
    assert 160 < kept < 240


def busy(host, calls=4):
    """This many calls in flight, the first over a reused connection."""
    host.courier.state.endpoints[100].lane.window = 8.0
    host.arrive()
    host.end(1, Result.OK, after=20_000)
    for _ in range(calls):
        host.arrive(after=1_000)


def keeps(actions):
    return [a.most for a in of_type(Keep, actions)]


def ended(host, message, result, idle_us, retry_after_us=0, report=()):
    over = result is Result.OK
    return host.do(
        AttemptEnded(
            message, host.tries[message], 100, result, 20_000, over, retry_after_us, report, idle_us
        ),
        after=20_000,
    )


def test_connects_refused_beside_answers_lower_what_is_kept_and_open_no_circuit():
    host = Host()
    busy(host)
    ended(host, 2, Result.OK, 1000)
    actions = ended(host, 3, Result.CONNECT_FAILED, -1)
    links = host.courier.state.endpoints[100].connection_budget
    assert links.table_share < 4
    assert (
        not host.courier.state.endpoints[100].breaker.is_open
        and not host.courier.state.endpoints[100].failure_share
    )
    assert any("takes no more connections" in a.text for a in actions if hasattr(a, "text"))


def test_a_failed_endpoint_does_not_count_as_a_full_table():
    host = Host()
    host.arrive()
    host.end(1, Result.CONNECT_FAILED)
    assert (
        host.courier.state.endpoints[100].connection_budget.table_share == float("inf")
        and host.courier.state.endpoints[100].failure_share > 0
    )


@pytest.mark.parametrize(
    ("idle_us", "report", "retry_after_us", "cut"),
    [
        (-1, (), 0, True),
        (5000, (), 0, False),  # reused connections are refused too: the queue is full
        (-1, (0.4, 20.0), 0, True),
        (-1, (0.0, 20.0), 0, False),  # the limit is used up
        (-1, (), 300_000, False),  # and announced as a wait
    ],
)
def test_refusals_of_new_connections_alone_are_told_from_a_limit_and_a_queue(
    idle_us, report, retry_after_us, cut
):
    host = Host(report_fields=("x0", "x1"))
    busy(host, 7)
    ended(host, 2, Result.OK, 1000)
    assert host.courier.state.endpoints[100].connection_budget.table_share == float("inf")
    for message in (3, 4):
        ended(host, message, Result.FULL, idle_us, retry_after_us, report)
        ended(host, message + 3, Result.OK, 1000, report=report)
    assert (host.courier.state.endpoints[100].connection_budget.table_share < 8) is cut


def served_by_a_table_for(room):
    """Forty couriers with four messages each per second, and an endpoint with `room` for connections.

    It refuses each connection above that, and idle ones count. Returns the messages that each courier
    delivered in the last 30 of 60 s, and the number of refused calls.
    """
    couriers, now, ident, refused, served = 40, 1000 * S, 0, 0, [0] * 40
    given = dict(classes=CLASSES, slots=8, max_held=50, couriers=couriers)
    fleet_couriers = [Courier(Settings(me=k, **given), k) for k in range(couriers)]
    idle, keep = [[] for _ in fleet_couriers], [1] * couriers

    def act(k, events):
        actions = fleet_couriers[k].handle(now, [Connections(100, tuple(idle[k])), *events])
        keep[k] = ([a.most for a in of_type(Keep, actions)] or [keep[k]])[-1]
        return [a.message for a in of_type(Send, actions)]

    for k in range(couriers):
        act(k, [EndpointsListed(ListForm.CACHED, (ListEntry(100, 1, EndpointState.READY),))])
    for burst in range(60 * couriers):
        k = burst % couriers
        now += S // couriers
        ident += 4
        sent = act(k, [MessageArrived(ident + n, 0, 1, now + 5 * S) for n in range(4)])
        while sent:
            ends, back = [], []
            for message in sent:
                reused = bool(idle[k])
                if reused:
                    idle[k].pop()
                full = not reused and sum(map(len, idle)) + len(back) >= room
                refused += full and burst >= 30 * couriers
                back += [] if full else [now + 50_000]
                served[k] += not full and burst >= 30 * couriers
                attempt = max(t for m, t in fleet_couriers[k].state.calls if m == message)
                ends.append(
                    AttemptEnded(
                        message,
                        attempt,
                        100,
                        Result.FULL if full else Result.OK,
                        50_000,
                        not full,
                        0,
                        (),
                        1000 if reused else -1,
                    )
                )
            now += 1000
            idle[k] = (idle[k] + back)[-keep[k] :] if keep[k] else []
            sent = act(k, ends)
    return served, refused


@pytest.mark.parametrize("room", [20, 30, 40])
def test_forty_couriers_come_to_share_a_full_table(room, monkeypatch):
    # Without the rule the first couriers kept the whole table, mostly idle, and the others got nothing.
    served, refused = served_by_a_table_for(room)
    monkeypatch.setattr(ConnectionBudget, "record_full_table", lambda *args: False)
    before, _ = served_by_a_table_for(room)
    assert sum(served) > 1.5 * sum(before) and min(served) > min(before)
    assert refused < 30 * 40  # it grows gradually: less than one refusal per second and courier


def much(host):
    """Calls that make several at once likely; the last one is in flight."""
    for _ in range(30):
        host.arrive()
        host.end(host.next, Result.OK, latency=400_000, after=20_000)
    return host.arrive(after=1_000)


def test_nothing_is_opened_early_unless_it_is_switched_on():
    for on in (False, True):
        host = Host()
        if on:
            host.do(WarmUp(True))
        assert not of_type(
            OpenIdle, host.arrive()
        )  # nothing is known about it yet: a connect would be a probe
        host.end(1, Result.OK, after=20_000)
        assert bool(of_type(OpenIdle, much(host))) is on


@pytest.mark.parametrize("trouble", ["open", "cold", "silent", "drain", "kept"])
def test_no_connection_is_opened_early_to_an_endpoint_in_trouble(trouble):
    host = Host()
    host.do(WarmUp(True))
    endpoint = host.courier.state.endpoints[100]
    assert of_type(OpenIdle, much(host))
    if trouble == "open":
        endpoint.breaker.is_open = True
    elif trouble == "cold":
        endpoint.breaker.slow_start_began_us = host.now
    elif trouble == "silent":
        endpoint.last_success_us -= 2 * S
    elif trouble == "drain":
        endpoint.state = EndpointState.DRAINING
    elif trouble == "kept":
        endpoint.connection_budget.table_share = endpoint.connection_budget.max_connections = 0.0
        endpoint.connection_budget.next_growth_us = host.now + 100 * S
    assert not of_type(OpenIdle, host.arrive(after=1_000))


def test_a_connection_too_old_to_be_trusted_is_closed_before_a_call():
    host = Host()
    host.courier.connections.max_idle_us = 4 * S
    actions = host.do(Connections(100, (host.now - 6 * S,)), MessageArrived(99, 0, 1, host.now + 5 * S))
    assert of_type(CloseIdle, actions)
    assert next(iter(host.courier.state.calls.values()))[0].connection_idle_us == -1


def test_what_was_learned_of_a_full_table_passes_over_an_upgrade():
    host, new = Host(), Host()
    host.courier.state.endpoints[100].connection_budget.record_full_table(host.now, 4, 0)
    ((_, figures),) = host.courier.carry()
    new.do(Carried(100, figures))
    assert new.courier.state.endpoints[100].connection_budget.table_share == 2
