"""Decides when a balancer that is being stopped may end.

The fabric takes up to a few probes to notice that a balancer is not ready, and
may use it again while too few others are ready. So the balancer forwards as
long as packets arrive, and ends soon after the last one: ending early cuts
callers off, ending late keeps the successor waiting.
"""

from dataclasses import dataclass

from mustardhold.tables.constants import (
    DRAIN_QUIET_PERIOD,
    MIN_DRAIN_PERIOD,
    STOP_MARGIN,
)


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned stop.

    Attributes
    ----------
    began_at
        When the stop was requested; local clock, in seconds.
    grace_seconds
        Time from then until the process would be killed.
    """

    began_at: float
    grace_seconds: float


def is_drained(drain: Drain, now: float, last_packet_at: float) -> bool:
    """Return whether a balancer may end.

    Parameters
    ----------
    last_packet_at
        When it last received a caller's packet; local clock, in seconds.
    """
    elapsed = now - drain.began_at
    if elapsed >= drain.grace_seconds - STOP_MARGIN.total_seconds():
        return True
    if elapsed < MIN_DRAIN_PERIOD.total_seconds():
        return False
    return now - last_packet_at >= DRAIN_QUIET_PERIOD.total_seconds()
