"""`hopmill fleet ...`: the members of a fleet, through the operator APIs of its couriers.

`detect` and `explore` are simulations on this machine and ask no courier.
"""

from __future__ import annotations

import json
import time
from typing import Annotated, Any

import typer

from hopmill.cli.app import JsonOption, error_exit
from hopmill.cli.operator_client import OperatorApiError, call, format_lines, format_table

fleet = typer.Typer(
    help="A fleet of couriers: its members, the replicated register, its leases.", no_args_is_help=True
)
# The arguments `door` and `doors` of the commands keep their names, which the help shows.
OperatorAddress = Annotated[str, typer.Argument(help="HOST:PORT of a courier's operator API.")]
WaitOption = Annotated[float, typer.Option(min=0, help="Seconds to wait for the outcome.")]
SeedsOption = Annotated[str, typer.Option("--seed", help="Seeds, such as 1-20 or 3,5,9.")]
POLL_INTERVAL_S = 0.02


def _request(address: str, method: str, path: str) -> dict[str, Any]:
    try:
        status, body = call(address, method, path)
    except OperatorApiError as error:
        raise error_exit(str(error), 1) from None
    if status >= 400:
        raise error_exit(f"{address}: {body.get('error', status)}", 1)
    return body


@fleet.command("status", epilog="Example: hopmill fleet status 127.0.0.1:8600 127.0.0.1:8601")
def status(
    doors: Annotated[list[str], typer.Argument(help="HOST:PORT of each courier's operator API.")],
    as_json: JsonOption = False,
) -> None:
    """Show each courier's view: members, voters, register version, leases. Exit 1 if one does not answer."""
    failed_count = 0
    for address in doors:
        try:
            status_code, body = call(address, "GET", "/fleet")
        except OperatorApiError as error:
            status_code, body = 0, {"error": str(error)}
        failed_count += status_code != 200
        if as_json:
            print(json.dumps({"door": address, **body}))
        elif status_code != 200:
            print(f"{address}: {body.get('error')}")
        else:
            print(
                f"{address}: {body['id']} of {body['fleet']}, version {body['version']}, voters "
                f"{', '.join(body['voters'])}, {'votes' if body['votes'] else 'does not vote'}, "
                f"health {body['health']}, disk {body['disk']}"
            )
            print("\n".join(format_table(body["members"])))
            if body["leases"]:
                print("\n".join(format_table(body["leases"])))
    raise typer.Exit(int(bool(failed_count)))


def _print_register_outcome(address: str, path: str, wait: float, as_json: bool) -> dict[str, Any]:
    """Posts a request to the register, waits up to `wait` seconds for its outcome, prints and returns it."""
    outcome = _request(address, "POST", path)
    deadline = time.monotonic() + wait
    while outcome["state"] == "under way" and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        outcome = _request(
            address, "GET", f"/fleet/changes/{outcome['ticket'].replace('#', '%23').replace('/', '%2F')}"
        )
    print(json.dumps(outcome) if as_json else "\n".join(format_lines(outcome)))
    return outcome


def _change_register(address: str, path: str, wait: float, as_json: bool) -> None:
    """Requests a change and waits for its outcome. Exit 0: done; 1: not done; 3: not known yet."""
    outcome = _print_register_outcome(address, path, wait, as_json)
    # left: the register was left as it was, so the change was not made.
    raise typer.Exit({"done": 0, "left": 1, "refused": 1}.get(outcome["state"], 3))


