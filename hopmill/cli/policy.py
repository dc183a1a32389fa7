"""`hopmill fleet propose|history|revert|strike|...`: the fleet's policy, through a courier's operator API."""

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

from hopmill.cli.app import JsonOption, error_exit
from hopmill.cli.operator_client import OperatorApiError, call, format_lines
from hopmill.cli.fleet import POLL_INTERVAL_S, OperatorAddress, WaitOption, fleet

IN_FORCE, NOT_IN_FORCE, NOT_KNOWN = 0, 1, 3  # exit statuses
EXIT_STATUSES = {"in force": IN_FORCE, "in force nowhere": NOT_IN_FORCE, "not proposed": NOT_IN_FORCE}
ReasonOption = Annotated[str, typer.Option(help="Reason, for the history.")]
IdOption = Annotated[
    str,
    typer.Option(
        "--id", help="Identifier of an earlier attempt whose answer was lost; names the same change."
    ),
]
IfVersionOption = Annotated[
    int, typer.Option(help="Apply only on top of this version; -1: on whichever is in force.")
]
MAX_BODY_BYTES = 7000  # the operator API reads no longer request


def _request(door: str, method: str, path: str, body: bytes | None = None) -> dict[str, Any]:
    try:
        status, answer = call(door, method, path, body=body)
    except OperatorApiError as error:
        raise error_exit(str(error), 1) from None
    if status >= 400:
        raise error_exit(f"{door}: {answer.get('error', status)}", 1)
    return answer


def _wait_for_outcome(door: str, ident: str, outcome: dict[str, Any], wait: float, as_json: bool) -> None:
    """Polls until the outcome is known; prints which couriers the change waits for.

    Exit 0: in force; 1: in force nowhere, or not proposed by this courier; 3: not known.
    """
    deadline, printed_waits = time.monotonic() + wait, None
    while outcome["state"] == "under way" and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        try:
            _, outcome = call(door, "GET", f"/fleet/policy/changes/{ident}")
        except OperatorApiError:
            outcome = {"state": "under way", "waits": {}}
        if (waits := outcome.get("waits")) and waits != printed_waits and not as_json:
            printed_waits = waits
            typer.echo("waits for " + ", ".join(f"{who} ({why})" for who, why in sorted(waits.items())))
    outcome.setdefault("id", ident)
    if outcome["state"] == "under way":
        outcome["ask"] = f"hopmill fleet change {door} {ident}"
    print(json.dumps(outcome) if as_json else "\n".join(format_lines(outcome)))
    raise typer.Exit(EXIT_STATUSES.get(outcome["state"], NOT_KNOWN))


def _propose(door: str, proposal: dict[str, Any], wait: float, as_json: bool) -> None:
    body = json.dumps(proposal).encode()
    if len(body) > MAX_BODY_BYTES:
        raise error_exit(f"the patch: {len(body)} bytes, at most {MAX_BODY_BYTES}; propose it in parts", 1)
    outcome = _request(door, "POST", "/fleet/policy", body)
    if proposal.get("dry_run"):
        print(json.dumps(outcome) if as_json else "\n".join(_format_changes(outcome["changes"])))
        return
    if not as_json:
        typer.echo("\n".join(_format_changes(outcome.get("changes", []))))
    _wait_for_outcome(door, proposal["id"], outcome, wait, as_json)


def _format_changes(changes: list[list[Any]]) -> list[str]:
    def text(value: Any) -> str:
        return "each courier's own" if value is None else json.dumps(value)

    return [f"{path}: {text(before)} -> {text(after)}" for path, before, after in changes]


