"""Which buckets' earlier requests this balancer knows without a gap."""

import math

from mustardhold.systems.hashing import bucket_of, owners_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    BUCKETS_PER_POOL,
    REQUEST_RECORD_LIFETIME,
)

FIRST_EPOCH = 1


def note_view(tables: BalancerTables, now: float) -> None:
    """Take a change of the view into the history of owned buckets.

    A balancer whose lease ran out before the change may have missed views in
    between, so what it knew before counts no longer.
    """
    history = tables.requests.history
    if history.epoch == tables.view.epoch:
        history.lease_until = tables.lease_until
        return
    since = now
    if history.epoch is None and tables.view.epoch <= FIRST_EPOCH:
        since = -math.inf
    is_continuous = history.epoch is not None and now < history.lease_until
    members = tables.view.members_by_id
    before = history.owners_by_bucket if is_continuous else {}
    after = {
        bucket: owners_of(bucket, members) for bucket in range(BUCKETS_PER_POOL)
    }
    name = tables.instance_id
    history.owner_since = {
        bucket: kept_since(history.owner_since, before, bucket, name, since)
        for bucket, owners in after.items()
        if name in owners
    }
    primaries = {bucket: owners[:1] for bucket, owners in before.items()}
    history.primary_since = {
        bucket: kept_since(
            history.primary_since, primaries, bucket, name, since
        )
        for bucket, owners in after.items()
        if name == owners[0]
    }
    history.owners_by_bucket = after
    history.epoch = tables.view.epoch
    history.lease_until = tables.lease_until


def kept_since(
    since: dict[int, float],
    owners_before: dict[int, tuple[str, ...]],
    bucket: int,
    name: str,
    now: float,
) -> float:
    """Find since when a bucket was owned, from now on if it was not."""
    if name in owners_before.get(bucket, ()):
        return since.get(bucket, now)
    return now


def is_complete(tables: BalancerTables, now: float, flow: bytes) -> bool:
    """Tell whether no request of the flow's bucket can be unknown here."""
    since = tables.requests.history.owner_since.get(bucket_of(flow), now)
    return now - since >= REQUEST_RECORD_LIFETIME.total_seconds()


def is_complete_primary(
    tables: BalancerTables, now: float, flow: bytes
) -> bool:
    """Tell whether no idempotent request can be unknown here either.

    These are recorded by the primary owner alone.
    """
    since = tables.requests.history.primary_since.get(bucket_of(flow), now)
    return now - since >= REQUEST_RECORD_LIFETIME.total_seconds()
