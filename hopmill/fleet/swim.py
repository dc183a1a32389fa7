"""Who is there: SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar and others, 2018).

Each period one other member is pinged; a silent one is pinged again and through others; silent still, it
is suspected, and whoever is suspected may refute it by a later incarnation. A suspicion lasts the shorter the
more members share it, and a member whose own probes fail takes its own hearing for the cause and gives the
others more time. News ride on the datagrams, the least told first, each a number of times that grows with the
logarithm of the fleet.
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
from hopmill.fleet.settings import MOST_MEMBERS, Members
from hopmill.fleet.wire import Ack, News, Ping, PingFor, Unheard, encode

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
HELPERS = 3  # asked to ping a silent member
CONFIRMING = 3  # members that share a suspicion, from which on it is at its shortest
LONGEST = 2.0  # a suspicion that nobody shares lasts so many times as long
WORST = 8  # of a member's own health
TOLD = 3  # times the logarithm of the fleet that a piece of news is told
RANDOM_NEWS = 2  # rows of the table that ride along where there is room, so that a split mends
TRY_DEAD = 8  # one probe in so many goes to a member that is taken for dead
FORGET_US = 60_000_000  # one that is dead and in no configuration is kept in mind so long
MOST_RELAYS = 256


@dataclass
class Peer:
    """What is known of a member."""

    id: str
    address: str
    zone: str
    region: str
    configured: bool
    state: int = DEAD
    incarnation: int = 0
    since: int = 0  # of this state
    heard_at: int = 0  # its last datagram here
    by: set[str] = field(default_factory=set)  # who suspects it

    def news(self) -> News:
        return News(
            self.id,
            self.state,
            self.incarnation,
            self.address,
            self.zone,
            self.region,
            min(self.by, default=""),
        )


@dataclass
class Probe:
    target: str
    sent_at: int
    helped: bool = False
    unheard: int = 0
    helpers: int = 0


@dataclass(frozen=True)
class Changed:
    """A member's state is another now; why says on whose word."""

    id: str
    state: str
    was: str
    incarnation: int
    why: str


