"""Metrics in the Prometheus text format."""

from collections.abc import Mapping
from http import HTTPStatus

from aioprometheus import Counter, Registry, render

from mustardhold.adapters.http_app import Reply


def render_counters(counters: Mapping[tuple[str, str], int]) -> Reply:
    """Render decisions by service and outcome."""
    registry = Registry()
    decisions = Counter('mustardhold_decisions_total', 'Decisions taken')
    registry.register(decisions)
    for (service, outcome), count in counters.items():
        decisions.set({'service': service, 'outcome': outcome}, count)
    body, headers = render(registry, ['text/plain'])
    return Reply(HTTPStatus.OK, body, headers['Content-Type'])
