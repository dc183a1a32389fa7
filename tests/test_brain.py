"""Decisions of one courier, one small test each, by hand-made events."""

import pytest

from hopmill.policy.courier import Courier
from hopmill.interface import (
    AttemptEnded,
    CallCarried,
    Carried,
    CloseIdle,
    Effect,
    EndpointsListed,
    EndpointState,
    Fail,
    Kind,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    Refuse,
    Result,
    Send,
    SetByHand,
    Settings,
)
from hopmill.simhost import SimulatedHost

S = 1_000_000
CLASSES = (
    MessageClass("safe", aim_us=S, deadline_us=10 * S),
    MessageClass("keyed", aim_us=S, deadline_us=10 * S, effect=Effect.KEYED, key_window_us=5 * S),
    MessageClass("unsafe", aim_us=S, deadline_us=10 * S, effect=Effect.UNSAFE),
)


class Host:
    """Passes events to a courier and keeps track of its actions."""

    def __init__(self, endpoints=1, rate=0.0, **changes):
        given = {
            "classes": CLASSES,
            "slots": 8,
            "max_held": 100,
            "max_attempts": 12,
            "kinds": (Kind("k"),),
            "rates_listed": rate > 0,
            "max_retry_after_us": 2 * S,
            "tick_us": 5000,
        }
        given.update(changes)
        self.simulated = SimulatedHost(Settings(**given), 7)  # reports idle connections
        self.courier = self.simulated.courier
        self.now, self.next, self.tries = 1000 * S, 0, {}
        self.do(
            EndpointsListed(
                ListForm.CACHED,
                tuple(ListEntry(100 + n, 1, EndpointState.READY, rate) for n in range(endpoints)),
            )
        )

    def do(self, *events, after=0):
        self.now += after
        actions = self.simulated.handle(self.now, list(events))
        for a in actions:
            if isinstance(a, Send):
                self.tries[a.message] = self.tries.get(a.message, -1) + 1
        return actions

    def arrive(self, message_class=0, destination=1, lifetime_us=None, after=0):
        self.next += 1
        until = self.now + after + (lifetime_us or CLASSES[message_class].deadline_us)
        return self.do(MessageArrived(self.next, message_class, destination, until), after=after)

    def end(self, message, result, latency=100_000, after=100_000, endpoint=100, retry_after_us=0):
        return self.do(
            AttemptEnded(
                message, self.tries[message], endpoint, result, latency, result is Result.OK, retry_after_us
            ),
            after=after,
        )

    def idle(self, seconds, step=0.05):
        actions = []
        for _ in range(round(seconds / step)):
            actions += self.do(after=int(step * S))
        return actions


def of_type(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def test_first_message_goes_at_once():
    assert [a.endpoint for a in of_type(Send, Host().arrive())] == [100]


def test_window_is_one_wide_at_start_and_grows_by_success():
    host = Host()
    assert len(of_type(Send, host.arrive())) == 1
    assert not of_type(Send, host.arrive()) and not of_type(Send, host.arrive())
    assert len(of_type(Send, host.end(1, Result.OK))) == 2


def test_overload_ends_the_message_and_passes_the_wait_on():
    host = Host()
    host.arrive(message_class=2)
    actions = host.end(1, Result.FULL, retry_after_us=S)
    assert of_type(Refuse, actions) == [Refuse(1, S)]


def test_retry_after_holds_for_every_message():
    host = Host()
    host.arrive()
    host.end(1, Result.FULL, retry_after_us=S)
    sent = of_type(Send, host.arrive() + host.idle(0.95))
    assert not sent
    assert of_type(Send, host.idle(0.2))


def test_failed_call_is_tried_again_three_times_at_most():
    host = Host(endpoints=1)
    sends = of_type(Send, host.arrive())
    for _ in range(2):
        actions = host.end(1, Result.ERROR) + host.idle(0.5)
        sends += of_type(Send, actions)
        assert not of_type(Refuse, actions)
    assert len(sends) == 3
    assert of_type(Refuse, host.end(1, Result.ERROR))


def test_unsafe_is_not_repeated_after_it_may_have_run():
    host = Host()
    host.arrive(message_class=2)
    actions = host.end(1, Result.ERROR) + host.idle(3)
    assert of_type(Fail, actions) == [Fail(1)] and not of_type(Send, actions) and not of_type(Refuse, actions)


def test_unsafe_is_repeated_after_a_failed_connection():
    host = Host()
    host.arrive(message_class=2)
    assert of_type(Send, host.end(1, Result.CONNECT_FAILED) + host.idle(1))


def test_nothing_to_a_draining_endpoint():
    host = Host(endpoints=2)
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(100, 1, EndpointState.DRAINING),)))
    assert [a.endpoint for a in of_type(Send, host.arrive())] == [101]


