"""Slow start of backend servers after a cold start."""

from mustardhold.tables.backends import (
    BackendServer,
    BackendState,
    KnownBackend,
)
from mustardhold.tables.constants import SLOW_START

FIRST_SHARE = 0.05
CLOSING_SECONDS = 0.5


def detect_cold_start(
    known: KnownBackend, announced: BackendServer, now: float
) -> None:
    """Begin a slow start when a cold server reports that it is ready."""
    before = known.announced
    if announced.state is not BackendState.READY:
        return
    was_cold = before.state is BackendState.STARTING
    if was_cold or announced.incarnation != before.incarnation:
        known.ready_at = now
        known.open_share = FIRST_SHARE


def update_open_share(known: KnownBackend, now: float) -> None:
    """Set the share of new flows that may go to a server."""
    known.is_closed = now - known.closed_since > CLOSING_SECONDS
    if known.is_closed or known.is_unresponsive or now < known.ejected_until:
        known.open_share = 0
        return
    warm = (now - known.ready_at) / SLOW_START.total_seconds()
    known.open_share = min(max(warm, FIRST_SHARE), 1)
