"""The operators' policy that this courier acts under: the fleet's, if any, applied over the courier's file.

A policy here is a set of overrides of the configuration (hopmill/overlay.py). The package hopmill.policy is
something else: the decision core, which receives the resulting settings.

Before a call is begun or a message accepted, `may_act` is asked. While it is false no call begins, held
messages are still answered in time, and clients wait briefly or receive a retry-after.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from hopmill import policy_history
from hopmill import interface
from hopmill import logs, overlay
from hopmill.document import Document
from hopmill.fields import ConfigError
from hopmill.fleet.wire import OutcomeTotals
from hopmill.net.clients import Reply
from hopmill.net.intake import refusal
from hopmill.net.member_transport import MemberTransport, elapsed_us
from hopmill.net.put import Put
from hopmill.net.resp import MAX_REQUEST_BYTES

if TYPE_CHECKING:
    from hopmill.net.host import Host

# Clients wait up to this time for a policy change to complete; after it they are answered with a retry-after.
MAX_CHANGE_WAIT_S = 0.5
HELD_MEMORY_SHARE = 1 / 2  # of memory, for held messages, if each had the maximum size
EMPTY_POLICY = policy_history.PolicyHistory().encode()  # policy of a fleet that has not changed it yet
log = logs.part("fleet")


class ActivePolicy:
    """Applies the policy version in force and checks proposed ones."""

    def __init__(self, host: Host, document: Document) -> None:
        self.host, self.document = host, document
        self.member_transport: MemberTransport | None = None
        self.has_policy = bool(host.config.members and host.config.members.policy)
        self.file_settings = host.settings  # from this courier's configuration file
        self.history = policy_history.PolicyHistory()
        self.applied_version = -1  # version that the decision core works with, -1 for none
        self.excluded: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()  # endpoints, zones
        self.rejection_reason = ""  # why the version in force can not be applied, or ""
        self.is_paused = self.has_policy  # no call begins and no message is accepted
        self.paused_since = host.loop.time()
        self.waiting: list[tuple[Put, Reply, float]] = []  # message, its reply, queued at (loop time, s)

    # Permission to act

    def may_act(self) -> bool:
        """Return whether this courier holds the lease on the version it applies.

        Ask immediately before acting.
        """
        if not self.has_policy:
            return True
        policy_member = self.member_transport and self.member_transport.node.policy_member
        return (
            bool(policy_member)
            and self.applied_version == policy_member.lease.applied_version
            and policy_member.lease.valid_version(elapsed_us()) >= 0
        )

    def queue(self, put: Put, reply: Reply) -> None:
        """Queue a message that arrived while none may be accepted."""
        now = self.host.loop.time()
        if not self.is_paused:  # `may_act` has become false since the last check: the lease expired
            self._set_paused(True)
        if now - self.paused_since >= MAX_CHANGE_WAIT_S or len(self.waiting) >= self.host.settings.max_held:
            reply.send(refusal(self.host.courier.come_back_us()))
            return
        if not self.waiting:
            self.host.loop.call_later(MAX_CHANGE_WAIT_S, self._refuse_expired)
        self.waiting.append((put, reply, now))

    def _refuse_expired(self) -> None:
        # Once the pause has ended the messages are submitted again; whoever is still queued then is refused
        # rather than left without an answer.
        wait_began_before = self.host.loop.time() - MAX_CHANGE_WAIT_S
        while self.waiting and (self.waiting[0][2] <= wait_began_before or not self.is_paused):
            self.waiting.pop(0)[1].send(refusal(self.host.courier.come_back_us()))
        if self.waiting:
            self.host.loop.call_later(
                max(0.001, self.waiting[0][2] - wait_began_before), self._refuse_expired
            )

    def refuse_waiting(self) -> None:
        """Answer all waiting clients with a retry-after, since this process hands over."""
        for _, reply, _ in self.waiting:
            reply.send(refusal(self.host.courier.come_back_us()))
        self.waiting.clear()

    def _set_paused(self, is_paused: bool) -> None:
        if is_paused is self.is_paused:
            return
        self.is_paused = is_paused
        if is_paused:
            self.paused_since = self.host.loop.time()
        log.info("fleet.standing", may_act=not is_paused, version=self.applied_version)
        self.host.handle_now(interface.Hold(is_paused))
        if not is_paused:
            waiting, self.waiting, now = self.waiting, [], self.host.loop.time()
            for put, reply, queued_at in waiting:
                if reply.is_wanted:
                    remaining_ms = max(1, put.lifetime_ms - round((now - queued_at) * 1e3))
                    self.host.intake.put(dataclasses.replace(put, lifetime_ms=remaining_ms), reply)

    # Policy versions

    def initial_events(self) -> list[interface.Event]:
        """Return the events for the first turn: exclusions and ceilings of the file.

        With a fleet's policy, no calls begin until the fleet's policy is known.
        """
        defaults = Document(classes=self.document.classes)
        events: list[interface.Event] = [interface.Hold(True)] if self.has_policy else []
        if (self.document.left_out, self.document.ceilings) != (defaults.left_out, defaults.ceilings):
            events.append(self._policy_event(self.document))
        return events

    def join(self, transport: MemberTransport) -> None:
        """Follow the policy of the fleet from now on."""
        self.member_transport = transport
        if self.has_policy:
            transport.on_change = self.on_member_change
            policy_member = transport.node.policy_member
            assert policy_member is not None
            # Totals for the comparison of the canary group with the other members.
            policy_member.watch.counts = lambda: OutcomeTotals(*self.host.observer.totals)
            self.host.observer.is_counting = True
            self.on_member_change()

    def on_member_change(self) -> None:
        """Check version in force, proposed change and lease; any of them may have changed."""
        policy_member = self.member_transport and self.member_transport.node.policy_member
        if not policy_member:
            return
        policy, texts, me = (
            policy_member.register.document.policy,
            policy_member.texts.by_digest,
            policy_member.me,
        )
        change, version, digest = policy.change, policy.version_for(me), policy.digest_for(me)
        if version != self.applied_version and (not digest or digest in texts):
            self._apply(version, texts.get(digest, EMPTY_POLICY))
            if self.applied_version == version:
                policy_member.lease.set_applied_version(version)
                self.member_transport.run_due_work()
                return
        if (
            change
            and change.id != policy_member.lease.ready_for
            and (not change.digest or change.digest in texts)
        ):
            reason = self.find_rejection_reason(texts.get(change.digest, EMPTY_POLICY))
            log.info("fleet.policy_checked", change=change.id, by=change.by, why=reason or None)
            policy_member.lease.report_check(change.id, reason)
            self.member_transport.run_due_work()
            return
        self._set_paused(not self.may_act())

    def find_rejection_reason(self, text: bytes) -> str:
        """Return why this courier can not apply a policy text, "" if it can."""
        try:
            self._parse(text)
        except (ConfigError, policy_history.UnreadableHistoryError, ValueError) as error:
            return str(error) or "unreadable"
        return ""

    def _parse(self, text: bytes) -> tuple[policy_history.PolicyHistory, Document]:
        history = policy_history.decode(text)
        document = overlay.apply(self.document, history.values)
        needed_bytes, room_bytes = (
            document.held * MAX_REQUEST_BYTES,
            int(self.host.config.memory_bytes * HELD_MEMORY_SHARE),
        )
        if document.held > self.document.held and needed_bytes > room_bytes:
            raise ConfigError(
                f"held: {document.held} messages may take {needed_bytes >> 20} MiB, room {room_bytes >> 20}"
            )
        for zone in document.left_out.zones:
            self.host.registry.zone(zone)
        return history, document

    def _apply(self, version: int, text: bytes) -> None:
        """Apply a version; the decision core receives all of it as one event."""
        try:
            history, document = self._parse(text)
        except (ConfigError, policy_history.UnreadableHistoryError, ValueError) as error:
            if self.rejection_reason != str(error):
                self.rejection_reason = str(error)
                log.error("fleet.policy_not_taken", version=version, error=error)
            return
        changes = sum(
            1
            for path in {*self.history.values, *history.values}
            if self.history.values.get(path) != history.values.get(path)
        )
        self.rejection_reason, self.history, self.applied_version = "", history, version
        self.host.handle_now(self._policy_event(document))
        log.info("fleet.policy", version=version, fields=len(history.values), changed=changes)
        self.on_file_reloaded(self.document)

    def _policy_event(self, document: Document) -> interface.PolicySet:
        """Return the event that puts a document in force.

        Also sets the host's settings and the endpoints and zones that the document excludes (`excluded`).
        """
        before, after = self.document.settings(), document.settings()
        changed = {
            setting.name: getattr(after, setting.name)
            for setting in dataclasses.fields(after)
            if getattr(after, setting.name) != getattr(before, setting.name)
        }
        host = self.host
        settings = dataclasses.replace(self.file_settings, **changed) if changed else self.file_settings
        host.settings = host.registry.settings = host.observer.settings = settings
        self.excluded = frozenset(document.left_out.endpoints), frozenset(document.left_out.zones)
        endpoints, zones = (
            {*self.excluded[0], *host.journal.excluded_endpoints},
            {*self.excluded[1], *host.journal.excluded_zones},
        )
        return interface.PolicySet(
            settings,
            frozenset(map(host.registry.number, sorted(endpoints))),
            frozenset(map(host.registry.zone, sorted(zones))),
            {ceiling.partner: (ceiling.window, ceiling.rate_per_s) for ceiling in document.ceilings},
        )

    def on_file_reloaded(self, document: Document) -> None:
        """Log the settings of the local file that the policy overrides."""
        if paths := [*overlay.overridden_paths(document, self.history.values)]:
            log.warning("fleet.policy_prevails", paths=",".join(paths))

    def status(self) -> dict[str, Any]:
        """Return the state for the operator API."""
        return {
            "applied": self.applied_version,
            "may_act": self.may_act(),
            "trouble": self.rejection_reason,
            "values": self.history.values,
            "waiting_clients": len(self.waiting),
        }
