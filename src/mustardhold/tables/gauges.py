"""Metrics that go up and down."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Gauge:
    """Value of a metric at the time of a scrape."""

    name: str
    summary: str
    amount: float
    labels: Mapping[str, str] = field(default_factory=dict)
