"""What rules rest on crosses an upgrade: order keys, waits, budgets; and no new field is forgotten."""

import asyncio

from loopback import Client, answer, bounded, courier
from test_upgrade import healthy, hold_socket

from hopmill.interface import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    Kind,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    MessageGone,
    OrderPauseCarried,
    Result,
    Send,
    Settings,
    Tenant,
)
from hopmill.policy.carried import CARRIED
from hopmill.policy.courier import Courier

S = 1_000_000
KEY_REST_S = 2.0
SLACK_S = 0.05
ORDER_KEY = b"7f3a9c21e0b4d650"


# Order keys


def order_classes(fleet):
    """Let the classes "safe" and "keyed" keep their order."""
    for message_class in fleet.raw["classes"][:2]:
        message_class["sequential"] = True
    fleet.raw["contract"]["keyRestUs"] = int(KEY_REST_S * S)


def ordered(ident, dest=7, life=6000, key="", kind="safe", order_key=ORDER_KEY):
    fields = f"c={kind},t=t,d={life},dest={dest}" + (f",k={key}" if key else "")
    return Client.command(b"MSG.PUT", order_key, ident.encode(), fields.encode(), b"hello")


async def upgraded(fleet):
    await fleet.upgrade()
    assert await bounded(fleet.former.wait()) == 0
    await healthy(fleet.door)


@courier
async def test_an_order_key_rests_after_a_call_that_was_given_up_before_an_upgrade(fleet):
    # The next process sent the next message with the key 0.4 s after the call, whose work went on.
    hold_socket(fleet)
    order_classes(fleet)
    endpoint = await fleet.endpoint("a", "hang", "hang", "hang")
    client = await fleet.outside()
    assert await client.send(ordered("first", life=900)) == "+OK"
    assert await client.send(ordered("second")) == "+OK"
    assert (await fleet.discovery.final())["id"] == "first"
    given_up_at = asyncio.get_running_loop().time()
    await upgraded(fleet)
    while (call := await endpoint.call())[1]["x-request-id"] == "first":
        pass
    assert call[1]["x-request-id"] == "second" and call[3] - given_up_at >= KEY_REST_S - SLACK_S


@courier
async def test_an_order_key_rests_after_a_call_that_a_kill_has_cut(fleet):
    order_classes(fleet)
    endpoint = await fleet.endpoint("a", "hang")
    client = await fleet.outside()
    assert await client.send(ordered("first", life=1000)) == "+OK"
    assert await client.send(ordered("second")) == "+OK"
    await endpoint.call()
    await asyncio.sleep(0.9)
    await fleet.kill()
    killed_at = asyncio.get_running_loop().time()
    await asyncio.sleep(0.2)  # the time of the first message is up
    await fleet.outside()
    call = await endpoint.call()
    assert call[1]["x-request-id"] == "second" and call[3] - killed_at >= KEY_REST_S - SLACK_S


@courier
async def test_a_message_that_ended_in_a_call_still_out_keeps_its_order_key_over_an_upgrade(fleet):
    # The client replaces a message whose batch is out; the newer one was sent beside it after an upgrade.
    hold_socket(fleet)
    order_classes(fleet)
    fleet.raw["policyLimits"]["connectTimeoutUs"] = 6_000_000  # a first call may last as long
    endpoint = await fleet.endpoint("a", dest=3, kind="bundles")
    client = await fleet.outside()
    for number in range(4):  # its window opens, so that only the key holds the next call back
        assert await client.put(f"before-{number}", dest=3) == "+OK"
        await endpoint.call()
        await asyncio.sleep(0.1)
    endpoint.release = asyncio.Event()
    other = ordered("other", 3, order_key=b"0" * 15 + b"1")
    client.writer.write(ordered("first", 3, kind="keyed", key="k") + other)
    assert [await client.line(), await client.line()] == ["+OK", "+OK"]
    path, headers, _, called_at = await endpoint.call()
    assert path == "/events/bundle"
    assert await client.send(ordered("newer", 3, kind="keyed", key="k")) == "+OK"
    assert (await fleet.discovery.final())["id"] == "first"
    await upgraded(fleet)
    while (call := await endpoint.call())[1].get("x-request-id") != "newer":
        pass
    given_up_at = called_at + int(headers["x-timeout-ms"]) / 1e3
    assert call[3] - given_up_at >= KEY_REST_S - SLACK_S


