"""Why buckets of a pool may not rest at their base server."""

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
    """What a plan goes by, for one pool.

    Attributes
    ----------
    used_by_id
        Utilisation of each server that may take new flows.
    mean_used
        Utilisation of all of them together.
    """

    used_by_id: Mapping[str, float]
    limit_by_id: Mapping[str, int]
    mean_used: float
    mean_flows: float


def usable_servers(tables: BalancerTables, pool: Pool) -> list[KnownBackend]:
    """List the servers that may take new flows, ordered by id.

    Far ones are left out as long as there is a near one.
    """
    usable = [
        known
        for known in eligible_servers(tables, pool)
        if known.open_share > 0
    ]
    near = [known for known in usable if known.is_local]
    return sorted(near or usable, key=lambda known: known.announced.backend_id)


def pool_state(
    tables: BalancerTables, servers: Sequence[KnownBackend]
) -> PoolState:
    """Sum up the servers of a pool that may take new flows."""
    used_by_id = {}
    limit_by_id = {}
    for known in servers:
        backend_id = known.announced.backend_id
        used_by_id[backend_id] = utilisation(tables, known)
        limit_by_id[backend_id] = known.announced.connection_limit
    flows = sum(
        used_by_id[backend_id] * limit
        for backend_id, limit in limit_by_id.items()
    )
    total = sum(limit_by_id.values())
    return PoolState(
        used_by_id,
        limit_by_id,
        flows / max(total, 1),
        flows / max(len(servers), 1),
    )


def buckets_to_move(
    pool: Pool, placement: Placement, state: PoolState
) -> frozenset[int]:
    """Find the buckets whose openings should go where there is room."""
    if pool.weighting is Weighting.BALANCE:
        return frozenset(range(BUCKETS_PER_POOL))
    by_base = defaultdict(list)
    for bucket, base in enumerate(placement.assigned_servers):
        by_base[base].append(bucket)
    fair = fair_counts(state.limit_by_id) if state.limit_by_id else {}
    found: set[int] = set()
    for base, settled_first in by_base.items():
        buckets = moving_first(placement, settled_first)
        surplus = len(buckets) - fair.get(base, 0)
        moved = moved_part(base, buckets, placement.may_open_elsewhere, state)
        found.update(buckets[: max(surplus, moved)])
    return frozenset(found)


def moving_first(placement: Placement, buckets: Sequence[int]) -> list[int]:
    """Order buckets so that few of them have to begin to move."""
    return sorted(
        buckets,
        key=lambda bucket: (
            bucket not in placement.may_open_elsewhere,
            bucket not in placement.moving,
            bucket,
        ),
    )


def moved_part(
    base: str,
    buckets: Sequence[int],
    may_open_elsewhere: Collection[int],
    state: PoolState,
) -> int:
    """Count the buckets of a base to move for its state and load."""
    used = state.used_by_id.get(base)
    if used is None:
        return len(buckets)
    already = sum(bucket in may_open_elsewhere for bucket in buckets)
    all_moved = already == len(buckets)
    full = NO_LONGER_FULL if all_moved else NEAR_FULL
    if used >= full:
        return len(buckets)
    if state.mean_flows < MIN_FLOWS_PER_SERVER:
        return 0
    excess = used / state.mean_used
    if excess <= NO_LONGER_OVERLOAD:
        return 0
    if excess < OVERLOAD:
        return already
    wanted = int((excess - 1) * MOVED_PER_EXCESS * len(buckets)) + 1
    return min(max(wanted, already), len(buckets))