def test_every_message_is_answered_before_its_time_is_up():
    host = Host(endpoints=0)
    host.arrive(message_class=2, lifetime_us=S)
    actions = host.idle(0.98, step=0.005)
    assert not of_type(Refuse, actions)
    assert of_type(Refuse, host.idle(0.02, step=0.005)) == [Refuse(1, 0)]


def warm(host, n=12):
    for _ in range(n):
        host.arrive(after=300_000)
        host.end(host.next, Result.OK)


def test_unsafe_call_to_a_hung_endpoint_does_not_hold_its_slot_to_the_deadline():
    host = Host()
    warm(host)
    (send,) = of_type(Send, host.arrive(message_class=2))
    assert send.timeout_us < CLASSES[2].deadline_us / 2


def test_a_call_lost_while_others_are_answered_does_not_open_the_circuit():
    host = Host()
    warm(host)
    for _ in range(5):
        host.arrive()
        lost = host.next
        host.arrive()
        host.end(host.next, Result.OK)
        host.end(lost, Result.TIMEOUT)
    host.idle(1)
    (endpoint,) = host.courier.state.endpoints.values()
    assert not endpoint.breaker.is_open and endpoint.breaker.slow_start_began_us < 0


def serve(host, seconds, result, per_s=10):
    """Messages arrive and each attempt ends with the result a turn later; returns the number of attempts."""
    sends, pending = 0, []
    for k in range(round(seconds * 20)):
        actions = []
        for a in pending:
            actions += host.end(a.message, result, latency=50_000, after=0)
        actions += (
            host.arrive(lifetime_us=S, after=50_000) if k * per_s % 20 < per_s else host.do(after=50_000)
        )
        pending = of_type(Send, actions)
        sends += len(pending)
    for a in pending:
        host.end(a.message, result, latency=50_000, after=0)
    return sends


@pytest.mark.parametrize("how", [Result.CONNECT_FAILED, Result.TIMEOUT, Result.RESET, Result.FULL])
def test_recovery_is_slow_at_first_and_full_after_the_cold_time(how):
    host = Host(rate=8.0, cold_share=0.1, cold_us=10 * S, fall_multiple=2.5)
    serve(host, 5, Result.OK)
    down = serve(host, 6, how)
    assert host.courier.state.endpoints[100].breaker.is_open and down < 20
    first, _, last = serve(host, 4, Result.OK), serve(host, 8, Result.OK), serve(host, 4, Result.OK)
    # fall_multiple times the present share of the capacity, which grows from 0.1 to 0.46 in that time
    assert 0 < first <= 2.5 * (0.1 + 0.46) / 2 * 8 * 4 + 1
    assert last > 1.3 * first


