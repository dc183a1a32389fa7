"""Membership: SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar and others, 2018).

In each period one other member is pinged. If it does not answer, it is pinged again and through others; if it
still does not answer, it is suspected, and a suspected member may refute that with a later incarnation. A
suspicion lasts shorter the more members share it. A member whose own probes fail assumes that it is itself at
fault and gives the others more time. Updates are piggybacked on datagrams, those sent least often first, each
a number of times that grows with the logarithm of the fleet's size.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from hopmill.fleet.actions import Send
from hopmill.fleet.settings import MAX_MEMBERS, Members
from hopmill.fleet.wire import Ack, IndirectPing, MemberUpdate, Ping, ProbeFailed, encode

ALIVE, SUSPECT, DEAD, LEFT = range(4)  # ordered: a later state overrides at equal incarnation
STATES = ("alive", "suspect", "dead", "left")
INDIRECT_PROBES = 3  # members asked to ping a silent one
MAX_CONFIRMATIONS = 3  # members beyond the first that share a suspicion, after which it is shortest
UNCONFIRMED_FACTOR = 2.0  # how much longer a suspicion lasts that no other member shares
MAX_HEALTH_SCORE = 8
GOSSIP_FACTOR = 3  # an update is sent so many times the logarithm of the fleet's size
RANDOM_UPDATES = 2  # random members added to a datagram with room, so that a partition heals
MAX_QUEUED_UPDATES = 12  # recent updates in a datagram
FEW_UPDATES = 8  # a datagram with fewer also gets random members and the sender
DEAD_PROBE_EVERY = 8  # one probe in so many goes to a dead member
FORGET_DEAD_US = 60_000_000  # then a dead member is forgotten, unless it is configured
MAX_RELAYS = 256  # open pings for other members


@dataclass
class Peer:
    """What is known of a member."""

    id: str
    address: str
    zone: str
    region: str
    is_configured: bool  # named in the own configuration
    state: int = DEAD
    incarnation: int = 0  # 0: configured, not heard of yet; -1: new, replaced by the first update
    state_since: int = 0  # us
    last_datagram_at: int = 0  # us, of its last datagram
    suspected_by: set[str] = field(default_factory=set)

    def to_update(self) -> MemberUpdate:
        """Return the gossip about this member."""
        return MemberUpdate(
            self.id,
            self.state,
            self.incarnation,
            self.address,
            self.zone,
            self.region,
            min(self.suspected_by, default=""),
        )


@dataclass
class Probe:
    """A ping that waits for its answer."""

    target: str
    sent_at: int  # us
    is_indirect: bool = False  # helpers were asked
    nack_count: int = 0  # helpers that reported that they got no answer either (nack of Lifeguard)
    helper_count: int = 0  # members asked to ping the target


@dataclass(frozen=True)
class MemberChange:
    """A change of a member's state; why says by whose report."""

    id: str
    state: str
    was: str
    incarnation: int
    why: str


