"""Couriers as separate processes, each with a state folder, a port for clients and one for operators."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import socket
import sys
from pathlib import Path

from hopmill.standin.client import Client
from hopmill.standin.server import HOST, reserve_port

READY_TIMEOUT_S = 20.0
PING_TIMEOUT_S = 0.5
PING_INTERVAL_S = 0.02  # until a started courier answers
STOP_TIMEOUT_S = 5.0  # after it a courier that ignores its signal is killed
PR_SET_PDEATHSIG = 1  # of prctl(2)
libc = ctypes.CDLL(None)


def end_with_parent() -> None:
    """In the child process: have the kernel kill it when its parent ends for any reason."""
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def free_port(host: str = HOST) -> int:
    """Return a TCP port that is free at this moment."""
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


class CourierProcess:
    """A courier that is started from a TOML file, and after an end again with its name, ports and folder."""

    def __init__(self, name: str, folder: Path, config: str) -> None:
        """`config` is the part of the file after the courier's name, addresses and state folder."""
        self.name, self.folder = name, folder
        # Held until `release_ports`, so that no other program takes a port while no process listens at it.
        self.reservations = [reserve_port(), reserve_port()]
        self.port, self.operator_port = (sock.getsockname()[1] for sock in self.reservations)
        self.process: asyncio.subprocess.Process | None = None
        self.is_accepting = False  # ready for clients
        state_folder = folder / f"{name}.state"
        state_folder.mkdir()
        self.config_file, self.log_file = folder / f"{name}.toml", folder / f"{name}.log"
        self.config_file.write_text(
            f'format = 1\nname = "{name}"\nlisten = "{HOST}:{self.port}"\n'
            f'operator = "{HOST}:{self.operator_port}"\nstate = "{state_folder}"\n{config}'
        )

    async def launch(
        self, module: str = "hopmill", fds: tuple[int, ...] = (), **env: str
    ) -> asyncio.subprocess.Process:
        """Start the process without waiting; `env` is added to this process's environment."""
        with self.log_file.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "serve",
                str(self.config_file),
                stderr=log,
                stdout=log,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,  # Ctrl-C reaches the demo only, which then stops its couriers
                env={**os.environ, **env},
                pass_fds=fds,
                preexec_fn=end_with_parent,
            )

    async def start(self) -> None:
        """Start the process and wait until it answers PING.

        OSError if it exits first, TimeoutError if it is not ready within READY_TIMEOUT_S.
        """
        self.process = await self.launch()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._answers_ping():
                if self.process.returncode is not None:
                    last_line = self.log_file.read_text().strip().splitlines()[-1:] or ["no output"]
                    raise OSError(f"courier {self.name} exited before it was ready: {last_line[0]}")
                await asyncio.sleep(PING_INTERVAL_S)
        self.is_accepting = True

    async def _answers_ping(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(PING_TIMEOUT_S):
                client = await Client().open(self.port)
                reply = await client.send(client.command(b"PING"))
                client.close()
                return reply == "+PONG"
        return False

    async def stop(self, signal_number: signal.Signals) -> None:
        """Send the signal and wait for the end of the process; SIGKILL follows after STOP_TIMEOUT_S."""
        self.is_accepting = False
        process = self.process
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()

    def kill(self) -> None:
        """Send SIGKILL without waiting."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()

    def release_ports(self) -> None:
        """Give up the ports. The courier is not started again after it."""
        for sock in self.reservations:
            sock.close()
