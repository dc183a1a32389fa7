"""Operator API of the fleet. A change needs a majority: it is begun, and its outcome is queried later."""

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
    """Changes of the register that operators have begun at this courier."""

    def __init__(self, peers: Callable[[], Any]) -> None:
        self.peers = peers
        self.outcomes: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def status(self) -> Answer:
        """State of the member and the fleet."""
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
        """Stores a short text in the register; an empty text removes it."""
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import say

        if len(name) + len(text) > MAX_TEXT:
            return 400, {"error": f"a word and its text are at most {MAX_TEXT} characters"}
        return self._begin(say(name, text))

    def remove_entry(self, name: str) -> Answer:
        """Removes a text from the register."""
        return self.store_entry(name, "")

    def read(self) -> Answer:
        """Reads the register from a majority; the local copy may be older."""
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        return self._begin(lambda proposal_id, document: None)

    def replace(self, old: str, new: str) -> Answer:
        """Replaces a voter by a member that is alive."""
        peers = self.peers()
        if peers is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import replace_voter

        if not peers.node.swim.alive(new):
            return 409, {"error": f"{new} is no member that is alive"}
        return self._begin(replace_voter(old, new))

    def lease(self, name: str) -> Answer:
        """Whether this courier may act under a lease now, and the elapsed time of the answer."""
        if (peers := self.peers()) is None:
            return 404, {"error": "no fleet is configured"}
        fencing_token, at_us = peers.fencing_token(name)
        return 200, {"lease": name, "fence": fencing_token, "at_us": at_us, "owner": peers.node.register.name}

    def outcome(self, proposal_id: str) -> Answer:
        """State of a change begun here."""
        answer = self.outcomes.get(proposal_id)
        return (200, answer) if answer else (404, {"error": "no such change was begun here lately"})


def fleet_routes(
    peers: Callable[[], Any], in_force: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    """Routes of the fleet, those of its policy included."""
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
