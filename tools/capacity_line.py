"""One figure of the capacity page."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tools.capacity_size import Size

Growths = Mapping[str, float]
RELAY_FANOUT = 16
BY_GROUP = (
    'tables cut by spray group: a balancer follows only the entries whose '
    'addresses its own fabric carries'
)


@dataclass(frozen=True, slots=True)
class Line:
    """One figure of the page.

    Attributes
    ----------
    slope
        Measured slope that the formula rests on.
    x_at_size
        Value of the slope's x at the planned size.
    formula
        Works out the figure from the size and the growth of each slope.
    """

    role: str
    what: str
    slope: str
    x_at_size: Callable[[Size], float]
    text: str
    formula: Callable[[Size, Growths], float]
    budget: str
    mechanism: str
    built: str
    remedy: str = 'none needed'
