"""Updates of placements as differences from a member's version."""

import msgspec

from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.placement import (
    Placement,
    PlacementSet,
    PlacementUpdate,
    PoolUpdate,
)

MOVING = 1
MAY_OPEN_ELSEWHERE = 2
ROW_BYTES = 4
EMPTY_PLACEMENTS = PlacementSet()


def make_update(before: PlacementSet, after: PlacementSet) -> PlacementUpdate:
    """Make the update that turns one version of the placements into another."""
    pools = after.placements_by_pool
    return PlacementUpdate(
        before.version,
        after.version,
        tuple(
            make_pool_update(before.placements_by_pool.get(name), placement)
            for name, placement in pools.items()
            if before.placements_by_pool.get(name) != placement
        ),
        tuple(name for name in before.placements_by_pool if name not in pools),
        None if after.bindings == before.bindings else after.bindings,
    )


def pack_flags(placement: Placement, bucket: int) -> int:
    """Pack the state of a bucket into flags."""
    flags = MOVING if bucket in placement.moving else 0
    if bucket in placement.may_open_elsewhere:
        flags |= MAY_OPEN_ELSEWHERE
    return flags


def make_pool_update(before: Placement | None, after: Placement) -> PoolUpdate:
    """Make the update of one pool, with the buckets that changed."""
    changed = [
        bucket
        for bucket in range(BUCKETS_PER_POOL)
        if before is None
        or before.assigned_servers[bucket] != after.assigned_servers[bucket]
        or pack_flags(before, bucket) != pack_flags(after, bucket)
    ]
    names = tuple(
        sorted({after.assigned_servers[bucket] for bucket in changed})
    )
    number_by_name = {name: number for number, name in enumerate(names)}
    rows = bytearray()
    for bucket in changed:
        number = number_by_name[after.assigned_servers[bucket]]
        rows.append(bucket)
        rows.extend(number.to_bytes(2))
        rows.append(pack_flags(after, bucket))
    return PoolUpdate(after.pool, names, bytes(rows))


def apply_update(
    before: PlacementSet, update: PlacementUpdate
) -> PlacementSet | None:
    """Apply an update; return None if it is for another version."""
    if update.since_version == EMPTY_PLACEMENTS.version:
        before = EMPTY_PLACEMENTS
    if update.since_version != before.version:
        return None
    pools = dict(before.placements_by_pool)
    for name in update.removed:
        pools.pop(name, None)
    for changed in update.pools:
        pools[changed.pool] = apply_pool_update(
            pools.get(changed.pool), changed
        )
    return PlacementSet(
        update.version,
        pools,
        before.bindings if update.bindings is None else update.bindings,
    )


def apply_pool_update(
    before: Placement | None, update: PoolUpdate
) -> Placement:
    """Apply the changed buckets of one pool."""
    empty = Placement(
        update.pool, ('',) * BUCKETS_PER_POOL, frozenset(), frozenset()
    )
    placement = empty if before is None else before
    assigned_servers = list(placement.assigned_servers)
    moving = set(placement.moving)
    opening_elsewhere = set(placement.may_open_elsewhere)
    for start in range(0, len(update.rows), ROW_BYTES):
        bucket, high, low, flags = update.rows[start : start + ROW_BYTES]
        assigned_servers[bucket] = update.names[int.from_bytes((high, low))]
        add_or_discard(moving, bucket, is_in=bool(flags & MOVING))
        add_or_discard(
            opening_elsewhere, bucket, is_in=bool(flags & MAY_OPEN_ELSEWHERE)
        )
    return msgspec.structs.replace(
        placement,
        assigned_servers=tuple(assigned_servers),
        moving=frozenset(moving),
        may_open_elsewhere=frozenset(opening_elsewhere),
    )


def add_or_discard(buckets: set[int], bucket: int, *, is_in: bool) -> None:
    """Add a bucket to a set or remove it."""
    if is_in:
        buckets.add(bucket)
    else:
        buckets.discard(bucket)
