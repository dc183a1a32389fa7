"""`hopmill demo`: prints progress while it runs and a summary at its end."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from hopmill.standin.ledger import Result
from hopmill.standin.loopback_system import Options, Progress, LoopbackSystem

PLAIN_INTERVAL_S = 2.0  # between two lines without a terminal
COUNT_ROWS = (
    ("handed in", "handed_in"),
    ("taken on", "taken"),
    ("refused, to be sent again", "refused"),
    ("no answer in time", "failed"),
    ("delivered in time", "in_time"),
    ("delivered late", "late"),
    ("deferred", "deferred"),
    ("undeliverable", "undeliverable"),
    ("lost", "lost"),
    ("took effect twice", "twice"),
)


def account(result: Result, restarts: int) -> Table:
    """The summary as a table: what became of each message, latency, calls."""
    table = Table("", "count", title="What became of the messages", title_justify="left")
    for text, name in COUNT_ROWS:
        table.add_row(text, str(result.counts[name]))
    for share in (0.5, 0.9, 0.99):
        table.add_row(f"latency p{share * 100:g}", f"{result.percentile_ms(share):.0f} ms")
    result_fields = result.as_json()
    for text, name in (
        ("calls", "calls"),
        ("calls refused", "calls_refused"),
        ("connections", "connections"),
        ("cold partners overloaded", "pushed_over"),
    ):
        table.add_row(text, str(result_fields[name]))
    table.add_row("couriers restarted", str(restarts))
    return table


def _line(progress: Progress) -> str:
    counts = progress.result.counts
    return (
        f"{progress.elapsed_s:5.1f} s  {progress.note:<28.60}  in {counts['handed_in']}  "
        f"taken {counts['taken']}  delivered {counts['delivered']}  refused {counts['refused']}  "
        f"p99 {progress.result.percentile_ms(0.99):.0f} ms"
    )


class PlainProgress:
    """Prints a line every two seconds, and at each change of the fault."""

    def __init__(self, console: Console) -> None:
        self.console, self.printed_at, self.note = console, -PLAIN_INTERVAL_S, ""

    def __call__(self, progress: Progress) -> None:
        """Prints a line if one is due."""
        if progress.elapsed_s - self.printed_at >= PLAIN_INTERVAL_S or progress.note != self.note:
            self.printed_at, self.note = progress.elapsed_s, progress.note
            self.console.print(_line(progress), highlight=False, soft_wrap=True)


def run(options: Options, as_json: bool) -> int:
    """Exit status: 1 if a message was lost or an unsafe one took effect twice, 130 after Ctrl-C."""
    console = Console(stderr=as_json)
    with tempfile.TemporaryDirectory(prefix="hopmill-demo-") as folder:
        scene = LoopbackSystem(options, Path(folder))
        console.print(
            f"{options.couriers} couriers, 5 partners, {options.rate_per_s:g} messages a second for "
            f"{options.seconds:g} s; trouble: {options.trouble}",
            highlight=False,
        )
        try:
            result = _watch(scene, console)
        except (KeyboardInterrupt, asyncio.CancelledError):
            console.print("ended early: no summary", highlight=False)
            return 130
        except (OSError, TimeoutError) as error:
            print(f"hopmill: {error or 'a courier was not ready in time'}", file=sys.stderr)
            return 1
    console.print(account(result, scene.restarts))
    if as_json:
        print(json.dumps(result.as_json() | {"restarts": scene.restarts}))
    return int(result.has_violations)


def _watch(scene: LoopbackSystem, console: Console) -> Result:
    if not console.is_terminal:
        return asyncio.run(_run(scene, PlainProgress(console)))
    with Live(console=console, transient=True) as live:
        return asyncio.run(_run(scene, lambda shown: live.update(_line(shown))))


async def _run(scene: LoopbackSystem, progress: Callable[[Progress], None]) -> Result:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    # Each cancels the demo, which ends its processes.
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, task.cancel)
    return await scene.run(progress)
