"""Metrics behind GET /metrics, in the Prometheus text format, in a registry of their own.

The number of label values is bounded: classes, tenants and kinds come from the settings; partners and routes
are distinguished up to MAX_LABEL_VALUES and counted together as "other" beyond it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from hopmill import observe
from hopmill.net.list_freshness import DiscoveryState

if TYPE_CHECKING:
    from hopmill.net.host import Host

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_LABEL_VALUES = 256
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
TURN_BUCKETS_S = (0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1)
OTHER = "other"


class LabelValues:
    """Label values for numbers, up to a maximum; all further numbers share one value."""

    def __init__(self, max_count: int = MAX_LABEL_VALUES) -> None:
        self.max_count, self.known = max_count, set[int]()

    def label(self, number: int) -> str:
        """Label value of a number."""
        if number not in self.known:
            if len(self.known) >= self.max_count:
                return OTHER
            self.known.add(number)
        return str(number)


class Metrics:
    """Counts what the observer reports; the rest is read from the host on request."""

    def __init__(self, classes: tuple[str, ...], state_collector: Collector | None = None) -> None:
        """classes: names in the order of the settings. state_collector: gauges read on request."""
        self.registry = registry = CollectorRegistry(auto_describe=False)
        self.classes, self.partners = classes, LabelValues()
        self.messages = Counter(
            "hopmill_messages",
            "Messages by class and result.",
            ["cls", "end"],
            registry=registry,
        )
        self.message_s = Histogram(
            "hopmill_message_seconds",
            "Time from acceptance of a message to its end.",
            ["cls", "end"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.calls = Counter(
            "hopmill_attempts",
            "Ended attempts by partner and result.",
            ["partner", "result"],
            registry=registry,
        )
        self.call_s = Histogram(
            "hopmill_attempt_seconds",
            "Time from start to end of an attempt.",
            ["partner"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.withheld = Counter(
            "hopmill_calls_withheld",
            "Calls not written although their connection was established, by reason.",
            ["reason"],
            registry=registry,
        )
        self.turn_s = Histogram(
            "hopmill_turn_seconds",
            "Duration of a turn, its actions included.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        self.lag_s = Histogram(
            "hopmill_loop_lag_seconds",
            "Delay of turns after their due time.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        if state_collector:
            registry.register(state_collector)

    def count_message(self, cls: int, end: str, latency_s: float | None = None) -> None:
        """Count a message that was accepted or ended."""
        name = self.classes[cls]
        self.messages.labels(name, end).inc()
        if latency_s is not None:
            self.message_s.labels(name, end).observe(latency_s)

    def count_attempt(self, partner: int, result: str, latency_s: float) -> None:
        """Count an ended attempt."""
        label = self.partners.label(partner)
        self.calls.labels(label, result).inc()
        self.call_s.labels(label).observe(latency_s)

    def count_withheld(self, reason: str) -> None:
        """Count a call that was not written."""
        self.withheld.labels(reason).inc()

    def observe_turn(self, seconds: float, late_s: float) -> None:
        """Record duration and delay of a turn."""
        self.turn_s.observe(seconds)
        self.lag_s.observe(max(0.0, late_s))

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class HostState(Collector):
    """Gauges of the host's current state."""

    def __init__(self, host: Host) -> None:
        self.host = host

    def collect(self) -> Iterator[Metric]:
        """Read the metrics from the host."""
        host = self.host
        for name, text, value in (
            ("hopmill_messages_held", "Accepted messages that have not ended.", host.journal.open_count),
            (
                "hopmill_notices_owed",
                "Notices not yet accepted by the platform.",
                len(host.notices.waiting),
            ),
            ("hopmill_slots_used", "Calls in flight.", host.courier.state.calls_in_flight),
            ("hopmill_slots", "Maximum number of calls in flight.", host.settings.slots),
            ("hopmill_journal_bytes", "Size of the journal.", host.journal.file.size),
            (
                "hopmill_journal_live_bytes",
                "Upper bound on the size of the journal after a compaction.",
                host.journal.live_bytes,
            ),
            (
                "hopmill_journal_failing",
                "1 while writes to the journal fail, or records are owed to it.",
                int(host.journal.is_failing),
            ),
            ("hopmill_journal_limit_bytes", "Disk space that the journal may use.", host.journal.limit_bytes),
            ("hopmill_clients", "Client connections.", len(host.clients.connections)),
            ("hopmill_drained", "1 while drained by an operator.", int(host.clients.drained)),
            (
                "hopmill_endpoint_list_confirmed",
                "1 once discovery has sent this process an endpoint list.",
                int(host.list_confirmation.is_confirmed),
            ),
            (
                "hopmill_discovery_silence_seconds",
                "Time since discovery last sent something on the watch, or since the start.",
                host.loop.time() - host.watch.heard_at,
            ),
            (
                "hopmill_endpoint_list_valid_seconds",
                "Time for which calls may begin by the endpoint list without a further word of discovery.",
                max(0.0, host.watch.freshness.valid_until - host.loop.time()),
            ),
            (
                "hopmill_calls_held",
                "1 while no call may begin, since the endpoint list is out of date.",
                int(host.list_confirmation.is_holding),
            ),
        ):
            yield GaugeMetricFamily(name, text, value=value)
        yield from self._discovery()
        yield from self._lanes()
        yield from self._by(
            "hopmill_circuits", "Circuit breakers by state.", "state", observe.breaker_counts(host.courier)
        )
        yield from self._zones()
        yield from self._connections()
        if host.member_transport:
            yield from self._fleet(host.member_transport.status())

    def _discovery(self) -> Iterator[Metric]:
        watch = self.host.watch
        present = watch.freshness.state(self.host.loop.time())
        yield from self._by(
            "hopmill_discovery_state",
            "1 for the present state of discovery as this courier sees it.",
            "state",
            {state.value: int(state is present) for state in DiscoveryState},
        )
        yield CounterMetricFamily(
            "hopmill_discovery_questions", "Requests for the endpoint list.", value=watch.last_number
        )
        yield CounterMetricFamily(
            "hopmill_discovery_given_up",
            "Accepted requests for the list that were closed while their answer was still due.",
            value=watch.given_up,
        )

    @staticmethod
    def _fleet(status: dict[str, Any]) -> Iterator[Metric]:
        states = [row["state"] for row in status["members"]]
        yield from HostState._by(
            "hopmill_fleet_members",
            "Fleet members by state, as seen by this courier.",
            "state",
            {state: states.count(state) for state in sorted(set(states))},
        )
        counts = status["datagrams"]
        for name, text, value in (
            (
                "hopmill_fleet_version",
                "Version of the register document known to this courier.",
                status["version"],
            ),
            ("hopmill_fleet_votes", "1 while this courier is a voter.", int(status["votes"])),
            (
                "hopmill_fleet_health",
                "Local health score of this member (Lifeguard); 0 is healthy.",
                status["health"],
            ),
            (
                "hopmill_fleet_leases_held",
                "Leases held by this courier.",
                sum(row["mine"] for row in status["leases"]),
            ),
        ):
            yield GaugeMetricFamily(name, text, value=value)
        for name, text in (
            ("sent", "Datagrams sent to members."),
            ("sent_bytes", "Bytes of datagrams sent to members."),
            ("received", "Datagrams received from members."),
        ):
            yield CounterMetricFamily(f"hopmill_fleet_{name}", text, value=counts[name])
        dropped = CounterMetricFamily(
            "hopmill_fleet_dropped", "Dropped datagrams by reason.", labels=["reason"]
        )
        for reason, count in counts["dropped"].items():
            dropped.add_metric([reason], count)
        yield dropped

    def _lanes(self) -> Iterator[Metric]:
        host, names = self.host, ["partner", "endpoint"]
        columns: list[tuple[Metric, Callable[[observe.LaneRow], float]]] = [
            (GaugeMetricFamily(f"hopmill_lane_{name}", text, labels=names), value)
            for name, text, value in (
                ("queued", "Queued messages of the whole partner.", lambda row: row.queued),
                ("out", "Calls in flight.", lambda row: row.calls_in_flight),
                (
                    "window",
                    "Maximum number of calls in flight; 0 if a rate limits instead.",
                    lambda row: row.window,
                ),
                ("pace", "Rate limit in calls per second, 0 if none.", lambda row: row.pace_per_s),
                (
                    "part",
                    "Share of this courier of the limit, calls per second.",
                    lambda row: row.limit_share_per_s,
                ),
                ("refused_ratio", "Moving share of refused calls.", lambda row: row.refused_share),
                ("wait_seconds", "Time until an announced wait ends.", lambda row: row.wait_us / 1e6),
            )
        ]
        for count, row in enumerate(observe.lanes(host.courier, host.clock())):
            if count >= MAX_LABEL_VALUES:
                break
            route = "" if row.endpoint is None else host.registry.uid(row.endpoint)
            for family, value in columns:
                family.add_metric([str(row.partner), route], value(row))
        for family, _ in columns:
            yield family

    def _zones(self) -> Iterator[Metric]:
        share = GaugeMetricFamily(
            "hopmill_zone_share", "Share of traffic that the zone may receive.", labels=["zone", "state"]
        )
        for row in self.host.operator_actions.zone_rows():
            share.add_metric([row["zone"], row["state"]], row["share"])
        yield share

    def _connections(self) -> Iterator[Metric]:
        totals, pool = self.host.pool.totals(), self.host.pool
        opened, reused = totals.pop("opened", 0), totals.pop("reused", 0)
        yield CounterMetricFamily(
            "hopmill_connections_opened", "Connections opened to endpoints.", value=opened
        )
        yield CounterMetricFamily("hopmill_connections_reused", "Calls on a reused connection.", value=reused)
        closed = CounterMetricFamily(
            "hopmill_connections_closed", "Closed connections by reason.", labels=["reason"]
        )
        for reason, count in totals.items():
            closed.add_metric([reason], count)
        yield closed
        yield GaugeMetricFamily(
            "hopmill_connections_idle", "Idle connections to endpoints.", value=len(pool.idle)
        )

    @staticmethod
    def _by(name: str, text: str, label: str, counts: dict[str, int]) -> Iterator[Metric]:
        family = GaugeMetricFamily(name, text, labels=[label])
        for key, count in counts.items():
            family.add_metric([key], count)
        yield family
