"""The clock interface of daemons and adapters, and the system clock."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return monotonic time in seconds, including time in suspension.

        Otherwise a lease could outlive a suspension of its holder.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)
