"""The laboratory: is it true, does it stay the same, and does it catch what it must."""

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

from hopmill import interface as i
from hopmill.lab import compare as cmp
from hopmill.lab import farm, loadtool, partners, play, replay, search
from hopmill.lab.calls import Calls
from hopmill.lab.chance import UniformBuffer, lognormal, stream
from hopmill.lab.clock import Clock
from hopmill.lab.courier import ModuleFailedError
from hopmill.lab.dialect import Dialect
from hopmill.lab.rules import RuleBrokenError
from hopmill.lab.scenario import Kind, ScenarioError, Trouble, load
from hopmill.lab.world import Simulation


def small(name="calm", couriers=6, **changes):
    return load(name, couriers, seconds=6.0, **changes)


# Against the known


def endpoint(clock, kind, workers, queue, rate=0.0):
    target = partners.Target("t", kind, partners.Limit(kind, rate), 1e9, 1.0, 2.0, 500_000)
    return partners.Endpoint(1, 1, 0, target, workers, queue, 10**6, clock, UniformBuffer(stream(1, "e")))


def offer(clock, place, arrivals_us, works_us):
    """Each call's outcome with when it arrived and was answered."""
    rows = []

    def arrive(work):
        at = clock.now
        place.receive(
            partners.Call(
                0, (0,), (work,), lambda said, wait, report: rows.append((said, at, clock.now)), lambda: None
            )
        )

    for at, work in zip(arrivals_us.astype(int).tolist(), works_us.tolist(), strict=True):
        clock.at(at, arrive, work)
    clock.run(int(arrivals_us[-1]) + 10**9)
    return rows


@pytest.mark.parametrize(
    ("workers", "load_", "queue"), [(1, 0.7, 10**6), (4, 0.8, 10**6), (3, 0.9, 1), (2, 1.5, 4)]
)
def test_a_queue_waits_and_loses_as_erlang_says(workers, load_, queue):
    n, mean = 60_000, 50_000.0
    arrivals = np.cumsum(stream(7, "a").exponential(mean / workers / load_, n))
    rows = offer(
        clock := Clock(),
        endpoint(clock, Kind(name="k", errors=0.0), workers, queue),
        arrivals,
        stream(7, "w").exponential(mean, n),
    )
    a, size = load_ * workers, workers + min(queue, 3000)
    odds = [1.0]
    for k in range(1, size + 1):
        odds.append(odds[-1] * a / min(k, workers))
    odds = np.array(odds) / sum(odds)
    lost = sum(said == partners.FULL for said, *_ in rows) / n
    assert abs(lost - (odds[-1] if queue < 100 else 0)) < 0.01
    waiting = sum(p * max(0, k - workers) for k, p in enumerate(odds)) / (1 - odds[-1]) / a * mean
    served = [end - at for said, at, end in rows if said == partners.OK]
    assert np.mean(served) == pytest.approx(mean + waiting, rel=0.06)


@pytest.mark.parametrize(("limit", "span_ms"), [("rate", 500), ("window", 500), ("window", 2000)])
def test_a_limit_lets_its_rate_through_in_the_long_run(limit, span_ms):
    kind = Kind(name="k", limit=limit, span_ms=span_ms, errors=0.0)
    for offered, let in ((8, 8), (12, 10), (60, 10)):
        arrivals = np.cumsum(stream(3, "a").exponential(1e6 / offered, 100 * offered))
        rows = offer(
            clock := Clock(),
            endpoint(clock, kind, 10**6, 1, rate=10.0),
            arrivals,
            np.full(len(arrivals), 1000.0),
        )
        assert sum(s == partners.OK for s, *_ in rows) / 100 == pytest.approx(min(let, 10), rel=0.12)


def test_refused_calls_that_use_the_limit_up_leave_nothing_where_too_many_come():
    for counts, least, most in ((False, 9, 11), (True, 0, 1)):
        kind = Kind(name="k", limit="rate", span_ms=1000, refused_count=counts, errors=0.0)
        arrivals = np.cumsum(np.full(3000, 1e6 / 30))
        rows = offer(
            clock := Clock(), endpoint(clock, kind, 10**6, 1, rate=10.0), arrivals, np.full(3000, 1000.0)
        )
        assert least <= sum(s == partners.OK for s, *_ in rows) / 100 <= most


def test_littles_law_holds_in_a_play():
    told = play.play(small(couriers=8), 3)
    assert told["held_mean"] == pytest.approx(told["held_by_stays"], rel=1e-9) and told["held_mean"] > 1


