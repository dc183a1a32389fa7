"""Operator API of the fleet. A change needs a majority: it is begun, and its outcome is queried later."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from hopmill.net.operator_server import Handler, WithBody
from hopmill.net.policy_actions import policy_routes

Answer = tuple[int, dict[str, Any]]
MAX_OUTCOMES = 256
MAX_TEXT = 200


class FleetActions:
    """Changes of the register that operators have begun at this courier."""

    def __init__(self, transport: Callable[[], Any]) -> None:
        self.member_transport = transport
        self.outcomes: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def status(self) -> Answer:
        """State of the member and the fleet."""
        if (transport := self.member_transport()) is None:
            return 404, {"error": "no fleet is configured"}
        return 200, transport.status()

    def _begin(self, change: Any) -> Answer:
        transport = self.member_transport()
        answer: dict[str, Any] = {"state": "under way"}

        def ended(outcome: Any) -> None:
            answer.update(state=outcome.state, why=outcome.why)
            if outcome.document is not None:
                answer.update(
                    version=outcome.document.version,
                    made=outcome.made_version,
                    words=outcome.document.entries,
                    voters=list(outcome.document.voters),
                )

        proposal_id = transport.propose(change, ended)
        answer["ticket"] = proposal_id
        self.outcomes[proposal_id] = answer
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return 202, answer

    def store_entry(self, name: str, text: str) -> Answer:
        """Store a short text in the register; an empty text removes it."""
        if self.member_transport() is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import set_entry

        if len(name) + len(text) > MAX_TEXT:
            return 400, {"error": f"a word and its text are at most {MAX_TEXT} characters"}
        return self._begin(set_entry(name, text))

    def remove_entry(self, name: str) -> Answer:
        """Remove a text from the register."""
        return self.store_entry(name, "")

    def read(self) -> Answer:
        """Read the register from a majority; the local copy may be older."""
        if self.member_transport() is None:
            return 404, {"error": "no fleet is configured"}
        return self._begin(lambda proposal_id, document: None)

    def replace(self, old_voter: str, new_voter: str) -> Answer:
        """Replace a voter by a member that is alive."""
        transport = self.member_transport()
        if transport is None:
            return 404, {"error": "no fleet is configured"}
        from hopmill.fleet.register import replace_voter

        if not transport.node.swim.is_alive(new_voter):
            return 409, {"error": f"{new_voter} is no member that is alive"}
        return self._begin(replace_voter(old_voter, new_voter))

    def lease(self, name: str) -> Answer:
        """Return whether this courier may act under a lease now, and the elapsed time of the answer."""
        if (transport := self.member_transport()) is None:
            return 404, {"error": "no fleet is configured"}
        fencing_token, at_us = transport.fencing_token(name)
        return 200, {
            "lease": name,
            "fence": fencing_token,
            "at_us": at_us,
            "owner": transport.node.register.name,
        }

    def outcome(self, proposal_id: str) -> Answer:
        """Return the state of a change begun here."""
        answer = self.outcomes.get(proposal_id)
        return (200, answer) if answer else (404, {"error": "no such change was begun here lately"})


def fleet_routes(
    transport: Callable[[], Any], active_policy: Callable[[], Any]
) -> list[tuple[str, str, Handler | WithBody]]:
    """Return the routes of the fleet, those of its policy included."""
    actions = FleetActions(transport)
    return [
        *policy_routes(transport, active_policy),
        ("GET", "/fleet", actions.status),
        ("POST", "/fleet/read", actions.read),
        ("GET", "/fleet/leases/*", actions.lease),
        ("GET", "/fleet/changes/*", actions.outcome),
        ("POST", "/fleet/words/*/*", actions.store_entry),
        ("POST", "/fleet/words/*", actions.remove_entry),
        ("POST", "/fleet/voters/*/*", actions.replace),
    ]
