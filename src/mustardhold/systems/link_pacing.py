"""Limits what is sent to the rate of a link and a small burst.

The elapsed time only ever reduces the estimated backlog to nothing, so after a
suspension or a change of the clock no more than one burst is sent.
"""

from mustardhold.tables.constants import (
    LINK_BURST_BYTES,
    LINK_BURST_PERIOD,
    LINK_RATE_SHARE,
)
from mustardhold.tables.link_queue import LinkPacing


def make_pacing(link_bytes_per_second: float) -> LinkPacing:
    """Make the pacing for a link of this rate."""
    rate = link_bytes_per_second * LINK_RATE_SHARE
    return LinkPacing(
        rate,
        max(LINK_BURST_BYTES, rate * LINK_BURST_PERIOD.total_seconds()),
    )


def may_send(pacing: LinkPacing, now: float, size: int) -> bool:
    """Return whether a datagram may be sent now; if so, count it as sent."""
    elapsed = max(now - pacing.measured_at, 0)
    pacing.measured_at = now
    left = max(pacing.backlog_bytes - elapsed * pacing.bytes_per_second, 0)
    is_allowed = left == 0 or left + size <= pacing.burst_bytes
    pacing.backlog_bytes = left + size if is_allowed else left
    return is_allowed


def next_check(pacing: LinkPacing, size: int) -> float:
    """Return when to send the next datagrams, of which the first has a size.

    Half of the burst is sent at a time, so that a full link needs fewer timers
    than datagrams, and still has the other half to send if the timer is late.
    """
    free = max(size, pacing.burst_bytes / 2)
    excess = max(pacing.backlog_bytes + free - pacing.burst_bytes, 0)
    return pacing.measured_at + excess / pacing.bytes_per_second