# The same on every run


def test_two_at_one_instant_happen_as_they_were_set():
    clock, said = Clock(), []
    clock.at(5, said.append, "a")
    clock.at(5, lambda: (said.append("b"), clock.after(0, said.append, "d")))
    clock.at(5, said.append, "c")
    clock.at(2, clock.at, 1, lambda: said.append(clock.now))
    clock.run(10)
    assert said == [2, "a", "b", "c", "d"] and clock.now == 10


def test_the_same_seed_gives_the_same_line_in_any_process():
    jobs = [(farm.Job(farm.Build(), "zone", 5, {"seconds": 5.0}), seed) for seed in (4, 2, 9)]
    first, second = (list(farm.run(jobs, cores=c)) for c in (3, 1))
    assert [json.dumps(r) for r in first] == [json.dumps(r) for r in second]
    assert [r["seed"] for r in first] == [4, 2, 9]


def test_one_parts_draws_shift_no_others():
    def arrivals(**changes):
        return [
            (o.created_us, o.class_index, o.destination, o.work_us)
            for o in Simulation(small(**changes), 5).clients.requests
        ]

    first = arrivals()
    assert len(first) > 100
    assert arrivals(**{"net.jitter": 0.0, "clients.honour": 0.1, "reports.noise": 0.3}) == first
    assert arrivals(**{"load.partner_zipf": 0.1}) != first


def test_equal_builds_differ_by_nothing_and_intervals_hold_what_they_say():
    same = farm.Build(constants={"policy.pacing.GROW": "0.1"})
    found, a, b = cmp.compare(farm.Build(), same, "calm", 4, [1, 2])
    assert a == b and all(d.mean == d.low == d.high == 0 and d.sign == 0 for d in found)
    rng = np.random.default_rng(5)
    outside = [
        0 if low <= 0.3 <= high else 1
        for low, high in (cmp.interval(rng.normal(0.3, 1, 10)) for _ in range(400))
    ]
    assert 0.02 <= np.mean(outside) <= 0.08  # 0.05 is meant; plain percentiles of 10 pairs give 0.1


def test_a_comparison_sees_a_change_and_ends_once_it_knows_enough():
    other = farm.Build(constants={"policy.pacing.BURST_PRICED_S": "0.0001", "policy.pacing.FLOOR": "0.01"})
    found, a, _ = cmp.compare(farm.Build(), other, "calm", 4, list(range(1, 33)), goal=1.0)
    assert len(a) == cmp.MIN_SEEDS and found[0].seeds == cmp.MIN_SEEDS
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
    # Command lines and recorded comparisons name constants by the paths that they had before a renaming.
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


def test_a_full_table_turns_away_on_new_connections_alone():
    clock = Clock()
    place = endpoint(clock, Kind(name="k", errors=0.0), 50, 50)
    place.max_connections, said = 2, []
    met = [place.connect() for _ in range(3)]
    for result in met:
        call = partners.Call(0, (0,), (1000.0,), lambda *told: said.append(told[0]), lambda: None)
        call.over_limit = result == partners.FULL
        place.receive(call)
    clock.run(10**6)
    assert met == [partners.OK, partners.OK, partners.FULL] and sorted(said) == ["full", "ok", "ok"]
    place.disconnect()
    place.disconnect()
    assert place.connect() == partners.OK


# Rules and hard cases


class Altered:
    """The module with its actions changed on their way out."""

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


def play_altered(alter, scenario, seed=1):
    dialect = Dialect()
    dialect.courier = Altered(alter)
    simulation = Simulation(scenario, seed, dialect)
    simulation.play()
    return simulation


def silent(inner, now, events, actions):
    return [a for a in actions if not isinstance(a, (i.Send, i.Refuse, i.Fail))]


def come_again(inner, now, events, actions):
    return [i.Refuse(a.message) if isinstance(a, i.Fail) else a for a in actions]


def deaf_to_waits(inner, now, events, actions):
    for dest in inner.state.destinations.values():
        for lane in dest.lanes:
            lane.wait_until_us = lane.refused_share = 0
            lane.pace_per_s = lane.tokens = 1e9
    return actions


def deaf_to_the_list(inner, now, events, actions):
    for ep in inner.state.endpoints.values():
        ep.state = i.EndpointState.READY
    return actions


