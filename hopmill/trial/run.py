"""One trial: couriers, stand-ins, a load and faults; then everything is well, and the history is judged."""

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
from hopmill.standin.scene import MESSAGE_CLASSES, Options, courier_toml, demo_partners
from hopmill.trial import policy_rules, rules
from hopmill.trial.couriers import LEASE, Courier, free_udp_ports, members_toml
from hopmill.trial.faults import Hand
from hopmill.trial.history import History, Recorder, elapsed_us
from hopmill.trial.policies import Policies
from hopmill.trial.relay import Relay
from hopmill.trial.scenario import Scenario, draw

AGREE_S = 12.0  # after the last fault all couriers take all for alive and know one version within this
LAST_ENDS_S = 12.0  # and every message that was taken on has its end
VIEW_S, VIEWS_PER_S = 0.5, 20  # between two looks at a courier's view; of all couriers together
MOST_S = 90.0  # that a trial may take on top of its own time
SMALL = "limits = {disk_mb = 16, memory_mb = 160}"  # one machine that can't take every change
OUTCOME_S = 12.0  # a change has its outcome within this
STARTING = 8  # couriers that start at once
DEATH_SLACK_US = 6_000_000  # after a fault, a death that it caused may still be told


@dataclass(frozen=True)
class Ask:
    scenario: Scenario
    couriers: int
    seed: int
    history: Path | None = None  # a folder for history and logs; else kept only where a promise was broken


