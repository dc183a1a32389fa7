"""The laboratory: its models against theory, its reproducibility, and that it detects broken rules."""

import importlib
import json
import math
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace

import numpy as np
import pytest
from loopback import ROOT

from hopmill import interface
from hopmill.lab import compare, farm, loadtool, partners, play, replay, search
from hopmill.lab.calls import Calls
from hopmill.lab.chance import UniformBuffer, lognormal, stream
from hopmill.lab.clock import Clock
from hopmill.lab.courier import ModuleFailedError
from hopmill.lab.dialect import Dialect
from hopmill.lab.rules import RuleBrokenError
from hopmill.lab.scenario import Kind, ScenarioError, Trouble, load
from hopmill.lab.simulation import Simulation


def small(name="calm", couriers=6, **changes):
    return load(name, couriers, seconds=6.0, **changes)


# Against known theory


def endpoint(clock, kind, workers, queue, rate=0.0):
    target = partners.Target("t", kind, partners.Limit(kind, rate), 1e9, 1.0, 2.0, 500_000)
    return partners.Endpoint(1, 1, 0, target, workers, queue, 10**6, clock, UniformBuffer(stream(1, "e")))


def run_arrivals(clock, target_endpoint, arrivals_us, work_us):
    """Returns (outcome, arrival, answer) of each call. Times in us."""
    rows = []

    def arrive(work):
        arrived_us = clock.now
        target_endpoint.receive(
            partners.Call(
                0,
                (0,),
                (work,),
                lambda outcome, wait, report: rows.append((outcome, arrived_us, clock.now)),
                lambda: None,
            )
        )

    for arrived_us, work in zip(arrivals_us.astype(int).tolist(), work_us.tolist(), strict=True):
        clock.at(arrived_us, arrive, work)
    clock.run(int(arrivals_us[-1]) + 10**9)
    return rows


@pytest.mark.parametrize(
    ("workers", "load_per_worker", "queue"), [(1, 0.7, 10**6), (4, 0.8, 10**6), (3, 0.9, 1), (2, 1.5, 4)]
)
def test_queue_waits_and_losses_match_the_erlang_formulas(workers, load_per_worker, queue):
    n, mean = 60_000, 50_000.0
    arrivals = np.cumsum(stream(7, "a").exponential(mean / workers / load_per_worker, n))
    rows = run_arrivals(
        clock := Clock(),
        endpoint(clock, Kind(name="k", errors=0.0), workers, queue),
        arrivals,
        stream(7, "w").exponential(mean, n),
    )
    offered_load, capacity = load_per_worker * workers, workers + min(queue, 3000)
    odds = [1.0]
    for k in range(1, capacity + 1):
        odds.append(odds[-1] * offered_load / min(k, workers))
    odds = np.array(odds) / sum(odds)
    lost = sum(outcome == partners.FULL for outcome, *_ in rows) / n
    assert abs(lost - (odds[-1] if queue < 100 else 0)) < 0.01
    waiting = sum(p * max(0, k - workers) for k, p in enumerate(odds)) / (1 - odds[-1]) / offered_load * mean
    served = [end - at for outcome, at, end in rows if outcome == partners.OK]
    assert np.mean(served) == pytest.approx(mean + waiting, rel=0.06)


@pytest.mark.parametrize(("limit", "span_ms"), [("rate", 500), ("window", 500), ("window", 2000)])
def test_a_limit_lets_its_rate_through_in_the_long_run(limit, span_ms):
    kind = Kind(name="k", limit=limit, span_ms=span_ms, errors=0.0)
    for offered, admitted in ((8, 8), (12, 10), (60, 10)):
        arrivals = np.cumsum(stream(3, "a").exponential(1e6 / offered, 100 * offered))
        rows = run_arrivals(
            clock := Clock(),
            endpoint(clock, kind, 10**6, 1, rate=10.0),
            arrivals,
            np.full(len(arrivals), 1000.0),
        )
        assert sum(outcome == partners.OK for outcome, *_ in rows) / 100 == pytest.approx(
            min(admitted, 10), rel=0.12
        )


def test_refused_calls_that_count_towards_the_limit_starve_an_overloaded_partner():
    for counts, low, high in ((False, 9, 11), (True, 0, 1)):
        kind = Kind(name="k", limit="rate", span_ms=1000, refused_count=counts, errors=0.0)
        arrivals = np.cumsum(np.full(3000, 1e6 / 30))
        rows = run_arrivals(
            clock := Clock(), endpoint(clock, kind, 10**6, 1, rate=10.0), arrivals, np.full(3000, 1000.0)
        )
        assert low <= sum(outcome == partners.OK for outcome, *_ in rows) / 100 <= high


