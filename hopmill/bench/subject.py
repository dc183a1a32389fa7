"""One courier process under measurement: the checkout of any revision, started as its deploy file does."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hopmill.standin.client import Client
from hopmill.standin.courier import free_port
from hopmill.standin.server import HOST

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT_S, POLL_INTERVAL_S = 20.0, 0.002


@dataclass
class Usage:
    """Resources of a process, read from /proc."""

    cpu_s: float  # user and system
    rss_kb: int  # now
    peak_rss_kb: int
    open_files: int  # descriptors


@dataclass
class MeasuredCourier:
    """A courier started with the platform's environment variables, which are the same for every revision."""

    name: str
    checkout: Path
    folder: Path
    platform_settings: dict[str, Any]  # as the platform writes them
    known_targets: dict[str, Any]  # list of targets that the courier starts with
    discovery_port: int
    has_operator_api: bool = False
    extra_config: dict[str, Any] = field(default_factory=dict)  # further fields of the configuration file
    limits: dict[str, float] = field(
        default_factory=lambda: {"memory_mb": 192, "sockets": 4096, "disk_mb": 64}
    )
    port: int = 0
    ready_s: float = 0.0
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it answers PING; `ready_s` is the time that this takes.

        OSError if it exits first, TimeoutError if it is not ready within READY_TIMEOUT_S.
        """
        state_folder = self.folder / f"{self.name}.state"
        state_folder.mkdir(parents=True, exist_ok=True)
        config = self.folder / f"{self.name}.json"
        config.write_text(
            json.dumps(
                {
                    "seed": 1,
                    "limits": self.limits,
                    "known": self.known_targets,
                    "settings": self.platform_settings,
                    **self.extra_config,
                }
            )
        )
        self.port = free_port()
        env = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.discovery_port}",
            "LB_STATE": str(state_folder),
            "LB_CONFIG": str(config),
            "LB_OPERATOR": f"{HOST}:{free_port()}" if self.has_operator_api else "",
            "PYTHONPATH": str(self.checkout),
        }
        began_at = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hopmill",
            env=env,
            cwd=self.checkout,
            stderr=asyncio.subprocess.DEVNULL,
            start_new_session=True,
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._answers_ping():
                if self.process.returncode is not None:
                    raise OSError(f"{self.name} exited with {self.process.returncode} before it was ready")
                await asyncio.sleep(POLL_INTERVAL_S)
        self.ready_s = time.monotonic() - began_at

    async def _answers_ping(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await Client().open(self.port)
            reply = await client.send(client.command(b"PING"))
            client.close()
            return reply == "+PONG"
        return False

    def usage(self) -> Usage:
        """Read the resources that the process uses now; it must be running."""
        assert self.process is not None
        process_folder = Path(f"/proc/{self.process.pid}")
        stat = (process_folder / "stat").read_text().rpartition(")")[2].split()
        lines = (process_folder / "status").read_text().splitlines()
        status = dict(line.split(":", 1) for line in lines if ":" in line)
        return Usage(
            (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S,
            int(status["VmRSS"].split()[0]),
            int(status["VmHWM"].split()[0]),
            len(os.listdir(process_folder / "fd")),
        )

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
