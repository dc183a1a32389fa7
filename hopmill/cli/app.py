"""The command line. Each command imports what it needs only when it runs, to keep serving small in memory."""

from __future__ import annotations

import difflib
import json
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Annotated, Any

import typer

app = typer.Typer(no_args_is_help=False, rich_markup_mode="rich", pretty_exceptions_enable=False)
journal_app = typer.Typer(
    help="Read a courier's state folder, also while the courier runs; nothing is written.",
    no_args_is_help=True,
)
app.add_typer(journal_app, name="journal")

# Method and path in the operator API; {} is the name of an endpoint or a zone.
OPERATOR_ACTIONS = {
    "health": ("GET", "/healthcheck"),
    "drain": ("POST", "/healthcheck/fail"),
    "undrain": ("POST", "/healthcheck/ok"),
    "endpoints": ("GET", "/endpoints"),
    "lanes": ("GET", "/lanes"),
    "zones": ("GET", "/zones"),
    "connections": ("GET", "/connections"),
    # maint: excluded by an operator; ready: no longer excluded.
    "out": ("POST", "/endpoints/{}/maint"),
    "back": ("POST", "/endpoints/{}/ready"),
    "zone-out": ("POST", "/zones/{}/maint"),
    "zone-back": ("POST", "/zones/{}/ready"),
}
# First arguments for which the lab's commands are not added.
ARGUMENTS_THAT_SKIP_LAB = (
    "serve",
    "check",
    "schema",
    "demo",
    "ctl",
    "top",
    "journal",
    "fleet",
    "trial",
    "soak",
    "--version",
)
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def error_exit(text: str, status: int = 2) -> typer.Exit:
    """Prints an error line and returns the exception that ends the command with that status."""
    print(f"hopmill: {text}", file=sys.stderr)
    return typer.Exit(status)


def _print_version(is_requested: bool) -> None:
    if is_requested:
        try:
            print(f"hopmill {version('hopmill')}")
        except PackageNotFoundError:
            print("hopmill, from a checkout that is not installed")
        raise typer.Exit


@app.callback()
def root(
    show_version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True, help="Print the version and exit."),
    ] = False,
) -> None:
    """A courier: accepts messages for outside partners and delivers each by an HTTP call.

    Without a command it serves, configured by the platform's environment variables."""
    # Serving without a command is done in hopmill/__main__.py, which does not import this module for it.


@app.command(epilog="Example: hopmill serve deploy/courier.example.toml")
def serve(
    file: Annotated[
        Path | None,
        typer.Argument(help="Configuration in TOML; without one, the platform's environment variables."),
    ] = None,
) -> None:
    """Run a courier. The platform's environment variables take precedence over the file."""
    from hopmill.serve import run

    raise typer.Exit(run(file))


@app.command(epilog="Example: hopmill check deploy/courier.example.toml")
def check(file: Path, as_json: JsonOption = False) -> None:
    """Check a configuration; print the values that apply and the features that are off. Not valid: exit 2."""
    from hopmill import document as document_module

    try:
        document = document_module.read_toml(file)
    except document_module.ConfigError as error:
        raise error_exit(str(error)) from None
    values, disabled = document_module.flatten(document), document_module.disabled_options(document)
    if as_json:
        # holds: the values that apply; off: the optional features that are switched off.
        print(json.dumps({"holds": values, "off": disabled}, default=str))
        return
    for path, value in values.items():
        print(f"{path} = {json.dumps(value, default=str)}")
    for option in disabled:
        print(f"off: {option}")


@app.command(epilog="Example: hopmill schema > courier.schema.json")
def schema() -> None:
    """Print the JSON schema of the configuration."""
    import msgspec

    from hopmill.document import Document

    print(json.dumps(msgspec.json.schema(Document), indent=2))


@app.command(epilog="Example: hopmill demo --seconds 5 --trouble zone --json")
def demo(
    seconds: Annotated[
        float, typer.Option(min=1, max=3600, help="Seconds during which messages are sent.")
    ] = 10.0,
    rate: Annotated[float, typer.Option(min=1, max=2000, help="Messages per second.")] = 100.0,
    trouble: Annotated[
        str, typer.Option(help="Fault to inject: none, down, silent, shut, restart or zone.")
    ] = "down",
    couriers: Annotated[int, typer.Option(min=1, max=8)] = 2,
    seed: Annotated[int, typer.Option(help="Seed of load and partners.")] = 1,
    as_json: JsonOption = False,
) -> None:
    """Run partners, discovery, couriers and a load on this machine, and print what became of each message."""
    from hopmill.cli.demo import run
    from hopmill.standin.loopback_system import TROUBLES, Options

    _require_choice(trouble, TROUBLES, "trouble")
    raise typer.Exit(run(Options(seconds, rate, couriers, trouble, seed), as_json))


