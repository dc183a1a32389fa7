"""Which idle connections are trusted, how many are kept, and what follows from an endpoint's full table."""

from __future__ import annotations

from hopmill.interface import CloseIdle, Keep, OpenIdle, Result
from hopmill.policy.state import RECENT_SUCCESS_US, Call, Endpoint
from hopmill.policy.timeouts import LOSS_WEIGHT, HIGH_LOSS_SHARE
from hopmill.policy.turn import Turn

TRUSTED_AGE_FACTOR = 0.5  # idle connections are used up to this part of the age at which one failed
TRUST_GROWTH_FACTOR = 1.25  # of that age, after a success on a connection idle for long


class Connections:
    """Decides on the connections to all endpoints."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.settings = turn.settings
        self.max_idle_us = turn.settings.connection_idle_us  # older idle connections are not used
        self.idle_losses = 0  # calls lost on idle connections, since the last success on one idle for long
        self.new_loss_share = 0.0  # moving share of calls lost on new connections
        self.warm_up = False  # connections may be opened before a message needs them

    def record_outcome(self, endpoint: Endpoint, result: Result, call: Call) -> None:
        """Learn from an outcome about the connection that the call used."""
        if call.connection_idle_us < 0:
            # Lost while other calls were answered.
            is_alone = result is Result.TIMEOUT and endpoint.last_success_us > call.sent_us
            self.new_loss_share += (is_alone - self.new_loss_share) * LOSS_WEIGHT
        elif result in (Result.TIMEOUT, Result.RESET):
            # The connection was dropped without notice while idle, so older ones are closed before a call. If
            # calls on new connections are lost as well, idle time is not the reason.
            self.idle_losses += 1
            if self.idle_losses > 1 and self.new_loss_share < HIGH_LOSS_SHARE:
                self.max_idle_us = min(
                    self.max_idle_us,
                    int(TRUSTED_AGE_FACTOR * max(call.connection_idle_us, 2 * endpoint.lane.mean_latency_us)),
                )
        if result is Result.OK:
            if call.connection_idle_us < 0:
                endpoint.connection_budget.consecutive_new_refusals = 0
            else:
                endpoint.last_reuse_success_us = self.turn.now_us
            if call.connection_idle_us > TRUSTED_AGE_FACTOR * TRUSTED_AGE_FACTOR * self.max_idle_us:
                self.idle_losses, self.max_idle_us = (
                    0,
                    min(self.settings.connection_idle_us, int(self.max_idle_us * TRUST_GROWTH_FACTOR)),
                )

    def has_warm(self, endpoint: Endpoint) -> bool:
        """Return whether an idle connection can be used."""
        return any(
            since_us > self.turn.now_us - self.max_idle_us
            for since_us in endpoint.connection_budget.idle_since_us
        )

    def check_out(self, endpoint: Endpoint, call: Call) -> None:
        """Take a connection for a call; close the idle ones first if even the newest is too old to trust."""
        now_us, oldest_us = self.turn.now_us, self.turn.now_us - self.max_idle_us
        if (
            endpoint.connection_budget.idle_since_us
            and now_us - self.settings.connection_idle_us
            < endpoint.connection_budget.idle_since_us[-1]
            <= oldest_us
        ):
            self.turn.actions.append(CloseIdle(endpoint.id))
        call.connection_idle_us = endpoint.connection_budget.check_out(now_us, oldest_us)
        self.announce_size(endpoint)

    def announce_size(self, endpoint: Endpoint) -> None:
        """Tell the pool how many connections to keep; open the next one if warm-up is on."""
        max_idle = endpoint.connection_budget.max_idle(
            self.turn.now_us, endpoint.lane.slot_time_us, int(endpoint.lane.window)
        )
        if max_idle != endpoint.connection_budget.announced:
            endpoint.connection_budget.announced = max_idle
            self.turn.actions.append(Keep(endpoint.id, max_idle))
        # Only to an endpoint that answers calls now: opening a connection must not serve as a probe.
        is_healthy = (
            not endpoint.breaker.is_open
            and endpoint.breaker.slow_start_began_us < 0
            and self.turn.now_us - endpoint.last_success_us < RECENT_SUCCESS_US
        )
        if (
            self.warm_up
            and is_healthy
            and not endpoint.connection_budget.idle_since_us
            and len(endpoint.calls_in_flight) < min(max_idle, endpoint.connection_budget.max_connections)
        ):
            self.turn.actions.append(OpenIdle(endpoint.id))

    def record_full_table(self, endpoint: Endpoint) -> None:
        """Keep fewer connections to an endpoint that serves but takes no further one."""
        connections, pause_us = (
            len(endpoint.calls_in_flight) + len(endpoint.connection_budget.idle_since_us),
            max(int(endpoint.lane.mean_latency_us), 2 * self.settings.tick_us),
        )
        if endpoint.connection_budget.record_full_table(self.turn.now_us, connections, pause_us):
            kept = endpoint.connection_budget.max_connections
            self.turn.log(f"endpoint {endpoint.id} takes no more connections: {kept} kept")
            self.announce_size(endpoint)
