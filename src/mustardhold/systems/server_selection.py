"""Selects a backend server for a new flow."""

from collections.abc import Sequence

import xxhash

from mustardhold.systems.routing import eligible_servers
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.routing import Pool, Weighting

HASH_RANGE = 2**64
MAX_LOAD_DEVIATION = 0.5
LOAD_WEIGHTS = {Weighting.AFFINITY: 0.05, Weighting.BALANCE: 0.1}


def flow_hash(flow: bytes, server: KnownBackend) -> int:
    """Hash a flow with a server; all balancers get the same value."""
    return xxhash.xxh3_64_intdigest(flow + server.announced.backend_id.encode())


def utilisation(tables: BalancerTables, server: KnownBackend) -> float:
    """Estimate the fraction of a server's connection limit in use.

    Every other balancer is assumed to have placed as many flows since the
    announcement as this one.
    """
    members = max(len(tables.view.members_by_id), 1)
    connections = server.connections + server.placed_since * members
    return connections / max(server.announced.connection_limit, 1)


def admits_flow(server: KnownBackend, flow: bytes) -> bool:
    """Return whether a flow is within a server's share of new flows."""
    if server.allowance <= 0 or server.open_share <= 0:
        return False
    if server.open_share >= 1:
        return True
    return flow_hash(flow, server) < server.open_share * HASH_RANGE


def accepts_flows(server: KnownBackend) -> bool:
    """Return whether a server may receive flows even beyond its share."""
    return server.allowance > 0 and server.open_share > 0


def choose_server(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the least used server, in a local data centre if possible.

    The data centres of the balancers in the current view are local: that of
    this balancer, or all that the group spans and that are reachable.

    Ties are broken by a hash of the flow, so that balancers with the same
    information choose the same server.
    """
    servers = list(eligible_servers(tables, pool))
    local_servers = [server for server in servers if server.is_local]
    for candidates in (local_servers, servers):
        admitted = [
            server for server in candidates if admits_flow(server, flow)
        ]
        usable = admitted or list(filter(accepts_flows, candidates))
        if usable:
            return least_used(tables, pool, flow, usable)
    return None


def least_used(
    tables: BalancerTables,
    pool: Pool,
    flow: bytes,
    servers: Sequence[KnownBackend],
) -> KnownBackend:
    """Return the server with the lowest utilisation, adjusted by its load.

    The reported load changes the utilisation by a bounded factor, so that a
    server with a false report gains or loses few flows.
    """
    weight = LOAD_WEIGHTS[pool.weighting]
    mean = sum(server.load for server in servers) / len(servers)

    def rank(server: KnownBackend) -> tuple[float, int]:
        deviation = min(
            max(server.load - mean, -MAX_LOAD_DEVIATION), MAX_LOAD_DEVIATION
        )
        used = utilisation(tables, server)
        factor = 1 + weight * deviation + server.shed_penalty
        return used * factor, flow_hash(flow, server)

    return min(servers, key=rank)
