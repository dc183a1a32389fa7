"""Small stand-ins for the second review: agent of discovery, endpoints, clients and the platform.

Everything runs on loopback addresses and the real clock. Couriers are started by the `run` line of
deploy/balancer.toml, as the platform does. The stand-ins need the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1  # of prctl(2)
libc = ctypes.CDLL(None)


class NotRunError(Exception):
    """The case could not run: it says nothing of the rule."""


def end_with_parent() -> None:
    """In the child process: have the kernel kill it when the case ends, for whatever reason."""
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment (the sample of the wire page), with changes.

    A change is named by its path, with `__` between the names, such as `contract__fallUs`.
    """
    unsafe = {
        "name": "payout-order",
        "deadlineUs": 24_000_000,
        "goalTimeUs": 4_000_000,
        "idempotency": "non_idempotent",
        "keyScope": "all",
        "keyTtlUs": 5_000_000,
        "lateShare": 0.3,
        "streamed": False,
        "worth": 2.0,
    }
    safe = unsafe | {
        "name": "episode-status",
        "deadlineUs": 28_000_000,
        "goalTimeUs": 2_000_000,
        "idempotency": "read_like",
        "worth": 1.0,
    }
    tree: dict[str, Any] = {
        "classes": [safe, unsafe],
        "clients": {"marksRetry": False},
        "contract": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldShare": 0.19,
            "coldUs": 12_000_000,
            "drainGraceUs": 500_000,
            "fallMultiple": 2.0,
            "fallUs": 2_000_000,
        },
        "family": "deliver",
        "familyInfo": {
            "carriage": [0.0, 0.03],
            "kindApart": [False, True],
            "kindBatch": [20, 1],
            "late": "halves",
            "maxCalls": 19,
            "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
            "refusedPrice": 0.03,
            "reportX0": "share of the allowance that is left",
            "reportX1": "calls a second that the limit allows; 0 where there is none",
        },
        "groupSize": 2,
        "localities": ["hall-a", "hall-b"],
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.1,
        "policyLimits": {
            "attemptsCap": 6,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_000_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "maxOpen": 282,
            "maxRetryAfterUs": 2_000_000,
            "maxStreams": 1,
            "mayCancel": True,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "report": {"fields": ["x0", "x1"], "how": "piggyback"},
        "shapes": ["directory", "payment-provider"],
        "stepUs": 5000,
        "tenants": [{"fraction": 1.0, "name": "kuzey-medya", "quotaPerS": 100.0}],
        "tier": 0,
        "tiers": ["partner-cikis"],
        "valueBy": "request",
        "weightSource": "nominal",
        "zone": 0,
    }
    for path, value in changes.items():
        *parents, name = path.split("__")
        place = tree
        for parent in parents:
            place = place[parent]
        place[name] = value
    return tree


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, one event a line."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.began = time.monotonic()

    def now(self) -> float:
        """Return seconds since the beginning."""
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def reserve_port() -> socket.socket:
    """Return a socket that holds a free port without listening; connections to it are refused.

    A server that sets SO_REUSEADDR may listen at the port all the same.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


async def read_http(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, path, headers by lower-case name, and body of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v.strip() for n, v in (row.split(":", 1) for row in head[1:] if row)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = head[0].split()
    return method, path, headers, body


def http_answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Return the bytes of an answer; `_` in the name of a header stands for `-`."""
    rows = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server on a free port that can stop listening and come back on it."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self.server = await asyncio.start_server(self._accept, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset all open connections, as the death of a process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        if self.server:
            self.server.close()
            self.server = None


