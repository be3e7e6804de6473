"""Data centres that operators have ordered to get no new flows."""

from enum import StrEnum
from typing import Final

import msgspec

EVACUATIONS_PATH: Final = '/evacuations'


class EvacuationAction(StrEnum):
    """What an operator orders for a data centre."""

    EVACUATE = 'evacuate'
    RESTORE = 'restore'


class EvacuationOrder(msgspec.Struct, frozen=True):
    """An order to begin or to end the evacuation of a data centre.

    Attributes
    ----------
    requester
        Control instance that accepted the order; empty until one has.
    ordered_at
        Wall-clock time of that instance, in seconds since 1970-01-01 UTC.
    """

    data_centre: str
    action: EvacuationAction
    requester: str = ''
    ordered_at: float = 0


class EvacuatedDataCentre(msgspec.Struct, array_like=True, frozen=True):
    """An order to send no new flows to the servers of a data centre.

    Attributes
    ----------
    requester
        Control instance that accepted the order.
    ordered_at
        Wall-clock time of that instance, in seconds since 1970-01-01 UTC.
    """

    name: str
    requester: str
    ordered_at: float


class EvacuationState(msgspec.Struct, array_like=True, frozen=True):
    """All data centres that are evacuated.

    Attributes
    ----------
    revision
        Index of the log entry that last changed the state; the same on every
        replica. The higher revision replaces the lower one.
    data_centres
        Sorted by name.
    """

    revision: int = 0
    data_centres: tuple[EvacuatedDataCentre, ...] = ()


NO_EVACUATIONS: Final = EvacuationState()
"""State before the first order."""
