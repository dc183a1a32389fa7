"""Connects a courier to a fleet, if configured.

The modules for it are imported only then, so that a courier without a fleet needs no memory for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hopmill.net.config import Config

if TYPE_CHECKING:
    from hopmill.net.host import Host

FLEET_BYTES = 16_384  # disk space for member state, a partially written file included
TEXTS_BYTES = 200_000  # disk space for policy texts: in force, proposed and partially written


def fleet_bytes(config: Config) -> int:
    """Disk space reserved for the fleet."""
    if config.members is None:
        return 0
    return FLEET_BYTES + (TEXTS_BYTES if config.members.policy else 0)


def apply_policy(host: Host) -> None:
    """Set up the active policy where the fleet, exclusions or ceilings may change the initial settings."""
    document, members = host.config.document, host.config.members
    bounded = document is not None and (
        document.ceilings or document.left_out.endpoints or document.left_out.zones
    )
    if document is None or not (bounded or members and members.policy):
        return
    from hopmill.net.active_policy import ActivePolicy

    host.active_policy = host.operator_actions.active_policy = ActivePolicy(host, document)
    host.events += host.active_policy.initial_events()


def join_fleet(host: Host) -> None:
    """Join the fleet; its files lie beside the journal."""
    if not host.config.members:
        return
    from hopmill.net.member_transport import MemberTransport

    carried = host.handover.carried.get("fleet")
    sock = host.handover.socket_at(carried["socket"]) if carried else None
    host.member_transport = host.operator_actions.member_transport = MemberTransport(
        host.loop, host.config.members, host.handover.ownership.folder, carried, sock
    )
    if host.active_policy:
        host.active_policy.join(host.member_transport)
