"""Applies evacuation orders to the replicated state."""

from mustardhold.tables.evacuations import (
    EvacuatedDataCentre,
    EvacuationAction,
    EvacuationOrder,
    EvacuationState,
)


def is_evacuated(state: EvacuationState, data_centre: str) -> bool:
    """Return whether a data centre is evacuated."""
    return any(one.name == data_centre for one in state.data_centres)


def apply_order(
    state: EvacuationState, order: EvacuationOrder, index: int
) -> EvacuationState:
    """Return the state after an order.

    An order that changes nothing leaves the state as it is, so that a
    repeated order wakes no balancer.

    Parameters
    ----------
    index
        Index of the order's log entry.
    """
    is_start = order.action is EvacuationAction.EVACUATE
    if is_start == is_evacuated(state, order.data_centre):
        return state
    others = tuple(
        one for one in state.data_centres if one.name != order.data_centre
    )
    if not is_start:
        return EvacuationState(index, others)
    added = EvacuatedDataCentre(
        order.data_centre, order.requester, order.ordered_at
    )
    data_centres = sorted((*others, added), key=lambda one: one.name)
    return EvacuationState(index, tuple(data_centres))
