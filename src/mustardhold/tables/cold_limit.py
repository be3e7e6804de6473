"""State of the limit on openings that cold servers are sent."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ColdWindow:
    """What this balancer has sent to one cold server, and may send next.

    Attributes
    ----------
    phase
        Part of an interval that passes before the first opening of the
        fractional part of the share is due, from 0 to 1.
    due
        When the next opening of the fractional part is due; local clock, in
        seconds; infinite before there was such a part.
    sent_at
        When the latest openings of the whole part of the share were sent.
    """

    phase: float
    due: float = float('inf')
    sent_at: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class ColdLimits:
    """State of the limit at one balancer.

    Attributes
    ----------
    name
        Name of the balancer; decides when its openings are due.
    balancers
        Number of balancers that share the limit; 0 if unknown.
    windows_by_token
        Cold servers of services with a limit.
    """

    name: str = ''
    balancers: float = 0
    windows_by_token: dict[int, ColdWindow] = field(default_factory=dict)
