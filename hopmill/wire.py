"""Converts the simulator's binary frames and settings JSON to and from the interface types. No decisions."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any

from hopmill import interface

BATCH_HEADER = struct.Struct(">IIQI")
REPLY_HEADER = struct.Struct(">III")
EVENT_SIZE = 40
ACTION_SIZE = 16
ENTRY_SIZE = 24
ALL_PEERS = 0xFFFFFFFF
MAX_U32 = 0xFFFFFFFF

# Kinds of the records of a batch.
EVENT_INSTANCE = 1
EVENT_MESSAGE_ARRIVED = 2
EVENT_PROBE_ENDED = 3
EVENT_TIMER_DUE = 4
EVENT_ENDPOINTS_LISTED = 5
EVENT_LIST_DECLARED = 6
EVENT_BEGIN = 7
EVENT_ATTEMPT_ENDED = 8
EVENT_SHUTDOWN = 9
EVENT_MESSAGE_GONE = 10
EVENT_PEER_NOTE = 11
EVENT_ATTEMPT_ANSWERING = 12
# Kinds of the records of a reply.
ACTION_SEND = 1
ACTION_REFUSE = 2
ACTION_FAIL = 3
ACTION_CANCEL = 4
ACTION_SET_TIMER = 5
ACTION_PROBE = 6
ACTION_CLOSE_IDLE = 7
ACTION_SEND_NOTE = 8
ACTION_LOG = 9
ACTION_FAULT = 10
ACTION_SUBSCRIBE = 11
ACTION_FETCH_LIST = 12
ACTION_INSTANCE = 13

RESULTS = {
    200: interface.Result.OK,
    502: interface.Result.ERROR,
    429: interface.Result.FULL,
    408: interface.Result.TIMEOUT,
    521: interface.Result.CONNECT_FAILED,
    520: interface.Result.RESET,
    444: interface.Result.CANCELLED,
    409: interface.Result.MOOT,
}
FORMS = (
    interface.ListForm.DELTA,
    interface.ListForm.FULL,
    interface.ListForm.CACHED,
    interface.ListForm.FAILED,
)
STATES = (interface.EndpointState.GONE, interface.EndpointState.READY, interface.EndpointState.DRAINING)
EFFECTS = {
    "read_like": interface.Effect.SAFE,
    "idempotency_key": interface.Effect.KEYED,
    "non_idempotent": interface.Effect.UNSAFE,
}

_ARRIVAL = struct.Struct(">xIBIQQIfH")
_HEALTH = struct.Struct(">xIHIHB4f")
_DISCOVERY = struct.Struct(">xBQB")
_REGISTER = struct.Struct(">xBII")
_BEGIN = struct.Struct(">xQII")
_ANSWER = struct.Struct(">xIBIHHIBIB4f")
_PEER = struct.Struct(">xIII")
_OPENED = struct.Struct(">xIIHBI")
_ENTRY = struct.Struct(">IHHBfQBH")
_U16 = struct.Struct(">xH")
_U32 = struct.Struct(">xI")
_U64 = struct.Struct(">xQ")


class MalformedFrameError(ValueError):
    """A frame or settings that do not follow the wire's description."""


