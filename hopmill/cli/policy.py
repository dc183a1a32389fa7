"""`hopmill fleet propose|history|revert|strike|...`: the fleet's policy, from a courier's door."""

from __future__ import annotations

import datetime
import getpass
import json
import secrets
import time
import tomllib
from pathlib import Path
from typing import Annotated, Any

import typer

from hopmill.cli.app import JsonOption, fail
from hopmill.cli.door import DoorError, call, lines
from hopmill.cli.fleet import AGAIN_S, Door, Wait, fleet

IN_FORCE, NOWHERE, NOT_KNOWN = 0, 1, 3  # exit statuses
Reason = Annotated[str, typer.Option(help="For the history.")]
Id = Annotated[str, typer.Option("--id", help="Of an earlier try whose answer was lost: the same change.")]
IfVersion = Annotated[int, typer.Option(help="Only on top of this version; -1: whichever is in force.")]
MOST_BODY = 7000  # bytes; the door reads no longer call


def _told(door: str, method: str, path: str, body: bytes | None = None) -> dict[str, Any]:
    try:
        status, told = call(door, method, path, body=body)
    except DoorError as error:
        raise fail(str(error), 1) from None
    if status >= 400:
        raise fail(f"{door}: {told.get('error', status)}", 1)
    return told


def _wait(door: str, ident: str, told: dict[str, Any], wait: float, as_json: bool) -> None:
    """Says whom the change waits for, while it does. Exit 0: in force; 1: in force nowhere; 3: not known."""
    until, said = time.monotonic() + wait, None
    while told["state"] == "under way" and time.monotonic() < until:
        time.sleep(AGAIN_S)
        try:
            _, told = call(door, "GET", f"/fleet/policy/changes/{ident}")
        except DoorError:
            told = {"state": "under way", "waits": {}}
        if (waits := told.get("waits")) and waits != said and not as_json:
            said = waits
            typer.echo("waits for " + ", ".join(f"{who} ({why})" for who, why in sorted(waits.items())))
    told.setdefault("id", ident)
    if told["state"] == "under way":
        told["ask"] = f"hopmill fleet change {door} {ident}"
    print(json.dumps(told) if as_json else "\n".join(lines(told)))
    raise typer.Exit({"in force": IN_FORCE, "in force nowhere": NOWHERE}.get(told["state"], NOT_KNOWN))


def _propose(door: str, ask: dict[str, Any], wait: float, as_json: bool) -> None:
    body = json.dumps(ask).encode()
    if len(body) > MOST_BODY:
        raise fail(f"the patch: {len(body)} bytes, at most {MOST_BODY}; propose it in parts", 1)
    told = _told(door, "POST", "/fleet/policy", body)
    if ask.get("dry_run"):
        print(json.dumps(told) if as_json else "\n".join(_changes(told["changes"])))
        return
    if not as_json:
        typer.echo("\n".join(_changes(told.get("changes", []))))
    _wait(door, ask["id"], told, wait, as_json)


def _changes(rows: list[list[Any]]) -> list[str]:
    def text(value: Any) -> str:
        return "each courier's own" if value is None else json.dumps(value)

    return [f"{path}: {text(before)} -> {text(after)}" for path, before, after in rows]


@fleet.command("propose", epilog="Example: hopmill fleet propose 127.0.0.1:8600 patch.toml --reason 'hall-b'")
def propose(
    door: Door,
    file: Annotated[Path, typer.Argument(help="TOML, in the configuration's tables.")],
    if_version: IfVersion = -1,
    wait: Wait = 30.0,
    reason: Reason = "",
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Only checked here.")] = False,
    share: Annotated[float, typer.Option(help="Of the couriers, that go first, watched.")] = 1.0,
    watch: Annotated[float, typer.Option(help="Seconds, before the rest follows.")] = 60.0,
    ident: Id = "",
    as_json: JsonOption = False,
) -> None:
    """A change of policy, in force at every courier or at none. Exit 0: in force, 1: nowhere, 3: unknown."""
    try:
        patch = tomllib.loads(file.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise fail(f"{file}: {error}", 1) from None
    ask = {
        "id": ident or secrets.token_hex(6),
        "patch": patch,
        "by": getpass.getuser(),
        "reason": reason,
        "if_version": None if if_version < 0 else if_version,
        "dry_run": dry_run,
        "share": share,
        "watch_s": watch,
    }
    _propose(door, ask, wait + (watch if share < 1 else 0.0), as_json)


@fleet.command("revert", epilog="Example: hopmill fleet revert 127.0.0.1:8600 41")
def revert(
    door: Door,
    version: int,
    wait: Wait = 30.0,
    reason: Reason = "",
    ident: Id = "",
    as_json: JsonOption = False,
) -> None:
    """A new version with what was in force at an earlier one. Exit statuses as for propose."""
    _propose(
        door,
        {
            "id": ident or secrets.token_hex(6),
            "revert": version,
            "by": getpass.getuser(),
            "reason": reason or f"revert to {version}",
        },
        wait,
        as_json,
    )


@fleet.command("change", epilog="Example: hopmill fleet change 127.0.0.1:8600 3f9a10c2be77")
def change(door: Door, ident: str, wait: Wait = 0.0, as_json: JsonOption = False) -> None:
    """What became of a proposal. Exit statuses as for propose."""
    _wait(door, ident, _told(door, "GET", f"/fleet/policy/changes/{ident}"), wait, as_json)


@fleet.command("policy", epilog="Example: hopmill fleet policy 127.0.0.1:8600 --json")
def policy(door: Door, as_json: JsonOption = False) -> None:
    """What is in force at a courier, whether it may act, and what is under way."""
    told = _told(door, "GET", "/fleet/policy")
    print(json.dumps(told) if as_json else "\n".join(lines(told)))


@fleet.command("history", epilog="Example: hopmill fleet history 127.0.0.1:8600")
def history(door: Door, as_json: JsonOption = False) -> None:
    """Who changed what and when, why, and what became of it."""
    told = _told(door, "GET", "/fleet/policy/history")
    if as_json:
        print(json.dumps(told))
        return
    for row in told["changes"]:
        if row["outcome"] != "in force":
            print(f"-  {row['id']}  in force nowhere: {row['why']}")
            continue
        at = datetime.datetime.fromtimestamp(row["at_s"], datetime.UTC).strftime("%Y-%m-%d %H:%M:%SZ")
        print(f"{row['version']}  {at}  {row['id']}  {row['by']}: {row['reason'] or 'no reason told'}")
        print("\n".join("   " + line for line in _changes(row["changes"])))


@fleet.command("strike", epilog="Example: hopmill fleet strike 127.0.0.1:8600 c17")
def strike(
    door: Door, member: str, back: Annotated[bool, typer.Option("--back", help="It may work again.")] = False
) -> None:
    """Say that a courier does not run, so that no change waits for it. One that runs would break the promise
    where couriers go on alone."""
    _told(door, "POST", f"/fleet/policy/{'let-back' if back else 'strike'}/{member}")


@fleet.command("withdraw", epilog="Example: hopmill fleet withdraw 127.0.0.1:8600 3f9a10c2be77")
def withdraw(door: Door, ident: str, wait: Wait = 10.0, as_json: JsonOption = False) -> None:
    """End a change that is under way: it is in force nowhere, unless it is in force already."""
    _told(door, "POST", f"/fleet/policy/changes/{ident}/withdraw")
    _wait(door, ident, {"state": "under way"}, wait, as_json)
