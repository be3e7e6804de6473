"""Plans which buckets are settled, and at which server.

Packets of a settled bucket go straight to its assigned server; those of a
moving bucket go through its owners. The coordinator of the group plans the
steps: a settled bucket becomes moving, then its openings may go to other
servers. It settles again by the same steps in reverse. Each step but the first
waits until every member with a live lease has installed the previous version,
so that two balancers are never more than one step apart.
"""

from collections import Counter
from collections.abc import Mapping

import msgspec

from mustardhold.systems.bucket_assignment import (
    assign_buckets,
    reassign_buckets,
)
from mustardhold.systems.handover import pending_senders
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import owners_of_bucket
from mustardhold.systems.placement_criteria import (
    PoolState,
    buckets_to_move,
    buckets_to_record,
    pool_state,
    usable_servers,
)
from mustardhold.systems.placement_versions import next_placement_version
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import ANNOUNCEMENT_LIFETIME, BUCKETS_PER_POOL
from mustardhold.tables.placement import (
    BucketReport,
    Placement,
    PlacementSet,
)
from mustardhold.tables.routing import Pool, Weighting

PLAN_INTERVAL_SECONDS = 3.0
ALL_BUCKETS = frozenset(range(BUCKETS_PER_POOL))


def plan_placements(
    tables: BalancerTables,
    now: float,
    acknowledged_version: int,
) -> PlacementSet:
    """Plan the next placements, as coordinator of the group.

    Parameters
    ----------
    acknowledged_version
        Version that every member with a live lease has installed. A member's
        reports must not be older than its latest acknowledgement.

    Returns
    -------
    PlacementSet
        The current placements, or a newer version.
    """
    current = tables.placements
    if now < tables.next_plan_at and not has_stranded_bucket(tables):
        return current
    acknowledged = acknowledged_version >= current.version
    planned = {}
    for name, pool in tables.routing.pools_by_name.items():
        placement = current.placements_by_pool.get(name)
        if placement is None:
            placement = initial_placement(tables, now, pool)
        elif acknowledged:
            placement = advance_placement(tables, pool, placement)
        else:
            placement = start_moving(tables, pool, placement)
        if placement is not None:
            planned[name] = placement
    if planned == current.placements_by_pool:
        return current
    tables.next_plan_at = now + PLAN_INTERVAL_SECONDS
    return msgspec.structs.replace(
        current,
        version=next_placement_version(tables),
        placements_by_pool=planned,
    )


def has_stranded_bucket(tables: BalancerTables) -> bool:
    """Return whether the openings of a bucket have no usable server."""
    pools = tables.routing.pools_by_name
    for name, placement in tables.placements.placements_by_pool.items():
        pool = pools.get(name)
        if pool is None:
            continue
        usable = {
            server.announced.backend_id
            for server in usable_servers(tables, pool)
        }
        unusable = set(placement.assigned_servers) - usable
        if unusable and any(
            server_id in unusable and bucket not in placement.may_open_elsewhere
            for bucket, server_id in enumerate(placement.assigned_servers)
        ):
            return True
    return False


def initial_placement(
    tables: BalancerTables, now: float, pool: Pool
) -> Placement | None:
    """Assign buckets once a pool's servers have had time to announce.

    A pool with ``Weighting.BALANCE`` needs no assignment, since its buckets
    always move.
    """
    servers = usable_servers(tables, pool)
    if pool.weighting is Weighting.BALANCE or not servers:
        return None
    latest = max(server.known_since for server in servers)
    if now - latest < ANNOUNCEMENT_LIFETIME.total_seconds():
        return None
    limits = pool_state(tables, servers).limit_by_id
    return Placement(
        pool.name, assign_buckets(limits), ALL_BUCKETS, ALL_BUCKETS
    )


