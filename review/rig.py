"""What the cases share: a platform that starts couriers, discovery, an HTTP reader, and the record.

Standard library only. Every address is on 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 112  # of a case
READY_S = 30  # DEPLOY: clients come once all couriers are ready, or after 30 s
KILL_AFTER_S = 3.7  # PROTOCOL: SIGKILL comes no sooner than 3.7 s after SIGTERM
CLIENT_WAIT_S = 0.4  # PROTOCOL: the client waits 400 ms for its answer
SLICE_S = 0.02  # in which a process with a part of a core runs once and stands still once
PR_SET_PDEATHSIG = 1  # of prctl(2)
LISTEN_FD = 4  # LATER, Upgrades: each process inherits the clients' listening socket as descriptor 4


# Arguments: a descriptor, then a command line that is started with it as LISTEN_FD.
MOVE_DESCRIPTOR = f"""
import os, sys
fd = int(sys.argv[1])
if fd != {LISTEN_FD}:
    os.dup2(fd, {LISTEN_FD})
    os.close(fd)
os.execv(sys.argv[2], sys.argv[2:])
"""
libc = ctypes.CDLL(None)


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Write to record.txt in this folder."""
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def add(self, text: str) -> float:
        """Write a line; return the time."""
        now = time.monotonic()
        print(f"{now - self.start:8.3f} {text}", file=self.file, flush=True)
        return now


def message_class(name: str, effect: str, aim_s: float, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Return a class of the settings (WIRE, section 8)."""
    return {
        "name": name,
        "idempotency": effect,
        "goalTimeUs": int(aim_s * 1e6),
        "deadlineUs": int(deadline_s * 1e6),
        "keyScope": "all",
        "keyTtlUs": 5000000,
        "lateShare": 0.3,
        "streamed": False,
        "worth": 1.0,
    } | more


EPISODE_STATUS = message_class("episode-status", "read_like", 2, 28)
PAYOUT_ORDER = message_class("payout-order", "non_idempotent", 4, 24, worth=2.0)


def settings(
    classes: list[dict[str, Any]], slots: int = 19, max_open: int = 282, **contract: Any
) -> dict[str, Any]:
    """Return the example of WIRE, section 8, with these classes; `contract` adds to its figures."""
    return {
        "classes": classes,
        "clients": {"marksRetry": False},
        "contract": {
            "answerSlackUs": 20000,
            "askWithinUs": 10000000,
            "coldShare": 0.19,
            "coldUs": 12000000,
            "drainGraceUs": 500000,
            "fallMultiple": 2.0,
            "fallUs": 2000000,
        }
        | contract,
        "family": "deliver",
        "familyInfo": {
            "carriage": [0.0, 0.03],
            "kindApart": [False, True],
            "kindBatch": [20, 1],
            "late": "halves",
            "maxCalls": slots,
            "refusedPrice": 0.03,
        },
        "groupSize": 2,
        "localities": ["hall-a", "hall-b"],
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.1,
        "policyLimits": {
            "attemptsCap": 6,
            "connIdleUs": 10000000,
            "connectTimeoutUs": 1000000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "maxOpen": max_open,
            "maxRetryAfterUs": 2000000,
            "maxStreams": 1,
            "mayCancel": True,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "prices": {},
        "report": {"fields": ["x0", "x1"], "how": "piggyback"},
        "shapes": ["directory", "payment-provider"],
        "stepUs": 5000,
        "tenants": [{"fraction": 1.0, "name": "kuzey-medya", "quotaPerS": 60.0}],
        "tier": 0,
        "tiers": ["partner-cikis"],
        "valueBy": "request",
        "weightSource": "nominal",
        "zone": 0,
    }


def target(uid: str, port: int, partner: int, kind: str = "payment-provider") -> dict[str, Any]:
    """Return an entry of discovery's list."""
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": "hall-a",
        "model": kind,
        "pod_group": partner,
        "state": "in_service",
        "capacity_hint": 50.0,
        "boot_ms": 0,
    }


async def read_http(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Return (method, path, headers by lower-case name, body) of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if line)}
    method, path, _ = head[0].split(" ", 2)
    return method, path, headers, await reader.readexactly(int(headers.get("content-length", "0")))


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(handler: Handler) -> tuple[asyncio.Server, int]:
    """Serve connections by `handler` on a free port; return the server and the port."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, OSError, asyncio.CancelledError, asyncio.LimitOverrunError
        ):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(connection, HOST, 0)
    return server, server.sockets[0].getsockname()[1]


class Discovery:
    """The agent of discovery: one list that stays as it is, an empty line every 2 s, and notices."""

    def __init__(self, record: Record, targets: list[dict[str, Any]]) -> None:
        """Notices go to the record and to `notices`: (time, status) by message id."""
        self.record, self.targets = record, targets
        self.notices: dict[str, tuple[float, str]] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server
        self.port = 0

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self.server, self.port = await serve(self._connection)
        return self

    def full_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": 41, "all": True, "targets": self.targets}

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                method, _, _, body = await read_http(reader)
                if method == "GET":
                    await self._watch(writer)
                    return
                for line in body.splitlines():
                    notice = json.loads(line)
                    at = self.record.add(f"platform at {self.port}: notice {notice}")
                    self.notices.setdefault(notice["id"], (at, notice["status"]))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        finally:
            self.writers.discard(writer)

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.full_list()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(2)

    def close(self) -> None:
        """Take no new connections and end the open ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


