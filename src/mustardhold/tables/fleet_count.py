"""State of a control instance's count of the balancers."""

from dataclasses import dataclass


@dataclass(slots=True)
class FleetCount:
    """The highest counts of the current and of the previous period.

    Attributes
    ----------
    began_at
        When the current period began; local clock, in seconds.
    """

    highest: float = 0
    previous: float = 0
    began_at: float = float('-inf')
