"""A member of the fleet: who is there, the register and its leases, behind one clock and one way in and out.

Whoever runs it (a process, the laboratory, a test) gives it datagrams and time and carries its actions out.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hopmill.fleet import document as doc
from hopmill.fleet import wire
from hopmill.fleet.actions import Persist, Send
from hopmill.fleet.document import RegisterDocument
from hopmill.fleet.govern import KINDS, PolicyMember
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.settings import Members
from hopmill.fleet.swim import STATES, Changed, Swim
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Ack, Ping, PingFor, Unheard

BLOCK = 1000  # incarnations that are put on disk at a time, before the first of them is used
FRESH = 1 << 32  # a member without a past begins above it
AGAIN_US = 1_000_000  # after a disk that said no
MOST_NAMED = 60  # members, in a row for staff
LARGEST = 1 << 48  # an incarnation past it is nobody's


class Stored(msgspec.Struct):
    """All that a member keeps on disk."""

    ceiling: int = 0  # no incarnation above it was ever used
    memory: Memory = msgspec.field(default_factory=Memory)


@dataclass(frozen=True)
class Datagram:
    address: str
    data: bytes


@dataclass(frozen=True)
class Write:
    """Put these bytes on disk (fsync), in this order; then tell the node whether they are there."""

    state: bytes
    ceiling: int
    then: tuple[Send, ...] = ()


@dataclass(frozen=True)
class WriteText:
    """Put this text on disk under its digest (fsync); then tell the node whether it is there."""

    digest: bytes
    text: bytes


@dataclass(frozen=True)
class DeleteTexts:
    """These may go from the disk."""

    digests: frozenset[bytes]


Deed = Datagram | Write | WriteText | DeleteTexts


@dataclass
class Counts:
    """Since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class Node:
    """Times are us of this member's elapsed clock. After each call, `take` gives what is to be done."""

    def __init__(
        self,
        members: Members,
        stored: Stored,
        same_folder: bool,
        seed: int,
        carried: dict[str, Any] | None = None,
        texts: dict[bytes, bytes] | None = None,
    ) -> None:
        """same_folder: it is where it was stored, no copy. seed: another with each start, from the system's
        own chance. carried: by the process before, in an upgrade. texts: those on disk, by digest."""
        self.settings, self.chance = members, random.Random(seed)
        self.ceiling = stored.ceiling
        life = carried["incarnation"] if carried else stored.ceiling + 1
        if not carried and not same_folder:
            # What it used since is not in this folder, nor in a copy: from a place where it has never been.
            life = self.chance.randrange(FRESH, LARGEST >> 1)
        self.wanted = max(life, self.ceiling if carried else 0)  # the ceiling asked for
        self.counts = Counts()
        self.swim = Swim(members, life, self.chance, self._next_incarnation)
        initial = RegisterDocument(0, members.voters)
        born = carried["born"] if carried else life
        self.register = Register(members.id, born, initial, stored.memory, same_folder, self.chance)
        for name in members.leases:
            self.register.keep(name, int(members.lease_ms * 1e3), members.drift)
        self.born = born
        self.policy_member: PolicyMember | None = None
        if members.policy:
            self.policy_member = PolicyMember(
                members.id,
                born,
                self.register,
                self.chance,
                int(members.lease_ms * 1e3),
                members.drift,
                members.policy.alone == "last",
                [members.id, *(o.id for o in members.others)],
                self.swim.there,
                texts or {},
            )
        self.started, self.due = False, 0
        self.writes: list[Write] = []
        self.ready: list[Datagram] = []
        self.own: list[Send] = []
        if carried:
            self._resume(carried)
        else:
            self._reserve(life)

    # Upgrades

    def carry(self) -> dict[str, Any]:
        """For the next process on this machine; this one must not speak any more."""
        r = self.register
        return {
            "born": self.born,
            "incarnation": self.swim.me.incarnation,
            "ceiling": self.ceiling,
            "round": r.proposer.round,
            "counted": r.counted,
            "document": doc.encode(r.document),
            "state": self._state(self.ceiling),
            "voting": r.voter.voting,
            "leases": {name: k.carry() for name, k in r.lease_holders.items()},
            "policy": self.policy_member and self.policy_member.lease.carry(),
            "texts": dict(self.policy_member.texts.by_digest) if self.policy_member else {},
        }

    def _resume(self, carried: dict[str, Any]) -> None:
        r = self.register
        r.proposer.round, r.counted = carried["round"], carried["counted"] + 1
        r.proposer.learn(doc.decode(carried["document"]))
        r.voter.voting = carried["voting"]
        for name, values in carried["leases"].items():
            if name in r.lease_holders:
                r.lease_holders[name].resume(values)
        if self.policy_member and carried.get("policy"):
            self.policy_member.texts.by_digest |= carried["texts"]
            self.policy_member.lease.resume(carried["policy"])

    # Incarnations

    def _reserve(self, incarnation: int) -> None:
        """On disk before the first of them is used."""
        self.wanted = incarnation + BLOCK
        self.writes.append(Write(self._state(self.wanted), self.wanted))

    def _next_incarnation(self, after: int) -> int:
        following = max(self.swim.me.incarnation, after) + 1
        if following > LARGEST:
            return 0
        if following <= self.ceiling:
            return following
        if following > self.wanted:
            self._reserve(following)
        return 0

    def _state(self, ceiling: int) -> bytes:
        return msgspec.msgpack.encode(Stored(ceiling, self.register.voter.memory))

    def written(self, write: Write, ok: bool, now: int) -> None:
        """The disk has done it, or said no: then what waits for it is not sent, as if it had been lost."""
        if not ok:
            self.wanted = self.ceiling
            return
        self.ceiling = max(self.ceiling, write.ceiling)
        for send in write.then:
            self._send(send)
        self._start(now)

    def _start(self, now: int) -> None:
        """Nothing is said before the incarnation is on disk."""
        if not self.started and self.swim.me.incarnation <= self.ceiling:
            self.started = True
            self.swim.start(now)

    # In and out

    def datagram(self, data: bytes, now: int) -> bool:
        """Whether `tick` has something to do at once; else it may wait for its time."""
        self.counts.received += 1
        try:
            frame, body, news = wire.read(data, self.settings.fleet)
            if frame.incarnation > LARGEST or any(n.incarnation > LARGEST for n in news):
                raise wire.Unreadable("incarnation")
        except wire.Unreadable as error:
            self.counts.dropped[str(error)] += 1
            return False
        if not self.started:
            return False
        self._catch_up(now)
        if frame.sender != self.settings.id and not self.swim.heard(
            frame.sender, frame.incarnation, news, now
        ):
            return False
        about_members, stirred = isinstance(body, (Ping, Ack, PingFor, Unheard)), False
        if about_members:
            self.swim.receive(frame.sender, body, now)
        elif isinstance(body, KINDS):
            stirred = self.policy_member is not None and self.policy_member.receive(frame.sender, body, now)
        else:
            stirred = True
            try:
                self.register.receive(frame.sender, body, now)
            except msgspec.DecodeError:  # the document in it
                self.counts.dropped["unreadable"] += 1
                return False
        return self.register.newer(frame.sender, frame.version) or stirred

    def _catch_up(self, now: int) -> None:
        """This process stood still: what was silent meanwhile was not heard, so nobody is blamed for it."""
        late = now - self.due
        if self.due and late > self.swim.period:
            self.swim.stood_still(late)
            self.due = now

    def tick(self, now: int) -> int:
        """Everything that time brings. Returns when to be called again."""
        if not self.started:
            self._start(now)
        if not self.started:
            if not self.writes and self.wanted <= self.ceiling:
                self._reserve(self.swim.me.incarnation)  # the disk said no: once more
            return now + AGAIN_US
        self._catch_up(now)
        self.due = min(self.swim.tick(now), self.register.tick(now))
        if self.policy_member:
            self.due = min(self.due, self.policy_member.tick(now))
        return self.due

    def take(self, now: int) -> list[Deed]:
        """What is to be done, in order."""
        texts: list[Deed] = []
        while actions := [*self.own, *self.register.take(now), *self.swim.out, *self._governed(texts)]:
            self.own, self.swim.out = [], []
            for action in actions:
                if isinstance(action, Persist):
                    self.writes.append(Write(self._state(self.wanted), self.wanted, action.then))
                elif action.to == self.settings.id:  # what is meant for this member itself is heard at once
                    self._own(action.body, now)
                else:
                    self._send(action)
        out, self.ready, self.writes = [*texts, *self.writes, *self.ready], [], []
        return out

    def _governed(self, texts: list[Deed]) -> list[Send]:
        if self.policy_member is None:
            return []
        store = self.policy_member.texts
        if self.policy_member.dropped:  # first: what is written now as well was wanted again after that
            texts.append(DeleteTexts(frozenset(self.policy_member.dropped)))
            self.policy_member.dropped = set()
        texts += [WriteText(digest, text) for digest, text in store.writes]
        store.writes = []
        return self.policy_member.take()

    def _own(self, body: Any, now: int) -> None:
        if not isinstance(body, KINDS):
            self.register.receive(self.settings.id, body, now)
        elif self.policy_member:
            self.policy_member.receive(self.settings.id, body, now)

    def text_written(self, digest: bytes, ok: bool, now: int) -> None:
        if self.policy_member:
            self.policy_member.texts.written(digest, ok)
            self.register.texts_came(now)

    def _send(self, send: Send) -> None:
        if send.to == self.settings.id:
            self.own.append(send)
            return
        address = self.swim.address(send.to)
        if not address:
            self.counts.dropped["no address"] += 1
            return
        try:
            data = wire.write(
                self.settings.fleet,
                self.settings.id,
                self.swim.me.incarnation,
                self.register.document.version,
                send.body,
                self.swim.news_for(send.to),
            )
        except ValueError:
            self.counts.dropped["too large"] += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.ready.append(Datagram(address, data))

    # What staff and logs are told

    def take_member_changes(self) -> list[Changed]:
        """Members whose state has changed since the last call."""
        changed, self.swim.changed = self.swim.changed, []
        return changed

    def propose(
        self,
        change: Callable[[str, RegisterDocument], RegisterDocument | None],
        now: int,
        then: Callable[[Outcome], None],
    ) -> str:
        return self.register.propose(change, now, then)

    def fencing_token(self, lease: str, now: int) -> int:
        """The fencing number to act under, 0 if it may not act. To be asked in the turn that acts."""
        keeper = self.register.lease_holders.get(lease)
        return keeper.fencing_token(now) if keeper else 0

    def status(self, now: int) -> dict[str, Any]:
        """Ages are in ms."""
        me, r = self.swim.me, self.register
        peers = sorted(self.swim.peers.values(), key=lambda p: p.id)
        rows = [
            {
                "id": me.id,
                "state": STATES[me.state],
                "zone": me.zone,
                "region": me.region,
                "incarnation": me.incarnation,
                "age_ms": 0,
                "self": True,
            }
        ]
        rows += [
            {
                "id": p.id,
                "state": STATES[p.state] if p.incarnation > 0 else "unheard",
                "zone": p.zone,
                "region": p.region,
                "incarnation": p.incarnation,
                "age_ms": (now - p.heard_at) // 1000 if p.heard_at else None,
                "self": False,
            }
            for p in peers
        ]
        d = r.document
        return {
            "fleet": self.settings.fleet,
            "id": me.id,
            "life": self.born,
            "started": self.started,
            "members": rows,
            "health": self.swim.health,
            "version": d.version,
            "voters": list(d.voters),
            "former": list(d.former),
            "votes": r.voter.voting,
            "words": d.entries,
            "leases": [
                {
                    "name": name,
                    "owner": lease.owner,
                    "fence": lease.fence,
                    "mine": bool(self.fencing_token(name, now)),
                }
                for name, lease in sorted(d.leases.items())
            ],
            "policy": self._policy_status(now) if self.policy_member else None,
            "datagrams": {
                "sent": self.counts.sent,
                "sent_bytes": self.counts.sent_bytes,
                "received": self.counts.received,
                "dropped": dict(self.counts.dropped + self.swim.dropped),
            },
        }

    def _policy_status(self, now: int) -> dict[str, Any]:
        assert self.policy_member is not None
        p, standing = self.register.document.policy, self.policy_member.lease
        until = standing.valid_until()
        return {
            "version": p.version,
            "epoch": p.epoch,
            "may_act": standing.valid_version(now) >= 0,
            "set_up_for": standing.applied_version,
            "alone": "last" if standing.last else "hold",
            "lease_ms": None if until - now > 1 << 60 else max(0, (until - now) // 1000),
            "not_given": standing.why,
            "struck": list(p.cancelled_members),
            "waits": self.policy_member.coordinator.waiting_for(),
            "change": p.change
            and {"id": p.change.id, "by": p.change.by, "closing": p.change.closing, "moves": p.change.moves},
            "stage": p.stage
            and {
                "id": p.stage.id,
                "version": p.stage.version,
                "share": p.stage.canary.share,
                "members": [
                    m for m in sorted((self.settings.id, *self.swim.there())) if p.stage.canary.includes(m)
                ][:MOST_NAMED],
            },
            "ended": [{"id": e.id, "version": e.version, "why": e.why} for e in p.ended],
        }