def host_of(settings):
    host = Courier(settings, 1)
    entries = (ListEntry(1, 1, EndpointState.READY, 100.0), ListEntry(2, 1, EndpointState.READY, 100.0))
    host.handle(1000 * S, [EndpointsListed(ListForm.CACHED, entries)])
    return host


ORDERED = Settings(
    classes=(MessageClass("ordered", aim_us=S, deadline_us=10 * S, ordered=True),),
    slots=8,
    max_held=100,
    max_attempts=12,
    key_rest_us=4 * S,
    tick_us=5000,
    tenants=(Tenant("t", 1.0, 100.0),),
    kinds=(Kind("any"),),
    rates_listed=True,
)


def sends(actions):
    return [action for action in actions if isinstance(action, Send)]


def test_pauses_of_order_keys_that_are_over_are_forgotten():
    # One entry for each key that ever rested was kept for ever.
    host, now = host_of(ORDERED), 1000 * S
    for number in range(1, 200):
        now += S
        (send,) = sends(host.handle(now, [MessageArrived(number, 0, 1, now + 5 * S, order_key=number)]))
        host.handle(now + 1, [AttemptEnded(number, 0, send.endpoint, Result.CANCELLED, 1, closed=True)])
        assert len(host.state.order_pauses_us) <= 5
    assert host.carried.collect_order_pauses()[-1] == OrderPauseCarried(199, now + 1 + 4 * S)


def test_a_message_that_ended_in_flight_is_told_to_the_next_process_until_its_attempt_ends():
    host, now = host_of(ORDERED), 1001 * S
    (send,) = sends(host.handle(now, [MessageArrived(5, 0, 1, now + 5 * S, order_key=9)]))
    host.handle(now + 5000, [MessageGone(5)])
    (row,) = host.carried.collect_ended_in_flight()
    assert (row.message, row.message_class, row.destination, row.order_key) == (5, 0, 1, 9)
    host.handle(now + 10_000, [AttemptEnded(5, 0, send.endpoint, Result.OK, 10_000, closed=True)])
    assert not host.carried.collect_ended_in_flight()


# Waits


@courier
async def test_a_wait_told_after_an_upgrade_by_an_endpoint_that_left_the_list_holds(fleet):
    hold_socket(fleet)
    fleet.raw["policyLimits"]["connectTimeoutUs"] = 6_000_000  # a first call may last as long
    left = await fleet.endpoint("left", answer(429, Retry_After=1.5), dest=5)
    left.release = asyncio.Event()
    client = await fleet.outside()
    assert await client.put("m", kind="unsafe", dest=5) == "+OK"
    await left.call()
    other = await fleet.endpoint("other", dest=5)
    other.release = left.release
    fleet.discovery.change("other")
    fleet.discovery.change("left", state="terminated")
    await asyncio.sleep(0.2)
    await upgraded(fleet)
    told_at = asyncio.get_running_loop().time()
    left.release.set()
    await asyncio.sleep(0.05)
    assert await (await Client().open(fleet.port)).put("next", dest=5) == "+OK"
    call = await other.call()
    assert call[3] - told_at >= 1.5


def test_the_wait_and_pace_of_a_destination_without_endpoints_cross_an_upgrade():
    # Its endpoints are replaced: the list has none of them just then.
    old, now = host_of(ORDERED), 1001 * S
    (send,) = sends(old.handle(now, [MessageArrived(5, 0, 1, now + 9 * S)]))
    ended = AttemptEnded(5, 0, send.endpoint, Result.FULL, 5000, retry_after_us=3 * S)
    old.handle(now + 5000, [ended, EndpointsListed(ListForm.FULL)])
    (lane,) = old.carried.collect_lanes()
    new = Courier(ORDERED, 2)
    entry = ListEntry(3, 1, EndpointState.READY, 100.0)
    arrived = MessageArrived(6, 0, 1, now + 9 * S, restored=True)
    assert not sends(new.handle(now + 10_000, [EndpointsListed(ListForm.CACHED), arrived, lane]))
    assert not sends(new.handle(now + S, [EndpointsListed(ListForm.DELTA, (entry,))]))
    assert new.state.destinations[1].lanes[0].last_refused_rate_per_s == 100.0
    assert sends(new.handle(now + 4 * S, []))


# Completeness. Each attribute of the policy's state is handed over (CARRIED) or stands here with the reason
# why the next process does without it.

