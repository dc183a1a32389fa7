"""Scenarios of trials, and the faults that a seed draws for them."""

from __future__ import annotations

import random
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec

from hopmill.fields import ConfigError, NotNegative, Positive, Share, Strict

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
FAULT_KINDS = (
    "kill",
    "stop",
    "split",
    "oneway",
    "loss",
    "folder",
    "fulldisk",
    "slowdisk",
    "restart",
    "upgrade",
    "half",
)
FAULT_FREE_S = 1.0  # before the first fault, and at least between the end of the last fault and of the trial


class Net(Strict):
    """Permanent conditions on the path between every pair of members."""

    loss: Share = 0.0
    repeat: Share = 0.0
    delay_ms: NotNegative = 0.0  # maximum; drawn uniformly for each datagram, so that some overtake others


class Scenario(Strict, kw_only=True):
    """A trial as its TOML file describes it."""

    name: str
    what: str = ""
    couriers: tuple[int, int] = (5, 12)  # range to draw from where no number is given
    seconds: Positive = 10.0
    rate_per_s: Positive = 60.0
    changes_per_s: NotNegative = 5.0
    policies_per_s: NotNegative = 0.0  # policy changes that operators propose
    alone: Literal["", "hold", "last"] = ""  # what couriers do without a policy lease; empty: no policy
    acts_per_s: NotNegative = 80.0  # checks whether a courier holds the lease, over all couriers
    net: Net = Net()
    clocks_off_s: NotNegative = 0.0  # maximum error of wall clocks, either way
    every_s: NotNegative = 0.0  # mean time between two faults; 0: none
    faults: dict[str, NotNegative] = {}  # relative weight of each kind


@dataclass(frozen=True)
class Fault:
    """One fault of a trial; times in seconds from the start of the load."""

    at_s: float
    kind: str
    duration_s: float
    couriers: tuple[int, ...]
    detail: dict[str, Any] = field(default_factory=dict)


def names() -> list[str]:
    """The scenarios that come with the program."""
    return sorted(path.stem for path in SCENARIO_FOLDER.glob("*.toml"))


def read(name: str) -> Scenario:
    """A scenario by its name, or from a TOML file. ConfigError, one line, if it is missing or not valid."""
    path = Path(name) if name.endswith(".toml") else SCENARIO_FOLDER / f"{name}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    except FileNotFoundError:
        raise ConfigError(f"no such scenario: {name}; there are {', '.join(names())}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    for kind in scenario.faults:
        if kind not in FAULT_KINDS:
            raise ConfigError(f"{path}: faults.{kind}: no such kind; there are {', '.join(FAULT_KINDS)}")
    return scenario


def draw_courier_count(scenario: Scenario, seed: int) -> int:
    """The number of couriers where the caller gives none."""
    return random.Random(f"couriers {seed}").randint(*scenario.couriers)


def draw_faults(scenario: Scenario, seed: int, members: int, voters: int) -> list[Fault]:
    """All faults of the trial, in order of time.

    Folders are lost one at a time: the register cannot survive the loss of several voters' state at once.
    """
    rng = random.Random(f"faults {scenario.name} {seed}")
    faults: list[Fault] = []
    if not scenario.every_s or not scenario.faults:
        return faults
    kinds, weights = list(scenario.faults), list(scenario.faults.values())
    at_s, folder_until = FAULT_FREE_S, 0.0
    while (at_s := at_s + rng.expovariate(1 / scenario.every_s)) < scenario.seconds - FAULT_FREE_S:
        kind = rng.choices(kinds, weights)[0]
        longest_s = max(0.2, scenario.seconds - FAULT_FREE_S - at_s)
        duration_s = min(longest_s, DURATIONS_S.get(kind, lambda rng: 0.0)(rng))
        chosen = rng.sample(range(members), members)
        detail: dict[str, Any] = {}
        if kind == "folder":
            if at_s < folder_until:
                continue
            folder_until = at_s + 6.0
            detail["back"] = rng.random() < 0.5
            chosen = [rng.randrange(voters if rng.random() < 0.7 else members)]
        elif kind == "half":
            chosen = chosen[: max(1, members // 2)]
        elif kind == "split":
            detail["groups"] = [rng.randrange(rng.choice((2, 3))) for _ in range(members)]
        elif kind == "oneway":
            detail["way"] = rng.choice(("hears", "heard", "pair", "all but one"))
            chosen = chosen[:2]
        elif kind == "loss":
            detail |= {
                "loss": rng.choice((0.1, 0.3)),
                "repeat": rng.choice((0.0, 0.2)),
                "delay_ms": rng.choice((1.0, 20.0, 200.0)),
            }
            chosen = []
        elif kind == "slowdisk":
            detail["ms"] = rng.choice((10.0, 100.0, 1000.0))
            chosen = chosen[: rng.choice((1, members))]
        else:
            chosen = chosen[:1]
        faults.append(Fault(round(at_s, 3), kind, round(duration_s, 3), tuple(chosen), detail))
    return faults


DURATIONS_S = {
    "kill": lambda rng: rng.uniform(0.1, 3.0),
    "half": lambda rng: rng.uniform(0.1, 3.0),
    "restart": lambda rng: 0.3,
    "stop": lambda rng: rng.choice((rng.uniform(0.1, 1.0), rng.uniform(1.0, 20.0))),
    "split": lambda rng: rng.uniform(0.5, 5.0),
    "oneway": lambda rng: rng.uniform(0.5, 5.0),
    "loss": lambda rng: rng.uniform(1.0, 5.0),
    "folder": lambda rng: rng.uniform(0.1, 1.0),
    "slowdisk": lambda rng: rng.uniform(0.5, 5.0),
    "upgrade": lambda rng: 1.0,
    "fulldisk": lambda rng: rng.uniform(0.5, 3.0),
}
