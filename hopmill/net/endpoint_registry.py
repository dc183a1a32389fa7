"""Endpoint registry: endpoints as discovery lists them, with their numbers, addresses and announced waits."""

from __future__ import annotations

import dataclasses
import ipaddress
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from hopmill import interface
from hopmill import logs
from hopmill.net.config import Address, ConfigError, parse_address
from hopmill.net.pool import Pool

ENDPOINT_STATES = {
    "in_service": interface.EndpointState.READY,
    "terminating": interface.EndpointState.DRAINING,
    "terminated": interface.EndpointState.GONE,
}
WITHDRAWN_STATE = "terminating"  # of a target that can't be read and is not in service
MAX_REMOVED = 1024  # endpoints no longer listed whose destination is remembered
UNKNOWN_ZONE = -1  # of an endpoint without a zone, or an attempt of which it is not recorded
MAX_ZONES = 256  # bounds memory; entries that name a further zone are rejected
log = logs.part("courier")


class EndpointRegistry:
    """State received from discovery. The decision core receives it as events, the pool as addresses."""

    def __init__(
        self,
        settings: interface.Settings,
        zones: tuple[str, ...],
        may_serve: Callable[[int, int], bool],
        zones_in_use: Callable[[], tuple[set[str], set[int]]] = lambda: (set(), set()),
    ) -> None:
        """zones: names from the settings, in order.

        may_serve(endpoint, zone): false where an operator or the policy in force excludes it. zones_in_use:
        names and numbers of zones that are known elsewhere and must keep their number.
        """
        self.settings, self.may_serve, self.zones_in_use = settings, may_serve, zones_in_use
        self.zones_of_settings = len(zones)
        self.kinds = {k.name: n for n, k in enumerate(settings.kinds)}
        self.zones = {z: n for n, z in enumerate(zones)}
        self.uids: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the same by number
        self.last_number = 0  # no number is given twice
        self.entries: dict[int, interface.ListEntry] = {}
        self.targets: dict[int, dict[str, Any]] = {}  # as received from discovery
        # By endpoint that has left the list, the oldest first: its key in retry_after_until.
        self.removed_keys: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self.retry_after_until: dict[
            tuple[int, int], int
        ] = {}  # end of announced waits (us), by destination or route

    def apply_list(
        self, change: dict[str, Any], form: interface.ListForm | None, pool: Pool
    ) -> interface.EndpointsListed:
        """Apply a list or a change of it.

        Entries that can not be read are logged and left out, unless they take an endpoint out of service.
        """
        form = form or (interface.ListForm.FULL if change.get("all") else interface.ListForm.DELTA)
        entries = [
            entry for target in change.get("targets", []) if (entry := self._apply_target(target, pool))
        ]
        if form is not interface.ListForm.DELTA:
            listed_numbers = {entry.endpoint for entry in entries}
            for number in [number for number in self.entries if number not in listed_numbers]:
                self._remove(number, pool)
        if form is not interface.ListForm.CACHED:
            self._log_list(change.get("rev"), form, entries)
        for entry in entries:
            if entry.state is interface.EndpointState.GONE:
                self._remove(entry.endpoint, pool)
            elif entry.state is interface.EndpointState.DRAINING:
                pool.close_idle(entry.endpoint)
        return interface.EndpointsListed(form, tuple(entries))

    def _apply_target(self, target: Any, pool: Pool) -> interface.ListEntry | None:
        """Apply one target of a list and return its entry, None if it is left out."""
        try:
            entry, address, boot_ms = self._parse_target(target)
        except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
            log.error("discovery.entry_unreadable", error=error)
            entry = self._withdrawn_entry(target)
            if entry is None:
                return None
            self.targets[entry.endpoint] = self.targets[entry.endpoint] | {"state": WITHDRAWN_STATE}
        else:
            self.targets[entry.endpoint] = target
            pool.set_endpoint(entry.endpoint, address, boot_ms)
        self.entries[entry.endpoint] = entry
        return entry

    def _log_list(self, revision: Any, form: interface.ListForm, entries: list[interface.ListEntry]) -> None:
        states = interface.EndpointState
        draining = [self.uid(entry.endpoint) for entry in entries if entry.state is states.DRAINING]
        log.info(
            "endpoints.listed",
            revision=revision,
            form=form.value,
            count=len(entries),
            draining=" ".join(draining) or None,
            gone=sum(entry.state is states.GONE for entry in entries) or None,
        )

    def _withdrawn_entry(self, target: Any) -> interface.ListEntry | None:
        """Return the new entry of a known endpoint whose target can not be read but is not in service.

        A state that is not known counts as draining. None for an endpoint that is in service or not known.
        """
        if not isinstance(target, dict):
            return None
        entry = self.entries.get(self.uids.get(str(target.get("uid")), 0))
        state = ENDPOINT_STATES.get(str(target.get("state")), interface.EndpointState.DRAINING)
        if entry is None or state is interface.EndpointState.READY:
            return None
        return dataclasses.replace(entry, state=state)

    def _remove(self, endpoint: int, pool: Pool) -> None:
        if endpoint in self.entries:
            self.removed_keys[endpoint] = self._retry_after_key(endpoint)
            if len(self.removed_keys) > MAX_REMOVED:
                self._forget(*self.removed_keys.popitem(last=False))
        self.entries.pop(endpoint, None)
        self.targets.pop(endpoint, None)
        pool.forget(endpoint)

    def _forget(self, endpoint: int, retry_after_key: tuple[int, int]) -> None:
        """Forget an endpoint that left the list long ago: its own wait, and its number unless excluded."""
        if endpoint in self.entries:
            return
        if retry_after_key[1] == endpoint:
            self.retry_after_until.pop(retry_after_key, None)
        if self.may_serve(endpoint, UNKNOWN_ZONE):
            self.uids.pop(self.names.pop(endpoint, ""), None)

    def _parse_target(self, target: dict[str, Any]) -> tuple[interface.ListEntry, Address, float]:
        uid, destination, state = (
            str(target["uid"]),
            int(target["pod_group"]),
            ENDPOINT_STATES[target["state"]],
        )
        kind, zone = self.kinds.get(target.get("model", ""), 0), self.zone(str(target.get("az", "")))
        rate = float(target.get("capacity_hint") or 0.0)
        if not math.isfinite(rate):  # the decision core paces calls by it
            raise ValueError("capacity_hint")
        address = parse_address(target["endpoint"], "endpoint")
        ipaddress.ip_address(address[0])  # a host name would need a lookup that blocks the loop
        boot_ms = float(target.get("boot_ms") or 0.0)
        if not math.isfinite(boot_ms):
            raise ValueError("boot_ms")
        # Last: a target that can't be read gets no number.
        entry = interface.ListEntry(self.number(uid), destination, state, rate, kind, zone)
        return entry, address, boot_ms

    # Names and numbers

    def zone(self, name: str) -> int:
        """Number of a zone, -1 for "". Those of the settings come first; lists and operators may add more.

        Raises ValueError beyond MAX_ZONES that are in use.
        """
        if not name:
            return UNKNOWN_ZONE
        number = self.zones.get(name)
        if number is None:
            if len(self.zones) >= MAX_ZONES:
                self._forget_unused_zones()
            numbers = set(self.zones.values())
            number = next((n for n in range(MAX_ZONES) if n not in numbers), None)
            if number is None:
                raise ValueError("az")
            self.zones[name] = number
        return number

    def zone_of_attempt(self, name: str) -> int:
        """Number of the zone of a recorded attempt, whether or not a list still names it; -1 if unknown."""
        try:
            return self.zone(name)
        except ValueError:
            return UNKNOWN_ZONE

    def _forget_unused_zones(self) -> None:
        names, numbers = self.zones_in_use()
        names = names | {str(target.get("az", "")) for target in self.targets.values()}
        numbers = numbers | set(range(self.zones_of_settings))
        for name in [n for n, number in self.zones.items() if n not in names and number not in numbers]:
            del self.zones[name]

    def zone_of(self, endpoint: int) -> str:
        """Name of the zone of an endpoint, "" if it is not listed."""
        target = self.targets.get(endpoint)
        return str(target.get("az", "")) if target else ""

    def number(self, uid: str) -> int:
        """Number of an endpoint, assigned at its first use."""
        number = self.uids.get(uid)
        if number is None:
            self.last_number += 1
            number = self.uids[uid] = self.last_number
            self.names[number] = uid
        return number

    def restore_numbers(self, uids: dict[str, int], last_number: int) -> None:
        """Go on with the numbers of the previous process."""
        self.uids.update(uids)
        self.names.update({number: uid for uid, number in uids.items()})
        self.last_number = max(last_number, *self.names, 0)

    def uid(self, number: int) -> str:
        """Name of an endpoint, "#number" if it is not listed."""
        target = self.targets.get(number)
        return str(target["uid"]) if target else f"#{number}"

    # Permission to call

    def _kind(self, entry: interface.ListEntry) -> interface.Kind:
        return self.settings.kinds[min(entry.kind, len(self.settings.kinds) - 1)]

    def max_batch(self, endpoint: int) -> int:
        """Return the maximum number of messages per call."""
        entry = self.entries.get(endpoint)
        return self._kind(entry).batch if entry else 1

    def _retry_after_key(self, endpoint: int) -> tuple[int, int]:
        entry = self.entries.get(endpoint)
        if entry is None:  # a call that was out when it left the list may still be answered
            return self.removed_keys.get(endpoint, (-1, endpoint))
        return (entry.destination, endpoint if self._kind(entry).routes_apart else -1)

    def set_retry_after(self, endpoint: int, until_us: int) -> None:
        """Record a wait announced by the endpoint; a longer one stays."""
        key = self._retry_after_key(endpoint)
        self.retry_after_until[key] = max(self.retry_after_until.get(key, 0), until_us)

    def is_usable(self, endpoint: int) -> bool:
        """Return whether the endpoint may be called: listed, not draining and not excluded."""
        entry = self.entries.get(endpoint)
        is_ready = entry is not None and entry.state is interface.EndpointState.READY
        return is_ready and self.may_serve(endpoint, entry.zone)

    def serves(self, endpoint: int, destination: int) -> bool:
        """Return whether the endpoint is listed for the destination."""
        entry = self.entries.get(endpoint)
        return entry is not None and entry.destination == destination

    def may_write(self, endpoint: int, now_us: int) -> bool:
        """Return whether a call may be written now.

        Asked again after a connect, since the list or a wait may have changed meanwhile.
        """
        return (
            self.is_usable(endpoint)
            and self.retry_after_until.get(self._retry_after_key(endpoint), 0) <= now_us
        )
