"""An upgrade, from both sides: what this process passes to the next, and what it goes on with from the last.

docs/operations.md has the steps.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill import interface as i
from hopmill import logs
from hopmill.net.calls import CallItem
from hopmill.net.upgrade import Cargo, Link, NotHandedOver, Owner, hand_over

if TYPE_CHECKING:
    from hopmill.net.host import Host

FORMAT = 1  # of what an upgrade hands over; one that is not known counts as nothing
LAST_TURNS = 5  # taken before a hand-over, until nothing has come in
AGAIN_S = 1.0  # after one that failed, until the next is tried: the loop stands still in each
SPARE_FDS = 24  # what a new process has open before it is given anything
log = logs.part("courier")


class HandOver:
    """The host's parts, packed for the next process or unpacked from the one before."""

    def __init__(self, host: Host, owner: Owner, cargo: Cargo | None) -> None:
        """owner: the right to act on the journal; cargo: what came with it from the process before."""
        self.host, self.owner, self.cargo = host, owner, cargo or Cargo()
        if self.cargo.values.get("format") != FORMAT:
            self.cargo.close()
            self.cargo = Cargo()
        self.link: Link | None = None
        self.handing_over: asyncio.Task[None] | None = None
        self.no_upgrade_until = 0.0
        self.leave: Callable[[], None] = lambda: os._exit(0)  # at once: what is open belongs to another now

    @property
    def carried(self) -> dict[str, Any]:
        """What the process before has handed over; empty if there was none."""
        return self.cargo.values

    def close(self) -> None:
        if self.link:
            self.host.loop.remove_reader(self.link.sock)
            self.link.close()
        self.owner.close()

    def offer(self) -> None:
        try:
            self.link = Link(self.owner.folder)
        except OSError as error:  # it serves all the same; an upgrade then waits for its end
            log.error("upgrade.not_offered", error=error)
            return
        self.host.loop.add_reader(self.link.sock, self._asked_to_hand_over)

    def _asked_to_hand_over(self) -> None:
        sock = self.link.accept() if self.link else None
        if sock is None:
            return
        if self.handing_over or self.host.loop.time() < self.no_upgrade_until:
            sock.close()  # it asks again
        else:
            self.handing_over = self.host.loop.create_task(self._hand_over(sock))

    async def _hand_over(self, sock: socket.socket) -> None:
        host = self.host
        began = host.loop.time()
        acceptors = [
            *host.operator_server.acceptors,
            *([host.clients.acceptor] if host.clients.listening else []),
        ]
        for acceptor in acceptors:
            acceptor.stop()
        try:
            while any(acceptor.joining for acceptor in acceptors):  # none is taken that nobody reads
                await asyncio.sleep(0)
            for _ in range(LAST_TURNS):  # those that end calls unsent make events anew
                if host.events or host.intake.arrived:
                    host.turn()
            # From here on the loop stands still: nothing else happens in this process.
            hand_over(sock, self._cargo(), self.owner, self.leave)
        except NotHandedOver as error:
            log.error("upgrade.not_handed_over", error=error)
        except Exception:  # whatever it was, this process is still the owner
            log.exception("upgrade.not_handed_over")
        sock.close()
        if host.member_transport:
            host.member_transport.thaw()
        self.handing_over, self.no_upgrade_until = None, host.loop.time() + AGAIN_S
        log.warning("upgrade.stood_still", seconds=round(host.loop.time() - began, 3))
        for acceptor in acceptors:
            if acceptor.open:
                acceptor.start()

    def _cargo(self) -> Cargo:
        """What the journal does not hold. Both processes' copies count as open descriptors."""
        host = self.host
        room = host.config.sockets - len(os.listdir("/proc/self/fd")) - SPARE_FDS
        cargo = Cargo({"format": FORMAT})
        cargo.values.update(
            uids=host.registry.uids,
            known={"rev": host.watch.rev, "targets": list(host.registry.targets.values())},
            waits=[[*key, until] for key, until in host.registry.retry_after_until.items()],
            learned=host.courier.carry(),
            returning=self._zones_returning(),
            calls=host.calls.carry(cargo),
            unwritten=host.calls.unwritten(),
            door=host.operator_server.carry(cargo),
            moved=host.moved_to,
        )
        if host.active_policy:
            host.active_policy.refuse_waiting()
        if host.member_transport:
            cargo.values["fleet"] = host.member_transport.freeze() | {
                "socket": cargo.place(host.member_transport.sock.fileno())
            }
        cargo.values["clients"] = host.clients.carry(cargo, max(1, room - len(cargo.fds)))
        cargo.values["idle"] = host.pool.carry_idle(cargo, room - len(cargo.fds))
        return cargo

    def resume(self) -> None:
        """The first turn after an upgrade: the module hears what was learned and which calls are out. What it
        sends then may go over the idle connections, so these have their owner before."""
        carried, host = self.carried, self.host
        host.registry.retry_after_until = {(dest, route): until for dest, route, until in carried["waits"]}
        host.pool.resume_idle(
            [
                (endpoint, tuple(address), self.sock(place), since, self._born(place, since))
                for endpoint, address, place, since, *_ in carried.get("idle", ())
            ]
        )
        host.events += [
            i.ZoneCarried(host.registry.zone(name), since, until)
            for name, since, until in carried.get("returning", ())
        ]
        host.events += [i.Carried(endpoint, figures) for endpoint, figures in carried["learned"]]
        for number in carried["unwritten"]:
            host.note(host.journal.missed, number)
        calls = [
            (endpoint, int(started * 1e6), tuple(n for n, _, ended in items if not ended))
            for endpoint, _, _, started, items, *_ in carried["calls"]
        ]
        host.restore({number for _, _, numbers in calls for number in numbers})
        host.events += [i.CallCarried(*call) for call in calls]
        host.turn()

    def sock(self, place: int) -> socket.socket:
        return socket.socket(fileno=self.cargo.fds[place])

    def _born(self, place: int, since: float) -> float:
        """When a connection was opened, wall clock; the version before told only when it was in use."""
        told = self.cargo.values.get("born", {}).get(place)
        return told if told is not None else time.time() - (self.host.loop.time() - since)

    def resume_connections(self) -> None:
        """Calls, clients and callers go on; after this all of it has its owner."""
        carried, host, sock = self.carried, self.host, self.sock
        if carried["moved"]:
            host.move_discovery((carried["moved"][0], carried["moved"][1]))
        for endpoint, address, place, started, rows, received, *_ in carried["calls"]:
            items = [self._carried_item(*row) for row in rows]
            host.calls.resume(
                endpoint, tuple(address), sock(place), self._born(place, started), started, items, received
            )
        for place, *rest in carried["clients"]:
            host.clients.resume(sock(place), *rest)
        door = carried["door"]
        if door["listening"] is not None:
            host.operator_server.resume(
                sock(door["listening"]), [(sock(p), heard) for p, heard in door["callers"]]
            )
        self.cargo = Cargo()

    def _carried_item(self, number: int, timeout_us: int, ended: bool) -> CallItem:
        m = self.host.journal.held.get(number)
        if m is None:
            return CallItem(number, -1, "", "", b"", timeout_us, True, ended)
        return CallItem(number, m.tries - 1, m.id, m.key, m.body, timeout_us, True, ended)

    def _zones_returning(self) -> list[tuple[str, int, int]]:
        """By name: the next process may number them otherwise."""
        names = {number: name for name, number in self.host.registry.zones.items()}
        return [(names[zone], *span) for zone, span in self.host.courier.zones.back.items()]
