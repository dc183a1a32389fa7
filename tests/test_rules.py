"""Random legal events for random settings: the rules on actions hold, whatever the outcomes are."""

import random

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from hopmill.policy.courier import Courier
from hopmill.policy.pacing import MAX_DESTINATION_SLOT_SHARE
from hopmill.interface import (
    AttemptEnded,
    Effect,
    EndpointsListed,
    EndpointState,
    Fail,
    Kind,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    MessageGone,
    Refuse,
    Result,
    Send,
    SetTimer,
    Settings,
    Tenant,
    TimerDue,
)

S = 1_000_000
TICK = 5_000
UNRUN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


def random_settings(rng):
    keyed = {"effect": Effect.KEYED, "key_window_us": 4 * S, "key_scope": rng.choice(("all", "zone"))}
    ordered = rng.random() < 0.5
    return Settings(
        classes=(
            MessageClass("s", S, 5 * S, worth=2.0),
            MessageClass("k", S, 8 * S, ordered=ordered, **keyed),
            MessageClass("u", 2 * S, 9 * S, effect=Effect.UNSAFE, late_share=0.4, ordered=ordered),
        ),
        kinds=(Kind("a", rng.random() < 0.5, rng.choice((1, 4))), Kind("b")),
        slots=rng.randint(1, 12),
        max_held=30,
        tenants=(Tenant("t", 0.5, 3.0),) if rng.random() < 0.5 else (),
        couriers=rng.randint(1, 4),
        max_attempts=rng.randint(1, 8),
        rates_listed=rng.random() < 0.5,
        zone_fees=(0.1, 0.0),
        max_retry_after_us=S,
        key_rest_us=S // 2,
        answer_slack_us=20_000,
        tick_us=TICK,
        clients_mark_retries=rng.random() < 0.5,
    )


