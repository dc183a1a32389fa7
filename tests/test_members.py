"""Members of a fleet, as objects and in virtual time: membership, datagrams, the register and its leases."""

import random
import re

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hopmill.fleet import document as doc
from hopmill.explorer import known_schedules
from hopmill.explorer import simulation as explore
from hopmill.fleet import wire
from hopmill.fleet.document import RegisterDocument, Lease
from hopmill.fleet.lease_holder import LeaseHolder
from hopmill.explorer.mutants import PLANTED, planted
from hopmill.fleet.node import Node, Stored, Write
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import replace_voter, set_entry
from hopmill.fleet.settings import Members, Other, problems, warnings
from hopmill.fleet.swim import ALIVE, DEAD, LEFT, MAX_RELAYS
from hopmill.fleet.voter import MAX_OTHER_GENERATIONS
from hopmill.lab.members import Fleet, Plan, measure_false_alarms, measure_detection

MEMBERS = dict(
    fleet="f",
    id="a",
    address="127.0.0.1:7001",
    voters=("a", "b", "c"),
    others=(
        Other(id="b", address="127.0.0.1:7002", zone="z"),
        Other(id="c", address="127.0.0.1:7003", zone="z"),
    ),
)


def members(**changes):
    return Members(**{**MEMBERS, **changes})


# Configuration


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, ""),
        ({"voters": ("a", "b")}, "voters: must be one, three or five"),
        ({"voters": ("a", "a", "b")}, "voters: must be"),
        ({"voters": ("a", "b", "x")}, r"voters\[2\]: no such member"),
        ({"address": "localhost:1"}, "address: must be an IPv4"),
        ({"id": "b", "voters": ("b",)}, r"others\[0\].id: 'b' is there twice"),
        ({"others": (Other(id="b", address="h"),), "voters": ("a",)}, r"others\[0\].address: must be"),
        ({"probe_ms": 100.0}, "probe_ms: must be over period_ms"),
    ],
)
def test_what_is_wrong_with_members_is_named(changes, expected):
    found = list(problems(members(**changes)))
    assert (len(found) == 1 and re.search(expected, found[0])) if expected else not found


def test_a_zone_with_a_majority_of_voters_is_warned_of():
    assert "zone 'z' holds a majority" in list(warnings(members()))[0]
    assert not list(warnings(members(voters=("a",)))) and not list(
        warnings(
            members(
                zone="y", others=(Other(id="b", address="127.0.0.1:7002", zone="x"), MEMBERS["others"][1])
            )
        )
    )


# Datagrams


def frame(fleet="f", sender="b", incarnation=1, body=None, form=wire.FORMAT, updates=()):
    row = wire.Frame(
        form,
        fleet,
        sender,
        incarnation,
        0,
        msgspec.Raw(wire.encode(body or wire.Ping(1, "a"))),
        tuple(msgspec.Raw(wire.encode(n)) for n in updates),
    )
    return wire.encode(row)


def started(**changes):
    node = Node(members(**changes), Stored(), False, 1)
    for action in node.take(0):
        node.written(action, True, 0)
    node.take(0)
    return node


def sends(node, now=0):
    """(address, message) of each datagram."""
    return [(a.address, wire.read(a.data, "f")[1]) for a in node.take(now) if not isinstance(a, Write)]


UNREADABLE_REPLY = wire.RecoveryReply(1, True, 0, (1, "b"), (1, "b"), b"\xc1 no document")


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "unreadable"),
        (b"\xc1" * 40, "unreadable"),
        (b"x" * 1201, "long"),
        (frame()[:-3], "unreadable"),
        (frame(form=2), "format"),
        (frame(fleet="g"), "fleet"),
        (frame(incarnation=1 << 49), "incarnation"),
        (frame(sender="nobody"), "unknown"),
        (frame(body=wire.ChosenDocument(b"\xc1")), "unreadable"),
        (frame(body=wire.Promise((1, "b"), 1, (1, "b"), b"\xc1")), "unreadable"),
    ],
)
def test_what_cannot_be_read_is_counted_and_dropped(data, reason):
    node = started()
    node.datagram(data, 10)
    assert dict(node.counts.dropped + node.swim.dropped) == ({reason: 1} if reason else {})
    assert [to for to, body in sends(node) if isinstance(body, wire.Ack)] == []