class Trial:
    def __init__(self, ask: Ask, folder: Path) -> None:
        self.ask, self.s, self.folder = ask, ask.scenario, folder
        self.chance = random.Random(f"trial {self.s.name} {ask.seed}")
        self.history = History()
        self.ledger = Recorder(self.history)
        self.discovery = Discovery(self.ledger.record_notice)
        self.partners: list[Partner] = []
        self.couriers: list[Courier] = []
        self.relay = Relay(random.Random(f"relay {ask.seed}"))
        self.voters = 5 if ask.couriers >= 7 else 3 if ask.couriers >= 3 else 1
        self.faults = draw(self.s, ask.seed, ask.couriers, self.voters)
        self.hand: Hand
        self.wall_us = int(time.time() * 1e6) - elapsed_us()
        self.agreed_s = -1.0
        self.texts = 0
        self.asking: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, Any]:
        began = time.monotonic()
        try:
            async with asyncio.timeout(self.s.seconds + MOST_S):
                await self._start()
                await self._play()
        finally:
            await self._end()
        for c in self.couriers:
            self.history.rows += c.recorded()
        found = rules.violations(self.history, self.ledger) + policy_rules.violations(self.history)
        if self.agreed_s < 0:
            found.append(f"the couriers did not agree within {AGREE_S:g} s after the last fault")
        return self._told(found, time.monotonic() - began)

    async def _start(self) -> None:
        loop, o = (
            asyncio.get_running_loop(),
            Options(self.s.seconds, self.s.rate_per_s, self.ask.couriers, seed=self.ask.seed),
        )
        await self.discovery.start()
        for plan in demo_partners(self.s.rate_per_s):
            partner = Partner(plan, ["hall-a", "hall-b"], self.ledger, self.chance, loop.time())
            self.partners.append(partner)
            for m in partner.endpoints:
                await m.start()
                self.discovery.target(
                    m.uid, m.port, plan.number, plan.kind, rate=plan.rate_per_s, zone=m.zone
                )
        net = self.s.net
        self.relay.loss, self.relay.repeat, self.relay.delay_s = net.loss, net.repeat, net.delay_ms / 1e3
        self.relay.open(free_udp_ports(self.ask.couriers))
        for n in range(self.ask.couriers):
            text = (
                courier_toml(self.discovery.port, o, n, MESSAGE_CLASSES)
                + "\n"
                + members_toml(n, self.ask.couriers, self.voters, self.relay, self.s.alone)
            )
            if self.s.alone and n == 1:
                text = text.replace("limits = {disk_mb = 16}", SMALL)
            off = self.chance.uniform(-1, 1) * self.s.clocks_off_s
            self.couriers.append(Courier(n, self.folder, text, off, bool(self.s.alone)))
        self.ledger.names = {c.port: c.name for c in self.couriers}
        self.hand = Hand(self.couriers, self.relay, self.history)
        starting = asyncio.Semaphore(STARTING)

        async def start(c: Courier) -> None:
            async with starting:
                await c.start()

        async with asyncio.TaskGroup() as group:  # if one can't, no other is started after the end
            for c in self.couriers:
                group.create_task(start(c))
        if not await self._agree(AGREE_S):
            raise TimeoutError("the couriers did not find one another")
        for c in self.couriers:
            c.copy_fleet_files()

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        load = LoadGenerator(
            self.ledger,
            MESSAGE_CLASSES,
            [p.settings.number for p in self.partners],
            lambda: [c.port for c in self.couriers if c.is_accepting],
            random.Random(f"load {self.ask.seed}"),
        )
        watching = [loop.create_task(self._watch(c)) for c in self.couriers]
        watching += [loop.create_task(self._changes())]
        policies = Policies(
            self.couriers, self.history, self.chance, [m.uid for p in self.partners for m in p.endpoints]
        )
        if self.s.policies_per_s:
            watching.append(loop.create_task(policies.go_on(self.s.policies_per_s)))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(self.s.rate_per_s, self.s.seconds))
                group.create_task(self.hand.carry_out(self.faults))
            healed = loop.time()
            for c in self.couriers:  # one that ended unasked comes back, as the platform would start it
                if not c.pid:
                    self.history.add(c.name, "ended unasked")
                    await c.start()
            if await self._agree(AGREE_S):
                self.agreed_s = loop.time() - healed
            until = loop.time() + LAST_ENDS_S
            while self._open() and loop.time() < until:
                await asyncio.sleep(0.1)
        finally:
            for task in watching:
                task.cancel()
            await asyncio.gather(*watching, return_exceptions=True)
            await policies.end()
            if self.asking:
                await asyncio.wait(self.asking, timeout=OUTCOME_S)
            load.close()

    def _open(self) -> int:
        return sum(
            e.answer == "taken" and not e.delivered_at and not e.notice for e in self.ledger.entries.values()
        )

    async def _agree(self, within: float) -> bool:
        """All doors answer, take all for alive and know one version, the same words."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            views = await asyncio.gather(*(c.ask("GET", "/fleet") for c in self.couriers))
            well = all(
                code == 200
                and self._settled(body)
                and body["started"]
                and all(m["state"] == "alive" for m in body["members"])
                for code, body in views
            )
            if well and len({repr(sorted(body["words"].items())) for _, body in views}) == 1:
                return True
            await asyncio.sleep(0.1)
        return False

    def _settled(self, body: dict[str, Any]) -> bool:
        """Where there is a policy: no change is under way, and it may act."""
        policy = body.get("policy")
        return not self.s.alone or bool(policy and policy["may_act"] and not policy["change"])

    # What is watched

    async def _watch(self, c: Courier) -> None:
        """Its view now and then, and often whether it may act under the lease."""
        loop = asyncio.get_running_loop()
        looked = 0.0
        while True:
            if c.pid and not c.stopped:
                status, body = await c.ask("GET", f"/fleet/leases/{LEASE}")
                if status == 200 and body["fence"]:
                    self.history.add(
                        c.name, "act", fence=body["fence"], owner=body["owner"], looked_us=body["at_us"]
                    )
                if loop.time() - looked >= max(VIEW_S, len(self.couriers) / VIEWS_PER_S):
                    looked = loop.time()
                    status, body = await c.ask("GET", "/fleet")
                    if status == 200:
                        self.history.add(
                            c.name,
                            "view",
                            version=body["version"],
                            life=body["life"],
                            incarnation=body["members"][0]["incarnation"],
                            health=body["health"],
                        )
            each = len(self.couriers) / max(1.0, self.s.acts_per_s)
            await asyncio.sleep(self.chance.uniform(0.5, 1.5) * each)

    async def _changes(self) -> None:
        while self.s.changes_per_s:
            await asyncio.sleep(self.chance.expovariate(self.s.changes_per_s))
            task = asyncio.get_running_loop().create_task(self._change(self.chance.choice(self.couriers)))
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)

    async def _change(self, c: Courier) -> None:
        """A word into the register, or a reading of it, and what was told of it."""
        self.texts += 1
        text = str(self.texts) if self.chance.random() < 0.7 else ""
        began, life = elapsed_us(), c.pid
        status, told = await c.ask("POST", f"/fleet/words/x/{text}" if text else "/fleet/read")
        until = time.monotonic() + OUTCOME_S
        while status == 202 and told["state"] == "under way" and time.monotonic() < until and c.pid == life:
            await asyncio.sleep(0.03)
            asked, body = await c.ask(
                "GET", f"/fleet/changes/{told['ticket'].replace('#', '%23').replace('/', '%2F')}"
            )
            told = body if asked == 200 else told
        if status == 202 and told["state"] in ("done", "left"):
            self.history.add(c.name, "change", began_us=began, text=text, **told)
        else:
            self.history.add(
                c.name, "unknown", began_us=began, text=text, state=told.get("state", "no answer")
            )

    # The end

    async def _end(self) -> None:
        for c in self.couriers:
            c.signal(signal.SIGCONT)
            c.kill()
        for c in self.couriers:
            if c.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    await c.process.wait()
            c.listening.close()
        self.relay.close()
        for server in (self.discovery, *(m for p in self.partners for m in p.endpoints)):
            await server.stop()

    def _told(self, found: list[str], seconds: float) -> dict[str, Any]:
        result = self.ledger.result().counts
        deaths = [(at - self.wall_us, who, c.name) for c in self.couriers for at, who in c.deaths()]
        wrong = rules.false_deaths(self.history, deaths, DEATH_SLACK_US)
        changes = self.history.of("change")
        took = sorted((r["at_us"] - r["began_us"]) // 1000 for r in changes)
        return {
            "scenario": self.s.name,
            "seed": self.ask.seed,
            "couriers": self.ask.couriers,
            "faults": dict(sorted(self.hand.counts.items())),
            "killed": self.hand.killed,
            "messages": result["taken"],
            "lost": self._open(),
            "twice": result["twice"],
            "in_time": round(result["in_time"] / max(1, result["handed_in"]), 4),
            "changes": sum(r["state"] == "done" for r in changes),
            "unknown": len(self.history.of("unknown")),
            "change_p99_ms": took[int(len(took) * 0.99)] if took else None,
            "acts": len(self.history.of("act")),
            "agreed_s": round(self.agreed_s, 1),
            **(policy_rules.figures(self.history) if self.s.alone else {}),
            "false_deaths": len(wrong),
            "violations": found,
            "seconds": round(seconds, 1),
        }


def run(ask: Ask) -> dict[str, Any]:
    """The line of this seed. Where something is violated its folder is kept, and named."""
    folder = Path(tempfile.mkdtemp(prefix="hopmill-trial-"))
    trial = Trial(ask, folder)
    kept = ask.history
    try:
        try:
            told = asyncio.run(_until_told(trial))
        except BaseExceptionGroup as group:
            raise group.exceptions[0] from None
        if told["violations"] and kept is None:
            kept = Path(tempfile.gettempdir()) / f"trial-{ask.scenario.name}-{ask.seed}"
            told["kept"] = str(kept)
        if kept is not None:
            _keep(trial, folder, kept / f"{ask.scenario.name}-{ask.seed}")
        return told
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _keep(trial: Trial, folder: Path, to: Path) -> None:
    to.mkdir(parents=True, exist_ok=True)
    trial.history.write(to / "history.jsonl")
    for log in folder.glob("*.log"):
        shutil.copy(log, to / log.name)


async def _until_told(trial: Trial) -> dict[str, Any]:
    task = asyncio.current_task()
    assert task is not None
    for how in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):  # all end it the same way
        asyncio.get_running_loop().add_signal_handler(how, task.cancel)
    return await trial.run()
