"""Faults that clients cause: they hold large requests, flood the courier, or leave their requests behind."""

from __future__ import annotations

import asyncio
import itertools
import signal
import socket
import threading
import time
from pathlib import Path

from hopmill.soak import bad_clients
from hopmill.soak.bad_clients import LEFT_PREFIX, Holding, Target
from hopmill.soak.courier import SoakCourier
from hopmill.soak.records import SoakLedger
from hopmill.soak.schedule import Fault, Kind
from hopmill.standin.client import ANSWER_TIMEOUT_S
from hopmill.standin.server import HOST

HOLDING_CLIENTS, FIELD_CLIENTS = 300, 80
LEAVING_CLIENTS, REQUESTS_LEFT = 3, 60
MESSAGE_CLASS, TENANT = "news", "demo"
UNLISTED_PARTNER, LISTED_PARTNER = 9, 2  # messages to the first end without a call
SHORT_LIFETIME_MS = 2000  # of messages that only fill the courier
PING_INTERVAL_S = 0.03
MAX_OWN_DELAY_S = 0.1  # if this process was held up for longer, a late answer may be its own fault
PING = bad_clients.command(b"PING")


class ClientFaults:
    """Injects the faults, and records what ordinary clients and the process's memory show meanwhile."""

    def __init__(self, ledger: SoakLedger) -> None:
        self.ledger = ledger
        self.numbers = itertools.count()

    async def inject(self, courier: SoakCourier, fault: Fault) -> None:
        """Inject a fault into a courier, which has no other fault of the process meanwhile."""
        if fault.kind is Kind.CLIENTS_LEAVE:
            await self._leave(courier, fault)
            return
        watch = AnswerWatch(courier.port)
        watching = asyncio.create_task(asyncio.to_thread(watch.run))
        try:
            await self._load(courier, fault)
        finally:
            watch.is_over.set()
            await watching
        if not courier.process_faults.is_any_set:
            self.ledger.late_answers_s += [(courier.name, waited_s) for waited_s in watch.late_s]
        self.record_memory(courier)

    async def _load(self, courier: SoakCourier, fault: Fault) -> None:
        target = Target(courier.port, MESSAGE_CLASS, TENANT, UNLISTED_PARTNER, SHORT_LIFETIME_MS)
        if fault.kind is Kind.CLIENTS_HOLD:
            kinds = (Holding.WHOLE, Holding.HALF, Holding.ANSWERS)
            kind = kinds[int(fault.choice * len(kinds))]
            await bad_clients.hold(target, kind, HOLDING_CLIENTS, fault.duration_s)
        elif fault.choice < 0.5:
            await bad_clients.hold(target, Holding.FIELDS, FIELD_CLIENTS, fault.duration_s)
        else:
            first = next(self.numbers) * 1_000_000
            await bad_clients.flood(
                courier.port, lambda number: target.put(f"flood-{first + number}"), fault.duration_s
            )

    async def _leave(self, courier: SoakCourier, fault: Fault) -> None:
        """Send requests to the stopped process and leave, before it goes on."""
        target = Target(courier.port, MESSAGE_CLASS, TENANT, LISTED_PARTNER)
        courier.signal(signal.SIGSTOP)
        try:
            for _ in range(LEAVING_CLIENTS):
                ids = [f"{LEFT_PREFIX}{next(self.numbers)}" for _ in range(REQUESTS_LEFT)]
                data = b"".join(target.put(message_id) for message_id in ids)
                await bad_clients.leave(courier.port, data, resets=fault.choice < 0.5)
        finally:
            courier.signal(signal.SIGCONT)
        await asyncio.sleep(fault.duration_s)

    def record_memory(self, courier: SoakCourier) -> None:
        """Record the peak memory of the process, if it runs."""
        if courier.process is None or courier.process.returncode is not None:
            return
        try:
            status = Path(f"/proc/{courier.process.pid}/status").read_text()
        except OSError:
            return
        if "VmHWM:" in status:
            self.ledger.record_memory(courier.name, int(status.split("VmHWM:")[1].split()[0]) / 1024)


class AnswerWatch:
    """An ordinary client that sends one PING after the other, in a thread of its own."""

    def __init__(self, port: int) -> None:
        self.port, self.is_over, self.late_s = port, threading.Event(), []

    def run(self) -> None:
        """Send until it is over, and note the waits that were too long."""
        while not self.is_over.is_set():
            try:
                with socket.create_connection((HOST, self.port), timeout=2.0) as sock:
                    self._send_all(sock)
            except OSError:
                self.is_over.wait(PING_INTERVAL_S)  # closed between two requests, or no room: again

    def _send_all(self, sock: socket.socket) -> None:
        while not self.is_over.is_set():
            began_s = time.monotonic()
            time.sleep(PING_INTERVAL_S)
            asked_s = time.monotonic()
            sock.sendall(PING)
            if not sock.recv(64):
                return
            waited_s = time.monotonic() - asked_s
            was_on_time = asked_s - began_s < PING_INTERVAL_S + MAX_OWN_DELAY_S
            if waited_s > ANSWER_TIMEOUT_S and was_on_time:
                self.late_s.append(waited_s)