def test_when_slots_are_short_a_lane_with_long_calls_gets_the_slots_left():
    host = Host(slots=2)
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(200, 2, EndpointState.READY),)))
    warm(host)
    for _ in range(6):  # destination 2 takes ten times as long per call
        host.arrive(destination=2, after=300_000)
        host.end(host.next, Result.OK, latency=1_000_000, after=1_000_000, endpoint=200)
    host.arrive()
    first = host.next
    host.arrive(destination=2)
    held = host.next
    for destination in (2, 1, 2, 1):
        host.arrive(destination=destination)
    host.idle(0.9, step=0.3)
    actions = host.end(first, Result.OK, after=0)
    assert held and [a.endpoint for a in of_type(Send, actions)] == [100]


def test_each_retry_after_of_a_batched_call_holds():
    host = Host(kinds=(Kind("k", batch=3),))
    warm(host)
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(100, 1, EndpointState.DRAINING),)))
    host.arrive()
    host.arrive()
    actions = host.do(EndpointsListed(ListForm.DELTA, (ListEntry(100, 1, EndpointState.READY),)), after=S)
    first, second = of_type(Send, actions)
    host.end(first.message, Result.FULL, retry_after_us=0, after=0)
    host.end(second.message, Result.FULL, retry_after_us=2 * S, after=0)
    assert not of_type(Send, host.arrive() + host.idle(1.95))
    assert of_type(Send, host.idle(0.2))


def test_a_destination_that_fails_half_its_calls_still_gets_a_cold_pace():
    host = Host(rate=8.0, cold_share=0.2, fall_multiple=2.5)
    serve(host, 5, Result.OK)
    sent = serve(host, 10, Result.ERROR)
    # More than trial calls with growing gaps would send, and within the budget of a returning destination.
    assert 2 * 10 < sent <= 2.5 * 0.2 * 8 * 10 + 6
    assert not host.courier.state.endpoints[100].breaker.is_open


def test_time_outs_are_short_where_many_calls_are_lost():
    host = Host(slots=40)
    warm(host, 40)
    calm = host.courier.timeouts.loss_share
    for _ in range(10):
        sends = of_type(Send, host.arrive(after=300_000) + host.arrive())
        for a in sends[1:]:
            host.end(a.message, Result.OK)
        host.end(sends[0].message, Result.TIMEOUT)
    lane = host.courier.state.endpoints[100].lane
    lane.mean_latency_us, lane.latency_deviation_us = 100_000.0, 75_000.0
    lossy = host.courier.timeouts.for_lane(lane)
    assert host.courier.timeouts.loss_share > 10 * calm
    host.courier.timeouts.loss_share = calm
    assert lossy < 0.7 * host.courier.timeouts.for_lane(lane)


def test_pace_grows_slowly_near_the_rate_that_was_refused_last():
    def growth(refused):
        host = Host(rate=4.0, couriers=2)
        serve(host, 3, Result.OK)
        if refused:
            for a in of_type(Send, host.arrive() + host.idle(1)):
                host.end(a.message, Result.FULL)
        lane = host.courier.state.endpoints[100].lane
        lane.last_refused_rate_per_s = lane.pace_per_s = 2.0
        serve(host, 3, Result.OK)
        return lane.pace_per_s - 2.0

    assert 0 < growth(True) < 0.7 * growth(False)


def test_a_message_refused_as_full_waits_where_clients_do_not_resubmit():
    host = Host(clients_mark_retries=True, classes=CLASSES)
    host.courier.admission.refusals_without_resubmission = 20
    host.arrive()
    actions = host.end(1, Result.FULL, retry_after_us=S)
    assert (
        not of_type(Refuse, actions)
        and not of_type(Send, actions + host.idle(0.95))
        and of_type(Send, host.idle(4))
    )
    until = host.now + 10 * S
    host.do(MessageArrived(99, 0, 1, until, resubmitted=True))
    assert of_type(Refuse, host.end(1, Result.FULL))


def test_a_bucket_is_smaller_where_refused_calls_are_priced():
    def at_once(price):
        host = Host(rate=10.0, slots=40, refused_price=price)
        host.courier.state.endpoints[100].lane.window = 20.0
        host.idle(2)
        return sum(len(of_type(Send, host.arrive())) for _ in range(12))

    assert 1 < at_once(0.1) < at_once(0.0) < 12