FROM_LIST = "from the endpoint list, which is handed over"
FROM_JOURNAL = "from the journal"
FROM_CALLS = "from the calls in flight, which are handed over"
PARTS = "the modules, whose own attributes stand here"
SETTINGS = "from the settings, or the policy in force"
WORTH = "only the order and choice of calls depend on it"
NOT_CARRIED = {
    "Courier": {
        **dict.fromkeys(
            [
                "turn",
                "state",
                "zones",
                "pacing",
                "timeouts",
                "breakers",
                "connections",
                "worth",
                "admission",
                "carried",
                "evidence",
                "directory",
                "gate",
                "ranking",
            ],
            PARTS,
        ),
        **dict.fromkeys(["settings", "max_attempts"], SETTINGS),
        "sequence": "only the order of messages counts, which the journal has",
        "is_holding": "set again at the start, by the fleet's policy",
        "is_awaiting_list": "whether the list is confirmed is handed over by the host",
        "expiries": FROM_JOURNAL,
    },
    "CourierState": {
        "destinations": PARTS,
        "endpoints": PARTS,
        "messages": FROM_JOURNAL + "; those that have ended in flight by collect_ended_in_flight",
        "calls": FROM_CALLS,
        "calls_in_flight": FROM_CALLS,
        "excluded_endpoints": FROM_JOURNAL,
        "order_queues": FROM_JOURNAL + "; of ended messages by collect_ended_in_flight",
        "order_pauses_us": "handed over by collect_order_pauses",
    },
    "Destination": {
        "number": FROM_LIST,
        "kind": FROM_LIST + ", or by collect_lanes",
        "lanes": "handed over with their endpoints, or by collect_lanes",
        "queue": FROM_JOURNAL,
        "calls_in_flight": FROM_CALLS,
        "arrivals": "counts from the start of a process; a lower rate makes a slow start slower",
    },
    "Lane": {
        **dict.fromkeys(["destination", "breaker", "endpoints", "listed_rate_per_s"], FROM_LIST),
        "last_report": "a report that is repeated counts once more",
        "calls_in_flight": FROM_CALLS,
    },
    "Endpoint": {
        **dict.fromkeys(["id", "lane", "zone", "connection_budget", "state", "breaker"], FROM_LIST),
        "calls_in_flight": FROM_CALLS,
        "last_reuse_success_us": "how many connections are kept; no rule rests on it",
    },
    "CircuitBreaker": {"trial_call": FROM_CALLS},
    "ConnectionBudget": {
        "idle_limit_us": SETTINGS,
        "rng": "a new seed",
        "idle_since_us": "reported by the pool, which takes over the idle connections",
        "next_cut_us": "a pause of one round trip between two cuts",
        "consecutive_new_refusals": "how many connections are kept; no rule rests on it",
        "announced": "announced anew",
    },
    "Turn": {
        "settings": SETTINGS,
        "rng": "a new seed",
        "now_us": "set at each turn",
        "started_us": "with Destination.arrivals",
        "shutdown_deadline_us": "a process that shuts down hands nothing over",
        "actions": "carried out before the hand-over",
        "timers": "asked for in the first turn",
        "deadline_margin_us": SETTINGS,
        "is_large_fleet": SETTINGS,
    },
    "Pacing": {
        **dict.fromkeys(
            ["turn", "settings", "max_calls_per_destination", "ceilings", "token_jitter"], SETTINGS
        ),
        "refused_share_by_kind": "refusals of new messages only, of lanes without calls",
    },
    "Timeouts": dict.fromkeys(["turn", "settings"], SETTINGS),
    "CircuitBreakers": dict.fromkeys(["turn", "settings"], SETTINGS),
    "Connections": dict.fromkeys(["turn", "settings"], SETTINGS)
    | {"warm_up": "an option of the configuration, set at the start"},
    "Worth": dict.fromkeys(["turn", "settings"], SETTINGS) | {"tenant_buckets": WORTH},
    "Admission": dict.fromkeys(["turn", "settings", "pacing", "max_attempts"], SETTINGS)
    | {"is_full": "a line of the log"},
    "Zones": dict.fromkeys(["cold_share", "cold_us"], SETTINGS)
    | {
        "rng": "a new seed",
        "excluded": FROM_JOURNAL,
        "returning": "handed over as ZoneCarried",
    },
    "Evidence": dict.fromkeys(["turn", "pacing", "breakers", "timeouts", "connections"], PARTS),
    "EndpointDirectory": dict.fromkeys(["turn", "state", "pacing"], PARTS),
    "Gate": dict.fromkeys(
        ["turn", "settings", "state", "max_attempts", "pacing", "breakers", "timeouts", "zones"], PARTS
    ),
    "Ranking": dict.fromkeys(
        ["turn", "settings", "state", "gate", "worth", "timeouts", "connections", "zones"], PARTS
    ),
    "CarriedFigures": dict.fromkeys(["turn", "state", "timeouts", "connections", "admission"], PARTS),
    "Message": {
        **dict.fromkeys(
            [
                "id",
                "message_class",
                "sequence",
                "destination",
                "order_key",
                "valid_until_us",
                "created_us",
                "attempts",
                "may_have_run_since_us",
                "may_have_run_zone",
                "is_closed",
                "is_scope_bound",
                "is_zone_bound",
            ],
            FROM_JOURNAL,
        ),
        "attempts_held_back": "attempts that were not begun are not in the journal",
        "attempts_in_flight": FROM_CALLS,
        "ready_us": "the endpoint's wait, pace and slow start hold; a backoff of at most 3 s is cut short",
        **dict.fromkeys(["last_endpoint", "failed_quickly", "weight", "is_streaming"], WORTH),
    },
    "Call": {
        **dict.fromkeys(["endpoint", "sent_us", "open_attempts"], FROM_CALLS),
        "zone": FROM_JOURNAL + ", told by CallCarried",
        "is_outcome_recorded": "the outcome of a batch may count twice",
        "connection_idle_us": "how long idle connections are trusted; no rule rests on it",
    },
}
CARRIED_BY = {
    "ep": ["Endpoint"],
    "circuit": ["CircuitBreaker"],
    "lane": ["Lane"],
    "links": ["ConnectionBudget"],
    "all": ["Timeouts", "Connections", "Admission"],
}


