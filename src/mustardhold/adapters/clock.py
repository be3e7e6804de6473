"""Clocks that are passed to daemons and adapters."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Read seconds that never run backwards."""

    def now(self) -> datetime:
        """Read the time of day, in UTC."""


class SystemClock:
    """The clock of the machine."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Read seconds that never run backwards, suspensions included.

        A lease must not outlive a suspension of its holder.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Read the time of day, in UTC."""
        return datetime.now(UTC)