def command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in arguments)


def put(
    message: str, class_name: str, partner: int, life_ms: int, body: bytes = b"body", key: bytes = b"0" * 16
) -> bytes:
    """Return the request that hands a message in."""
    fields = f"c={class_name},t=kuzey-medya,d={life_ms},dest={partner}"
    return command(b"MSG.PUT", key, message.encode(), fields.encode(), body)


def end_with_parent() -> None:
    """In the child process: have the kernel kill it when its parent ends for any reason."""
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


class Platform:
    """Starts and stops the processes of one courier by the line `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        discovery: Discovery,
        settings: dict[str, Any],
        holds_listener: bool = False,
        **limits: Any,
    ) -> None:
        """holds_listener: it holds the clients' listening socket, as on days with upgrades."""
        self.record, self.settings = record, settings
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.listener = socket.create_server((HOST, 0), backlog=512) if holds_listener else None
        self.port = self.listener.getsockname()[1] if self.listener else free_port()
        self.limits = {"cores": 1.0, "memory_mb": 96, "sockets": 512, "disk_mb": 3} | limits
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        (self.folder / "state").mkdir()
        self.configure(discovery)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.is_closed = threading.Event()
        self.limiter = threading.Thread(target=self._limit_cores, daemon=True)
        if self.limits["cores"] < 1:
            self.limiter.start()

    def _limit_cores(self) -> None:
        """Let each process run for its share of each SLICE_S, as a limit on its CPU time does."""
        while not self.is_closed.is_set():
            for number, pause_s in (
                (signal.SIGSTOP, SLICE_S * (1 - self.limits["cores"])),
                (signal.SIGCONT, SLICE_S * self.limits["cores"]),
            ):
                for process in list(self.processes):
                    process.send_signal(number)  # does nothing if it has ended
                time.sleep(pause_s)

    def configure(self, discovery: Discovery) -> None:
        """Write the configuration file, which names this agent of discovery."""
        self.discovery = discovery
        config = {
            "name": "n3",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": discovery.full_list(),
            "settings": self.settings,
        }
        partial = self.folder / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.rename(self.folder / "config.json")

    def start(self) -> tuple[subprocess.Popen[bytes], int]:
        """Start `run`; return the process and the port of its operator API."""
        operator = free_port()
        temporary = self.folder / f"tmp{len(self.processes)}"
        temporary.mkdir()
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {
            "LB_NAME": "n3",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "LB_STATE": str(self.folder / "state"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_OPERATOR": f"{HOST}:{operator}",
            "TMPDIR": str(temporary),
        }
        arguments = ["/bin/sh", "-c", f"ulimit -n {self.limits['sockets']}; {self.run}"]
        passed: tuple[int, ...] = ()
        if self.listener:
            passed = (self.listener.fileno(),)
            env["LB_LISTEN_FD"] = str(LISTEN_FD)
            arguments = [sys.executable, "-c", MOVE_DESCRIPTOR, str(passed[0]), *arguments]
        with (self.folder / "log.txt").open("ab") as log:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=passed,
                preexec_fn=end_with_parent,
            )
        self.processes.append(process)
        return process, operator

    async def wait_until_ready(self, process: subprocess.Popen[bytes], limit_s: float = READY_S) -> None:
        """Wait until PING is answered with +PONG."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if process.poll() is not None:
                log = (self.folder / "log.txt").read_text()[-300:]
                raise CannotRunError(f"a courier ended with {process.returncode}: {log}")
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                answer = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if answer.startswith(b"+PONG"):
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("a courier was not ready in time")

    async def wait_until_yes(
        self, process: subprocess.Popen[bytes], operator: int, limit_s: float = READY_S
    ) -> None:
        """Wait until the health check of the operator API says yes."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if process.poll() is not None:
                log = (self.folder / "log.txt").read_text()[-300:]
                raise CannotRunError(f"a courier ended with {process.returncode}: {log}")
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, operator)
                writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if status.startswith(b"HTTP/1.1 2"):
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("the health check did not say yes in time")

    async def upgrade(self, old: subprocess.Popen[bytes]) -> subprocess.Popen[bytes]:
        """Start a second process; after its yes the old one gets SIGTERM, then SIGKILL."""
        self.record.add("platform: second process started")
        new, operator = self.start()
        await self.wait_until_yes(new, operator, 6)
        self.record.add("platform: second process says yes")
        await self.end_process(old)
        return new

    async def end_process(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGTERM, and SIGKILL after KILL_AFTER_S; wait for the end."""
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + KILL_AFTER_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        self.is_closed.set()
        if self.limiter.is_alive():
            self.limiter.join()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if self.listener:
            self.listener.close()
        self.temporary.cleanup()


def play(case: Callable[[], Awaitable[bool]]) -> None:
    """Run a case and exit: 0 if the rule held (true), 1 if it was broken, 2 if the case could not run."""
    try:
        held = asyncio.run(asyncio.wait_for(case(), MAX_RUN_S))
    except (CannotRunError, OSError, TimeoutError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
