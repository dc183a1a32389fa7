"""Large fleets: the sum of what hundreds of couriers do must stay within what a destination can take."""

import random

import pytest
from test_brain import CLASSES, Host, S, of_type

from hopmill.policy.courier import Courier
from hopmill.interface import (
    AttemptEnded,
    CloseIdle,
    Connections,
    EndpointsListed,
    EndpointState,
    Fail,
    Kind,
    ListEntry,
    ListForm,
    MessageArrived,
    Refuse,
    Result,
    Send,
    Settings,
)
from hopmill.net.backoff import retry_waits, shared_server_backoff


def fleet(**changes):
    return Host(**{"couriers": 100, "slots": 4, **changes})


def entry(endpoint, destination=1, state=EndpointState.READY, rate=0.0):
    return ListEntry(endpoint, destination, state, rate)


@pytest.mark.parametrize("couriers", [1, 3, 40, 300])
def test_a_connection_is_kept_for_the_next_call_in_any_fleet(couriers):
    # A new connection for each call costs money in a large fleet, and work at the endpoints.
    host = fleet(couriers=couriers)
    host.arrive()
    assert not of_type(CloseIdle, host.end(1, Result.OK))
    assert of_type(Send, host.arrive(after=5 * S))
    ((call, _),) = host.courier.state.calls.values()
    assert call.connection_idle_us == 5 * S


