"""The fleet's policy in the register's document: which version is in force, and the change in progress.

A change takes two steps before it is in force. Prepared: each member checks it, and continues under the
version in force. Closing: no voter grants a lease on that version any more, and members that hold one stop.
Each step is a compare-and-set on `epoch`, which every step raises, so no step is taken on an older one.

A change may be staged: then two versions are in force for a while, and the name of a member decides which one
applies to it. A second change brings the other members to the new version, or the canary group to a third
version that equals the one before.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hopmill.fleet.document import RegisterDocument

MAX_ENDED = 3  # outcomes that the document keeps, for a proposer whose answer was lost
# A change takes two steps at least. With fewer steps since, the outcome of a proposal's id is still kept.
MAX_STEPS_MISSED = 2 * (MAX_ENDED + 1) - 1
MAX_REASON_CHARS = 48
MAX_CANCELLED = 6  # members that are cancelled at once
IN_FORCE, ENDED_NOWHERE = "in force", "in force nowhere"


class ChangeRefusedError(ValueError):
    """The change can't be made; the text says why."""


# Scope of a change: all members, the canary group, the rest after it, or all back to the version before.
ALL, STAGE, REST, BACK = "all", "stage", "rest", "back"


class CanaryGroup(msgspec.Struct, frozen=True, array_like=True):
    """The members on which a staged change is tried first: about this share, chosen by their names and a
    salt.
    """

    share: float  # of the members, 0 to 1
    salt: int
    watch_ms: int  # how long the group is watched

    def includes(self, member: str) -> bool:
        """Return whether the member belongs to the group."""
        return zlib.crc32(f"{self.salt} {member}".encode()) < self.share * (1 << 32)


class PolicyChange(msgspec.Struct, frozen=True, array_like=True):
    """A change in progress."""

    id: str  # of this proposal and no other
    digest: bytes  # of the text that it would put in force
    by: str  # the member that proposed it, and has the text
    closing: bool = False
    scope: str = ALL
    canary: CanaryGroup | None = None
    reopen_count: int = 0  # times that its closing was reopened

    def affects(self, member: str) -> bool:
        """Return whether it would bring this member to another version."""
        if self.canary is None or self.scope in (ALL, BACK):
            return True
        return self.canary.includes(member) is (self.scope == STAGE)


class CanaryStage(msgspec.Struct, frozen=True, array_like=True):
    """A version that is in force for a canary group."""

    id: str  # of its proposal
    digest: bytes
    version: int
    canary: CanaryGroup
    by: str


