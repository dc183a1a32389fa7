"""The operators' door to the fleet. A change takes a majority's time: it is begun, then asked after."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from hopmill.net.operator import Handler, WithBody
from hopmill.net.staff_policy import policy_routes

Answer = tuple[int, dict[str, Any]]
MAX_OUTCOMES = 256
MAX_TEXT = 200


class FleetActions:
    """One owner of the changes that staff have begun here."""

    def __init__(self, peers: Callable[[], Any]) -> None:
        self.peers = peers
        self.outcomes: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def status(self) -> Answer:
        if (peers := self.peers()) is None:
            return 404, {"error": "no fleet is configured"}
        return 200, peers.status()

    def _begin(self, change: Any) -> Answer:
        peers = self.peers()
        answer: dict[str, Any] = {"state": "under way"}

        def ended(outcome: Any) -> None:
            answer.update(state=outcome.state, why=outcome.why)
            if outcome.document is not None:
                answer.update(
                    version=outcome.document.version,
                    made=outcome.made,
                    words=outcome.document.words,
                    voters=list(outcome.document.voters),
                )

        proposal_id = peers.propose(change, ended)
        answer["ticket"] = proposal_id
        self.outcomes[proposal_id] = answer
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return 202, answer

    def store_entry(self, name: str, text: str) -> Answer:
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import say

        if len(name) + len(text) > MAX_TEXT:
            return 400, {"error": f"a word and its text are at most {MAX_TEXT} characters"}
        return self._begin(say(name, text))

    def remove_entry(self, name: str) -> Answer:
        return self.store_entry(name, "")

    def read(self) -> Answer:
        """What a majority holds now, as against what this courier knows."""
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        return self._begin(lambda proposal_id, document: None)

    def replace(self, old: str, new: str) -> Answer:
        peers = self.peers()
        if peers is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import replace_voter

        if not peers.node.swim.alive(new):
            return 409, {"error": f"{new} is no member that is alive"}
        return self._begin(replace_voter(old, new))

    def lease(self, name: str) -> Answer:
        """Whether this courier may act under it now, and the elapsed time at which that was looked up."""
        if (peers := self.peers()) is None:
            return 404, {"error": "no fleet is configured"}
        fencing_token, at_us = peers.fencing_token(name)
        return 200, {"lease": name, "fence": fencing_token, "at_us": at_us, "owner": peers.node.register.name}

    def outcome(self, proposal_id: str) -> Answer:
        answer = self.outcomes.get(proposal_id)
        return (200, answer) if answer else (404, {"error": "no such change was begun here lately"})


def fleet_routes(
    peers: Callable[[], Any], in_force: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    actions = FleetActions(peers)
    return [
        *policy_routes(peers, in_force),
        ("GET", "/fleet", actions.status),
        ("POST", "/fleet/read", actions.read),
        ("GET", "/fleet/leases/*", actions.lease),
        ("GET", "/fleet/changes/*", actions.outcome),
        ("POST", "/fleet/words/*/*", actions.store_entry),
        ("POST", "/fleet/words/*", actions.remove_entry),
        ("POST", "/fleet/voters/*/*", actions.replace),
    ]
