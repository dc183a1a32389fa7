"""One courier's turn: events go to the modules that they concern, then messages are sent or ended."""

from __future__ import annotations

import heapq

from collections.abc import Iterable

from hopmill.interface import (
    Action,
    AttemptAnswering,
    AttemptEnded,
    AttemptHeldBack,
    AwaitList,
    CallCarried,
    Carried,
    CloseIdle,
    Closing,
    Effect,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Hold,
    LaneCarried,
    ListEntry,
    MessageArrived,
    MessageGone,
    OrderPauseCarried,
    PolicySet,
    Refuse,
    Result,
    Send,
    SetByHand,
    Settings,
    SetZoneByHand,
    Subscribe,
    WarmUp,
    ZoneCarried,
)
from hopmill.interface import Connections as ConnectionsReport
from hopmill.policy.admission import Admission
from hopmill.policy.carried import CarriedFigures
from hopmill.policy.circuit import CircuitBreakers
from hopmill.policy.connections import Connections
from hopmill.policy.directory import EndpointDirectory
from hopmill.policy.evidence import Evidence
from hopmill.policy.gate import Gate
from hopmill.policy.pacing import Pacing
from hopmill.policy.ranking import Ranking
from hopmill.policy.state import CourierState, Call, Destination, Endpoint, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.worth import Worth
from hopmill.policy.zones import Zones

DEFAULT_MAX_ATTEMPTS = 3  # of one message, the first included; Retries (Agents SDK design)
RESERVED_FOR_NEW_MESSAGES = 2  # of Settings.max_held, kept free for new messages
MIN_EXPIRIES_TO_PRUNE = 256
QUICK_FAILURE_US = 200_000  # after a faster failure a message may be repeated even during an outage


