"""Keeps new flows away from the servers of evacuated data centres.

After the end of an evacuation, the weights of the servers rise in steps.
"""

import math
from typing import Final

from mustardhold.tables.constants import RETURN_STEP, RETURN_STEPS
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.forwarding import ForwardingTables

NOT_STARTED: Final = math.inf
"""Start of the rise before the first opening since the evacuation's end."""


def install_evacuations(
    tables: ForwardingTables, state: EvacuationState
) -> bool:
    """Install the evacuated data centres if their revision is higher.

    The weights of servers rise in data centres that are evacuated no longer.

    Returns
    -------
    bool
        Whether they were installed.
    """
    if state.revision <= tables.evacuations.revision:
        return False
    before = evacuated_names(tables)
    tables.evacuations = state
    evacuated = evacuated_names(tables)
    for name in evacuated:
        tables.returned_at.pop(name, None)
    for name in before - evacuated:
        tables.returned_at[name] = NOT_STARTED
    return True


def evacuated_names(tables: ForwardingTables) -> frozenset[str]:
    """Return the names of the evacuated data centres."""
    return frozenset(one.name for one in tables.evacuations.data_centres)


def start_returns(tables: ForwardingTables, now: float) -> None:
    """Start the rises that wait for the first opening.

    Those that have ended are forgotten.
    """
    for name, since in tuple(tables.returned_at.items()):
        if since == NOT_STARTED:
            tables.returned_at[name] = now
        elif not is_returning(since, now):
            tables.returned_at.pop(name)


def is_returning(since: float, now: float) -> bool:
    """Return whether the weights of a rise are not full yet."""
    return steps_passed(since, now) < RETURN_STEPS


def returned_share(since: float, now: float) -> float:
    """Return the share of its weight that a returned server has."""
    return (steps_passed(since, now) + 1) / (RETURN_STEPS + 1)


def steps_passed(since: float, now: float) -> int:
    """Return how many steps of a rise have passed."""
    return sum(
        since + step * RETURN_STEP.total_seconds() <= now
        for step in range(1, RETURN_STEPS + 1)
    )


def next_step_at(since: float, now: float) -> float:
    """Return when the next step of a rise is due; in the past after the last.

    It is computed as ``steps_passed`` does, so that both agree at that time.
    """
    step = min(steps_passed(since, now) + 1, RETURN_STEPS)
    return since + step * RETURN_STEP.total_seconds()