class EndedChange(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a change."""

    id: str
    version: int  # that it put in force; 0: none
    why: str = ""


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """The policy's part of the document."""

    epoch: int = 0  # raised by every step
    version: int = 0  # in force; 0: each courier's own file
    digest: bytes = b""  # of the text of that version
    change: PolicyChange | None = None
    ended: tuple[EndedChange, ...] = ()
    cancelled_members: tuple[str, ...] = ()  # cancelled by an operator
    stage: CanaryStage | None = None

    def version_for(self, member: str) -> int:
        """Return the version in force for this member."""
        return self.stage.version if self.stage and self.stage.canary.includes(member) else self.version

    def digest_for(self, member: str) -> bytes:
        """Return the digest of the text in force for this member."""
        return self.stage.digest if self.stage and self.stage.canary.includes(member) else self.digest

    def closing_for(self, member: str) -> bool:
        """Return whether this member has to stop."""
        return self.change is not None and self.change.closing and self.change.affects(member)

    def outcome(self, change_id: str) -> EndedChange | None:
        """Return how a change ended, None if it has not or is no longer kept."""
        return next((e for e in self.ended if e.id == change_id), None)

    @property
    def texts(self) -> set[bytes]:
        """Digests of all texts that are in force or may come into force."""
        digests = (
            self.digest,
            self.change.digest if self.change else b"",
            self.stage.digest if self.stage else b"",
        )
        return {digest for digest in digests if digest}


Step = "Callable[[str, RegisterDocument], RegisterDocument | None]"


def _next(document: RegisterDocument, proposal_id: str, **changes: object) -> RegisterDocument:
    policy = document.policy
    return document.next(
        proposal_id, policy=msgspec.structs.replace(policy, epoch=policy.epoch + 1, **changes)
    )


def prepare(change: PolicyChange, base: int, epoch: int) -> Step:
    """Begin a change.

    base: the version that its text was made from. epoch: the newest known when it was proposed. The document
    is left as it is if the change is in progress or has ended. The step raises ChangeRefusedError if another
    one is in progress, another version is in force, or so many steps were taken since that the change may
    have ended and been forgotten.
    """

    def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        policy = document.policy
        if policy.outcome(change.id) or policy.change and policy.change.id == change.id:
            return None
        if policy.change or policy.stage:
            under_way = policy.change or policy.stage
            raise ChangeRefusedError(
                f"change {under_way.id} of {under_way.by} is " + ("under way" if policy.change else "staged")
            )
        if policy.version != base:
            raise ChangeRefusedError(f"version {policy.version} is in force, not {base}")
        if policy.epoch - epoch > MAX_STEPS_MISSED:
            raise ChangeRefusedError("other changes were made since it was proposed")
        return _next(document, proposal_id, change=change)

    return step


def _at_epoch(epoch: int, apply: Callable[[str, RegisterDocument], RegisterDocument | None]) -> Step:
    """A step that is taken only if nothing has happened to the policy since this epoch."""

    def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        return (
            apply(proposal_id, document)
            if document.policy.epoch == epoch and document.policy.change
            else None
        )

    return step


def _with_closing(document: RegisterDocument, proposal_id: str, closing: bool) -> RegisterDocument:
    change = document.policy.change
    assert change is not None
    reopen_count = change.reopen_count + (change.closing and not closing)
    return _next(
        document,
        proposal_id,
        change=msgspec.structs.replace(change, closing=closing, reopen_count=reopen_count),
    )


def close(epoch: int) -> Step:
    """From here on no member gets a lease on the version in force."""
    return _at_epoch(epoch, lambda proposal_id, document: _with_closing(document, proposal_id, True))


def reopen(epoch: int) -> Step:
    """Undo a closing: all members continue under the version in force.

    A member that was ready does not stop; its lease has to expire first.
    """
    return _at_epoch(epoch, lambda proposal_id, document: _with_closing(document, proposal_id, False))


def commit(epoch: int) -> Step:
    """Put the change in force: a majority of voters knows of no member working under the old version."""

    def apply(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        policy, change, stage = document.policy, document.policy.change, document.policy.stage
        assert change is not None
        if not change.closing:
            return None
        if change.scope == STAGE:
            assert change.canary is not None
            staged = CanaryStage(change.id, change.digest, policy.version + 1, change.canary, change.by)
            return _next(document, proposal_id, change=None, stage=staged)
        if change.scope == BACK:
            assert stage is not None
            return _next(document, proposal_id, version=stage.version + 1, change=None, stage=None)
        version = stage.version if stage else policy.version + 1
        ended = (*policy.ended, EndedChange(change.id, version))[-MAX_ENDED:]
        return _next(
            document, proposal_id, version=version, digest=change.digest, change=None, stage=None, ended=ended
        )

    return _at_epoch(epoch, apply)


def extend_to_rest(epoch: int) -> Step:
    """The canary group does well: bring the other members to its version."""

    def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        policy = document.policy
        if policy.epoch != epoch or policy.stage is None or policy.change:
            return None
        stage = policy.stage
        return _next(
            document,
            proposal_id,
            change=PolicyChange(stage.id, stage.digest, stage.by, False, REST, stage.canary),
        )

    return step


def roll_back(epoch: int, why: str) -> Step:
    """The canary group does worse, or an operator ends the stage.

    All members change to a version that equals the one before the stage. It can't be refused, for all have
    worked under it.
    """

    def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        policy = document.policy
        if policy.epoch != epoch or policy.stage is None or policy.change and policy.change.scope != REST:
            return None
        stage = policy.stage
        ended = (*policy.ended, EndedChange(stage.id, 0, why[:MAX_REASON_CHARS]))[-MAX_ENDED:]
        roll_back_change = PolicyChange(stage.id + "~", policy.digest, stage.by, False, BACK, stage.canary)
        return _next(document, proposal_id, ended=ended, change=roll_back_change)

    return step


def end_change(epoch: int, why: str) -> Step:
    """End a change without putting it in force. Members that apply it already are rolled back."""

    def apply(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        change = document.policy.change
        assert change is not None
        if document.policy.stage:
            return roll_back(epoch, why)(proposal_id, document)
        return _next(
            document,
            proposal_id,
            change=None,
            ended=(*document.policy.ended, EndedChange(change.id, 0, why[:MAX_REASON_CHARS]))[-MAX_ENDED:],
        )

    return _at_epoch(epoch, apply)


def cancel_member(member: str, is_cancelled: bool = True) -> Step:
    """Cancel a member by name, or readmit it.

    An operator declares that the member does not run: no change waits for it, and it gets no lease. The step
    raises ChangeRefusedError if too many are cancelled.
    """

    def step(proposal_id: str, document: RegisterDocument) -> RegisterDocument | None:
        cancelled_members = tuple(s for s in document.policy.cancelled_members if s != member) + (
            (member,) if is_cancelled else ()
        )
        if set(cancelled_members) == set(document.policy.cancelled_members):
            return None
        if len(cancelled_members) > MAX_CANCELLED:
            raise ChangeRefusedError(f"at most {MAX_CANCELLED} members can be struck off at once")
        return _next(document, proposal_id, cancelled_members=cancelled_members)

    return step