def test_an_unsafe_message_waits_while_calls_there_fail_in_ways_that_may_have_run():
    host = Host(cold_us=10 * S)
    warm(host)
    host.arrive()
    host.end(host.next, Result.ERROR, after=50_000)
    host.end(host.next, Result.ERROR, after=500_000) if of_type(Send, host.idle(0.3)) else None
    host.courier.state.messages.clear()
    host.courier.state.destinations[1].queue.clear()
    early = of_type(Send, host.arrive(message_class=2) + host.idle(1))
    late = of_type(Send, host.idle(6))
    assert not [a for a in early if a.message == host.next] and [a for a in late if a.message == host.next]


def test_an_endpoint_excluded_by_an_operator_gets_nothing_and_returns_with_a_slow_start():
    host = Host(rate=200.0, cold_us=10 * S, cold_share=0.1)
    for _ in range(40):  # warm
        m = of_type(Send, host.arrive(after=50_000))[0].message
        host.end(m, Result.OK, after=50_000)
    assert of_type(CloseIdle, host.do(SetByHand(100, True)))
    assert not of_type(Send, host.arrive())
    host.do(EndpointsListed(ListForm.FULL, (ListEntry(100, 1, EndpointState.READY, 200.0),)))
    assert not of_type(Send, host.idle(1.0))
    assert len(of_type(Send, host.do(SetByHand(100, False)))) == 1
    sent = 0
    host.end(host.next, Result.OK)
    for _ in range(200):  # one second at 200 messages per second: about the cold share is sent
        sends = of_type(Send, host.arrive(after=5_000))
        sent += len(sends)
        for send in sends:
            host.end(send.message, Result.OK, latency=1_000, after=0)
    assert 10 <= sent <= 60


def test_an_upgrade_hands_on_waits_circuits_and_calls():
    old = Host(endpoints=2, rate=100.0)
    for _ in range(4):  # its window opens
        m = of_type(Send, old.arrive(after=50_000))[0]
        old.end(m.message, Result.OK, after=50_000, endpoint=m.endpoint)
    first = of_type(Send, old.arrive(message_class=2))[0]
    other = of_type(Send, old.arrive())
    old.end(other[0].message, Result.FULL, retry_after_us=5 * S, endpoint=other[0].endpoint)
    new = Courier(old.courier.settings, 9)
    listed = EndpointsListed(
        ListForm.CACHED, tuple(ListEntry(100 + n, 1, EndpointState.READY, 100.0) for n in range(2))
    )
    carried = [Carried(e, {**figures, "lane.unknown": 1.0}) for e, figures in old.courier.carry()]
    begun = MessageArrived(first.message, 2, 1, old.now + 9 * S, tries=1, out=True)
    held = MessageArrived(77, 0, 1, old.now + 9 * S)
    actions = new.handle(
        old.now, [listed, *carried, begun, held, CallCarried(first.endpoint, old.now - S, (first.message,))]
    )
    assert not of_type(Send, actions) and not of_type(
        Fail, actions
    )  # the retry-after holds, and the unsafe message is not given up
    assert new.state.calls_in_flight == 1
    assert of_type(Send, new.handle(old.now + 6 * S, []))  # the held message, once the wait is over
    actions = new.handle(
        old.now + 6 * S, [AttemptEnded(first.message, 0, first.endpoint, Result.ERROR, 9 * S)]
    )
    assert [a.message for a in of_type(Fail, actions)] == [first.message] and new.state.calls_in_flight == 1


FLAGS = ("circuit.open", "lane.reported")


