"""Operators of a trial that keep changing the policy: at any courier, twice, concurrently, or refused."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from hopmill.trial.couriers import Courier
from hopmill.trial.history import History, elapsed_us

OUTCOME_TIMEOUT_S = 12.0  # for how long the outcome of a change is polled
POLL_INTERVAL_S = 0.03
FINAL_STATES = ("in force", "in force nowhere")
REFUSED_HELD_MESSAGES = 2600  # more than the courier with small limits has memory for


class PolicyProposer:
    """Proposes random policy changes and records their outcomes in the history."""

    def __init__(
        self, couriers: list[Courier], history: History, rng: random.Random, endpoints: list[str]
    ) -> None:
        self.couriers, self.history, self.rng, self.endpoints = couriers, history, rng, endpoints
        self.pending: set[asyncio.Task[None]] = set()
        self.proposal_count = 0

    async def propose_forever(self, per_s: float) -> None:
        """Proposes changes at that mean rate until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            for _ in range(2 if self.rng.random() < 0.1 else 1):  # sometimes two concurrently
                self.proposal_count += 1
                self._start_task(self._propose(f"p{self.proposal_count}", self._draw_patch()))

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def finish(self) -> None:
        """Waits for the outcomes of changes that are under way."""
        if self.pending:
            await asyncio.wait(self.pending, timeout=OUTCOME_TIMEOUT_S)

    def _draw_patch(self) -> dict[str, Any]:
        if self.rng.random() < 0.08:
            return {"held": REFUSED_HELD_MESSAGES}
        excluded = self.rng.sample(self.endpoints, 1 + (self.rng.random() < 0.3))
        return {"left_out": {"endpoints": excluded}, "retries": {"attempts": self.rng.randrange(2, 5)}}

    async def _submit(self, courier: Courier, proposal: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Proposes the change at this courier. Returns the status and the answer, and records both."""
        status, answer = await courier.request("POST", "/fleet/policy", proposal)
        self.history.add(
            courier.name,
            "proposed",
            change=proposal["id"],
            status=status,
            base=answer.get("base"),
            error=answer.get("error", ""),
        )
        return status, answer

    async def _propose(self, ident: str, patch: dict[str, Any]) -> None:
        """Proposes a change at one courier or two, and polls for its outcome at any that answers."""
        began_us = elapsed_us()
        courier = self.rng.choice(self.couriers)
        proposal = {"id": ident, "patch": patch, "by": "trial"}
        if self.rng.random() < 0.15:
            proposal |= {"share": 0.4, "watch_s": 1.0}
        submitted = [courier]
        if self.rng.random() < 0.1:
            submitted.append(self.rng.choice(self.couriers))
        answers = [(courier, *await self._submit(courier, proposal)) for courier in submitted]
        accepted = [courier for courier, status, _ in answers if status < 400]
        if not accepted:
            self.history.add(courier.name, "not proposed", change=ident, why=answers[0][2].get("error", ""))
            return
        courier, answer = await self._await_outcome(accepted, ident)
        state = answer.get("state", "no answer")
        if state == "not proposed":
            self.history.add(courier.name, "not proposed", change=ident, why=answer["why"])
            return
        self.history.add(
            courier.name,
            "outcome",
            change=ident,
            state=state,
            began_us=began_us,
            staged="share" in proposal,
            why=answer.get("why", ""),
            version=answer.get("version", 0),
        )

    async def _await_outcome(self, accepted: list[Courier], ident: str) -> tuple[Courier, dict[str, Any]]:
        """Polls until an outcome is known. Returns the courier that was asked last, and its answer.

        accepted: the couriers that took the proposal on. Once one refuses it, the next is asked.
        """
        courier, *others = accepted
        answer: dict[str, Any] = {}
        deadline = time.monotonic() + OUTCOME_TIMEOUT_S
        while time.monotonic() < deadline and answer.get("state") not in FINAL_STATES:
            await asyncio.sleep(POLL_INTERVAL_S)
            status, latest = await courier.request("GET", f"/fleet/policy/changes/{ident}")
            if status == 200:
                answer = latest
            else:
                await asyncio.sleep(0.1)
            if answer.get("state") == "not proposed":
                if not others:
                    break
                courier, answer = others.pop(0), {}
            elif status != 200 or latest.get("state") == "not known":
                courier = self.rng.choice(self.couriers)
        return courier, answer