def test_littles_law_holds_in_a_run():
    result = play.play(small(couriers=8), 3)
    assert result["held_mean"] == pytest.approx(result["held_by_stays"], rel=1e-9) and result["held_mean"] > 1


# Reproducibility and comparisons


def test_events_at_one_instant_run_in_the_order_scheduled():
    clock, order = Clock(), []
    clock.at(5, order.append, "a")
    clock.at(5, lambda: (order.append("b"), clock.after(0, order.append, "d")))
    clock.at(5, order.append, "c")
    clock.at(2, clock.at, 1, lambda: order.append(clock.now))
    clock.run(10)
    assert order == [2, "a", "b", "c", "d"] and clock.now == 10


def test_the_same_seed_gives_the_same_line_in_any_process():
    jobs = [(farm.Job(farm.Build(), "zone", 5, {"seconds": 5.0}), seed) for seed in (4, 2, 9)]
    first, second = (list(farm.run(jobs, cores=c)) for c in (3, 1))
    assert [json.dumps(r) for r in first] == [json.dumps(r) for r in second]
    assert [r["seed"] for r in first] == [4, 2, 9]


def test_random_streams_are_independent():
    def arrivals(**changes):
        return [
            (o.created_us, o.class_index, o.destination, o.work_us)
            for o in Simulation(small(**changes), 5).clients.requests
        ]

    first = arrivals()
    assert len(first) > 100
    assert arrivals(**{"net.jitter": 0.0, "clients.honour": 0.1, "reports.noise": 0.3}) == first
    assert arrivals(**{"load.partner_zipf": 0.1}) != first


def test_equal_builds_do_not_differ_and_intervals_have_their_coverage():
    same = farm.Build(constants={"policy.pacing.GROW": "0.1"})
    found, a, b = compare.compare(farm.Build(), same, "calm", 4, [1, 2])
    assert a == b and all(d.mean == d.low == d.high == 0 and d.sign == 0 for d in found)
    rng = np.random.default_rng(5)
    outside = [
        0 if low <= 0.3 <= high else 1
        for low, high in (compare.interval(rng.normal(0.3, 1, 10)) for _ in range(400))
    ]
    assert (
        0.02 <= np.mean(outside) <= 0.08
    )  # the nominal rate is 0.05; plain percentiles of 10 pairs give 0.1


def test_a_comparison_detects_a_change_and_ends_at_the_required_precision():
    other = farm.Build(constants={"policy.pacing.BURST_PRICED_S": "0.0001", "policy.pacing.FLOOR": "0.01"})
    found, a, _ = compare.compare(farm.Build(), other, "calm", 4, list(range(1, 33)), goal=1.0)
    assert len(a) == compare.MIN_SEEDS and found[0].seeds == compare.MIN_SEEDS
    assert found[0].a != found[0].b


FORMER_CONSTANTS = {
    "policy.links.HALF",
    "policy.pacing.BASE_US",
    "policy.pacing.BURST_PRICED_S",
    "policy.pacing.FLOOR",
    "policy.pacing.GROW",
    "policy.turn.TICKS",
}


def test_a_constant_is_set_by_its_former_path_as_by_its_present_one(monkeypatch):
    # Command lines and recorded comparisons use the paths that constants had before a renaming.
    assert set(play.CONSTANT_ALIASES) == FORMER_CONSTANTS
    for former, present in play.CONSTANT_ALIASES.items():
        where, _, name = present.rpartition(".")
        module = importlib.import_module(f"hopmill.{where}")
        assert not hasattr(module, former.rpartition(".")[2])
        monkeypatch.setattr(module, name, getattr(module, name))  # restores it afterwards
        for value, path in enumerate((former, present), start=17):
            play.override({path: str(value)})
            assert getattr(module, name) == value
    for unknown in ("policy.pacing.NOTHING", "policy.turn.GROW"):
        with pytest.raises(KeyError):
            play.override({unknown: "1"})


def test_a_full_connection_table_refuses_only_new_connections():
    clock = Clock()
    target_endpoint = endpoint(clock, Kind(name="k", errors=0.0), 50, 50)
    target_endpoint.max_connections, outcomes = 2, []
    connects = [target_endpoint.connect() for _ in range(3)]
    for result in connects:
        call = partners.Call(0, (0,), (1000.0,), lambda *answer: outcomes.append(answer[0]), lambda: None)
        call.over_connection_limit = result == partners.FULL
        target_endpoint.receive(call)
    clock.run(10**6)
    assert connects == [partners.OK, partners.OK, partners.FULL] and sorted(outcomes) == ["full", "ok", "ok"]
    target_endpoint.disconnect()
    target_endpoint.disconnect()
    assert target_endpoint.connect() == partners.OK


