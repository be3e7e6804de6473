"""Serves metrics on an address of their own."""

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
    """What a process has counted and measured."""

    counters: dict[tuple[str, str], int]
    histograms_by_key: HistogramsByKey
    gauges: tuple[Gauge, ...]


async def show_metrics(
    collect_metrics: Callable[[], MetricsSnapshot], _: HandlerRequest
) -> Reply:
    """Handle a scrape.

    The renderer is loaded by the first one, in a thread: few instances are
    ever scraped, and its start-up time and memory are the largest part.
    """
    metrics = await trio.to_thread.run_sync(importlib.import_module, RENDERER)
    reply: Reply = metrics.render_metrics(*collect_metrics())
    return reply


async def serve_metrics(
    address: str,
    collect_metrics: Callable[[], MetricsSnapshot],
    stopping: trio.Event,
) -> None:
    """Serve the metrics of a process until the event is set."""
    handler = functools.partial(show_metrics, collect_metrics)
    await serve_http(
        make_app({('GET', METRICS_PATH): handler}), address, stopping
    )