class Courier:
    """Decides for one courier: `handle` takes the events of a turn and returns its actions.

    Its main modules: `turn` holds the time, random numbers and actions of the events handled together;
    `evidence` passes the outcomes of calls on to the modules that learn from them; `gate` decides whether an
    endpoint may get a call and a message may be sent there; `worth` says what delivering a message is worth.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start a courier. The same settings, seed and events give the same actions."""
        self.settings = settings
        self.turn = turn = Turn(settings, seed)
        self.max_attempts = min(DEFAULT_MAX_ATTEMPTS, settings.max_attempts)
        self.state = CourierState()
        self.zones = Zones(settings.cold_share, settings.cold_us, turn.rng)
        self.pacing = Pacing(turn)
        self.timeouts = Timeouts(turn)
        self.breakers = CircuitBreakers(turn)
        self.connections = Connections(turn)
        self.worth = Worth(turn)
        self.admission = Admission(turn, self.pacing, self.max_attempts)
        self.carried = CarriedFigures(turn, self.state, self.timeouts, self.connections, self.admission)
        self.evidence = Evidence(turn, self.pacing, self.breakers, self.timeouts, self.connections)
        self.directory = EndpointDirectory(turn, self.state, self.pacing)
        self.gate = Gate(
            turn, self.state, self.pacing, self.breakers, self.timeouts, self.zones, self.max_attempts
        )
        self.ranking = Ranking(
            turn, self.state, self.gate, self.worth, self.timeouts, self.connections, self.zones
        )
        self.sequence = 0  # number of the newest message, in order of arrival
        self.is_holding = False  # no calls are started (event Hold)
        self.is_awaiting_list = False  # no calls are started (event AwaitList)
        self.expiries: list[tuple[int, int]] = []  # heap of (time, message)

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Handle the events of a turn at `now_us` (monotonic clock) and return the actions in order."""
        turn, state = self.turn, self.state
        first = turn.started_us < 0
        turn.begin(now_us)
        if first and self.settings.list_on_request:
            turn.actions.append(Subscribe())
        for event in events:
            if isinstance(event, MessageArrived):
                self._on_message_arrived(event)
            elif isinstance(event, AttemptEnded):
                self._on_attempt_ended(event)
            elif isinstance(event, AttemptHeldBack):
                self._on_attempt_held_back(event)
            elif isinstance(event, EndpointsListed):
                self.directory.update(event)
            elif isinstance(event, MessageGone) and (message := state.messages.get(event.message)):
                self._close(message)
            elif isinstance(event, Closing):
                turn.shutdown_deadline_us = event.until_us
            elif isinstance(event, ConnectionsReport) and (endpoint := state.endpoints.get(event.endpoint)):
                endpoint.connection_budget.idle_since_us = list(event.idle_since)
            elif isinstance(event, SetByHand):
                self._on_set_by_hand(event)
            elif isinstance(event, SetZoneByHand):
                self._on_set_zone_by_hand(event)
            elif isinstance(event, ZoneCarried):
                self.zones.returning[event.zone] = event.since_us, event.until_us
            elif isinstance(event, PolicySet):
                self._on_policy_set(event)
            elif isinstance(event, Hold):
                self.is_holding = event.on
            elif isinstance(event, AwaitList):
                self.is_awaiting_list = event.on
            elif isinstance(event, WarmUp):
                self.connections.warm_up = event.on
            elif isinstance(event, Carried) and (endpoint := state.endpoints.get(event.endpoint)):
                self.carried.restore(endpoint, event.figures)
            elif isinstance(event, LaneCarried):
                self.carried.restore_lane(event)
            elif isinstance(event, OrderPauseCarried):
                self.state.pause_order(event.order_key, event.until_us, now_us)
            elif isinstance(event, CallCarried):
                self._on_call_carried(event)
            elif isinstance(event, AttemptAnswering) and (message := state.messages.get(event.message)):
                message.is_streaming = True
        turn.drop_due_timers()
        self._prune_expiries()
        self._expire()
        self._send_ready()
        self._make_room()
        if self.expiries:
            turn.wake_at(self.expiries[0][0])
        return turn.actions

    def come_back_us(self) -> int:
        """Return the retry-after for a client when the courier is full, in us."""
        return self.admission.come_back_us()

    def may_serve(self, endpoint_id: int, zone: int) -> bool:
        """Return whether operators let the endpoint have calls, and connections for them."""
        return self.gate.may_serve(endpoint_id, zone)

    # Operators

    def _on_set_by_hand(self, event: SetByHand) -> None:
        """Exclude or readmit an endpoint; kept apart from its listed state, so no list change undoes it."""
        excluded = self.state.excluded_endpoints
        if event.out:  # excluded
            excluded.add(event.endpoint)
            self.turn.actions.append(CloseIdle(event.endpoint))
        elif event.endpoint in excluded:
            excluded.remove(event.endpoint)
            if endpoint := self.state.endpoints.get(event.endpoint):
                self.breakers.begin_slow_start(endpoint)

    def _on_set_zone_by_hand(self, event: SetZoneByHand) -> None:
        in_zone = [endpoint for endpoint in self.state.endpoints.values() if endpoint.zone == event.zone]
        if event.out:  # excluded
            self.zones.exclude(event.zone)
            self.turn.actions += [CloseIdle(endpoint.id) for endpoint in in_zone]
        elif self.zones.bring_back(event.zone, self.turn.now_us):
            for endpoint in in_zone:
                # A breaker shared with serving endpoints of other zones stays as it is: the random choice of
                # Ranking.without_returning_zones already limits what these endpoints get.
                others = [
                    other
                    for other in endpoint.lane.endpoints.values()
                    if other.breaker is endpoint.breaker and other.zone != event.zone
                ]
                if endpoint.id not in self.state.excluded_endpoints and not any(
                    self.gate.is_serving(other) for other in others
                ):
                    self.breakers.begin_slow_start(endpoint)
        state, share, reason = self.zones.state(event.zone, self.turn.now_us)
        self.turn.log(f"zone {event.zone}: {state}, share {share:.2f}, {reason}, {len(in_zone)} endpoints")

    def _on_policy_set(self, event: PolicySet) -> None:
        """Apply a policy as a whole: no turn decides by half of it."""
        for part in (
            self,
            self.turn,
            self.pacing,
            self.timeouts,
            self.breakers,
            self.connections,
            self.worth,
            self.admission,
            self.gate,
            self.ranking,
        ):
            part.settings = event.settings
        self.max_attempts = self.gate.max_attempts = self.admission.max_attempts = min(
            DEFAULT_MAX_ATTEMPTS, event.settings.max_attempts
        )
        self.zones.cold_share, self.zones.cold_us = event.settings.cold_share, max(1, event.settings.cold_us)
        self.pacing.ceilings = event.ceilings
        for endpoint_id in sorted(self.state.excluded_endpoints ^ event.endpoints_out):
            self._on_set_by_hand(SetByHand(endpoint_id, endpoint_id in event.endpoints_out))
        for zone in sorted(self.zones.excluded ^ event.zones_out):
            self._on_set_zone_by_hand(SetZoneByHand(zone, zone in event.zones_out))

    # Upgrades

    def carry(self) -> list[tuple[int, dict[str, float]]]:
        """Return what was learned of each endpoint, to be handed over to the next process at an upgrade.

        The result is [(endpoint, {name: value})]; the next process gets it as Carried events.
        """
        return self.carried.collect()

    def _on_call_carried(self, event: CallCarried) -> None:
        messages = [
            message
            for number in event.messages
            if (message := self.state.messages.get(number)) and not message.attempts_in_flight
        ]
        if not messages:
            return
        destination = messages[0].destination
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:  # it has left the list since
            endpoint = self.directory.add(
                ListEntry(
                    event.endpoint,
                    destination.number,
                    EndpointState.GONE,
                    kind=destination.kind,
                    zone=event.zone,
                )
            )
            endpoint.state = EndpointState.GONE
        call = self._begin_call(endpoint, event.sent_at_us, event.zone)
        if endpoint.breaker.is_open:
            endpoint.breaker.trial_call = call
        for message in messages:
            self._add_attempt(message, call, message.attempts - 1)

    # Messages

    def _on_message_arrived(self, event: MessageArrived) -> None:
        state, now_us = self.state, self.turn.now_us
        if event.message in state.messages:
            return
        self.sequence += 1
        if event.resubmitted:
            self.admission.refusals_without_resubmission = 0
        destination = state.destinations.setdefault(event.destination, Destination(event.destination))
        message = Message(
            event.message,
            self.settings.classes[event.message_class],
            event,
            self.sequence,
            now_us,
            destination,
        )
        destination.arrivals += not event.restored
        for lane in destination.lanes:
            if lane.breaker and now_us >= lane.wait_until_us:
                self.breakers.record_arrival(lane.breaker, len(destination.lanes))
        message.weight = message.message_class.worth * self.worth.tenant_factor(event.tenant)
        state.messages[message.id] = message
        self.admission.record_load(len(state.messages), state.calls_in_flight)
        destination.queue.append(message)
        if message.order_key:
            state.order_queues.setdefault(message.order_key, []).append(message)
        # A message restored after a restart has been accepted before, so it is not refused unsent. event.out:
        # an attempt is in flight, whose outcome decides how the message ends.
        is_refused = not event.restored and self.admission.should_refuse(message)
        if (is_refused or self.admission.is_spent(message)) and not event.out:
            self._finish(message, self.settings.max_retry_after_us)
            return
        heapq.heappush(self.expiries, (message.last_send_us(self.turn.deadline_margin_us), message.id))

    def _on_attempt_held_back(self, event: AttemptHeldBack) -> None:
        if pending := self.state.calls.get((event.message, event.attempt)):
            pending[1].attempts_held_back += 1
            ended = AttemptEnded(event.message, event.attempt, event.endpoint, Result.MOOT, 0)
            self._on_attempt_ended(ended, event.wait_us)

    def _on_attempt_ended(self, event: AttemptEnded, moot_wait_us: int = 0) -> None:
        pending = self.state.calls.pop((event.message, event.attempt), None)
        if pending is None:
            return
        call, message = pending
        endpoint, call.open_attempts = call.endpoint, call.open_attempts - 1
        if call.open_attempts == 0:
            self.state.calls_in_flight -= 1
            endpoint.lane.calls_in_flight -= 1
            endpoint.lane.destination.calls_in_flight -= 1
            endpoint.calls_in_flight.pop(id(call), None)
        message.attempts_in_flight -= 1
        if event.idle_us is not None:
            call.connection_idle_us = event.idle_us
        if event.report and not call.is_outcome_recorded:
            self.pacing.record_report(endpoint.lane, event.report)
        if event.retry_after_us:
            self.pacing.record_retry_after(endpoint.lane, event.retry_after_us)
        if not call.is_outcome_recorded:
            call.is_outcome_recorded = True
            if event.result not in (Result.FULL, Result.MOOT):
                self.timeouts.record_slot_time(endpoint.lane, event.latency_us)
            self.evidence.record_outcome(endpoint, event.result, call, event.latency_us, event.retry_after_us)
        if call.open_attempts == 0 and endpoint.breaker.trial_call is call:
            endpoint.breaker.trial_call = None
        if (
            event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
            and message.order_key
            and self.settings.key_rest_us
        ):
            now_us = self.turn.now_us
            self.state.pause_order(message.order_key, now_us + self.settings.key_rest_us, now_us)
        if message.is_closed or event.closed or message.is_streaming:
            self._close(message)
            return
        if (
            event.result not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
            and message.may_have_run_since_us < 0
        ):
            message.may_have_run_since_us, message.may_have_run_zone = call.sent_us, call.zone
        if not message.attempts_in_flight:
            is_moot = event.result is Result.MOOT
            wait_us = moot_wait_us if is_moot else self.pacing.backoff_us(message.counted_attempts - 1)
            self._retry_or_finish(message, event, wait_us)

    def _retry_or_finish(self, message: Message, event: AttemptEnded, wait_us: int) -> None:
        """Make the message ready for its next attempt after `wait_us`, or end it."""
        now_us = self.turn.now_us
        last_send_us = message.last_send_us(self.turn.deadline_margin_us)
        if event.result is Result.FULL and not self.admission.should_wait(message):
            self._finish(message, event.retry_after_us)
        elif message.counted_attempts >= self.max_attempts or now_us + wait_us >= last_send_us:
            self._finish(message, 0)
        else:
            message.ready_us = now_us + wait_us
            message.failed_quickly = message.attempts == 1 and event.latency_us < QUICK_FAILURE_US
            message.destination.queue.append(message)
            heapq.heappush(self.expiries, (last_send_us, message.id))

    def _finish(self, message: Message, wait_us: int) -> None:
        """End a message with a final answer, then forget it; the only place that emits Refuse or Fail.

        Refuse if a resubmission is known to be harmless, else Fail.

        wait_us: the announced wait, 0 if none.
        """
        effect, now_us = message.message_class.effect, self.turn.now_us
        is_harmless = (
            message.may_have_run_since_us < 0
            and not message.attempts_in_flight
            or effect is Effect.KEYED
            and message.message_class.key_scope == "all"
        )
        if effect is Effect.SAFE or is_harmless:
            if message.valid_until_us - now_us > max(
                self.settings.max_retry_after_us, message.message_class.aim_us
            ):
                self.admission.refusals_without_resubmission += 1
            # Without an announced wait: half the longest one that clients respect, if the message has that
            # time.
            if not wait_us and message.valid_until_us - now_us > self.settings.max_retry_after_us:
                wait_us = self.settings.max_retry_after_us // 2
            self.turn.actions.append(Refuse(message.id, min(wait_us, self.settings.max_retry_after_us)))
        else:
            self.turn.actions.append(Fail(message.id))
        self._close(message)

    def _close(self, message: Message) -> None:
        """Forget a message that has or needs no answer, as soon as no attempt of it is in flight."""
        if not message.is_closed:
            message.is_closed = True
            if message in message.destination.queue:
                message.destination.queue.remove(message)
        if not message.attempts_in_flight:
            self.state.messages.pop(message.id, None)
            self.state.forget_if_unused(message.destination)
            queues = self.state.order_queues
            if message.order_key and message in queues.get(message.order_key, ()):
                queues[message.order_key].remove(message)
                if not queues[message.order_key]:
                    del queues[message.order_key]

    def _prune_expiries(self) -> None:
        """Forget the expiries of messages that have ended: these may lie far in the future."""
        if len(self.expiries) > MIN_EXPIRIES_TO_PRUNE + 2 * len(self.state.messages):
            messages = self.state.messages
            latest = {number: at_us for at_us, number in sorted(self.expiries) if number in messages}
            self.expiries = [(at_us, number) for number, at_us in latest.items()]
            heapq.heapify(self.expiries)

    def _expire(self) -> None:
        now_us = self.turn.now_us
        while self.expiries and self.expiries[0][0] <= now_us:
            message = self.state.messages.get(heapq.heappop(self.expiries)[1])
            if message and not message.is_closed and not message.is_streaming:
                # The attempt in flight will produce the final outcome, at the latest until the expiry.
                if message.attempts_in_flight and now_us < message.valid_until_us:
                    heapq.heappush(self.expiries, (message.valid_until_us, message.id))
                elif now_us >= message.last_send_us(self.turn.deadline_margin_us):
                    self._finish(message, 0)

    def _make_room(self) -> None:
        """End the least valuable messages of the longest queue while too many are held.

        They would keep out new messages that could be sent at once.
        """
        while len(self.state.messages) > max(1, self.settings.max_held - RESERVED_FOR_NEW_MESSAGES):
            destination = max(self.state.destinations.values(), key=lambda d: len(d.queue))
            if len(destination.queue) < 2:
                return
            now_us = self.turn.now_us
            self._finish(
                min(
                    destination.queue,
                    key=lambda message: (
                        message.may_have_run_since_us >= 0,
                        self.worth.at(message, now_us),
                        -message.sequence,
                    ),
                ),
                0,
            )

    # Sending

    def _send_ready(self) -> None:
        """Send what the gate lets through while slots are free, most urgent first."""
        if self.is_holding or self.is_awaiting_list:
            return
        destinations, pick = self.state.destinations, self.ranking.pick
        picks = {
            destination.number: picked
            for destination in destinations.values()
            if destination.queue and (picked := pick(destination))
        }
        while picks and self.state.calls_in_flight < self.settings.slots:
            number = min(picks, key=lambda candidate: picks[candidate].urgency)
            picked = picks.pop(number)
            self._send(picked.message, picked.endpoint)
            destination = destinations[number]
            if (
                destination.queue
                and self.settings.kinds[destination.kind].batch == 1
                and (next_pick := pick(destination))
            ):
                picks[number] = next_pick

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        call = self._begin_call(endpoint, self.turn.now_us, endpoint.zone)
        self.connections.check_out(endpoint, call)
        self.pacing.spend_token(endpoint.lane)
        if endpoint.breaker.is_open:
            endpoint.breaker.trial_call = call
        self.breakers.spend_token(endpoint)
        messages, max_messages = [message], self.settings.kinds[endpoint.lane.destination.kind].batch
        if max_messages > 1 and not endpoint.breaker.is_open:  # a trial call carries one message
            messages += [
                other
                for other in sorted(message.destination.queue, key=lambda other: other.sequence)
                if other is not message
                and self.timeouts.may_share_call(message, other, endpoint.lane)
                and self.gate.may_send(other, endpoint)
            ][: max_messages - 1]
        timeout_us = self.timeouts.for_call(
            messages, endpoint, self.state.calls_in_flight >= self.pacing.max_calls_per_destination
        )
        for other in messages:
            self._add_attempt(other, call, other.attempts)
            other.attempts += 1
            self.turn.actions.append(Send(other.id, endpoint.id, timeout_us))

    def _begin_call(self, endpoint: Endpoint, sent_us: int, zone: int) -> Call:
        """Open a call, which occupies a slot."""
        call = Call(endpoint, sent_us, zone)
        self.state.calls_in_flight += 1
        endpoint.lane.calls_in_flight += 1
        endpoint.lane.destination.calls_in_flight += 1
        endpoint.calls_in_flight[id(call)] = call
        return call

    def _add_attempt(self, message: Message, call: Call, attempt: int) -> None:
        message.destination.queue.remove(message)
        self.state.calls[(message.id, attempt)] = (call, message)
        call.open_attempts += 1
        message.attempts_in_flight, message.last_endpoint = message.attempts_in_flight + 1, call.endpoint
