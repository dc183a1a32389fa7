"""The owner of the endpoint list's age: its states, and that no path outlasts the bound of a change."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hopmill.net import list_budget as budget
from hopmill.net.backoff import retry_waits
from hopmill.net.list_freshness import DiscoveryState, ListFreshness

COURIERS = (1, 2, 24, 200, 1000)
FAILURES = (DiscoveryState.REFUSED, DiscoveryState.UNREACHABLE)


def confirmed(is_server_shared=True, at=0.0):
    freshness = ListFreshness(is_server_shared)
    freshness.on_start(at)
    freshness.on_accepted(at, 1)
    freshness.on_answered(at, 1)
    return freshness


@pytest.mark.parametrize("couriers", COURIERS)
def test_waits_connect_and_hold_ups_leave_no_path_longer_than_the_time_in_which_a_change_binds(couriers):
    # Guards against waits that are chosen one by one: after 12 s of refusals some lasted 24 s (review/8).
    random.seed(couriers)
    for waits in (retry_waits(couriers, True), retry_waits(couriers, False)):
        for backoff in (waits.after_loss, waits.after_refusal):
            longest_s = max(backoff.next() for _ in range(500))
            assert longest_s + budget.CONNECT_TIMEOUT_S + budget.HOLD_UP_S <= budget.CHANGE_BOUND_S
        assert budget.SILENCE_TIMEOUT_S + budget.CONNECT_TIMEOUT_S <= budget.CHANGE_BOUND_S
        reopened_s = max(waits.reopen() for _ in range(500))
        assert reopened_s + budget.CONNECT_TIMEOUT_S + budget.HOLD_UP_S <= budget.CHANGE_BOUND_S


@given(
    is_server_shared=st.booleans(),
    steps=st.lists(
        st.tuples(st.floats(0.0, 4.0), st.sampled_from(["ask", "answer", "hear", "part", "fail", "lose"])),
        max_size=30,
    ),
)
def test_calls_wait_once_the_bound_has_passed_while_an_answer_is_due(is_server_shared, steps):
    """A second account of the rule: what was last known, and how long an accepted question has waited."""
    freshness = ListFreshness(is_server_shared)
    now, number, accepted_at, heard_at, watched = 100.0, 0, {}, -1.0, None
    freshness.on_start(now)
    binds_at = watch_heard_at = float("-inf")
    for wait_s, step in steps:
        now += wait_s
        if step == "ask":
            number += 1
            accepted_at[number] = now
            freshness.on_accepted(now, number)
        elif step == "answer" and accepted_at:
            watched = max(accepted_at)
            binds_at = max(binds_at, accepted_at[watched] + budget.CHANGE_BOUND_S)
            freshness.on_answered(now, watched)
            for older in accepted_at:
                if older != watched:
                    freshness.on_closed(older)
            heard_at, watch_heard_at, accepted_at = now, now, {}
        elif step == "hear" and watched:
            freshness.on_heard(now, True)
            binds_at, heard_at = max(binds_at, now + budget.CHANGE_BOUND_S), now
            watch_heard_at = now
        elif step == "part" and accepted_at:
            freshness.on_part_received(now, max(accepted_at))
            heard_at = now
        elif step == "fail" and accepted_at:
            failed = max(accepted_at)
            del accepted_at[failed]
            freshness.on_failed(now, failed, DiscoveryState.REFUSED)
            if not accepted_at and freshness.is_confirmed:
                binds_at = max(binds_at, now + budget.CHANGE_BOUND_S)
        elif step == "lose" and watched:
            freshness.on_closed(watched)
            watched = None
        silent_s = now - max(heard_at, min(accepted_at.values())) if accepted_at else 0.0
        is_watched = watched and now < watch_heard_at + budget.SILENCE_TIMEOUT_S
        must_wait = (
            accepted_at
            and not is_watched
            and now >= binds_at
            and silent_s < freshness.patience.silent_s - 0.001
        )
        outdated_s = now - max(100.0, freshness.valid_until)
        if must_wait and outdated_s < freshness.patience.total_s - 0.001:
            assert freshness.holds_calls(now)
        if not accepted_at and now > 100.0 + budget.START_HOLD_S:
            assert not freshness.holds_calls(now)  # discovery that is down frees no message of its answer
        assert freshness.valid_until <= max(binds_at, now + budget.CHANGE_BOUND_S)


def test_a_question_that_is_accepted_is_slow_then_silent_and_a_failed_one_refused_or_unreachable():
    freshness = confirmed()
    assert freshness.state(1.0) is DiscoveryState.CONFIRMED
    freshness.on_closed(1)
    freshness.on_accepted(2.0, 2)
    assert freshness.state(2.5) is DiscoveryState.ASKED
    assert freshness.state(4.0) is DiscoveryState.SLOW
    assert freshness.state(8.5) is DiscoveryState.SILENT
    for number, failure in enumerate(FAILURES, 3):
        freshness.on_failed(9.0, number - 1, failure)
        assert freshness.state(9.5) is failure
        freshness.on_accepted(9.5, number)


def test_an_agent_that_stays_silent_counts_as_down_after_a_second():
    freshness = ListFreshness(is_server_shared=False)
    freshness.on_start(0.0)
    freshness.on_accepted(0.2, 1)
    assert freshness.holds_calls(1.1) and not freshness.holds_calls(1.3)
    assert freshness.state(1.3) is DiscoveryState.SILENT


def test_what_discovery_had_before_a_watch_of_a_late_discovery_was_lost_binds_by_its_lateness_sooner():
    freshness = confirmed()
    freshness.on_heard(7.5, True)  # 5.5 s later than a heartbeat is due
    freshness.on_closed(1)
    freshness.on_accepted(7.6, 2)
    assert not freshness.holds_calls(7.9) and freshness.holds_calls(8.1)


@pytest.mark.parametrize("is_reload", [True, False])
def test_a_list_that_is_carried_over_an_upgrade_or_a_reload_is_valid_for_a_shorter_time(is_reload):
    if is_reload:
        freshness, bound_s = confirmed(), budget.RELOAD_BOUND_S
        freshness.on_moved(0.0)
        freshness.on_heard(2.0, True)  # by the former address
    else:
        freshness, bound_s = ListFreshness(True, is_confirmed=True), budget.UPGRADE_BOUND_S
        freshness.on_start(0.0, 5.9)
    freshness.on_accepted(0.1, 2)
    assert not freshness.holds_calls(bound_s - 0.1) and freshness.holds_calls(bound_s + 0.1)
    assert freshness.next_change_at(bound_s - 0.1) == bound_s
    freshness.on_answered(5.0, 2)
    assert not freshness.holds_calls(5.1)


def test_a_list_that_arrives_in_parts_on_an_open_watch_is_waited_for_once_it_binds():
    freshness = confirmed()
    for now in (1.0, 3.0, 5.0, 7.0):
        freshness.on_heard(now, False)
    assert freshness.holds_calls(7.0) and freshness.state(7.0) is DiscoveryState.CONFIRMED
    freshness.on_heard(7.5, True)
    assert not freshness.holds_calls(7.5)


def test_a_new_process_whose_answers_are_cut_off_waits_as_long_as_for_a_silent_discovery():
    # Seen in the soak: calls by the old list between a slow question that was reset and the next one.
    freshness = ListFreshness(is_server_shared=True)
    freshness.on_start(0.0)
    for number, at in enumerate((0.1, 2.5, 3.5)):
        freshness.on_accepted(at, number)
        freshness.on_failed(at + 0.5, number, DiscoveryState.CUT_OFF)
    assert freshness.holds_calls(4.5) and not freshness.holds_calls(6.2)
    freshness.on_accepted(4.6, 4)
    freshness.on_failed(4.7, 4, DiscoveryState.REFUSED)
    assert not freshness.holds_calls(4.8)


def test_an_open_watch_of_a_late_discovery_holds_nothing_back_while_another_question_is_due():
    freshness = confirmed()
    freshness.on_heard(7.0, True)
    freshness.on_accepted(7.1, 2)
    assert not freshness.holds_calls(10.0) and freshness.holds_calls(10.5)
