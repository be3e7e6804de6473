"""Servers that the whole fleet's observations make suspect, for a time."""

from dataclasses import dataclass, field

import msgspec


class Suspect(msgspec.Struct, array_like=True, frozen=True):
    """A suspect server as sent from one process to another.

    Attributes
    ----------
    remaining_ms
        Time until the suspicion ends, in milliseconds.
    """

    token: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspicion, which ends by itself.

    Attributes
    ----------
    until
        When it ends; local clock, in seconds.
    revision
        Revision of the suspicions at its latest change.
    """

    until: float
    revision: int


@dataclass(slots=True)
class Suspicions:
    """All suspicions that a process knows; the latest change last.

    Attributes
    ----------
    revision
        Number of changes so far that other processes must receive.
    """

    by_token: dict[int, Suspicion] = field(default_factory=dict)
    revision: int = 0