@given(
    st.binary(max_size=200)
    | st.builds(
        lambda body, cut: frame(body=body)[:cut],
        st.sampled_from(
            [
                UNREADABLE_REPLY,
                wire.Accept((1, "b"), b"x", (("b", 1),)),
                wire.IndirectPing(1, "c"),
                wire.DocumentRequest(0),
            ]
        ),
        st.integers(0, 300),
    )
)
@settings(max_examples=200, deadline=None)
def test_no_datagram_breaks_a_member(data):
    node = started()
    node.datagram(data, 10)
    node.tick(20)
    assert all(len(a.data) <= wire.MAX_DATAGRAM_BYTES for a in node.take(20) if not isinstance(a, Write))


def test_the_largest_document_and_most_generations_fit_a_datagram():
    names = [f"{n}" * 20 for n in range(9)]
    text = "x" * 500
    while True:
        document = RegisterDocument(1 << 40, tuple(names[:5]), tuple(names[1:6]), {"w": text})
        try:
            data = doc.encode(document)
        except doc.DocumentTooLargeError:
            break
        text += "x"
    data = data if len(data) <= doc.MAX_DOCUMENT_BYTES else data[: doc.MAX_DOCUMENT_BYTES]
    ballot = (1 << 40, names[0] + "#" + "9" * 15)
    generations = {name: 1 << 40 for name in names[:MAX_OTHER_GENERATIONS]}
    for body in (
        wire.RecoveryReply(1 << 40, True, 1 << 40, ballot, ballot, data, generations),
        wire.Accept(ballot, data, tuple((n, 1 << 40) for n in names[:6])),
    ):
        assert (
            len(wire.write("f" * 20, names[0], 1 << 47, 1 << 40, body, [b"x" * 300]))
            <= wire.MAX_DATAGRAM_BYTES
        )


# Membership


def test_a_dead_member_is_known_soon_and_a_slow_one_is_not_taken_for_dead():
    figures = measure_detection(Plan(20, 0.1, 3), 4)
    assert figures["p99_ms"] < 3000 and figures["p50_ms"] > 1500
    figures = measure_false_alarms(Plan(20, 0.1, 3), 30, pause_us=2_000_000)
    assert figures["false_deaths"] == 0 and figures["suspected"] > 0


def test_the_cost_of_a_member_does_not_grow_with_the_fleet():
    small, large = (measure_false_alarms(Plan(n, 0.0, 1), 2, after_us=9_000_000) for n in (8, 50))
    assert large["datagrams_s"] < 1.2 * small["datagrams_s"] and large["bytes_s"] < 1.4 * small["bytes_s"]


@pytest.mark.parametrize(
    ("incarnation", "state", "known"), [(5, ALIVE, (DEAD, 7)), (7, ALIVE, (DEAD, 7)), (8, ALIVE, (ALIVE, 8))]
)
def test_of_two_incarnations_the_later_prevails(incarnation, state, known):
    node = started()
    update = wire.MemberUpdate("b", DEAD, 7, "127.0.0.1:7002", "z", "", "c")
    node.datagram(frame(sender="c", updates=[update]), 10)
    node.datagram(frame(sender="b", incarnation=incarnation), 20)
    peer = node.swim.peers["b"]
    assert (peer.state, peer.incarnation) == known
    assert (node.swim.dropped["old incarnation"] == 1) is (incarnation < 7)


@given(
    st.lists(
        st.tuples(st.sampled_from(["b", "c", "new"]), st.integers(1, 4), st.integers(ALIVE, LEFT)),
        max_size=12,
    ),
    st.randoms(),
)
@settings(max_examples=100, deadline=None)
def test_updates_duplicated_late_or_out_of_order_converge(rows, rng):
    seen = []
    for order in (rows, rng.sample(rows + rows, 2 * len(rows))):
        node = started()
        for name in ("b", "c", "new"):
            node.datagram(
                frame(sender="c", updates=[wire.MemberUpdate(name, ALIVE, 1, "127.0.0.1:9", "", "")]), 1
            )
        for name, incarnation, state in order:
            node.swim._on_update(
                wire.MemberUpdate(name, state, incarnation, "127.0.0.1:9", "", "", "c"), 10, "c"
            )
        seen.append({p.id: (p.incarnation, p.state) for p in node.swim.peers.values()})
        assert node.swim.live_count == 1 + sum(state <= 1 for _, state in seen[-1].values())
    assert seen[0] == seen[1]


