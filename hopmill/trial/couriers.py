"""The couriers of a trial: processes with a folder, a door, and a place among the members."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import shutil
import signal
import socket
import time
from datetime import datetime
from pathlib import Path
from typing import Any

from hopmill.net.peers import ANCHOR, STATE
from hopmill.standin.courier import CourierProcess, free_port
from hopmill.standin.server import HOST
from hopmill.trial.relay import THERE, Relay

LEASE = "duty"
ZONES = 3
DEATH = re.compile(rb"^(\S+) \S+\s+fleet\s+fleet\.changed member=(\S+) state=dead ")
PATIENCE_S = 1.0
UPGRADE_S = 8.0


def free_udp_ports(count: int) -> list[int]:
    """All different."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            sock.bind((THERE, 0))
            ports.append(sock.getsockname()[1])
        return ports


def members_toml(number: int, count: int, voters: int, relay: Relay, alone: str = "") -> str:
    """Its own address is its own; every other is reached through the relay. alone: with a policy."""
    names = ", ".join(f'"c{n}"' for n in range(voters))
    rows = [
        f'[members]\nfleet = "trial"\nid = "c{number}"\naddress = "{THERE}:{relay.inner[number]}"\n'
        f'zone = "z{number % ZONES}"\nregion = "r"\nvoters = [{names}]\nleases = ["{LEASE}"]\n'
    ]
    rows += [f'[members.policy]\nalone = "{alone}"\n'] if alone else []
    rows += [
        f'[[members.others]]\nid = "c{n}"\naddress = "{HOST}:{relay.ports[n]}"\n'
        f'zone = "z{n % ZONES}"\nregion = "r"\n'
        for n in range(count)
        if n != number
    ]
    return "\n".join(rows)


class Courier(CourierProcess):
    """One that faults may happen to. `up` says that it should be running and hearing."""

    def __init__(self, number: int, folder: Path, text: str, clock_s: float, governed: bool = False) -> None:
        """clock_s: how far its wall clock is off, always. governed: its decisions are recorded."""
        super().__init__(f"c{number}", folder, text)
        self.operator_port = free_port(THERE)
        # The trial holds the clients' socket, as the platform does, so that a process can take over.
        self.listening = socket.create_server((HOST, self.port), backlog=512)
        self.clock_s, self.disk = clock_s, folder / f"c{number}.disk"
        self.number = number
        self.record = folder / f"c{number}.record" if governed else None
        self.lock = asyncio.Lock()  # one fault of its process at a time
        self.stopped = False
        self.copies: list[Path] = []

    async def launch(
        self, module: str = "", fds: tuple[int, ...] = (), **env: str
    ) -> asyncio.subprocess.Process:
        fd = self.listening.fileno()
        if self.record:
            env |= {"HOPMILL_TRIAL_RECORD": str(self.record)}
        return await super().launch(
            "hopmill.trial.process",
            (fd,),
            LB_LISTEN_FD=str(fd),
            HOPMILL_TRIAL_CLOCK_S=str(self.clock_s),
            HOPMILL_TRIAL_DISK=str(self.disk),
            LB_OPERATOR=f"{THERE}:{self.operator_port}",
            **env,
        )

    async def upgrade(self) -> bool:
        """A second process takes over from the first. False if it did not, and the first goes on."""
        former, former_operator_port = self.process, self.operator_port
        assert former is not None
        self.operator_port = free_port(THERE)
        self.process = await self.launch()
        until = time.monotonic() + UPGRADE_S
        while time.monotonic() < until and self.process.returncode is None:
            status, _ = await self.ask("GET", "/healthcheck")
            if status == 200:
                await former.wait()
                return True
            if former.returncode is not None and status:
                return True
            await asyncio.sleep(0.05)
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if former.returncode is None:
            self.process, self.operator_port = former, former_operator_port
            return False
        await self.start()
        return False

    def slow(self, ms: float) -> None:
        self.disk.write_text(str(ms))

    @property
    def state(self) -> Path:
        return self.folder / f"{self.name}.state"

    @property
    def pid(self) -> int:
        return self.process.pid if self.process and self.process.returncode is None else 0

    def signal(self, how: signal.Signals) -> None:
        if self.pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, how)

    def limit_files(self, size: int) -> None:
        """No file of it can be written past so many bytes: the disk is full. -1: it has room again."""
        if self.pid:
            with contextlib.suppress(ProcessLookupError, OSError):
                _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (hard if size < 0 else size, hard))

    def copy_fleet_files(self) -> None:
        to = self.folder / f"{self.name}.copy{len(self.copies)}"
        to.mkdir()
        for name in (STATE, ANCHOR):
            with contextlib.suppress(OSError):
                shutil.copy2(self.state / name, to / name)
        self.copies.append(to)

    def lose_fleet_files(self, back: bool) -> None:
        """Emptied; or an earlier copy put back."""
        for name in (STATE, ANCHOR):
            (self.state / name).unlink(missing_ok=True)
            if back and self.copies and (self.copies[0] / name).exists():
                shutil.copy2(self.copies[0] / name, self.state / name)

    def recorded(self) -> list[dict[str, Any]]:
        """Its own record of its decisions; the last line may be half written."""
        rows = []
        if self.record and self.record.exists():
            for line in self.record.read_bytes().splitlines():
                with contextlib.suppress(ValueError):
                    rows.append({"who": self.name, **json.loads(line)})
        return rows

    async def ask(self, method: str, path: str, told: Any = None) -> tuple[int, dict[str, Any]]:
        """(status, body) of its door; (0, {}) where nobody answers in time. told: as JSON."""
        sent = b"" if told is None else json.dumps(told).encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(PATIENCE_S):
                # From another address: a port that is free there stays free for a door.
                reader, writer = await asyncio.open_connection(
                    THERE, self.operator_port, local_addr=(HOST, 0)
                )
                try:
                    head = f"{method} {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(sent)}\r\n\r\n"
                    writer.write(head.encode() + sent)
                    data = await reader.read()
                finally:
                    writer.close()
            head, _, body = data.partition(b"\r\n\r\n")
            return int(head.split()[1]), json.loads(body)
        return 0, {}

    def deaths(self) -> list[tuple[int, str]]:
        """(when, whom) it took for dead, from its log; when: us of the wall clock."""
        found = []
        with self.log_file.open("rb") as file:
            for line in file:
                if match := DEATH.match(line):
                    at = datetime.fromisoformat(match[1].decode()).timestamp()
                    found.append((int(at * 1e6), match[2].decode()))
        return found