class Swim:
    """Times are us of this member's elapsed clock. `outbox` gathers messages, `changes` changes of state."""

    def __init__(
        self,
        members: Members,
        incarnation: int,
        rng: random.Random,
        next_incarnation: Callable[[int], int],
    ) -> None:
        """next_incarnation: one above the given, never used before; 0 while none is available."""
        self.settings, self.rng, self.next_incarnation = members, rng, next_incarnation
        self.me = Peer(members.id, members.address, members.zone, members.region, True, ALIVE, incarnation)
        self.peers = {o.id: Peer(o.id, o.address, o.zone, o.region, True) for o in members.others}
        # period_us: between two probes, and for the ack of the direct ping. probe_timeout_us: for a whole
        # probe, its indirect pings included.
        self.period_us, self.probe_timeout_us = int(members.period_ms * 1e3), int(members.probe_ms * 1e3)
        self.suspicion_us = int(members.patience_ms * 1e3)
        self.health_score = 0  # local health of Lifeguard: 0 is healthy, failed probes raise it
        self.seq = 0  # of the last ping
        self.probes: dict[int, Probe] = {}  # by seq of the ping
        self.relays: dict[int, tuple[str, int, int]] = {}  # by own seq: (member that asked, its seq, us)
        self.probe_order: list[str] = []
        self.probe_count = 0
        self.next_probe_at = 0
        self.gossip_counts: dict[str, int] = {}  # by member: how often its update was sent
        self.encoded_updates: dict[str, bytes] = {}
        self.suspects: set[str] = set()
        self.outdated_senders: set[str] = set()  # used an earlier incarnation than is known
        self.outbox: list[Send] = []
        self.changes: list[MemberChange] = []
        # Datagrams and updates, by reason. "of the gone": about an unknown member that is dead or has left.
        self.dropped: Counter[str] = Counter()
        self.is_leaving = False
        self.live_count = 1  # alive or suspected members, this one included

    def start(self, now: int) -> None:
        """Announce this member to some others."""
        self.next_probe_at = now + self.rng.randrange(self.period_us)
        self._enqueue_update(self.me)
        for peer in self._sample(list(self.peers), INDIRECT_PROBES):
            self._ping(peer, now)

    # State

    def is_alive(self, name: str) -> bool:
        """Return whether the member is this one, alive or suspected."""
        return name == self.me.id or (p := self.peers.get(name)) is not None and p.state in (ALIVE, SUSPECT)

    def address(self, name: str) -> str:
        """Return where the member receives datagrams, "" if that is not known."""
        return p.address if (p := self.peers.get(name)) else ""

    def on_datagram(self, sender: str, incarnation: int, updates: list[MemberUpdate], now: int) -> bool:
        """Handle sender and updates.

        Return False if the datagram is to be dropped: its sender is unknown or its incarnation outdated.
        """
        for update in updates:
            self._on_update(update, now, sender)
        peer = self.peers.get(sender)
        if peer is None or sender == self.me.id:
            self.dropped["unknown" if peer is None else "own name"] += 1
            return False
        if incarnation < peer.incarnation:
            self.dropped["old incarnation"] += 1
            # It may have lost its state directory. The ping carries what is known of it, so that it chooses
            # an incarnation above the earlier one.
            if sender not in self.outdated_senders:
                self.outdated_senders.add(sender)
                self._ping(sender, now)
            return False
        self.outdated_senders.discard(sender)
        if incarnation > peer.incarnation:
            self._set_state(peer, ALIVE, incarnation, "its own datagram", now)
        peer.last_datagram_at = now
        return True

    def _on_update(self, update: MemberUpdate, now: int, sender: str) -> None:
        """Apply gossip; refute what is said of this member itself."""
        if update.id == self.me.id:
            own_incarnation = self.me.incarnation
            if not self.is_leaving and (
                update.incarnation > own_incarnation
                or update.state != ALIVE
                and update.incarnation == own_incarnation
            ):
                self._refute(update.incarnation)
            return
        peer = self.peers.get(update.id)
        if peer is None:
            if len(self.peers) >= MAX_MEMBERS or update.state in (DEAD, LEFT):
                self.dropped["full" if update.state in (ALIVE, SUSPECT) else "of the gone"] += 1
                return
            peer = self.peers[update.id] = Peer(
                update.id, update.address, update.zone, update.region, False, incarnation=-1
            )
        if update.incarnation > peer.incarnation and not peer.is_configured:  # the address may have changed
            peer.address, peer.zone, peer.region = update.address, update.zone, update.region
        # A later incarnation overrides; at an equal one, a later state does.
        if (update.incarnation, update.state) > (peer.incarnation, peer.state):
            self._set_state(peer, update.state, update.incarnation, update.suspected_by or sender, now)
        elif (update.incarnation, update.state) == (peer.incarnation, SUSPECT):
            self._confirm(peer, update.suspected_by)

    def _confirm(self, peer: Peer, by: str) -> None:
        """Count and gossip one more member that suspects it, at most MAX_CONFIRMATIONS beyond the first."""
        if by and by not in peer.suspected_by and len(peer.suspected_by) <= MAX_CONFIRMATIONS:
            peer.suspected_by.add(by)
            self._enqueue_update(peer, by)

    def _set_state(self, peer: Peer, state: int, incarnation: int, why: str, now: int) -> None:
        previous_state, peer.state, peer.incarnation = peer.state, state, incarnation
        self.live_count += (state <= SUSPECT) - (previous_state <= SUSPECT)
        peer.suspected_by = {why} if state in (SUSPECT, DEAD) else set()
        self.suspects.discard(peer.id)
        if state == SUSPECT:
            self.suspects.add(peer.id)
        if previous_state != state:
            peer.state_since = now
            self.changes.append(
                MemberChange(peer.id, STATES[state], STATES[previous_state], incarnation, why)
            )
        elif state == SUSPECT:
            peer.state_since = now
        self._enqueue_update(peer)

    def _refute(self, incarnation: int) -> None:
        next_incarnation = self.next_incarnation(incarnation)
        if next_incarnation:
            self.me.incarnation = next_incarnation
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            self._enqueue_update(self.me)
            live_members = [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
            for name in self._sample(live_members, INDIRECT_PROBES):
                self.seq += 1
                self.outbox.append(Send(name, Ping(self.seq, name)))

    # Timer

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        for seq, probe in list(self.probes.items()):
            waited_us = now - probe.sent_at
            if waited_us >= self.probe_timeout_us * (1 + self.health_score):
                del self.probes[seq]
                self._on_probe_failed(probe, now)
            elif waited_us >= self._ack_timeout_us() and not probe.is_indirect:
                self._probe_indirectly(seq, probe)
        for seq, (asker, asker_seq, at) in list(self.relays.items()):
            if now - at >= self._ack_timeout_us():
                del self.relays[seq]
                self.outbox.append(Send(asker, ProbeFailed(asker_seq)))
        for name in list(self.suspects):
            peer = self.peers[name]
            if now - peer.state_since >= self._suspicion_timeout_us(peer):
                who = ",".join(sorted(peer.suspected_by))
                self._set_state(peer, DEAD, peer.incarnation, f"silent; suspected by {who}", now)
                peer.suspected_by = {self.me.id}
        if now >= self.next_probe_at:
            self.next_probe_at = max(now, self.next_probe_at + self.period_us * (1 + self.health_score))
            self._probe(now)
        return min(
            [
                self.next_probe_at,
                *(
                    p.sent_at
                    + (
                        self._ack_timeout_us()
                        if not p.is_indirect
                        else self.probe_timeout_us * (1 + self.health_score)
                    )
                    for p in self.probes.values()
                ),
                *(
                    self.peers[name].state_since + self._suspicion_timeout_us(self.peers[name])
                    for name in self.suspects
                ),
            ]
        )

    def on_stall(self, stall_us: int) -> None:
        """Handle that this process did not run for `stall_us`: drop open probes and extend suspicions."""
        self.probes.clear()
        self.relays.clear()
        for name in self.suspects:
            self.peers[name].state_since += stall_us
        self.next_probe_at += stall_us

    def _ack_timeout_us(self) -> int:
        """Return how long the ack of a direct ping may take before others are asked to ping."""
        return self.period_us * (1 + self.health_score)

    def _suspicion_timeout_us(self, peer: Peer) -> int:
        """Return how long a suspicion lasts: shorter the more members share it, as in Lifeguard."""
        # Not counted: this member, the suspected one, and the one that suspected it first.
        limit = min(MAX_CONFIRMATIONS, self.live_count - 3)
        if limit <= 0:
            return self.suspicion_us
        share = math.log(min(limit, len(peer.suspected_by) - 1) + 1) / math.log(limit + 1)
        return int(self.suspicion_us * (UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1) * share))

    def _probe(self, now: int) -> None:
        self.probe_count += 1
        if self.probe_count % DEAD_PROBE_EVERY == 0:
            dead_peers = [p for p in self.peers.values() if p.state == DEAD]
            for peer in dead_peers:
                if not peer.is_configured and now - peer.state_since > FORGET_DEAD_US:
                    self._forget(peer.id)
            if dead_peers:
                self._ping(self.rng.choice(dead_peers).id, now)
            for peer in [p for p in self.peers.values() if p.state == LEFT and not p.is_configured]:
                if now - peer.state_since > FORGET_DEAD_US:
                    self._forget(peer.id)
        while True:
            if not self.probe_order:
                self.probe_order = [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    if self.peers:  # no other is alive: try any that is known
                        self._ping(self.rng.choice(list(self.peers)), now)
                    return
            target = self.probe_order.pop()
            if self.is_alive(target):
                break
        seq = self._ping(target, now)
        self.probes[seq] = Probe(target, now)

    def _forget(self, name: str) -> None:
        self.live_count -= self.peers[name].state <= SUSPECT
        for table in (self.peers, self.gossip_counts, self.encoded_updates):
            table.pop(name, None)
        self.suspects.discard(name)
        self.outdated_senders.discard(name)

    def _ping(self, target: str, now: int) -> int:
        self.seq += 1
        self.outbox.append(Send(target, Ping(self.seq, target)))
        return self.seq

    def _probe_indirectly(self, seq: int, probe: Probe) -> None:
        """Ping once more, and through others: only the direct path may be broken."""
        probe.is_indirect = True
        self.outbox.append(Send(probe.target, Ping(seq, probe.target)))
        alive = [p.id for p in self.peers.values() if p.state == ALIVE and p.id != probe.target]
        for helper in self._sample(alive, INDIRECT_PROBES):
            probe.helper_count += 1
            self.outbox.append(Send(helper, IndirectPing(seq, probe.target)))

    def _on_probe_failed(self, probe: Probe, now: int) -> None:
        if probe.nack_count < probe.helper_count or not probe.helper_count:
            # Helpers that do not answer either suggest that this member is at fault.
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        peer = self.peers.get(probe.target)
        if peer and peer.state == ALIVE and peer.last_datagram_at <= probe.sent_at:
            self._set_state(peer, SUSPECT, peer.incarnation, self.me.id, now)
        elif peer and peer.state == SUSPECT:
            self._confirm(peer, self.me.id)

    # Datagrams

    def receive(self, sender: str, body: Ping | Ack | IndirectPing | ProbeFailed, now: int) -> None:
        """Handle a message of the membership protocol."""
        if isinstance(body, Ping):
            if body.target == self.me.id:
                self.outbox.append(Send(sender, Ack(body.seq)))
        elif isinstance(body, IndirectPing):
            if len(self.relays) < MAX_RELAYS and body.target in self.peers:
                seq = self._ping(body.target, now)
                self.relays[seq] = sender, body.seq, now
        elif isinstance(body, Ack):
            if relay := self.relays.pop(body.seq, None):
                self.outbox.append(Send(relay[0], Ack(relay[1])))
            elif self.probes.pop(body.seq, None):
                self.health_score = max(0, self.health_score - 1)
        elif body.seq in self.probes:
            self.probes[body.seq].nack_count += 1

    def live_members(self) -> list[str]:
        """Return all others that are alive or suspected and have been heard of (incarnation above 0)."""
        return [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT) and p.incarnation > 0]

    def leave(self) -> None:
        """Announce a planned stop to some members, which pass it on."""
        self.is_leaving, self.me.state = True, LEFT
        self._enqueue_update(self.me)
        for name in self._sample(
            [p.id for p in self.peers.values() if p.state == ALIVE], 2 * INDIRECT_PROBES
        ):
            self.seq += 1
            self.outbox.append(Send(name, Ping(self.seq, name)))

    def _sample(self, names: list[str], limit: int) -> list[str]:
        return self.rng.sample(names, min(limit, len(names)))

    # Gossip

    def _enqueue_update(self, peer: Peer, by: str = "") -> None:
        update = peer.to_update()
        if by:
            update = msgspec.structs.replace(update, suspected_by=by)
        self.gossip_counts[peer.id], self.encoded_updates[peer.id] = 0, encode(update)

    def updates_for(self, receiver: str) -> list[bytes]:
        """Return the gossip for a datagram: first the receiver's state, unless it is known to be alive."""
        rows = []
        peer = self.peers.get(receiver)
        if peer and (peer.state in (SUSPECT, DEAD) or receiver in self.outdated_senders) and peer.incarnation:
            rows.append(encode(peer.to_update()))
        limit = GOSSIP_FACTOR * math.ceil(math.log2(self.live_count + 2))
        for name in heapq.nsmallest(
            MAX_QUEUED_UPDATES, self.gossip_counts, key=self.gossip_counts.__getitem__
        ):
            rows.append(self.encoded_updates[name])
            self.gossip_counts[name] += 1
            if self.gossip_counts[name] >= limit:
                del self.gossip_counts[name]
        if len(rows) < FEW_UPDATES and self.peers:
            names = self._sample(list(self.peers), RANDOM_UPDATES)
            rows += [encode(p.to_update()) for p in map(self.peers.__getitem__, names) if p.incarnation > 0]
            rows.append(encode(self.me.to_update()))
        return rows
