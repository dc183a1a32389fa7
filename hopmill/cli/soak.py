"""`hopmill soak`: courier processes under faults of processes, agents and endpoints; one line per seed."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from hopmill.cli.app import error_exit
from hopmill.cli.seeds import seeds_of


def soak(seeds: str, seconds: float, couriers: int, folder: Path | None) -> int:
    """Run the soaks one after another. Exit status: 1 after a violation, 130 after Ctrl-C."""
    from hopmill.soak.run import SoakOptions, run

    has_violations = False
    for seed in seeds_of(seeds):
        try:
            result = run(SoakOptions(seed, seconds, couriers, folder))
        except (KeyboardInterrupt, asyncio.CancelledError):
            raise SystemExit(130) from None
        except (OSError, TimeoutError) as error:
            raise error_exit(f"seed {seed}: {error or 'the soak did not end in time'}", 1) from None
        print(json.dumps(result), flush=True)
        if result["violations"]:
            has_violations = True
            print(f"again: hopmill soak --seed {seed} --seconds {seconds:g} --couriers {couriers}")
    return int(has_violations)
