"""What the outcome of a call shows: each part is told what concerns it."""

from __future__ import annotations

from hopmill.interface import Result
from hopmill.policy.circuit import Circuits
from hopmill.policy.connections import Connections
from hopmill.policy.pacing import Pacing
from hopmill.policy.state import FRESH_US, Call, Endpoint
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn

LONG_WAIT_US = 2_500_000  # a told wait over this is a shut destination, not the end of a rate span


class Evidence:
    def __init__(
        self, turn: Turn, pacing: Pacing, circuits: Circuits, timeouts: Timeouts, connections: Connections
    ) -> None:
        self.turn, self.pacing, self.circuits = turn, pacing, circuits
        self.timeouts, self.connections = timeouts, connections

    def judge(self, ep: Endpoint, result: Result, call: Call, latency: int, told: int) -> None:
        """Once for each call. told: the wait that came with it, in us."""
        lane, now = ep.lane, self.turn.now
        self.connections.judge(ep, result, call)
        if result is Result.OK:
            self.succeeded(ep, latency)
            return
        if result in (Result.CANCELLED, Result.MOOT):
            return
        if result is Result.FULL:
            self.pacing.overloaded(lane, told)
            if told > LONG_WAIT_US:
                self.circuits.shut(ep)
                return
            if now - ep.last_ok < FRESH_US:
                others = not told and ep.reused_ok > call.sent_at - FRESH_US and self.pacing.room_left(lane)
                if others and ep.connection_budget.refused(call.idle_us < 0):
                    self.connections.table_full(ep)
                return
        elif result is Result.TIMEOUT:
            # Calls sent with it or later were answered: a lost call, not an outage: a spell of losses must
            # not put whole lanes into recovery.
            answered = ep.last_ok > call.sent_at
            self.pacing.timed_out(lane, answered)
            if answered:
                self.timeouts.lost()
                return
        elif result is Result.CONNECT_FAILED and now - ep.last_ok < FRESH_US and ep.out:
            self.connections.table_full(ep)  # and no dead endpoint
            return
        if result in (Result.ERROR, Result.TIMEOUT, Result.RESET):
            self.circuits.soiled(ep)
        lost = self.timeouts.no_evidence() if result is Result.TIMEOUT else 0.0
        self.circuits.failed(ep, result, call is ep.c.trial, 1 - lost)

    def succeeded(self, ep: Endpoint, latency: int) -> None:
        """latency: 0 where it is not told."""
        ep.last_ok = self.turn.now
        self.circuits.answered(ep)
        if latency:
            self.timeouts.answered(ep.lane, latency)
        self.pacing.succeeded(ep.lane)
        self.circuits.closes(ep)
