"""Announcements of backend servers with a high connection limit."""

from mustardhold.tables.backends import BackendServer, BackendState

SERVICE = 'werkstatt'
MANY_CONNECTIONS = 10_000_000


def make_announcement(number: int) -> BackendServer:
    """Make the announcement of a server that never reaches its limit."""
    return BackendServer(
        f'{SERVICE}-{number}',
        SERVICE,
        'dc-1',
        f'127.0.0.1:{10_000 + number % 50_000}',
        2,
        MANY_CONNECTIONS,
        0,
        0,
        BackendState.READY,
        1,
        1,
    )
