"""`hopmill trial`: courier processes under faults, one line per seed."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from hopmill.cli.app import error_exit
from hopmill.cli.seeds import seeds_of

ALL_SCENARIOS = "all"


def trial(scenario: str, couriers: int, seeds: str, history: Path | None, at_once: int) -> int:
    """Runs the trials. Exit status: 1 after a violation, 130 after Ctrl-C."""
    from hopmill.fields import ConfigError
    from hopmill.trial import scenario as scenarios

    names = scenarios.names() if scenario == ALL_SCENARIOS else [scenario]
    try:
        loaded = [scenarios.read(name) for name in names]
    except ConfigError as error:
        raise error_exit(str(error)) from None
    if scenario == ALL_SCENARIOS or at_once > 1:
        return _run_side_by_side(names, couriers, seeds_of(seeds), history, at_once)
    return max(_run_one(loaded[0], couriers, seed, history) for seed in seeds_of(seeds))


def _run_one(scenario: object, couriers: int, seed: int, history: Path | None) -> int:
    from hopmill.trial import scenario as scenarios
    from hopmill.trial.run import TrialOptions, run

    assert isinstance(scenario, scenarios.Scenario)
    try:
        summary = run(
            TrialOptions(scenario, couriers or scenarios.draw_courier_count(scenario, seed), seed, history)
        )
    except (KeyboardInterrupt, asyncio.CancelledError):
        raise SystemExit(130) from None
    except (OSError, TimeoutError) as error:
        raise error_exit(
            f"{scenario.name}, seed {seed}: {error or 'a courier was not ready in time'}", 1
        ) from None
    print(json.dumps(summary), flush=True)
    return int(bool(summary["violations"]))


def _run_side_by_side(
    names: list[str], couriers: int, seeds: list[int], history: Path | None, at_once: int
) -> int:
    """Runs each trial in a process of its own; those end with this one."""
    from hopmill.standin.courier import end_with_parent

    running: set[subprocess.Popen[str]] = set()

    def run_one(name: str, seed: int) -> int:
        command = [sys.executable, "-m", "hopmill", "trial", name, "--couriers", str(couriers)]
        command += ["--seed", str(seed)]
        command += ["--history", str(history)] if history else []
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, preexec_fn=end_with_parent)
        running.add(process)
        output = process.communicate()[0]
        running.discard(process)
        sys.stdout.write(output)
        sys.stdout.flush()
        return process.returncode

    pool = ThreadPoolExecutor(max(1, at_once))
    try:
        futures = [pool.submit(run_one, name, seed) for seed in seeds for name in names]
        return max(min(1, abs(future.result())) for future in futures)
    except KeyboardInterrupt:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in list(running):
            process.send_signal(signal.SIGINT)
        return 130
