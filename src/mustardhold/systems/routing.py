"""Maps packets to services, and services to eligible servers."""

from collections.abc import Iterator
from fnmatch import fnmatchcase

from mustardhold.systems.addresses import pack_address
from mustardhold.tables.backends import BackendState, KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.routing import Pool, RoutingTable

SERVICE_OFFSET = FLOW_KEY_BYTES // 2


def install_table(tables: BalancerTables, table: RoutingTable) -> bool:
    """Install a routing table if it is newer than the current one.

    Returns
    -------
    bool
        Whether it was installed.
    """
    if table.version <= tables.routing.version:
        return False
    before = tables.routing
    tables.routing = table
    update_addresses(tables.service_by_address, before, table)
    return True


def update_addresses(
    service_by_address: dict[bytes, str],
    before: RoutingTable,
    after: RoutingTable,
) -> None:
    """Update the lookup of addresses by the routes that differ."""
    for address, _ in differing_addresses(before, after):
        service_by_address.pop(address, None)
    service_by_address.update(differing_addresses(after, before))


def differing_addresses(
    table: RoutingTable, other: RoutingTable
) -> Iterator[tuple[bytes, str]]:
    """Yield address and service of each route that another table lacks.

    A later version shares the unchanged entries, so most of them compare by
    identity.
    """
    others = other.routes_by_name
    for name, route in table.routes_by_name.items():
        other_route = others.get(name)
        if other_route is route or other_route == route:
            continue
        yield from (
            (pack_address(address), name) for address in route.addresses
        )


def service_of(tables: BalancerTables, flow: bytes) -> str | None:
    """Return the service that a flow is addressed to."""
    return tables.service_by_address.get(flow[SERVICE_OFFSET:])


def is_in_pool(pool: Pool, server: KnownBackend) -> bool:
    """Return whether a backend server belongs to a pool."""
    announced = server.announced
    return announced.pool == pool.name and any(
        fnmatchcase(announced.backend_id, pattern) for pattern in pool.servers
    )


def is_eligible(pool: Pool, server: KnownBackend) -> bool:
    """Return whether a server may receive new flows of a pool."""
    announced = server.announced
    return (
        announced.state is BackendState.READY
        and announced.backend_id not in pool.drained
        and is_in_pool(pool, server)
    )


def eligible_servers(
    tables: BalancerTables, pool: Pool
) -> Iterator[KnownBackend]:
    """Yield the servers that may receive new flows of a pool."""
    for server in tables.backends_by_id.values():
        if is_eligible(pool, server):
            yield server