def test_idle_connections_dropped_without_notice_are_closed_before_use_after_two_lost_calls():
    host = Host()

    def call(idle, result):
        host.simulated.idle_since_us[100] = [host.now - idle]
        host.do(Connections(100, (host.now - idle,)))
        breaker = host.courier.state.endpoints[100].breaker
        (
            breaker.is_open,
            breaker.slow_start_began_us,
            breaker.trial_call,
            breaker.failure_share,
            host.courier.state.endpoints[100].ambiguous_share,
        ) = False, -1, None, 0.0, 0.0
        actions = host.arrive(message_class=2)  # unsafe: one attempt
        host.end(host.next, result)
        host.idle(1)
        return len(of_type(CloseIdle, actions))

    assert not call(6 * S, Result.OK)
    assert (
        not call(4 * S, Result.RESET) and host.courier.connections.max_idle_us == 10 * S
    )  # one loss may be random
    assert not call(4 * S, Result.RESET) and host.courier.connections.max_idle_us < 4 * S
    trusted = host.courier.connections.max_idle_us
    assert call(4 * S, Result.OK) == 1
    assert not call(trusted // 2, Result.OK) and host.courier.connections.max_idle_us > trusted


def test_a_burst_at_all_couriers_at_once_exceeds_a_listed_limit_by_one_call_each_at_most():
    # Without a pace until its first refusal each courier sent all it had: 40 small bursts added up to 160
    # calls.
    couriers, rate, sent = 40, 20.0, 0
    listed = EndpointsListed(ListForm.CACHED, (entry(100, rate=rate),))
    given = dict(classes=CLASSES, slots=4, max_held=50, rates_listed=True, couriers=couriers)
    fleet_couriers = [Courier(Settings(me=k, **given), k) for k in range(couriers)]
    for courier in fleet_couriers:
        courier.handle(0, [listed])
        for step in range(40):  # 2 s, the messages within the first 0.2 s
            now = S + step * 50_000
            events = [MessageArrived(step, 0, 1, now + 10 * S)] if step < 4 else []
            events += [AttemptEnded(m, 0, 100, Result.OK, 50_000, True) for m, _ in courier.state.calls]
            sent += len(of_type(Send, courier.handle(now, events)))
    assert couriers <= sent <= couriers + 2 * rate


@pytest.mark.parametrize("how", [Result.CONNECT_FAILED, Result.ERROR, Result.RESET, Result.TIMEOUT])
def test_what_a_hundred_couriers_send_into_an_outage_sums_to_the_fall_budget(how):
    rate, cold, multiple, couriers = 40.0, 0.15, 2.5, 100
    given = dict(
        classes=CLASSES,
        slots=4,
        max_held=100,
        max_attempts=12,
        rates_listed=True,
        couriers=couriers,
        cold_share=cold,
        cold_us=12 * S,
        fall_multiple=multiple,
        tick_us=5000,
    )
    fleet_couriers = [Courier(Settings(me=k, **given), k) for k in range(couriers)]
    listed = EndpointsListed(ListForm.CACHED, (entry(100, rate=rate),))
    calls, sent, now, number = [], [], 1000 * S, 0
    for courier in fleet_couriers:
        courier.handle(now, [listed])
    for step in range(4000):  # 40 s of 40 messages per second, spread over the couriers in a fixed order
        now += 10_000
        inbox = {}
        if step % 2 == 0 and step % 5:
            number += 1
            inbox[number * 37 % couriers] = [MessageArrived(number, 0, 1, now + 10 * S)]
        for k, event in [x for x in calls if x[0][0] <= now]:
            inbox.setdefault(k[1], []).append(event)
        calls = [x for x in calls if x[0][0] > now]
        for k in range(couriers) if step % 20 == 0 else sorted(inbox):
            for action in fleet_couriers[k].handle(now, inbox.get(k, [])):
                if isinstance(action, Send):
                    sent.append((now, fleet_couriers[k].state.endpoints[100].breaker.failure_share > 0))
                    tries = fleet_couriers[k].state.messages[action.message].attempts - 1
                    calls.append(((now + 50_000, k), ended(action.message, tries, how)))
    informed = sum(1 for at, seen in sent if seen and at > 1000 * S + 20 * S) / 20
    assert 0 < informed <= multiple * cold * rate


def ended(message, attempt, how):
    return AttemptEnded(message, attempt, 100, how, 50_000, False, 0)


def test_a_single_fast_failure_is_repeated_and_leads_to_no_slow_start():
    host = fleet(rate=400.0)
    host.arrive()
    actions = host.end(1, Result.CONNECT_FAILED, latency=20_000)
    assert host.courier.state.endpoints[100].breaker.is_open  # other messages wait
    assert not [a for a in of_type(Send, actions + host.arrive() + host.arrive()) if a.message > 1]
    assert of_type(Send, actions + host.idle(0.5))
    host.end(1, Result.OK)
    breaker = host.courier.state.endpoints[100].breaker
    assert not breaker.is_open and breaker.slow_start_began_us < 0


def test_a_real_outage_ends_in_a_slow_start_for_all_endpoints_of_the_lane():
    host = fleet(endpoints=2)
    host.arrive()
    for _ in range(3):
        host.end(1, Result.CONNECT_FAILED, latency=20_000, endpoint=100)
        host.idle(1)
    one, other = (host.courier.state.endpoints[100 + k] for k in (0, 1))
    assert one.breaker is other.breaker and one.breaker.is_open
    for _ in range(20):
        sends = of_type(Send, host.arrive(after=100_000))
        if sends:
            host.end(sends[0].message, Result.OK)
            break
    assert not one.breaker.is_open and one.breaker.slow_start_began_us >= 0


def test_tokens_are_not_saved_up_during_a_retry_after():
    starts = 0
    for seed in range(40):
        host = fleet(rate=10.0)
        host.courier.turn.rng.seed(seed)
        host.arrive()
        host.end(1, Result.FULL, retry_after_us=8 * S)  # so long a wait means an outage
        actions = []
        for _ in range(8):
            actions += host.arrive(after=S * 95 // 100)
        assert not of_type(Send, actions)
        starts += len(of_type(Send, host.idle(2)))  # the waits of all couriers end at the same time
    assert not starts


def test_couriers_spread_over_routes_in_step_with_their_rates():
    chosen = {}
    for seed in range(200):
        courier = Courier(
            Settings(
                classes=CLASSES,
                slots=4,
                max_held=50,
                couriers=100,
                rates_listed=True,
                kinds=(Kind("k", routes_apart=True),),
                zone_fees=(0.1,),
            ),
            seed,
        )
        actions = courier.handle(
            S,
            [
                EndpointsListed(ListForm.CACHED, (entry(100, rate=9.0), entry(101, rate=3.0))),
                MessageArrived(1, 0, 1, 9 * S),
            ],
        )
        endpoint = of_type(Send, actions)[0].endpoint
        chosen[endpoint] = chosen.get(endpoint, 0) + 1
    assert 130 < chosen[100] < 170


def test_where_calls_are_refused_a_share_of_new_messages_is_refused_unsent():
    host = fleet()  # no rate is listed
    for _ in range(6):
        for a in of_type(Send, host.arrive(after=3 * S)):
            host.end(a.message, Result.FULL)
    unsent = 0
    for _ in range(30):
        actions = host.arrive(after=S)
        unsent += len(of_type(Refuse, actions))
        for a in of_type(Send, actions):
            host.end(a.message, Result.FULL)
    assert 15 < unsent < 30
    for _ in range(60):
        for a in of_type(Send, host.arrive(after=S) + host.idle(0.2)):
            host.end(a.message, Result.OK)
    assert not sum(len(of_type(Refuse, host.arrive(after=S))) for _ in range(10))


def test_a_message_whose_turn_cannot_come_in_time_is_refused_at_once():
    host = fleet(rate=5.0)  # a share of 0.05 per second: the next call within 20 s
    host.arrive()
    host.end(host.next, Result.FULL)
    refused = sum(len(of_type(Refuse, host.arrive(lifetime_us=4 * S, after=50_000))) for _ in range(5))
    assert refused >= 4


@pytest.mark.parametrize("couriers", [1, 3, 40, 300])
def test_all_couriers_together_ask_discovery_again_as_seldom_as_a_change_allows(couriers):
    # 40 couriers that each asked again within a second overloaded it: calls timed out just before their turn.
    random.seed(couriers)
    told_s, connect_s, span_s = 6.0, 1.0, 20.0 * couriers
    asked = 0
    for _ in range(couriers):
        backoff, at = shared_server_backoff(couriers), 0.0
        while (wait_s := backoff.next()) and (at := at + wait_s) < span_s:
            assert wait_s < told_s - connect_s  # a change binds 6 s after discovery is back
            asked += 1
    # 1 to 2 per second in total, as one alone, or each courier once in 3.5 s if that is more.
    assert span_s <= asked <= span_s * max(2.0, couriers / 3.5)


@pytest.mark.parametrize("is_server_shared", [False, True])
@pytest.mark.parametrize("couriers", [1, 40, 300])
def test_a_lost_watch_is_asked_for_again_before_a_change_counts_as_told(couriers, is_server_shared):
    random.seed(couriers)
    connect_s, told_s, grace_s = 1.0, 6.0, 0.5
    waits = retry_waits(couriers, is_server_shared)
    bound_s = told_s - connect_s if is_server_shared else grace_s
    assert max(waits.after_loss.next() for _ in range(50)) < bound_s
    assert waits.after_refusal.next() < told_s - connect_s


class Fleet:
    """Couriers with messages for one destination; each call is answered 50 ms later, with a report."""

    def __init__(self, couriers, rate, alive=None):
        given = dict(classes=CLASSES, slots=4, max_held=400, rates_listed=True, report_fields=("x0", "x1"))
        self.couriers = [
            Courier(Settings(me=k, couriers=couriers, **given), k) for k in range(alive or couriers)
        ]
        self.now, self.number = 0, 0
        self.do(lambda courier: [EndpointsListed(ListForm.CACHED, (entry(100, rate=rate),))])

    def do(self, events):
        return sum(len(of_type(Send, courier.handle(self.now, events(courier)))) for courier in self.couriers)

    def run(self, seconds, each_per_s, result, retry_after_us=0, report=()):
        """Returns the calls per second of all couriers together."""
        self.number += 1000
        sent = 0
        ends = (result, 50_000, result is Result.OK, retry_after_us, report)
        for step in range(int(seconds * 20)):
            self.now += 50_000
            arrives = step % int(20 / each_per_s) == 0
            sent += self.do(
                lambda courier, step=step, arrives=arrives: [
                    *[AttemptEnded(m, attempt, 100, *ends) for m, attempt in courier.state.calls],
                    *([MessageArrived(self.number + step, 0, 1, self.now + 60 * S)] if arrives else []),
                ]
            )
        return sent / seconds


def test_a_lowered_limit_holds_as_soon_as_answers_report_it():
    fleet = Fleet(40, rate=80.0)
    assert 60 <= fleet.run(4, 4, Result.OK, report=(0.4, 80.0)) <= 100
    fleet.run(2, 4, Result.OK, report=(0.4, 20.0))
    assert fleet.run(6, 4, Result.OK, report=(0.4, 20.0)) <= 20 * 1.2
    fleet.run(8, 4, Result.OK, report=(0.4, 80.0))
    assert fleet.run(4, 4, Result.OK, report=(0.4, 80.0)) >= 60


def test_a_reported_limit_close_to_the_known_one_changes_the_pace_little():
    host = Host(rate=10.0, report_fields=("x0", "x1"))
    lane = host.courier.state.endpoints[100].lane
    for k in range(30):
        host.courier.pacing.record_report(lane, (0.5 + k * 1e-6, 10.0 * (0.85, 1.15)[k % 2]))
    assert 9 < lane.limit_share_per_s < 11


def test_remaining_couriers_take_up_idle_shares_of_a_reported_limit_and_give_them_back():
    fleet = Fleet(40, rate=40.0, alive=10)
    fleet.run(1, 4, Result.OK)
    for k in range(25):  # a new report every second
        highest = fleet.run(1, 4, Result.OK, report=(0.9 - k / 1000, 40.0))
    assert highest >= 25  # their own ten equal shares are 10 calls per second
    for k in range(25):
        lowest = fleet.run(1, 4, Result.OK, report=(0.1 - k / 1000, 40.0))
    assert lowest <= 14


def test_a_report_of_spare_capacity_seen_by_all_couriers_raises_their_sum_by_a_small_step():
    fleet = Fleet(40, rate=40.0)
    fleet.run(2, 4, Result.OK, report=(0.5, 40.0))
    fleet.run(2, 4, Result.OK, report=(1.0, 40.0))
    assert fleet.run(10, 4, Result.OK, report=(1.0, 40.0)) <= 40 * 1.15


def test_after_a_refusal_a_fleet_returns_to_the_limit_without_further_reports():
    fleet = Fleet(40, rate=20.0)
    fleet.run(1, 4, Result.OK, report=(0.4, 20.0))
    fleet.run(2, 4, Result.FULL, report=(0.0, 20.0))
    fleet.run(6, 4, Result.OK, report=(0.0, 20.0))
    assert 20 * 0.9 <= fleet.run(10, 4, Result.OK, report=(0.0, 20.0)) <= 20 * 1.1


def test_one_report_that_many_answers_repeat_counts_once():
    host = Host(rate=10.0, report_fields=("x0", "x1"))
    lane = host.courier.state.endpoints[100].lane
    for _ in range(20):
        host.arrive()
        host.courier.pacing.record_report(lane, (0.9, 10.0))
    assert lane.pace_per_s < 1.5 * 10


def test_couriers_that_were_in_step_fall_out_of_it():
    fleet = Fleet(40, rate=20.0)
    assert (
        fleet.run(0.05, 20, Result.OK) * 0.05 == 40
    )  # all at once; from then on each has one call in two seconds
    fleet.run(6, 2, Result.OK)
    highest = max(fleet.run(0.25, 4, Result.OK) * 0.25 for _ in range(24))
    assert 2 <= highest <= 20


def test_messages_that_fit_one_batch_are_not_refused_for_the_pace():
    # Eight messages are one call here. Counted as eight calls, most were refused, and clients resubmitted
    # them.
    refused = {}
    for batch in (1, 10):
        host = fleet(rate=20.0, kinds=(Kind("k", batch=batch),))  # a part of a call in 5 s
        host.arrive()
        refused[batch] = sum(len(of_type(Refuse, host.arrive())) for _ in range(8))
    assert refused[1] >= 6 and not refused[10]


def test_a_message_whose_turn_comes_within_its_lifetime_is_held_and_not_refused():
    host = fleet(rate=20.0)  # a part of a call in 5 s
    host.courier.pacing.token_jitter = 0.0
    host.arrive()
    host.end(host.next, Result.OK)
    assert not of_type(
        Refuse, host.arrive(lifetime_us=6 * S)
    )  # its turn comes after four fifths of its lifetime
    assert of_type(Send, host.idle(5))
    assert of_type(Refuse, host.arrive(lifetime_us=2 * S))


def test_room_is_made_by_refusing_messages_of_the_longest_queue():
    host = Host(max_held=10)
    host.do(
        EndpointsListed(ListForm.DELTA, (entry(100, state=EndpointState.DRAINING), entry(200, destination=2)))
    )
    actions = []
    for _ in range(12):
        actions += host.arrive()
    assert len(host.courier.state.messages) <= 8 and of_type(Refuse, actions)
    assert of_type(Send, host.arrive(destination=2))


@pytest.mark.parametrize("apart", [False, True])
def test_replaced_endpoints_leave_nothing_behind(apart):
    host = fleet(kinds=(Kind("k", routes_apart=apart),))
    for n in range(3000):
        host.do(EndpointsListed(ListForm.DELTA, (entry(101 + n), entry(100 + n, state=EndpointState.GONE))))
    courier = host.courier
    assert len(courier.state.endpoints) == 1 and len(courier.state.destinations[1].lanes) <= 2
    assert sum(len(x.endpoints) for x in courier.state.destinations[1].lanes) == 1
    assert of_type(Send, host.arrive())[0].endpoint == 3100


def test_an_endpoint_that_comes_back_or_moves_starts_anew():
    host = Host()
    host.do(EndpointsListed(ListForm.DELTA, (entry(100, state=EndpointState.GONE),)))
    assert not of_type(Send, host.arrive())
    assert of_type(Send, host.do(EndpointsListed(ListForm.DELTA, (entry(100),)), after=S))
    host.end(host.next, Result.OK)
    host.do(EndpointsListed(ListForm.DELTA, (entry(100, destination=2),)))
    assert not of_type(Send, host.arrive(destination=1)) and of_type(Send, host.arrive(destination=2))


def test_a_message_for_a_destination_without_endpoints_is_refused_in_time():
    host = Host()
    host.arrive(destination=9, lifetime_us=2 * S)
    assert (
        of_type(Refuse, host.idle(2.1))
        and not of_type(Fail, host.idle(0.1))
        and not host.courier.state.messages
    )


@pytest.mark.parametrize("field, change", [("couriers", {"couriers": 0}), ("me", {"couriers": 2, "me": 2})])
def test_impossible_fleets_are_named(field, change):
    with pytest.raises(ValueError, match=field):
        Settings(**{"classes": CLASSES, "slots": 2, "max_held": 4, **change})
