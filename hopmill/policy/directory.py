"""The endpoints that the endpoint list names, with their lanes and destinations."""

from __future__ import annotations

from hopmill.interface import EndpointsListed, EndpointState, ListEntry, ListForm, Subscribe
from hopmill.policy.links import ConnectionBudget
from hopmill.policy.pacing import Pacing
from hopmill.policy.state import CircuitBreaker, CourierState, Destination, Endpoint, Lane
from hopmill.policy.turn import Turn


class EndpointDirectory:
    """Keeps the courier's endpoints in step with the endpoint list."""

    def __init__(self, turn: Turn, state: CourierState, pacing: Pacing) -> None:
        """Endpoints, lanes and destinations are kept in `state`."""
        self.turn = turn
        self.state = state
        self.pacing = pacing

    def update(self, event: EndpointsListed) -> None:
        """Apply a list or changes to it. After a failed request, ask for the list again."""
        if event.form is ListForm.FAILED:
            self.turn.actions.append(Subscribe())
            return
        endpoints, named = self.state.endpoints, {}
        for entry in event.entries:
            named[entry.endpoint] = True
            endpoint = endpoints.get(entry.endpoint)
            # The endpoint moved to another destination: what was learned about it no longer holds.
            if endpoint and endpoint.lane.destination.number != entry.destination:
                endpoint.state, endpoint = (
                    EndpointState.GONE,
                    endpoint.lane.endpoints.pop(endpoint.id) and None,
                )
            if endpoint is None and entry.state is not EndpointState.GONE:
                endpoint = self.add(entry)
            if endpoint is not None:
                endpoint.state, endpoint.zone = entry.state, entry.zone
                self.pacing.record_listed_rate(endpoint.lane, entry.rate_per_s)
        for endpoint_id, endpoint in list(endpoints.items()):
            if event.form is not ListForm.DELTA and endpoint_id not in named:
                endpoint.state = EndpointState.GONE
            # Removed, since replaced endpoints would pile up.
            if endpoint.state is EndpointState.GONE and not endpoint.calls_in_flight:
                del endpoints[endpoint_id], endpoint.lane.endpoints[endpoint_id]
                if not endpoint.lane.endpoints and len(endpoint.lane.destination.lanes) > 1:
                    endpoint.lane.destination.lanes.remove(endpoint.lane)

    def add(self, entry: ListEntry) -> Endpoint:
        """Add an endpoint, with its destination and lane if they are new."""
        destination = self.state.destinations.setdefault(entry.destination, Destination(entry.destination))
        destination.kind = min(entry.kind, len(self.turn.settings.kinds) - 1)
        if not destination.lanes or self.turn.settings.kinds[destination.kind].routes_apart:
            destination.lanes.append(
                Lane(destination, CircuitBreaker() if self.turn.is_large_fleet else None)
            )
        connection_budget = ConnectionBudget(self.turn.settings.connection_idle_us, self.turn.rng)
        endpoint = Endpoint(entry.endpoint, destination.lanes[-1], entry.zone, connection_budget)
        endpoint.lane.endpoints[endpoint.id] = self.state.endpoints[endpoint.id] = endpoint
        return endpoint
