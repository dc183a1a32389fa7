"""A member of the fleet: membership, the register and its leases, with one clock and one set of entry points.

The host (a process, the laboratory, a test) passes it datagrams and time and carries its actions out.
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
from hopmill.fleet.policy_member import POLICY_BODIES, PolicyMember
from hopmill.fleet.proposer import Outcome
from hopmill.fleet.register import Register
from hopmill.fleet.settings import Members
from hopmill.fleet.swim import STATES, MemberChange, Swim
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Ack, IndirectPing, Ping, ProbeFailed

INCARNATION_BLOCK = 1000  # incarnations reserved on disk at a time, before the first of them is used
MIN_FRESH_INCARNATION = 1 << 32  # a member without trusted state starts above it
DISK_RETRY_US = 1_000_000  # after a failed write
MAX_STATUS_MEMBERS = 60  # members of a canary group in the status
MAX_INCARNATION = 1 << 48  # a datagram with a later one is dropped


class Stored(msgspec.Struct):
    """All that a member keeps on disk; the field names are stored."""

    ceiling: int = 0  # the highest reserved incarnation: none above it was ever used
    memory: Memory = msgspec.field(default_factory=Memory)


@dataclass(frozen=True)
class Datagram:
    """Send these bytes to an address."""

    address: str
    data: bytes


@dataclass(frozen=True)
class Write:
    """Write the state to disk (fsync), in this order; then report to the node whether that succeeded."""

    state: bytes
    ceiling: int  # in `state`
    then: tuple[Send, ...] = ()  # sent after the write


@dataclass(frozen=True)
class WriteText:
    """Write a text to disk under its digest (fsync); then report to the node whether that succeeded."""

    digest: bytes
    text: bytes


@dataclass(frozen=True)
class DeleteTexts:
    """These texts may be deleted from the disk."""

    digests: frozenset[bytes]


NodeAction = Datagram | Write | WriteText | DeleteTexts


@dataclass
class DatagramCounts:
    """Counts since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: Counter[str] = field(default_factory=Counter)


