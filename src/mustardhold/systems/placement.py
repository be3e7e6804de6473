"""Plans which buckets are settled, and where.

The coordinator of the group calls this. A bucket goes from settled to moving,
then its openings may go elsewhere; back the same way. Each step but the first
waits until every member with a live lease has the version before in force, so
that two balancers are never more than one step apart.
"""

from collections import Counter
from collections.abc import Mapping

import msgspec

from mustardhold.systems.bucket_assignment import assign_bases, replace_bases
from mustardhold.systems.handover import missing_members
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import owners_of_bucket
from mustardhold.systems.placement_criteria import (
    PoolState,
    buckets_to_move,
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

PLAN_SECONDS = 3.0
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
        Version that every member with a live lease has in force. The reports
        of a member have to be those of its latest acknowledgement or later.

    Returns
    -------
    PlacementSet
        The placements in force, or a newer version.
    """
    in_force = tables.placements
    if now < tables.next_plan_at and not is_urgent(tables):
        return in_force
    acknowledged = acknowledged_version >= in_force.version
    planned = {}
    for name, pool in tables.routing.pools_by_name.items():
        placement = in_force.placements_by_pool.get(name)
        if placement is None:
            placement = first_placement(tables, now, pool)
        elif acknowledged:
            placement = next_placement(tables, pool, placement)
        else:
            placement = prepare_more(tables, pool, placement)
        if placement is not None:
            planned[name] = placement
    if planned == in_force.placements_by_pool:
        return in_force
    tables.next_plan_at = now + PLAN_SECONDS
    return msgspec.structs.replace(
        in_force,
        version=next_placement_version(tables),
        placements_by_pool=planned,
    )


def is_urgent(tables: BalancerTables) -> bool:
    """Tell whether a bucket's openings have no server to go to."""
    pools = tables.routing.pools_by_name
    for name, placement in tables.placements.placements_by_pool.items():
        pool = pools.get(name)
        if pool is None:
            continue
        usable = {
            known.announced.backend_id for known in usable_servers(tables, pool)
        }
        stuck = set(placement.assigned_servers) - usable
        if stuck and any(
            base in stuck and bucket not in placement.may_open_elsewhere
            for bucket, base in enumerate(placement.assigned_servers)
        ):
            return True
    return False


def first_placement(
    tables: BalancerTables, now: float, pool: Pool
) -> Placement | None:
    """Choose bases once the servers of a pool had the time to announce.

    A pool that weighs balance first needs none: its buckets always move.
    """
    servers = usable_servers(tables, pool)
    if pool.weighting is Weighting.BALANCE or not servers:
        return None
    latest = max(known.known_since for known in servers)
    if now - latest < ANNOUNCEMENT_LIFETIME.total_seconds():
        return None
    limits = pool_state(tables, servers).limit_by_id
    return Placement(pool.name, assign_bases(limits), ALL_BUCKETS, ALL_BUCKETS)


def prepare_more(
    tables: BalancerTables, pool: Pool, placement: Placement
) -> Placement:
    """Let more buckets move; this is safe at any version."""
    state = pool_state(tables, usable_servers(tables, pool))
    wanted = buckets_to_move(pool, placement, state)
    return msgspec.structs.replace(placement, moving=placement.moving | wanted)


def next_placement(
    tables: BalancerTables, pool: Pool, placement: Placement
) -> Placement:
    """Take each bucket one step further."""
    state = pool_state(tables, usable_servers(tables, pool))
    wanted = buckets_to_move(pool, placement, state)
    elsewhere = elsewhere_by_bucket(tables, pool.name)
    settled = {
        bucket
        for bucket in placement.moving
        if bucket not in wanted
        and bucket not in placement.may_open_elsewhere
        and elsewhere.get(bucket) == 0
    }
    return Placement(
        pool.name,
        bases_after(tables, placement, state, wanted),
        (placement.moving | wanted) - settled,
        # Those which are not moving yet are only prepared.
        placement.moving & wanted,
    )


def bases_after(
    tables: BalancerTables,
    placement: Placement,
    state: PoolState,
    wanted: frozenset[int],
) -> tuple[str, ...]:
    """Replace the bases that hold no flow any more."""
    free = wanted & placement.may_open_elsewhere
    empty = {
        bucket
        for bucket in sorted(free)
        if is_empty(tables, placement.assigned_servers[bucket])
        and placement.assigned_servers[bucket] not in state.limit_by_id
    }
    if not empty or not state.limit_by_id:
        return placement.assigned_servers
    return replace_bases(
        placement.assigned_servers, sorted(empty), state.limit_by_id
    )


def is_empty(tables: BalancerTables, backend_id: str) -> bool:
    """Tell whether a server is gone, or holds no flow."""
    known = tables.backends_by_id.get(backend_id)
    if known is None or known.is_unresponsive:
        return known is None
    return known.connections == 0 and known.placed_since == 0


def elsewhere_by_bucket(tables: BalancerTables, pool: str) -> Mapping[int, int]:
    """Collect what the primary owners of moving buckets report."""
    own = {tables.instance_id: report_settleable_buckets(tables)}
    return {
        report.bucket: report.elsewhere
        for member, reports in {**tables.reports_by_member, **own}.items()
        for report in reports
        if report.pool == pool
        and owners_of_bucket(tables, report.bucket)[0] == member
    }


def report_settleable_buckets(
    tables: BalancerTables,
) -> tuple[BucketReport, ...]:
    """Report which buckets that this balancer owns first may settle.

    Those with flows elsewhere, or whose records are not all here yet, are
    left out: they may not settle.
    """
    returning = {
        (name, bucket)
        for name, placement in tables.placements.placements_by_pool.items()
        for bucket in placement.moving - placement.may_open_elsewhere
        if owners_of_bucket(tables, bucket)[0] == tables.instance_id
    }
    if not returning:
        return ()
    elsewhere = count_elsewhere(tables)
    return tuple(
        BucketReport(name, bucket, 0)
        for name, bucket in sorted(returning)
        if not elsewhere[name, bucket] and not missing_members(tables, bucket)
    )


def count_elsewhere(tables: BalancerTables) -> Counter[tuple[str, int]]:
    """Count the recorded flows that are not at the base of their bucket."""
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
