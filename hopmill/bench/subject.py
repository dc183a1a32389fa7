"""One courier process under measurement: any revision's checkout, started as its deploy file starts it."""

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

TICKS = os.sysconf("SC_CLK_TCK")
READY_S, POLL_S = 20.0, 0.002


@dataclass
class Usage:
    """Read from /proc. cpu_s: user and system; rss_kb now, peak_kb the most; fds: open descriptors."""

    cpu_s: float
    rss_kb: int
    peak_kb: int
    fds: int


@dataclass
class Subject:
    """`checkout` is the folder of a revision; the platform's environment is the same for all."""

    name: str
    checkout: Path
    folder: Path
    raw: dict[str, Any]  # the platform's settings
    known: dict[str, Any]
    discovery: int  # its port
    door: bool = False
    extra: dict[str, Any] = field(default_factory=dict)  # more fields of the configuration
    limits: dict[str, float] = field(
        default_factory=lambda: {"memory_mb": 192, "sockets": 4096, "disk_mb": 64}
    )
    port: int = 0
    ready_s: float = 0.0
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Returns once PING is answered; `ready_s` is the time that took."""
        state = self.folder / f"{self.name}.state"
        state.mkdir(parents=True, exist_ok=True)
        config = self.folder / f"{self.name}.json"
        config.write_text(
            json.dumps(
                {"seed": 1, "limits": self.limits, "known": self.known, "settings": self.raw, **self.extra}
            )
        )
        self.port = free_port()
        env = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.discovery}",
            "LB_STATE": str(state),
            "LB_CONFIG": str(config),
            "LB_OPERATOR": f"{HOST}:{free_port()}" if self.door else "",
            "PYTHONPATH": str(self.checkout),
        }
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hopmill",
            env=env,
            cwd=self.checkout,
            stderr=asyncio.subprocess.DEVNULL,
            start_new_session=True,
        )
        async with asyncio.timeout(READY_S):
            while not await self._pings():
                if self.process.returncode is not None:
                    raise OSError(f"{self.name}: ended at its start with {self.process.returncode}")
                await asyncio.sleep(POLL_S)
        self.ready_s = time.monotonic() - began

    async def _pings(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await Client().open(self.port)
            said = await client.send(client.command(b"PING"))
            client.close()
            return said == "+PONG"
        return False

    def usage(self) -> Usage:
        assert self.process is not None
        proc = Path(f"/proc/{self.process.pid}")
        stat = (proc / "stat").read_text().rpartition(")")[2].split()
        lines = (proc / "status").read_text().splitlines()
        status = dict(line.split(":", 1) for line in lines if ":" in line)
        return Usage(
            (int(stat[11]) + int(stat[12])) / TICKS,
            int(status["VmRSS"].split()[0]),
            int(status["VmHWM"].split()[0]),
            len(os.listdir(proc / "fd")),
        )

    async def stop(self) -> None:
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
