"""What a trial is like, and the faults that a seed draws for it."""

from __future__ import annotations

import random
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec

from hopmill.fields import ConfigError, NotNegative, Positive, Share, Strict

FOLDER = Path(__file__).parent / "scenarios"
KINDS = (
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
QUIET_S = 1.0  # before the first fault, and between a fault's end and the end of the trial at least


class Net(Strict):
    """Of every pair of members, all the time."""

    loss: Share = 0.0
    repeat: Share = 0.0
    delay_ms: NotNegative = 0.0  # at most; drawn evenly, so that datagrams overtake one another


class Scenario(Strict, kw_only=True):
    name: str
    what: str = ""
    couriers: tuple[int, int] = (5, 12)  # drawn from, where none is asked for
    seconds: Positive = 10.0
    rate_per_s: Positive = 60.0
    changes_per_s: NotNegative = 5.0
    policies_per_s: NotNegative = 0.0  # changes of policy that staff propose
    alone: Literal["", "hold", "last"] = ""  # what couriers do without a lease; empty: no policy
    acts_per_s: NotNegative = 80.0  # askings, of all couriers together, whether one holds the lease
    net: Net = Net()
    clocks_off_s: NotNegative = 0.0  # wall clocks are wrong by up to so much, either way
    every_s: NotNegative = 0.0  # mean time between two faults; 0: none
    faults: dict[str, NotNegative] = {}  # how often each kind, against the others


@dataclass(frozen=True)
class Fault:
    """At `at` seconds, for `lasts` seconds."""

    at: float
    kind: str
    lasts: float
    who: tuple[int, ...]
    detail: dict[str, Any] = field(default_factory=dict)


def names() -> list[str]:
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def read(name: str) -> Scenario:
    """One that comes along, by its name, or a file. ConfigError: what is wrong, in a line."""
    path = Path(name) if name.endswith(".toml") else FOLDER / f"{name}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    except FileNotFoundError:
        raise ConfigError(f"no such scenario: {name}; there are {', '.join(names())}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    for kind in scenario.faults:
        if kind not in KINDS:
            raise ConfigError(f"{path}: faults.{kind}: no such kind; there are {', '.join(KINDS)}")
    return scenario


def couriers(scenario: Scenario, seed: int) -> int:
    return random.Random(f"couriers {seed}").randint(*scenario.couriers)


def draw(scenario: Scenario, seed: int, members: int, voters: int) -> list[Fault]:
    """All faults of the trial, in order. Only one folder at a time is lost: more is beyond any register."""
    chance = random.Random(f"faults {scenario.name} {seed}")
    faults: list[Fault] = []
    if not scenario.every_s or not scenario.faults:
        return faults
    kinds, often = list(scenario.faults), list(scenario.faults.values())
    at, folder_until = QUIET_S, 0.0
    while (at := at + chance.expovariate(1 / scenario.every_s)) < scenario.seconds - QUIET_S:
        kind = chance.choices(kinds, often)[0]
        most = max(0.2, scenario.seconds - QUIET_S - at)
        lasts = min(most, LASTS.get(kind, lambda c: 0.0)(chance))
        who = chance.sample(range(members), members)
        detail: dict[str, Any] = {}
        if kind == "folder":
            if at < folder_until:
                continue
            folder_until = at + 6.0
            detail["back"] = chance.random() < 0.5
            who = [chance.randrange(voters if chance.random() < 0.7 else members)]
        elif kind == "half":
            who = who[: max(1, members // 2)]
        elif kind == "split":
            detail["groups"] = [chance.randrange(chance.choice((2, 3))) for _ in range(members)]
        elif kind == "oneway":
            detail["way"] = chance.choice(("hears", "heard", "pair", "all but one"))
            who = who[:2]
        elif kind == "loss":
            detail |= {
                "loss": chance.choice((0.1, 0.3)),
                "repeat": chance.choice((0.0, 0.2)),
                "delay_ms": chance.choice((1.0, 20.0, 200.0)),
            }
            who = []
        elif kind == "slowdisk":
            detail["ms"] = chance.choice((10.0, 100.0, 1000.0))
            who = who[: chance.choice((1, members))]
        else:
            who = who[:1]
        faults.append(Fault(round(at, 3), kind, round(lasts, 3), tuple(who), detail))
    return faults


LASTS = {
    "kill": lambda c: c.uniform(0.1, 3.0),
    "half": lambda c: c.uniform(0.1, 3.0),
    "restart": lambda c: 0.3,
    "stop": lambda c: c.choice((c.uniform(0.1, 1.0), c.uniform(1.0, 20.0))),
    "split": lambda c: c.uniform(0.5, 5.0),
    "oneway": lambda c: c.uniform(0.5, 5.0),
    "loss": lambda c: c.uniform(1.0, 5.0),
    "folder": lambda c: c.uniform(0.1, 1.0),
    "slowdisk": lambda c: c.uniform(0.5, 5.0),
    "upgrade": lambda c: 1.0,
    "fulldisk": lambda c: c.uniform(0.5, 3.0),
}
