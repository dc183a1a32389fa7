"""`hopmill top`: shows several couriers, by partner and zone, until Ctrl-C."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from hopmill.cli.operator_client import OperatorApiError, call

PARTNER_COLUMNS = ("couriers", "queued", "out", "pace", "part", "waiting")


def fetch_report(address: str) -> dict[str, Any]:
    """The answers of one courier's operator API; {"error": ...} if it does not answer."""
    try:
        return {
            path: call(address, "GET", f"/{path}")[1]
            for path in ("healthcheck", "lanes", "zones", "connections")
        }
    except OperatorApiError as error:
        return {"error": str(error)}


def by_partner(reports: list[dict[str, Any]]) -> dict[int, dict[str, float]]:
    """Sums over couriers and routes, by partner number."""
    rows: dict[int, dict[str, float]] = defaultdict(lambda: dict.fromkeys(PARTNER_COLUMNS, 0))
    for report in reports:
        seen_partners = set()
        for lane in report.get("lanes", {}).get("lanes", []):
            row = rows[lane["partner"]]
            is_first_lane = lane["partner"] not in seen_partners
            seen_partners.add(lane["partner"])
            row["couriers"] += is_first_lane
            # Each route reports the queue of the whole partner.
            row["queued"] += lane["queued"] if is_first_lane else 0
            row["waiting"] += lane["wait_ms"] > 0
            for name in ("out", "pace", "part"):
                row[name] += lane[name]
    return dict(sorted(rows.items()))


def by_zone(reports: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """By zone: the number of couriers that have it in each state, and the mean share."""
    rows: dict[str, dict[str, Any]] = {}
    for report in reports:
        for zone in report.get("zones", {}).get("zones", []):
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


def render(addresses: list[str], reports: list[dict[str, Any]]) -> Group:
    """Tables of couriers, partners and zones."""
    couriers = Table("courier", "clients", "messages", "connections", "idle", "state")
    for address, report in zip(addresses, reports, strict=True):
        if "error" in report:
            couriers.add_row(address, "", "", "", "", "no answer")
            continue
        health, connections = report["healthcheck"], report["connections"]
        state = "drained" if health["drained"] else "serving" if health["taking_clients"] else "ending"
        couriers.add_row(
            address,
            *(
                str(value)
                for value in (health["clients"], health["messages"], connections["open"], connections["idle"])
            ),
            state,
        )
    partners = Table("partner", *PARTNER_COLUMNS)
    for number, row in by_partner(reports).items():
        partners.add_row(str(number), *(f"{row[name]:g}" for name in PARTNER_COLUMNS))
    zones = Table("zone", "share", "endpoints", "couriers by state")
    for name, zone in by_zone(reports).items():
        states = ", ".join(f"{count} {state}" for state, count in zone["states"].items())
        zones.add_row(name, f"{zone['share']:.2f}", str(zone["endpoints"]), states)
    return Group(couriers, partners, zones)


def run(addresses: list[str], interval_s: float, times: int) -> int:
    """times: number of updates, 0 for no end. Returns 1 if no courier answered the last one."""
    console, reports = Console(), [fetch_report(address) for address in addresses]
    count = 1
    try:
        if not console.is_terminal:
            console.print(render(addresses, reports))
        else:
            with Live(render(addresses, reports), console=console, screen=not times) as live:
                while count != times:
                    time.sleep(interval_s)
                    reports = [fetch_report(address) for address in addresses]
                    live.update(render(addresses, reports))
                    count += 1
            return int(all("error" in report for report in reports))
        while count < times:
            time.sleep(interval_s)
            reports = [fetch_report(address) for address in addresses]
            console.print(render(addresses, reports))
            count += 1
    except KeyboardInterrupt:
        pass
    return int(all("error" in report for report in reports))
