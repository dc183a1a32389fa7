"""Several couriers at a glance, by partner and zone, until Ctrl-C."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from hopmill.cli.door import DoorError, call

PARTNER = ("couriers", "queued", "out", "pace", "part", "waiting")


def look(address: str) -> dict[str, Any]:
    """What one courier says of itself; {"error": ...} if it does not answer."""
    try:
        return {
            path: call(address, "GET", f"/{path}")[1]
            for path in ("healthcheck", "lanes", "zones", "connections")
        }
    except DoorError as error:
        return {"error": str(error)}


def by_partner(looks: list[dict[str, Any]]) -> dict[int, dict[str, float]]:
    """Summed over couriers and routes."""
    rows: dict[int, dict[str, float]] = defaultdict(lambda: dict.fromkeys(PARTNER, 0))
    for seen in looks:
        partners = set()
        for lane in seen.get("lanes", {}).get("lanes", []):
            row = rows[lane["partner"]]
            first = lane["partner"] not in partners
            partners.add(lane["partner"])
            row["couriers"] += first
            row["queued"] += lane["queued"] if first else 0  # each route names the whole partner's
            row["waiting"] += lane["wait_ms"] > 0
            for name in ("out", "pace", "part"):
                row[name] += lane[name]
    return dict(sorted(rows.items()))


def by_zone(looks: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """How many couriers have each zone in which state, and the mean share."""
    rows: dict[str, dict[str, Any]] = {}
    for seen in looks:
        for zone in seen.get("zones", {}).get("zones", []):
            row = rows.setdefault(
                zone["zone"], {"states": defaultdict(int), "share": 0.0, "couriers": 0, "endpoints": 0}
            )
            row["states"][zone["state"]] += 1
            row["share"] += zone["share"]
            row["couriers"] += 1
            row["endpoints"] = max(row["endpoints"], zone["endpoints"])
    for row in rows.values():
        row["share"] /= row["couriers"]
    return rows


def picture(addresses: list[str], looks: list[dict[str, Any]]) -> Group:
    couriers = Table("courier", "clients", "messages", "connections", "idle", "state")
    for address, seen in zip(addresses, looks, strict=True):
        if "error" in seen:
            couriers.add_row(address, "", "", "", "", "no answer")
            continue
        health, links = seen["healthcheck"], seen["connections"]
        state = "drained" if health["drained"] else "serving" if health["taking_clients"] else "ending"
        couriers.add_row(
            address,
            *(str(v) for v in (health["clients"], health["messages"], links["open"], links["idle"])),
            state,
        )
    partners = Table("partner", *PARTNER)
    for number, row in by_partner(looks).items():
        partners.add_row(str(number), *(f"{row[name]:g}" for name in PARTNER))
    zones = Table("zone", "share", "endpoints", "couriers by state")
    for name, zone in by_zone(looks).items():
        states = ", ".join(f"{count} {state}" for state, count in zone["states"].items())
        zones.add_row(name, f"{zone['share']:.2f}", str(zone["endpoints"]), states)
    return Group(couriers, partners, zones)


def run(addresses: list[str], every: float, times: int) -> int:
    """times: looks, 0 for no end. Returns 1 if no courier answered the last look."""
    console, looks = Console(), [look(a) for a in addresses]
    count = 1
    try:
        if not console.is_terminal:
            console.print(picture(addresses, looks))
        else:
            with Live(picture(addresses, looks), console=console, screen=not times) as live:
                while count != times:
                    time.sleep(every)
                    looks = [look(a) for a in addresses]
                    live.update(picture(addresses, looks))
                    count += 1
            return int(all("error" in seen for seen in looks))
        while count < times:
            time.sleep(every)
            looks = [look(a) for a in addresses]
            console.print(picture(addresses, looks))
            count += 1
    except KeyboardInterrupt:
        pass
    return int(all("error" in seen for seen in looks))