def used_courier():
    """A courier with a message of each state, and the objects that it is made of."""
    host, now = host_of(ORDERED), 1001 * S
    arrivals = [MessageArrived(number, 0, 1, now + 9 * S, order_key=number) for number in (1, 2)]
    (first, *_) = sends(host.handle(now, arrivals))
    host.handle(now + 5000, [AttemptEnded(first.message, 0, first.endpoint, Result.RESET, 5000)])
    return host


def objects_of(host):
    parts = [part for part in vars(host).values() if type(part).__module__.startswith("hopmill.policy")]
    destination = host.state.destinations[1]
    endpoint = host.state.endpoints[1]
    ((call, message), *_) = host.state.calls.values()
    more = [destination, destination.lanes[0], endpoint, endpoint.breaker, endpoint.connection_budget]
    return [host, *parts, *more, message, call]


def test_every_attribute_of_the_policys_state_is_handed_over_or_needless():
    # A new field that a rule rests on was forgotten once: the pauses of order keys.
    found = {type(each).__name__: set(vars(each)) for each in objects_of(used_courier())}
    carried = {name: set() for name in found}
    for part, owners in CARRIED_BY.items():
        for attribute in CARRIED[part].values():
            owner = next(owner for owner in owners if attribute in found[owner])
            carried[owner].add(attribute)
    assert set(NOT_CARRIED) == set(found) and set(CARRIED_BY) == set(CARRIED)
    for name, attributes in found.items():
        assert attributes == carried[name] | set(NOT_CARRIED[name]), name
        assert not carried[name] & set(NOT_CARRIED[name]), name


# The same for the host: what goes over in the payload, and what the next process does without.

