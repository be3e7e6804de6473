"""Selects the buckets of a pool that must leave their assigned server."""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from mustardhold.systems.bucket_assignment import fair_counts
from mustardhold.systems.routing import eligible_servers
from mustardhold.systems.server_selection import utilisation
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.placement import Placement
from mustardhold.tables.routing import Pool, Weighting

NEAR_FULL = 0.85
NO_LONGER_FULL = 0.8
OVERLOAD = 1.06
NO_LONGER_OVERLOAD = 1.02
MIN_FLOWS_PER_SERVER = 50
MOVED_PER_EXCESS = 6


@dataclass(frozen=True, slots=True)
class PoolState:
    """Utilisation of one pool, as input for planning its buckets.

    Attributes
    ----------
    utilisation_by_id
        Utilisation of each server that may receive new flows.
    mean_utilisation
        Utilisation of all of them together.
    """

    utilisation_by_id: Mapping[str, float]
    limit_by_id: Mapping[str, int]
    mean_utilisation: float
    mean_flows: float


def usable_servers(tables: BalancerTables, pool: Pool) -> list[KnownBackend]:
    """List the servers that may receive new flows, ordered by id.

    Remote servers are left out while there is a local one.
    """
    usable = [
        server
        for server in eligible_servers(tables, pool)
        if server.open_share > 0
    ]
    local_servers = [server for server in usable if server.is_local]
    return sorted(
        local_servers or usable, key=lambda server: server.announced.backend_id
    )


def pool_state(
    tables: BalancerTables, servers: Sequence[KnownBackend]
) -> PoolState:
    """Compute the utilisation of servers that may receive new flows."""
    utilisation_by_id = {}
    limit_by_id = {}
    for server in servers:
        backend_id = server.announced.backend_id
        utilisation_by_id[backend_id] = utilisation(tables, server)
        limit_by_id[backend_id] = server.announced.connection_limit
    flows = sum(
        utilisation_by_id[backend_id] * limit
        for backend_id, limit in limit_by_id.items()
    )
    total = sum(limit_by_id.values())
    return PoolState(
        utilisation_by_id,
        limit_by_id,
        flows / max(total, 1),
        flows / max(len(servers), 1),
    )


def buckets_to_move(
    pool: Pool, placement: Placement, state: PoolState
) -> frozenset[int]:
    """Select the buckets whose openings should go where capacity is free."""
    if pool.weighting is Weighting.BALANCE:
        return frozenset(range(BUCKETS_PER_POOL))
    buckets_by_server = defaultdict(list)
    for bucket, server_id in enumerate(placement.assigned_servers):
        buckets_by_server[server_id].append(bucket)
    fair_share = fair_counts(state.limit_by_id) if state.limit_by_id else {}
    selected: set[int] = set()
    for server_id, assigned in buckets_by_server.items():
        buckets = order_moving_first(placement, assigned)
        surplus = len(buckets) - fair_share.get(server_id, 0)
        required = count_buckets_to_move(
            server_id, buckets, placement.may_open_elsewhere, state
        )
        selected.update(buckets[: max(surplus, required)])
    return frozenset(selected)


def order_moving_first(
    placement: Placement, buckets: Sequence[int]
) -> list[int]:
    """Order buckets so that few of them have to start moving."""
    return sorted(
        buckets,
        key=lambda bucket: (
            bucket not in placement.may_open_elsewhere,
            bucket not in placement.moving,
            bucket,
        ),
    )


def count_buckets_to_move(
    server_id: str,
    buckets: Sequence[int],
    may_open_elsewhere: Collection[int],
    state: PoolState,
) -> int:
    """Count how many of a server's buckets to move for its utilisation."""
    used = state.utilisation_by_id.get(server_id)
    if used is None:
        return len(buckets)
    moved_count = sum(bucket in may_open_elsewhere for bucket in buckets)
    all_moved = moved_count == len(buckets)
    full = NO_LONGER_FULL if all_moved else NEAR_FULL
    if used >= full:
        return len(buckets)
    if state.mean_flows < MIN_FLOWS_PER_SERVER:
        return 0
    excess = used / state.mean_utilisation
    if excess <= NO_LONGER_OVERLOAD:
        return 0
    if excess < OVERLOAD:
        return moved_count
    needed = int((excess - 1) * MOVED_PER_EXCESS * len(buckets)) + 1
    return min(max(needed, moved_count), len(buckets))