def test_a_name_may_come_back_at_another_address_but_not_a_configured_one():
    node = started()
    for incarnation, address in ((3, "127.0.0.1:8001"), (4, "127.0.0.1:8002"), (2, "127.0.0.1:8003")):
        updates = [wire.MemberUpdate(name, ALIVE, incarnation, address, "z", "") for name in ("new", "b")]
        node.datagram(frame(sender="c", updates=updates), 10)
    assert node.swim.address("new") == "127.0.0.1:8002" and node.swim.address("b") == "127.0.0.1:7002"


def test_thousand_names_that_come_and_go_leave_nothing_behind():
    node, sizes = started(), []
    for n in range(1000):
        now = n * 1_000_000
        for state in (ALIVE, DEAD):
            node.datagram(
                frame(sender="c", updates=[wire.MemberUpdate(f"x{n}", state, 1, "127.0.0.1:9", "", "")]), now
            )
        for at in range(now, now + 1_000_000, 80_000):
            node.tick(at)
            node.take(at)
        sizes.append(
            sum(
                map(
                    len,
                    (
                        node.swim.peers,
                        node.swim.gossip_counts,
                        node.swim.encoded_updates,
                        node.swim.relays,
                        node.swim.probes,
                        node.swim.suspects,
                        node.register.newer_versions,
                    ),
                )
            )
        )
    assert max(sizes[500:]) <= max(sizes[200:400]) + 5 and max(sizes) < 400
    for n in range(2 * MAX_RELAYS):
        node.datagram(frame(sender="c", body=wire.IndirectPing(n, "b")), now)
    assert len(node.swim.relays) <= MAX_RELAYS


def test_a_member_whose_datagrams_are_lost_is_dead_until_they_arrive_again():
    fleet = Fleet(Plan(6, 0.0, 2))
    fleet.run(2_000_000)
    fleet.is_reachable = lambda a, b: a != 3
    fleet.run(8_000_000)
    assert [n.swim.peers["c3"].state for m, n in enumerate(fleet.nodes) if m != 3] == [DEAD] * 5
    fleet.is_reachable = lambda a, b: True
    fleet.run(14_000_000)
    assert all(p.state == ALIVE for n in fleet.nodes for p in n.swim.peers.values())


def test_a_member_that_no_configuration_names_joins_and_leaves():
    fleet = Fleet(Plan(5, 0.0, 2))
    new = fleet.configs[4]
    for n in range(4):
        others = tuple(o for o in fleet.configs[n].others if o.id != new.id)
        fleet.configs[n] = msgspec.structs.replace(fleet.configs[n], others=others, voters=("c0",))
    fleet.run(4_000_000)
    assert all(n.swim.is_alive("c4") for n in fleet.nodes) and all(
        p.state == ALIVE for p in fleet.nodes[4].swim.peers.values()
    )
    fleet.nodes[4].swim.leave()
    fleet._pump(4)
    fleet.kill(4)
    fleet.run(5_000_000)  # sooner than failed probes would show it
    assert [n.swim.peers["c4"].state for n in fleet.nodes[:4]] == [LEFT] * 4


def test_a_stalled_member_suspects_nobody_when_it_resumes():
    node, now = started(), 0
    for name in "bc":
        node.datagram(frame(sender=name), now)
    while not node.swim.probes:
        now = node.tick(now)
        node.take(now)
    now += 5_000_000  # stalled with an open probe; nothing that arrived meanwhile is read yet
    node.tick(now)
    assert not node.swim.suspects
    while not node.swim.suspects:  # it probes again later, and gets no answer
        now = node.tick(now)
        node.take(now)
    node.tick(now + 5_000_000)  # stalled again: suspicions are extended by as much
    assert all(p.state != DEAD or not p.incarnation for p in node.swim.peers.values())


def test_nothing_is_sent_before_the_incarnation_is_on_disk_and_none_is_used_twice():
    node = Node(members(), Stored(), False, 1)
    first = node.take(0)
    assert [type(a) for a in first] == [Write]
    node.written(first[0], False, 0)  # the write fails: it is repeated a second later
    node.tick(1_000_000)
    assert not node.started and [type(a) for a in node.take(1_000_000)] == [Write]
    node.written(first[0], True, 0)
    assert node.started
    stored = msgspec.msgpack.decode(first[0].state, type=Stored)
    assert Node(members(), stored, True, 1).swim.me.incarnation > node.swim.me.incarnation + 500
    copied = [Node(members(), stored, False, seed).register.name for seed in range(20)]
    assert len(set(copied)) == 20  # a copy does not know what was used since it was made
    emptied = [Node(members(), Stored(), False, seed).register.name for seed in range(20)]
    assert len(set(emptied)) == 20  # an emptied folder starts at an unused incarnation


