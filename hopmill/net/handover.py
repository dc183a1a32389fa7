"""Both sides of an upgrade: what this process hands over, and how it resumes from what it received.

docs/operations.md describes the steps.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill import interface, logs
from hopmill.net.calls import CallItem
from hopmill.net.upgrade import FolderOwnership, HandoverError, HandoverPayload, HandoverSocket, hand_over

if TYPE_CHECKING:
    from hopmill.net.host import Host

PAYLOAD_FORMAT = 1  # version of the payload; one of another format is ignored
MAX_LAST_TURNS = 5  # taken before a hand-over, while there are events
RETRY_INTERVAL_S = 1.0  # after a failed hand-over, since each one blocks the event loop
NEW_PROCESS_FDS = 24  # descriptors that a new process has open before it receives any
log = logs.part("courier")


class Handover:
    """Packs the parts of the host for the next process, or unpacks those of the previous one."""

    def __init__(self, host: Host, ownership: FolderOwnership, payload: HandoverPayload | None) -> None:
        """Keep what the previous process handed over.

        ownership: the right to act on the journal. payload: None if there was no hand-over.
        """
        self.host, self.ownership, self.payload = host, ownership, payload or HandoverPayload()
        if self.payload.values.get("format") != PAYLOAD_FORMAT:
            self.payload.close()
            self.payload = HandoverPayload()
        self.listener: HandoverSocket | None = None
        self.handover_task: asyncio.Task[None] | None = None
        self.no_handover_until = 0.0
        # Ends the process at once, without cleaning up: what is open belongs to the next process.
        self.exit_process: Callable[[], None] = lambda: os._exit(0)

    @property
    def carried(self) -> dict[str, Any]:
        """What the previous process handed over; empty if there was no hand-over."""
        return self.payload.values

    @property
    def is_list_confirmed(self) -> bool:
        """Whether discovery has confirmed the list to the previous process.

        Versions before the field was added handed over confirmed lists only.
        """
        return bool(self.carried) and self.carried.get("confirmed", True)

    def close(self) -> None:
        """Stop listening and give up the ownership of the folder."""
        if self.listener:
            self.host.loop.remove_reader(self.listener.sock)
            self.listener.close()
        self.ownership.close()

    def listen(self) -> None:
        """Listen for a new process that asks to take over."""
        try:
            self.listener = HandoverSocket(self.ownership.folder)
        except OSError as error:  # it serves all the same; an upgrade then has to wait for its exit
            log.error("upgrade.not_offered", error=error)
            return
        self.host.loop.add_reader(self.listener.sock, self._on_request)

    def _on_request(self) -> None:
        sock = self.listener.accept() if self.listener else None
        if sock is None:
            return
        if self.handover_task or self.host.loop.time() < self.no_handover_until:
            sock.close()  # the new process tries again
        else:
            self.handover_task = self.host.loop.create_task(self._hand_over(sock))

    async def _hand_over(self, sock: socket.socket) -> None:
        host = self.host
        began_at = host.loop.time()
        acceptors = [
            *host.operator_server.acceptors,
            *([host.clients.acceptor] if host.clients.is_listening else []),
        ]
        for acceptor in acceptors:
            acceptor.stop()
        try:
            while any(acceptor.pending_joins for acceptor in acceptors):  # must be in the payload
                await asyncio.sleep(0)
            for _ in range(MAX_LAST_TURNS):  # ending unsent calls causes new events
                if host.events or host.intake.arrived:
                    host.turn()
            if host.events or host.intake.arrived:
                raise HandoverError("events are not handled yet")
            if not host.journal.is_complete():
                raise HandoverError("records are owed to the journal")
            # From here on the event loop is blocked: nothing else happens in this process.
            hand_over(sock, self._build_payload(), self.ownership, self.exit_process)
        except HandoverError as error:
            log.error("upgrade.not_handed_over", error=error)
        except Exception:  # this process still owns the folder
            log.exception("upgrade.not_handed_over")
        sock.close()
        if host.member_transport:
            host.member_transport.thaw()
        self.handover_task, self.no_handover_until = None, host.loop.time() + RETRY_INTERVAL_S
        log.warning("upgrade.stood_still", seconds=round(host.loop.time() - began_at, 3))
        for acceptor in acceptors:
            if acceptor.is_open:
                acceptor.start()

    def _build_payload(self) -> HandoverPayload:
        """Return the state that the journal does not hold.

        The copies in both processes count as open descriptors.
        """
        host, learned = self.host, self.host.courier.carried
        free_fds = host.config.sockets - len(os.listdir("/proc/self/fd")) - NEW_PROCESS_FDS
        payload = HandoverPayload({"format": PAYLOAD_FORMAT})
        payload.values.update(
            uids=host.registry.uids,
            last_endpoint_number=host.registry.last_number,
            known={"rev": host.watch.known_revision, "targets": list(host.registry.targets.values())},
            confirmed=host.list_confirmation.is_confirmed,
            list_valid_until=host.watch.freshness.valid_until,
            waits=[[*key, until] for key, until in host.registry.retry_after_until.items()],
            learned=learned.collect(),
            lanes=[dataclasses.astuple(row) for row in learned.collect_lanes()],
            pauses=[dataclasses.astuple(row) for row in learned.collect_order_pauses()],
            ended_in_flight=[dataclasses.astuple(row) for row in learned.collect_ended_in_flight()],
            removed=[[endpoint, *key] for endpoint, key in host.registry.removed_keys.items()],
            returning=self._returning_zones(),
            calls=host.calls.carry(payload),
            unwritten=host.calls.unwritten(),
            door=host.operator_server.carry(payload),
            moved=host.discovery_moved_to,
        )
        if host.active_policy:
            host.active_policy.refuse_waiting()
        if host.member_transport:
            payload.values["fleet"] = host.member_transport.freeze() | {
                "socket": payload.add_descriptor(host.member_transport.sock.fileno())
            }
        payload.values["clients"] = host.clients.carry(payload, max(1, free_fds - len(payload.fds)))
        payload.values["idle"] = host.pool.carry_idle(payload, free_fds - len(payload.fds))
        return payload

    def resume(self) -> None:
        """Take the first turn after an upgrade, with what was learned and which calls are in flight.

        New calls of that turn may use the idle connections, so these are handed to the pool first.
        """
        carried, host = self.carried, self.host
        host.registry.retry_after_until = {(dest, route): until for dest, route, until in carried["waits"]}
        host.registry.removed_keys.update(
            (endpoint, (destination, route)) for endpoint, destination, route in carried.get("removed", ())
        )
        host.pool.resume_idle(
            [
                (endpoint, tuple(address), self.socket_at(fd_index), since, self._opened_at(fd_index, since))
                for endpoint, address, fd_index, since, *_ in carried.get("idle", ())
            ]
        )
        host.events += [
            interface.ZoneCarried(host.registry.zone(name), since, until)
            for name, since, until in carried.get("returning", ())
        ]
        host.events += [interface.OrderPauseCarried(*row) for row in carried.get("pauses", ())]
        for number in carried["unwritten"]:
            host.journal.record_not_run(number)
        calls = [
            self._call_event(endpoint, started, items)
            for endpoint, _, _, started, items, *_ in carried["calls"]
        ]
        in_flight = {number for call in calls for number in call.messages}
        ended = [interface.EndedInFlight(*row) for row in carried.get("ended_in_flight", ())]
        ended = [row for row in ended if row.message in in_flight]
        host.events += [self._arrival_of_ended(row) for row in ended]
        host.restore(in_flight)
        # After the arrivals, which these figures count already.
        host.events += [interface.LaneCarried(*row) for row in carried.get("lanes", ())]
        host.events += [interface.Carried(endpoint, figures) for endpoint, figures in carried["learned"]]
        host.events += calls
        host.events += [interface.MessageGone(row.message) for row in ended]
        host.turn()

    def _call_event(
        self, endpoint: int, started: float, items: list[tuple[int, int, bool]]
    ) -> interface.CallCarried:
        """Return the event for a call that is handed over; the journal knows the zone it was sent to."""
        numbers = tuple(number for number, _, ended in items if not ended)
        messages = self.host.journal.messages
        zones = {messages[number].latest_attempt_zone for number in numbers if number in messages}
        zone = zones.pop() if len(zones) == 1 else ""
        return interface.CallCarried(
            endpoint, int(started * 1e6), numbers, self.host.registry.zone_of_attempt(zone)
        )

    def _arrival_of_ended(self, row: interface.EndedInFlight) -> interface.MessageArrived:
        """Return the event for a message that has ended, and whose call is handed over."""
        message = self.host.journal.messages.get(row.message)  # None: its notice was accepted already
        return interface.MessageArrived(
            row.message,
            row.message_class,
            row.destination,
            self.host.clock(),
            order_key=row.order_key,
            tries=message.attempts if message else 0,
            out=True,
            restored=True,
        )

    def socket_at(self, fd_index: int) -> socket.socket:
        """Return the socket of a received descriptor."""
        return socket.socket(fileno=self.payload.fds[fd_index])

    def _opened_at(self, fd_index: int, since: float) -> float:
        """Return the loop time at which a connection was opened; it is handed over by the wall clock.

        Earlier builds hand over only since when it has been in use or idle.
        """
        opened_at = self.payload.values.get("born", {}).get(fd_index)
        if opened_at is None:
            return since
        return self.host.loop.time() - max(0.0, time.time() - opened_at)

    def resume_connections(self) -> None:
        """Resume calls, clients and calls to the operator API.

        After this every received descriptor has an owner.
        """
        carried, host, socket_at = self.carried, self.host, self.socket_at
        if carried["moved"]:
            host.move_discovery((carried["moved"][0], carried["moved"][1]))
        for endpoint, address, fd_index, started, rows, received, *_ in carried["calls"]:
            items = [self._carried_item(*row) for row in rows]
            host.calls.resume(
                endpoint,
                tuple(address),
                socket_at(fd_index),
                self._opened_at(fd_index, started),
                started,
                items,
                received,
            )
        for fd_index, *rest in carried["clients"]:
            host.clients.resume(socket_at(fd_index), *rest)
        door = carried["door"]
        if door["listening"] is not None:
            host.operator_server.resume(
                socket_at(door["listening"]),
                [(socket_at(fd_index), received) for fd_index, received in door["callers"]],
            )
        self.payload = HandoverPayload()

    def _carried_item(self, number: int, timeout_us: int, ended: bool) -> CallItem:
        message = self.host.journal.messages.get(number)
        if message is None:
            return CallItem(number, -1, "", "", b"", timeout_us, True, ended)
        return CallItem(
            number,
            message.attempts - 1,
            message.id,
            message.idempotency_key,
            message.body,
            timeout_us,
            True,
            ended,
        )

    def _returning_zones(self) -> list[tuple[str, int, int]]:
        """Return the returning zones by name: the next process may number zones differently."""
        names = {number: name for name, number in self.host.registry.zones.items()}
        return [(names[zone], *span) for zone, span in self.host.courier.zones.returning.items()]
