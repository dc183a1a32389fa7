"""What a courier knows: destinations, their lanes and endpoints, the messages held and the calls out."""

from __future__ import annotations

from hopmill.interface import Effect, EndpointState, MessageArrived, MessageClass
from hopmill.policy.links import ConnectionBudget

RECENT_SUCCESS_US = (
    1_000_000  # an endpoint that answered this lately is not down: a failed connect is a full table
)


class CircuitBreaker:
    """Whether calls may go, and how many: of an endpoint. In a large fleet of a lane: outages mostly take all
    endpoints, and so few calls go there that one endpoint's own would never gather the evidence."""

    def __init__(self) -> None:
        self.failure_share = 0.0  # failing share
        self.is_open = False  # trials only
        self.trial_call: Call | None = None
        self.next_trial_us = self.trial_gap_us = 0
        self.slow_start_began_us = -1  # start of the slow start, -1 when warm
        self.warm_rate_per_s = 0.0  # this courier's part of the warm rate
        self.tokens = 1.0
        self.refilled_us = 0


class Endpoint:
    """One endpoint and what its calls showed."""

    def __init__(self, number: int, lane: Lane, zone: int, connection_budget: ConnectionBudget) -> None:
        self.id = number
        self.lane = lane
        self.zone = zone
        self.connection_budget = connection_budget
        self.state = EndpointState.READY
        self.calls_in_flight: dict[int, Call] = {}  # calls in flight, oldest first
        self.failure_share = 0.0
        self.ambiguous_share = 0.0
        self.ambiguous_updated_us = 0
        self.last_success_us = 0
        self.last_reuse_success_us = (
            -RECENT_SUCCESS_US
        )  # when a call on a reused connection was last delivered
        self.breaker = lane.breaker or CircuitBreaker()


class Lane:
    """What shares one limit: a destination, or one route of it."""

    def __init__(self, destination: Destination, breaker: CircuitBreaker | None) -> None:
        self.destination = destination
        self.breaker = breaker
        self.endpoints: dict[int, Endpoint] = {}
        self.listed_rate_per_s = 0.0  # the listed rate, 0 if none
        self.limit_share_per_s = (
            0.0  # this courier's part of the limit, as listed or told by answers since, 0 if none
        )
        self.pace_per_s = self.last_refused_rate_per_s = (
            0.0  # calls a second that it is paced to, 0 = not; pace last refused
        )
        self.tokens = 1.0
        self.refilled_us = 0
        self.wait_until_us = 0
        self.next_cut_us = 0
        self.refused_share = 0.0  # share of calls refused as full
        self.last_report: tuple[float, ...] = ()  # the newest that an answer brought
        self.has_reported_limit = False  # its reports tell a limit
        self.window = 1.0
        self.calls_in_flight = 0
        self.consecutive_refusals = 0
        self.mean_latency_us = self.latency_deviation_us = 0.0  # latency
        self.slot_time_us = 1e5  # time that a call takes a slot, failed ones included
        self.success_rate_per_s = 0.0
        self.last_success_us = 0  # successes a second


class Destination:
    def __init__(self, number: int) -> None:
        self.number = number
        self.kind = 0
        self.lanes: list[Lane] = []
        self.queue: list[Message] = []
        self.calls_in_flight = self.arrivals = 0


class Message:
    def __init__(
        self,
        number: int,
        message_class: MessageClass,
        event: MessageArrived,
        sequence: int,
        now_us: int,
        destination: Destination,
    ) -> None:
        self.id = number
        self.message_class = message_class
        self.sequence = sequence
        self.destination = destination
        self.order_key = event.order_key if message_class.ordered else 0
        self.valid_until_us = event.valid_until_us
        self.created_us = event.valid_until_us - message_class.deadline_us
        self.attempts = event.tries
        self.attempts_in_flight = 0
        self.may_have_run_since_us = event.ran_at_us
        self.may_have_run_zone = event.ran_zone  # of the first that may have run
        self.ready_us = now_us
        self.last_endpoint: Endpoint | None = None
        self.is_closed = self.is_streaming = self.failed_quickly = False
        self.weight = 1.0

        self.is_zone_bound = message_class.effect is Effect.KEYED and message_class.key_scope == "zone"

    def last_send_us(self, margin_us: int) -> int:
        """Until when it may be sent: its time, and what its class allows once an attempt may have run."""
        if self.may_have_run_since_us < 0 or self.message_class.effect is Effect.SAFE:
            return self.valid_until_us - margin_us
        may_repeat = self.message_class.effect is Effect.KEYED and not (
            self.is_zone_bound and self.may_have_run_zone < 0
        )
        return (
            min(
                self.valid_until_us,
                self.may_have_run_since_us + (self.message_class.key_window_us if may_repeat else 0),
            )
            - margin_us
        )


class Call:
    """One call in flight; a batched one carries several messages."""

    def __init__(self, endpoint: Endpoint, now_us: int) -> None:
        self.endpoint = endpoint
        self.sent_us = now_us
        self.open_attempts = 0
        self.is_judged = False
        self.connection_idle_us = -1  # how long its connection had been idle, -1 for a new one


class CourierState:
    """What is held and out. The courier writes it; all others read."""

    def __init__(self) -> None:
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}
        self.calls_in_flight = 0
        self.excluded_endpoints: set[int] = set()  # endpoints that an operator leaves out
        self.order_queues: dict[int, list[Message]] = {}  # messages that go one at a time, in turn
        self.order_pauses_us: dict[int, int] = {}  # keys that pause until then