def start_moving(
    tables: BalancerTables, pool: Pool, placement: Placement
) -> Placement:
    """Mark more buckets as moving, which is safe at any version."""
    state = pool_state(tables, usable_servers(tables, pool))
    to_move = buckets_to_move(pool, placement, state)
    to_record = buckets_to_record(placement, state)
    return msgspec.structs.replace(
        placement, moving=placement.moving | to_move | to_record
    )


def advance_placement(
    tables: BalancerTables, pool: Pool, placement: Placement
) -> Placement:
    """Advance each bucket by at most one step between settled and moving."""
    state = pool_state(tables, usable_servers(tables, pool))
    to_move = buckets_to_move(pool, placement, state)
    to_record = buckets_to_record(placement, state)
    flows_elsewhere = flows_elsewhere_by_bucket(tables, pool.name)
    settled = {
        bucket
        for bucket in placement.moving
        if bucket not in to_move
        and bucket not in to_record
        and bucket not in placement.may_open_elsewhere
        and flows_elsewhere.get(bucket) == 0
    }
    return Placement(
        pool.name,
        replace_empty_servers(tables, placement, state, to_move),
        (placement.moving | to_move | to_record) - settled,
        # Buckets that were not moving before may open elsewhere a step later.
        placement.moving & to_move,
    )


def replace_empty_servers(
    tables: BalancerTables,
    placement: Placement,
    state: PoolState,
    to_move: frozenset[int],
) -> tuple[str, ...]:
    """Reassign the buckets of unusable servers that have no flows left."""
    movable = to_move & placement.may_open_elsewhere
    reassignable = {
        bucket
        for bucket in sorted(movable)
        if is_server_empty(tables, placement.assigned_servers[bucket])
        and placement.assigned_servers[bucket] not in state.limit_by_id
    }
    if not reassignable or not state.limit_by_id:
        return placement.assigned_servers
    return reassign_buckets(
        placement.assigned_servers, sorted(reassignable), state.limit_by_id
    )


def is_server_empty(tables: BalancerTables, backend_id: str) -> bool:
    """Return whether a server certainly has no flows.

    An unresponsive server may have some until it is forgotten.
    """
    server = tables.backends_by_id.get(backend_id)
    if server is None or server.is_unresponsive:
        return server is None
    return server.connections == 0 and server.placed_since == 0


def flows_elsewhere_by_bucket(
    tables: BalancerTables, pool: str
) -> Mapping[int, int]:
    """Collect the reports of the primary owners of moving buckets."""
    local_reports = {tables.instance_id: report_settleable_buckets(tables)}
    return {
        report.bucket: report.elsewhere
        for member, reports in {
            **tables.reports_by_member,
            **local_reports,
        }.items()
        for report in reports
        if report.pool == pool
        and owners_of_bucket(tables, report.bucket)[0] == member
    }


def report_settleable_buckets(
    tables: BalancerTables,
) -> tuple[BucketReport, ...]:
    """Report the buckets that may settle, as their primary owner.

    Buckets with flows at other servers, or with records still to arrive, may
    not settle and are left out.
    """
    returning = {
        (name, bucket)
        for name, placement in tables.placements.placements_by_pool.items()
        for bucket in placement.moving - placement.may_open_elsewhere
        if owners_of_bucket(tables, bucket)[0] == tables.instance_id
    }
    if not returning:
        return ()
    flows_elsewhere = count_flows_elsewhere(tables)
    return tuple(
        BucketReport(name, bucket, 0)
        for name, bucket in sorted(returning)
        if not flows_elsewhere[name, bucket]
        and not pending_senders(tables, bucket)
    )


def count_flows_elsewhere(tables: BalancerTables) -> Counter[tuple[str, int]]:
    """Count recorded flows that are not at their bucket's assigned server."""
    counts: Counter[tuple[str, int]] = Counter()
    placements = tables.placements.placements_by_pool
    for flow, record in tables.flows_by_key.items():
        placement = placements.get(record.service)
        bucket = bucket_of(flow)
        if (
            placement
            and placement.assigned_servers[bucket] != record.backend_id
        ):
            counts[record.service, bucket] += 1
    return counts
