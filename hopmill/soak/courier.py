"""The courier processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopmill.soak.agent import Agent
from hopmill.soak.rules import MEMORY_LIMIT_MB, ZONE_BOUND_CLASS
from hopmill.soak.schedule import asks_shared_server
from hopmill.soak.process import CONTROL_VARIABLE, ProcessFaults
from hopmill.standin.courier import CourierProcess
from hopmill.standin.load import LoadClass
from hopmill.standin.loopback_system import MESSAGE_CLASSES, Options, courier_toml

SOAK_CLASSES = [
    *MESSAGE_CLASSES,
    LoadClass(ZONE_BOUND_CLASS, 0.15, 2.0, 8.0, keyed=True, zone_bound=True),
]
RATE_PER_S = 25.0  # messages for each courier


@dataclass(frozen=True)
class SoakOptions:
    """What to run. seconds: of load; couriers: processes beside one another."""

    seed: int
    seconds: float = 16.0
    couriers: int = 4
    folder: Path | None = None  # where schedule, logs and result are kept; None: only after a violation


class SoakCourier(CourierProcess):
    """A courier process with an agent of discovery of its own."""

    def __init__(self, number: int, folder: Path, options: SoakOptions, agent: Agent) -> None:
        settings = Options(couriers=options.couriers, seed=options.seed)
        self.settings_toml = courier_toml(agent.port, settings, number, SOAK_CLASSES, MEMORY_LIMIT_MB)
        if asks_shared_server(number):
            self.settings_toml = "list_on_request = true\n" + self.settings_toml
        super().__init__(f"courier-{number}", folder, self.settings_toml)
        self.agent = agent
        self.process_faults = ProcessFaults(folder / f"{self.name}.faults")
        self.fixed_toml = self.config_file.read_text()
        self.process_lock = asyncio.Lock()  # held during a fault: one fault of the process at a time

    async def launch(
        self, module: str = "hopmill.soak.process", fds: tuple[int, ...] = (), **env: str
    ) -> asyncio.subprocess.Process:
        """Start the process with the faults that are in force."""
        return await super().launch(module, fds, **env, **{CONTROL_VARIABLE: str(self.process_faults.path)})

    def limit_file_growth(self, spare_bytes: int | None) -> None:
        """Let writes fail that make a file larger than the largest one and so many bytes; None: no limit."""
        if self.process is None or self.process.returncode is not None:
            return
        files = (self.folder / f"{self.name}.state").iterdir()
        with contextlib.suppress(OSError):
            _, hard_limit = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            size = hard_limit if spare_bytes is None else max(f.stat().st_size for f in files) + spare_bytes
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, hard_limit))

    async def start_with_known_list(self, on_launch: Callable[[], None], pause_s: float) -> None:
        """Start with the list as the former process had it; stop the process for `pause_s` meanwhile."""
        self.config_file.write_text(self.fixed_toml + known_partners_toml(self.agent.last_written))
        starting = asyncio.create_task(self.start())
        former = self.process
        while self.process is former and not starting.done():
            await asyncio.sleep(0)
        on_launch()
        if pause_s:
            self.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            self.signal(signal.SIGCONT)
        await starting

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


def known_partners_toml(known: dict[str, Any]) -> str:
    """Return the endpoints in service of a list as the tables of a configuration file."""
    by_partner: dict[int, list[dict[str, Any]]] = {}
    for target in known["targets"]:
        if target["state"] == "in_service":
            by_partner.setdefault(target["pod_group"], []).append(target)
    tables = []
    for number, targets in by_partner.items():
        tables.append(f'[[partners]]\nnumber = {number}\nkind = "{targets[0]["model"]}"\n')
        tables += [
            f'[[partners.endpoints]]\nuid = "{target["uid"]}"\naddress = "{target["endpoint"]}"\n'
            f'zone = "{target["az"]}"\nrate_per_s = {target["capacity_hint"]}\n'
            for target in targets
        ]
    return "\n" + "\n".join(tables)