@examples(max_examples=40, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_the_rules_hold_for_arbitrary_events(seed):
    rng = random.Random(seed)
    settings = random_settings(rng)
    courier = Courier(settings, seed)
    places = {100 + n: (n % 3, n % 2) for n in range(6)}  # endpoint: destination, zone
    state = dict.fromkeys(places, EndpointState.READY)
    routes_apart = [settings.kinds[destination % 2].routes_apart for destination in range(3)]
    batch = [settings.kinds[destination % 2].batch for destination in range(3)]
    now, number, waits, timers = 10 * S, 0, {}, []
    held, history, out, ended, order, rest = {}, {}, {}, {}, [], {}
    result_weights = rng.choice(((9, 1, 1, 1, 1, 1, 1), (1, 3, 3, 3, 3, 1, 1), (5, 0, 4, 0, 4, 0, 0)))

    def lane(endpoint):
        return endpoint if routes_apart[places[endpoint][0]] else places[endpoint][0] - 10

    def entry(endpoint_id):
        return ListEntry(
            endpoint_id,
            places[endpoint_id][0],
            state[endpoint_id],
            4.0,
            places[endpoint_id][0] % 2,
            places[endpoint_id][1],
        )

    inbox = [EndpointsListed(ListForm.CACHED, tuple(entry(endpoint_id) for endpoint_id in places))]
    for _ in range(4000):
        now += TICK
        while timers and min(timers) <= now:
            timers.remove(min(timers))
            inbox.append(TimerDue(0))
        for key in [k for k in out if out[k][1] <= now]:
            endpoint, _, forced, sent = out.pop(key)
            result = forced or rng.choices(list(Result)[:7], result_weights)[0]
            if result in (Result.MOOT, Result.CANCELLED):
                result = Result.ERROR
            retry_after_us = rng.choice((0, 300_000, 3 * S)) if result is Result.FULL else 0
            if retry_after_us:
                waits[lane(endpoint)] = max(waits.get(lane(endpoint), 0), now + retry_after_us)
            history[key[0]].append((result, endpoint, sent))
            ended_message = ended.get(key[0]) or held[key[0]]
            if result in (Result.TIMEOUT, Result.RESET) and ended_message.order_key:
                rest[ended_message.order_key] = now + settings.key_rest_us
            done = result is Result.OK or key[0] in ended
            if done and key[0] in held:
                ended[key[0]] = held.pop(key[0])
            inbox.append(AttemptEnded(key[0], key[1], endpoint, result, now - sent, done, retry_after_us))
        if rng.random() < 0.08 and len(held) < settings.max_held:
            number += 1
            message_class = rng.randrange(3)
            key = rng.randint(1, 3) if settings.classes[message_class].ordered and rng.random() < 0.7 else 0
            held[number] = MessageArrived(
                number,
                message_class,
                rng.randrange(3),
                now + settings.classes[message_class].deadline_us,
                0,
                key,
            )
            history[number] = []
            order.append(number)
            inbox.append(held[number])
        if rng.random() < 0.003:
            endpoint_id = rng.choice(list(places))
            state[endpoint_id] = rng.choice((EndpointState.READY, EndpointState.DRAINING))
            inbox.append(EndpointsListed(ListForm.DELTA, (entry(endpoint_id),)))
        if held and rng.random() < 0.002:
            gone = rng.choice(list(held))
            ended[gone] = held.pop(gone)
            inbox.append(MessageGone(gone))
        if not inbox:
            continue
        calls = {}
        for action in courier.handle(now, inbox):
            if isinstance(action, SetTimer):
                timers.append(now + action.delay_us)
            elif isinstance(action, Send):
                assert action.message in held, "sent after its end"
                message, message_class = (
                    held[action.message],
                    settings.classes[held[action.message].message_class],
                )
                assert (
                    places[action.endpoint][0] == message.destination
                    and state[action.endpoint] is EndpointState.READY
                )
                assert now >= waits.get(lane(action.endpoint), 0), "sent before an announced wait ended"
                assert not [k for k in out if k[0] == action.message], "two attempts in flight"
                ran = [h for h in history[action.message] if h[0] not in UNRUN]
                assert len(history[action.message]) < settings.max_attempts
                if ran:
                    assert message_class.effect is not Effect.UNSAFE
                    if message_class.effect is Effect.KEYED:
                        assert now < ran[0][2] + message_class.key_window_us
                        assert (
                            message_class.key_scope == "all"
                            or places[action.endpoint][1] == places[ran[0][1]][1]
                        )
                if message.order_key:
                    earlier = [
                        x
                        for x in order[: order.index(action.message)]
                        if (held.get(x) or ended[x]).order_key == message.order_key
                    ]
                    assert not [x for x in earlier if x in held or [k for k in out if k[0] == x]]
                    assert history[action.message] or now >= rest.get(message.order_key, 0)
                end = now + min(action.timeout_us, message.valid_until_us - now)
                due = now + rng.choice((20_000, 100_000, 400_000, 20 * S))
                forced = Result.TIMEOUT if due >= end else None
                out[(action.message, len(history[action.message]))] = (
                    action.endpoint,
                    min(due, end),
                    forced,
                    now,
                )
                calls[action.endpoint] = calls.get(action.endpoint, 0) + 1
            elif isinstance(action, (Refuse, Fail)):
                if MessageGone(action.message) in inbox:
                    continue  # its end was reported in this turn
                message = held.pop(action.message)
                ended[action.message] = message
                assert now <= message.valid_until_us + settings.answer_slack_us
                message_class, ran = (
                    settings.classes[message.message_class],
                    [h for h in history[action.message] if h[0] not in UNRUN],
                )
                if isinstance(action, Refuse) and message_class.effect is not Effect.SAFE:
                    assert (
                        not ran or message_class.effect is Effect.KEYED and message_class.key_scope == "all"
                    )
                    assert not [k for k in out if k[0] == action.message]
        for endpoint_id, n in calls.items():
            assert n <= batch[places[endpoint_id][0]] or batch[places[endpoint_id][0]] == 1
        if batch == [1, 1, 1]:
            assert len(out) <= settings.slots
            for destination in range(3):
                busy = len([1 for endpoint_id, *_ in out.values() if places[endpoint_id][0] == destination])
                assert busy <= max(1, int(MAX_DESTINATION_SLOT_SHARE * settings.slots))
        inbox = []
        assert all(now <= message.valid_until_us + settings.answer_slack_us for message in held.values()), (
            "no final answer"
        )
    assert number > 20  # there was enough traffic
