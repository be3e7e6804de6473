"""Limits the openings that cold servers are sent by all balancers together.

Each balancer sends its equal share, so that an opening needs no message. The
whole part of the share is counted in a sliding second. With many balancers,
the share is below one: then an opening is due every few seconds, at a time
that differs between balancers. One that is not sent soon after it was due is
forfeited: otherwise a surge after a quiet time would make all balancers send
the openings that they have saved in the same second. While one is due, more
flows are considered for the server, to make up for the time between.
"""

import math

import xxhash

from mustardhold.tables.cold_limit import ColdLimits, ColdWindow
from mustardhold.tables.constants import (
    COLD_OPENING_PERIOD,
    COLD_SHARE_USED,
)

HASH_RANGE = 2**64
WINDOW_SECONDS = 1.0


def share_of(
    limits: ColdLimits, limit: float, *, is_last_resort: bool
) -> float:
    """Return how many openings a second this balancer may send a cold server.

    Without the number of balancers it is 0, but as a last resort the limit
    itself, since the service would otherwise have no server at all.
    """
    if limits.balancers:
        return limit / max(limits.balancers, 1)
    return limit if is_last_resort else 0


def ranks_for_each(share: float) -> int:
    """Return how many ranks are considered for each copy of an opening.

    With a share below one, an opening is due for a part of the time only. Then
    those that rank the server lower make up for the rest.
    """
    fraction = fraction_of(share)
    if share >= 1 or not fraction:
        return 1
    part = fraction * COLD_OPENING_PERIOD.total_seconds()
    return max(math.floor(1 / part), 1)


def fraction_of(share: float) -> float:
    """Return what is used of the part of a share below one a second."""
    return (share - math.floor(share)) * COLD_SHARE_USED


def has_room(limits: ColdLimits, now: float, token: int, share: float) -> bool:
    """Return whether an opening may be sent to a cold server now."""
    if share <= 0:
        return False
    window = limits.windows_by_token.get(token)
    if window is None:
        window = make_window(limits, token)
        limits.windows_by_token[token] = window
    return has_whole_room(window, now, share) or is_due(window, now, share)


def make_window(limits: ColdLimits, token: int) -> ColdWindow:
    """Return the window of a server that has just become cold.

    A hash decides the phase, so that the balancers spread over an interval.
    """
    point = xxhash.xxh3_64_intdigest(f'{limits.name}/{token}'.encode())
    return ColdWindow(point / HASH_RANGE)


def has_whole_room(window: ColdWindow, now: float, share: float) -> bool:
    """Return whether the whole part of the share is not used up."""
    sent_at = window.sent_at
    while sent_at and sent_at[0] <= now - WINDOW_SECONDS:
        sent_at.popleft()
    return len(sent_at) < math.floor(share)


def is_due(window: ColdWindow, now: float, share: float) -> bool:
    """Return whether an opening of the fractional part is due.

    Forfeits those that were due long ago. After a change of the share, the one
    that is due next stays due. All balancers learn of a fractional part at
    about the same time, so each begins at its phase.
    """
    fraction = fraction_of(share)
    if not fraction:
        return False
    if math.isinf(window.due):
        window.due = now + window.phase / fraction
    late = now - window.due - COLD_OPENING_PERIOD.total_seconds()
    if late >= 0:
        window.due += (math.floor(late * fraction) + 1) / fraction
    return window.due <= now


def count_sent(
    limits: ColdLimits, now: float, token: int, share: float
) -> None:
    """Count an opening that is sent to a cold server with room for it."""
    window = limits.windows_by_token[token]
    if has_whole_room(window, now, share):
        window.sent_at.append(now)
    else:
        window.due += 1 / fraction_of(share)
