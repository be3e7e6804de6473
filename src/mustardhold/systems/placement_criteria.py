"""Selects the buckets of a pool that must leave their assigned server."""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mustardhold.systems.bucket_assignment import fair_counts
from mustardhold.systems.capacity import flows_held_by_group
from mustardhold.systems.routing import eligible_servers
from mustardhold.systems.server_selection import utilisation
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.placement import Placement
from mustardhold.tables.routing import Pool, Weighting

# Shares of a server's connection limit.
NEAR_FULL = 0.85
NO_LONGER_FULL = 0.8
# Multiples of the pool's mean utilisation.
OVERLOAD = 1.06
NO_LONGER_OVERLOAD = 1.02
MIN_FLOWS_PER_SERVER = 50
MIN_FLOWS_ONCE_MOVED = 45
MOVED_PER_EXCESS = 6
# Share of the held flows that a report must include.
MIN_REPORTED_SHARE = 0.9
# Hashing n flows a server deviates from the mean by sqrt(n) (one standard
# deviation). Three of them stay within the limits below for large pools only.
CHANCE_DEVIATIONS = 3
MAX_CHANCE = 0.1
NO_LONGER_CHANCE = 0.09
# Keeps small changes of the number of flows from moving buckets.
SPARE_BUCKETS = 2


@dataclass(frozen=True, slots=True)
class PoolState:
    """Utilisation of one pool, as input for planning its buckets.

    Attributes
    ----------
    utilisation_by_id
        Utilisation of each server that may receive new flows.
    limit_by_id
        Connection limit of each of them.
    mean_utilisation
        Utilisation of all of them together.
    mean_flows
        Mean number of flows of each of them.
    underreporting
        Servers that report fewer flows than the balancers hold on them.
    """

    utilisation_by_id: Mapping[str, float]
    limit_by_id: Mapping[str, int]
    mean_utilisation: float
    mean_flows: float
    underreporting: frozenset[str]


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
    mean_flows = flows / max(len(servers), 1)
    return PoolState(
        utilisation_by_id,
        limit_by_id,
        flows / max(total, 1),
        mean_flows,
        find_underreporting(tables, servers, mean_flows),
    )


def find_underreporting(
    tables: BalancerTables, servers: Sequence[KnownBackend], mean_flows: float
) -> frozenset[str]:
    """Find the servers that report too few flows; none in a small pool."""
    if mean_flows < MIN_FLOWS_PER_SERVER:
        return frozenset()
    return frozenset(
        server.announced.backend_id
        for server in servers
        if is_underreporting(tables, server)
    )


def is_underreporting(tables: BalancerTables, server: KnownBackend) -> bool:
    """Return whether a report falls short of the flows held on a server.

    A report is up to a few announcements older than the count of held flows,
    so a small difference is normal while a pool fills up.
    """
    held = flows_held_by_group(tables, server)
    return server.announced.connections < held * MIN_REPORTED_SHARE


def buckets_to_record(placement: Placement, state: PoolState) -> frozenset[int]:
    """Select the buckets whose flows must be recorded, at least.

    A settled bucket has no records, so only its server's report tells how many
    flows it has. The flows of a server that underreports are counted by their
    records instead.
    """
    return frozenset(
        bucket
        for bucket, server_id in enumerate(placement.assigned_servers)
        if server_id in state.underreporting
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
        required = count_buckets_to_move(server_id, buckets, placement, state)
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
    placement: Placement,
    state: PoolState,
) -> int:
    """Count how many of a server's buckets to move for its utilisation."""
    used = state.utilisation_by_id.get(server_id)
    if used is None:
        return len(buckets)
    moved_count = len(placement.may_open_elsewhere.intersection(buckets))
    all_moved = moved_count == len(buckets)
    full = NO_LONGER_FULL if all_moved else NEAR_FULL
    if used >= full:
        return len(buckets)
    min_flows = MIN_FLOWS_ONCE_MOVED if moved_count else MIN_FLOWS_PER_SERVER
    if state.mean_flows < min_flows:
        return 0
    moving_count = len(placement.moving.intersection(buckets))
    least = count_for_chance(
        state.mean_flows, len(buckets), (moving_count, moved_count)
    )
    excess = used / state.mean_utilisation
    if excess <= NO_LONGER_OVERLOAD:
        return least
    if excess < OVERLOAD:
        return max(least, moved_count)
    needed = int((excess - 1) * MOVED_PER_EXCESS * len(buckets)) + 1
    return min(max(needed, least, moved_count), len(buckets))


def count_for_chance(
    mean_flows: float, assigned_count: int, current_counts: tuple[int, ...]
) -> int:
    """Count how many buckets to move to compensate for an uneven hash.

    With few flows a server, their numbers differ by chance faster than the
    steps of a placement correct it. The moved share of the openings equals the
    deviation that it has to compensate for.

    Parameters
    ----------
    current_counts
        Numbers of buckets that are moving, and that may open elsewhere; the
        first of them that is close to the number needed is kept.
    """
    chance = CHANCE_DEVIATIONS / math.sqrt(mean_flows)
    limit = NO_LONGER_CHANCE if any(current_counts) else MAX_CHANCE
    if chance <= limit:
        return 0
    needed = math.ceil(chance * assigned_count)
    for count in current_counts:
        if needed <= count <= needed + SPARE_BUCKETS:
            return count
    return min(needed, assigned_count)