@fleet.command("say", epilog="Example: hopmill fleet say 127.0.0.1:8600 note 'hall-b is being rewired'")
def say(
    door: OperatorAddress,
    name: str,
    text: Annotated[str, typer.Argument(help="Text of the entry; empty: remove it.")] = "",
    wait: WaitOption = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Store a short text in the register, for all couriers and operators to see."""
    from urllib.parse import quote

    path = "/".join(quote(part, safe="") for part in (name, text) if part)
    _change_register(door, f"/fleet/words/{path}", wait, as_json)


@fleet.command("read", epilog="Example: hopmill fleet read 127.0.0.1:8600 --json")
def read(door: OperatorAddress, wait: WaitOption = 10.0, as_json: JsonOption = False) -> None:
    """Read the register from a majority of the voters."""
    outcome = _print_register_outcome(door, "/fleet/read", wait, as_json)
    # A read changes nothing: it has succeeded if the register was left as it was.
    raise typer.Exit(0 if outcome["state"] == "left" else 3)


@fleet.command("replace-voter", epilog="Example: hopmill fleet replace-voter 127.0.0.1:8600 n2 n7")
def replace_voter(
    door: OperatorAddress, old: str, new: str, wait: WaitOption = 10.0, as_json: JsonOption = False
) -> None:
    """Replace a voter while the fleet runs, one at a time; the old set is then retired automatically."""
    _change_register(door, f"/fleet/voters/{old}/{new}", wait, as_json)


@fleet.command("detect", epilog="Example: hopmill fleet detect --members 60 --loss 0.1 --seed 1-5")
def detect(
    members: Annotated[int, typer.Option(min=2, max=2000)] = 60,
    loss: Annotated[float, typer.Option(min=0, max=0.9)] = 0.1,
    kills: Annotated[
        int, typer.Option(help="Members killed one after another in a first run; 0: no such run.")
    ] = 20,
    seconds: Annotated[
        float,
        typer.Option(
            help="Length in seconds of a second run that kills no member but pauses one now and then."
        ),
    ] = 60.0,
    stop: Annotated[
        float, typer.Option(help="Seconds out of every 10 for which that member is paused.")
    ] = 2.0,
    seeds: SeedsOption = "1",
) -> None:
    """Simulate failure detection: time to detect, false deaths, and cost; one line per seed."""
    from hopmill.cli.seeds import seeds_of
    from hopmill.lab.members import Plan, measure_false_alarms, measure_detection

    false_deaths = 0
    for seed in seeds_of(seeds):
        result = {"seed": seed}
        if kills:
            result |= measure_detection(Plan(members, loss, seed), kills)
        result |= measure_false_alarms(Plan(members, loss, seed), seconds, int(stop * 1e6))
        false_deaths += result["false_deaths"]
        print(json.dumps(result), flush=True)
    raise typer.Exit(int(bool(false_deaths)))


@fleet.command("explore", epilog="Example: hopmill fleet explore --schedules 10000 --members 3 --json")
def explore(
    schedules: Annotated[int, typer.Option(min=0, help="Number of random schedules.")] = 10_000,
    seed: Annotated[int, typer.Option(help="Seed of the first schedule.")] = 1,
    members: Annotated[int, typer.Option(min=1, max=9)] = 3,
    depth: Annotated[
        int, typer.Option(min=0, max=30, help="Also explore all schedules of three members to this depth.")
    ] = 0,
    cores: Annotated[int, typer.Option(min=0, help="Processor cores to use; 0: all.")] = 0,
    mutant: Annotated[str, typer.Option(help="Name of a planted fault to run with.")] = "",
    mutants: Annotated[bool, typer.Option("--mutants", help="List the planted faults.")] = False,
    policy: Annotated[bool, typer.Option("--policy", help="Explore policy changes as well.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Check the register and its leases under random orders of events. Exit 1 after a violation."""
    from hopmill.explorer.mutants import PLANTED
    from hopmill.explorer.policy_mutants import PLANTED as POLICY_PLANTED
    from hopmill.explorer.search import search, search_policy

    planted_faults = list(POLICY_PLANTED if policy else PLANTED)
    if mutants:
        print("\n".join(planted_faults))
        return
    if mutant and mutant not in planted_faults:
        raise error_exit(f"no such planted fault: {mutant}; there are {', '.join(planted_faults)}")
    result = (
        search_policy(schedules, seed, members, cores, mutant)
        if policy
        else search(schedules, seed, members, depth, cores, mutant)
    )
    if as_json:
        print(json.dumps(result))
    else:
        print("\n".join(format_lines(result)))
    raise typer.Exit(int(bool(result["violations"])))