# The register


def propose(fleet, rows, n, change):
    node = fleet.nodes[n]
    node.propose(change, fleet.now, rows.append)
    fleet._pump(n)


def test_proposers_that_preempt_each_other_finish():
    fleet, rows = Fleet(Plan(5, 0.1, 4)), []
    fleet.run(3_000_000)
    for turn in range(20):
        for n in range(5):
            propose(fleet, rows, n, set_entry(f"w{n}", str(turn)))
    fleet.run(30_000_000)
    assert [r.state for r in rows] == ["done"] * 100 and sorted(r.made_version for r in rows) == list(
        range(1, 101)
    )


@pytest.mark.parametrize("folders", ["kept", "one emptied"])
def test_all_are_killed_and_start_in_any_order(folders):
    fleet, rows = Fleet(Plan(3, 0.0, 5)), []
    fleet.run(2_000_000)
    propose(fleet, rows, 0, set_entry("w", "kept"))
    fleet.run(3_000_000)
    for n in range(3):
        fleet.kill(n)
    if folders != "kept":
        fleet.disks[2] = b""
    for n in (2, 0, 1):
        fleet.run(fleet.now + 1_000_000)
        fleet.start(n)
    fleet.run(fleet.now + 5_000_000)
    # Two with memory are a majority; the third is readmitted by them alone, for which both have to vote.
    propose(fleet, rows, 2, lambda proposal_id, document: None)
    fleet.run(fleet.now + 5_000_000)
    assert rows[1].document.entries == {"w": "kept"}
    assert [n.register.voter.is_voting for n in fleet.nodes] == [True] * 3


def test_a_split_without_a_majority_changes_nothing_and_heals():
    fleet, rows = Fleet(Plan(9, 0.0, 6)), []
    fleet.run(3_000_000)
    groups = [0, 1, 2, 0, 1, 2, 0, 1, 2]  # of the five voters, two, two and one are in a group
    fleet.is_reachable = lambda a, b: groups[a] == groups[b]
    for n in range(9):
        propose(fleet, rows, n, set_entry("w", str(n)))
    fleet.run(16_000_000)
    assert len(rows) == 9 and {r.state for r in rows} <= {"refused", "unknown"}
    fleet.is_reachable = lambda a, b: True
    propose(fleet, rows, 4, set_entry("w", "healed"))
    fleet.run(24_000_000)
    assert rows[-1].state == "done" and {n.register.document.version for n in fleet.nodes} == {
        rows[-1].document.version
    }
    assert all(p.state == ALIVE for n in fleet.nodes for p in n.swim.peers.values())


def test_a_member_that_does_not_answer_is_not_made_a_voter():
    fleet, rows = Fleet(Plan(5)), []
    fleet.run(2_000_000)
    propose(fleet, rows, 0, replace_voter("c1", "c9"))
    fleet.run(13_000_000)
    assert [(r.state, r.why) for r in rows] == [("refused", "no vote from c9")]
    propose(fleet, rows, 0, set_entry("x", "on it goes"))
    fleet.run(14_000_000)
    assert rows[-1].state == "done" and fleet.nodes[0].register.document.previous_voters == ()


def test_a_voter_is_replaced_while_the_fleet_works():
    fleet, rows = Fleet(Plan(4, 0.0, 7)), []
    fleet.run(2_000_000)
    assert [n.register.voter.is_voting for n in fleet.nodes] == [True, True, True, False]
    fleet.kill(1)
    propose(fleet, rows, 0, replace_voter("c1", "c3"))
    propose(fleet, rows, 0, set_entry("w", "meanwhile"))
    fleet.run(8_000_000)
    document = fleet.nodes[0].register.document
    assert [r.state for r in rows] == ["done", "done"] and document.previous_voters == ()
    assert set(document.voters) == {"c0", "c2", "c3"} and fleet.nodes[3].register.voter.is_voting
    fleet.kill(2)  # the two others are a majority
    propose(fleet, rows, 0, set_entry("w", "after"))
    fleet.run(12_000_000)
    assert rows[-1].state == "done"