def carried_by_hand(courier):
    """The value of each carried name, by the attribute that it has to arrive in."""
    endpoint = courier.state.endpoints[100]
    lane, breaker, budget = endpoint.lane, endpoint.breaker, endpoint.connection_budget
    return {
        "ep.bad": endpoint.failure_share,
        "ep.dirty": endpoint.ambiguous_share,
        "ep.dirty_at": endpoint.ambiguous_updated_us,
        "ep.last_ok": endpoint.last_success_us,
        "circuit.bad": breaker.failure_share,
        "circuit.open": breaker.is_open,
        "circuit.trial_at": breaker.next_trial_us,
        "circuit.gap": breaker.trial_gap_us,
        "circuit.ramp_from": breaker.slow_start_began_us,
        "circuit.base": breaker.warm_rate_per_s,
        "circuit.tokens": breaker.tokens,
        "circuit.stamp": breaker.refilled_us,
        "lane.share": lane.limit_share_per_s,
        "lane.reported": lane.has_reported_limit,
        "lane.rate": lane.pace_per_s,
        "lane.brink": lane.last_refused_rate_per_s,
        "lane.tokens": lane.tokens,
        "lane.stamp": lane.refilled_us,
        "lane.wait_until": lane.wait_until_us,
        "lane.cut_at": lane.next_cut_us,
        "lane.refused": lane.refused_share,
        "lane.window": lane.window,
        "lane.fulls": lane.consecutive_refusals,
        "lane.mean": lane.mean_latency_us,
        "lane.dev": lane.latency_deviation_us,
        "lane.hold": lane.slot_time_us,
        "lane.seen": lane.success_rate_per_s,
        "lane.seen_at": lane.last_success_us,
        "links.calls": budget.recent_calls,
        "links.counted_at": budget.counted_us,
        "links.first_at": budget.first_call_us,
        "links.part": budget.table_share,
        "links.bound": budget.max_connections,
        "links.grow_at": budget.next_growth_us,
        "all.hold": courier.timeouts.mean_slot_time_us,
        "all.loss": courier.timeouts.loss_share,
        "all.new_lost": courier.connections.new_loss_share,
        "all.keep": courier.connections.max_idle_us,
        "all.reaped": courier.connections.idle_losses,
        "all.unreturned": courier.admission.refusals_without_resubmission,
    }


@pytest.mark.parametrize("couriers", [1, 100])
def test_carried_figures_keep_their_outer_names_and_arrive_in_their_attributes(couriers):
    # An upgrade exchanges these names with other builds, whatever the attributes are called there.
    old, new = (Host(couriers=couriers, slots=4).courier for _ in range(2))
    ((_, figures),) = old.carry()
    assert figures == carried_by_hand(old)
    figures = {name: 1 if name in FLAGS else n for n, name in enumerate(sorted(figures), start=2)}
    new.handle(2000 * S, [Carried(100, figures)])
    assert carried_by_hand(new) == figures and new.carry() == [(100, figures)]


def test_a_carried_call_to_an_endpoint_that_has_gone_keeps_its_slot():
    new = Courier(Settings(classes=CLASSES, slots=8, max_held=100), 9)
    new.handle(0, [MessageArrived(1, 0, 1, 9 * S, tries=1, out=True), CallCarried(5, 0, (1, 2))])
    assert new.state.calls_in_flight == 1
    new.handle(S, [AttemptEnded(1, 0, 5, Result.OK, S, True)])
    assert new.state.calls_in_flight == 0 and not new.state.messages


def test_an_unsafe_call_has_a_short_time_out_where_calls_are_lost_and_slots_are_short():
    # Lost calls of four seconds each occupied most slots, while hundreds of messages waited for one.
    def patience(host):
        return of_type(Send, host.arrive(message_class=2))[-1].timeout_us

    host = Host(endpoints=1, slots=4)

    def served(times):
        for _ in range(times):
            send = of_type(Send, host.arrive(after=20_000))[0]
            host.end(send.message, Result.OK, after=100_000)

    served(60)
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(200, 2, EndpointState.READY),)))
    assert patience(host) == CLASSES[2].aim_us  # few slots are used: one long attempt
    host.end(host.next, Result.OK, after=100_000)
    lost = of_type(Send, host.arrive(message_class=2, after=20_000))[0]
    served(1)  # the endpoint answers others
    host.end(lost.message, Result.TIMEOUT, latency=600_000, after=500_000)
    served(3)
    assert patience(host) == CLASSES[2].aim_us
    host.arrive()
    host.arrive(destination=2)
    assert host.courier.state.calls_in_flight == 3
    assert patience(host) < CLASSES[2].aim_us * 0.8