def greedy(inner, now, events, actions):
    inner.gate.settings = inner.settings = replace(inner.settings, slots=10**6)
    inner.pacing.max_calls_per_destination = 10**6
    for dest in inner.state.destinations.values():
        for lane in dest.lanes:
            lane.window = 10**6
            lane.pace_per_s = 0.0
    return actions


@pytest.mark.parametrize(
    ("alter", "rule", "scenario", "changes"),
    [
        (silent, "lost", "calm", {}),
        (come_again, "duplicates", "split", {"net.lost": 0.2}),
        (deaf_to_waits, "waits", "overload", {"load.factor": 4.0}),
        (deaf_to_the_list, "drains", "roll", {"discovery.notice_ms": 10.0, "drain_grace_ms": 100.0}),
        (greedy, "slots", "calm", {"load.clumps": 0.9}),
    ],
)
def test_a_module_that_breaks_a_rule_ends_the_play_with_what_led_to_it(alter, rule, scenario, changes):
    day = small(scenario, 4, **changes)
    play_altered(lambda inner, now, events, actions: actions, day)  # as it is it breaks none
    with pytest.raises(RuleBrokenError) as caught:
        play_altered(alter, day)
    assert caught.value.rule == rule
    assert caught.value.trace and len(caught.value.trace) <= 25


def test_what_returns_is_pushed_over_by_those_who_knew():
    clock, kind = Clock(), Kind(name="k", errors=0.0, cold_ms=5000.0, cold_from=0.2)
    place = endpoint(clock, kind, 50, 50)
    place.target.capacity_per_s, other = 20.0, endpoint(clock, kind, 50, 50)
    other.target.capacity_per_s = 20.0
    for target in (place.target, other.target):  # both return; one gets too much
        target.start_outage("down", 1.0, 1000)
        target.affected_couriers.add(1)
        target.end_outage(clock.now, "down")
    call = partners.Call(1, (0,), (100.0,), lambda *told: None, lambda: None)
    hits = [place.target.collapses_under(clock.now + n, call) for n in range(30)]
    assert hits.index(True) >= 4 and place.target.has_collapsed and place.target.informed_share == 1.0
    assert not other.target.has_collapsed and not other.target.collapses_under(10, call)


def test_a_courier_killed_in_the_tick_in_which_a_call_ends_sends_no_unsafe_one_again(monkeypatch):
    scenario = small("calm", 3)
    simulation = Simulation(scenario, 2)
    courier, killed, told = simulation.couriers[0], [], []
    finish = Calls._finish

    def kill_first(calls, outgoing, outcome, wait, report):
        mine = calls.courier is courier and outcome == partners.OK
        if mine and len(killed) < 20 and simulation.clock.now > 500_000:
            killed.append(outgoing.items[0][0])
            generation = courier.generation
            simulation.faults._kill_courier(courier, simulation.clock.now + 50_000)
            told.append((generation, courier.generation))
            return
        finish(calls, outgoing, outcome, wait, report)

    monkeypatch.setattr(Calls, "_finish", kill_first)
    simulation.play()  # a second effect, or a message without an end, would end it
    assert len(killed) == 20 and all(after > before for before, after in told)
    unsafe = [message for message in killed if scenario.classes[message.class_index].effect == "unsafe"]
    assert unsafe and all(message.executions == 1 for message in unsafe)


@pytest.mark.parametrize(
    ("changes", "said"),
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
def test_a_scenario_that_cannot_be_is_named(changes, said):
    with pytest.raises(ScenarioError, match=said):
        load("calm", 4, **changes)


def test_no_courier_left_alive_is_named_and_so_is_an_unknown_scenario():
    day = small()
    day.troubles = [Trouble(kind="kill", part=1.0, len_ms=60_000.0)]
    with pytest.raises(ScenarioError, match="no courier is left alive"):
        Simulation(day, 1)
    with pytest.raises(ScenarioError, match="there are calm, clump, herd, join, overload, roll"):
        load("clam")


def test_a_module_that_throws_names_seed_courier_and_event(monkeypatch):
    def throws(inner, now, events, actions):
        if now > 900_000 and any(isinstance(e, i.MessageArrived) for e in events):
            raise ZeroDivisionError("in a decision")
        return actions

    with pytest.raises(ModuleFailedError, match=r"courier \d+ at [01]\.\d+ s, on \d+ events, the last \w+\("):
        play_altered(throws, small())
    dialect = Dialect()
    dialect.courier = Altered(throws)
    monkeypatch.setattr(play, "Dialect", lambda: dialect)
    told = play.play(small(), 7)
    assert told["broken"] == "module failed" and told["g"] == 0
    assert told["text"].startswith("seed 7: courier ")


def test_a_revision_that_does_not_know_an_event_is_played_without_it(monkeypatch):
    dialect = Dialect()
    monkeypatch.delattr(dialect.interface, "Connections")
    assert dialect.make("Connections", endpoint=1, idle_since=()) is None
    made = dialect.make("TimerDue", token=1, colour="red")
    assert made == i.TimerDue(1) and dialect.unknown == {"Connections", "TimerDue.colour"}


def test_a_checkout_plays_its_own_module(tmp_path):
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


def test_an_ended_run_keeps_the_seeds_that_are_done():
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
    )
    lines = [process.stdout.readline() for _ in range(2)]
    os.killpg(process.pid, signal.SIGINT)
    rest, said = process.communicate(timeout=20)
    seeds = [json.loads(line)["seed"] for line in [*lines, *rest.splitlines()]]
    assert process.returncode == 130 and seeds == list(range(1, len(seeds) + 1)) and "ended early" in said


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
    said = []
    smallest = search.shrink(farm.Build(), "overload", 4, rows[0], said.append)
    assert smallest["couriers"] <= 4 and set(smallest["changes"]) <= set(rows[0]["changes"]) | {"seconds"}


