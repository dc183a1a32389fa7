"""The operators' door to the fleet's policy: what is in force, a change of it, its history."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from hopmill.fields import ConfigError
from hopmill.net.operator import Handler, WithBody

Answer = tuple[int, dict[str, Any]]
MOST_OUTCOMES = 64


class Proposal(msgspec.Struct, forbid_unknown_fields=True):
    """id: of this proposal and no other; told again with it, it is the same. revert: to a version, in place
    of a patch."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=16, pattern="^[A-Za-z0-9_-]+$")]
    patch: dict[str, Any] = {}
    by: str = ""
    reason: str = ""
    if_version: int | None = None
    revert: int | None = None
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0  # of the couriers, which go first
    watch_s: Annotated[float, msgspec.Meta(ge=1, le=86_400)] = 60.0  # for so long, before the rest follows
    dry_run: bool = False


class PolicyStaff:
    """One owner of the proposals that staff have made here."""

    def __init__(self, peers: Callable[[], Any], in_force: Callable[[], Any]) -> None:
        self.peers, self.in_force = peers, in_force
        self.begun: OrderedDict[str, str] = OrderedDict()  # by id: why it was not begun, "" while it is

    def _govern(self) -> Any:
        peers = self.peers()
        return peers.node.govern if peers else None

    def status(self) -> Answer:
        if self._govern() is None:
            return 404, {"error": "no fleet with a policy is configured"}
        return 200, self.peers().status()["policy"] | self.in_force().status()

    def history(self) -> Answer:
        """What came into force, and the newest that did not."""
        if (govern := self._govern()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        p = govern.register.document.policy
        rows = [{**msgspec.to_builtins(e), "outcome": "in force"} for e in self.in_force().history.entries]
        rows += [{"id": e.id, "outcome": "in force nowhere", "why": e.why} for e in p.ended if not e.version]
        return 200, {"version": p.version, "applied": self.in_force().applied, "changes": rows}

    def propose(self, body: bytes) -> Answer:
        if (govern := self._govern()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        from hopmill import book as policy_history
        from hopmill.overlay import read_patch

        try:
            ask = msgspec.json.decode(body, type=Proposal)
        except (msgspec.DecodeError, RecursionError) as error:
            return 400, {"error": str(error)}
        in_force, p = self.in_force(), govern.register.document.policy
        there = {p.change.id if p.change else "", p.stage.id if p.stage else ""}
        if any(e.id == ask.id for e in in_force.history.entries) or p.outcome(ask.id) or ask.id in there:
            return self.outcome(ask.id)
        if p.stage:
            return 409, {"error": f"change {p.stage.id} of {p.stage.by} is staged"}
        if in_force.applied != p.version:
            return 409, {"error": f"version {p.version} is in force, and not known here yet"}
        if ask.if_version not in (None, p.version):
            return 409, {"error": f"version {p.version} is in force, not {ask.if_version}"}
        try:
            if ask.revert is None:
                patch, unset = read_patch(ask.patch)
            else:
                patch, unset = in_force.history.patch_to(ask.revert)
            history = in_force.history.with_change(ask.id, time.time(), ask.by, ask.reason, patch, unset)
        except (ConfigError, policy_history.HistoryTooLongError) as error:
            return 400, {"error": str(error)}
        except KeyError:
            return 400, {"error": f"version {ask.revert} is no longer known"}
        changes = history.entries[-1].changes if history.entries else []
        if not changes:
            return 400, {"error": "the patch: changes nothing"}
        text = history.encode()
        if why := in_force.against(text):
            return 409, {"error": f"this courier can't go by it: {why}"}
        if ask.dry_run:
            return 200, {"state": "not proposed", "base": p.version, "changes": changes}
        return self._begin(ask, text, p.version, changes)

    def _begin(self, ask: Proposal, text: bytes, base: int, changes: list[Any]) -> Answer:
        ident = ask.id
        self.begun[ident] = ""
        while len(self.begun) > MOST_OUTCOMES:
            self.begun.popitem(last=False)

        def ended(outcome: Any) -> None:
            if outcome.state == "refused":
                self.begun[ident] = outcome.why
            elif outcome.state == "unknown":
                self.begun.pop(ident, None)

        self.peers().govern(
            lambda govern, now: govern.propose(
                ident, text, base, now, ended, ask.share, int(ask.watch_s * 1e3)
            )
        )
        return 202, {"state": "under way", "id": ident, "base": base, "changes": changes}

    def outcome(self, ident: str) -> Answer:
        if (govern := self._govern()) is None:
            return 404, {"error": "no fleet with a policy is configured"}
        p = govern.register.document.policy
        told = {"id": ident, "version": p.version}
        if p.change and p.change.id == ident + "~":
            return 200, told | {
                "state": "under way",
                "step": "going back",
                "why": p.outcome(ident).why if p.outcome(ident) else "",
            }
        if ended := p.outcome(ident):
            state = "in force" if ended.version else "in force nowhere"
            return 200, told | {"state": state, "version": ended.version or p.version, "why": ended.why}
        for entry in self.in_force().history.entries if not p.stage else ():
            if entry.id == ident:
                return 200, told | {"state": "in force", "version": entry.version, "why": ""}
        if p.change and p.change.id == ident:
            return 200, told | {
                "state": "under way",
                "step": "closing" if p.change.closing else "prepared",
                "waits": govern.conductor.waits(),
            }
        if p.stage and p.stage.id == ident:
            return 200, told | {
                "state": "under way",
                "step": "staged",
                "watched": sorted(govern.conductor.counts),
            }
        if self.begun.get(ident):
            return 200, told | {"state": "in force nowhere", "why": self.begun[ident]}
        return 200, told | {"state": "under way" if ident in self.begun else "not known", "why": ""}

    def _step(self, act: Callable[[Any, int], str]) -> Answer:
        if self._govern() is None:
            return 404, {"error": "no fleet with a policy is configured"}
        self.peers().govern(act)
        return 202, {"state": "under way"}

    def strike(self, member: str, off: bool = True) -> Answer:
        """Staff's word that this courier does not run."""
        return self._step(lambda govern, now: govern.strike(member, off, now, lambda outcome: None))

    def withdraw(self, ident: str) -> Answer:
        return self._step(lambda govern, now: govern.withdraw(ident, now))


def policy_routes(
    peers: Callable[[], Any], in_force: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    staff = PolicyStaff(peers, in_force)
    return [
        ("GET", "/fleet/policy", staff.status),
        ("GET", "/fleet/policy/history", staff.history),
        ("POST", "/fleet/policy", WithBody(staff.propose)),
        ("GET", "/fleet/policy/changes/*", staff.outcome),
        ("POST", "/fleet/policy/changes/*/withdraw", staff.withdraw),
        ("POST", "/fleet/policy/strike/*", staff.strike),
        ("POST", "/fleet/policy/let-back/*", lambda member: staff.strike(member, False)),
    ]
