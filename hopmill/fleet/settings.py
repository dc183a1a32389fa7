"""`[members]`: the couriers of a fleet and how they communicate. Off unless it names a fleet."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

from hopmill.fields import Positive, Strict

Id = Annotated[str, msgspec.Meta(min_length=1, max_length=20, pattern="^[A-Za-z0-9_.-]+$")]
Place = Annotated[str, msgspec.Meta(max_length=32)]
Drift = Annotated[float, msgspec.Meta(ge=0, le=0.1)]
VOTERS = (1, 3, 5)
MAX_MEMBERS = 2000  # known to one member; further names are counted and dropped
ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class Other(Strict, kw_only=True):
    """Another courier of the fleet."""

    id: Id
    address: str  # IPv4 HOST:PORT where it receives datagrams
    zone: Place = ""
    region: Place = ""


class PolicyRule(Strict, kw_only=True):
    """`[members.policy]`: the fleet has one policy.

    `alone` says what a courier does that holds no lease on it; docs/operations.md tells what each choice
    costs.
    """

    alone: Literal["hold", "last"]


class Members(Strict, kw_only=True):
    """This courier and the other members. Times count elapsed time on this machine (CLOCK_BOOTTIME)."""

    fleet: Id
    id: Id
    address: str  # IPv4 HOST:PORT; a socket is bound there
    zone: Place = ""
    region: Place = ""
    others: tuple[Other, ...] = ()
    voters: tuple[Id, ...]  # of a new fleet; later the register's document names them
    leases: tuple[Id, ...] = ()  # that this courier tries to hold
    period_ms: Positive = 100.0  # between two probes of other members
    probe_ms: Positive = 180.0  # a member that does not answer for so long is suspected
    patience_ms: Positive = 2250.0  # a member that is suspected for so long is declared dead
    lease_ms: Positive = 3000.0
    policy: PolicyRule | None = None  # none: each courier applies its own file
    drift: Drift = 0.01  # elapsed clocks of two machines drift apart by at most this share


def problems(members: Members) -> Iterator[str]:
    """Invalid relations of fields, one line each."""
    ids = [members.id, *(o.id for o in members.others)]
    for index, other in enumerate(members.others):
        if other.id in ids[: index + 1]:
            yield f"members.others[{index}].id: {other.id!r} is there twice"
        if not ADDRESS.match(other.address):
            yield f"members.others[{index}].address: must be an IPv4 HOST:PORT, not {other.address!r}"
    if not ADDRESS.match(members.address):
        yield f"members.address: must be an IPv4 HOST:PORT, not {members.address!r}"
    if len(set(members.voters)) not in VOTERS or len(set(members.voters)) != len(members.voters):
        yield "members.voters: must be one, three or five different members"
    for index, voter in enumerate(members.voters):
        if voter not in ids:
            yield f"members.voters[{index}]: no such member: {voter!r}"
    if members.probe_ms <= members.period_ms:
        yield "members.probe_ms: must be over period_ms"


def warnings(members: Members) -> Iterator[str]:
    """What works, but loses the register when one zone fails."""
    zone = {members.id: members.zone} | {o.id: o.zone for o in members.others}
    for name, count in Counter(zone[v] for v in members.voters if v in zone).items():
        if len(members.voters) > 1 and count > len(members.voters) // 2:
            yield f"members.voters: zone {name!r} holds a majority of them"
