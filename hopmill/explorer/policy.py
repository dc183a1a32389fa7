"""The simulation with a policy: couriers act under leases on its versions while changes are made.

The checker judges, in the order of simulated time, who acted under which version and text, and which outcome
is reported for each change.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from hopmill.explorer.checker import Checker, InvariantViolationError
from hopmill.explorer.simulation import MAX_CLOCK_DRIFT, LEASE_US, FailingSchedule, Member, Simulation
from hopmill.fleet.policy_member import POLICY_BODIES, PolicyMember
from hopmill.fleet.register import Register
from hopmill.fleet.voter import Memory
from hopmill.fleet.wire import Body

STEPS_PER_SCHEDULE = 110  # choices in a random schedule
# A text "not here MEMBER CHANGE" is refused by the member that it names; all other texts are accepted.
REFUSED_PREFIX = b"not here"
# Without faults, each change has to end and each member has to get a lease within this time.
SETTLE_TIMEOUT_US = 30_000_000
ROUND_US = 15_000  # time that passes between two rounds without faults


class PolicyChecker(Checker):
    """Checks the guarantees of policy changes on top of those of the register."""

    def __init__(self) -> None:
        super().__init__()
        self.canary_groups: dict[int, set[str]] = {}  # by staged version
        self.highest_canary_version = 0  # highest staged version under which a canary member acted
        # Highest version under which a member acted, not counting canary members that act under a staged one.
        self.highest_version = 0
        self.texts_by_version: dict[int, bytes] = {}
        self.versions_by_change: dict[str, int] = {}  # version that a change produced, 0 for none

    def on_stage(self, version: int, canary_group: set[str]) -> None:
        """Check that a staged version has one canary group. The other members keep the version before it."""
        if self.canary_groups.setdefault(version, canary_group) != canary_group:
            raise InvariantViolationError(
                f"version {version} is staged for two canary groups: "
                f"{canary_group} and {self.canary_groups[version]}"
            )

    def on_act_under(self, member: str, version: int, text: bytes) -> None:
        """Check that no act is under a version before the lowest one that the member may still use.

        Once a member of its canary group has acted under a staged version, all members of the group have to
        act under that version or a later one. Members outside the group need not apply it until one of them
        has.
        """
        min_version = max(
            self.highest_version,
            self.highest_canary_version
            if member in self.canary_groups.get(self.highest_canary_version, ())
            else 0,
        )
        if version < min_version:
            raise InvariantViolationError(
                f"{member} acted under version {version}, "
                f"although it must not act under a version before {min_version}"
            )
        if member in self.canary_groups.get(version, ()) and version > self.highest_version:
            self.highest_canary_version = max(self.highest_canary_version, version)
        else:
            self.highest_version = max(version, self.highest_version)
        if self.texts_by_version.setdefault(version, text) != text:
            raise InvariantViolationError(f"version {version} has two different texts")

    def on_change_ended(self, change: str, version: int) -> None:
        """Check that a change has one outcome only.

        version: the policy version that the change produced, 0 if none.
        """
        if self.versions_by_change.setdefault(change, version) != version:
            raise InvariantViolationError(
                f"change {change} ended twice: with version {self.versions_by_change[change]} and {version}"
            )


class PolicyRegister(Register):
    """A register that hands the policy's messages to `policy_member`, which the simulation sets."""

    policy_member: PolicyMember | None = None

    def receive(self, sender: str, body: Body, now: int) -> None:
        """Handle a message of the register's or the policy's protocol."""
        if not isinstance(body, POLICY_BODIES):
            super().receive(sender, body, now)
        elif self.policy_member:
            self.policy_member.receive(sender, body, now)

    def tick(self, now: int) -> int:
        """Do everything that is due. Returns the time of the next call."""
        due = super().tick(now)
        return min(due, self.policy_member.tick(now)) if self.policy_member else due

    def take(self, now: int) -> list[Any]:
        """Return the actions to do."""
        return [*super().take(now), *(self.policy_member.take() if self.policy_member else [])]


