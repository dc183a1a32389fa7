"""`hopmill lab`: simulations, comparisons, sweeps, searches, replays and reports. Needs the extra `lab`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from hopmill.cli.app import JsonOption, error_exit
from hopmill.cli.seeds import seeds_of

lab = typer.Typer(
    help="Simulate a fleet in virtual time. Installed with the extra `lab`.", no_args_is_help=True
)
CouriersOption = Annotated[
    int, typer.Option(min=0, help="Number of couriers; the traffic scales with it; 0: as in the scenario.")
]
BuildOption = Annotated[str, typer.Option(help="Revision, folder, or constants as NAME=VALUE.")]
SeedsOption = Annotated[str, typer.Option(help="Seeds, such as 1-20 or 3,5,9.")]
CoresOption = Annotated[int, typer.Option(min=0, help="Processor cores to use; 0: all.")]


def _parse_changes(assignments: list[str]) -> dict[str, Any]:
    changes = {}
    for assignment in assignments:
        name, has_value, value = assignment.partition("=")
        if not has_value:
            raise error_exit(f"--set: must be NAME=VALUE, not {assignment}")
        try:
            changes[name] = json.loads(value)
        except ValueError:
            changes[name] = value
    return changes


def _print_progress(done: int, total: int) -> None:
    print(f"\r{done} of {total}", end="" if done < total else "\n", file=sys.stderr, flush=True)


SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", help="Change a field of the scenario, such as load.rate_per_s=800."),
]


@lab.command("run", epilog="Example: hopmill lab run calm --couriers 60 --seeds 1-20 --json")
def run_scenario(
    scenario: str,
    couriers: CouriersOption = 0,
    seeds: SeedsOption = "1-8",
    build: BuildOption = ".",
    change: SetOption = None,
    cores: CoresOption = 0,
    members: Annotated[
        bool, typer.Option("--members", help="Couriers form a fleet with membership.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Simulate a scenario: one line per seed, in order, the same on every run."""
    from hopmill.lab import farm

    with _OneLineErrors(), farm.build(build) as build_used:
        changes = _parse_changes(change or []) | ({"fleet.members": True} if members else {})
        job = farm.Job(build_used, scenario, couriers, changes)
        broken_count = 0
        for row in farm.run([(job, seed) for seed in seeds_of(seeds)], _print_progress, cores):
            # broken: the rule that the run broke, or "module failed"; absent otherwise (lab/play.py).
            broken_count += "broken" in row
            # G, the score of a run (see lab/result.py).
            text = (
                f"seed {row['seed']}: G {row['g']:.4f}  served {row['served']:.4f}  "
                f"worst {row['worst_window']:.4f}  refused {row['refused_calls']}  {row.get('text', '')}"
            )
            print(json.dumps(row) if as_json else text, flush=True)
    raise typer.Exit(int(broken_count > 0))


@lab.command(epilog="Example: hopmill lab compare HEAD~3 . --scenario calm,zone --couriers 60")
def compare(
    a: Annotated[str, typer.Argument(help="First build: revision, folder, or constants as NAME=VALUE.")],
    b: Annotated[str, typer.Argument(help="Build to compare with the first, given likewise.")],
    scenario: Annotated[str, typer.Option(help="Names, separated by commas.")] = "calm",
    couriers: CouriersOption = 0,
    seeds: SeedsOption = "1-64",
    goal: Annotated[
        float,
        typer.Option(help="Stop once the confidence interval of G, the score of a run, is ± this; 0: never."),
    ] = 0.005,
    cores: CoresOption = 0,
    as_json: JsonOption = False,
) -> None:
    """Compare B with A on the same seeds: revisions, folders, or constants such as policy.pacing.GROW=0.2."""
    from hopmill.lab import compare as comparison
    from hopmill.lab import farm

    with _OneLineErrors(), farm.build(a) as build_a, farm.build(b) as build_b:
        for name in scenario.split(","):
            differences, *_ = comparison.compare(
                build_a,
                build_b,
                name,
                couriers,
                seeds_of(seeds),
                goal,
                lambda text: print(text, file=sys.stderr, flush=True),
                cores,
            )
            for difference in differences:
                row = {
                    "scenario": name,
                    "part": difference.metric,  # one of compare.METRICS
                    "seeds": difference.seeds,
                    "a": difference.a,
                    "b": difference.b,
                    "difference": difference.mean,
                    "low": difference.low,
                    "high": difference.high,
                }
                print(
                    json.dumps(row)
                    if as_json
                    else f"{name:<9} {difference.metric:<13} {difference.a:.4f} -> {difference.b:.4f}  "
                    f"{difference.mean:+.4f} [{difference.low:+.4f}, {difference.high:+.4f}]  "
                    f"{difference.seeds} seeds",
                    flush=True,
                )


@lab.command(epilog="Example: hopmill lab sweep policy.pacing.GROW 0.05,0.1,0.2 --scenario calm")
def sweep(
    name: Annotated[str, typer.Argument(help="Path of the constant, such as policy.pacing.GROW.")],
    values: Annotated[str, typer.Argument(help="Values to try, separated by commas.")],
    scenario: str = "calm",
    couriers: CouriersOption = 0,
    seeds: SeedsOption = "1-16",
    cores: CoresOption = 0,
) -> None:
    """Compare each value of a constant with this build as it is, on the same seeds."""
    from hopmill.lab import compare as comparison
    from hopmill.lab import farm

    with _OneLineErrors():
        for value in values.split(","):
            differences, *_ = comparison.compare(
                farm.Build(),
                farm.Build(constants={name: value}),
                scenario,
                couriers,
                seeds_of(seeds),
                cores=cores,
            )
            difference = differences[0]  # that of G, the score of a run (see lab/result.py)
            print(
                f"{name}={value:<8} G {difference.b:.4f}  {difference.mean:+.4f} "
                f"[{difference.low:+.4f}, {difference.high:+.4f}]",
                flush=True,
            )