class Node:
    """Times are us of this member's elapsed clock. After each call, `take` returns the actions to do."""

    def __init__(
        self,
        members: Members,
        stored: Stored,
        same_folder: bool,
        seed: int,
        carried: dict[str, Any] | None = None,
        texts: dict[bytes, bytes] | None = None,
    ) -> None:
        """Start a member.

        same_folder: the state is where it was stored, no copy. seed: a different one at each start, from the
        system's random source. carried: what the process before handed over in an upgrade. texts: those on
        disk, by digest.
        """
        self.settings, self.rng = members, random.Random(seed)
        self.ceiling = stored.ceiling
        incarnation = carried["incarnation"] if carried else stored.ceiling + 1
        if not carried and not same_folder:
            # The folder does not tell what was used since it was written: start at a random place.
            incarnation = self.rng.randrange(MIN_FRESH_INCARNATION, MAX_INCARNATION >> 1)
        self.requested_ceiling = max(incarnation, self.ceiling if carried else 0)  # being written
        self.counts = DatagramCounts()
        self.swim = Swim(members, incarnation, self.rng, self._next_incarnation)
        initial = RegisterDocument(0, members.voters)
        generation = carried["born"] if carried else incarnation
        self.register = Register(members.id, generation, initial, stored.memory, same_folder, self.rng)
        for name in members.leases:
            self.register.hold_lease(name, int(members.lease_ms * 1e3), members.drift)
        self.generation = generation
        self.policy_member: PolicyMember | None = None
        if members.policy:
            self.policy_member = PolicyMember(
                members.id,
                generation,
                self.register,
                self.rng,
                int(members.lease_ms * 1e3),
                members.drift,
                members.policy.alone == "last",
                [members.id, *(o.id for o in members.others)],
                self.swim.live_members,
                texts or {},
            )
        self.started, self.due_at = False, 0
        self.writes: list[Write] = []
        self.ready_datagrams: list[Datagram] = []
        self.own_messages: list[Send] = []
        if carried:
            self._resume(carried)
        else:
            self._reserve(incarnation)

    # Upgrades

    def carry(self) -> dict[str, Any]:
        """Return the state to hand over to the next process on this machine, at an upgrade.

        This process must not send anything any more.
        """
        register = self.register
        return {
            "born": self.generation,
            "incarnation": self.swim.me.incarnation,
            "ceiling": self.ceiling,
            "round": register.proposer.round,
            "counted": register.proposal_count,
            "document": doc.encode(register.document),
            "state": self._state(self.ceiling),
            "voting": register.voter.is_voting,
            "leases": {name: k.carry() for name, k in register.lease_holders.items()},
            "policy": self.policy_member and self.policy_member.lease.carry(),
            "texts": dict(self.policy_member.texts.by_digest) if self.policy_member else {},
        }

    def _resume(self, carried: dict[str, Any]) -> None:
        register = self.register
        register.proposer.round, register.proposal_count = carried["round"], carried["counted"] + 1
        register.proposer.learn(doc.decode(carried["document"]))
        register.voter.is_voting = carried["voting"]
        for name, values in carried["leases"].items():
            if name in register.lease_holders:
                register.lease_holders[name].resume(values)
        if self.policy_member and carried.get("policy"):
            self.policy_member.texts.by_digest |= carried["texts"]
            self.policy_member.lease.resume(carried["policy"])

    # Incarnations

    def _reserve(self, incarnation: int) -> None:
        """Reserve a block of incarnations on disk before the first of them is used."""
        self.requested_ceiling = incarnation + INCARNATION_BLOCK
        self.writes.append(Write(self._state(self.requested_ceiling), self.requested_ceiling))

    def _next_incarnation(self, after: int) -> int:
        next_incarnation = max(self.swim.me.incarnation, after) + 1
        if next_incarnation > MAX_INCARNATION:
            return 0
        if next_incarnation <= self.ceiling:
            return next_incarnation
        if next_incarnation > self.requested_ceiling:
            self._reserve(next_incarnation)
        return 0

    def _state(self, ceiling: int) -> bytes:
        return msgspec.msgpack.encode(Stored(ceiling, self.register.voter.memory))

    def written(self, write: Write, ok: bool, now: int) -> None:
        """Note that a write has ended. If it failed, what waits for it is not sent, as if it were lost."""
        if not ok:
            self.requested_ceiling = self.ceiling
            return
        self.ceiling = max(self.ceiling, write.ceiling)
        for send in write.then:
            self._send(send)
        self._start(now)

    def _start(self, now: int) -> None:
        """Send nothing before the incarnation is on disk."""
        if not self.started and self.swim.me.incarnation <= self.ceiling:
            self.started = True
            self.swim.start(now)

    # Datagrams

    def datagram(self, data: bytes, now: int) -> bool:
        """Handle a datagram. Return whether `tick` has something to do at once."""
        self.counts.received += 1
        try:
            frame, body, updates = wire.read(data, self.settings.fleet)
            if frame.incarnation > MAX_INCARNATION or any(n.incarnation > MAX_INCARNATION for n in updates):
                raise wire.UnreadableDatagramError("incarnation")
        except wire.UnreadableDatagramError as error:
            self.counts.dropped[str(error)] += 1
            return False
        if not self.started:
            return False
        self._compensate_stall(now)
        if frame.sender != self.settings.id and not self.swim.on_datagram(
            frame.sender, frame.incarnation, updates, now
        ):
            return False
        is_membership, has_work = isinstance(body, (Ping, Ack, IndirectPing, ProbeFailed)), False
        if is_membership:
            self.swim.receive(frame.sender, body, now)
        elif isinstance(body, POLICY_BODIES):
            has_work = self.policy_member is not None and self.policy_member.receive(frame.sender, body, now)
        else:
            has_work = True
            try:
                self.register.receive(frame.sender, body, now)
            except msgspec.DecodeError:  # of the document in it
                self.counts.dropped["unreadable"] += 1
                return False
        return self.register.note_version(frame.sender, frame.version) or has_work

    def _compensate_stall(self, now: int) -> None:
        """If this process did not run, silence of others in that time is not held against them."""
        late_us = now - self.due_at
        if self.due_at and late_us > self.swim.period_us:
            self.swim.on_stall(late_us)
            self.due_at = now

    def tick(self, now: int) -> int:
        """Do everything that is due. Return the time of the next call."""
        if not self.started:
            self._start(now)
        if not self.started:
            if not self.writes and self.requested_ceiling <= self.ceiling:
                self._reserve(self.swim.me.incarnation)  # the write failed: try again
            return now + DISK_RETRY_US
        self._compensate_stall(now)
        self.due_at = min(self.swim.tick(now), self.register.tick(now))
        if self.policy_member:
            self.due_at = min(self.due_at, self.policy_member.tick(now))
        return self.due_at

    def take(self, now: int) -> list[NodeAction]:
        """Return the actions to carry out, in order."""
        texts: list[NodeAction] = []
        while actions := [
            *self.own_messages,
            *self.register.take(now),
            *self.swim.outbox,
            *self._take_policy_actions(texts),
        ]:
            self.own_messages, self.swim.outbox = [], []
            for action in actions:
                if isinstance(action, Persist):
                    self.writes.append(
                        Write(self._state(self.requested_ceiling), self.requested_ceiling, action.then)
                    )
                elif action.to == self.settings.id:  # messages to this member are handled at once
                    self._deliver_to_self(action.body, now)
                else:
                    self._send(action)
        out, self.ready_datagrams, self.writes = [*texts, *self.writes, *self.ready_datagrams], [], []
        return out

    def _take_policy_actions(self, texts: list[NodeAction]) -> list[Send]:
        if self.policy_member is None:
            return []
        store = self.policy_member.texts
        # Deletions first: a text that is written now as well was needed again after that.
        if self.policy_member.deletable_texts:
            texts.append(DeleteTexts(frozenset(self.policy_member.deletable_texts)))
            self.policy_member.deletable_texts = set()
        texts += [WriteText(digest, text) for digest, text in store.writes]
        store.writes = []
        return self.policy_member.take()

    def _deliver_to_self(self, body: Any, now: int) -> None:
        if not isinstance(body, POLICY_BODIES):
            self.register.receive(self.settings.id, body, now)
        elif self.policy_member:
            self.policy_member.receive(self.settings.id, body, now)

    def text_written(self, digest: bytes, ok: bool, now: int) -> None:
        """Note that the write of a text has ended."""
        if self.policy_member:
            self.policy_member.texts.written(digest, ok)
            self.register.on_texts_stored(now)

    def _send(self, send: Send) -> None:
        if send.to == self.settings.id:
            self.own_messages.append(send)
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
                self.swim.updates_for(send.to),
            )
        except ValueError:
            self.counts.dropped["too large"] += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.ready_datagrams.append(Datagram(address, data))

    # Operators and logs

    def take_member_changes(self) -> list[MemberChange]:
        """Members whose state has changed since the last call."""
        changed, self.swim.changes = self.swim.changes, []
        return changed

    def propose(
        self,
        change: Callable[[str, RegisterDocument], RegisterDocument | None],
        now: int,
        callback: Callable[[Outcome], None],
    ) -> str:
        """Propose a change of the document. Return the proposal id."""
        return self.register.propose(change, now, callback)

    def fencing_token(self, lease: str, now: int) -> int:
        """Return the token to act under, 0 if it may not act. To be called in the turn that acts."""
        holder = self.register.lease_holders.get(lease)
        return holder.fencing_token(now) if holder else 0

    def status(self, now: int) -> dict[str, Any]:
        """Return the status for operators; ages are in ms."""
        me, register = self.swim.me, self.register
        peers = sorted(self.swim.peers.values(), key=lambda peer: peer.id)
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
                "id": peer.id,
                "state": STATES[peer.state] if peer.incarnation > 0 else "unheard",
                "zone": peer.zone,
                "region": peer.region,
                "incarnation": peer.incarnation,
                "age_ms": (now - peer.last_datagram_at) // 1000 if peer.last_datagram_at else None,
                "self": False,
            }
            for peer in peers
        ]
        document = register.document
        return {
            "fleet": self.settings.fleet,
            "id": me.id,
            "life": self.generation,
            "started": self.started,
            "members": rows,
            "health": self.swim.health_score,
            "version": document.version,
            "voters": list(document.voters),
            "former": list(document.previous_voters),
            "votes": register.voter.is_voting,
            "words": document.entries,
            "leases": [
                {
                    "name": name,
                    "owner": lease.owner,
                    "fence": lease.fencing_token,
                    "mine": bool(self.fencing_token(name, now)),
                }
                for name, lease in sorted(document.leases.items())
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
        policy, policy_lease = self.register.document.policy, self.policy_member.lease
        until = policy_lease.valid_until()
        return {
            "version": policy.version,
            "epoch": policy.epoch,
            "may_act": policy_lease.valid_version(now) >= 0,
            "set_up_for": policy_lease.applied_version,
            "alone": "last" if policy_lease.continues_alone else "hold",
            "lease_ms": None if until - now > 1 << 60 else max(0, (until - now) // 1000),
            "not_given": policy_lease.denial_reasons,
            "struck": list(policy.cancelled_members),
            "waits": self.policy_member.coordinator.waiting_for(),
            "change": policy.change
            and {
                "id": policy.change.id,
                "by": policy.change.by,
                "closing": policy.change.closing,
                "moves": policy.change.scope,
            },
            "stage": policy.stage
            and {
                "id": policy.stage.id,
                "version": policy.stage.version,
                "share": policy.stage.canary.share,
                "members": [
                    m
                    for m in sorted((self.settings.id, *self.swim.live_members()))
                    if policy.stage.canary.includes(m)
                ][:MAX_STATUS_MEMBERS],
            },
            "ended": [{"id": e.id, "version": e.version, "why": e.why} for e in policy.ended],
        }