HANDED_OVER = "in the payload"
ASKED_ANEW = "asked for anew at the start"
OWN = "belongs to the process: its loop, settings, files, timers, servers or callbacks"
HOST_STATE = {
    "Host": {
        **dict.fromkeys(
            [
                "loop",
                "config",
                "settings",
                "handover",
                "restart",
                "options",
                "operator_actions",
                "turn_actions",
            ],
            OWN,
        ),
        **dict.fromkeys(["journal", "journal_recovery", "observer", "metrics", "turn_scheduled"], OWN),
        "turn_actions": OWN,
        **dict.fromkeys(["last_turn_us", "turn_due_us"], OWN),
        **dict.fromkeys(["courier", "registry", "pool", "calls", "clients", "operator_server"], HANDED_OVER),
        **dict.fromkeys(
            ["watch", "list_confirmation", "discovery_moved_to", "member_transport"], HANDED_OVER
        ),
        **dict.fromkeys(["expiry_timers", "next_attempts", "notices", "active_policy"], FROM_JOURNAL),
        "events": "handled before the hand-over, which fails otherwise",
        **dict.fromkeys(["intake", "attempts"], PARTS),
    },
    "Attempts": {"host": PARTS, "pending_read_at": "what has arrived is read before the first call"},
    "Intake": {
        **dict.fromkeys(["host", "class_indexes", "tenant_indexes"], OWN),
        "last_number": FROM_JOURNAL,
        **dict.fromkeys(
            ["arrived", "arrived_bytes", "arrived_numbers_by_id"], "handled before the hand-over"
        ),
    },
    "Calls": {**dict.fromkeys(["loop", "hooks", "pool"], OWN), "in_flight": HANDED_OVER},
    "ListConfirmation": {
        **dict.fromkeys(["host", "freshness"], PARTS),
        **dict.fromkeys(["is_holding", "held_since"], "derived from the age of the list"),
        "timer": OWN,
    },
    "ListFreshness": {
        **dict.fromkeys(["patience", "started_at"], OWN),
        **dict.fromkeys(["is_confirmed", "valid_until"], HANDED_OVER),
        "reload_bound_at": "within the validity that is handed over",
        **dict.fromkeys(["lateness_s", "open_watch", "heard_at", "failure"], ASKED_ANEW),
        **dict.fromkeys(["pending", "part_received_at", "first_accepted_at"], ASKED_ANEW),
    },
    "DiscoveryWatch": {
        **dict.fromkeys(["loop", "timer", "is_stopped", "waits", "on_change"], OWN),
        **dict.fromkeys(["on_freshness_changed", "given_up"], OWN),
        **dict.fromkeys(["connections", "last_number", "heard_at"], ASKED_ANEW),
        "freshness": PARTS,
        **dict.fromkeys(["address", "revision", "needs_whole_list"], HANDED_OVER),
    },
    "NoticeSender": {
        **dict.fromkeys(["loop", "backoff", "connection", "timer", "is_stopped", "on_done"], OWN),
        **dict.fromkeys(["is_sending", "batch_size", "status", "answered_at"], "of a connection that closes"),
        **dict.fromkeys(["waiting", "sent_numbers"], FROM_JOURNAL + ": owed until they are accepted"),
        "address": HANDED_OVER,
    },
    "Pool": {
        **dict.fromkeys(["loop", "is_usable", "idle_s", "connect_s", "max_idle", "expiry_timer"], OWN),
        **dict.fromkeys(["connect_retry", "settle_wait"], "calls that are not written have not run"),
        "endpoints": FROM_LIST,
        **dict.fromkeys(["idle", "orphaned_connections"], HANDED_OVER),
        **dict.fromkeys(["idle_changed", "removed_totals"], "reports and counters"),
    },
    "EndpointRegistry": {
        **dict.fromkeys(["settings", "may_serve", "kinds", "zones_in_use", "zones_of_settings"], OWN),
        "zones": "by name in the list, the journal and the returning zones",
        "entries": FROM_LIST,
        **dict.fromkeys(["uids", "targets", "removed_keys", "retry_after_until"], HANDED_OVER),
        "names": "the same as uids, by number",
        "last_number": HANDED_OVER,
    },
}
PAYLOAD = set(
    [
        "format",
        "uids",
        "last_endpoint_number",
        "known",
        "confirmed",
        "list_valid_until",
        "waits",
        "removed",
        "learned",
        "lanes",
        "pauses",
        "ended_in_flight",
        "returning",
        "calls",
        "unwritten",
        "door",
        "moved",
        "clients",
        "idle",
    ]
)


@courier
async def test_every_attribute_of_the_hosts_state_is_handed_over_or_needless(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    host = fleet.host
    parts = [host.attempts, host.intake, host.calls, host.list_confirmation, host.watch, host.notices]
    parts += [host.watch.freshness]
    found = {type(part).__name__: set(vars(part)) for part in (host, *parts, host.pool, host.registry)}
    assert found == {name: set(attributes) for name, attributes in HOST_STATE.items()}
    assert set(host.handover._build_payload().values) == PAYLOAD
