"""Type of the lines of the capacity page."""

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
    """One resource requirement of a role, as a line of the page.

    Attributes
    ----------
    slope
        Name of the measured slope that the formula uses.
    x_at_size
        Returns the value of the slope's x at a size.
    text
        The formula in words.
    formula
        Computes the requirement from the size and the growth of each slope.
    budget
        Key of ``BUDGETS``, which gives the limit and the unit.
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
