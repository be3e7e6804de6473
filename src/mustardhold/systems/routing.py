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
    before = tables.routing
    tables.routing = table
    update_addresses(tables.service_by_address, before, table)
    return True


def update_addresses(
    service_by_address: dict[bytes, str],
    before: RoutingTable,
    after: RoutingTable,
) -> None:
    """Take the routes that differ into the lookup of addresses."""
    for address, _ in addresses_besides(before, after):
        service_by_address.pop(address, None)
    service_by_address.update(addresses_besides(after, before))


def addresses_besides(
    table: RoutingTable, other: RoutingTable
) -> Iterator[tuple[bytes, str]]:
    """Yield address and service of each route that another table lacks.

    A later version shares the entries that did not change, so that most are
    told apart without a look into them.
    """
    others = other.routes_by_name
    for name, route in table.routes_by_name.items():
        other_route = others.get(name)
        if other_route is route or other_route == route:
            continue
        yield from ((pack_address(one), name) for one in route.addresses)


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


def eligible_servers(
    tables: BalancerTables, pool: Pool
) -> Iterator[KnownBackend]:
    """Yield the servers that may take new flows of a pool."""
    for known in tables.backends_by_id.values():
        if is_open(pool, known):
            yield known
