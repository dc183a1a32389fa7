"""The policy that this courier goes by: the fleet's where it has one, on top of the courier's own file.

Before a call is begun or a message taken on, `may_act` is asked. Where it says no the module begins nothing,
what is held gets its answers in time, and clients wait a moment or are told to come again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from hopmill import book as policy_history
from hopmill import interface as i
from hopmill import logs, overlay
from hopmill.document import Document
from hopmill.fields import ConfigError
from hopmill.fleet.wire import Sums
from hopmill.net.clients import Reply
from hopmill.net.put import Put
from hopmill.net.intake import refusal
from hopmill.net.peers import Peers, elapsed_us
from hopmill.net.resp import MAX_REQUEST

if TYPE_CHECKING:
    from hopmill.net.host import Host

WAIT_S = 0.5  # clients wait so long for a change to be over; from then on they are told to come again
HELD_SHARE = 1 / 2  # of the memory, for messages that are held, each as long as the longest
NOTHING = policy_history.PolicyHistory().encode()  # the policy of a fleet that has made no change
log = logs.part("fleet")


class InForce:
    """One owner of what is in force here."""

    def __init__(self, host: Host, document: Document) -> None:
        self.host, self.document = host, document
        self.peers: Peers | None = None
        self.governed = bool(host.config.members and host.config.members.policy)
        self.own = host.s  # as this courier's file has them
        self.history = policy_history.PolicyHistory()
        self.applied = -1  # the version that the module goes by
        self.left_out: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()  # endpoints, zones
        self.trouble = ""  # why the version in force can't be taken here
        self.holding = self.governed
        self.held_at = host.loop.time()
        self.waiting: list[tuple[Put, Reply, float]] = []

    # Whether this courier may act

    def may_act(self) -> bool:
        """To be asked as near to the act as can be."""
        if not self.governed:
            return True
        govern = self.peers and self.peers.node.govern
        return (
            bool(govern)
            and self.applied == govern.standing.version
            and govern.standing.held(elapsed_us()) >= 0
        )

    def wait(self, put: Put, reply: Reply) -> None:
        """A message that came while nothing may be taken on."""
        now = self.host.loop.time()
        if not self.holding:  # found out by the message itself
            self._hold(True)
        if now - self.held_at >= WAIT_S or len(self.waiting) >= self.host.s.max_held:
            reply.send(refusal(self.host.courier.come_back_us()))
            return
        if not self.waiting:
            self.host.loop.call_later(WAIT_S, self._turn_away)
        self.waiting.append((put, reply, now))

    def _turn_away(self) -> None:
        due = self.host.loop.time() - WAIT_S
        while self.waiting and (self.waiting[0][2] <= due or not self.holding):
            self.waiting.pop(0)[1].send(refusal(self.host.courier.come_back_us()))
        if self.waiting:
            self.host.loop.call_later(max(0.001, self.waiting[0][2] - due), self._turn_away)

    def turn_all_away(self) -> None:
        """This process hands over."""
        for _, reply, _ in self.waiting:
            reply.send(refusal(self.host.courier.come_back_us()))
        self.waiting.clear()

    def _hold(self, on: bool) -> None:
        if on is self.holding:
            return
        self.holding = on
        if on:
            self.held_at = self.host.loop.time()
        log.info("fleet.standing", may_act=not on, version=self.applied)
        self.host.act(i.Hold(on))
        if not on:
            waiting, self.waiting, now = self.waiting, [], self.host.loop.time()
            for put, reply, at in waiting:
                if reply.wanted:
                    left = max(1, put.life_ms - round((now - at) * 1e3))
                    self.host.intake.put(dataclasses.replace(put, life_ms=left), reply)

    # What is in force

    def first(self) -> list[i.Event]:
        """For the first turn: the file's own, and nothing begun before the fleet has been heard."""
        blank = Document(classes=self.document.classes)
        events: list[i.Event] = [i.Hold(True)] if self.governed else []
        if (self.document.left_out, self.document.ceilings) != (blank.left_out, blank.ceilings):
            events.append(self._event(self.document))
        return events

    def join(self, peers: Peers) -> None:
        self.peers = peers
        if self.governed:
            peers.look = self.look
            govern = peers.node.govern
            assert govern is not None
            govern.watch.counts = lambda: Sums(*self.host.observer.sums)
            self.host.observer.counting = True
            self.look()

    def look(self) -> None:
        """Something may have changed: the version in force, a change to check, the lease."""
        govern = self.peers and self.peers.node.govern
        if not govern:
            return
        p, held, me = govern.register.document.policy, govern.texts.held, govern.me
        change, version, digest = p.change, p.version_for(me), p.digest_for(me)
        if version != self.applied and (not digest or digest in held):
            self._take(version, held.get(digest, NOTHING))
            if self.applied == version:
                govern.standing.set_up_for(version)
                self.peers._pump()
                return
        if change and change.id != govern.standing.ready and (not change.digest or change.digest in held):
            why = self.against(held.get(change.digest, NOTHING))
            log.info("fleet.policy_checked", change=change.id, by=change.by, why=why or None)
            govern.standing.judged(change.id, why)
            self.peers._pump()
            return
        self._hold(not self.may_act())

    def against(self, text: bytes) -> str:
        """Why this courier can't go by it, "" if it can."""
        try:
            self._read(text)
        except (ConfigError, policy_history.UnreadableHistoryError, ValueError) as error:
            return str(error) or "unreadable"
        return ""

    def _read(self, text: bytes) -> tuple[policy_history.PolicyHistory, Document]:
        history = policy_history.decode(text)
        document = overlay.apply(self.document, history.values)
        need, room = document.held * MAX_REQUEST, int(self.host.config.memory_bytes * HELD_SHARE)
        if document.held > self.document.held and need > room:
            raise ConfigError(f"held: {document.held} messages may take {need >> 20} MiB, room {room >> 20}")
        for zone in document.left_out.zones:
            self.host.roster.zone(zone)
        return history, document

    def _take(self, version: int, text: bytes) -> None:
        """All of it reaches the module as one event."""
        try:
            history, document = self._read(text)
        except (ConfigError, policy_history.UnreadableHistoryError, ValueError) as error:
            if self.trouble != str(error):
                self.trouble = str(error)
                log.error("fleet.policy_not_taken", version=version, error=error)
            return
        changes = sum(
            1
            for path in {*self.history.values, *history.values}
            if self.history.values.get(path) != history.values.get(path)
        )
        self.trouble, self.history, self.applied = "", history, version
        self.host.act(self._event(document))
        log.info("fleet.policy", version=version, fields=len(history.values), changed=changes)
        self.reloaded(self.document)

    def _event(self, document: Document) -> i.PolicySet:
        before, after = self.document.settings(), document.settings()
        changed = {
            f.name: getattr(after, f.name)
            for f in dataclasses.fields(after)
            if getattr(after, f.name) != getattr(before, f.name)
        }
        host = self.host
        settings = dataclasses.replace(self.own, **changed) if changed else self.own
        host.s = host.roster.s = host.observer.s = settings
        self.left_out = frozenset(document.left_out.endpoints), frozenset(document.left_out.zones)
        endpoints, zones = (
            {*self.left_out[0], *host.journal.out_by_hand},
            {*self.left_out[1], *host.journal.zones_out},
        )
        return i.PolicySet(
            settings,
            frozenset(map(host.roster.number, sorted(endpoints))),
            frozenset(map(host.roster.zone, sorted(zones))),
            {c.partner: (c.window, c.rate_per_s) for c in document.ceilings},
        )

    def reloaded(self, document: Document) -> None:
        """What the file on this machine says otherwise does not hold."""
        if paths := [*overlay.overridden_paths(document, self.history.values)]:
            log.warning("fleet.policy_prevails", paths=",".join(paths))

    def status(self) -> dict[str, Any]:
        return {
            "applied": self.applied,
            "may_act": self.may_act(),
            "trouble": self.trouble,
            "values": self.history.values,
            "waiting_clients": len(self.waiting),
        }
