"""Owners of buckets, in the view in force."""

from mustardhold.systems.hashing import bucket_of, owners_of
from mustardhold.tables.balancer import BalancerTables


def owners_for(tables: BalancerTables, flow: bytes) -> tuple[str, ...]:
    """Find the owners of a flow's bucket in the view in force."""
    return owners_of_bucket(tables, bucket_of(flow))


def owners_of_bucket(tables: BalancerTables, bucket: int) -> tuple[str, ...]:
    """Find the owners of a bucket in the view in force."""
    owners = tables.owners_by_bucket.get(bucket)
    if owners is None:
        owners = owners_of(bucket, tables.view.members_by_id)
        tables.owners_by_bucket[bucket] = owners
    return owners


def is_lease_live(tables: BalancerTables, now: float) -> bool:
    """Tell whether this balancer may act as an owner."""
    return now < tables.lease_until
