"""Which service a packet belongs to, and which servers may serve it."""

from collections.abc import Iterator
from fnmatch import fnmatchcase

from mustardhold.systems.addresses import pack_address
from mustardhold.tables.backends import BackendState, KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.routing import Pool, RoutingTable

SERVICE_OFFSET = FLOW_KEY_BYTES // 2


def install_table(tables: BalancerTables, table: RoutingTable) -> bool:
    """Put a newer table in force; an older one changes nothing.

    Returns
    -------
    bool
        Whether the table was newer.
    """
    if table.version <= tables.routing.version:
        return False
    tables.routing = table
    tables.service_by_address = {
        pack_address(address): route.name
        for route in table.routes_by_name.values()
        for address in route.addresses
    }
    return True


def service_of(tables: BalancerTables, flow: bytes) -> str | None:
    """Find the service that a flow was addressed to."""
    return tables.service_by_address.get(flow[SERVICE_OFFSET:])


def is_member(pool: Pool, known: KnownBackend) -> bool:
    """Tell whether a pool admits a backend server."""
    announced = known.announced
    return announced.pool == pool.name and any(
        fnmatchcase(announced.backend_id, pattern) for pattern in pool.servers
    )


def is_open(pool: Pool, known: KnownBackend) -> bool:
    """Tell whether a server may take new flows of a pool."""
    announced = known.announced
    return (
        announced.state is BackendState.READY
        and announced.backend_id not in pool.drained
        and is_member(pool, known)
    )


def open_servers(tables: BalancerTables, pool: Pool) -> Iterator[KnownBackend]:
    """Yield the servers that may take new flows of a pool."""
    for known in tables.backends_by_id.values():
        if is_open(pool, known):
            yield known