# Rules and errors


class AlteredModule:
    """The module under test, with its actions changed by a function."""

    def __init__(self, alter):
        self.alter = alter

    def __call__(self, settings, seed):
        inner, alter = Dialect().courier(settings, seed), self.alter

        class Courier:
            def handle(self, now, events):
                return alter(inner, now, events, inner.handle(now, events))

            def __getattr__(self, name):
                return getattr(inner, name)

        return Courier()


def run_altered(alter, scenario, seed=1):
    dialect = Dialect()
    dialect.courier = AlteredModule(alter)
    simulation = Simulation(scenario, seed, dialect)
    simulation.play()
    return simulation


def drops_outcomes(inner, now, events, actions):
    return [a for a in actions if not isinstance(a, (interface.Send, interface.Refuse, interface.Fail))]


def defers_failures(inner, now, events, actions):
    return [interface.Refuse(a.message) if isinstance(a, interface.Fail) else a for a in actions]


def ignores_retry_after(inner, now, events, actions):
    for destination in inner.state.destinations.values():
        for lane in destination.lanes:
            lane.wait_until_us = lane.refused_share = 0
            lane.pace_per_s = lane.tokens = 1e9
    return actions


def ignores_discovery(inner, now, events, actions):
    for endpoint in inner.state.endpoints.values():
        endpoint.state = interface.EndpointState.READY
    return actions


def ignores_slots(inner, now, events, actions):
    inner.gate.settings = inner.settings = replace(inner.settings, slots=10**6)
    inner.pacing.max_calls_per_destination = 10**6
    for destination in inner.state.destinations.values():
        for lane in destination.lanes:
            lane.window = 10**6
            lane.pace_per_s = 0.0
    return actions


@pytest.mark.parametrize(
    ("alter", "rule", "scenario", "changes"),
    [
        (drops_outcomes, "lost", "calm", {}),
        (defers_failures, "duplicates", "split", {"net.lost": 0.2}),
        (ignores_retry_after, "waits", "overload", {"load.factor": 4.0}),
        (ignores_discovery, "drains", "roll", {"discovery.notice_ms": 10.0, "drain_grace_ms": 100.0}),
        (ignores_slots, "slots", "calm", {"load.clumps": 0.9}),
    ],
)
def test_a_broken_rule_ends_the_run_with_its_trace(alter, rule, scenario, changes):
    day = small(scenario, 4, **changes)
    run_altered(lambda inner, now, events, actions: actions, day)  # the unaltered module breaks no rule
    with pytest.raises(RuleBrokenError) as caught:
        run_altered(alter, day)
    assert caught.value.rule == rule
    assert caught.value.trace and len(caught.value.trace) <= 25


def test_a_recovering_target_collapses_under_the_calls_of_informed_couriers():
    clock, kind = Clock(), Kind(name="k", errors=0.0, cold_ms=5000.0, cold_from=0.2)
    overloaded = endpoint(clock, kind, 50, 50)
    overloaded.target.capacity_per_s, other = 20.0, endpoint(clock, kind, 50, 50)
    other.target.capacity_per_s = 20.0
    for target in (overloaded.target, other.target):  # both recover; only one gets too many calls
        target.start_outage("down", 1.0, 1000)
        target.affected_couriers.add(1)
        target.end_outage(clock.now, "down")
    call = partners.Call(1, (0,), (100.0,), lambda *answer: None, lambda: None)
    collapses = [overloaded.target.record_call_in_recovery(clock.now + n, call) for n in range(30)]
    assert (
        collapses.index(True) >= 4
        and overloaded.target.has_collapsed
        and overloaded.target.informed_share == 1.0
    )
    assert not other.target.has_collapsed and not other.target.record_call_in_recovery(10, call)