def test_a_report_is_one_page_without_links():
    from hopmill.lab.report import page

    rows = [play.play(small("zone", 4), seed, with_details=True) for seed in (1, 2)]
    text = page("zone <small>", rows, [cmp.difference("g", rows, rows)])
    assert text.count("data:image/png;base64,") == 6 and "http" not in text and "zone &lt;small&gt;" in text
    told = play.play(small("overload", 4, **{"load.factor": 4.0}), 1, with_details=True)
    assert sum(told["refused_by_partners"].values()) == told["refused_calls"] > 0
    third = told["parts"][3]
    assert set(third) <= set(told["lanes"]) and max(p["parts"] for p in third.values()) > 0
    assert sum(rows[0]["lost_by_cause"].values()) == pytest.approx(1 - rows[0]["served"], abs=1e-4)


def test_who_has_left_is_not_taken_on_and_comes_again():
    told, stays = (play.play(small("join", 4, **{"clients.gives_up": share}), 1) for share in (0.5, 0.0))
    assert told["messages"] == stays["messages"] and "broken" not in told
    assert told["fates"]["delivered"] < stays["fates"]["delivered"] and told["calls"] != stays["calls"]


# The load on sockets


@pytest.mark.parametrize("address", ["10.0.0.1", "192.168.1.1", "8.8.8.8", "localhost", "::1"])
def test_a_load_goes_to_loopback_only(address):
    with pytest.raises(farm.LabError, match="127.0.0.0/8"):
        loadtool.check_limits((address, 1), loadtool.Plan())
    with pytest.raises(farm.LabError, match="at most"):
        loadtool.check_limits(("127.0.0.1", 1), loadtool.Plan(seconds=1e9))


def test_arrivals_are_open_loop_and_a_stall_is_charged_to_all_that_waited():
    rows = loadtool.arrivals(loadtool.Plan(rate_per_s=200, seconds=20, clumps=0.5))
    assert len(rows) / 20 == pytest.approx(200, rel=0.15) and rows == sorted(rows)
    assert len(set(rows)) < 0.8 * len(rows)

    async def stalls(reader, writer):
        while True:
            size = int((await reader.readline())[1:])
            for _ in range(2 * size):
                await reader.readline()
            time.sleep(0.5 if not stalled else 0)  # the whole server stands still once
            stalled.append(1)
            writer.write(b"+OK\r\n")

    async def run():
        server = await asyncio.start_server(stalls, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        told = await loadtool.run(("127.0.0.1", port), loadtool.Plan(100, 2.0, clients=2))
        server.close()
        return told.as_json()

    import asyncio

    stalled = []
    told = asyncio.run(run())
    assert told["from_due_ms"]["p90"] > 3 * told["from_write_ms"]["p90"] and told["offered"] > 150


def test_draws_have_the_mean_and_spread_that_they_are_asked_for():
    got = lognormal(stream(1, "x"), 40.0, 0.8, 200_000)
    assert got.mean() == pytest.approx(40, rel=0.02)
    assert got.std() / got.mean() == pytest.approx(0.8, rel=0.05)
    assert math.isclose(stream(1, "a").random(), stream(1, "a").random())
    assert stream(1, "a").random() != stream(1, "b").random()
