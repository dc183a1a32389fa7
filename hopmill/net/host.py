"""Runs the courier's turns on real sockets.

A turn passes the events gathered since the last one to the decision core (hopmill.policy.courier.Courier) and
carries out its actions in order.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Iterable
from typing import Any

from hopmill import interface, logs
from hopmill.net import joining
from hopmill.net.accept import listening_socket
from hopmill.net.attempts import Attempts
from hopmill.net.backoff import retry_waits
from hopmill.net.calls import Calls, CallHooks
from hopmill.net.client_server import BACKLOG, ClientServer
from hopmill.net.config import Address, Config, Options
from hopmill.net.discovery import DiscoveryWatch
from hopmill.net.handover import Handover
from hopmill.net.intake import Intake
from hopmill.net.list_confirmation import ListConfirmation
from hopmill.net.list_freshness import ListFreshness
from hopmill.net.notices import NoticeSender
from hopmill.net.observer import Observer
from hopmill.net.operator_server import OperatorServer
from hopmill.net.pool import Pool
from hopmill.net.resp import MAX_REQUEST_BYTES
from hopmill.net.restart import Restart
from hopmill.net.endpoint_registry import EndpointRegistry
from hopmill.net.operator_actions import OperatorActions
from hopmill.net.journal import Journal
from hopmill.net.journal_recovery import JournalRecovery
from hopmill.net.journal_records import JournaledMessage
from hopmill.net.turn_actions import TurnActions
from hopmill.net.upgrade import FolderOwnership, HandoverPayload
from hopmill.policy.courier import Courier

END_OVERDUE_S = 0.1  # a message that the decision core has not ended this long after its expiry is ended here
# Shares of the limit on file descriptors; the rest is for calls, discovery, the journal and Python itself.
# Clients may hold a third of the descriptors, and beyond that none can connect. From 0.3 on a connection is
# closed for each new one, the least recently used idle one first.
CLIENT_DESCRIPTOR_SHARE, IDLE_DESCRIPTOR_SHARE = 0.3, 0.2
# Share of the memory for partly received requests, each of which may have the maximum size.
REQUEST_MEMORY_SHARE = 1 / 8
# Share of the memory for the large ones among them, and as much again for answers to them.
MESSAGE_MEMORY_SHARE = 1 / 12  # for messages, with their bodies, and the ids and keys of ended ones
LARGE_REQUEST_MEMORY_SHARE = 1 / 32
log, messages_log, policy_log = logs.part("courier"), logs.part("messages"), logs.part("policy")


class Host:
    """One courier: the decision core with its journal, timers, connections and servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        ownership: FolderOwnership,
        payload: HandoverPayload | None = None,
    ) -> None:
        """Set up the parts.

        ownership: the right to act on the journal. payload: what the previous process handed over.
        """
        self.loop, self.config, self.settings = loop, config, config.settings
        self.handover = Handover(self, ownership, payload)
        self.courier = Courier(self.settings, config.seed)
        self.member_transport: Any = None  # net.peers.MemberTransport, if the configuration names a fleet
        self.active_policy: Any = None  # net.in_force.ActivePolicy, if settings may differ from the file's
        self.journal = Journal(
            ownership.folder,
            config.disk_bytes - joining.fleet_bytes(config),
            max(c.key_window_us for c in self.settings.classes) / 1e6,
            int(config.memory_bytes * MESSAGE_MEMORY_SHARE),
        )
        self.journal_recovery = JournalRecovery(loop, self.journal)
        self.registry = EndpointRegistry(
            self.settings, config.zones, self.courier.may_serve, self._zones_in_use
        )
        self.events: list[interface.Event] = []
        self.intake = Intake(self)
        self.expiry_timers: dict[int, asyncio.TimerHandle] = {}
        self.next_attempts: dict[int, int] = {}  # message number: number of its next attempt
        self.turn_scheduled = False
        self.last_turn_us = -self.settings.tick_us
        self.turn_actions = TurnActions(self)
        self.restart = Restart(self)
        self.attempts = Attempts(self)
        hooks = CallHooks(
            self.attempts.may_write,
            self.attempts.record,
            self.attempts.take_back,
            self.attempts.end,
            lambda endpoint, wait_us: self.registry.set_retry_after(endpoint, self.clock() + wait_us),
            self.attempts.end_probe,
        )
        self.pool = Pool(
            loop,
            self.settings.connection_idle_us,
            self.settings.connect_timeout_us,
            int(config.sockets * IDLE_DESCRIPTOR_SHARE),  # sockets: limit on file descriptors
            self.registry.is_usable,
        )
        self.calls = Calls(loop, hooks, self.pool)
        max_clients = min(
            config.sockets * CLIENT_DESCRIPTOR_SHARE,
            config.memory_bytes * REQUEST_MEMORY_SHARE / MAX_REQUEST_BYTES,
        )
        self.clients = ClientServer(
            self.intake.put, max(8, int(max_clients)), int(config.memory_bytes * LARGE_REQUEST_MEMORY_SHARE)
        )
        self.notices = NoticeSender(loop, config.discovery, self._notices_accepted)
        self.watch = DiscoveryWatch(
            loop,
            config.discovery,
            config.known["rev"],
            self.on_endpoint_list,
            retry_waits(self.settings.couriers, self.settings.list_on_request),
            ListFreshness(self.settings.list_on_request, self.handover.is_list_confirmed),
        )
        self.list_confirmation = ListConfirmation(self)
        self.options = Options()
        self.observer = Observer(self.settings)
        self.metrics: Any = None  # net.metrics.Metrics, only if the operator API is enabled
        self.turn_due_us = 0  # when the next turn is due, on the monotonic clock; 0 for none
        self.discovery_moved_to: Address | None = None  # address of discovery after a reload
        self.operator_actions = OperatorActions(
            self.courier,
            self.journal,
            self.registry,
            self.pool,
            self.clients,
            self.clock,
            self.handle_now,
            lambda: self.clients.is_listening and not self.restart.exit_at,
        )
        self.operator_server = OperatorServer(self.operator_actions.routes(), config.sockets)

    def start(self) -> int:
        """Restore state, take the first turn, then listen; from then on PING is answered.

        Returns the clients' port.
        """
        carried = self.handover.carried  # what the previous process handed over; empty without an upgrade
        self.registry.restore_numbers(carried.get("uids", {}), carried.get("last_endpoint_number", 0))
        known = carried.get("known", self.config.known)
        self.on_endpoint_list({"all": True, "targets": known["targets"]}, interface.ListForm.CACHED)
        number, zone = self.registry.number, self.registry.zone
        self.events += [
            interface.SetByHand(number(uid), True) for uid in sorted(self.journal.excluded_endpoints)
        ]
        self.events += [
            interface.SetZoneByHand(zone(name), True) for name in sorted(self.journal.excluded_zones)
        ]
        self.events += self.list_confirmation.initial_events()
        self.watch.revision = known["rev"]
        self.set_options(self.config.options)
        joining.apply_policy(self)
        if carried:
            self.handover.resume()
        else:
            self.events += self._order_pauses_after_restart()
            self.restore(set())
            self.turn()
        joining.join_fleet(self)
        self.clients.set_drained(self.journal.drained)
        port = self.clients.listen(self._listening_socket())
        if self.config.operator:
            self._enable_metrics()
            self.operator_server.listen(self.config.operator)
        self.watch.open()
        self.list_confirmation.start()
        if carried:
            self.handover.resume_connections()
        if self.config.listen_fd is not None:
            self.handover.listen()
        return port

    def _listening_socket(self) -> socket.socket:
        if self.config.listen_fd is None:
            return listening_socket(self.config.listen, BACKLOG)
        return socket.socket(fileno=os.dup(self.config.listen_fd))

    def restore(self, in_flight: set[int]) -> None:
        """Take over the messages in the journal.

        in_flight: numbers of messages whose newest attempt continues in this process.
        """
        for message in list(self.journal.messages.values()):
            if message.status:
                self.notices.add(message.number, message.id, message.status, message.retry_after_ms)
            else:
                self.events.append(self.arrival_event(message, message.number in in_flight, True))
                self.start_expiry_timer(message)

    def _zones_in_use(self) -> tuple[set[str], set[int]]:
        """Return the zones, by name or by number, that the journal or the decision core knows."""
        attempted = {
            zone
            for message in self.journal.messages.values()
            for zone in (message.latest_attempt_zone, message.earlier_run_zone)
        }
        endpoints = {endpoint.zone for endpoint in self.courier.state.endpoints.values()}
        zones = self.courier.zones
        return attempted | self.journal.excluded_zones, endpoints | zones.excluded | set(zones.returning)

    def _order_pauses_after_restart(self) -> list[interface.OrderPauseCarried]:
        """Return pauses for the order keys of attempts that may still run, though their process has ended."""
        until_us = self.clock() + self.settings.key_rest_us
        return [
            interface.OrderPauseCarried(message.order_key, until_us)
            for message in self.journal.messages.values()
            if message.order_key and message.latest_attempt_at
        ]

    def clock(self) -> int:
        """Return the monotonic clock in microseconds, the time that the decision core works with."""
        return time.monotonic_ns() // 1000

    def _to_core_time(self, at: float) -> int:
        """Convert a time of the journal to the decision core's clock, in microseconds."""
        return self.clock() + int((at - self.journal.scale.now()) * 1e6)

    def arrival_event(
        self, message: JournaledMessage, in_flight: bool = False, restored: bool = False
    ) -> interface.MessageArrived:
        """Return the event that makes a message known to the decision core.

        in_flight: its newest attempt continues in this process, so only earlier ones count as having run.
        """
        ran_at, zone = (
            (message.earlier_run_at, message.earlier_run_zone)
            if in_flight
            else (message.may_have_run_at, message.may_have_run_zone)
        )
        return interface.MessageArrived(
            message.number,
            message.class_index,
            message.destination,
            self._to_core_time(message.expires_at),
            message.tenant,
            message.order_key,
            message.resubmitted,
            message.attempts,
            self._to_core_time(ran_at) if ran_at else -1,
            self.registry.zone_of_attempt(zone),
            in_flight,
            restored,
        )

    # Turns

    def post(self, event: interface.Event) -> None:
        """Add an event to the next turn, and schedule one."""
        self.events.append(event)
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedule a turn after the input that can be read now, at least a tick after the last turn."""
        if self.turn_scheduled:
            return
        self.turn_scheduled = True
        now = self.clock()
        early_us = self.last_turn_us + self.settings.tick_us - now
        self.turn_due_us = now + max(0, early_us)
        if early_us <= 0:
            self.loop.call_soon(self.turn)
        else:
            self.loop.call_later(early_us / 1e6, self.turn)

    def turn(self) -> None:
        """Let the decision core handle the events gathered so far, and carry out its actions."""
        self.turn_scheduled = False
        self.last_turn_us = now = self.clock()
        late_us, self.turn_due_us = now - (self.turn_due_us or now), 0
        events: list[interface.Event] = [
            interface.Connections(*idle_change) for idle_change in self.pool.take_idle_changes()
        ]
        events += self.events
        self.events = []
        arrived = self.intake.take_arrived()
        try:
            actions: Iterable[interface.Action] = self.courier.handle(now, events)
        except Exception:
            # One failed turn must not end the process; each message still has its expiry timer.
            log.exception("turn.failed", count=len(events))
            actions = [interface.Fail(number) for number in arrived]
        try:
            self.turn_actions.execute(list(actions), arrived)
        except Exception:
            log.exception("actions.failed", count=len(actions))
            for _, replies in arrived.values():
                for reply in replies:
                    reply.send(b"-ERR internal error\r\n")
        if self.metrics:
            self.metrics.observe_turn((self.clock() - now) / 1e6, late_us / 1e6)

    # Ends of messages

    def start_expiry_timer(self, message: JournaledMessage) -> None:
        """Make sure that the message ends shortly after its expiry, whatever the decision core does."""
        delay_s = max(0.0, message.expires_at + END_OVERDUE_S - self.journal.scale.now())
        self.expiry_timers[message.number] = self.loop.call_later(delay_s, self._expire, message.number)

    def _expire(self, number: int) -> None:
        message = self.journal.messages.get(number)
        if message and not message.status:
            messages_log.error("message.overdue", message=message.id)
            self.post(interface.MessageGone(number))
            self.end_message(message, "undeliverable", 0)

    def end_message(self, message: JournaledMessage, status: str, retry_after_ms: int) -> None:
        """Record the final status of a message, then send the notice."""
        self.journal.record_end(message.number, status, retry_after_ms)
        self.cancel_expiry_timer(message.number)
        self.next_attempts.pop(message.number, None)
        self.observer.completed(message, status, retry_after_ms)
        self.notices.add(message.number, message.id, status, retry_after_ms)

    def cancel_expiry_timer(self, number: int) -> None:
        """Cancel the timer of a message that has ended."""
        if timer := self.expiry_timers.pop(number, None):
            timer.cancel()

    def _notices_accepted(self, numbers: list[int]) -> None:
        if messages_log.debug_enabled:
            for message in (self.journal.messages[n] for n in numbers if n in self.journal.messages):
                self.observer.notice_accepted(message)
        self.journal.record_notices_accepted(numbers)
        self.restart.maybe_exit()

    # Changes of endpoints, options and configuration

    def on_endpoint_list(self, change: dict[str, Any], form: interface.ListForm | None = None) -> None:
        """Apply a complete list or a change of endpoints from discovery."""
        self.post(self.registry.apply_list(change, form, self.pool))

    def handle_now(self, event: interface.Event) -> None:
        """Handle an event in a turn at once, so that it is in force when an operator gets the answer."""
        self.events.append(event)
        self.turn()

    def _enable_metrics(self) -> None:
        """Count metrics from now on. The library is imported only here, to save memory if it is not used."""
        from hopmill.net.metrics import HostState, Metrics

        self.metrics = Metrics(tuple(c.name for c in self.settings.classes), HostState(self))
        # The observer counts messages and attempts on them, the operator API serves them.
        self.observer.meters = self.operator_actions.metrics = self.metrics

    def set_options(self, options: Options) -> None:
        """Apply the options; the decision core is notified only of changes."""
        if options != self.options:
            log.info("config.options", warm_up=options.warm_up)
            self.options = options
            self.post(interface.WarmUp(options.warm_up))

    def move_discovery(self, address: Address) -> None:
        """Watch and notify discovery at another address from now on."""
        self.discovery_moved_to = address
        self.watch.move(address)
        self.notices.move(address)

    def close(self) -> None:
        """Close everything at once; open messages are in the journal already."""
        if self.member_transport:
            self.member_transport.close()
        self.list_confirmation.close()
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        self.pool.close()
        self.clients.stop_listening()
        self.operator_server.close()
        self.journal_recovery.close()
        self.journal.close()
        self.handover.close()
