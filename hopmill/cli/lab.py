"""`hopmill lab`: plays, comparisons, sweeps, searches, replays and reports. Needs the extra `lab`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from hopmill.cli.app import JsonOption, fail
from hopmill.cli.seeds import seeds_of

lab = typer.Typer(
    help="The laboratory: a fleet in virtual time. Installed with the extra `lab`.", no_args_is_help=True
)
Couriers = Annotated[int, typer.Option(min=0, help="Scales fleet and traffic; 0: as the scenario says.")]
Seeds = Annotated[str, typer.Option(help="As 1-20 or 3,5,9.")]
Cores = Annotated[int, typer.Option(min=0, help="0: all.")]


def _changes(given: list[str]) -> dict[str, Any]:
    rows = {}
    for word in given:
        name, found, value = word.partition("=")
        if not found:
            raise fail(f"--set: must be NAME=VALUE, not {word}")
        try:
            rows[name] = json.loads(value)
        except ValueError:
            rows[name] = value
    return rows


def _progress(done: int, of: int) -> None:
    print(f"\r{done} of {of}", end="" if done < of else "\n", file=sys.stderr, flush=True)


Set = Annotated[list[str] | None, typer.Option("--set", help="Of the scenario, as load.rate_per_s=800.")]


@lab.command("run", epilog="Example: hopmill lab run calm --couriers 60 --seeds 1-20 --json")
def run_(
    scenario: str,
    couriers: Couriers = 0,
    seeds: Seeds = "1-8",
    build: str = ".",
    change: Set = None,
    cores: Cores = 0,
    members: Annotated[bool, typer.Option("--members", help="Couriers that know one another.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Play seeds of a scenario: a line each, in order, the same on every run."""
    from hopmill.lab import farm

    with _plain_errors(), farm.build(build) as what:
        changes = _changes(change or []) | ({"fleet.members": True} if members else {})
        job = farm.Job(what, scenario, couriers, changes)
        broken = 0
        for row in farm.run([(job, seed) for seed in seeds_of(seeds)], _progress, cores):
            broken += "broken" in row
            text = (
                f"seed {row['seed']}: G {row['g']:.4f}  served {row['served']:.4f}  "
                f"worst {row['worst_window']:.4f}  refused {row['refused_calls']}  {row.get('text', '')}"
            )
            print(json.dumps(row) if as_json else text, flush=True)
    raise typer.Exit(int(broken > 0))


@lab.command(epilog="Example: hopmill lab compare HEAD~3 . --scenario calm,zone --couriers 60")
def compare(
    a: str,
    b: str,
    scenario: Annotated[str, typer.Option(help="Names with commas.")] = "calm",
    couriers: Couriers = 0,
    seeds: Seeds = "1-64",
    goal: Annotated[float, typer.Option(help="End once the interval of G is ± this; 0: never.")] = 0.005,
    cores: Cores = 0,
    as_json: JsonOption = False,
) -> None:
    """A and B: revisions, folders, or settings as policy.pacing.GROW=0.2. B minus A on the same seeds."""
    from hopmill.lab import compare as c
    from hopmill.lab import farm

    with _plain_errors(), farm.build(a) as one, farm.build(b) as two:
        for name in scenario.split(","):
            found, *_ = c.compare(
                one,
                two,
                name,
                couriers,
                seeds_of(seeds),
                goal,
                lambda text: print(text, file=sys.stderr, flush=True),
                cores,
            )
            for d in found:
                row = {
                    "scenario": name,
                    "part": d.metric,
                    "seeds": d.seeds,
                    "a": d.a,
                    "b": d.b,
                    "difference": d.mean,
                    "low": d.low,
                    "high": d.high,
                }
                print(
                    json.dumps(row)
                    if as_json
                    else f"{name:<9} {d.metric:<13} {d.a:.4f} -> {d.b:.4f}  {d.mean:+.4f} "
                    f"[{d.low:+.4f}, {d.high:+.4f}]  {d.seeds} seeds",
                    flush=True,
                )


@lab.command(epilog="Example: hopmill lab sweep policy.pacing.GROW 0.05,0.1,0.2 --scenario calm")
def sweep(
    name: str,
    values: str,
    scenario: str = "calm",
    couriers: Couriers = 0,
    seeds: Seeds = "1-16",
    cores: Cores = 0,
) -> None:
    """Each value of a module's name against this build as it is, on the same seeds."""
    from hopmill.lab import compare as c
    from hopmill.lab import farm

    with _plain_errors():
        for value in values.split(","):
            found, *_ = c.compare(
                farm.Build(),
                farm.Build(constants={name: value}),
                scenario,
                couriers,
                seeds_of(seeds),
                cores=cores,
            )
            d = found[0]
            print(f"{name}={value:<8} G {d.b:.4f}  {d.mean:+.4f} [{d.low:+.4f}, {d.high:+.4f}]", flush=True)