class Begin:
    """An instance starts with these settings and this seed."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: interface.Settings) -> None:
        """seed: of the random numbers of the instance."""
        self.seed = seed
        self.settings = settings


class Shutdown:
    """An instance was killed."""

    __slots__ = ()


def endpoint_id(address: int, port: int) -> int:
    """One integer for an IPv4 address and a port."""
    return address << 16 | port


def _choice(table: Any, code: int, what: str) -> Any:
    try:
        return table[code]
    except (KeyError, IndexError):
        raise MalformedFrameError(f"unknown {what} {code}") from None


def _slice(tail: memoryview, offset: int, size: int, what: str) -> memoryview:
    if offset + size > len(tail):
        raise MalformedFrameError(
            f"{what} lies outside the tail: offset {offset}, {size} bytes, tail {len(tail)}"
        )
    return tail[offset : offset + size]


def read_settings(text: bytes | memoryview | str) -> interface.Settings:
    """Parse the settings JSON. Unknown keys are ignored; MalformedFrameError names a missing one."""
    try:
        raw = json.loads(bytes(text) if isinstance(text, memoryview) else text)
    except ValueError as error:
        raise MalformedFrameError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise MalformedFrameError("settings are not a JSON object")
    try:
        return _settings(raw)
    except KeyError as error:
        raise MalformedFrameError(f"settings lack the key {error.args[0]!r}") from None
    except (TypeError, AttributeError) as error:
        raise MalformedFrameError(f"settings are of the wrong form: {error}") from None


def _settings(raw: dict[str, Any]) -> interface.Settings:
    family, limits, contract = raw.get("familyInfo", {}), raw["policyLimits"], raw["contract"]
    report = raw.get("report", {})
    return interface.Settings(
        classes=_message_classes(raw),
        kinds=_kinds(raw, family),
        tenants=_tenants(raw),
        slots=int(family["maxCalls"]),
        max_held=int(limits["maxOpen"]),
        couriers=int(raw.get("groupSize", 1)),
        me=int(raw.get("me", 0)),
        max_attempts=int(limits["attemptsCap"]),
        second_copies=bool(limits.get("secondCopies", False)),
        may_probe=bool(limits.get("probing", False)),
        may_cancel=bool(limits.get("mayCancel", False)),
        peer_notes=bool(limits.get("peers", False)),
        tick_us=int(raw.get("stepUs", 1000)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs", 0)) if limits.get("retryAfter", False) else 0,
        connection_idle_us=int(limits["connIdleUs"]),
        connect_timeout_us=int(limits["connectTimeoutUs"]),
        drain_grace_us=int(contract["drainGraceUs"]),
        cold_share=float(contract["coldShare"]),
        cold_us=int(contract["coldUs"]),
        fall_multiple=float(contract["fallMultiple"]),
        fall_us=int(contract["fallUs"]),
        key_rest_us=int(contract.get("keyRestUs", 0)),
        answer_slack_us=int(contract.get("answerSlackUs", 0)),
        list_on_request=raw.get("membershipMode") == "on_request",
        report_fields=tuple(report.get("fields", ())) if report.get("how") == "piggyback" else (),
        rates_listed=raw.get("weightSource") in ("nominal", "rough"),
        over_share_worth=float(raw.get("overShareWorth", 1.0)),
        late_halves=family.get("late") == "halves",
        clients_mark_retries=bool(raw.get("clients", {}).get("marksRetry", False)),
        refused_price=float(family.get("refusedPrice", 0.0)),
        zone_fees=tuple(float(fee) for fee in family.get("carriage", [])),
    )


def _message_classes(raw: dict[str, Any]) -> tuple[interface.MessageClass, ...]:
    return tuple(
        interface.MessageClass(
            name=given.get("name", str(index)),
            aim_us=int(given["goalTimeUs"]),
            deadline_us=int(given["deadlineUs"]),
            effect=_choice(EFFECTS, given["idempotency"], "classes.idempotency"),
            worth=float(given.get("worth", 1.0)),
            late_share=float(given.get("lateShare", 0.0)),
            key_scope=given.get("keyScope", "all"),
            key_window_us=int(given.get("keyTtlUs", 0)),
            ordered=bool(given.get("sequential", False)),
        )
        for index, given in enumerate(raw["classes"])
    )


def _kinds(raw: dict[str, Any], family: dict[str, Any]) -> tuple[interface.Kind, ...]:
    kind_names = raw.get("shapes") or ["any"]
    routes_apart, batch_sizes = family.get("kindApart", []), family.get("kindBatch", [])
    return tuple(
        interface.Kind(
            name,
            bool(routes_apart[index]) if index < len(routes_apart) else False,
            int(batch_sizes[index]) if index < len(batch_sizes) else 1,
        )
        for index, name in enumerate(kind_names)
    )


def _tenants(raw: dict[str, Any]) -> tuple[interface.Tenant, ...]:
    return tuple(
        interface.Tenant(
            tenant.get("name", ""), float(tenant.get("fraction", 0.0)), float(tenant.get("quotaPerS", 0.0))
        )
        for tenant in raw.get("tenants", [])
    )


def read_entries(data: memoryview) -> tuple[interface.ListEntry, ...]:
    """Parse the entries of an endpoint list."""
    return tuple(
        interface.ListEntry(
            endpoint_id(address, port),
            destination,
            _choice(STATES, state, "endpoint condition"),
            rate,
            kind,
            zone,
        )
        for address, port, destination, state, rate, _, kind, zone in _ENTRY.iter_unpack(data)
    )


def split_header(header: bytes) -> tuple[int, int, int, int]:
    """Return (sequence number, body length, clock, record count) of a batch. Raises MalformedFrameError."""
    if len(header) != BATCH_HEADER.size:
        raise MalformedFrameError(f"short batch header: {len(header)} of {BATCH_HEADER.size} bytes")
    return BATCH_HEADER.unpack(header)


def read_events(
    body: bytes, count: int, numbered_lists: dict[int, tuple[interface.ListEntry, ...]]
) -> Iterator[tuple[int, Any]]:
    """Yield (instance, event) for each record in order. Raises MalformedFrameError.

    Numbered endpoint lists are kept in `numbered_lists` across batches.
    """
    if count * EVENT_SIZE > len(body):
        raise MalformedFrameError(f"{count} records do not fit a body of {len(body)} bytes")
    view = memoryview(body)
    tail, instance = view[count * EVENT_SIZE :], None
    for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = view[at]
        if code == EVENT_INSTANCE:
            (instance,) = _U16.unpack_from(view, at)
            continue
        if code == EVENT_LIST_DECLARED:
            list_number, offset, entry_count = _REGISTER.unpack_from(view, at)
            numbered_lists[list_number] = read_entries(
                _slice(tail, offset, entry_count * ENTRY_SIZE, "a list")
            )
            continue
        if instance is None:
            raise MalformedFrameError(f"record {code} before any instance was named")
        yield instance, _event(code, view, at, tail, numbered_lists)


def _event(code: int, view: memoryview, at: int, tail: memoryview, numbered_lists: dict[int, Any]) -> Any:
    if code == EVENT_MESSAGE_ARRIVED:
        message, message_class, tenant, key, valid_until_us, _, destination, flags = _ARRIVAL.unpack_from(
            view, at
        )
        return interface.MessageArrived(
            message, message_class, int(destination), valid_until_us, tenant, key, bool(flags & 2)
        )
    if code == EVENT_PROBE_ENDED:
        latency_us, result, address, port, *_ = _HEALTH.unpack_from(view, at)
        return interface.ProbeEnded(
            endpoint_id(address, port), _choice(RESULTS, result, "result"), latency_us
        )
    if code == EVENT_TIMER_DUE:
        return interface.TimerDue(_U64.unpack_from(view, at)[0])
    if code == EVENT_ENDPOINTS_LISTED:
        list_number, _, form = _DISCOVERY.unpack_from(view, at)
        kind = _choice(FORMS, form, "list form")
        if kind is interface.ListForm.FAILED:
            return interface.EndpointsListed(kind)
        if list_number not in numbered_lists:
            raise MalformedFrameError(f"list {list_number} was never declared")
        return interface.EndpointsListed(kind, numbered_lists[list_number])
    if code == EVENT_BEGIN:
        seed, offset, size = _BEGIN.unpack_from(view, at)
        return Begin(seed, read_settings(_slice(tail, offset, size, "the settings")))
    if code == EVENT_ATTEMPT_ENDED:
        (
            message,
            attempt,
            address,
            port,
            result,
            latency_us,
            is_closed,
            retry_after_ms,
            report_count,
            *report,
        ) = _ANSWER.unpack_from(view, at)
        kind = _choice(RESULTS, result, "result")
        retry_after_us = retry_after_ms * 1000 if kind is interface.Result.FULL else 0
        return interface.AttemptEnded(
            message,
            attempt,
            endpoint_id(address, port),
            kind,
            latency_us,
            bool(is_closed),
            retry_after_us,
            tuple(report[:report_count]),
        )
    if code == EVENT_SHUTDOWN:
        return Shutdown()
    if code == EVENT_MESSAGE_GONE:
        return interface.MessageGone(_U32.unpack_from(view, at)[0])
    if code == EVENT_PEER_NOTE:
        author, offset, size = _PEER.unpack_from(view, at)
        return interface.PeerNote(author, bytes(_slice(tail, offset, size, "a note")))
    if code == EVENT_ATTEMPT_ANSWERING:
        message, address, port, attempt, _ = _OPENED.unpack_from(view, at)
        return interface.AttemptAnswering(message, attempt, endpoint_id(address, port))
    raise MalformedFrameError(f"unknown event code {code}")


class Reply:
    """Collects the actions of one batch and packs them as a frame."""

    def __init__(self) -> None:
        """An empty reply."""
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _add_record(self, form: str, *values: Any) -> None:
        self.records.append(struct.pack(">" + form, *values).ljust(ACTION_SIZE, b"\0"))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        offset = len(self.tail)
        self.tail += data
        return offset, len(data)

    def instance(self, number: int) -> None:
        """The records that follow are of this instance."""
        self._add_record("BH", ACTION_INSTANCE, number)

    def fault(self, text: str) -> None:
        """Report an error inside a courier."""
        self._add_record("BII", ACTION_FAULT, *self._append_to_tail(text.encode()))

    def action(self, action: interface.Action) -> None:
        """Add an action of the current instance."""
        if isinstance(action, interface.Send):
            self._add_record(
                "BIIHI",
                ACTION_SEND,
                action.message,
                action.endpoint >> 16,
                action.endpoint & 0xFFFF,
                min(action.timeout_us, MAX_U32),
            )
        elif isinstance(action, interface.SetTimer):
            self._add_record("BIQ", ACTION_SET_TIMER, min(action.delay_us, MAX_U32), action.token)
        elif isinstance(action, interface.Refuse):
            self._add_record("BII", ACTION_REFUSE, action.message, min(action.retry_after_us, MAX_U32))
        elif isinstance(action, interface.Fail):
            self._add_record("BI", ACTION_FAIL, action.message)
        elif isinstance(action, interface.Cancel):
            self._add_record("BIB", ACTION_CANCEL, action.message, action.attempt)
        elif isinstance(action, interface.Probe):
            self._add_record("BIH", ACTION_PROBE, action.endpoint >> 16, action.endpoint & 0xFFFF)
        elif isinstance(action, interface.CloseIdle):
            self._add_record("BIH", ACTION_CLOSE_IDLE, action.endpoint >> 16, action.endpoint & 0xFFFF)
        elif isinstance(action, interface.SendNote):
            self._add_record(
                "BIII",
                ACTION_SEND_NOTE,
                ALL_PEERS if action.peer is None else action.peer,
                *self._append_to_tail(action.data),
            )
        elif isinstance(action, interface.Log):
            self._add_record("BII", ACTION_LOG, *self._append_to_tail(action.text.encode()))
        elif isinstance(action, interface.Subscribe):
            self._add_record("BB", ACTION_SUBSCRIBE, int(action.on))
        elif isinstance(action, interface.FetchList):
            self._add_record("B", ACTION_FETCH_LIST)
        # Keep and OpenIdle have no record: the simulator opens and keeps connections by itself.

    def pack(self, sequence: int) -> bytes:
        """The whole frame."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(sequence, len(self.records), len(body)) + body
