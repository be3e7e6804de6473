"""Metrics of a balancer that forwards by tokens."""

from mustardhold.daemons.metrics_server import MetricsSnapshot
from mustardhold.daemons.token_packets import TokenBalancer
from mustardhold.systems.control_gauges import evacuation_gauge
from mustardhold.systems.link_queue import make_link_gauges
from mustardhold.systems.opening_admission import make_admission_gauges
from mustardhold.systems.server_load import make_load_gauges
from mustardhold.systems.suspicions import suspect_tokens
from mustardhold.systems.token_forwarding import configuration_version
from mustardhold.tables.directory import ServerState
from mustardhold.tables.gauges import Gauge


def collect_metrics(balancer: TokenBalancer) -> MetricsSnapshot:
    """Collect the balancer's counters, histograms and gauges of its tables."""
    tables, now = balancer.tables, balancer.clock.monotonic()
    ready = sum(
        known.report.state is ServerState.READY
        for known in tables.directory.servers_by_id.values()
    )
    gauges = [
        Gauge(
            'configuration_version',
            'Version in force',
            configuration_version(tables),
        ),
        Gauge('ready_servers', 'Servers that may get new flows', ready),
        Gauge(
            'control_silence_seconds',
            'Time since a current control instance told its state',
            now - tables.last_feed_at,
        ),
        Gauge(
            'suspect_servers',
            'Servers that answer worse than others',
            len(suspect_tokens(tables.directory.suspicions, now)),
        ),
        Gauge(
            'untracked_requests',
            'Requests whose answers could not be tracked since the start',
            tables.answers.untracked,
        ),
        evacuation_gauge(tables.evacuations),
        Gauge(
            'known_balancers',
            'Balancers that share the limits of cold servers',
            tables.cold_limits.balancers,
        ),
    ]
    gauges.extend(make_admission_gauges(tables))
    gauges.extend(make_load_gauges(tables.answers.load, now))
    if balancer.link is not None:
        gauges.extend(make_link_gauges(balancer.link.queue))
    return MetricsSnapshot(
        dict(tables.counters), balancer.histograms_by_key, tuple(gauges)
    )
