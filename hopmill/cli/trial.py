"""`hopmill trial`: many courier processes under faults, a line a seed."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from hopmill.cli.app import fail
from hopmill.cli.seeds import seeds_of

ALL = "all"


def trial(scenario: str, couriers: int, seeds: str, history: Path | None, at_once: int) -> int:
    """Exit status: 1 for a violation, 130 after Ctrl-C."""
    from hopmill.fields import ConfigError
    from hopmill.trial import scenario as plan

    names = plan.names() if scenario == ALL else [scenario]
    try:
        read = [plan.read(name) for name in names]
    except ConfigError as error:
        raise fail(str(error)) from None
    if scenario == ALL or at_once > 1:
        return _side_by_side(names, couriers, seeds_of(seeds), history, at_once)
    return max(_one(read[0], couriers, seed, history) for seed in seeds_of(seeds))


def _one(scenario: object, couriers: int, seed: int, history: Path | None) -> int:
    from hopmill.trial import scenario as plan
    from hopmill.trial.run import TrialOptions, run

    assert isinstance(scenario, plan.Scenario)
    try:
        told = run(TrialOptions(scenario, couriers or plan.draw_courier_count(scenario, seed), seed, history))
    except (KeyboardInterrupt, asyncio.CancelledError):
        raise SystemExit(130) from None
    except (OSError, TimeoutError) as error:
        raise fail(f"{scenario.name}, seed {seed}: {error or 'a courier was not ready in time'}", 1) from None
    print(json.dumps(told), flush=True)
    return int(bool(told["violations"]))


def _side_by_side(
    names: list[str], couriers: int, seeds: list[int], history: Path | None, at_once: int
) -> int:
    """Each trial in a process of its own; those end with this one."""
    from hopmill.standin.courier import end_with_parent

    running: set[subprocess.Popen[str]] = set()

    def one(name: str, seed: int) -> int:
        command = [sys.executable, "-m", "hopmill", "trial", name, "--couriers", str(couriers)]
        command += ["--seed", str(seed)]
        command += ["--history", str(history)] if history else []
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, preexec_fn=end_with_parent)
        running.add(process)
        said = process.communicate()[0]
        running.discard(process)
        sys.stdout.write(said)
        sys.stdout.flush()
        return process.returncode

    pool = ThreadPoolExecutor(max(1, at_once))
    try:
        rows = [pool.submit(one, name, seed) for seed in seeds for name in names]
        return max(min(1, abs(row.result())) for row in rows)
    except KeyboardInterrupt:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in list(running):
            process.send_signal(signal.SIGINT)
        return 130
