"""The MSG.PUT command, by which clients submit a message."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from hopmill.net.resp import MAX_BODY_BYTES

PRINTABLE = re.compile(rb"[\x21-\x7e]{1,256}")
MAX_FIELDS_BYTES, MAX_FIELDS = 4096, 64  # of the names and values of a message
MAX_DESTINATION = 0xFFFF  # destinations have 16 bits


class BadRequestError(ValueError):
    """A request is invalid; the text is sent to the client after -ERR."""


@dataclass(frozen=True)
class Put:
    """The arguments of MSG.PUT."""

    id: str
    order_key: int  # shared by messages of an ordered class that are kept in order, 0 for none
    class_name: str
    tenant_name: str | None
    lifetime_ms: int  # until it expires
    destination: int
    idempotency_key: str  # "" if there is none
    resubmitted: bool  # the client marked it as a repeat
    body: bytes


def _parse_number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise BadRequestError(f"{name}: must be a whole number")
    return int(value)


def _parse_fields(encoded: bytes) -> dict[str, str]:
    """Return the values by name. The work for any request is bounded."""
    if len(encoded) > MAX_FIELDS_BYTES:
        raise BadRequestError(f"fields: over {MAX_FIELDS_BYTES} bytes")
    if encoded.count(b",") >= MAX_FIELDS:
        raise BadRequestError(f"fields: over {MAX_FIELDS}")
    try:
        return dict(pair.split("=", 1) for pair in encoded.decode().split(",") if pair)
    except ValueError:
        raise BadRequestError("fields: must be name=value, with commas between") from None


def hash_order_key(text: bytes) -> int:
    """Return a 64-bit number for any text, the same in every process; 0 for zeros, which stand for no key."""
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def parse_put(arguments: list[bytes]) -> Put:
    """Parse the arguments of MSG.PUT: order key, id, fields, body. Raises BadRequestError."""
    if len(arguments) != 4:
        raise BadRequestError("wrong number of arguments for 'MSG.PUT'")
    order, message_id, encoded_fields, body = arguments
    if not PRINTABLE.fullmatch(message_id):
        raise BadRequestError("id: must be printable characters")
    if len(body) > MAX_BODY_BYTES:
        raise BadRequestError("body: over 65536 bytes")
    fields = _parse_fields(encoded_fields)
    idempotency_key = fields.get("k", "")
    if idempotency_key and not PRINTABLE.fullmatch(idempotency_key.encode()):
        raise BadRequestError("k: must be printable characters")
    if "c" not in fields:
        raise BadRequestError("c: lacks")
    destination = _parse_number(fields, "dest")
    if destination > MAX_DESTINATION:
        raise BadRequestError(f"dest: over {MAX_DESTINATION}")
    return Put(
        message_id.decode(),
        hash_order_key(order),
        fields["c"],
        fields.get("t"),
        _parse_number(fields, "d"),
        destination,
        idempotency_key,
        fields.get("r") == "1",
        body,
    )
