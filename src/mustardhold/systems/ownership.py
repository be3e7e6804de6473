"""Owners of buckets, in the view in force."""

import math

from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.tables.balancer import BalancerTables


def owners_of_flow(tables: BalancerTables, flow: bytes) -> tuple[str, ...]:
    """Find the owners of a flow's bucket in the view in force."""
    return owners_of_bucket(tables, bucket_of(flow))


def owners_of_bucket(tables: BalancerTables, bucket: int) -> tuple[str, ...]:
    """Find the owners of a bucket in the view in force."""
    owners = tables.owners_by_bucket.get(bucket)
    if owners is None:
        owners = select_owners(bucket, tables.view.members_by_id)
        tables.owners_by_bucket[bucket] = owners
    return owners


def is_lease_live(tables: BalancerTables, now: float) -> bool:
    """Tell whether this balancer may act as an owner.

    It may not after its lease has run out, nor once a message has shown that
    a newer view than its own is in force.
    """
    if now >= tables.lease_until:
        return False
    membership = tables.membership
    return membership is None or membership.fence_epoch <= tables.view.epoch


def awaits_first_lease(tables: BalancerTables) -> bool:
    """Tell whether the view names this balancer, whose lease is on its way.

    What comes meanwhile may wait: the others act under this view already.
    """
    if tables.stopping or tables.lease_until > -math.inf:
        return False
    return tables.instance_id in tables.view.members_by_id


def newest_epoch(tables: BalancerTables) -> int:
    """Find the highest epoch of a view that this balancer has seen."""
    membership = tables.membership
    fence = membership.fence_epoch if membership else 0
    return max(fence, tables.view.epoch)


def raise_fence(tables: BalancerTables, epoch: int) -> bool:
    """Stop acting on a view that is older than one a message has shown.

    Returns
    -------
    bool
        Whether the view in force is older.
    """
    membership = tables.membership
    if membership is None or epoch <= tables.view.epoch:
        return False
    if epoch > membership.fence_epoch:
        membership.fence_epoch = epoch
        for lease_group in membership.lease_groups:
            lease_group.next_renewal_at = 0
    return True
