"""Operator API of the fleet's policy: version in force, changes and history."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from hopmill.fields import ConfigError
from hopmill.net.operator_server import Handler, WithBody

Answer = tuple[int, dict[str, Any]]
MAX_REFUSALS = 64  # kept for operators who ask


class Proposal(msgspec.Struct, forbid_unknown_fields=True):
    """A proposed change.

    The id names this proposal only, so repeating a request has no further effect. revert names a version to
    return to, in place of a patch.
    """

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=16, pattern="^[A-Za-z0-9_-]+$")]
    patch: dict[str, Any] = {}
    by: str = ""
    reason: str = ""
    if_version: int | None = None
    revert: int | None = None
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0  # of the couriers: canary group
    watch_s: Annotated[float, msgspec.Meta(ge=1, le=86_400)] = (
        60.0  # observation time before the others follow
    )
    dry_run: bool = False


class PolicyActions:
    """Proposals that operators have made at this courier."""

    def __init__(self, transport: Callable[[], Any], active_policy: Callable[[], Any]) -> None:
        self.member_transport, self.active_policy = transport, active_policy
        self.pending: set[str] = set()  # ids of proposals made here that have no outcome yet
        # By change id: why a proposal made here was refused. The same id may be proposed at another courier.
        self.refusals: OrderedDict[str, str] = OrderedDict()

    def _policy_member(self) -> Any:
        transport = self.member_transport()
        return transport.node.policy_member if transport else None

    def status(self) -> Answer:
        """Return the state of the policy in the fleet and here."""
        if self._policy_member() is None:
            return 404, {"error": "no fleet with a policy is configured"}
        return 200, self.member_transport().status()["policy"] | self.active_policy().status()

    def history(self) -> Answer:
        """Return the changes that came into force, and the newest that did not."""
        if (policy_member := self._policy_member()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        policy = policy_member.register.document.policy
        rows = [
            {**msgspec.to_builtins(entry), "outcome": "in force"}
            for entry in self.active_policy().history.entries
        ]
        rows += [
            {"id": entry.id, "outcome": "in force nowhere", "why": entry.why}
            for entry in policy.ended
            if not entry.version
        ]
        return 200, {
            "version": policy.version,
            "applied": self.active_policy().applied_version,
            "changes": rows,
        }

    def propose(self, body: bytes) -> Answer:
        """Check a proposal and begin its change."""
        if (policy_member := self._policy_member()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        from hopmill import policy_history
        from hopmill.overlay import read_patch

        try:
            proposal = msgspec.json.decode(body, type=Proposal)
        except (msgspec.DecodeError, RecursionError) as error:
            return 400, {"error": str(error)}
        active_policy, policy = self.active_policy(), policy_member.register.document.policy
        begun_ids = {policy.change.id if policy.change else "", policy.stage.id if policy.stage else ""}
        if (
            any(entry.id == proposal.id for entry in active_policy.history.entries)
            or policy.outcome(proposal.id)
            or proposal.id in begun_ids
            or proposal.id in self.pending
        ):
            return self.outcome(proposal.id)
        if policy.stage:
            return 409, {"error": f"change {policy.stage.id} of {policy.stage.by} is staged"}
        if active_policy.applied_version != policy.version:
            return 409, {"error": f"version {policy.version} is in force, and not known here yet"}
        if proposal.if_version not in (None, policy.version):
            return 409, {"error": f"version {policy.version} is in force, not {proposal.if_version}"}
        try:
            if proposal.revert is None:
                patch, unset = read_patch(proposal.patch)
            else:
                patch, unset = active_policy.history.patch_to(proposal.revert)
            history = active_policy.history.with_change(
                proposal.id, time.time(), proposal.by, proposal.reason, patch, unset
            )
        except (ConfigError, policy_history.HistoryTooLongError) as error:
            return 400, {"error": str(error)}
        except KeyError:
            return 400, {"error": f"version {proposal.revert} is no longer known"}
        changes = history.entries[-1].changes if history.entries else []
        if not changes:
            return 400, {"error": "the patch: changes nothing"}
        text = history.encode()
        if why := active_policy.find_rejection_reason(text):
            return 409, {"error": f"this courier can't go by it: {why}"}
        if proposal.dry_run:
            return 200, {"state": "not proposed", "base": policy.version, "changes": changes}
        return self._begin(proposal, text, policy.version, changes)

    def _begin(self, proposal: Proposal, text: bytes, base: int, changes: list[Any]) -> Answer:
        change_id = proposal.id
        self.pending.add(change_id)
        self.refusals.pop(change_id, None)

        def ended(outcome: Any) -> None:
            self.pending.discard(change_id)
            if outcome.state == "refused":
                self._note_refusal(change_id, outcome.why)

        self.member_transport().update_policy(
            lambda policy_member, now: policy_member.propose(
                change_id, text, base, now, ended, proposal.share, int(proposal.watch_s * 1e3)
            )
        )
        return 202, {"state": "under way", "id": change_id, "base": base, "changes": changes}

    def _note_refusal(self, change_id: str, why: str) -> None:
        self.refusals[change_id] = why
        while len(self.refusals) > MAX_REFUSALS:
            self.refusals.popitem(last=False)

    def outcome(self, change_id: str) -> Answer:
        """State of a change.

        "in force" and "in force nowhere" are final for the fleet. "not proposed" is about this courier only:
        its proposal was refused, and the same id may still be in progress from another courier.
        """
        if (policy_member := self._policy_member()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        policy = policy_member.register.document.policy
        answer = {"id": change_id, "version": policy.version}
        if policy.change and policy.change.id == change_id + "~":
            return 200, answer | {
                "state": "under way",
                "step": "going back",
                "why": policy.outcome(change_id).why if policy.outcome(change_id) else "",
            }
        if ended := policy.outcome(change_id):
            state = "in force" if ended.version else "in force nowhere"
            return 200, answer | {
                "state": state,
                "version": ended.version or policy.version,
                "why": ended.why,
            }
        for entry in self.active_policy().history.entries if not policy.stage else ():
            if entry.id == change_id:
                return 200, answer | {"state": "in force", "version": entry.version, "why": ""}
        if policy.change and policy.change.id == change_id:
            return 200, answer | {
                "state": "under way",
                "step": "closing" if policy.change.closing else "prepared",
                "waits": policy_member.coordinator.waiting_for(),
            }
        if policy.stage and policy.stage.id == change_id:
            return 200, answer | {
                "state": "under way",
                "step": "staged",
                "watched": sorted(policy_member.coordinator.totals),
            }
        if change_id in self.pending:
            return 200, answer | {"state": "under way", "why": ""}
        if change_id in self.refusals:
            return 200, answer | {"state": "not proposed", "why": self.refusals[change_id]}
        return 200, answer | {"state": "not known", "why": ""}

    def _step(self, act: Callable[[Any, int], str]) -> Answer:
        if self._policy_member() is None:
            return 404, {"error": "no fleet with a policy is configured"}
        self.member_transport().update_policy(act)
        return 202, {"state": "under way"}

    def cancel_member(self, member: str, is_cancelled: bool = True) -> Answer:
        """Record an operator's statement that a courier does not run, or revoke it.

        The leases of such a courier count as ended.
        """
        return self._step(
            lambda policy_member, now: policy_member.cancel_member(
                member, is_cancelled, now, lambda outcome: None
            )
        )

    def withdraw(self, change_id: str) -> Answer:
        """Withdraw a change that is not in force yet."""
        return self._step(lambda policy_member, now: policy_member.withdraw(change_id, now))


def policy_routes(
    transport: Callable[[], Any], active_policy: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    """Return the routes of the fleet policy."""
    actions = PolicyActions(transport, active_policy)
    return [
        ("GET", "/fleet/policy", actions.status),
        ("GET", "/fleet/policy/history", actions.history),
        ("POST", "/fleet/policy", WithBody(actions.propose)),
        ("GET", "/fleet/policy/changes/*", actions.outcome),
        ("POST", "/fleet/policy/changes/*/withdraw", actions.withdraw),
        ("POST", "/fleet/policy/strike/*", actions.cancel_member),
        ("POST", "/fleet/policy/let-back/*", lambda member: actions.cancel_member(member, False)),
    ]
