"""The courier as a process of its own: killed, terminated, started again."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import ROOT, Client, Discovery, Fleet, answer, bounded, courier

from hopmill.net.journal import Journal
from hopmill.net.journal_records import (
    NAME_RESERVE_BYTES,
    RECORD_HEADER,
    JournaledMessage,
    encode_record,
)
from hopmill.net.timescale import boot_id


@courier
async def test_accepted_messages_survive_sigkill(fleet):
    # Calls in flight when the process dies may have run, so only what may be repeated is sent again.
    e = await fleet.endpoint("a", "hang", "hang", "hang", dest=1)
    f = await fleet.endpoint("b", "hang", dest=2)
    g = await fleet.endpoint("c", "hang", dest=3)
    client = await fleet.outside()
    await client.put("safe", dest=1)
    await client.put("unsafe", kind="unsafe", dest=2)
    await client.put("keyed", kind="keyed", key="k", dest=3)
    await client.put("held", dest=5)  # no endpoint yet
    for endpoint in (e, f, g):
        await endpoint.call()
    await fleet.kill()
    e.script.clear()
    h = await fleet.endpoint("d", dest=5)
    client = await fleet.outside()
    assert await fleet.discovery.final() == {"id": "unsafe", "status": "undeliverable"}
    assert (await e.call())[1]["x-request-id"] == "safe"
    assert (await g.call())[1]["idempotency-key"] == "k"
    assert (await h.call())[1]["x-request-id"] == "held"
    assert f.calls.empty()
    assert await client.put("safe", dest=1) == "+OK"  # its id is known, so it is not run again
    await client.put("next", dest=1)
    assert (await e.call())[1]["x-request-id"] == "next"


@courier
async def test_a_key_that_holds_in_one_zone_is_repeated_there_alone_after_sigkill(fleet):
    # The zone of the first attempt was kept only in memory, and the next process used any zone.
    fleet.raw["classes"][1] |= {"keyScope": "zone"}
    there = await fleet.endpoint("there", "hang", dest=3)
    fleet.discovery.target("there", there.port, 3, zone="there")
    client = await fleet.outside()
    await client.put("m", kind="keyed", key="k", dest=3)
    await there.call()
    await fleet.kill()
    here = await fleet.endpoint("here", dest=3)
    await fleet.outside()
    assert (await there.call())[1]["x-request-id"] == "m" and here.calls.empty()


@courier
async def test_what_has_ended_does_not_come_again(fleet):
    e = await fleet.endpoint("a", answer(200), answer(429))
    client = await fleet.outside()
    await client.put("m1", kind="unsafe")
    await e.call()
    await client.put("m2", kind="unsafe")
    assert (await fleet.discovery.final())["id"] == "m2"
    assert await client.put("m1", kind="unsafe") == "+OK"  # it is done by now, and the 204 has been read
    await client.put("m3")
    for _ in range(2):
        await e.call()
    await asyncio.sleep(0.2)
    await fleet.kill()
    client = await fleet.outside()
    await client.put("m4")
    assert (await e.call())[1]["x-request-id"] == "m4"
    assert e.calls.empty() and fleet.discovery.finals.empty()


@courier
async def test_a_notice_without_its_204_is_sent_again(fleet):
    await fleet.endpoint("a", answer(500))
    fleet.discovery.notice_status = [500] * 1000
    client = await fleet.outside()
    await client.put("u", kind="unsafe")
    await fleet.discovery.final(500)
    await fleet.kill()
    fleet.discovery.notice_status = []
    await fleet.outside()
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}


@courier
async def test_an_expired_message_gets_its_notice_after_a_restart(fleet):
    client = await fleet.outside()
    await client.put("m", life=300, dest=99)
    await fleet.kill()
    await asyncio.sleep(0.4)
    await fleet.outside()
    ready = time.monotonic()
    assert (await fleet.discovery.final())["id"] == "m"
    assert time.monotonic() - ready < 1.5


@courier
async def test_a_torn_journal_is_cut_off_and_used(fleet):
    client = await fleet.outside()
    await client.put("m1", dest=5)
    await client.put("m2", dest=5)
    await fleet.kill()
    path = fleet.folder / "state" / "messages.journal"
    os.truncate(path, path.stat().st_size - 3)
    e = await fleet.endpoint("a", dest=5)
    client = await fleet.outside()
    assert (await e.call())[1]["x-request-id"] == "m1"
    await client.put("m3", dest=5)
    assert (await e.call())[1]["x-request-id"] == "m3"


@courier
async def test_sigterm_under_traffic(fleet):
    # New connections are accepted for a while, calls in flight may finish, accepted messages are not lost.
    e = await fleet.endpoint("a")
    client = await fleet.outside()
    start = time.monotonic()
    fleet.process.send_signal(signal.SIGTERM)
    sent = 0
    while time.monotonic() - start < 0.3:
        late = await Client().open(fleet.port)
        assert await late.put(f"m{sent}") == "+OK"
        late.writer.close()
        sent += 1
        await asyncio.sleep(0.02)
    assert await bounded(client.reader.read()) == b""  # closed between requests
    await bounded(fleet.process.wait())
    assert time.monotonic() - start < 3.7 and fleet.process.returncode == 0
    ids = {(await e.call())[1]["x-request-id"] for _ in range(e.calls.qsize())}
    if len(ids) < sent:  # the rest is in the journal
        await fleet.outside()
        while len(ids) < sent:
            ids.add((await e.call())[1]["x-request-id"])
    assert ids == {f"m{n}" for n in range(sent)}


@courier
async def test_sigterm_with_a_hung_call_ends_in_time(fleet):
    e = await fleet.endpoint("a", "hang")
    client = await fleet.outside()
    await client.put("u", kind="unsafe")
    await e.call()
    start = time.monotonic()
    fleet.process.send_signal(signal.SIGTERM)
    await bounded(fleet.process.wait())
    assert time.monotonic() - start < 3.7 and fleet.process.returncode == 0


def test_compaction_keeps_what_is_open_and_stays_under_the_limit(tmp_path):
    limit = 60_000
    journal = Journal(tmp_path, limit)
    keep = JournaledMessage(1, "keep", 0, 0, 7, "k", time.time() + 9, False, b"body")
    journal.record_message(keep)
    journal.record_attempt([1], 123.0)
    for n in range(2, 1500):
        journal.record_message(JournaledMessage(n, f"m{n}", 0, 0, 7, "", time.time() + 9, False, b"x" * 300))
        journal.record_attempt([n], 1.0)
        journal.record_not_run(n)
        journal.record_done(n)
        journal.ended_ids.clear()
        journal.live_bytes = sum(m.reserved_bytes for m in journal.messages.values())
        assert sum(-(-f.stat().st_size // 512) * 512 for f in tmp_path.iterdir()) <= limit
    journal.close()
    again = Journal(tmp_path, limit)
    assert (again.messages[1].id, again.messages[1].attempts, again.messages[1].may_have_run_at) == (
        "keep",
        1,
        123.0,
    )
    assert list(again.messages) == [1] and again.last_number == 1499
    again.close()


def test_a_record_with_a_wrong_checksum_ends_the_journal(tmp_path):
    known = encode_record(["known", 5, {}, {}])
    good = encode_record(["clock", boot_id(), 0.0]) + known
    path = tmp_path / "messages.journal"
    path.write_bytes(good + known[:-1] + b"\xff" + good)
    journal = Journal(tmp_path, 100_000)
    assert journal.last_number == 5 and path.stat().st_size == len(good)
    journal.close()


# The journal's time scale: the wall clock was set between two processes.


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_wall_clock_that_steps_between_two_processes_moves_no_times(tmp_path, monkeypatch, step_s):
    async def run():
        async with Fleet(tmp_path) as fleet:
            client = await fleet.outside()
            began = time.monotonic()
            assert await client.put("waits", life=20_000) == "+OK"  # there is no endpoint yet
            assert await client.put("nowhere", life=3_000, dest=8) == "+OK"
            await fleet.kill()
            wall = time.time
            monkeypatch.setattr("hopmill.net.timescale.time.time", lambda: wall() + step_s)
            e = await fleet.endpoint("a")
            await fleet.inside()
            assert (await e.call())[1]["x-request-id"] == "waits"
            ended = await fleet.discovery.final()
            assert ended["id"] == "nowhere" and time.monotonic() - began < 3.5

    asyncio.run(run())


def another_boot(monkeypatch, name, wall):
    monkeypatch.setattr("hopmill.net.timescale.boot_id", lambda: name)
    monkeypatch.setattr("hopmill.net.journal.boot_id", lambda: name)
    monkeypatch.setattr("hopmill.net.timescale.time.time", lambda: wall)


@pytest.mark.parametrize("wall", [9_000.0, 1_000_000.0])
def test_after_another_boot_the_wall_clock_is_believed_unless_it_went_back(tmp_path, monkeypatch, wall):
    another_boot(monkeypatch, "one", 10_000.0)
    journal = Journal(tmp_path, 100_000, 8.0)
    for number, key in ((1, ""), (2, "k")):
        journal.record_message(JournaledMessage(number, f"m{number}", 0, 0, 7, key, 10_020.0, False, b"x"))
    journal.record_attempt([2], journal.scale.now(), "here")
    journal.close()
    another_boot(monkeypatch, "two", wall)
    scales = set()
    for _ in range(2):  # the second process finds a journal of its own boot
        journal = Journal(tmp_path, 100_000, 8.0)
        scales.add(journal.scale)
        now, went_back = journal.scale.now(), wall < 10_000
        assert journal.scale.boot_id == "two" and abs(now - (10_000 if went_back else wall)) < 5
        assert journal.messages[1].expires_at > now if went_back else journal.messages[1].expires_at < now
        # It is unknown how long the machine was down: nothing is sent again inside a window.
        assert (
            now - journal.messages[2].may_have_run_at > 8 and now - journal.first_run_by_key["k"] >= 8 - 1e-3
        )
        assert journal.messages[2].may_have_run_at > 0 and journal.messages[1].may_have_run_at == 0
        journal.close()
    assert len(scales) == 1


def test_a_journal_of_an_earlier_format_takes_the_wall_clock_and_keeps_its_windows(tmp_path):
    held = JournaledMessage(1, "m1", 0, 0, 7, "k", time.time() + 20, False, b"x")
    tried = ["try", [1], time.time() - 2, "z"]
    (tmp_path / "messages.journal").write_bytes(encode_record(held.to_record()) + encode_record(tried))
    journal = Journal(tmp_path, 100_000, 8.0)
    assert abs(journal.scale.now() - time.time()) < 1 and journal.scale.is_of_this_boot()
    assert 1 < journal.scale.now() - journal.messages[1].may_have_run_at < 4
    scale = journal.scale
    for _ in range(3000):  # compaction keeps the record of the scale
        journal.record_message(JournaledMessage(2, "m2", 0, 0, 7, "", time.time() + 9, False, b"x"))
        journal.record_done(2)
    journal.close()
    again = Journal(tmp_path, 100_000, 8.0)
    assert again.scale == scale
    again.close()


@courier
async def test_running_out_of_files_does_not_end_the_process(fleet):
    # More clients than descriptors: the least recently used are closed, the process and its calls go on.
    e = await fleet.endpoint("a")
    fleet.limits["sockets"] = 40
    await fleet.outside(files=40)
    crowd = []
    for _ in range(80):
        with contextlib.suppress(OSError):
            crowd.append(await Client().open(fleet.port))
    for client in crowd:
        client.writer.close()
    late = await Client().open(fleet.port)
    assert await late.put("m") == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m"
    assert fleet.process.returncode is None


@courier
async def test_a_burst_of_connections_leaves_descriptors_for_the_rest(fleet):
    fleet.limits["sockets"] = 120
    await fleet.outside(files=120)
    fleet.process.send_signal(signal.SIGSTOP)  # so that all connections wait to be accepted at once
    crowd = []
    for _ in range(300):
        crowd.append(socket.create_connection(("127.0.0.1", fleet.port)))
    fleet.process.send_signal(signal.SIGCONT)
    late = await Client().open(fleet.port)
    assert await late.send(late.command(b"PING")) == "+PONG"
    await fleet.kill()
    said = (await bounded(fleet.process.stderr.read())).decode()
    assert "out of system resource" not in said
    for peer in crowd:
        peer.close()


@courier
async def test_sighup_moves_discovery(fleet):
    # The environment still names the old address; the file names the new one.
    a = await fleet.endpoint("a", answer(500))
    client = await fleet.outside()
    await bounded(fleet.discovery.watches.get())
    old, fleet.discovery = fleet.discovery, Discovery()
    await fleet.discovery.start()
    fleet.discovery.targets = old.targets
    await old.stop()
    b = await fleet.endpoint("b", dest=8)
    fleet.discovery.rev = 9
    path = fleet.folder / "config.json"
    config = json.loads(path.read_text())
    path.write_text("{")
    fleet.process.send_signal(signal.SIGHUP)  # an unreadable file changes nothing
    while "config.not_used" not in (line := (await bounded(fleet.process.stderr.readline())).decode()):
        assert line, "the courier ended"
    path.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{fleet.discovery.port}"}))
    fleet.process.send_signal(signal.SIGHUP)
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=1")
    assert await client.put("m1", dest=8) == "+OK"
    assert (await b.call())[1]["x-request-id"] == "m1"
    assert await client.put("m2", kind="unsafe") == "+OK"
    await a.call()
    assert await fleet.discovery.final() == {"id": "m2", "status": "undeliverable"}
    assert fleet.process.returncode is None


def test_a_wrong_configuration_ends_with_one_line_and_status_2(tmp_path):
    env = {**os.environ, "LB_CONFIG": str(tmp_path / "none"), "LB_STATE": str(tmp_path)}
    command = [sys.executable, "-m", "hopmill"]
    done = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert done.returncode == 2 and done.stderr.startswith("hopmill: LB_CONFIG: ")
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "bad",
    [
        encode_record(["take", 1]),
        encode_record(5),
        encode_record([]),
        encode_record({"a": 1}),
        encode_record(["try", 7, 1.0]),
        encode_record(["known", 1]),
        encode_record(["known", "x", {}, {}]),
        RECORD_HEADER.pack(1, zlib.crc32(b"\xc1")) + b"\xc1",
        b"\0" * 4096,
        b"\xff" * 4096,
    ],
)
def test_a_bad_record_does_not_keep_the_courier_from_starting(tmp_path, bad):
    good = JournaledMessage(3, "m3", 0, 0, 7, "", time.time() + 9, False, b"x")
    (tmp_path / "messages.journal").write_bytes(encode_record(good.to_record()) + bad)
    journal = Journal(tmp_path, 100_000)
    assert list(journal.messages) == [3]
    journal.close()


def test_ids_are_forgotten_as_they_age_and_not_only_at_a_rewrite(tmp_path, monkeypatch):
    now = [1000.0]
    monkeypatch.setattr("hopmill.net.timescale.elapsed_s", lambda: now[0])
    journal = Journal(tmp_path, 100_000_000)
    monkeypatch.setattr(journal, "compact", lambda: None)
    most = 0
    for number in range(1, 2000):
        now[0] += 0.1
        journal.record_message(JournaledMessage(number, f"m{number}", 0, 0, 7, "", now[0] + 6, False, b"x"))
        journal.record_done(number)
        most = max(most, len(journal.ended_ids))
    assert most <= 30 / 0.1 + 1 and "m1999" in journal.ended_ids
    assert journal.live_bytes == sum(len(ident) + NAME_RESERVE_BYTES for ident in journal.ended_ids)
    journal.close()


def test_expired_ids_do_not_keep_new_messages_out(tmp_path):
    # Ids were dropped only when the journal was compacted, and filled a small limit before that.
    journal = Journal(tmp_path, 60_000)
    for n in range(2000):
        journal.record_message(JournaledMessage(n, f"m{n}", 0, 0, 7, "", time.time() + 9, False, b"x"))
        journal.record_done(n)
        journal.ended_ids = {ident: 0.0 for ident in journal.ended_ids}  # long ago
    journal.close()


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take", "again", "try", "final", "failed final", "told", "done"]),
            st.integers(1, 5),
        ),
        max_size=40,
    )
)
def test_open_count_matches_the_open_messages(steps):
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Path(folder), 10**6)
        for what, n in steps:
            m = journal.messages.get(n)
            if what in ("take", "again") and (m is None or what == "again"):
                journal.record_message(
                    JournaledMessage(n, f"m{n}", 0, 0, 7, "", time.time() + 9, False, b"x")
                )
            elif what == "try":
                journal.record_attempt([n], time.time())
            elif what == "final" and m and not m.status:
                journal.record_end(n, "deferred", 5)
            elif (
                what == "failed final" and m and not m.status
            ):  # the disk was full: the notice is owed all the same
                journal.mark_ended(m, "undeliverable", 0)
            elif what == "told":
                journal.record_notices_accepted([n])
            elif what == "done":
                journal.record_done(n)
            assert journal.open_count == sum(not m.status for m in journal.messages.values())
        journal.close()