class Agent(Server):
    """The agent of discovery on a courier's machine: the list, watches on it, and notices."""

    def __init__(self, record: Record, name: str = "agent") -> None:
        super().__init__()
        self.record, self.name = record, name
        self.rev = 41
        self.targets: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # uid: revision of its newest change
        self.watch_status = 200  # of the answer to a watch; another one is a refusal
        self.delay_s = 0.0  # between what a watch is to be told and its writing
        self.watches: set[asyncio.StreamWriter] = set()
        self.notices: list[tuple[float, dict[str, Any]]] = []

    def add(self, uid: str, port: int, dest: int, kind: str, rate: float, zone: str = "hall-a") -> None:
        """Add an endpoint to the list; the watches are not told."""
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"{HOST}:{port}",
            "az": zone,
            "model": kind,
            "pod_group": dest,
            "state": "in_service",
            "capacity_hint": rate,
            "boot_ms": 0,
        }

    def known(self) -> dict[str, Any]:
        """Return the list as it is now, for a courier's configuration."""
        return json.loads(json.dumps({"rev": self.rev, "all": True, "targets": list(self.targets.values())}))

    def change(self, uid: str, **values: Any) -> None:
        """Change an endpoint and tell every open watch."""
        self.rev += 1
        self.targets[uid].update(values)
        self.changed[uid] = self.rev
        self.record(f"{self.name}: rev {self.rev} {uid} {values}; {len(self.watches)} watches are told")
        row = {"rev": self.rev, "all": False, "targets": [self.targets[uid]]}
        for writer in self.watches:
            self._line(writer, json.dumps(row).encode())

    def _line(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        self._write(writer, b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        def now() -> None:
            if not writer.transport.is_closing():
                writer.write(data)

        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, now)
        else:
            now()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve watches and receive notices."""
        while True:
            _, path, _, body = await read_http(reader)
            if path.startswith("/discovery/hosts"):
                self.record(f"{self.name}: {path} answered {self.watch_status}")
                if self.watch_status != 200:
                    writer.write(http_answer(self.watch_status))
                    continue
                await self._watch(path, reader, writer)
                return
            for row in body.splitlines():
                notice = json.loads(row)
                self.notices.append((self.record.now(), notice))
                self.record(f"{self.name}: notice {notice}")
            writer.write(http_answer(204))

    async def _watch(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        since = int(path.partition("from=")[2].partition("&")[0] or 0)
        self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since:
            news = [row for uid, row in self.targets.items() if self.changed.get(uid, 0) > since]
            first = {"rev": self.rev, "all": False, "targets": news}
        else:
            first = self.known()
        self._line(writer, json.dumps(first).encode())
        self.watches.add(writer)

        async def beat() -> None:
            while True:
                await asyncio.sleep(2.0)
                self._line(writer, b"")

        beats = asyncio.create_task(beat())
        try:
            await reader.read()
        finally:
            beats.cancel()
            self.watches.discard(writer)
            self.record(f"{self.name}: a watch has ended")


class Call:
    """One call as an endpoint sees it."""

    def __init__(self, at: float, ids: list[str], path: str, timeout_ms: int) -> None:
        self.at, self.ids, self.path, self.timeout_ms = at, ids, path, timeout_ms


class Endpoint(Server):
    """An endpoint; `behave` returns the answer of a call, or None for none at all."""

    def __init__(self, record: Record, uid: str, behave: Callable[..., Any] | None = None) -> None:
        super().__init__()
        self.record, self.uid = record, uid
        self.behave = behave or self.deliver
        self.calls: list[Call] = []
        self.latency_s = 0.05
        self.on_given_up: Callable[[Call], Any] = lambda call: None

    async def deliver(self, call: Call) -> bytes | None:
        """Answer 200 after the latency."""
        await asyncio.sleep(self.latency_s)
        return done(call)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, one after the other."""
        while True:
            _, path, headers, body = await read_http(reader)
            if path.endswith("/bundle"):
                rows = json.loads(body)
                for row in rows:
                    base64.b64decode(row["body"], validate=True)
                ids = [row["id"] for row in rows]
            else:
                ids = [headers["x-request-id"]]
            call = Call(self.record.now(), ids, path, int(headers.get("x-timeout-ms", 0)))
            self.calls.append(call)
            self.record(f"{self.uid}: call {' '.join(ids)}")
            answer = await self.behave(call)
            if answer is None:
                with contextlib.suppress(ConnectionError):
                    await reader.read()  # until the courier gives up
                self.record(f"{self.uid}: the call with {' '.join(ids)} was given up")
                self.on_given_up(call)
                return
            self.record(f"{self.uid}: {answer.split(b' ', 2)[1].decode()} to {' '.join(ids)}")
            writer.write(answer)


def done(call: Call) -> bytes:
    """Return the answer that all messages of a call are delivered."""
    if call.path.endswith("/bundle"):
        return http_answer(200, json.dumps([{"id": i, "state": "done"} for i in call.ids]).encode())
    return http_answer(200)


class Courier:
    """One courier under the platform's environment, started by the deploy file's `run`."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        discovery_port: int,
        known: dict[str, Any],
        given: dict[str, Any],
        limits: dict[str, Any] | None = None,
        listen_fd: socket.socket | None = None,
        operator: bool = False,
    ) -> None:
        self.record, self.name, self.given, self.known = record, name, given, known
        self.folder = folder / name
        self.state, self.config = self.folder / "state", self.folder / "config.json"
        self.tmp = self.folder / "tmp"
        for place in (self.folder, self.state, self.tmp):
            place.mkdir()
        self.reservations = [reserve_port(), reserve_port()]  # for the time in which no process listens
        self.port, self.operator_port = (sock.getsockname()[1] for sock in self.reservations)
        self.discovery_port = discovery_port
        if not operator:
            self.operator_port = 0
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.listen_fd = listen_fd
        if listen_fd is not None:
            self.port = listen_fd.getsockname()[1]
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def new_operator_port(self) -> None:
        """Take another second address, as the next process of an upgrade gets."""
        self.reservations.append(reserve_port())
        self.operator_port = self.reservations[-1].getsockname()[1]

    def write_config(self) -> None:
        """Write the configuration file as the platform does, in one step."""
        self.starts += 1
        tree = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": f"{0x8C1F30D27A5BE964 + self.starts + sum(self.name.encode()):x}",
            "limits": self.limits,
            "known": self.known,
            "settings": self.given,
        }
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(tree))
        new.replace(self.config)

    def environment(self) -> dict[str, str]:
        """Return the variables of the platform."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env |= {
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.discovery_port}",
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(self.config),
            "TMPDIR": str(self.tmp),
        }
        if self.operator_port:
            env["LB_OPERATOR"] = f"{HOST}:{self.operator_port}"
        if self.listen_fd is not None:
            env["LB_LISTEN_FD"] = "4"
        return env

    async def launch(self) -> asyncio.subprocess.Process:
        """Start the process without waiting for it."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        words, fds = ["/bin/sh", "-c", run], ()
        if self.listen_fd is not None:
            number = self.listen_fd.fileno()
            fds = (number,)
            move = (
                "import os, sys; os.dup2(int(sys.argv[1]), 4); os.execv('/bin/sh', ['sh', '-c', sys.argv[2]])"
            )
            words = [sys.executable, "-c", move, str(number), run]
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=self.environment(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=fds,
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        self.record(f"{self.name}: started, process {process.pid}")
        return process

    async def start(self) -> None:
        """Start the process and wait until it answers PING."""
        self.process = await self.launch()
        await self.ready()

    async def ready(self) -> None:
        """Wait until the courier answers PING."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = Client(self.record, self.port)
                async with asyncio.timeout(0.5):
                    await client.open()
                    reply = await client.ask(command(b"PING"))
                    client.close()
                if reply == "+PONG":
                    self.record(f"{self.name}: ready")
                    return
            if self.process and self.process.returncode is not None:
                raise NotRunError(f"{self.name} ended before it was ready: {self.log_tail()}")
            await asyncio.sleep(0.02)
        raise NotRunError(f"{self.name} is not ready after 20 s: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the last line of the courier's log."""
        rows = (self.folder / "log").read_text(errors="replace").strip().splitlines()
        return rows[-1] if rows else "no output"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record(f"{self.name}: {number.name}")
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    def crashed(self) -> bool:
        """Return whether the process has ended although nobody asked for it."""
        return self.process is not None and self.process.returncode is not None


def command(*words: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Client:
    """One connection to a courier."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    async def ask(self, data: bytes) -> str:
        """Write a request and return the first line of its answer."""
        assert self.writer is not None
        self.writer.write(data)
        return (await self.reader.readuntil(b"\r\n")).decode().strip()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Message:
    """One message as its client sees it."""

    def __init__(self, message_id: str, class_name: str, dest: int, sent_at: float, life_ms: int) -> None:
        self.id, self.class_name, self.dest, self.sent_at = message_id, class_name, dest, sent_at
        self.life_ms, self.answer = life_ms, ""

    @property
    def is_taken(self) -> bool:
        """Whether the client has heard that it is taken on."""
        return self.answer[:1] in "+$" and bool(self.answer)


class Clients:
    """Clients that hand in messages, each on a connection of its own or on a kept one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.messages: dict[str, Message] = {}
        self.idle: dict[int, list[Client]] = {}
        self.count = 0

    async def put(
        self, port: int, class_name: str, dest: int, life_ms: int, body: bytes = b"hello"
    ) -> Message:
        """Hand in one message; a client waits 400 ms for the answer and then closes its connection."""
        self.count += 1
        message = Message(f"{self.count:016x}", class_name, dest, self.record.now(), life_ms)
        self.messages[message.id] = message
        fields = f"c={class_name},t=kuzey-medya,d={life_ms},dest={dest}".encode()
        data = command(b"MSG.PUT", b"0" * 16, message.id.encode(), fields, body)
        kept = self.idle.setdefault(port, [])
        for attempt in range(2):  # once more on a new connection where the courier closed between requests
            client = kept.pop() if kept and not attempt else Client(self.record, port)
            was_kept = client.writer is not None
            try:
                async with asyncio.timeout(0.4):
                    if not was_kept:
                        await client.open()
                    message.answer = await client.ask(data)
                kept.append(client)
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                message.answer = f"closed: {type(error).__name__}"
                client.close()
                if not was_kept:
                    break
            except TimeoutError:
                message.answer = "no answer in 400 ms"
                client.close()
                break
        self.record(f"client: {message.id} {class_name} to {dest}: {message.answer}")
        return message

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self.idle.values():
            for client in kept:
                client.close()


class Case:
    """What a case starts, and ends again whatever happens."""

    def __init__(self, file: str) -> None:
        self.record = Record(Path(file).resolve().parent)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.clients = Clients(self.record)
        self.couriers: list[Courier] = []
        self.others: list[asyncio.subprocess.Process] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def keep(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the case; it ends with it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def courier(self, *args: Any, **more: Any) -> Courier:
        """Return a new courier that is ended with the case."""
        courier = Courier(self.record, self.folder, *args, **more)
        self.couriers.append(courier)
        return courier

    async def end(self) -> None:
        """End every process that the case started."""
        for task in list(self.tasks):
            task.cancel()
        processes = [c.process for c in self.couriers if c.process] + self.others
        for process in processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in processes:
            await process.wait()
        self.clients.close()


def play(file: str, story: Callable[[Case], Any], limit_s: float = 110.0) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def whole() -> int:
        case = Case(file)
        case.record(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            async with asyncio.timeout(limit_s):
                return await story(case)
        except (NotRunError, TimeoutError) as error:
            case.record.say(f"could not run: {type(error).__name__} {error}")
            return NOT_RUN
        except Exception as error:
            case.record.say(f"could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            await case.end()
            if not os.environ.get("KEEP"):
                for place in sorted(case.folder.rglob("*"), reverse=True):
                    with contextlib.suppress(OSError):
                        place.rmdir() if place.is_dir() else place.unlink()
                with contextlib.suppress(OSError):
                    case.folder.rmdir()
            else:
                print(case.folder)

    sys.exit(asyncio.run(whole()))
