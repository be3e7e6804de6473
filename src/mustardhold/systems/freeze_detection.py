"""Detection of freezes of this process, and of packets queued meanwhile."""

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import DISCARD_AFTER_FREEZE, FREEZE_THRESHOLD

FROZEN_SECONDS = FREEZE_THRESHOLD.total_seconds()
DISCARD_SECONDS = DISCARD_AFTER_FREEZE.total_seconds()


def record_activity(tables: BalancerTables, now: float) -> None:
    """Record the current activity, and detect a freeze before it."""
    membership = tables.membership
    if membership is None:
        return
    if now - membership.active_at > FROZEN_SECONDS:
        membership.discard_until = now + DISCARD_SECONDS
        tables.counters['', 'frozen'] += 1
    membership.active_at = now


def is_stale_after_freeze(tables: BalancerTables, now: float) -> bool:
    """Return whether a packet may have been queued during a freeze.

    Its flow may have ended, and its request may have been answered or abandoned
    since, so the packet must not even be relayed.
    """
    membership = tables.membership
    if membership is None:
        return False
    if now - membership.active_at > FROZEN_SECONDS:
        record_activity(tables, now)
    if now < membership.discard_until:
        tables.counters['', 'stale-after-freeze'] += 1
        return True
    return False
