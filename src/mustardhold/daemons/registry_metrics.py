"""Metrics of a control instance whose servers send reports."""

from mustardhold.daemons.metrics_server import MetricsSnapshot
from mustardhold.daemons.replica_node import ReplicaNode
from mustardhold.systems.control_gauges import control_gauges, evacuation_gauge
from mustardhold.systems.suspicions import suspect_tokens
from mustardhold.tables.directory import Directory
from mustardhold.tables.gauges import Gauge


def collect_metrics(node: ReplicaNode, directory: Directory) -> MetricsSnapshot:
    """Collect the replica's metrics, and gauges of its directory."""
    now = node.clock.monotonic()
    gauges = (
        *control_gauges(node.replica, now),
        Gauge(
            'configuration_version',
            'Version in force',
            node.replica.configuration.version,
        ),
        Gauge(
            'known_servers',
            'Servers in the directory',
            len(directory.servers_by_id),
        ),
        Gauge(
            'suspect_servers',
            'Servers that answer worse than others',
            len(suspect_tokens(directory.suspicions, now)),
        ),
        evacuation_gauge(node.replica.evacuations),
    )
    return MetricsSnapshot(
        dict(node.replica.counters),
        node.observations.histograms_by_key,
        gauges,
    )
