"""`hopmill trial`: many courier processes under faults, a line a seed."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from hopmill.cli.app import fail
from hopmill.cli.seeds import seeds_of


def trial(scenario: str, couriers: int, seeds: str, history: Path | None) -> int:
    """Exit status: 1 for a violation, 130 after Ctrl-C."""
    from hopmill.fields import ConfigError
    from hopmill.trial import scenario as plan
    from hopmill.trial.run import Ask, run
    try:
        read = plan.read(scenario)
    except ConfigError as error:
        raise fail(str(error)) from None
    violated = False
    for seed in seeds_of(seeds):
        try:
            told = run(Ask(read, couriers or plan.couriers(read, seed), seed, history))
        except (KeyboardInterrupt, asyncio.CancelledError):
            return 130
        except (OSError, TimeoutError) as error:
            raise fail(f"{read.name}, seed {seed}: {error or 'a courier was not ready in time'}", 1) from None
        violated |= bool(told["violations"])
        print(json.dumps(told), flush=True)
    return int(violated)
