"""Handlers of the operator API. A command is recorded in the journal, then carried out, then answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hopmill import interface
from hopmill import observe
from hopmill.net.client_server import ClientServer
from hopmill.net.operator_server import Page, Routes
from hopmill.net.pool import MAX_ROWS, Pool
from hopmill.net.endpoint_registry import EndpointRegistry
from hopmill.net.fleet_actions import fleet_routes
from hopmill.net.journal import Journal
from hopmill.policy.courier import Courier

Answer = tuple[int, dict[str, Any]]


class OperatorActions:
    """Queries and commands of operators, on the parts that they concern."""

    def __init__(
        self,
        courier: Courier,
        journal: Journal,
        registry: EndpointRegistry,
        pool: Pool,
        clients: ClientServer,
        clock: Callable[[], int],
        act: Callable[[interface.Event], None],
        is_taking: Callable[[], bool],
    ) -> None:
        """act: passes an event to the decision core in an immediate turn.

        is_taking: whether new clients are accepted.
        """
        self.courier, self.journal, self.registry = courier, journal, registry
        self.pool, self.clients, self.clock, self.act, self.is_taking = pool, clients, clock, act, is_taking
        self.metrics: Any = None  # net/metrics.py, while the operator API is open
        self.active_policy: Any = None  # net/active_policy.py, if the policy may differ from the file
        self.member_transport: Any = None  # net/member_transport.py, if the configuration names a fleet

    def routes(self) -> Routes:
        """All routes of the operator API."""
        return Routes(
            ("GET", "/healthcheck", self._healthcheck),
            ("POST", "/healthcheck/fail", lambda: self._drain(True)),
            ("POST", "/healthcheck/ok", lambda: self._drain(False)),
            ("GET", "/metrics", self._metrics),
            ("GET", "/endpoints", self._endpoints),
            ("GET", "/lanes", self._lanes),
            ("GET", "/connections", lambda: (200, self.pool.status(self.registry.uid))),
            ("GET", "/connections/*", self._connections),
            *fleet_routes(lambda: self.member_transport, lambda: self.active_policy),
            ("GET", "/zones", lambda: (200, {"zones": self.zone_rows()})),
            ("POST", "/zones/*/maint", lambda name: self._set_zone_excluded(name, True)),
            ("POST", "/zones/*/ready", lambda name: self._set_zone_excluded(name, False)),
            ("POST", "/endpoints/*/maint", lambda uid: self._set_endpoint_excluded(uid, True)),
            ("POST", "/endpoints/*/ready", lambda uid: self._set_endpoint_excluded(uid, False)),
        )

    # Queries

    def _healthcheck(self) -> Answer:
        """Return whether clients are accepted, and why not."""
        is_taking = self.is_taking() and not self.clients.drained
        return 200 if is_taking else 503, {
            "taking_clients": is_taking,
            "drained": self.clients.drained,
            "out_by_hand": sorted(self.journal.excluded_endpoints),
            "clients": len(self.clients.connections),
            "messages": self.journal.open_count,
        }

    def _metrics(self) -> tuple[int, Page]:
        from hopmill.net.metrics import CONTENT_TYPE

        return 200, Page(CONTENT_TYPE, self.metrics.text())

    def _endpoints(self) -> Answer:
        names = {number: name for name, number in self.registry.zones.items()}
        rows = observe.endpoint_rows(self.courier, self.registry.uid)
        return 200, {
            "endpoints": [row | {"zone": names.get(row["zone"])} for row in rows[:MAX_ROWS]],
            "not_shown": max(0, len(rows) - MAX_ROWS),
        }

    def _lanes(self) -> Answer:
        rows = list(observe.lanes(self.courier, self.clock()))
        return 200, {
            "lanes": [
                {
                    "partner": row.partner,
                    "endpoint": None if row.endpoint is None else self.registry.uid(row.endpoint),
                    "queued": row.queued,
                    "out": row.calls_in_flight,
                    "window": round(row.window, 2),
                    "pace": round(row.pace_per_s, 3),
                    "part": round(row.limit_share_per_s, 3),
                    "refused": round(row.refused_share, 3),
                    "wait_ms": row.wait_us // 1000,
                }
                for row in rows[:MAX_ROWS]
            ],
            "not_shown": max(0, len(rows) - MAX_ROWS),
        }

    def _connections(self, uid: str) -> Answer:
        place = self.pool.endpoints.get(self.registry.uids.get(uid, -1))
        if place is None:
            return 404, {"error": "no such endpoint is listed"}
        return 200, {"endpoint": uid, **place.status()}

    def zone_rows(self) -> list[dict[str, Any]]:
        """Each known zone with its state, share, reason and number of endpoints."""
        now, listed = self.clock(), [entry.zone for entry in self.registry.entries.values()]
        rows = []
        for name, number in self.registry.zones.items():
            state, share, why = self.courier.zones.state(number, now)
            rows.append(
                {
                    "zone": name,
                    "state": state,
                    "share": round(share, 3),
                    "reason": why,
                    "endpoints": listed.count(number),
                }
            )
        return rows

    # Commands

    def _drain(self, on: bool) -> Answer:
        """Record the drain first, so that it lasts over a restart."""
        if on is not self.journal.drained:
            self.journal.record_drained(on)
        self.clients.set_drained(on)
        return 200, {"drained": on}

    def _set_endpoint_excluded(self, uid: str, is_excluded: bool) -> Answer:
        """Exclude or readmit an endpoint; no call to it begins after the response."""
        if uid not in self.registry.uids:
            return 404, {"error": "no such endpoint was ever listed"}
        if is_excluded is not (uid in self.journal.excluded_endpoints):
            self.journal.record_endpoint_excluded(uid, is_excluded)
            # The policy in force may exclude it anyway.
            if not (self.active_policy and uid in self.active_policy.excluded[0]):
                self.act(interface.SetByHand(self.registry.uids[uid], is_excluded))
        return 200, {"endpoint": uid, "out_by_hand": is_excluded}

    def _set_zone_excluded(self, name: str, is_excluded: bool) -> Answer:
        """Exclude or readmit a zone; no call to it begins after the response."""
        if name not in self.registry.zones:
            return 404, {"error": "no such zone was ever named"}
        if is_excluded is not (name in self.journal.excluded_zones):
            self.journal.record_zone_excluded(name, is_excluded)
            if not (self.active_policy and name in self.active_policy.excluded[1]):
                self.act(interface.SetZoneByHand(self.registry.zones[name], is_excluded))
        return 200, {"zone": name, "out_by_hand": is_excluded}
