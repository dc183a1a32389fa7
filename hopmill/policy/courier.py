"""One courier's turn: events in, each to the part that it concerns; then what may be sent, and what ends."""

from __future__ import annotations

import heapq

from collections.abc import Iterable

from hopmill.interface import (
    Action,
    AttemptAnswering,
    AttemptEnded,
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
    ListEntry,
    ListForm,
    MessageArrived,
    MessageGone,
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
from hopmill.interface import Connections as ConnectionsTold
from hopmill.policy.admission import Admission
from hopmill.policy.circuit import Circuits
from hopmill.policy.connections import Connections
from hopmill.policy.evidence import Evidence
from hopmill.policy.gate import Gate
from hopmill.policy.links import Links
from hopmill.policy.pacing import Pacing
from hopmill.policy.ranking import Ranking
from hopmill.policy.state import CourierState, Call, Circuit, Destination, Endpoint, Lane, Message
from hopmill.policy.timeouts import Timeouts
from hopmill.policy.turn import Turn
from hopmill.policy.worth import Worth
from hopmill.policy.zones import Zones

TRIES = 3  # attempts of one message, first included (the note's default)
ROOM = 2  # places kept free for new messages
QUICK_US = 200_000  # a failure that came this soon may be tried again at once, outage or not
# What an upgrade hands on of an endpoint, its circuit and its lane, and of all calls: outer name, attribute.
CARRIED = {
    "ep": {"bad": "bad", "dirty": "dirty", "dirty_at": "dirty_at", "last_ok": "last_ok"},
    "circuit": {
        "bad": "bad",
        "open": "open",
        "trial_at": "trial_at",
        "gap": "gap",
        "ramp_from": "ramp_from",
        "base": "base",
        "tokens": "tokens",
        "stamp": "stamp",
    },
    "lane": {
        "rate": "pace_per_s",
        "brink": "brink",
        "tokens": "tokens",
        "stamp": "stamp",
        "wait_until": "wait_until_us",
        "cut_at": "cut_at",
        "refused": "refused_share",
        "window": "window",
        "fulls": "fulls",
        "mean": "mean",
        "dev": "dev",
        "hold": "hold",
        "seen": "seen",
        "seen_at": "seen_at",
    },
    "links": {
        "calls": "calls",
        "counted_at": "counted_at",
        "first_at": "first_at",
        "part": "part",
        "bound": "bound",
        "grow_at": "grow_at",
    },
    "all": {
        "hold": "hold",
        "loss": "loss",
        "new_lost": "new_lost",
        "keep": "keep",
        "reaped": "reaped",
        "unreturned": "unreturned",
    },
}


class Courier:
    """Decides for one courier: handle() takes the events of a turn and returns its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.turn = turn = Turn(settings, seed)
        self.max_attempts = min(TRIES, settings.max_attempts)
        self.state = CourierState()
        self.zones = Zones(settings.cold_share, settings.cold_us, turn.random)
        self.pacing, self.timeouts, self.circuits = Pacing(turn), Timeouts(turn), Circuits(turn)
        self.connections, self.worth = Connections(turn), Worth(turn)
        self.admission = Admission(turn, self.pacing, self.max_attempts)
        self.evidence = Evidence(turn, self.pacing, self.circuits, self.timeouts, self.connections)
        self.gate = Gate(
            turn, self.state, self.pacing, self.circuits, self.timeouts, self.zones, self.max_attempts
        )
        self.ranking = Ranking(
            turn, self.state, self.gate, self.worth, self.timeouts, self.connections, self.zones
        )
        self.seq, self.holding = 0, False
        self.expiries: list[tuple[int, int]] = []

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """now_us: monotonic. Actions are in the order in which they are to be carried out."""
        turn, state = self.turn, self.state
        first = turn.start < 0
        turn.begin(now_us)
        if first and self.settings.list_on_request:
            turn.actions.append(Subscribe())
        for e in events:
            if isinstance(e, MessageArrived):
                self._arrived(e)
            elif isinstance(e, AttemptEnded):
                self._ended(e)
            elif isinstance(e, EndpointsListed):
                self._listed(e)
            elif isinstance(e, MessageGone) and (m := state.messages.get(e.message)):
                self._close(m)
            elif isinstance(e, Closing):
                turn.closing = e.until_us
            elif isinstance(e, ConnectionsTold) and (ep := state.endpoints.get(e.endpoint)):
                ep.connection_budget.idle_since_us = list(e.idle_since)
            elif isinstance(e, SetByHand):
                self._set_by_hand(e)
            elif isinstance(e, SetZoneByHand):
                self._set_zone_by_hand(e)
            elif isinstance(e, ZoneCarried):
                self.zones.returning[e.zone] = e.since_us, e.until_us
            elif isinstance(e, PolicySet):
                self._set_policy(e)
            elif isinstance(e, Hold):
                self.holding = e.on
            elif isinstance(e, WarmUp):
                self.connections.warm_up = e.on
            elif isinstance(e, Carried) and (ep := state.endpoints.get(e.endpoint)):
                self._learn(ep, e)
            elif isinstance(e, CallCarried):
                self._call_carried(e)
            elif isinstance(e, AttemptAnswering) and (m := state.messages.get(e.message)):
                m.streaming = True
        turn.timers_due()
        self._expire()
        self._pump()
        self._make_room()
        if self.expiries:
            turn.wake(self.expiries[0][0])
        return turn.actions

    def come_back_us(self) -> int:
        """When to come again, for a message that the courier has no room for."""
        return self.admission.come_back_us()

    def may_serve(self, endpoint: int, zone: int) -> bool:
        """Whether operators let it have calls, and connections for them."""
        return self.gate.may_serve(endpoint, zone)

    # Operators

    def _set_by_hand(self, e: SetByHand) -> None:
        """Kept apart from the list's state, so that no news of the list lifts it."""
        by_hand = self.state.excluded_endpoints
        if e.out:
            by_hand.add(e.endpoint)
            self.turn.actions.append(CloseIdle(e.endpoint))
        elif e.endpoint in by_hand:
            by_hand.remove(e.endpoint)
            if ep := self.state.endpoints.get(e.endpoint):
                self.circuits.start_cold(ep)

    def _set_zone_by_hand(self, e: SetZoneByHand) -> None:
        there = [ep for ep in self.state.endpoints.values() if ep.zone == e.zone]
        if e.out:
            self.zones.leave(e.zone)
            self.turn.actions += [CloseIdle(ep.id) for ep in there]
        elif self.zones.bring_back(e.zone, self.turn.now):
            for ep in there:
                # A circuit that others share goes on for these: chance alone keeps the share small there.
                others = [x for x in ep.lane.endpoints.values() if x.c is ep.c and x.zone != e.zone]
                if ep.id not in self.state.excluded_endpoints and not any(
                    self.gate.serves(x) for x in others
                ):
                    self.circuits.start_cold(ep)
        state, share, why = self.zones.state(e.zone, self.turn.now)
        self.turn.log(f"zone {e.zone}: {state}, share {share:.2f}, {why}, {len(there)} endpoints")

    def _set_policy(self, e: PolicySet) -> None:
        """All of it in one event: no turn decides by half of one."""
        for part in (
            self,
            self.turn,
            self.pacing,
            self.timeouts,
            self.circuits,
            self.connections,
            self.worth,
            self.admission,
            self.gate,
            self.ranking,
        ):
            part.settings = e.settings
        self.max_attempts = self.gate.max_attempts = self.admission.max_attempts = min(
            TRIES, e.settings.max_attempts
        )
        self.zones.cold_share, self.zones.cold_us = e.settings.cold_share, max(1, e.settings.cold_us)
        self.pacing.ceilings = e.ceilings
        for endpoint in sorted(self.state.excluded_endpoints ^ e.endpoints_out):
            self._set_by_hand(SetByHand(endpoint, endpoint in e.endpoints_out))
        for zone in sorted(self.zones.excluded ^ e.zones_out):
            self._set_zone_by_hand(SetZoneByHand(zone, zone in e.zones_out))

    # Upgrades

    def _carriers(self, ep: Endpoint) -> dict[str, tuple[object, ...]]:
        """The owners of what CARRIED names."""
        everywhere = (self.timeouts, self.connections, self.admission)
        return {
            "ep": (ep,),
            "circuit": (ep.c,),
            "lane": (ep.lane,),
            "links": (ep.connection_budget,),
            "all": everywhere,
        }

    def _carried(self, ep: Endpoint) -> Iterable[tuple[str, object, str]]:
        for part, owners in self._carriers(ep).items():
            for outer, name in CARRIED[part].items():
                yield f"{part}.{outer}", next(owner for owner in owners if hasattr(owner, name)), name

    def carry(self) -> list[tuple[int, dict[str, float]]]:
        """What was learned of each endpoint, for the process that takes over."""
        return [
            (ep.id, {path: getattr(owner, name) for path, owner, name in self._carried(ep)})
            for ep in self.state.endpoints.values()
        ]

    def _learn(self, ep: Endpoint, e: Carried) -> None:
        for path, owner, name in self._carried(ep):
            now = getattr(owner, name)
            setattr(owner, name, type(now)(e.figures.get(path, now)))

    def _call_carried(self, e: CallCarried) -> None:
        messages = [m for n in e.messages if (m := self.state.messages.get(n)) and not m.out]
        if not messages:
            return
        dest = messages[0].dest
        ep = self.state.endpoints.get(e.endpoint)
        if ep is None:  # it has gone from the list since
            ep = self._add(ListEntry(e.endpoint, dest.number, EndpointState.GONE, kind=dest.kind))
            ep.state = EndpointState.GONE
        call = self._call(ep, e.sent_at_us)
        if ep.c.open:
            ep.c.trial = call
        for m in messages:
            self._join(m, call, m.tries - 1)

    # The list

    def _listed(self, e: EndpointsListed) -> None:
        if e.form is ListForm.FAILED:
            self.turn.actions.append(Subscribe())
            return
        endpoints, named = self.state.endpoints, {}
        for entry in e.entries:
            named[entry.endpoint] = True
            ep = endpoints.get(entry.endpoint)
            if ep and ep.lane.dest.number != entry.destination:  # it moved: what was known of it is void
                ep.state, ep = EndpointState.GONE, ep.lane.endpoints.pop(ep.id) and None
            if ep is None and entry.state is not EndpointState.GONE:
                ep = self._add(entry)
            if ep is not None:
                ep.state, ep.zone = entry.state, entry.zone
                self.pacing.listed(ep.lane, entry.rate_per_s)
        for ident, ep in list(endpoints.items()):
            if e.form is not ListForm.DELTA and ident not in named:
                ep.state = EndpointState.GONE
            if ep.state is EndpointState.GONE and not ep.out:  # forgotten, or replacements would pile up
                del endpoints[ident], ep.lane.endpoints[ident]
                if not ep.lane.endpoints and len(ep.lane.dest.lanes) > 1:
                    ep.lane.dest.lanes.remove(ep.lane)

    def _add(self, entry: ListEntry) -> Endpoint:
        dest = self.state.destinations.setdefault(entry.destination, Destination(entry.destination))
        dest.kind = min(entry.kind, len(self.settings.kinds) - 1)
        if not dest.lanes or self.settings.kinds[dest.kind].routes_apart:
            dest.lanes.append(Lane(dest, Circuit() if self.turn.thin else None))
        links = Links(self.settings.connection_idle_us, self.turn.random)
        ep = Endpoint(entry.endpoint, dest.lanes[-1], entry.zone, links)
        ep.lane.endpoints[ep.id] = self.state.endpoints[ep.id] = ep
        return ep

    # Messages

    def _arrived(self, e: MessageArrived) -> None:
        state, now = self.state, self.turn.now
        if e.message in state.messages:
            return
        self.seq += 1
        if e.resubmitted:
            self.admission.unreturned = 0
        dest = state.destinations.setdefault(e.destination, Destination(e.destination))
        m = Message(e.message, self.settings.classes[e.message_class], e, self.seq, now, dest)
        dest.arrivals += 1
        for lane in dest.lanes:
            if lane.circuit and now >= lane.wait_until_us:
                self.circuits.arrival(lane.circuit, len(dest.lanes))
        m.weight = m.cls.worth * self.worth.share(e.tenant)
        state.messages[m.id] = m
        self.admission.held(len(state.messages), state.calls_in_flight)
        dest.queue.append(m)
        if m.key:
            state.keys.setdefault(m.key, []).append(m)
        refused = not e.restored and self.admission.refuses(m)  # what was taken on is tried
        if (refused or self.admission.spent(m)) and not e.out:
            self._finish(m, self.settings.max_retry_after_us)
            return
        heapq.heappush(self.expiries, (m.last_at(self.turn.margin), m.id))

    def _ended(self, e: AttemptEnded) -> None:
        found = self.state.calls.pop((e.message, e.attempt), None)
        if found is None:
            return
        call, m = found
        ep, call.left = call.endpoint, call.left - 1
        if call.left == 0:
            self.state.calls_in_flight -= 1
            ep.lane.out -= 1
            ep.lane.dest.out -= 1
            ep.out.pop(id(call), None)
        m.out -= 1
        if e.idle_us is not None:
            call.idle_us = e.idle_us
        if e.report and not call.judged:
            self.pacing.reported(ep.lane, e.report)
        if e.retry_after_us:
            self.pacing.told_wait(ep.lane, e.retry_after_us)
        if not call.judged:
            call.judged = True
            if e.result not in (Result.FULL, Result.MOOT):
                self.timeouts.held(ep.lane, e.latency_us)
            self.evidence.judge(ep, e.result, call, e.latency_us, e.retry_after_us)
        if call.left == 0 and ep.c.trial is call:
            ep.c.trial = None
        if (
            e.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
            and m.key
            and self.settings.key_rest_us
        ):
            self.state.rests[m.key] = self.turn.now + self.settings.key_rest_us
        if m.closed or e.closed or m.streaming:
            self._close(m)
            return
        if e.result not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT) and m.ran_at < 0:
            m.ran_at, m.ran_zone = call.sent_at, ep.zone
        if not m.out:
            self._again(m, e)

    def _again(self, m: Message, e: AttemptEnded) -> None:
        """The next attempt after a jittered wait, or the end."""
        now = self.turn.now
        wait = 0 if e.result is Result.MOOT else self.pacing.backoff(m.tries - 1)
        last_at = m.last_at(self.turn.margin)
        if e.result is Result.FULL and not self.admission.stays(m):
            self._finish(m, e.retry_after_us)
        elif m.tries >= self.max_attempts or now + wait >= last_at:
            self._finish(m, 0)
        else:
            m.ready_at = now + wait
            m.quick = m.tries == 1 and e.latency_us < QUICK_US
            m.dest.queue.append(m)
            heapq.heappush(self.expiries, (last_at, m.id))

    def _finish(self, m: Message, wait: int) -> None:
        """The one place that ends a message: refuse if earlier attempts prove that a new try is harmless."""
        e, now = m.cls.effect, self.turn.now
        harmless = m.ran_at < 0 and not m.out or e is Effect.KEYED and m.cls.key_scope == "all"
        if e is Effect.SAFE or harmless:
            if m.until - now > max(self.settings.max_retry_after_us, m.cls.aim_us):
                self.admission.unreturned += 1
            # None was told: half the longest wait that clients heed, where that leaves the message some time.
            if not wait and m.until - now > self.settings.max_retry_after_us:
                wait = self.settings.max_retry_after_us // 2
            self.turn.actions.append(Refuse(m.id, min(wait, self.settings.max_retry_after_us)))
        else:
            self.turn.actions.append(Fail(m.id))
        self._close(m)

    def _close(self, m: Message) -> None:
        if not m.closed:
            m.closed = True
            if m in m.dest.queue:
                m.dest.queue.remove(m)
        if not m.out:
            self.state.messages.pop(m.id, None)
            keys = self.state.keys
            if m.key and m in keys.get(m.key, ()):
                keys[m.key].remove(m)
                if not keys[m.key]:
                    del keys[m.key]

    def _expire(self) -> None:
        now = self.turn.now
        while self.expiries and self.expiries[0][0] <= now:
            m = self.state.messages.get(heapq.heappop(self.expiries)[1])
            if m and not m.closed and not m.streaming:
                if m.out and now < m.until:  # its attempt's time-out is due in a moment and answers
                    heapq.heappush(self.expiries, (m.until, m.id))
                elif now >= m.last_at(self.turn.margin):
                    self._finish(m, 0)

    def _make_room(self) -> None:
        """Hand back what waits for one in trouble before it keeps out what could be sent at once."""
        while len(self.state.messages) > max(1, self.settings.max_held - ROOM):
            dest = max(self.state.destinations.values(), key=lambda d: len(d.queue))
            if len(dest.queue) < 2:
                return
            now = self.turn.now
            self._finish(min(dest.queue, key=lambda m: (m.ran_at >= 0, self.worth.at(m, now), -m.seq)), 0)

    # Sending

    def _pump(self) -> None:
        """Send what the gate lets through, the most urgent first, while slots are free."""
        dests, pick = self.state.destinations, self.ranking.pick
        picks = {d.number: p for d in dests.values() if d.queue and not self.holding and (p := pick(d))}
        while picks and self.state.calls_in_flight < self.settings.slots:
            number = min(picks, key=lambda n: picks[n][:2])
            _, _, m, ep = picks.pop(number)
            self._send(m, ep)
            dest = dests[number]
            if dest.queue and self.settings.kinds[dest.kind].batch == 1 and (p := pick(dest)):
                picks[number] = p

    def _send(self, m: Message, ep: Endpoint) -> None:
        call = self._call(ep, self.turn.now)
        self.connections.lend(ep, call)
        self.pacing.spend(ep.lane)
        if ep.c.open:
            ep.c.trial = call
        self.circuits.spend(ep)
        going, most = [m], self.settings.kinds[ep.lane.dest.kind].batch
        if most > 1 and not ep.c.open:  # a trial carries one
            going += [
                x
                for x in sorted(m.dest.queue, key=lambda x: x.seq)
                if x is not m and self.timeouts.shares(m, x, ep.lane) and self.gate.may(x, ep)
            ][: most - 1]
        timeout = self.timeouts.of_call(
            going, ep, self.state.calls_in_flight >= self.pacing.max_calls_per_destination
        )
        for x in going:
            self._join(x, call, x.tries)
            x.tries += 1
            self.turn.actions.append(Send(x.id, ep.id, timeout))

    def _call(self, ep: Endpoint, sent_at: int) -> Call:
        """A call that takes a slot."""
        call = Call(ep, sent_at)
        self.state.calls_in_flight += 1
        ep.lane.out += 1
        ep.lane.dest.out += 1
        ep.out[id(call)] = call
        return call

    def _join(self, m: Message, call: Call, attempt: int) -> None:
        m.dest.queue.remove(m)
        self.state.calls[(m.id, attempt)] = (call, m)
        call.left += 1
        m.out, m.last = m.out + 1, call.endpoint