def test_a_courier_killed_in_the_tick_in_which_a_call_ends_sends_no_unsafe_one_again(monkeypatch):
    scenario = small("calm", 3)
    simulation = Simulation(scenario, 2)
    courier, killed, generations = simulation.couriers[0], [], []
    finish = Calls._finish

    def kill_first(calls, outgoing, outcome, wait, report):
        is_chosen = calls.courier is courier and outcome == partners.OK
        if is_chosen and len(killed) < 20 and simulation.clock.now > 500_000:
            killed.append(outgoing.items[0][0])
            generation = courier.generation
            simulation.faults._kill_courier(courier, simulation.clock.now + 50_000)
            generations.append((generation, courier.generation))
            return
        finish(calls, outgoing, outcome, wait, report)

    monkeypatch.setattr(Calls, "_finish", kill_first)
    simulation.play()  # a second execution or a message without an outcome would raise RuleBrokenError
    assert len(killed) == 20 and all(after > before for before, after in generations)
    unsafe = [message for message in killed if scenario.classes[message.class_index].effect == "unsafe"]
    assert unsafe and all(message.executions == 1 for message in unsafe)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"load.rate": 1}, "load: Object contains unknown field `rate`"),
        ({"load.rate_per_s": -5.0}, "load.rate_per_s: must be 0 or more, not -5"),
        ({"load.rate_per_s": [5.0, 1.0]}, r"load.rate_per_s: must be \[min, max\]"),
        ({"classes": []}, "classes: "),
        ({"late": "never"}, "late: Invalid enum value"),
        ({"troubles": [{"kind": "quake"}]}, r"troubles\[0\]"),
        ({"load.burst_from": 0.9}, "load.burst_from: must not exceed load.burst_to"),
    ],
)
def test_an_invalid_scenario_is_reported_with_its_field(changes, message):
    with pytest.raises(ScenarioError, match=message):
        load("calm", 4, **changes)


def test_killing_all_couriers_and_an_unknown_scenario_are_reported():
    day = small()
    day.troubles = [Trouble(kind="kill", part=1.0, len_ms=60_000.0)]
    with pytest.raises(ScenarioError, match="no courier is left alive"):
        Simulation(day, 1)
    with pytest.raises(ScenarioError, match="there are calm, clump, herd, join, overload, roll"):
        load("clam")


def test_an_exception_of_the_module_is_reported_with_seed_courier_and_event(monkeypatch):
    def throws(inner, now, events, actions):
        if now > 900_000 and any(isinstance(e, interface.MessageArrived) for e in events):
            raise ZeroDivisionError("in a decision")
        return actions

    with pytest.raises(ModuleFailedError, match=r"courier \d+ at [01]\.\d+ s, on \d+ events, the last \w+\("):
        run_altered(throws, small())
    dialect = Dialect()
    dialect.courier = AlteredModule(throws)
    monkeypatch.setattr(play, "Dialect", lambda: dialect)
    result = play.play(small(), 7)
    assert result["broken"] == "module failed" and result["g"] == 0
    assert result["text"].startswith("seed 7: courier ")


def test_a_revision_that_does_not_know_an_event_runs_without_it(monkeypatch):
    dialect = Dialect()
    monkeypatch.delattr(dialect.interface, "Connections")
    assert dialect.make("Connections", endpoint=1, idle_since=()) is None
    made = dialect.make("TimerDue", token=1, colour="red")
    assert made == interface.TimerDue(1) and dialect.unknown == {"Connections", "TimerDue.colour"}


def test_a_checkout_runs_its_own_module(tmp_path):
    (tmp_path / "hopmill" / "policy").mkdir(parents=True)
    for path in (ROOT / "hopmill" / "policy").glob("*.py"):
        text = path.read_text().replace("DEFAULT_MAX_ATTEMPTS = 3 ", "DEFAULT_MAX_ATTEMPTS = 1 ")
        (tmp_path / "hopmill" / "policy" / path.name).write_text(text)
    for name in ("__init__.py", "interface.py"):
        (tmp_path / "hopmill" / name).write_text((ROOT / "hopmill" / name).read_text())
    with farm.build(str(tmp_path)) as other, farm.build(".") as this:
        jobs = [(farm.Job(b, "split", 4, {"seconds": 5.0, "net.lost": 0.2}), 1) for b in (this, other)]
        here, there = farm.run(jobs)
    assert here["outcomes"] != there["outcomes"] and here["messages"] == there["messages"]
    with pytest.raises(farm.LabError, match="neither a revision"), farm.build("no-such-thing"):
        pass


def test_an_interrupted_run_keeps_the_finished_seeds():
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hopmill",
            "lab",
            "run",
            "calm",
            "--couriers",
            "8",
            "--seeds",
            "1-400",
            "--json",
            "--cores",
            "2",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
        # A shell ignores SIGINT in a background job without job control, and its children inherit that.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    lines = [process.stdout.readline() for _ in range(2)]
    os.killpg(process.pid, signal.SIGINT)
    rest, errors = process.communicate(timeout=20)
    seeds = [json.loads(line)["seed"] for line in [*lines, *rest.splitlines()]]
    assert process.returncode == 130 and seeds == list(range(1, len(seeds) + 1)) and "ended early" in errors


