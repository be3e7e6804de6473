"""Export of metrics in the Prometheus text format."""

from collections.abc import Iterable, Mapping
from http import HTTPStatus
from itertools import accumulate

from aioprometheus import (
    Counter,
    Registry,
    collectors,
    render,
)
from aioprometheus.histogram import Histogram as LibraryHistogram

from mustardhold.adapters.http_app import Reply
from mustardhold.tables.gauges import Gauge
from mustardhold.tables.histograms import Histogram, HistogramKey

PREFIX = 'mustardhold'
SUMMARY_BY_HISTOGRAM = {
    'edit_seconds': 'Time from taking an edit to its commit',
    'request_seconds': 'Time from forwarding a request to its first answer',
    'open_seconds': 'Time from sending an opening to its answer',
    'batch_packets': 'Packets taken between two checkpoints',
    'configuration_seconds': 'Time from taking a configuration to its answer',
    'evacuation_seconds': 'Time from taking an evacuation order to its answer',
    'report_seconds': 'Time from taking a leaving server to its answer',
    'link_queue_seconds': 'Time of a packet in the queue of the link',
    'relay_hops': 'Relays that a packet has been through',
}


def add_counters(
    registry: Registry, counters: Mapping[tuple[str, str], int]
) -> None:
    """Add the decision counters, labelled by service and outcome."""
    decisions = Counter(
        f'{PREFIX}_decisions_total', 'Decisions taken', registry=registry
    )
    for (service, outcome), count in counters.items():
        decisions.set({'service': service, 'outcome': outcome}, count)


def add_gauges(registry: Registry, gauges: Iterable[Gauge]) -> None:
    """Add gauges, grouped by metric name."""
    gauges_by_name: dict[str, collectors.Gauge] = {}
    for gauge in gauges:
        if gauge.name not in gauges_by_name:
            gauges_by_name[gauge.name] = collectors.Gauge(
                f'{PREFIX}_{gauge.name}', gauge.summary, registry=registry
            )
        gauges_by_name[gauge.name].set(dict(gauge.labels), gauge.amount)


def add_histograms(
    registry: Registry, histograms_by_key: Mapping[HistogramKey, Histogram]
) -> None:
    """Add histograms, labelled by service and class."""
    by_name: dict[str, collectors.Histogram] = {}
    for (name, service, kind), histogram in histograms_by_key.items():
        if name not in by_name:
            by_name[name] = collectors.Histogram(
                f'{PREFIX}_{name}',
                SUMMARY_BY_HISTOGRAM[name],
                registry=registry,
                buckets=histogram.bounds,
            )
        labels = {'service': service, 'class': kind}
        by_name[name].set_value(labels, to_library_histogram(histogram))


def to_library_histogram(histogram: Histogram) -> LibraryHistogram:
    """Convert a histogram to aioprometheus, with cumulative buckets."""
    samples = LibraryHistogram(*histogram.bounds)
    samples.buckets.update(
        zip(samples.buckets, accumulate(histogram.counts), strict=True)
    )
    samples.observations = sum(histogram.counts)
    samples.sum = histogram.total
    return samples


def render_metrics(
    counters: Mapping[tuple[str, str], int],
    histograms_by_key: Mapping[HistogramKey, Histogram],
    gauges: Iterable[Gauge],
) -> Reply:
    """Render all counters, gauges and histograms of a process."""
    registry = Registry()
    add_counters(registry, counters)
    add_gauges(registry, gauges)
    add_histograms(registry, histograms_by_key)
    body, headers = render(registry, ['text/plain'])
    return Reply(HTTPStatus.OK, body, headers['Content-Type'])
