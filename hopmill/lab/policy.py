"""The fleet's policy in the simulation: couriers act under leases on it, and operators change it.

hopmill/net/active_policy.py does the same for a real courier; here it is done in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hopmill.lab.chance import UniformBuffer, stream

if TYPE_CHECKING:
    from hopmill.lab.calls import HeldMessage
    from hopmill.lab.simulation import Simulation

MAX_WAIT_US = 500_000  # a client waits so long for a policy change to end
Reply = Callable[[str, int], None]


class FleetPolicy:
    """Decides for each courier of a simulation whether it may act, by its policy lease."""

    def __init__(self, simulation: Simulation, interval_s: float) -> None:
        """interval_s: between two changes; 0: no changes."""
        self.simulation, self.fleet, self.change_interval_us = (
            simulation,
            simulation.members,
            int(interval_s * 1e6),
        )
        count = len(simulation.couriers)
        self.is_holding = [True] * count
        self.waiting_submissions: list[list[tuple[int, HeldMessage, Reply]]] = [[] for _ in range(count)]
        self.rng = UniformBuffer(stream(simulation.seed, "policy"))
        self.proposed = self.pauses = self.paused_us = self.max_pause_us = 0
        self.holding_since_us = [0] * count
        assert self.fleet is not None
        self.fleet.on_activity = self.after_activity
        if self.change_interval_us:
            simulation.clock.after(self.change_interval_us, self._propose_change)

    def _policy_member(self, number: int) -> Any:
        assert self.fleet is not None
        node = self.fleet.nodes[number]
        return node.policy_member if node else None

    def courier_started(self, number: int) -> None:
        """A courier's process started: it holds until it has a lease."""
        self.is_holding[number] = True
        self.holding_since_us[number] = self.simulation.clock.now
        self.simulation.couriers[number].add_event(self.simulation.dialect.make("Hold", on=True))

    def courier_ended(self, number: int) -> None:
        """A courier's process ended: clients that waited for it get no answer."""
        waiting, self.waiting_submissions[number] = self.waiting_submissions[number], []
        for _, _, reply in waiting:
            reply("gone", 0)

    def after_activity(self, number: int) -> None:
        """Applies the version that a member has agreed to, and follows its lease."""
        policy_member = self._policy_member(number)
        policy, texts = policy_member.register.document.policy, policy_member.texts.by_digest
        version, digest = policy.version_for(policy_member.me), policy.digest_for(policy_member.me)
        if version != policy_member.lease.applied_version and (not digest or digest in texts):
            courier = self.simulation.couriers[number]
            courier.add_event(self.simulation.dialect.make("PolicySet", settings=courier.settings))
            policy_member.lease.set_applied_version(version)
            self.fleet.schedule_pump(number)  # type: ignore[union-attr]
        if (
            policy.change
            and policy.change.id != policy_member.lease.ready_for
            and policy.change.digest in texts
        ):
            policy_member.lease.report_check(policy.change.id)
            self.fleet.schedule_pump(number)  # type: ignore[union-attr]
        is_holding = policy_member.lease.valid_version(self.simulation.clock.now) < 0
        if is_holding is not self.is_holding[number]:
            self._set_holding(number, is_holding)

    def _set_holding(self, number: int, is_holding: bool) -> None:
        now, courier = self.simulation.clock.now, self.simulation.couriers[number]
        self.is_holding[number] = is_holding
        courier.add_event(self.simulation.dialect.make("Hold", on=is_holding))
        if is_holding:
            self.holding_since_us[number] = now
            return
        if self.proposed:
            self.pauses += 1
            self.paused_us += now - self.holding_since_us[number]
            self.max_pause_us = max(self.max_pause_us, now - self.holding_since_us[number])
        waiting, self.waiting_submissions[number] = self.waiting_submissions[number], []
        for _, message, reply in waiting:
            courier.submit(message, reply)

    def queue(self, number: int, message: HeldMessage, reply: Reply) -> None:
        """Keeps a message that came while its courier may not act, for MAX_WAIT_US at most."""
        self.waiting_submissions[number].append((self.simulation.clock.now, message, reply))
        self.simulation.clock.after(MAX_WAIT_US, self._refuse_waiting, number, message)

    def _refuse_waiting(self, number: int, message: HeldMessage) -> None:
        for index, (_, waiting, reply) in enumerate(self.waiting_submissions[number]):
            if waiting is message:
                del self.waiting_submissions[number][index]
                reply("refused", self.simulation.couriers[number].module.come_back_us())
                return

    def _propose_change(self) -> None:
        self.simulation.clock.after(self.change_interval_us, self._propose_change)
        number = int(self.rng.uniform() * len(self.simulation.couriers))
        policy_member = self._policy_member(number)
        if policy_member is None:
            return
        self.proposed += 1
        text = f"policy {self.proposed}".encode()
        policy_member.propose(
            f"p{self.proposed}",
            text,
            policy_member.register.document.policy.version,
            self.simulation.clock.now,
            lambda outcome: None,
        )
        self.fleet.schedule_pump(number)  # type: ignore[union-attr]

    def summary(self) -> dict[str, Any]:
        """The policy's part of a run's result. Times in ms; each pause is one courier's."""
        versions = [
            policy_member.lease.applied_version
            for number in range(len(self.is_holding))
            if (policy_member := self._policy_member(number))
        ]
        return {
            "proposed": self.proposed,
            "version": max(versions, default=0),
            "pauses": self.pauses,
            "mean_pause_ms": round(self.paused_us / 1e3 / max(1, self.pauses), 1),
            "longest_pause_ms": round(self.max_pause_us / 1e3, 1),
        }
