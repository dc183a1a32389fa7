"""Runs one trial: couriers, stand-ins, a load and faults; then the faults end and the history is checked."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopmill.standin.discovery import Discovery
from hopmill.standin.load import LoadGenerator
from hopmill.standin.partner import Partner
from hopmill.standin.loopback_system import MESSAGE_CLASSES, Options, courier_toml, demo_partners
from hopmill.trial import policy_rules, rules
from hopmill.trial.couriers import LEASE, Courier, free_udp_ports, members_toml
from hopmill.trial.faults import FaultInjector
from hopmill.trial.history import History, RecordingLedger, elapsed_us
from hopmill.trial.policies import PolicyProposer
from hopmill.trial.relay import Relay
from hopmill.trial.scenario import Scenario, draw_faults

AGREEMENT_TIMEOUT_S = 12.0  # from the last fault until the couriers agree (see _wait_for_agreement)
LAST_MESSAGES_TIMEOUT_S = 12.0  # from agreement until every accepted message has ended
MIN_VIEW_INTERVAL_S = 0.5  # between two views of one courier
MAX_VIEWS_PER_S = 20  # over all couriers
MAX_EXTRA_S = 90.0  # on top of the scenario's duration
# Limits of one courier whose memory is too small for policies.REFUSED_HELD_MESSAGES: it has to refuse
# such changes.
SMALL_LIMITS = "limits = {disk_mb = 16, memory_mb = 160}"
OUTCOME_TIMEOUT_S = 12.0  # a change has its outcome within this time
MAX_STARTING = 8  # couriers starting at the same time
DEATH_SLACK_US = 6_000_000  # a death that a fault caused may be declared this long after its end


@dataclass(frozen=True)
class TrialOptions:
    """What to run: a scenario, the number of couriers, and the seed of faults and load."""

    scenario: Scenario
    couriers: int
    seed: int
    history: Path | None = None  # folder for history and logs; None: kept only after a violation


class Trial:
    """The processes and servers of one trial, its load and its history."""

    def __init__(self, options: TrialOptions, folder: Path) -> None:
        self.options, self.scenario, self.folder = options, options.scenario, folder
        self.rng = random.Random(f"trial {self.scenario.name} {options.seed}")
        self.history = History()
        self.ledger = RecordingLedger(self.history)
        self.discovery = Discovery(self.ledger.record_notice)
        self.partners: list[Partner] = []
        self.couriers: list[Courier] = []
        self.relay = Relay(random.Random(f"relay {options.seed}"))
        self.voters = 5 if options.couriers >= 7 else 3 if options.couriers >= 3 else 1
        self.faults = draw_faults(self.scenario, options.seed, options.couriers, self.voters)
        self.fault_injector: FaultInjector
        # Wall clock minus time since boot: converts the times in the couriers' logs to those of the history.
        self.wall_clock_offset_us = int(time.time() * 1e6) - elapsed_us()
        self.agreed_s = -1.0  # from the last fault to agreement; -1: no agreement in time
        self.text_count = 0
        self.pending_changes: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, Any]:
        """Runs the trial, ends its processes and returns the result line. TimeoutError: it took too long."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(self.scenario.seconds + MAX_EXTRA_S):
                await self._start()
                await self._run_load_and_faults()
        finally:
            await self._end()
        for courier in self.couriers:
            self.history.rows += courier.read_records()
        violations = rules.violations(self.history, self.ledger) + policy_rules.violations(self.history)
        if not self.ledger.result().counts["delivered"]:
            violations.append("no message was delivered")
        if self.agreed_s < 0:
            violations.append(
                f"the couriers did not agree within {AGREEMENT_TIMEOUT_S:g} s after the last fault"
            )
        return self._summary(violations, time.monotonic() - began)

    async def _start(self) -> None:
        await self.discovery.start()
        await self._start_partners()
        self._open_relay()
        for number in range(self.options.couriers):
            self.couriers.append(self._create_courier(number))
        self.ledger.courier_names = {courier.port: courier.name for courier in self.couriers}
        self.fault_injector = FaultInjector(self.couriers, self.relay, self.history)
        await self._start_couriers()
        if not await self._wait_for_agreement(AGREEMENT_TIMEOUT_S):
            raise TimeoutError(f"the couriers did not agree within {AGREEMENT_TIMEOUT_S:g} s after the start")
        for courier in self.couriers:
            courier.back_up_fleet_files()

    async def _start_partners(self) -> None:
        loop = asyncio.get_running_loop()
        for plan in demo_partners(self.scenario.rate_per_s):
            partner = Partner(plan, ["hall-a", "hall-b"], self.ledger, self.rng, loop.time())
            self.partners.append(partner)
            for endpoint in partner.endpoints:
                await endpoint.start()
                self.discovery.target(
                    endpoint.uid,
                    endpoint.port,
                    plan.number,
                    plan.kind,
                    rate=plan.rate_per_s,
                    zone=endpoint.zone,
                )

    def _open_relay(self) -> None:
        network = self.scenario.net
        self.relay.loss = network.loss
        self.relay.repeat = network.repeat
        self.relay.delay_s = network.delay_ms / 1e3
        self.relay.open(free_udp_ports(self.options.couriers))

    def _create_courier(self, number: int) -> Courier:
        scene_options = Options(
            self.scenario.seconds, self.scenario.rate_per_s, self.options.couriers, seed=self.options.seed
        )
        configuration = (
            courier_toml(self.discovery.port, scene_options, number, MESSAGE_CLASSES)
            + "\n"
            + members_toml(number, self.options.couriers, self.voters, self.relay, self.scenario.alone)
        )
        # `alone` is set if and only if the fleet has a policy. courier_toml writes the text that is replaced.
        if self.scenario.alone and number == 1:
            configuration = configuration.replace("limits = {disk_mb = 16}", SMALL_LIMITS)
        clock_offset_s = self.rng.uniform(-1, 1) * self.scenario.clocks_off_s
        return Courier(number, self.folder, configuration, clock_offset_s, bool(self.scenario.alone))

    async def _start_couriers(self) -> None:
        starting = asyncio.Semaphore(MAX_STARTING)

        async def start(courier: Courier) -> None:
            async with starting:
                await courier.start()

        async with asyncio.TaskGroup() as group:  # if one fails to start, the rest are cancelled
            for courier in self.couriers:
                group.create_task(start(courier))

    async def _run_load_and_faults(self) -> None:
        loop = asyncio.get_running_loop()
        load = LoadGenerator(
            self.ledger,
            MESSAGE_CLASSES,
            [partner.settings.number for partner in self.partners],
            lambda: [courier.port for courier in self.couriers if courier.is_accepting],
            random.Random(f"load {self.options.seed}"),
        )
        background_tasks = [loop.create_task(self._watch(courier)) for courier in self.couriers]
        background_tasks += [loop.create_task(self._change_forever())]
        policy_proposer = PolicyProposer(
            self.couriers,
            self.history,
            self.rng,
            [endpoint.uid for partner in self.partners for endpoint in partner.endpoints],
        )
        if self.scenario.policies_per_s:
            background_tasks.append(
                loop.create_task(policy_proposer.propose_forever(self.scenario.policies_per_s))
            )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(self.scenario.rate_per_s, self.scenario.seconds))
                group.create_task(self.fault_injector.inject(self.faults))
            faults_ended_at = loop.time()
            for courier in self.couriers:  # restart one that exited by itself, as the platform would
                if not courier.pid:
                    # A kind of row in the history: the process exited without being asked to.
                    self.history.add(courier.name, "ended unasked")
                    await courier.start()
            if await self._wait_for_agreement(AGREEMENT_TIMEOUT_S):
                self.agreed_s = loop.time() - faults_ended_at
            deadline = loop.time() + LAST_MESSAGES_TIMEOUT_S
            while self._unfinished_message_count() and loop.time() < deadline:
                await asyncio.sleep(0.1)
        finally:
            for task in background_tasks:
                task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            await policy_proposer.finish()
            if self.pending_changes:
                await asyncio.wait(self.pending_changes, timeout=OUTCOME_TIMEOUT_S)
            load.close()

    def _unfinished_message_count(self) -> int:
        return sum(
            entry.answer == "taken" and not entry.delivered_at and not entry.notice
            for entry in self.ledger.entries.values()
        )

    async def _wait_for_agreement(self, timeout_s: float) -> bool:
        """Waits until every courier sees all members alive, the same entries and no change in progress.

        Each must have started. The change is one of the policy; with a policy each must also be allowed to
        act. False on timeout.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            views = await asyncio.gather(*(courier.request("GET", "/fleet") for courier in self.couriers))
            is_agreed = all(
                status == 200
                and self._policy_is_settled(body)
                and body["started"]
                and all(member["state"] == "alive" for member in body["members"])
                for status, body in views
            )
            if is_agreed and len({repr(sorted(body["words"].items())) for _, body in views}) == 1:
                return True
            await asyncio.sleep(0.1)
        return False

    def _policy_is_settled(self, body: dict[str, Any]) -> bool:
        """No policy change is under way and the courier may act; True where the trial has no policy."""
        policy = body.get("policy")
        return not self.scenario.alone or bool(policy and policy["may_act"] and not policy["change"])

    # Background requests

    async def _watch(self, courier: Courier) -> None:
        """Records the courier's view of the fleet at intervals, and more often whether it holds the lease."""
        loop = asyncio.get_running_loop()
        viewed_at = 0.0
        while True:
            if courier.pid and not courier.is_stopped:
                status, body = await courier.request("GET", f"/fleet/leases/{LEASE}")
                if status == 200 and body["fence"]:
                    self.history.add(
                        courier.name, "act", fence=body["fence"], owner=body["owner"], looked_us=body["at_us"]
                    )
                if loop.time() - viewed_at >= max(MIN_VIEW_INTERVAL_S, len(self.couriers) / MAX_VIEWS_PER_S):
                    viewed_at = loop.time()
                    status, body = await courier.request("GET", "/fleet")
                    if status == 200:
                        self.history.add(
                            courier.name,
                            "view",
                            version=body["version"],
                            life=body["life"],
                            incarnation=body["members"][0]["incarnation"],
                            health=body["health"],
                        )
            mean_interval_s = len(self.couriers) / max(1.0, self.scenario.acts_per_s)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * mean_interval_s)

    async def _change_forever(self) -> None:
        while self.scenario.changes_per_s:
            await asyncio.sleep(self.rng.expovariate(self.scenario.changes_per_s))
            task = asyncio.get_running_loop().create_task(
                self._submit_register_request(self.rng.choice(self.couriers))
            )
            self.pending_changes.add(task)
            task.add_done_callback(self.pending_changes.discard)

    async def _submit_register_request(self, courier: Courier) -> None:
        """Writes the entry "x" into the register, or reads the register, and records the reported outcome."""
        self.text_count += 1
        # 7 of 10 requests write a text of their own; the others, with an empty text, are reads.
        text = str(self.text_count) if self.rng.random() < 0.7 else ""
        began_us, pid = elapsed_us(), courier.pid
        status, answer = await courier.request("POST", f"/fleet/words/x/{text}" if text else "/fleet/read")
        deadline = time.monotonic() + OUTCOME_TIMEOUT_S
        while (
            status == 202
            and answer["state"] == "under way"
            and time.monotonic() < deadline
            and courier.pid == pid
        ):
            await asyncio.sleep(0.03)
            poll_status, body = await courier.request(
                "GET", f"/fleet/changes/{answer['ticket'].replace('#', '%23').replace('/', '%2F')}"
            )
            answer = body if poll_status == 200 else answer
        if status == 202 and answer["state"] in ("done", "left"):
            self.history.add(courier.name, "change", began_us=began_us, text=text, **answer)
        else:
            self.history.add(
                courier.name, "unknown", began_us=began_us, text=text, state=answer.get("state", "no answer")
            )

    async def _end(self) -> None:
        for courier in self.couriers:
            courier.send_signal(signal.SIGCONT)
            courier.kill()
        for courier in self.couriers:
            if courier.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    await courier.process.wait()
            courier.listening.close()
            courier.release_ports()
        self.relay.close()
        for server in (
            self.discovery,
            *(endpoint for partner in self.partners for endpoint in partner.endpoints),
        ):
            await server.stop()

    def _summary(self, violations: list[str], duration_s: float) -> dict[str, Any]:
        counts = self.ledger.result().counts
        reported_deaths = [
            (at_us - self.wall_clock_offset_us, courier.name, member)
            for courier in self.couriers
            for at_us, member in courier.reported_deaths()
        ]
        false_deaths = rules.false_deaths(self.history, reported_deaths, DEATH_SLACK_US)
        changes = self.history.rows_of("change")
        durations_ms = sorted((change["at_us"] - change["began_us"]) // 1000 for change in changes)
        return {
            "scenario": self.scenario.name,
            "seed": self.options.seed,
            "couriers": self.options.couriers,
            "faults": dict(sorted(self.fault_injector.counts.items())),
            "killed": self.fault_injector.killed_count,
            "messages": counts["taken"],
            "lost": self._unfinished_message_count(),
            "twice": counts["twice"],
            "in_time": round(counts["in_time"] / max(1, counts["handed_in"]), 4),
            "changes": sum(change["state"] == "done" for change in changes),
            "unknown": len(self.history.rows_of("unknown")),
            "change_p99_ms": durations_ms[int(len(durations_ms) * 0.99)] if durations_ms else None,
            "acts": len(self.history.rows_of("act")),
            "agreed_s": round(self.agreed_s, 1),
            **(policy_rules.figures(self.history) if self.scenario.alone else {}),
            "false_deaths": len(false_deaths),
            "violations": violations,
            "seconds": round(duration_s, 1),
        }


def run(options: TrialOptions) -> dict[str, Any]:
    """Runs a trial in a temporary folder and returns its result line.

    After a violation history and logs are kept, and `kept` names their folder. OSError or TimeoutError if the
    couriers do not start.
    """
    folder = Path(tempfile.mkdtemp(prefix="hopmill-trial-"))
    trial = Trial(options, folder)
    history_folder = options.history
    try:
        try:
            summary = asyncio.run(_run_until_signal(trial))
        except BaseExceptionGroup as group:  # callers catch single errors, not those of task groups
            raise group.exceptions[0] from None
        if summary["violations"] and history_folder is None:
            history_folder = Path(tempfile.gettempdir()) / f"trial-{options.scenario.name}-{options.seed}"
            summary["kept"] = str(history_folder)
        if history_folder is not None:
            _save_history(trial, folder, history_folder / f"{options.scenario.name}-{options.seed}")
        return summary
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _save_history(trial: Trial, folder: Path, destination_folder: Path) -> None:
    destination_folder.mkdir(parents=True, exist_ok=True)
    trial.history.write(destination_folder / "history.jsonl")
    for log_file in folder.glob("*.log"):
        shutil.copy(log_file, destination_folder / log_file.name)


async def _run_until_signal(trial: Trial) -> dict[str, Any]:
    task = asyncio.current_task()
    assert task is not None
    # Each cancels the trial, which ends its processes.
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
    return await trial.run()
