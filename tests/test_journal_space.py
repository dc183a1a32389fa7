"""The journal within its disk limit: it can always be compacted, and has room again once messages end."""

import os
import random
import zlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hopmill.net import timescale
from hopmill.net.journal import JOURNAL_FILE, Journal, JournalFullError, round_up_to_blocks
from hopmill.net.journal_compaction import FIXED_RECORDS_BYTES, compacted_data
from hopmill.net.journal_records import RECORD_HEADER, JournaledMessage

LIMIT_BYTES = 3_000_000
LARGEST_BODY_BYTES = 65_536
LIFE_S = 28.0
KEY_WINDOW_S = 5.0


class Clock:
    """An elapsed clock that tests move."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        for module in ("timescale", "journal"):
            monkeypatch.setattr(f"hopmill.net.{module}.elapsed_s", lambda: self.now)


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def message(journal, number, body_bytes, key="", life_s=LIFE_S):
    expires_at = journal.scale.now() + life_s
    return JournaledMessage(number, f"{number:016x}", 0, 0, 7, key, expires_at, False, bytes(body_bytes))


def accepts(journal, number, body_bytes=LARGEST_BODY_BYTES):
    try:
        journal.record_message(message(journal, number, body_bytes))
    except JournalFullError:
        return False
    return True


def folder_bytes(folder):
    return sum(round_up_to_blocks(file.stat().st_size) for file in folder.iterdir())


def fill_with_bodies(journal, rng, count):
    """Messages of a partner that answers and of one that is silent; return the open ones."""
    held = []
    for number in range(1, count):
        if not accepts(journal, number, rng.randint(100, LARGEST_BODY_BYTES)):
            continue
        journal.record_repeatable_attempt([number], journal.scale.now(), "hall-a")
        if rng.random() < 0.28:
            held.append(number)
        else:
            journal.record_done(number)
    return held


@pytest.mark.parametrize("seed", range(8))
def test_a_journal_that_large_bodies_have_filled_has_room_again_once_they_end(tmp_path, clock, seed):
    # After an outage of a partner the file was at its limit, and could not be compacted for ever.
    journal = Journal(tmp_path, LIMIT_BYTES)
    held = fill_with_bodies(journal, random.Random(seed), 2000)
    assert len(held) > 10 and not journal.owed_data
    for number in held:
        journal.record_end(number, "deferred", 0)
        journal.record_notices_accepted([number])
    assert accepts(journal, 5000)
    journal.close()
    again = Journal(tmp_path, LIMIT_BYTES)
    assert accepts(again, 5001) and list(again.messages) == [5000, 5001]
    again.close()


def test_a_journal_full_of_keyed_messages_has_room_for_their_keys_and_ends(tmp_path, clock):
    # Keys are remembered from the first attempt on, when nothing can be refused any more.
    journal = Journal(tmp_path, LIMIT_BYTES, KEY_WINDOW_S)
    number = 1
    while True:
        try:
            journal.record_message(message(journal, number, 40, f"{number:0128x}"))
        except JournalFullError:
            break
        number += 1
    for taken in range(1, number):
        journal.record_attempt([taken], journal.scale.now(), "hall-a")
    for first in range(1, number, 200):
        numbers = list(range(first, min(first + 200, number)))
        for taken in numbers:
            journal.record_end(taken, "undeliverable", 0)
        journal.record_notices_accepted(numbers)
    assert number > 1000 and not journal.owed_data and not journal.messages
    assert folder_bytes(tmp_path) <= LIMIT_BYTES
    clock.now += KEY_WINDOW_S + 61
    assert accepts(journal, number)
    journal.close()


def test_operators_can_exclude_an_endpoint_while_messages_fill_the_journal(tmp_path, clock):
    # An endpoint is excluded just when its outage has filled the journal.
    journal = Journal(tmp_path, LIMIT_BYTES)
    number = 1
    while accepts(journal, number, 300):
        number += 1
    journal.record_endpoint_excluded("s-5be2a07c", True)
    journal.record_zone_excluded("hall-a", True)
    journal.record_drained(True)
    with pytest.raises(JournalFullError):  # bounded all the same
        for endpoint in range(1000):
            journal.record_endpoint_excluded(f"s-{endpoint:08x}", True)
    for taken in range(1, number):
        journal.record_done(taken)
    assert not journal.owed_data and folder_bytes(tmp_path) <= LIMIT_BYTES
    journal.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "take", "take", "try", "miss", "final", "over", "hand", "wait", "start"]),
        st.integers(1, 12),
        st.sampled_from([0, 40, 3000, 20_000, LARGEST_BODY_BYTES]),
    ),
    max_size=120,
)


@settings(deadline=None, max_examples=60, derandomize=True)
@given(STEPS, st.sampled_from([60_000, 300_000, 700_000]))
def test_a_copy_fits_beside_the_journal_after_every_record(tmp_path_factory, steps, limit_bytes):
    folder = tmp_path_factory.mktemp("state")
    journal, number = Journal(folder, limit_bytes, KEY_WINDOW_S), 0
    for kind, choice, body_bytes in steps:
        numbers = list(journal.messages)
        picked = numbers[choice % len(numbers)] if numbers else 0
        try:
            if kind == "take":
                number += 1
                key = f"{choice:0256d}" if choice % 3 else ""
                journal.record_message(message(journal, number, body_bytes, key))
            elif kind == "try" and picked:
                journal.record_attempt([picked], journal.scale.now(), "hall-a")
            elif kind == "hand":
                journal.record_endpoint_excluded(f"s-{choice:0200d}", body_bytes > 40)
        except JournalFullError:
            assert kind in ("take", "hand")
        if kind == "miss" and picked:
            journal.record_not_run(picked)
        elif kind == "final" and picked:
            journal.record_end(picked, "undeliverable", 0)
        elif kind == "over" and picked:
            journal.record_notices_accepted([picked])
        elif kind == "wait":
            journal.scale = timescale.TimeScale(journal.scale.boot_id, journal.scale.offset_s + 40)
        elif kind == "start":
            journal.close()
            journal = Journal(folder, limit_bytes, KEY_WINDOW_S)
        copy_bytes = len(compacted_data(journal))
        assert journal.live_bytes == journal.count_live_bytes()
        assert copy_bytes <= journal.live_bytes + FIXED_RECORDS_BYTES
        assert folder_bytes(folder) + round_up_to_blocks(copy_bytes) <= limit_bytes
        assert not journal.owed_data
    journal.close()


# Folders that an earlier build, or a higher limit, has filled up


def encode(record):
    payload = msgpack.packb(record)
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def write_old_file(folder, messages, size, is_over=True):
    """Write a file of about `size` bytes whose last messages were accepted and tried, and have ended."""
    now = timescale.elapsed_s()
    records = [["clock", timescale.boot_id(), 0.0], ["drain", True]]
    for one in messages:
        records += [one.to_record(), ["try", [one.number], now, "hall-a"]]
        records += [["over", [one.number], now]] * is_over
    data = [encode(record) for record in records]
    filler_bytes = size - sum(map(len, data)) - 40
    data.insert(2, encode(["over", [], bytes(filler_bytes)]))
    (folder / JOURNAL_FILE).write_bytes(b"".join(data))


def ended(life_s):
    now = timescale.elapsed_s()
    return [
        JournaledMessage(n, f"{n:016x}", 0, 0, 7, "", now + life_s, False, bytes(60_000))
        for n in range(1, 49)
    ]


@pytest.mark.parametrize("limit_bytes", [LIMIT_BYTES, 1_000_000])
def test_a_folder_that_was_left_full_is_used_again_after_its_messages_times(tmp_path, clock, limit_bytes):
    # An earlier build filled the file up to its limit, and no compacted copy fits beside it.
    write_old_file(tmp_path, ended(LIFE_S), LIMIT_BYTES - 200)
    journal = Journal(tmp_path, limit_bytes)
    assert not journal.messages and journal.drained
    clock.now += 31
    assert accepts(journal, 100)
    assert folder_bytes(tmp_path) <= limit_bytes and journal.drained
    journal.close()
    again = Journal(tmp_path, limit_bytes)
    assert list(again.messages) == [100] and again.drained
    again.close()


def test_no_part_of_a_full_file_is_cut_off_that_a_kill_would_bring_to_bear_again(tmp_path, clock):
    # Cut off at the limit, the file would lack the last `over`: its message would be called once more.
    write_old_file(tmp_path, ended(LIFE_S), LIMIT_BYTES - 200)
    size = (tmp_path / JOURNAL_FILE).stat().st_size
    journal = Journal(tmp_path, 1_000_000)
    assert not accepts(journal, 100) and (tmp_path / JOURNAL_FILE).stat().st_size == size
    clock.now += 5
    assert not accepts(journal, 101) and (tmp_path / JOURNAL_FILE).stat().st_size == size
    journal.close()


def test_messages_of_a_folder_that_was_left_full_are_kept_until_they_end(tmp_path, clock):
    # Their ends can't be written at first; they are owed, and the file is used again after that.
    write_old_file(tmp_path, ended(LIFE_S)[:2], LIMIT_BYTES - 200, is_over=False)
    journal = Journal(tmp_path, LIMIT_BYTES)
    assert list(journal.messages) == [1, 2] and not accepts(journal, 100)
    journal.record_end(1, "deferred", 0)
    journal.record_done(2)
    clock.now += 1
    journal.write_owed()
    journal.close()
    again = Journal(tmp_path, LIMIT_BYTES)
    assert 1 in again.messages
    again.record_end(1, "deferred", 0)
    again.record_notices_accepted([1, 2])
    clock.now += LIFE_S + 3
    again.write_owed()
    assert not again.owed_data and accepts(again, 100)
    again.close()


def test_a_kill_right_after_the_cut_leaves_nothing_to_call(tmp_path, clock, monkeypatch):
    # The process ends between the two steps: the file is shorter, and the copy is not there.
    write_old_file(tmp_path, ended(LIFE_S), LIMIT_BYTES - 200)
    journal = Journal(tmp_path, 1_000_000)
    clock.now += 31

    def fail(*_):
        raise OSError("killed")

    monkeypatch.setattr(os, "rename", fail)
    assert not accepts(journal, 100)
    monkeypatch.undo()
    journal.close()
    size = (tmp_path / JOURNAL_FILE).stat().st_size
    assert size < 1_000_000
    fresh = Clock(monkeypatch)
    fresh.now = clock.now
    again = Journal(tmp_path, 1_000_000)
    assert all(m.expires_at < again.scale.now() for m in again.messages.values())
    assert again.drained and accepts(again, 100)
    again.close()