class Swim:
    """Times are us of this member's elapsed clock."""

    def __init__(
        self,
        members: Members,
        incarnation: int,
        chance: random.Random,
        next_incarnation: Callable[[int], int],
    ) -> None:
        """next_incarnation: one above the given, never used before; 0 while it can't be had."""
        self.s, self.chance, self.next_incarnation = members, chance, next_incarnation
        self.me = Peer(members.id, members.address, members.zone, members.region, True, ALIVE, incarnation)
        self.peers = {o.id: Peer(o.id, o.address, o.zone, o.region, True) for o in members.others}
        self.period, self.probe_us = int(members.period_ms * 1e3), int(members.probe_ms * 1e3)
        self.patience = int(members.patience_ms * 1e3)
        self.health = 0  # of this member's own hearing: 0 is well
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[str, int, int]] = {}  # own seq: who asked, its seq, when
        self.round: list[str] = []
        self.turns = 0
        self.next_probe = 0
        self.told: dict[str, int] = {}  # of each piece of news, how often it was
        self.packed: dict[str, bytes] = {}
        self.suspects: set[str] = set()
        self.outrun: set[str] = set()  # members that spoke with an earlier incarnation than is known
        self.out: list[Send] = []
        self.changed: list[Changed] = []
        self.dropped: Counter[str] = Counter()
        self.leaving = False
        self.size = 1  # members that are alive or suspected, this one included

    def start(self, now: int) -> None:
        self.next_probe = now + self.chance.randrange(self.period)
        self._tell(self.me)
        for peer in self._some(list(self.peers), HELPERS):
            self._ping(peer, now)

    # What is known

    def is_alive(self, name: str) -> bool:
        return name == self.me.id or (p := self.peers.get(name)) is not None and p.state in (ALIVE, SUSPECT)

    def address(self, name: str) -> str:
        """Where it hears, "" if it is not known."""
        return p.address if (p := self.peers.get(name)) else ""

    def heard(self, sender: str, incarnation: int, news: list[News], now: int) -> bool:
        """A datagram came. False if it is to be dropped: of an earlier incarnation, or from nobody known."""
        for each in news:
            self._news(each, now, sender)
        peer = self.peers.get(sender)
        if peer is None or sender == self.me.id:
            self.dropped["unknown" if peer is None else "own name"] += 1
            return False
        if incarnation < peer.incarnation:
            self.dropped["old incarnation"] += 1
            if sender not in self.outrun:  # perhaps its folder is new: it has to hear of what it once was
                self.outrun.add(sender)
                self._ping(sender, now)
            return False
        self.outrun.discard(sender)
        if incarnation > peer.incarnation:
            self._becomes(peer, ALIVE, incarnation, "its own word", now)
        peer.heard_at = now
        return True

    def _news(self, n: News, now: int, sender: str) -> None:
        if n.id == self.me.id:
            mine = self.me.incarnation
            if not self.leaving and (n.incarnation > mine or n.state != ALIVE and n.incarnation == mine):
                self._refute(n.incarnation)
            return
        peer = self.peers.get(n.id)
        if peer is None:
            if len(self.peers) >= MOST_MEMBERS or n.state in (DEAD, LEFT):
                self.dropped["full" if n.state in (ALIVE, SUSPECT) else "of the gone"] += 1
                return
            peer = self.peers[n.id] = Peer(n.id, n.address, n.zone, n.region, False, incarnation=-1)
        if n.incarnation > peer.incarnation and not peer.configured:  # the name may have moved
            peer.address, peer.zone, peer.region = n.address, n.zone, n.region
        if (n.incarnation, n.state) > (peer.incarnation, peer.state):
            self._becomes(peer, n.state, n.incarnation, n.by or sender, now)
        elif (n.incarnation, n.state) == (peer.incarnation, SUSPECT):
            self._confirm(peer, n.by)

    def _confirm(self, peer: Peer, by: str) -> None:
        """One more suspects it; only so many count, and so many are told."""
        if by and by not in peer.by and len(peer.by) <= CONFIRMING:
            peer.by.add(by)
            self._tell(peer, by)

    def _becomes(self, peer: Peer, state: int, incarnation: int, why: str, now: int) -> None:
        was, peer.state, peer.incarnation = peer.state, state, incarnation
        self.size += (state <= SUSPECT) - (was <= SUSPECT)
        peer.by = {why} if state in (SUSPECT, DEAD) else set()
        self.suspects.discard(peer.id)
        if state == SUSPECT:
            self.suspects.add(peer.id)
        if was != state:
            peer.since = now
            self.changed.append(Changed(peer.id, STATES[state], STATES[was], incarnation, why))
        elif state == SUSPECT:
            peer.since = now
        self._tell(peer)

    def _refute(self, incarnation: int) -> None:
        following = self.next_incarnation(incarnation)
        if following:
            self.me.incarnation = following
            self.health = min(WORST, self.health + 1)
            self._tell(self.me)
            there = [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
            for name in self._some(there, HELPERS):
                self.seq += 1
                self.out.append(Send(name, Ping(self.seq, name)))

    # Time

    def tick(self, now: int) -> int:
        """Returns when to be called again."""
        for seq, probe in list(self.probes.items()):
            waited = now - probe.sent_at
            if waited >= self.probe_us * (1 + self.health):
                del self.probes[seq]
                self._failed(probe, now)
            elif waited >= self._first_wait() and not probe.helped:
                self._help(seq, probe)
        for seq, (asker, theirs, at) in list(self.relays.items()):
            if now - at >= self._first_wait():
                del self.relays[seq]
                self.out.append(Send(asker, Unheard(theirs)))
        for name in list(self.suspects):
            peer = self.peers[name]
            if now - peer.since >= self._patience(peer):
                who = ",".join(sorted(peer.by))
                self._becomes(peer, DEAD, peer.incarnation, f"silent; suspected by {who}", now)
                peer.by = {self.me.id}
        if now >= self.next_probe:
            self.next_probe = max(now, self.next_probe + self.period * (1 + self.health))
            self._probe(now)
        return min(
            [
                self.next_probe,
                *(
                    p.sent_at + (self._first_wait() if not p.helped else self.probe_us * (1 + self.health))
                    for p in self.probes.values()
                ),
                *(self.peers[n].since + self._patience(self.peers[n]) for n in self.suspects),
            ]
        )

    def stood_still(self, late: int) -> None:
        """This process was, for so long: its open probes say nothing, and suspicions wait on."""
        self.probes.clear()
        self.relays.clear()
        for name in self.suspects:
            self.peers[name].since += late
        self.next_probe += late

    def _first_wait(self) -> int:
        return self.period * (1 + self.health)

    def _patience(self, peer: Peer) -> int:
        """Shorter the more members share the suspicion, as Lifeguard's."""
        most = min(CONFIRMING, self.size - 3)
        if most <= 0:
            return self.patience
        share = math.log(min(most, len(peer.by) - 1) + 1) / math.log(most + 1)
        return int(self.patience * (LONGEST - (LONGEST - 1) * share))

    def _probe(self, now: int) -> None:
        self.turns += 1
        if self.turns % TRY_DEAD == 0:
            gone = [p for p in self.peers.values() if p.state == DEAD]
            for peer in gone:
                if not peer.configured and now - peer.since > FORGET_US:
                    self._forget(peer.id)
            if gone:
                self._ping(self.chance.choice(gone).id, now)
            for p in [p for p in self.peers.values() if p.state == LEFT and not p.configured]:
                if now - p.since > FORGET_US:
                    self._forget(p.id)
        while True:
            if not self.round:
                self.round = [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT)]
                self.chance.shuffle(self.round)
                if not self.round:
                    if self.peers:  # alone: those of the configuration may be there
                        self._ping(self.chance.choice(list(self.peers)), now)
                    return
            target = self.round.pop()
            if self.is_alive(target):
                break
        seq = self._ping(target, now)
        self.probes[seq] = Probe(target, now)

    def _forget(self, name: str) -> None:
        self.size -= self.peers[name].state <= SUSPECT
        for kept in (self.peers, self.told, self.packed):
            kept.pop(name, None)
        self.suspects.discard(name)
        self.outrun.discard(name)

    def _ping(self, target: str, now: int) -> int:
        self.seq += 1
        self.out.append(Send(target, Ping(self.seq, target)))
        return self.seq

    def _help(self, seq: int, probe: Probe) -> None:
        """Once more, and through others: it may be the way here that is lost."""
        probe.helped = True
        self.out.append(Send(probe.target, Ping(seq, probe.target)))
        well = [p.id for p in self.peers.values() if p.state == ALIVE and p.id != probe.target]
        for helper in self._some(well, HELPERS):
            probe.helpers += 1
            self.out.append(Send(helper, PingFor(seq, probe.target)))

    def _failed(self, probe: Probe, now: int) -> None:
        if probe.unheard < probe.helpers or not probe.helpers:
            self.health = min(WORST, self.health + 1)  # helpers that are silent too speak against this member
        peer = self.peers.get(probe.target)
        if peer and peer.state == ALIVE and peer.heard_at <= probe.sent_at:
            self._becomes(peer, SUSPECT, peer.incarnation, self.me.id, now)
        elif peer and peer.state == SUSPECT:
            self._confirm(peer, self.me.id)

    # Datagrams

    def receive(self, sender: str, body: Ping | Ack | PingFor | Unheard, now: int) -> None:
        if isinstance(body, Ping):
            if body.target == self.me.id:
                self.out.append(Send(sender, Ack(body.seq)))
        elif isinstance(body, PingFor):
            if len(self.relays) < MOST_RELAYS and body.target in self.peers:
                seq = self._ping(body.target, now)
                self.relays[seq] = sender, body.seq, now
        elif isinstance(body, Ack):
            if asked := self.relays.pop(body.seq, None):
                self.out.append(Send(asked[0], Ack(asked[1])))
            elif self.probes.pop(body.seq, None):
                self.health = max(0, self.health - 1)
        elif body.seq in self.probes:
            self.probes[body.seq].unheard += 1

    def there(self) -> list[str]:
        """All others that are not known to be dead or gone."""
        return [p.id for p in self.peers.values() if p.state in (ALIVE, SUSPECT) and p.incarnation > 0]

    def leave(self) -> None:
        """A planned end: some are told, and pass it on."""
        self.leaving, self.me.state = True, LEFT
        self._tell(self.me)
        for name in self._some([p.id for p in self.peers.values() if p.state == ALIVE], 2 * HELPERS):
            self.seq += 1
            self.out.append(Send(name, Ping(self.seq, name)))

    def _some(self, names: list[str], most: int) -> list[str]:
        return self.chance.sample(names, min(most, len(names)))

    # News

    def _tell(self, peer: Peer, by: str = "") -> None:
        news = peer.news()
        if by:
            news = msgspec.structs.replace(news, by=by)
        self.told[peer.id], self.packed[peer.id] = 0, encode(news)

    def news_for(self, to: str) -> list[bytes]:
        """What to say with a datagram: first what is thought of its receiver, if that is not alive."""
        rows = []
        peer = self.peers.get(to)
        if peer and (peer.state in (SUSPECT, DEAD) or to in self.outrun) and peer.incarnation:
            rows.append(encode(peer.news()))
        most = TOLD * math.ceil(math.log2(self.size + 2))
        for name in heapq.nsmallest(12, self.told, key=self.told.__getitem__):
            rows.append(self.packed[name])
            self.told[name] += 1
            if self.told[name] >= most:
                del self.told[name]
        if len(rows) < 8 and self.peers:
            names = self._some(list(self.peers), RANDOM_NEWS)
            rows += [encode(p.news()) for p in map(self.peers.__getitem__, names) if p.incarnation > 0]
            rows.append(encode(self.me.news()))
        return rows
