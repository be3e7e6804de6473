"""Adds samples to histograms by name, service and class."""

from bisect import bisect_left

from mustardhold.tables.constants import MAX_HISTOGRAMS
from mustardhold.tables.histograms import (
    BATCH_BOUNDS,
    SECONDS_BOUNDS,
    Histogram,
    HistogramKey,
)

EDIT_SECONDS = 'edit_seconds'
REQUEST_SECONDS = 'request_seconds'
OPEN_SECONDS = 'open_seconds'
BATCH_PACKETS = 'batch_packets'
CONFIGURATION_SECONDS = 'configuration_seconds'
EVACUATION_SECONDS = 'evacuation_seconds'
REPORT_SECONDS = 'report_seconds'
LINK_QUEUE_SECONDS = 'link_queue_seconds'
BOUNDS_BY_NAME = {
    EDIT_SECONDS: SECONDS_BOUNDS,
    REQUEST_SECONDS: SECONDS_BOUNDS,
    OPEN_SECONDS: SECONDS_BOUNDS,
    BATCH_PACKETS: BATCH_BOUNDS,
    CONFIGURATION_SECONDS: SECONDS_BOUNDS,
    EVACUATION_SECONDS: SECONDS_BOUNDS,
    REPORT_SECONDS: SECONDS_BOUNDS,
    LINK_QUEUE_SECONDS: SECONDS_BOUNDS,
}
HistogramsByKey = dict[HistogramKey, Histogram]


def observe(
    histograms_by_key: HistogramsByKey, key: HistogramKey, sample: float
) -> None:
    """Add a sample to the histogram of a name, service and class."""
    histogram = histograms_by_key.get(key)
    if histogram is None:
        if len(histograms_by_key) >= MAX_HISTOGRAMS:
            return
        histogram = Histogram(BOUNDS_BY_NAME[key[0]])
        histograms_by_key[key] = histogram
    histogram.counts[bisect_left(histogram.bounds, sample)] += 1
    histogram.total += sample