def test_a_recording_replays_the_same_and_names_the_first_difference(tmp_path, monkeypatch):
    path = tmp_path / "turns.jsonl"
    assert replay.record(small("herd", 6), 1, 2, path) > 20
    assert replay.first_difference(path) is None
    monkeypatch.setattr("hopmill.policy.pacing.FIRST_BACKOFF_US", 5)
    monkeypatch.setattr("hopmill.policy.turn.DEADLINE_MARGIN_TICKS", 400)
    found = replay.first_difference(path)
    assert found and found.startswith("at ") and "recorded" in found


def test_a_search_puts_the_worst_first_and_shrinks_it():
    rows = search.worst(farm.Build(), "overload", 4, 4, 1, lambda done, of: None)
    assert [r["g"] for r in rows] == sorted(r["g"] for r in rows)
    progress = []
    smallest = search.shrink(farm.Build(), "overload", 4, rows[0], progress.append)
    assert smallest["couriers"] <= 4 and set(smallest["changes"]) <= set(rows[0]["changes"]) | {"seconds"}


def test_a_report_is_one_page_without_links():
    from hopmill.lab.report import page

    rows = [play.play(small("zone", 4), seed, with_details=True) for seed in (1, 2)]
    text = page("zone <small>", rows, [compare.difference("g", rows, rows)])
    assert text.count("data:image/png;base64,") == 6 and "http" not in text and "zone &lt;small&gt;" in text
    result = play.play(small("overload", 4, **{"load.factor": 4.0}), 1, with_details=True)
    assert sum(result["refused_by_partners"].values()) == result["refused_calls"] > 0
    third_second = result["parts"][3]
    assert set(third_second) <= set(result["lanes"]) and max(p["parts"] for p in third_second.values()) > 0
    assert sum(rows[0]["lost_by_cause"].values()) == pytest.approx(1 - rows[0]["served"], abs=1e-4)


def test_a_message_whose_client_left_is_not_accepted_and_is_submitted_again():
    with_leavers, without_leavers = (
        play.play(small("join", 4, **{"clients.gives_up": share}), 1) for share in (0.5, 0.0)
    )
    assert with_leavers["messages"] == without_leavers["messages"] and "broken" not in with_leavers
    assert (
        with_leavers["fates"]["delivered"] < without_leavers["fates"]["delivered"]
        and with_leavers["calls"] != without_leavers["calls"]
    )


# The load tool


@pytest.mark.parametrize("address", ["10.0.0.1", "192.168.1.1", "8.8.8.8", "localhost", "::1"])
def test_a_load_goes_to_loopback_only(address):
    with pytest.raises(farm.LabError, match="127.0.0.0/8"):
        loadtool.check_limits((address, 1), loadtool.Plan())
    with pytest.raises(farm.LabError, match="at most"):
        loadtool.check_limits(("127.0.0.1", 1), loadtool.Plan(seconds=1e9))


def test_arrivals_are_open_loop_and_a_stall_counts_for_all_waiting_requests():
    rows = loadtool.arrivals(loadtool.Plan(rate_per_s=200, seconds=20, clumps=0.5))
    assert len(rows) / 20 == pytest.approx(200, rel=0.15) and rows == sorted(rows)
    assert len(set(rows)) < 0.8 * len(rows)

    async def stalls(reader, writer):
        while True:
            size = int((await reader.readline())[1:])
            for _ in range(2 * size):
                await reader.readline()
            time.sleep(0.5 if not stalled else 0)  # the whole server stalls once
            stalled.append(1)
            writer.write(b"+OK\r\n")

    async def run():
        server = await asyncio.start_server(stalls, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        result = await loadtool.run(("127.0.0.1", port), loadtool.Plan(100, 2.0, clients=2))
        server.close()
        return result.as_json()

    import asyncio

    stalled = []
    result = asyncio.run(run())
    assert result["from_due_ms"]["p90"] > 3 * result["from_write_ms"]["p90"] and result["offered"] > 150


def test_lognormal_draws_have_the_requested_mean_and_spread():
    got = lognormal(stream(1, "x"), 40.0, 0.8, 200_000)
    assert got.mean() == pytest.approx(40, rel=0.02)
    assert got.std() / got.mean() == pytest.approx(0.8, rel=0.05)
    assert math.isclose(stream(1, "a").random(), stream(1, "a").random())
    assert stream(1, "a").random() != stream(1, "b").random()
