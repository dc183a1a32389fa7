"""Members in processes: storage, operator API, an upgrade, and the trial with faults between them."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import quote

import msgspec
import pytest
from loopback import DOOR, ROOT, Fleet, answer, bounded, courier, free_port, until
from test_operator import call
from test_upgrade import healthy, hold_socket

from hopmill.fleet.node import Stored
from hopmill.fleet.voter import Memory
from hopmill.net import member_transport
from hopmill.standin.ledger import Submission, Ledger
from hopmill.trial import rules, scenario
from hopmill.trial.history import History

ALONE = {"fleet": "f", "id": "n0", "voters": ["n0"], "leases": ["duty"], "lease_ms": 900.0}


def with_members(fleet, **changes):
    """A single member, which is a majority on its own."""
    told = ALONE | {"address": f"{DOOR}:{free_port()}"} | changes
    env = Fleet.env

    def wrapped():
        got = env(fleet)
        path = Path(got["LB_CONFIG"])
        path.write_text(json.dumps(json.loads(path.read_text()) | {"members": told}))
        return got

    fleet.env = wrapped


async def status(fleet):
    return (await call(fleet.door, "GET", "/fleet"))[1]


async def changed(fleet, path):
    """The outcome of a change that is made by the operator API."""
    code, told = await call(fleet.door, "POST", path)
    assert code == 202
    while told["state"] == "under way":
        await asyncio.sleep(0.01)
        told = (await call(fleet.door, "GET", f"/fleet/changes/{quote(told['ticket'], safe='')}"))[1]
    return told


# Off


@courier
async def test_off_means_nothing_is_there(fleet):
    await fleet.endpoint("a")
    await fleet.outside()

    def count(what):
        return len(os.listdir(f"/proc/{fleet.process.pid}/{what}"))

    without, threads = count("fd"), count("task")
    assert (await call(fleet.door, "GET", "/fleet"))[0] == 404
    assert not list((fleet.folder / "state").glob("fleet*"))
    await fleet.kill()
    with_members(fleet)
    await fleet.outside()
    await bounded(_holds(fleet))
    # The socket, once the connections to the operator API are closed; and the thread that writes to disk.
    await until(lambda: count("fd") == without + 1)
    assert count("task") == threads + 1


async def _holds(fleet, fence=1):
    while not any(row["mine"] and row["fence"] >= fence for row in (await status(fleet)).get("leases", ())):
        await asyncio.sleep(0.02)


def test_off_reads_none_of_it():
    code = (
        "import sys, hopmill.serve; "
        "print([m for m in sys.modules if m.startswith(('hopmill.fleet.', 'hopmill.net.member_transport'))])"
    )
    said = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout
    assert said.strip() == "['hopmill.fleet.settings']"


@courier
async def test_the_module_decides_the_same_with_members(fleet):
    """The same events to the host, with and without: the same actions."""
    await fleet.endpoint("a", answer(500), answer(500))
    seen = []
    for on in (False, True):
        if on:
            with_members(fleet)
            fleet.host.close()
            shutil.rmtree(fleet.folder / "state")
            (fleet.folder / "state").mkdir()
            fleet.endpoints["a"].script[:] = [answer(500), answer(500)]
        client = await fleet.inside()
        actions, handle = [], fleet.host.courier.handle

        def record(now, events, handle=handle, actions=actions):
            done = handle(now, events)
            actions.extend((type(a).__name__, getattr(a, "endpoint", None)) for a in done)
            return done

        fleet.host.courier.handle = record
        assert await client.put("m") == "+OK"
        while (await bounded(fleet.endpoints["a"].calls.get()))[1]["x-request-id"] != "m" or len(
            [a for a in actions if a[0] == "Send"]
        ) < 3:
            pass
        await until(lambda: not fleet.host.journal.messages)
        seen.append([a for a in actions if a[0] != "SetTimer"])
        client.close()
    assert seen[0] == seen[1] and len(seen[0]) >= 3


# Storage


def stored(count):
    return msgspec.msgpack.encode(Stored(count, Memory(life=count)))


def written(folder, *counts):
    storage = member_transport.Storage(folder)
    storage.ensure_anchor(storage.load()[1])
    for count in counts:
        storage.write(stored(count))
    return storage


@pytest.mark.parametrize(
    "how", ["left", "copied back", "moved files", "emptied", "torn", "both torn", "anchor new"]
)
def test_a_folder_that_is_not_the_one_it_was_is_known(tmp_path, how):
    folder, other = tmp_path / "state", tmp_path / "other"
    folder.mkdir()
    written(folder, 1, 2, 3)
    slots = bytearray((folder / member_transport.STATE).read_bytes())
    if how == "copied back":
        shutil.copytree(folder, other)
        shutil.rmtree(folder)
        shutil.copytree(other, folder)
    elif how == "moved files":
        subprocess.run(["tar", "-C", folder, "-cf", tmp_path / "t", "."], check=True)
        for file in folder.iterdir():
            file.unlink()
        subprocess.run(["tar", "-C", folder, "-xpf", tmp_path / "t"], check=True)
    elif how == "emptied":
        shutil.rmtree(folder)
        folder.mkdir()
    elif how in ("torn", "both torn"):
        slots[member_transport.SLOT_BYTES + 12] ^= 1  # the third write's slot
        slots[12] ^= how == "both torn"
        (folder / member_transport.STATE).write_bytes(slots)
    elif how == "anchor new":
        (folder / member_transport.ANCHOR).unlink()
        (folder / member_transport.ANCHOR).write_text("x")
    got, same = member_transport.Storage(folder).load()
    expected = {
        "left": (3, True),
        "torn": (2, True),
        "copied back": (3, False),
        "moved files": (3, False),
        "anchor new": (3, False),
    }.get(how, (0, False))
    assert (got.ceiling, same) == expected


@pytest.mark.parametrize("before", [1, 2, 3])
def test_another_process_writes_later_than_all_before(tmp_path, before):
    written(tmp_path, *range(1, before + 1))
    member_transport.Storage(tmp_path).write(
        stored(9)
    )  # as after an upgrade, which hands over the state and not the file
    got, same = member_transport.Storage(tmp_path).load()
    assert (got.ceiling, same) == (9, True)


def test_the_disk_of_members_stays_within_what_is_set_aside(tmp_path):
    written(tmp_path, *range(1, 40))
    sizes = [-(-f.stat().st_size // 512) * 512 for f in tmp_path.iterdir()]
    assert sum(sizes) <= 16_384
    with pytest.raises(OSError, match="exceeds its slot size"):
        member_transport.Storage(tmp_path).write(b"x" * member_transport.SLOT_BYTES)


@courier
async def test_a_full_disk_stops_the_vote_and_not_the_courier(fleet):
    e = await fleet.endpoint("a")
    with_members(fleet)
    client = await fleet.inside()
    await bounded(_holds(fleet))
    real = fleet.host.member_transport.storage.write

    def full(state):
        raise OSError(28, "No space left on device")

    fleet.host.member_transport.storage.write = full
    begun = asyncio.create_task(changed(fleet, "/fleet/words/w/x"))
    await until(lambda: fleet.host.member_transport.is_failing)
    assert (await status(fleet))["disk"] == "failing" and await client.put("m") == "+OK"
    await e.call()
    await asyncio.sleep(0.3)
    assert not begun.done()
    fleet.host.member_transport.storage.write = real
    assert (await bounded(begun))["state"] == "done" and (await status(fleet))["disk"] == "well"


# The operator API and an upgrade


@courier
async def test_operators_read_and_change_the_register(fleet):
    with_members(fleet)
    await fleet.outside()
    await bounded(_holds(fleet))
    told = await changed(fleet, "/fleet/words/note/hall-b%20is%20rewired")
    assert told["state"] == "done" and told["words"] == {"note": "hall-b is rewired"}
    assert (await changed(fleet, "/fleet/read"))["version"] >= told["version"]
    assert (await changed(fleet, "/fleet/words/note"))["words"] == {}
    assert (await call(fleet.door, "POST", "/fleet/voters/n0/nobody"))[0] == 409
    assert (await call(fleet.door, "POST", f"/fleet/words/w/{'x' * 201}"))[0] == 400
    door = f"{DOOR}:{fleet.door}"
    said = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "hopmill", "fleet", "status", door],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert said.returncode == 0 and "n0 of f" in said.stdout and "duty" in said.stdout
    said = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "hopmill", "fleet", "say", door, "a", "b"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert said.returncode == 0 and "done" in said.stdout


@courier
async def test_an_upgrade_keeps_lease_and_incarnation(fleet):
    hold_socket(fleet)
    with_members(fleet)
    await fleet.outside()
    await bounded(_holds(fleet))
    before = await status(fleet)
    await fleet.upgrade()
    assert await bounded(fleet.former.wait()) == 0
    await healthy(fleet.door)
    after = await status(fleet)
    assert (
        after["leases"] == before["leases"] and after["leases"][0]["mine"]
    )  # at once, and with the same fencing token
    assert after["members"][0]["incarnation"] == before["members"][0]["incarnation"]
    assert after["life"] == before["life"] and after["version"] >= before["version"]
    told = await changed(fleet, "/fleet/words/w/after")
    assert told["state"] == "done"
    await fleet.kill()  # what the second process wrote counts as newer than all writes of the first
    await fleet.outside()
    await bounded(_holds(fleet, fence=2))
    assert (await changed(fleet, "/fleet/read"))["words"] == {"w": "after"}
    assert (await status(fleet))["members"][0]["incarnation"] > after["members"][0]["incarnation"]


@courier
async def test_a_stalled_process_does_not_act_when_it_resumes(fleet):
    with_members(fleet, others=[{"id": "x", "address": "127.0.0.1:9"}])
    await fleet.outside()
    await bounded(_holds(fleet))
    fence = (await call(fleet.door, "GET", "/fleet/leases/duty"))[1]["fence"]
    fleet.process.send_signal(signal.SIGSTOP)
    asked = asyncio.create_task(call(fleet.door, "GET", "/fleet/leases/duty"))
    await asyncio.sleep(1.2)  # the lease is 0.9 s
    fleet.process.send_signal(signal.SIGCONT)
    told = (await bounded(asked))[1]
    assert fence and told["fence"] != fence  # not under the expired lease


# The trial


def change(at_us, began_us, version, text="", state="done", made=None, ticket=None, voters=("a",)):
    return {
        "at_us": at_us,
        "who": "c",
        "what": "change",
        "began_us": began_us,
        "state": state,
        "text": text,
        "version": version,
        "made": version if made is None else made,
        "words": {"x": text},
        "voters": list(voters),
        "ticket": ticket or f"{at_us}",
    }


def act(at_us, fence, owner):
    return {
        "at_us": at_us + 5,
        "who": owner,
        "what": "act",
        "looked_us": at_us,
        "fence": fence,
        "owner": owner,
    }


def view(member, generation, version, incarnation=1):
    return {
        "at_us": 1,
        "who": member,
        "what": "view",
        "life": generation,
        "version": version,
        "incarnation": incarnation,
    }


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        (
            [
                change(5, 1, 1, "a"),
                change(9, 6, 2, "b"),
                act(1, 1, "a"),
                act(2, 2, "b"),
                view("c", 1, 4),
                view("c", 1, 4),
                view("c", 2, 1, 2),
            ],
            "",
        ),
        ([change(5, 1, 1, "a"), change(9, 2, 1, "b", "left", 0)], "version 1 is"),
        ([change(5, 1, 2, "a"), change(9, 6, 1, "b")], "saw version 1 after"),
        ([change(5, 1, 2, "a", ticket="p"), change(9, 2, 2, "a", ticket="q")], "was made by p and by q"),
        ([{**change(5, 1, 2, "a"), "words": {"x": "b"}}], "but version 2 was reported without it"),
        ([act(1, 2, "a"), act(2, 1, "b")], "acts under token 1 after a did under 2"),
        ([act(1, 2, "a"), act(2, 2, "b")], "b acts under token 2 after a"),
        ([view("c", 1, 4), view("c", 1, 3)], "back to 3"),
        ([view("c", 1, 4), view("c", 2, 4)], "used incarnation 1 in two generations"),
    ],
)
def test_the_rules_find_what_is_planted(rows, expected):
    history = History()
    history.rows = rows
    found = rules.violations(history, Ledger())
    assert (found and expected in found[0]) if expected else not found


def test_a_lost_message_and_an_effect_twice_are_found():
    ledger = Ledger()
    for ident, entry in (
        ("a", Submission("news", False, 0, 1, 2, "taken")),
        ("b", Submission("payout", True, 0, 1, 2, "taken", 1.0, 2)),
        ("c", Submission("news", False, 0, 1, 2, "refused")),
    ):
        ledger.record_submission(ident, entry)
    assert [text.split()[1] for text in rules.violations(History(), ledger)] == ["a", "b"]


def test_the_same_seed_draws_the_same_faults_and_one_folder_at_a_time():
    storm = scenario.read("storm")
    drawn = [scenario.draw_faults(storm, seed, 8, 5) for seed in range(200)]
    assert drawn == [scenario.draw_faults(storm, seed, 8, 5) for seed in range(200)]
    assert {fault.kind for faults in drawn for fault in faults} == set(storm.faults)
    for faults in drawn:
        lost_at_s = [fault.at_s for fault in faults if fault.kind == "folder"]
        assert all(later - earlier >= 6.0 for earlier, later in zip(lost_at_s, lost_at_s[1:], strict=False))


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGKILL])
def test_a_trial_that_is_ended_leaves_no_process(tmp_path, signal_number):
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    trial = subprocess.Popen(
        [sys.executable, "-m", "hopmill", "trial", "stops", "--couriers", "3"],
        cwd=ROOT,
        env=env,
        start_new_session=True,
        stdout=subprocess.PIPE,
    )

    def running():
        found = subprocess.run(["pgrep", "-f", str(tmp_path)], capture_output=True, text=True).stdout.split()
        return [pid for pid in found if int(pid) != trial.pid]

    deadline = time.monotonic() + 30
    while len(running()) < 3 and time.monotonic() < deadline:
        time.sleep(0.1)
    assert len(running()) == 3
    trial.send_signal(signal_number)
    assert trial.wait(15) in (130, -signal_number)
    while running() and time.monotonic() < deadline + 5:
        time.sleep(0.1)
    assert not running()
