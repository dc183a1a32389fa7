"""The operators' door to the fleet. A change takes a majority's time: it is begun, then asked after."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from hopmill.net.operator import Handler, WithBody
from hopmill.net.staff_policy import policy_routes

Answer = tuple[int, dict[str, Any]]
MOST_OUTCOMES = 256
MOST_TEXT = 200


class FleetStaff:
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
        told: dict[str, Any] = {"state": "under way"}

        def ended(outcome: Any) -> None:
            told.update(state=outcome.state, why=outcome.why)
            if outcome.document is not None:
                told.update(
                    version=outcome.document.version,
                    made=outcome.made_version,
                    words=outcome.document.entries,
                    voters=list(outcome.document.voters),
                )

        ticket = peers.propose(change, ended)
        told["ticket"] = ticket
        self.outcomes[ticket] = told
        while len(self.outcomes) > MOST_OUTCOMES:
            self.outcomes.popitem(last=False)
        return 202, told

    def say(self, name: str, text: str) -> Answer:
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import say

        if len(name) + len(text) > MOST_TEXT:
            return 400, {"error": f"a word and its text are at most {MOST_TEXT} characters"}
        return self._begin(say(name, text))

    def unsay(self, name: str) -> Answer:
        return self.say(name, "")

    def read(self) -> Answer:
        """What a majority holds now, as against what this courier knows."""
        if self.peers() is None:
            return 404, {"error": "no fleet is configured"}
        return self._begin(lambda ticket, document: None)

    def replace(self, old: str, new: str) -> Answer:
        peers = self.peers()
        if peers is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import replace_voter

        if not peers.node.swim.is_alive(new):
            return 409, {"error": f"{new} is no member that is alive"}
        return self._begin(replace_voter(old, new))

    def lease(self, name: str) -> Answer:
        """Whether this courier may act under it now, and the elapsed time at which that was looked up."""
        if (peers := self.peers()) is None:
            return 404, {"error": "no fleet is configured"}
        fence, at_us = peers.held(name)
        return 200, {"lease": name, "fence": fence, "at_us": at_us, "owner": peers.node.register.name}

    def outcome(self, ticket: str) -> Answer:
        told = self.outcomes.get(ticket)
        return (200, told) if told else (404, {"error": "no such change was begun here lately"})


def fleet_routes(
    peers: Callable[[], Any], in_force: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    staff = FleetStaff(peers)
    return [
        *policy_routes(peers, in_force),
        ("GET", "/fleet", staff.status),
        ("POST", "/fleet/read", staff.read),
        ("GET", "/fleet/leases/*", staff.lease),
        ("GET", "/fleet/changes/*", staff.outcome),
        ("POST", "/fleet/words/*/*", staff.say),
        ("POST", "/fleet/words/*", staff.unsay),
        ("POST", "/fleet/voters/*/*", staff.replace),
    ]