def test_after_a_failed_write_nothing_is_answered_but_the_member_continues():
    node = started(voters=("a",))
    node.tick(0)
    rows = []
    node.propose(set_entry("w", "x"), 0, rows.append)
    for at in range(0, 3_000_000, 50_000):
        node.tick(at)
        for action in node.take(at):
            if isinstance(action, Write):
                node.written(action, at > 1_500_000, at)
        assert not rows or at > 1_500_000
    assert [r.state for r in rows] == ["done"]


# Leases


@pytest.mark.parametrize(
    ("pause_us", "holds"), [(100_000, True), (980_000, True), (995_000, False), (9_000_000, False)]
)
def test_a_lease_is_checked_by_elapsed_time_where_it_is_used(pause_us, holds):
    holder = LeaseHolder("duty", "a#1", 1_000_000, 0.01)
    proposal_id, change = holder.tick(0, RegisterDocument(0, ("a",)))
    taken = change(RegisterDocument(0, ("a",)))
    holder.on_outcome(Outcome(proposal_id, "done", taken), 50_000)
    assert bool(holder.fencing_token(pause_us)) is holds  # counted from before it asked, less the drift


@pytest.mark.parametrize(("waited_us", "takes"), [(990_000, False), (1_000_000, False), (1_010_002, True)])
def test_a_lease_is_taken_over_only_after_its_whole_time_and_drift(waited_us, takes):
    holder = LeaseHolder("duty", "b#1", 1_000_000, 0.01)
    held = RegisterDocument(3, ("a",), leases={"duty": Lease("a#1", 4, 2, 1_000_000)})
    assert holder.tick(500, held) is None
    proposal = holder.tick(500 + waited_us, held)
    assert (proposal is not None) is takes
    if proposal:
        assert proposal[1](held).leases["duty"] == Lease("b#1", 5, 0, 1_000_000)
        renewed = RegisterDocument(4, ("a",), leases={"duty": Lease("a#1", 4, 3, 1_000_000)})
        assert proposal[1](renewed) is None  # the wait was for another renewal


# The explorer

# Each planted fault with the number of members and the seed of a schedule that finds it, or with the known
# schedule that does.
FAILING_SEEDS = {
    "promises-anything": (3, 57),
    "accepts-anything": (3, 6),
    "trusts-a-copy": (3, 2295),
    "votes-at-once": (3, 404),
    "one-vote-is-enough": (3, 277),
    "any-value-will-do": (3, 60),
    "forgets-its-ticket": (3, 936),
    "same-fence": (3, 68),
    "takes-blindly": (3, 68),
    "acts-after-giving": (4, 1370),
    "keeps-for-ever": (3, 268),
    "let-in-by-anyone": (3, 2295),
}
KNOWN_SCHEDULES = {
    "counts-from-the-answer": "late-answer",
    "waits-no-longer": "two-clocks",
    "old-promises-stand": "forgotten-promise",
    "answers-before-the-disk": "lost-vote",
    "only-the-new-voters": "former-voter",
}


def test_every_planted_fault_has_its_schedule():
    assert {*FAILING_SEEDS, *KNOWN_SCHEDULES} == set(PLANTED) and set(KNOWN_SCHEDULES.values()) == set(
        known_schedules.KNOWN_SCHEDULES
    )


@pytest.mark.parametrize(("name", "schedule"), KNOWN_SCHEDULES.items())
def test_each_known_schedule_needs_its_guard(name, schedule):
    assert known_schedules.find_violation(schedule, planted(name))
    assert not known_schedules.find_violation(schedule)


@pytest.mark.parametrize(("name", "at"), FAILING_SEEDS.items())
def test_each_planted_fault_is_found(name, at):
    count, seed = at
    assert explore.run(explore.random_choices(seed), count, seed, planted(name))
    assert not explore.run(explore.random_choices(seed), count, seed)


def test_a_found_schedule_is_shrunk_and_still_fails():
    _, found = explore.explore(500, 0, 3, planted("accepts-anything"))
    short = explore.shrink(found[0], 3, planted("accepts-anything"))
    assert len(short.choices) < len(found[0].choices) / 3
    assert explore.run(short.choices, 3, short.seed, planted("accepts-anything")) == short.violation


@pytest.mark.parametrize("count", [3, 4, 5])
def test_random_schedules_keep_the_promises(count):
    first = random.Random(count).randrange(10**6)
    assert explore.explore(400, first, count)[1] == []


def test_every_schedule_up_to_a_depth_keeps_the_promises():
    schedules, states, violation = explore.explore_exhaustively(3)
    assert states > 500 and schedules > states and not violation