@fleet.command("propose", epilog="Example: hopmill fleet propose 127.0.0.1:8600 patch.toml --reason 'hall-b'")
def propose(
    door: OperatorAddress,
    file: Annotated[Path, typer.Argument(help="Patch in TOML, in the tables of the configuration.")],
    if_version: IfVersionOption = -1,
    wait: WaitOption = 30.0,
    reason: ReasonOption = "",
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Only check the patch at this courier.")] = False,
    share: Annotated[
        float, typer.Option(help="Share of couriers that apply it first, as a canary group.")
    ] = 1.0,
    watch: Annotated[
        float, typer.Option(help="Seconds to watch the canary group before the rest follows.")
    ] = 60.0,
    ident: IdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Change the policy at every courier or at none. Exit 0: in force, 1: nowhere or refused, 3: unknown."""
    try:
        patch = tomllib.loads(file.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise error_exit(f"{file}: {error}", 1) from None
    proposal = {
        "id": ident or secrets.token_hex(6),
        "patch": patch,
        "by": getpass.getuser(),
        "reason": reason,
        "if_version": None if if_version < 0 else if_version,
        "dry_run": dry_run,
        "share": share,
        "watch_s": watch,
    }
    _propose(door, proposal, wait + (watch if share < 1 else 0.0), as_json)


@fleet.command("revert", epilog="Example: hopmill fleet revert 127.0.0.1:8600 41")
def revert(
    door: OperatorAddress,
    version: int,
    wait: WaitOption = 30.0,
    reason: ReasonOption = "",
    ident: IdOption = "",
    as_json: JsonOption = False,
) -> None:
    """Make a new version with the policy of an earlier one. Exit statuses as for propose."""
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
def change(door: OperatorAddress, ident: str, wait: WaitOption = 0.0, as_json: JsonOption = False) -> None:
    """Show the outcome of a proposal. Exit statuses as for propose."""
    _wait_for_outcome(door, ident, _request(door, "GET", f"/fleet/policy/changes/{ident}"), wait, as_json)


@fleet.command("policy", epilog="Example: hopmill fleet policy 127.0.0.1:8600 --json")
def policy(door: OperatorAddress, as_json: JsonOption = False) -> None:
    """Show the policy in force at a courier, whether it may act, and the change under way."""
    state = _request(door, "GET", "/fleet/policy")
    print(json.dumps(state) if as_json else "\n".join(format_lines(state)))


@fleet.command("history", epilog="Example: hopmill fleet history 127.0.0.1:8600")
def history(door: OperatorAddress, as_json: JsonOption = False) -> None:
    """Show past changes: who, when, what, why, and the outcome."""
    answer = _request(door, "GET", "/fleet/policy/history")
    if as_json:
        print(json.dumps(answer))
        return
    for change in answer["changes"]:
        if change["outcome"] != "in force":
            print(f"-  {change['id']}  in force nowhere: {change['why']}")
            continue
        put_in_force_at = datetime.datetime.fromtimestamp(change["at_s"], datetime.UTC).strftime(
            "%Y-%m-%d %H:%M:%SZ"
        )
        print(
            f"{change['version']}  {put_in_force_at}  {change['id']}  "
            f"{change['by']}: {change['reason'] or 'no reason given'}"
        )
        print("\n".join("   " + line for line in _format_changes(change["changes"])))


@fleet.command("strike", epilog="Example: hopmill fleet strike 127.0.0.1:8600 c17")
def strike(
    door: OperatorAddress,
    member: str,
    back: Annotated[bool, typer.Option("--back", help="Undo: the courier may work again.")] = False,
) -> None:
    """Declare that a courier does not run, so that no change waits for it.

    If it does run and couriers act without a lease, it may act under an old version."""
    _request(door, "POST", f"/fleet/policy/{'let-back' if back else 'strike'}/{member}")


@fleet.command("withdraw", epilog="Example: hopmill fleet withdraw 127.0.0.1:8600 3f9a10c2be77")
def withdraw(door: OperatorAddress, ident: str, wait: WaitOption = 10.0, as_json: JsonOption = False) -> None:
    """Cancel a change that is under way; it ends in force nowhere, unless it is in force already."""
    _request(door, "POST", f"/fleet/policy/changes/{ident}/withdraw")
    _wait_for_outcome(door, ident, {"state": "under way"}, wait, as_json)
