"""Which service a packet belongs to, and which servers may serve it."""

from collections.abc import Iterator, Mapping
from fnmatch import fnmatchcase

from mustardhold.systems.addresses import pack_address
from mustardhold.tables.backends import BackendState, KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.routing import Pool, Route, RoutingTable

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
    move_addresses(
        tables.service_by_address,
        tables.routing.routes_by_name,
        table.routes_by_name,
    )
    tables.routing = table
    return True


def move_addresses(
    service_by_address: dict[bytes, str],
    before: Mapping[str, Route],
    after: Mapping[str, Route],
) -> None:
    """Follow the routes that changed; a table has many, an edit few.

    Addresses are taken away first, as one may go to another route.
    """
    for name, route in before.items():
        if after.get(name) is not route:
            for address in route.addresses:
                service_by_address.pop(pack_address(address), None)
    for name, route in after.items():
        if before.get(name) is not route:
            for address in route.addresses:
                service_by_address[pack_address(address)] = name


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