@lab.command(epilog="Example: hopmill lab search zone --couriers 40 --tries 40 --shrink")
def search(
    scenario: str,
    couriers: CouriersOption = 40,
    tries: int = 32,
    seed: int = 1,
    build: BuildOption = ".",
    shrink: Annotated[
        bool, typer.Option(help="Reduce the worst scenario to the fewest changes that show it.")
    ] = False,
) -> None:
    """Search random variants of a scenario; print the worst first."""
    from hopmill.lab import farm
    from hopmill.lab import search as search_module

    with _OneLineErrors(), farm.build(build) as build_used:
        rows = search_module.worst(build_used, scenario, couriers, tries, seed, _print_progress)
        for row in rows[:8]:
            print(json.dumps({k: row[k] for k in ("seed", "g", "changes")} | {"broken": row.get("broken")}))
        if shrink and rows:
            print(
                json.dumps(
                    search_module.shrink(
                        build_used, scenario, couriers, rows[0], lambda text: print(text, file=sys.stderr)
                    )
                )
            )


@lab.command(epilog="Example: hopmill lab record calm turns.jsonl --couriers 40 --courier 3")
def record(scenario: str, file: Path, couriers: CouriersOption = 40, seed: int = 1, courier: int = 0) -> None:
    """Record the events and actions of one courier, for `replay`."""
    from hopmill.lab import replay as replay_module
    from hopmill.lab.scenario import load

    with _OneLineErrors():
        print(f"{replay_module.record(load(scenario, couriers), seed, courier, file)} turns")


@lab.command(epilog="Example: hopmill lab replay turns.jsonl")
def replay(file: Path) -> None:
    """Replay recorded events through this build; print the first action that differs (exit 1)."""
    from hopmill.lab import replay as replay_module

    first_difference = replay_module.first_difference(file)
    print(first_difference or "all actions are the same")
    raise typer.Exit(int(first_difference is not None))


@lab.command(epilog="Example: hopmill lab report zone report.html --couriers 60 --seeds 1-4")
def report(
    scenario: str,
    file: Path,
    couriers: CouriersOption = 60,
    seeds: SeedsOption = "1-4",
    build: BuildOption = ".",
    against: Annotated[str, typer.Option(help="Build to compare with.")] = "",
) -> None:
    """Write an HTML page: share of worth served, calls by lane, couriers, latency, causes, differences."""
    from hopmill.lab import compare as comparison
    from hopmill.lab import farm
    from hopmill.lab import report as pages

    with _OneLineErrors(), farm.build(build) as build_used:
        job = farm.Job(build_used, scenario, couriers, with_details=True)
        rows = list(farm.run([(job, seed) for seed in seeds_of(seeds)], _print_progress))
        differences: list[Any] = []
        if against:
            with farm.build(against) as other_build:
                differences, *_ = comparison.compare(
                    other_build, build_used, scenario, couriers, seeds_of(seeds)
                )
        file.write_text(pages.page(f"{scenario}, {rows[0]['couriers']} couriers", rows, differences))
    print(file)


@lab.command(epilog="Example: hopmill lab live zone --couriers 3 --seconds 10")
def live(
    scenario: str,
    couriers: Annotated[int, typer.Option(min=1, max=16)] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=600)] = 10.0,
    seed: int = 1,
    as_json: JsonOption = False,
) -> None:
    """Run a scenario in real time, with courier processes, sockets and stand-ins."""
    from hopmill.lab.live import run

    with _OneLineErrors():
        result = run(scenario, couriers, seconds, seed)
    print(json.dumps(result) if as_json else "\n".join(f"{k}: {v}" for k, v in result.items()))
    raise typer.Exit(int(bool(result["lost"] or result["twice"])))


# A command of its own, `hopmill load` (added in app.py); it is here because it needs the extra `lab`.
def load(
    address: str,
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 100.0,
    seconds: float = 10.0,
    clients: Annotated[int, typer.Option(help="Number of connections.")] = 20,
    classes: Annotated[str, typer.Option(help="Names, separated by commas.")] = "safe",
    partners: Annotated[str, typer.Option(help="Numbers, separated by commas.")] = "1",
    tenant: str = "t",
    clumps: Annotated[
        float, typer.Option(min=0, max=1, help="Share of requests that come in bursts of ten.")
    ] = 0.0,
    seed: int = 1,
) -> None:
    """Put an open-loop load on a courier; latency counts from the time at which each request was due."""
    import asyncio

    from hopmill.document import ConfigError
    from hopmill.lab import loadtool
    from hopmill.net.config import parse_address

    with _OneLineErrors():
        try:
            parsed_address = parse_address(address, "ADDRESS")
            numbers = tuple(int(n) for n in partners.split(","))
        except (ConfigError, ValueError) as error:
            raise error_exit(str(error)) from None
        names = tuple(classes.split(","))
        plan = loadtool.Plan(rate, seconds, clients, names, numbers, tenant, clumps=clumps, seed=seed)
        print(json.dumps(asyncio.run(loadtool.run(parsed_address, plan)).as_json()))


class _OneLineErrors:
    """Turns errors of the lab into one line; after Ctrl-C the results so far stay printed."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        from hopmill.lab.farm import LabError
        from hopmill.lab.scenario import ScenarioError

        if isinstance(error, (LabError, ScenarioError)):
            raise error_exit(str(error)) from None
        if isinstance(error, KeyboardInterrupt):
            print("\nended early: each row above is a finished run", file=sys.stderr)
            raise typer.Exit(130) from None
        return False
