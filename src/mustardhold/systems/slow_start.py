"""Slow start of backend servers after a cold start."""

from mustardhold.tables.backends import (
    BackendServer,
    BackendState,
    KnownBackend,
)
from mustardhold.tables.constants import SLOW_START

INITIAL_SHARE = 0.05
CLOSE_DELAY_SECONDS = 0.5


def detect_cold_start(
    server: KnownBackend, announced: BackendServer, now: float
) -> None:
    """Begin a slow start if a cold or restarted server becomes ready."""
    previous = server.announced
    if announced.state is not BackendState.READY:
        return
    was_cold = previous.state is BackendState.STARTING
    if was_cold or announced.incarnation != previous.incarnation:
        server.ready_at = now
        server.open_share = INITIAL_SHARE


def update_open_share(server: KnownBackend, now: float) -> None:
    """Update the share of new flows that a server may receive."""
    server.is_closed = now - server.closed_since > CLOSE_DELAY_SECONDS
    if server.is_closed or server.is_unresponsive or now < server.ejected_until:
        server.open_share = 0
        return
    warmed_share = (now - server.ready_at) / SLOW_START.total_seconds()
    server.open_share = min(max(warmed_share, INITIAL_SHARE), 1)
