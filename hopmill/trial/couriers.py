"""The couriers of a trial: processes with a state folder, an operator API and a place in the fleet."""

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

from hopmill.net.member_transport import ANCHOR, STATE
from hopmill.standin.courier import CourierProcess, free_port
from hopmill.standin.server import HOST
from hopmill.trial.relay import COURIER_HOST, Relay

LEASE = "duty"
ZONE_COUNT = 3
DEATH_LOG_LINE = re.compile(rb"^(\S+) \S+\s+fleet\s+fleet\.changed member=(\S+) state=dead ")
ANSWER_TIMEOUT_S = 1.0
UPGRADE_TIMEOUT_S = 8.0


def free_udp_ports(count: int) -> list[int]:
    """UDP ports that are free on COURIER_HOST, all different."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            udp_socket = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            udp_socket.bind((COURIER_HOST, 0))
            ports.append(udp_socket.getsockname()[1])
        return ports


def members_toml(number: int, count: int, voters: int, relay: Relay, alone: str = "") -> str:
    """The `members` tables of one courier's configuration.

    It listens at its own port and reaches all others through the relay. alone: what it does without a policy
    lease; empty for no policy.
    """
    names = ", ".join(f'"c{other}"' for other in range(voters))
    sections = [
        f'[members]\nfleet = "trial"\nid = "c{number}"\n'
        f'address = "{COURIER_HOST}:{relay.member_ports[number]}"\n'
        f'zone = "z{number % ZONE_COUNT}"\nregion = "r"\nvoters = [{names}]\nleases = ["{LEASE}"]\n'
    ]
    sections += [f'[members.policy]\nalone = "{alone}"\n'] if alone else []
    sections += [
        f'[[members.others]]\nid = "c{other}"\naddress = "{HOST}:{relay.relay_ports[other]}"\n'
        f'zone = "z{other % ZONE_COUNT}"\nregion = "r"\n'
        for other in range(count)
        if other != number
    ]
    return "\n".join(sections)


class Courier(CourierProcess):
    """A courier process that faults can be injected into."""

    def __init__(
        self, number: int, folder: Path, text: str, clock_offset_s: float, has_policy: bool = False
    ) -> None:
        """clock_offset_s: error of its wall clock. has_policy: record its decisions under the policy."""
        super().__init__(f"c{number}", folder, text)
        self.operator_port = free_port(COURIER_HOST)
        # The trial holds the clients' socket, as the platform does, so that a new process can take over.
        self.listening = socket.create_server((HOST, self.port), backlog=512)
        self.clock_offset_s, self.sync_delay_file = clock_offset_s, folder / f"c{number}.disk"
        self.number = number
        self.record_file = folder / f"c{number}.record" if has_policy else None
        self.process_lock = asyncio.Lock()  # held during a fault: one fault of the process at a time
        self.is_stopped = False
        self.backups: list[Path] = []

    async def launch(
        self, module: str = "", fds: tuple[int, ...] = (), **env: str
    ) -> asyncio.subprocess.Process:
        """Starts `hopmill.trial.process` with this courier's socket and the trial's environment."""
        listening_fd = self.listening.fileno()
        if self.record_file:
            env |= {"HOPMILL_TRIAL_RECORD": str(self.record_file)}
        return await super().launch(
            "hopmill.trial.process",
            (listening_fd,),
            LB_LISTEN_FD=str(listening_fd),
            HOPMILL_TRIAL_CLOCK_S=str(self.clock_offset_s),
            HOPMILL_TRIAL_DISK=str(self.sync_delay_file),
            LB_OPERATOR=f"{COURIER_HOST}:{self.operator_port}",
            **env,
        )

    async def upgrade(self) -> bool:
        """Starts a second process to take over from the first. False if it did not, and the first goes on."""
        former_process, former_operator_port = self.process, self.operator_port
        assert former_process is not None
        self.operator_port = free_port(COURIER_HOST)
        self.process = await self.launch()
        deadline = time.monotonic() + UPGRADE_TIMEOUT_S
        while time.monotonic() < deadline and self.process.returncode is None:
            status, _ = await self.request("GET", "/healthcheck")
            if status == 200:
                await former_process.wait()
                return True
            if former_process.returncode is not None and status:
                return True
            await asyncio.sleep(0.05)
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if former_process.returncode is None:
            self.process, self.operator_port = former_process, former_operator_port
            return False
        await self.start()
        return False

    def set_sync_delay(self, ms: float) -> None:
        """Delays each sync of the disk by so long; 0: no delay."""
        self.sync_delay_file.write_text(str(ms))

    @property
    def state_folder(self) -> Path:
        """The folder with the journal and the fleet files."""
        return self.folder / f"{self.name}.state"

    @property
    def pid(self) -> int:
        """The running process; 0 if there is none."""
        return self.process.pid if self.process and self.process.returncode is None else 0

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends the signal to the process, if it runs."""
        if self.pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    def limit_file_size(self, max_bytes: int) -> None:
        """Simulates a full disk: the process can write no file past that size. -1: no limit."""
        if self.pid:
            with contextlib.suppress(ProcessLookupError, OSError):
                _, hard_limit = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(
                    self.pid, resource.RLIMIT_FSIZE, (hard_limit if max_bytes < 0 else max_bytes, hard_limit)
                )

    def back_up_fleet_files(self) -> None:
        """Copies the files of the fleet's voter state."""
        backup = self.folder / f"{self.name}.copy{len(self.backups)}"
        backup.mkdir()
        for name in (STATE, ANCHOR):
            with contextlib.suppress(OSError):
                shutil.copy2(self.state_folder / name, backup / name)
        self.backups.append(backup)

    def lose_fleet_files(self, restore: bool) -> None:
        """Deletes the files of the fleet's voter state; restore: puts the first backup in their place."""
        for name in (STATE, ANCHOR):
            (self.state_folder / name).unlink(missing_ok=True)
            if restore and self.backups and (self.backups[0] / name).exists():
                shutil.copy2(self.backups[0] / name, self.state_folder / name)

    def read_records(self) -> list[dict[str, Any]]:
        """The history rows that the process recorded; a last line that is only half written is skipped."""
        rows = []
        if self.record_file and self.record_file.exists():
            for line in self.record_file.read_bytes().splitlines():
                with contextlib.suppress(ValueError):
                    rows.append({"who": self.name, **json.loads(line)})
        return rows

    async def request(self, method: str, path: str, content: Any = None) -> tuple[int, dict[str, Any]]:
        """(status, body) from its operator API; (0, {}) without an answer in time. content: sent as JSON."""
        encoded = b"" if content is None else json.dumps(content).encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                # Bind to HOST, so that no port of COURIER_HOST that is free for an operator API is taken.
                reader, writer = await asyncio.open_connection(
                    COURIER_HOST, self.operator_port, local_addr=(HOST, 0)
                )
                try:
                    head = f"{method} {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(encoded)}\r\n\r\n"
                    writer.write(head.encode() + encoded)
                    answer = await reader.read()
                finally:
                    writer.close()
            head, _, body = answer.partition(b"\r\n\r\n")
            return int(head.split()[1]), json.loads(body)
        return 0, {}

    def reported_deaths(self) -> list[tuple[int, str]]:
        """(us by the wall clock, member) for each member that it declared dead, from its log."""
        found = []
        with self.log_file.open("rb") as file:
            for line in file:
                if match := DEATH_LOG_LINE.match(line):
                    died_at_s = datetime.fromisoformat(match[1].decode()).timestamp()
                    found.append((int(died_at_s * 1e6), match[2].decode()))
        return found
