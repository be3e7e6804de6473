"""Choice of a backend server for a new flow."""

from collections.abc import Sequence

import xxhash

from mustardhold.systems.routing import eligible_servers
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.routing import Pool, Weighting

HASH_RANGE = 2**64
MAX_LOAD_GAP = 0.5
LOAD_WEIGHTS = {Weighting.AFFINITY: 0.05, Weighting.BALANCE: 0.1}


def flow_hash(flow: bytes, known: KnownBackend) -> int:
    """Hash a flow and a server, so that balancers choose alike."""
    return xxhash.xxh3_64_intdigest(flow + known.announced.backend_id.encode())


def utilisation(tables: BalancerTables, known: KnownBackend) -> float:
    """Estimate the share of a server's connections in use.

    The other balancers are taken to have placed as many flows since the
    announcement as this one has.
    """
    members = max(len(tables.view.members_by_id), 1)
    connections = known.connections + known.placed_since * members
    return connections / max(known.announced.connection_limit, 1)


def admits_flow(known: KnownBackend, flow: bytes) -> bool:
    """Tell whether a server may take a flow."""
    if known.allowance <= 0 or known.open_share <= 0:
        return False
    if known.open_share >= 1:
        return True
    return flow_hash(flow, known) < known.open_share * HASH_RANGE


def accepts_flows(known: KnownBackend) -> bool:
    """Tell whether a server may take a flow if no other can."""
    return known.allowance > 0 and known.open_share > 0


def choose_server(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the least used server, in a near data centre where one has room.

    Near are the data centres of the balancers in the view in force: the own
    one, or all that a group spans and that can be reached.

    Ties are broken by a hash of the flow, so that balancers which know the
    same choose the same.
    """
    servers = list(eligible_servers(tables, pool))
    near = [known for known in servers if known.is_local]
    for candidates in (near, servers):
        admitted = [known for known in candidates if admits_flow(known, flow)]
        able = admitted or list(filter(accepts_flows, candidates))
        if able:
            return least_used(tables, pool, flow, able)
    return None


def least_used(
    tables: BalancerTables,
    pool: Pool,
    flow: bytes,
    servers: Sequence[KnownBackend],
) -> KnownBackend:
    """Find the least used server by connections, then by load.

    A report's load changes the utilisation by a bounded factor, so that a
    server which lies about it gains or loses little.
    """
    weight = LOAD_WEIGHTS[pool.weighting]
    mean = sum(known.load for known in servers) / len(servers)

    def rank(known: KnownBackend) -> tuple[float, int]:
        gap = min(max(known.load - mean, -MAX_LOAD_GAP), MAX_LOAD_GAP)
        used = utilisation(tables, known)
        factor = 1 + weight * gap + known.shed_penalty
        return used * factor, flow_hash(flow, known)

    return min(servers, key=rank)
