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

    It may be sent again; one that changes nothing has no effect.

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
    """A data centre whose servers get no new flows.

    Attributes
    ----------
    requester, ordered_at
        As in the order that began the evacuation.
    """

    name: str
    requester: str
    ordered_at: float


class EvacuationState(msgspec.Struct, array_like=True, frozen=True):
    """All data centres that are evacuated, and the revision of that state.

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
