"""Keeps new flows away from the servers of evacuated data centres."""

from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.forwarding import ForwardingTables


def install_evacuations(
    tables: ForwardingTables, state: EvacuationState
) -> bool:
    """Install the evacuated data centres if they are newer.

    Returns
    -------
    bool
        Whether they were installed.
    """
    if state.revision <= tables.evacuations.revision:
        return False
    tables.evacuations = state
    return True