@pytest.mark.parametrize("new_ones_too", [True, False])
def test_idle_connections_are_aged_out_only_if_calls_on_new_ones_are_not_lost_as_well(new_ones_too):
    host = Host(endpoints=1, slots=8)

    def send():
        return of_type(Send, host.arrive(message_class=2, after=20_000))[0].message

    def lose(message, answered):
        host.end(answered, Result.OK, after=20_000)  # the endpoint answers others meanwhile
        host.end(message, Result.TIMEOUT, latency=600_000, after=600_000)

    for _ in range(6):
        host.end(send(), Result.OK, after=50_000)
    if new_ones_too:
        answered, new = send(), send()  # one connection is idle: the second call opens a new one
        lose(new, answered)
    for _ in range(2):
        answered, reused = send(), send()
        host.end(answered, Result.OK, after=20_000)
        host.end(reused, Result.OK, after=20_000)  # two are idle now
        reused, answered = send(), send()
        lose(reused, answered)
    assert (host.courier.connections.max_idle_us == host.courier.settings.connection_idle_us) is new_ones_too


def two_routes(**changes):
    """A partner with two routes: calls to 100 last 0.9 s, calls to 101 0.1 s."""
    host = Host(endpoints=2, kinds=(Kind("k", routes_apart=True),), **changes)
    for endpoint in host.courier.state.endpoints.values():
        endpoint.lane.window = 8.0
        endpoint.lane.mean_latency_us = endpoint.lane.slot_time_us = 9e5 if endpoint.id == 100 else 1e5
    return host


def test_a_route_with_long_calls_is_used_after_a_quick_one():
    # Its calls filled the partner's share of the slots, and the fast route got nothing for seconds.
    host = two_routes()
    for _ in range(4):
        send = of_type(Send, host.arrive())[0]
        assert send.endpoint == 101
        host.end(send.message, Result.OK, endpoint=101)
    host.courier.state.endpoints[101].lane.wait_until_us = host.now + S
    assert of_type(Send, host.arrive())[0].endpoint == 100  # the slow route is still used


def test_a_partner_is_ranked_by_its_free_routes_and_not_by_the_slow_one():
    host = two_routes(slots=1)
    host.do(EndpointsListed(ListForm.DELTA, (ListEntry(200, 2, EndpointState.READY),)))
    busy = of_type(Send, host.arrive(destination=2))[0]
    other = host.courier.state.endpoints[200].lane
    host.arrive(destination=2)
    waiting = host.next + 1
    host.arrive(destination=1)
    other.mean_latency_us = other.slot_time_us = 5e5
    actions = host.do(AttemptEnded(busy.message, 0, 200, Result.MOOT, 0, True))
    assert [s.message for s in of_type(Send, actions)] == [waiting]


@pytest.mark.parametrize("lives", [(10.0, 0.25, 12.0, 9.0), (0.25, 10.0, 0.2, 12.0), (9.0, 9.0, 9.0, 9.0)])
def test_a_batch_has_one_time_out_and_no_message_in_it_makes_that_too_short_for_others(lives):
    # With a time-out per message, answers after the earliest deadline of the batch counted for none of them.
    host = Host(kinds=(Kind("k", batch=10),))
    host.arrive()
    left = {}
    for lifetime_us in lives:
        host.arrive(lifetime_us=int(lifetime_us * S))
        left[host.next] = host.now + int(lifetime_us * S)
    sent = of_type(Send, host.end(1, Result.OK))
    (lane,) = host.courier.state.destinations[1].lanes
    usual = lane.mean_latency_us + 2 * lane.latency_deviation_us
    left = {m: until - host.now - host.courier.turn.deadline_margin_us for m, until in left.items()}
    assert sent and len({a.timeout_us for a in sent}) == 1
    assert sent[0].timeout_us <= min(left[a.message] for a in sent)
    together = {a.message for a in sent}
    assert {left[m] >= usual for m in together} in ({True}, {False})
    assert together == {m for m in left if left[m] >= usual} or not any(left[m] >= usual for m in together)


