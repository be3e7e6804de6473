"""Histograms that are exported as metrics."""

from dataclasses import dataclass, field
from typing import Final

SECONDS_BOUNDS: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
BATCH_BOUNDS: Final = (1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)
HOP_BOUNDS: Final = (1.0, 2.0, 3.0, 4.0)

HistogramKey = tuple[str, str, str]
"""Name, service and class."""


@dataclass(slots=True)
class Histogram:
    """Histogram of samples.

    Attributes
    ----------
    counts
        Number of samples for each upper bound, and last the number above all
        bounds.
    total
        Sum of all samples.
    """

    bounds: tuple[float, ...]
    counts: list[int] = field(init=False)
    total: float = 0

    def __post_init__(self) -> None:
        """Start with no samples."""
        self.counts = [0 for _ in range(len(self.bounds) + 1)]
