"""Frames built from the field tables of the wire's description, and malformed ones."""

import json
import os
import struct
import subprocess
import sys

import pytest

from hopmill import interface, wire

SETTINGS = {
    "classes": [
        {"name": "a", "goalTimeUs": 1000000, "deadlineUs": 6000000, "idempotency": "read_like", "worth": 2.0},
        {"name": "b", "goalTimeUs": 2000000, "deadlineUs": 9000000, "idempotency": "non_idempotent"},
    ],
    "contract": {
        "coldShare": 0.2,
        "coldUs": 9000000,
        "drainGraceUs": 500000,
        "fallMultiple": 2.5,
        "fallUs": 2000000,
    },
    "familyInfo": {"maxCalls": 6, "kindApart": [True], "kindBatch": [3]},
    "policyLimits": {
        "attemptsCap": 9,
        "connIdleUs": 1,
        "connectTimeoutUs": 2,
        "maxOpen": 50,
        "retryAfter": True,
        "maxRetryAfterUs": 7,
    },
    "shapes": ["k"],
    "weightSource": "nominal",
    "somethingNew": {"x": 1},
}
ADDRESS = 0x0A124A07


def record(form, *values):
    return struct.pack(">" + form, *values).ljust(40, b"\0")


def batch(records, tail=b"", sequence=1, now=5_000_000, count=None):
    body = b"".join(records) + tail
    return struct.pack(">IIQI", sequence, len(body), now, len(records) if count is None else count) + body


def begin_batch(sequence=1, now=5_000_000, instances=(3,), settings=None):
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    entry = struct.pack(">IHHBfQBH", ADDRESS, 9003, 57, 1, 4.0, 0, 0, 0)
    records = [record("BBII", 6, 2, 0, 1)]
    for n in instances:
        records += [
            record("BH", 1, n),
            record("BQII", 7, 77 + n, len(entry), len(text)),
            record("BBQB", 5, 2, 1, 2),
        ]
    return batch(records, entry + text, sequence, now)


def arrival(message, sequence, now, instance=3, message_class=0):
    return batch(
        [
            record("BH", 1, instance),
            record("BIBIQQIfH", 2, message, message_class, 0, 0, now + 6_000_000, 0, 57.0, 2),
        ],
        sequence=sequence,
        now=now,
    )


def run(data, **env):
    return subprocess.run(
        [sys.executable, "-m", "hopmill.simhost"],
        input=data,
        capture_output=True,
        env={**os.environ, **env},
        timeout=60,
    )


def events(data):
    _, _, _, count = wire.split_header(data[:20])
    return list(wire.read_events(data[20:], count, {}))


def test_settings_are_read_and_unknown_keys_ignored():
    settings = wire.read_settings(json.dumps(SETTINGS))
    assert (
        settings.slots == 6
        and settings.kinds == (interface.Kind("k", True, 3),)
        and settings.classes[1].effect is interface.Effect.UNSAFE
    )
    assert settings.max_retry_after_us == 7 and settings.rates_listed and not settings.second_copies


def test_begin_list_and_arrival():
    found = events(begin_batch())
    assert found[0][0] == 3 and found[0][1].seed == 80
    assert found[1][1] == interface.EndpointsListed(
        interface.ListForm.CACHED,
        (interface.ListEntry(wire.endpoint_id(ADDRESS, 9003), 57, interface.EndpointState.READY, 4.0, 0, 0),),
    )
    assert events(arrival(9, 2, 10))[0][1] == interface.MessageArrived(9, 0, 57, 6_000_010, 0, 0, True)


def test_a_list_number_used_again_means_the_newer_list():
    entry = struct.pack(">IHHBfQBH", ADDRESS, 1, 1, 1, 0, 0, 0, 0)
    other = struct.pack(">IHHBfQBH", ADDRESS, 2, 1, 0, 0, 0, 0, 0)
    found = events(
        batch(
            [
                record("BH", 1, 0),
                record("BBII", 6, 4, 0, 1),
                record("BBQB", 5, 4, 1, 0),
                record("BBII", 6, 4, 24, 1),
                record("BBQB", 5, 4, 2, 1),
            ],
            entry + other,
        )
    )
    assert [e.entries[0].endpoint & 0xFFFF for _, e in found] == [1, 2]
    assert found[1][1].entries[0].state is interface.EndpointState.GONE


def test_outcomes_probes_notes_and_the_rest():
    found = [
        e
        for _, e in events(
            batch(
                [
                    record("BH", 1, 3),
                    record("BIBIHHIBI", 8, 5, 1, ADDRESS, 9003, 429, 18, 0, 250),
                    record("BIHIH", 3, 1400, 200, ADDRESS, 9003),
                    record("BIII", 11, 2, 0, 4),
                    record("BI", 10, 5),
                    record("BQ", 4, 77),
                    record("BIIHBI", 12, 5, ADDRESS, 9003, 1, 9),
                    record("BBQB", 5, 0, 3, 3),
                ],
                b"hi 7",
            )
        )
    ]
    endpoint = wire.endpoint_id(ADDRESS, 9003)
    assert found == [
        interface.AttemptEnded(5, 1, endpoint, interface.Result.FULL, 18, False, 250_000),
        interface.ProbeEnded(endpoint, interface.Result.OK, 1400),
        interface.PeerNote(2, b"hi 7"),
        interface.MessageGone(5),
        interface.TimerDue(77),
        interface.AttemptAnswering(5, 1, endpoint),
        interface.EndpointsListed(interface.ListForm.FAILED),
    ]


