"""What the operators' door answers, and what its calls do: recorded, then done, then answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hopmill import interface as i
from hopmill import observe
from hopmill.net.clients import ClientServer
from hopmill.net.operator import Page, Routes
from hopmill.net.pool import MOST_ROWS, Pool
from hopmill.net.roster import Roster
from hopmill.net.staff_fleet import fleet_routes
from hopmill.net.state import Journal
from hopmill.policy.courier import Courier

Answer = tuple[int, dict[str, Any]]


class Staff:
    """The calls of operators, on the parts that they concern."""

    def __init__(
        self,
        courier: Courier,
        journal: Journal,
        roster: Roster,
        pool: Pool,
        clients: ClientServer,
        clock: Callable[[], int],
        act: Callable[[i.Event], None],
        taking: Callable[[], bool],
    ) -> None:
        """act: tell the module in a turn taken at once. taking: whether new clients are taken."""
        self.courier, self.journal, self.roster = courier, journal, roster
        self.pool, self.clients, self.clock, self.act, self.taking = pool, clients, clock, act, taking
        self.metrics: Any = None  # hopmill/net/metrics.py, while the door is open
        self.in_force: Any = None  # hopmill/net/in_force.py, where something may differ from the file
        self.peers: Any = None  # hopmill/net/peers.py, where the configuration names a fleet

    def routes(self) -> Routes:
        return Routes(
            ("GET", "/healthcheck", self._healthcheck),
            ("POST", "/healthcheck/fail", lambda: self._drain(True)),
            ("POST", "/healthcheck/ok", lambda: self._drain(False)),
            ("GET", "/metrics", self._metrics),
            ("GET", "/endpoints", self._endpoints),
            ("GET", "/lanes", self._lanes),
            ("GET", "/connections", lambda: (200, self.pool.figures(self.roster.uid))),
            ("GET", "/connections/*", self._connections),
            *fleet_routes(lambda: self.peers, lambda: self.in_force),
            ("GET", "/zones", lambda: (200, {"zones": self.zone_rows()})),
            ("POST", "/zones/*/maint", lambda name: self._set_zone_by_hand(name, True)),
            ("POST", "/zones/*/ready", lambda name: self._set_zone_by_hand(name, False)),
            ("POST", "/endpoints/*/maint", lambda uid: self._set_by_hand(uid, True)),
            ("POST", "/endpoints/*/ready", lambda uid: self._set_by_hand(uid, False)),
        )

    # Asking

    def _healthcheck(self) -> Answer:
        """What staff on call want to know first."""
        taking = self.taking() and not self.clients.drained
        return 200 if taking else 503, {
            "taking_clients": taking,
            "drained": self.clients.drained,
            "out_by_hand": sorted(self.journal.excluded_endpoints),
            "clients": len(self.clients.connections),
            "messages": self.journal.open_count,
        }

    def _metrics(self) -> tuple[int, Page]:
        from hopmill.net.metrics import CONTENT_TYPE

        return 200, Page(CONTENT_TYPE, self.metrics.text())

    def _endpoints(self) -> Answer:
        names = {number: name for name, number in self.roster.zones.items()}
        rows = observe.endpoint_rows(self.courier, self.roster.uid)
        return 200, {
            "endpoints": [row | {"zone": names.get(row["zone"])} for row in rows[:MOST_ROWS]],
            "not_shown": max(0, len(rows) - MOST_ROWS),
        }

    def _lanes(self) -> Answer:
        rows = list(observe.lanes(self.courier, self.clock()))
        return 200, {
            "lanes": [
                {
                    "partner": row.partner,
                    "endpoint": None if row.endpoint is None else self.roster.uid(row.endpoint),
                    "queued": row.queued,
                    "out": row.calls_in_flight,
                    "window": round(row.window, 2),
                    "pace": round(row.pace_per_s, 3),
                    "part": round(row.limit_share_per_s, 3),
                    "refused": round(row.refused_share, 3),
                    "wait_ms": row.wait_us // 1000,
                }
                for row in rows[:MOST_ROWS]
            ],
            "not_shown": max(0, len(rows) - MOST_ROWS),
        }

    def _connections(self, uid: str) -> Answer:
        place = self.pool.places.get(self.roster.uids.get(uid, -1))
        if place is None:
            return 404, {"error": "no such endpoint is listed"}
        return 200, {"endpoint": uid, **place.figures()}

    def zone_rows(self) -> list[dict[str, Any]]:
        """Each zone ever named, with its state, share, reason and endpoints."""
        now, listed = self.clock(), [entry.zone for entry in self.roster.entries.values()]
        rows = []
        for name, number in self.roster.zones.items():
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

    # Telling

    def _drain(self, on: bool) -> Answer:
        """Recorded before it is done: a drained courier that is started again still is."""
        if on is not self.journal.drained:
            self.journal.record_drained(on)
        self.clients.set_drained(on)
        return 200, {"drained": on}

    def _set_by_hand(self, uid: str, out: bool) -> Answer:
        """Nothing new starts there after the yes."""
        if uid not in self.roster.uids:
            return 404, {"error": "no such endpoint was ever listed"}
        if out is not (uid in self.journal.excluded_endpoints):
            self.journal.record_endpoint_excluded(uid, out)
            if not (self.in_force and uid in self.in_force.left_out[0]):  # the policy in force does
                self.act(i.SetByHand(self.roster.uids[uid], out))
        return 200, {"endpoint": uid, "out_by_hand": out}

    def _set_zone_by_hand(self, name: str, out: bool) -> Answer:
        """Nothing new starts there after the yes."""
        if name not in self.roster.zones:
            return 404, {"error": "no such zone was ever named"}
        if out is not (name in self.journal.excluded_zones):
            self.journal.record_zone_excluded(name, out)
            if not (self.in_force and name in self.in_force.left_out[1]):
                self.act(i.SetZoneByHand(self.roster.zones[name], out))
        return 200, {"zone": name, "out_by_hand": out}
