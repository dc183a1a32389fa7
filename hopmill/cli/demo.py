"""The demo on a screen: progress while it runs, the account at its end."""

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
from hopmill.standin.scene import Options, Progress, LoopbackSystem

PLAIN_EVERY_S = 2.0  # between two lines where there is no terminal
ROWS = (
    ("handed in", "handed_in"),
    ("taken on", "taken"),
    ("refused: come again", "refused"),
    ("no answer in time", "failed"),
    ("delivered in time", "in_time"),
    ("delivered late", "late"),
    ("deferred", "deferred"),
    ("undeliverable", "undeliverable"),
    ("lost", "lost"),
    ("took effect twice", "twice"),
)


def account(result: Result, restarts: int) -> Table:
    table = Table("", "count", title="What became of the messages", title_justify="left")
    for text, name in ROWS:
        table.add_row(text, str(result.counts[name]))
    for share in (0.5, 0.9, 0.99):
        table.add_row(f"latency p{share * 100:g}", f"{result.percentile_ms(share):.0f} ms")
    told = result.as_json()
    for text, name in (
        ("calls", "calls"),
        ("calls refused", "calls_refused"),
        ("connections", "connections"),
        ("cold partners pushed over", "pushed_over"),
    ):
        table.add_row(text, str(told[name]))
    table.add_row("couriers restarted", str(restarts))
    return table


def _line(p: Progress) -> str:
    c = p.result.counts
    return (
        f"{p.elapsed_s:5.1f} s  {p.note:<28.60}  in {c['handed_in']}  taken {c['taken']}  "
        f"delivered {c['delivered']}  refused {c['refused']}  p99 {p.result.percentile_ms(0.99):.0f} ms"
    )


class Plain:
    """A line each two seconds, and at each change of the world."""

    def __init__(self, console: Console) -> None:
        self.console, self.said_at, self.note = console, -PLAIN_EVERY_S, ""

    def __call__(self, p: Progress) -> None:
        if p.elapsed_s - self.said_at >= PLAIN_EVERY_S or p.note != self.note:
            self.said_at, self.note = p.elapsed_s, p.note
            self.console.print(_line(p), highlight=False, soft_wrap=True)


def run(options: Options, as_json: bool) -> int:
    """Exit status: 1 if anything was lost or took effect twice though it may not, 130 after Ctrl-C."""
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
            console.print("ended early: no account", highlight=False)
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
        return asyncio.run(_run(scene, Plain(console)))
    with Live(console=console, transient=True) as live:
        return asyncio.run(_run(scene, lambda p: live.update(_line(p))))


async def _run(scene: LoopbackSystem, progress: Callable[[Progress], None]) -> Result:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for how in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):  # all end it the same way
        loop.add_signal_handler(how, task.cancel)
    return await scene.run(progress)
