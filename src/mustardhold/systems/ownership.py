"""Owners of buckets in the current view, and whether they may act."""

import math

from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.tables.balancer import BalancerTables


def owners_of_flow(tables: BalancerTables, flow: bytes) -> tuple[str, ...]:
    """Return the owners of a flow's bucket in the current view."""
    return owners_of_bucket(tables, bucket_of(flow))


def owners_of_bucket(tables: BalancerTables, bucket: int) -> tuple[str, ...]:
    """Return the owners of a bucket in the current view."""
    owners = tables.owners_by_bucket.get(bucket)
    if owners is None:
        owners = select_owners(bucket, tables.view.members_by_id)
        tables.owners_by_bucket[bucket] = owners
    return owners


def is_lease_live(tables: BalancerTables, now: float) -> bool:
    """Return whether this balancer may act as an owner.

    It may not after its lease has expired, nor once a message has shown that
    there is a newer view than its own.
    """
    if now >= tables.lease_until:
        return False
    membership = tables.membership
    return membership is None or membership.fence_epoch <= tables.view.epoch


def awaits_first_lease(tables: BalancerTables) -> bool:
    """Return whether this balancer is a member but has had no lease yet.

    Packets may be held meanwhile: the other members already act under this
    view.
    """
    if tables.is_stopping or tables.lease_until > -math.inf:
        return False
    return tables.instance_id in tables.view.members_by_id


def highest_known_epoch(tables: BalancerTables) -> int:
    """Return the highest view epoch that this balancer knows of."""
    membership = tables.membership
    fence = membership.fence_epoch if membership else 0
    return max(fence, tables.view.epoch)


def is_view_outdated(tables: BalancerTables) -> bool:
    """Return whether a message has shown that there is a newer view."""
    return highest_known_epoch(tables) > tables.view.epoch


def raise_fence(tables: BalancerTables, epoch: int) -> bool:
    """Stop acting on the current view if a message has a newer epoch.

    The lease renewal becomes due immediately, since its reply has the newer
    view.

    Returns
    -------
    bool
        Whether the current view is older.
    """
    membership = tables.membership
    if membership is None or epoch <= tables.view.epoch:
        return False
    if epoch > membership.fence_epoch:
        membership.fence_epoch = epoch
        for lease_group in membership.lease_groups:
            lease_group.next_renewal_at = 0
    return True