@app.command(epilog="Example: hopmill ctl 127.0.0.1:8600 zone-out hall-a")
def ctl(
    address: Annotated[str, typer.Argument(help="HOST:PORT of a courier's operator API.")],
    action: Annotated[
        str, typer.Argument(help=", ".join(OPERATOR_ACTIONS), autocompletion=lambda: list(OPERATOR_ACTIONS))
    ],
    name: Annotated[str, typer.Argument(help="Name of an endpoint or a zone.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Query or control a courier through its operator API. Exit 1 if the courier refuses."""
    from hopmill.cli.operator_client import OperatorApiError, call, format_lines

    _require_choice(action, tuple(OPERATOR_ACTIONS), "action")
    method, path = OPERATOR_ACTIONS[action]
    if ("{}" in path) != bool(name):
        raise error_exit(f"{action} takes {'a name' if '{}' in path else 'no name'}")
    try:
        status, body = call(address, method, path, name)
    except OperatorApiError as error:
        raise error_exit(str(error), 1) from None
    print(json.dumps(body) if as_json else "\n".join(format_lines(body)))
    raise typer.Exit(0 if 200 <= status < 300 else 1)


@app.command(epilog="Example: hopmill top 127.0.0.1:8600 127.0.0.1:8601 --times 3")
def top(
    addresses: Annotated[list[str], typer.Argument(help="HOST:PORT of each courier's operator API.")],
    every: Annotated[float, typer.Option(min=0.1, help="Seconds between two updates.")] = 1.0,
    times: Annotated[int, typer.Option(min=0, help="Number of updates; 0: until Ctrl-C.")] = 0,
) -> None:
    """Show several couriers live, by partner and zone."""
    from hopmill.cli.top import run

    raise typer.Exit(run(addresses, every, times))


@app.command(epilog="Example: hopmill trial storm --seed 1-5")
def trial(
    scenario: Annotated[str, typer.Argument(help="Name of a scenario, a TOML file, or all.")],
    couriers: Annotated[
        int, typer.Option(min=0, max=200, help="Number of couriers; 0: drawn by the seed.")
    ] = 0,
    seed: Annotated[str, typer.Option(help="Seeds, such as 1-20 or 3,5,9.")] = "1",
    history: Annotated[Path | None, typer.Option(help="Folder to keep histories and logs in.")] = None,
    at_once: Annotated[int, typer.Option(min=1, max=16, help="Trials that run at the same time.")] = 1,
    as_json: JsonOption = True,  # accepted for compatibility; output is always JSON
) -> None:
    """Run courier processes under load and injected faults; one line per seed. Exit 1 after a violation."""
    from hopmill.cli.trial import trial as run

    raise typer.Exit(run(scenario, couriers, seed, history, at_once))


@app.command(epilog="Example: hopmill soak --seed 1-5 --seconds 16")
def soak(
    seed: Annotated[str, typer.Option(help="Seeds of faults and load, such as 1-20 or 3,5,9.")] = "1",
    seconds: Annotated[
        float, typer.Option(min=2, max=3600, help="Seconds during which messages are sent.")
    ] = 16.0,
    couriers: Annotated[int, typer.Option(min=1, max=60, help="Courier processes.")] = 4,
    folder: Annotated[
        Path | None, typer.Option(help="Folder to keep schedules, logs and results in.")
    ] = None,
) -> None:
    """Run couriers while processes, discovery's agents and endpoints fail. Exit 1 after a violation."""
    from hopmill.cli.soak import soak as run

    raise typer.Exit(run(seed, seconds, couriers, folder))


@journal_app.command("show", epilog="Example: hopmill journal show /var/lib/hopmill")
def journal_show(folder: Path, as_json: JsonOption = False) -> None:
    """Show the messages held, the notices not yet sent, and what operators have excluded."""
    from hopmill.cli.journal import show

    raise typer.Exit(show(folder, as_json))


@journal_app.command("verify", epilog="Example: hopmill journal verify /var/lib/hopmill")
def journal_verify(folder: Path, as_json: JsonOption = False) -> None:
    """Read every record. Exit 1 if some are damaged or of an unknown kind."""
    from hopmill.cli.journal import verify

    raise typer.Exit(verify(folder, as_json))


def _require_choice(value: str, choices: tuple[str, ...], kind: str) -> None:
    if value not in choices:
        matches: Any = difflib.get_close_matches(value, choices, 1)
        raise error_exit(
            f"no such {kind}: {value}"
            + (f"; did you mean {matches[0]}?" if matches else f"; there are {', '.join(choices)}")
        )


def _add_lab() -> None:
    """Adds the lab's commands; without the extra `lab`, a command that says how to install it."""
    try:
        import importlib.util

        if not all(importlib.util.find_spec(name) for name in ("numpy", "scipy", "matplotlib", "hdrh")):
            raise ImportError
    except ImportError:

        @app.command("lab")
        def missing() -> None:
            """The simulator (not installed: pip install 'hopmill[lab]')."""
            raise error_exit("this command needs the extra: pip install 'hopmill[lab]'", 1)
    else:
        from hopmill.cli.lab import lab, load

        app.add_typer(lab, name="lab")
        app.command("load", epilog="Example: hopmill load 127.0.0.1:6379 --rate 500 --seconds 5")(load)


def _add_fleet() -> None:
    from hopmill.cli import policy  # imported for its commands, which it adds to `fleet`
    from hopmill.cli.fleet import fleet

    assert policy.fleet is fleet  # `policy` is used for nothing else
    app.add_typer(fleet, name="fleet")


def main() -> int:
    """Runs the command line and returns its exit status."""
    # Looking up the packages of the lab takes time; these arguments do not need it.
    if sys.argv[1:2] and sys.argv[1] not in ARGUMENTS_THAT_SKIP_LAB:
        _add_lab()
    _add_fleet()
    try:
        app(prog_name="hopmill")
    except SystemExit as system_exit:
        return system_exit.code if isinstance(system_exit.code, int) else 1
    return 0