class PolicySimulation(Simulation):
    """Simulates members with a policy. `policy_member_type` may have a planted fault."""

    def __init__(
        self, members: int, seed: int, policy_member_type: type[PolicyMember] = PolicyMember
    ) -> None:
        # Whether couriers go on under the last version while they cannot reach the voters, instead of
        # holding.
        self.policy_member_type, self.continues_alone = policy_member_type, seed % 4 == 3
        self.stored_texts: dict[str, dict[bytes, bytes]] = {}  # by member and digest: on its disk
        self.configured_ids = [f"m{n}" for n in range(members)]
        # The base class starts the fleet before the checker and the policy exist.
        self.is_bootstrapped = False
        super().__init__(members, seed, PolicyRegister, has_leases=False)
        self.checker: PolicyChecker = PolicyChecker()
        self.is_bootstrapped = True

    def create_register(self, member: Member, memory: Memory, same_folder: bool) -> Register:
        """Start the register and the policy part of a member. The texts on its disk are kept."""
        register = super().create_register(member, memory, same_folder)
        assert isinstance(register, PolicyRegister)
        others = [name for name in self.configured_ids if name != member.id]
        register.policy_member = self.policy_member_type(
            member.id,
            member.generation,
            register,
            random.Random(self.rng.random()),
            LEASE_US,
            MAX_CLOCK_DRIFT,
            self.continues_alone,
            self.configured_ids,
            lambda: others,
            dict(self.stored_texts.setdefault(member.id, {})),
        )
        return register

    def event_kinds(self) -> list[tuple[Callable[[Member, int], None], int]]:
        """Add the events of policy changes."""
        return [
            *super().event_kinds(),
            (self.propose_policy, 14),
            (self._cancel_or_restore_member, 1),
            (lambda member, argument: self._run_rounds(argument), 24),
        ]

    def _run_rounds(self, argument: int) -> None:
        """Run a few rounds in which nothing goes wrong, for a change to take some of its steps."""
        for _ in range(1 + argument % 6):
            self.run_undisturbed()
            self.now += ROUND_US

    def propose_policy(self, member: Member, argument: int) -> None:
        """Propose a change, propose the last one again, or withdraw it. A member refuses some of them."""
        if not member.is_running:
            return
        policy_member = self.policy_member_of(member)
        if argument % 11 == 10:  # withdraw the last change
            policy_member.withdraw(f"p{self.proposal_count}", member.elapsed_us(self.now))
            self.collect_actions(member)
            return
        self.proposal_count += argument % 8 != 7  # else the last change is proposed again
        change_id = f"p{self.proposal_count}"
        text = f"policy {change_id}".encode()
        if argument % 5 == 4:  # one member refuses the text
            text = (
                REFUSED_PREFIX
                + f" {self.member_ids[argument // 5 % len(self.member_ids)]} {change_id}".encode()
            )
        base_version = member.register.document.policy.version
        share = 0.5 if argument // 40 % 3 == 0 else 1.0  # under 1: staged on a canary group first
        policy_member.propose(
            change_id,
            text,
            base_version,
            member.elapsed_us(self.now),
            lambda outcome: None,
            share,
            watch_ms=50,
        )
        self.collect_actions(member)

    def _cancel_or_restore_member(self, member: Member, argument: int) -> None:
        """As an operator: cancel a member that does not run (odd argument: restore a cancelled one)."""
        stopped_ids = [x.id for x in self.members.values() if not x.is_running]
        cancelled_ids = member.register.document.policy.cancelled_members
        if member.is_running and (cancelled_ids if argument % 2 else stopped_ids):
            name = (cancelled_ids if argument % 2 else stopped_ids)[0]
            if argument % 2 or not self.members[name].is_running:
                self.policy_member_of(member).cancel_member(
                    name, argument % 2 == 0, member.elapsed_us(self.now), lambda outcome: None
                )
                self.collect_actions(member)

    @staticmethod
    def policy_member_of(member: Member) -> PolicyMember:
        """The policy part of a member."""
        assert isinstance(member.register, PolicyRegister) and member.register.policy_member is not None
        return member.register.policy_member

    # What the courier's host does for its member

    def collect_actions(self, member: Member) -> None:
        """Do what the courier does after each call of its member, then collect the actions."""
        self._apply_policy(member)
        super().collect_actions(member)

    def _apply_policy(self, member: Member) -> None:
        """Apply the version in force and check the pending change, if their texts are here."""
        if not self.is_bootstrapped:
            return
        policy_member, policy = self.policy_member_of(member), member.register.document.policy
        texts = policy_member.texts
        digest, version = policy.digest_for(member.id), policy.version_for(member.id)
        if version != policy_member.lease.applied_version and (not digest or digest in texts.by_digest):
            policy_member.lease.set_applied_version(version)
        if (
            policy.change
            and policy.change.id != policy_member.lease.ready_for
            and (not policy.change.digest or policy.change.digest in texts.by_digest)
        ):
            text = texts.by_digest.get(policy.change.digest, b"")
            refused = text.startswith(REFUSED_PREFIX) and member.id in text.decode().split()
            policy_member.lease.report_check(policy.change.id, "no" if refused else "")

    def complete_writes(self, member: Member, count: int) -> None:
        """Complete writes and deletions of texts, then the first `count` writes of the register."""
        if member.id == self.stalled_disk:
            return
        if self.is_bootstrapped and (
            self.policy_member_of(member).texts.writes or self.policy_member_of(member).deletable_texts
        ):
            texts = self.policy_member_of(member).texts
            # Deletions come before writes, the same order as in fleet/node.py.
            for digest in self.policy_member_of(member).deletable_texts:
                self.stored_texts[member.id].pop(digest, None)
            self.policy_member_of(member).deletable_texts = set()
            for digest, text in texts.writes:
                self.stored_texts[member.id][digest] = text
                texts.written(digest, True)
            if texts.writes:
                texts.writes = []
                member.register.on_texts_stored(member.elapsed_us(self.now))
        super().complete_writes(member, count)

    def empty_folder(self, member: Member) -> None:
        """Lose the folder, with the texts in it."""
        super().empty_folder(member)
        self.stored_texts[member.id] = {}

    def may_lose_folder(self, member: Member) -> bool:
        """Whether no voter lacks memory or texts.

        Voters that a change in progress names count, too. A voter that lost its folder is complete again once
        it has its texts.
        """
        members = list(self.members.values())
        voter_ids = set[str]().union(
            *(
                other.register.document.all_voters
                | self.policy_member_of(other).grantor.accepted_document().all_voters
                for other in members
            )
        )
        return super().may_lose_folder(member) and all(
            other.register.voter.is_voting
            and self.policy_member_of(other).grantor.accepted_document().policy.texts
            <= set(self.stored_texts[other.id])
            for other in members
            if other.id in voter_ids
        )

    def act(self, member: Member) -> None:
        """Check outcomes that the member knows, and let it act under its lease, if it may."""
        if not member.is_running:
            return
        policy_member = self.policy_member_of(member)
        policy = member.register.document.policy
        for ended in policy.ended:
            self.checker.on_change_ended(ended.id, ended.version)
        version = policy_member.lease.valid_version(member.elapsed_us(self.now))
        if version >= 0:
            self.act_count += 1
            if policy.stage:
                self.checker.on_stage(
                    policy.stage.version, {n for n in self.configured_ids if policy.stage.canary.includes(n)}
                )
            self.checker.on_act_under(
                member.id, version, policy_member.texts.by_digest.get(policy.digest_for(member.id), b"")
            )

    # Liveness: once all faults have ended, each change ends

    def settle(self) -> None:
        """End all faults and run until every change has ended and every member may act.

        Cancelled members need not act. Raises InvariantViolationError if that takes too long.
        """
        self.is_link_cut, self.stalled_disk = (lambda sender, receiver: False), ""
        for member in self.members.values():
            if not member.is_running:
                memory = (
                    msgspec.msgpack.decode(member.stored_state, type=Memory)
                    if member.stored_state
                    else Memory()
                )
                self.restart(member, memory, bool(member.stored_state))
        deadline = self.now + SETTLE_TIMEOUT_US
        while self.now < deadline:
            self.run_undisturbed()
            for member in self.members.values():
                self.act(member)
            self.now += ROUND_US
            documents = [member.register.document for member in self.members.values()]
            if all(d.policy == documents[0].policy for d in documents) and not (
                documents[0].policy.change or documents[0].policy.stage
            ):
                cancelled_ids = documents[0].policy.cancelled_members
                if all(
                    self.policy_member_of(member).lease.valid_version(member.elapsed_us(self.now)) >= 0
                    for member in self.members.values()
                    if member.id not in cancelled_ids
                ):
                    return
        policy = self.members["m0"].register.document.policy
        raise InvariantViolationError(
            f"{SETTLE_TIMEOUT_US / 1e6:g} s after the last fault "
            f"a change has not ended or a member has no lease: {policy}"
        )


def run(
    choices: list[int], members: int, seed: int, policy_member_type: type[PolicyMember] = PolicyMember
) -> str:
    """What the schedule violates, "" if nothing. Every fourth seed also has to settle at the end."""
    simulation = PolicySimulation(members, seed, policy_member_type)
    try:
        for choice in choices:
            simulation.step(choice)
        if seed % 4 == 0:
            simulation.settle()
    except InvariantViolationError as violation:
        return str(violation)
    return ""


def random_choices(seed: int) -> list[int]:
    """The random choices of this seed."""
    rng = random.Random(seed * 2654435761 + 7)
    return [rng.randrange(10**7) for _ in range(STEPS_PER_SCHEDULE)]


def explore(
    schedules: int, first_seed: int, members: int, policy_member_type: type[PolicyMember] = PolicyMember
) -> tuple[int, list[FailingSchedule]]:
    """Run random schedules. Returns how many were run, and the first that violates an invariant, if any."""
    for count, seed in enumerate(range(first_seed, first_seed + schedules), 1):
        choices = random_choices(seed)
        if violation := run(choices, members, seed, policy_member_type):
            return count, [FailingSchedule(seed, violation, choices)]
    return schedules, []
