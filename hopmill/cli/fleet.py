"""`hopmill fleet ...`: the members of a fleet, from the doors of its couriers."""

from __future__ import annotations

import json
import time
from typing import Annotated, Any

import typer

from hopmill.cli.app import JsonOption, fail
from hopmill.cli.door import DoorError, call, lines, table

fleet = typer.Typer(
    help="Couriers that know one another: members, the register, its leases.", no_args_is_help=True
)
Door = Annotated[str, typer.Argument(help="HOST:PORT of a courier's door.")]
Wait = Annotated[float, typer.Option(min=0, help="Seconds to wait for a majority.")]
Seeds = Annotated[str, typer.Option("--seed", help="As 1-20 or 3,5,9.")]
AGAIN_S = 0.02


def _ask(address: str, method: str, path: str) -> dict[str, Any]:
    try:
        status, body = call(address, method, path)
    except DoorError as error:
        raise fail(str(error), 1) from None
    if status >= 400:
        raise fail(f"{address}: {body.get('error', status)}", 1)
    return body


@fleet.command("status", epilog="Example: hopmill fleet status 127.0.0.1:8600 127.0.0.1:8601")
def status(
    doors: Annotated[list[str], typer.Argument(help="HOST:PORT of each courier's door.")],
    as_json: JsonOption = False,
) -> None:
    """Who each takes for alive, the voters, the document's version, leases. One that is silent: exit 1."""
    silent = 0
    for door in doors:
        try:
            code, body = call(door, "GET", "/fleet")
        except DoorError as error:
            code, body = 0, {"error": str(error)}
        silent += code != 200
        if as_json:
            print(json.dumps({"door": door, **body}))
        elif code != 200:
            print(f"{door}: {body.get('error')}")
        else:
            print(
                f"{door}: {body['id']} of {body['fleet']}, version {body['version']}, voters "
                f"{', '.join(body['voters'])}, {'votes' if body['votes'] else 'does not vote'}, "
                f"health {body['health']}, disk {body['disk']}"
            )
            print("\n".join(table(body["members"])))
            if body["leases"]:
                print("\n".join(table(body["leases"])))
    raise typer.Exit(int(bool(silent)))


def change(door: str, path: str, wait: float, as_json: bool) -> None:
    """Begin it and wait for its outcome. Exit 0: done; 1: not done; 3: not known yet."""
    told = _ask(door, "POST", path)
    until = time.monotonic() + wait
    while told["state"] == "under way" and time.monotonic() < until:
        time.sleep(AGAIN_S)
        told = _ask(door, "GET", f"/fleet/changes/{told['ticket'].replace('#', '%23').replace('/', '%2F')}")
    print(json.dumps(told) if as_json else "\n".join(lines(told)))
    raise typer.Exit({"done": 0, "left": 1, "refused": 1}.get(told["state"], 3))


@fleet.command("say", epilog="Example: hopmill fleet say 127.0.0.1:8600 note 'hall-b is being rewired'")
def say(
    door: Door,
    name: str,
    text: Annotated[str, typer.Argument(help="Empty: taken away.")] = "",
    wait: Wait = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Put a word into the register, for all couriers and staff to see."""
    from urllib.parse import quote

    path = "/".join(quote(word, safe="") for word in (name, text) if word)
    change(door, f"/fleet/words/{path}", wait, as_json)


@fleet.command("read", epilog="Example: hopmill fleet read 127.0.0.1:8600 --json")
def read(door: Door, wait: Wait = 10.0, as_json: JsonOption = False) -> None:
    """What a majority of the voters holds now."""
    told = _ask(door, "POST", "/fleet/read")
    until = time.monotonic() + wait
    while told["state"] == "under way" and time.monotonic() < until:
        time.sleep(AGAIN_S)
        told = _ask(door, "GET", f"/fleet/changes/{told['ticket'].replace('#', '%23').replace('/', '%2F')}")
    print(json.dumps(told) if as_json else "\n".join(lines(told)))
    raise typer.Exit(0 if told["state"] == "left" else 3)


@fleet.command("replace-voter", epilog="Example: hopmill fleet replace-voter 127.0.0.1:8600 n2 n7")
def replace_voter(door: Door, old: str, new: str, wait: Wait = 10.0, as_json: JsonOption = False) -> None:
    """One voter for another while the fleet works; the second step follows by itself. One at a time."""
    change(door, f"/fleet/voters/{old}/{new}", wait, as_json)


@fleet.command("detect", epilog="Example: hopmill fleet detect --members 60 --loss 0.1 --seed 1-5")
def detect(
    members: Annotated[int, typer.Option(min=2, max=2000)] = 60,
    loss: Annotated[float, typer.Option(min=0, max=0.9)] = 0.1,
    kills: int = 20,
    seconds: Annotated[float, typer.Option(help="Of calm; one member stops at times.")] = 60.0,
    stop: Annotated[float, typer.Option(help="Seconds that it stands still in every ten.")] = 2.0,
    seeds: Seeds = "1",
) -> None:
    """Members in virtual time: how soon a dead one is known, false deaths, and cost; a line a seed."""
    from hopmill.cli.seeds import seeds_of
    from hopmill.lab.members import Plan, measure_false_alarms, measure_detection

    wrong = 0
    for seed in seeds_of(seeds):
        told = {"seed": seed}
        if kills:
            told |= measure_detection(Plan(members, loss, seed), kills)
        told |= measure_false_alarms(Plan(members, loss, seed), seconds, int(stop * 1e6))
        wrong += told["false_deaths"]
        print(json.dumps(told), flush=True)
    raise typer.Exit(int(bool(wrong)))


@fleet.command("explore", epilog="Example: hopmill fleet explore --schedules 10000 --members 3 --json")
def explore(
    schedules: Annotated[int, typer.Option(min=0, help="Random ones.")] = 10_000,
    seed: Annotated[int, typer.Option(help="Of the first.")] = 1,
    members: Annotated[int, typer.Option(min=1, max=9)] = 3,
    depth: Annotated[int, typer.Option(min=0, max=30, help="And all of three members so deep.")] = 0,
    cores: Annotated[int, typer.Option(min=0, help="0: all.")] = 0,
    mutant: Annotated[str, typer.Option(help="A planted fault, by its name.")] = "",
    mutants: Annotated[bool, typer.Option("--mutants", help="List the planted faults.")] = False,
    policy: Annotated[bool, typer.Option("--policy", help="Changes of policy on top.")] = False,
    as_json: JsonOption = False,
) -> None:
    """The register and its leases under every order of events that chance finds. A violation: exit 1."""
    from hopmill.explorer.mutants import PLANTED
    from hopmill.explorer.policy_mutants import PLANTED as OF_POLICY
    from hopmill.explorer.search import search, search_policy

    planted = list(OF_POLICY if policy else PLANTED)
    if mutants:
        print("\n".join(planted))
        return
    if mutant and mutant not in planted:
        raise fail(f"no such mutant: {mutant}; there are {', '.join(planted)}")
    told = (
        search_policy(schedules, seed, members, cores, mutant)
        if policy
        else search(schedules, seed, members, depth, cores, mutant)
    )
    if as_json:
        print(json.dumps(told))
    else:
        print("\n".join(lines(told)))
    raise typer.Exit(int(bool(told["violations"])))