@lab.command(epilog="Example: hopmill lab search zone --couriers 40 --tries 40 --shrink")
def search(
    scenario: str,
    couriers: Couriers = 40,
    tries: int = 32,
    seed: int = 1,
    build: str = ".",
    shrink: Annotated[bool, typer.Option(help="Reduce the worst to the smallest that shows it.")] = False,
) -> None:
    """Random days around a scenario, the worst first."""
    from hopmill.lab import farm
    from hopmill.lab import search as s

    with _plain_errors(), farm.build(build) as what:
        rows = s.worst(what, scenario, couriers, tries, seed, _progress)
        for row in rows[:8]:
            print(json.dumps({k: row[k] for k in ("seed", "g", "changes")} | {"broken": row.get("broken")}))
        if shrink and rows:
            print(
                json.dumps(
                    s.shrink(what, scenario, couriers, rows[0], lambda text: print(text, file=sys.stderr))
                )
            )


@lab.command(epilog="Example: hopmill lab record calm turns.jsonl --couriers 40 --courier 3")
def record(scenario: str, file: Path, couriers: Couriers = 40, seed: int = 1, courier: int = 0) -> None:
    """Write the events and actions of one courier, for `replay`."""
    from hopmill.lab import replay as r
    from hopmill.lab.scenario import load

    with _plain_errors():
        print(f"{r.record(load(scenario, couriers), seed, courier, file)} turns")


@lab.command(epilog="Example: hopmill lab replay turns.jsonl")
def replay(file: Path) -> None:
    """Play recorded events through this build; names the first action that differs (exit 1)."""
    from hopmill.lab import replay as r

    found = r.first_difference(file)
    print(found or "all actions are the same")
    raise typer.Exit(int(found is not None))


@lab.command(epilog="Example: hopmill lab report zone report.html --couriers 60 --seeds 1-4")
def report(
    scenario: str,
    file: Path,
    couriers: Couriers = 60,
    seeds: Seeds = "1-4",
    build: str = ".",
    against: Annotated[str, typer.Option(help="A build to compare with.")] = "",
) -> None:
    """An HTML page with plots: worth, calls by lane, couriers, latency, causes, differences."""
    from hopmill.lab import compare as c
    from hopmill.lab import farm
    from hopmill.lab import report as pages

    with _plain_errors(), farm.build(build) as what:
        job = farm.Job(what, scenario, couriers, with_details=True)
        rows = list(farm.run([(job, seed) for seed in seeds_of(seeds)], _progress))
        found: list[Any] = []
        if against:
            with farm.build(against) as other:
                found, *_ = c.compare(other, what, scenario, couriers, seeds_of(seeds))
        file.write_text(pages.page(f"{scenario}, {rows[0]['couriers']} couriers", rows, found))
    print(file)


@lab.command(epilog="Example: hopmill lab live zone --couriers 3 --seconds 10")
def live(
    scenario: str,
    couriers: Annotated[int, typer.Option(min=1, max=16)] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=600)] = 10.0,
    seed: int = 1,
    as_json: JsonOption = False,
) -> None:
    """A scenario of some couriers in real time: stand-ins, sockets and real processes."""
    from hopmill.lab.live import run

    with _plain_errors():
        told = run(scenario, couriers, seconds, seed)
    print(json.dumps(told) if as_json else "\n".join(f"{k}: {v}" for k, v in told.items()))
    raise typer.Exit(int(bool(told["lost"] or told["twice"])))


def load(
    address: str,
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 100.0,
    seconds: float = 10.0,
    clients: Annotated[int, typer.Option(help="Connections.")] = 20,
    classes: Annotated[str, typer.Option(help="Names with commas.")] = "safe",
    partners: Annotated[str, typer.Option(help="Numbers with commas.")] = "1",
    tenant: str = "t",
    clumps: Annotated[float, typer.Option(min=0, max=1, help="Share that comes ten at a time.")] = 0.0,
    seed: int = 1,
) -> None:
    """An open-loop load on a courier on this machine; latency counts from when each request was due."""
    import asyncio

    from hopmill.document import ConfigError
    from hopmill.lab import loadtool
    from hopmill.net.config import parse_address

    with _plain_errors():
        try:
            where = parse_address(address, "ADDRESS")
            numbers = tuple(int(n) for n in partners.split(","))
        except (ConfigError, ValueError) as error:
            raise fail(str(error)) from None
        names = tuple(classes.split(","))
        plan = loadtool.Plan(rate, seconds, clients, names, numbers, tenant, clumps=clumps, seed=seed)
        print(json.dumps(asyncio.run(loadtool.run(where, plan)).as_json()))


class _plain_errors:
    """What a person has to know is one line; Ctrl-C keeps the seeds that are done."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        from hopmill.lab.farm import LabError
        from hopmill.lab.scenario import ScenarioError

        if isinstance(error, (LabError, ScenarioError)):
            raise fail(str(error)) from None
        if isinstance(error, KeyboardInterrupt):
            print("\nended early: what is above is done", file=sys.stderr)
            raise typer.Exit(130) from None
        return False