SHORT = (
    MessageClass("keyed", aim_us=S, deadline_us=20 * S, effect=Effect.KEYED, key_window_us=2 * S),
    MessageClass(
        "zoned", aim_us=S, deadline_us=20 * S, effect=Effect.KEYED, key_window_us=8 * S, key_scope="zone"
    ),
)


@pytest.mark.parametrize(
    ("waits", "after", "ends"),
    [
        ("its endpoint drains", 1.8, None),
        ("its endpoint drains", 2.05, "deferred"),  # not only at its deadline, 18 s later
        ("its call", 2.05, "deferred"),
    ],
)
def test_a_message_that_may_not_be_repeated_any_more_is_answered_at_once(waits, after, ends):
    host = Host(classes=SHORT)
    host.arrive(message_class=0, lifetime_us=20 * S)
    if waits == "its call":
        actions = host.end(1, Result.TIMEOUT, after=int(after * S))
    else:
        host.do(EndpointsListed(ListForm.DELTA, (ListEntry(100, 1, EndpointState.DRAINING),)))
        host.end(1, Result.ERROR)
        actions = host.idle(after - 0.1)
    assert [
        "deferred" if isinstance(a, Refuse) else "failed" for a in actions if isinstance(a, (Refuse, Fail))
    ] == ([ends] if ends else [])


@pytest.mark.parametrize(("ran_zone", "sent"), [(0, [100]), (1, [101]), (-1, []), (7, [])])
def test_a_restored_message_whose_key_holds_in_one_zone_goes_there_again_or_ends(ran_zone, sent):
    host = Host(classes=SHORT)
    host.do(
        EndpointsListed(
            ListForm.CACHED, tuple(ListEntry(100 + n, 1, EndpointState.READY, zone=n) for n in range(2))
        )
    )
    actions = host.do(
        MessageArrived(9, 1, 1, host.now + 15 * S, tries=1, ran_at_us=host.now - S, ran_zone=ran_zone)
    )
    assert [a.endpoint for a in of_type(Send, actions)] == sent
    if ran_zone < 0:
        assert of_type(Fail, actions) == [Fail(9)]
    elif not sent:  # its zone may return until the window of its key ends
        assert not of_type(Fail, actions) and of_type(Fail, host.idle(7.2)) == [Fail(9)]


@pytest.mark.parametrize(("restored", "given_up"), [(True, 0), (False, 10)])
def test_a_restored_message_without_an_attempt_is_not_refused_for_the_pace(restored, given_up):
    # New messages whose turn cannot come before their deadline are refused at once; restored ones were taken
    # on.
    host = Host(couriers=100, slots=4, rate=5.0)  # this courier may make one call in 20 s
    host.courier.pacing.token_jitter = 0.0
    host.arrive()
    actions = host.do(*(MessageArrived(50 + n, 0, 1, host.now + 9 * S, restored=restored) for n in range(10)))
    assert len(of_type(Refuse, actions)) == given_up


def test_each_restored_message_without_an_attempt_is_sent():
    host = Host(slots=4)
    host.do(*(MessageArrived(50 + n, 0, 1, host.now + 9 * S, restored=True) for n in range(30)))
    while host.courier.state.calls:
        message, _ = next(iter(host.courier.state.calls))
        host.end(message, Result.OK)
    assert set(host.tries) == set(range(50, 80))
