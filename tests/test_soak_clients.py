"""The soak's faults of clients, and the rules that judge them."""

import pytest

from hopmill.soak import rules, schedule
from hopmill.soak.records import SeenCall, SoakLedger
from hopmill.soak.run import Soak, SoakOptions
from hopmill.standin.ledger import Submission
from test_soak import play


def test_memory_over_the_limit_late_answers_and_calls_for_clients_that_left_are_found():
    ledger = SoakLedger()
    ledger.record_memory("c", 63.0)
    ledger.late_answers_s.append(("c", 0.39))
    ledger.calls_seen.append(SeenCall("c", "e", 1.0, ("m-1",)))
    assert rules.violations(ledger) == []
    ledger.record_memory("c", 64.5)
    ledger.late_answers_s.append(("c", 0.41))
    ledger.calls_seen.append(SeenCall("c", "e", 1.0, ("left-1",)))
    assert [line.split(":")[0] for line in rules.violations(ledger)] == ["memory", "answer", "left"]


def test_faults_of_clients_leave_the_other_faults_of_a_seed_as_they_were(tmp_path):
    soak = Soak(SoakOptions(seed=5, couriers=4), tmp_path)
    apart = (*schedule.CLIENT_KINDS, schedule.Kind.ZONE_MOVE, *schedule.DISCOVERY_KINDS)
    others = [fault for fault in soak.faults if fault.kind not in apart]
    assert others == schedule.draw(5, soak.options.seconds, 4, 0.6 * 4)
    assert len(soak.faults) > len(others)


def receipt(message, *endpoints):
    ledger = SoakLedger(zones={"e1": "hall-a", "e2": "hall-b", "e3": "hall-a"})
    ledger.record_submission(message, Submission(rules.ZONE_BOUND_CLASS, False, 1.0, 1.0, 1.0))
    for endpoint in endpoints:
        ledger.record_call(endpoint, [message])
    return ledger


def test_a_repeat_in_another_zone_is_found_unless_its_endpoint_had_moved():
    assert rules.repeats_in_another_zone(receipt("m", "e1", "e2"))
    assert not rules.repeats_in_another_zone(receipt("m", "e1", "e3"))
    ledger = receipt("m", "e1")
    ledger.moved.add("e2")
    ledger.record_call("e2", ["m"])
    assert not rules.repeats_in_another_zone(ledger)


def test_an_endpoint_that_moves_under_its_calls_gets_no_message_repeated_elsewhere(tmp_path):
    moves = [schedule.Fault(1.0 + n, schedule.Kind.ZONE_MOVE, 2.0, choice=n / 4) for n in range(4)]
    soak = play(tmp_path, moves, 6.0)
    assert len(soak.ledger.moved) == 4


@pytest.mark.parametrize("kind", schedule.CLIENT_KINDS)
def test_each_fault_of_clients_reaches_a_courier_that_keeps_the_rules(tmp_path, kind):
    faults = [schedule.Fault(1.0 + n, kind, 0.5, choice=n / 3 + 0.1) for n in range(3)]
    soak = play(tmp_path, faults, 5.0)
    assert soak.injected[kind.value] == 3
    assert 0 < soak.ledger.peak_memory_mb["courier-0"] < rules.MEMORY_LIMIT_MB
