"""Serves a process's metrics on a separate address."""

import functools
import importlib
from collections.abc import Callable
from typing import NamedTuple

import trio

from mustardhold.adapters.http_app import HandlerRequest, Reply, make_app
from mustardhold.adapters.http_server import serve_http
from mustardhold.systems.histograms import HistogramsByKey
from mustardhold.tables.gauges import Gauge

METRICS_PATH = '/metrics'
RENDERER = 'mustardhold.adapters.metrics'


class MetricsSnapshot(NamedTuple):
    """Counters, histograms and gauges of a process."""

    counters: dict[tuple[str, str], int]
    histograms_by_key: HistogramsByKey
    gauges: tuple[Gauge, ...]


async def show_metrics(
    collect_metrics: Callable[[], MetricsSnapshot], _: HandlerRequest
) -> Reply:
    """Respond with the metrics.

    The renderer is imported at the first request, in a thread: it has the
    largest part of the start-up time and memory, and few instances are ever
    scraped.
    """
    metrics = await trio.to_thread.run_sync(importlib.import_module, RENDERER)
    reply: Reply = metrics.render_metrics(*collect_metrics())
    return reply


async def serve_metrics(
    address: str,
    collect_metrics: Callable[[], MetricsSnapshot],
    stopping: trio.Event,
) -> None:
    """Serve the metrics of a process until ``stopping`` is set."""
    handler = functools.partial(show_metrics, collect_metrics)
    await serve_http(
        make_app({('GET', METRICS_PATH): handler}), address, stopping
    )