def test_actions_are_packed_as_the_page_shows():
    reply = wire.Reply()
    reply.instance(3)
    reply.action(interface.Send(0x5D3A91C4, wire.endpoint_id(ADDRESS, 9003), 80_000))
    reply.action(interface.SetTimer(500_000, 77))
    reply.instance(5)
    reply.action(interface.Log("two servers known"))
    assert reply.pack(12).hex() == (
        "0000000c"
        "00000005"
        "00000061"
        "0d0003" + "00" * 13 + "015d3a91c40a124a07232b0001388000"
        "050007a120000000000000004d000000"
        "0d0005" + "00" * 13 + "09000000000000001100000000000000" + b"two servers known".hex()
    )


@pytest.mark.parametrize(
    "action, code",
    [
        (interface.Refuse(1, 2), 2),
        (interface.Fail(1), 3),
        (interface.Cancel(1, 0), 4),
        (interface.Probe(1), 6),
        (interface.CloseIdle(1), 7),
        (interface.SendNote(None, b"x"), 8),
        (interface.Subscribe(), 11),
        (interface.FetchList(), 12),
    ],
)
def test_every_action_has_its_code(action, code):
    reply = wire.Reply()
    reply.action(action)
    assert len(reply.records[0]) == 16 and reply.records[0][0] == code


WITHOUT_CONTRACT = {k: v for k, v in SETTINGS.items() if k != "contract"}


@pytest.mark.parametrize(
    "data, expected_text",
    [
        (b"\0\0\0\1", "short batch header"),
        (struct.pack(">IIQI", 1, 80, 0, 0) + b"x", "truncated batch"),
        (batch([record("BH", 1, 0), record("B", 99)]), "unknown event code 99"),
        (batch([record("BH", 1, 0), record("BIII", 11, 2, 5, 90)]), "outside the tail"),
        (batch([record("BQ", 4, 1)]), "before any instance"),
        (batch([], count=3), "do not fit"),
        (batch([record("BH", 1, 0), record("BQII", 7, 1, 0, 3)], b"{{{"), "not JSON"),
        (begin_batch(settings=WITHOUT_CONTRACT), "'contract'"),
        (batch([record("BH", 1, 0), record("BIBIHHIBI", 8, 5, 1, 1, 1, 777, 1, 0, 0)]), "unknown result 777"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data, expected_text):
    done = run(data)
    assert done.returncode != 0 and expected_text in done.stderr.decode()
    assert done.stderr.count(b"\n") == 1


def test_an_exception_in_a_courier_is_reported_as_a_fault(monkeypatch):
    from hopmill import simhost

    monkeypatch.setattr(simhost.Courier, "handle", lambda *a: 1 / 0)
    data = begin_batch()
    reply = simhost.answer(1, 5, data[20:], 4, {}, {})
    assert reply[12 + 16] == 10 and b"ZeroDivisionError" in reply


def test_equal_bytes_under_any_hash_seed_and_when_instances_are_split():
    def day(instances):
        data = begin_batch(instances=instances)
        for k in range(2, 40):
            for n in instances:
                data += arrival(k, k * 10 + n, 5_000_000 + k * 500_000, n, k % 2)
        return data

    both = run(day((3, 4)), PYTHONHASHSEED="1")
    assert both.returncode == 0 and both.stdout == run(day((3, 4)), PYTHONHASHSEED="2").stdout

    def replies(out):
        found = {}
        while out:
            sequence, _, size = struct.unpack(">III", out[:12])
            found[sequence], out = out[12 : 12 + size], out[12 + size :]
        return found

    together = replies(both.stdout)
    assert len(together) == 1 + 2 * 38 and sum(map(len, together.values())) > 1500
    for n in (3, 4):
        alone = replies(run(day((n,))).stdout)
        assert len(alone) == 39 and all(
            together[sequence] == body for sequence, body in alone.items() if sequence > 1
        )


@pytest.mark.parametrize(
    "field, change",
    [
        ("slots", {"slots": 0}),
        ("cold_share", {"cold_share": 1.5}),
        ("cold_us", {"cold_us": -1}),
        ("classes", {"classes": ()}),
        ("max_attempts", {"max_attempts": 0}),
    ],
)
def test_invalid_settings_name_the_field(field, change):
    good = {"classes": (interface.MessageClass("a", 1, 2),), "slots": 1, "max_held": 1}
    interface.Settings(**good)
    with pytest.raises(ValueError, match=field):
        interface.Settings(**{**good, **change})


def test_unknown_effect_class_is_named():
    bad = json.loads(json.dumps(SETTINGS))
    bad["classes"][0]["idempotency"] = "sometimes"
    with pytest.raises(ValueError, match="idempotency"):
        wire.read_settings(json.dumps(bad))
