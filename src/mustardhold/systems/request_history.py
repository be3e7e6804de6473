"""Which buckets' earlier requests this balancer knows without a gap."""

from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    BUCKETS_PER_POOL,
    REQUEST_RECORD_LIFETIME,
)
from mustardhold.tables.requests import OwnerSpan

NO_EPOCH = 0
FOUNDING_EPOCH = 1


def update_owner_history(tables: BalancerTables, now: float) -> None:
    """Take a change of the view into the history of owned buckets.

    No request can have been forwarded between two views whose epochs follow
    each other. Where epochs are missing, a balancer whose lease had run out
    may have missed a view, so what it knew before counts no longer.
    """
    history = tables.requests.history
    epoch = tables.view.epoch
    if history.epoch != epoch:
        is_founding = not history.epoch and epoch <= FOUNDING_EPOCH
        is_next = history.epoch is not None and epoch == history.epoch + 1
        is_continuous = is_next or now < history.lease_until
        if history.epoch == NO_EPOCH or not is_continuous:
            history.spans_by_bucket.clear()
            history.primary_since_by_bucket.clear()
        for bucket in range(BUCKETS_PER_POOL):
            note_owners(tables, now, bucket, is_founding=is_founding)
        history.epoch = epoch
    history.lease_until = tables.lease_until


def note_owners(
    tables: BalancerTables, now: float, bucket: int, *, is_founding: bool
) -> None:
    """Begin or end a span as owner of a bucket, as the view in force says."""
    history = tables.requests.history
    name = tables.instance_id
    owners = select_owners(bucket, tables.view.members_by_id)
    span = history.spans_by_bucket.get(bucket)
    if name not in owners:
        if span is not None and span.until_epoch is None:
            span.until_epoch = tables.view.epoch
        history.primary_since_by_bucket.pop(bucket, None)
        return
    if span is None or span.until_epoch is not None:
        history.spans_by_bucket[bucket] = OwnerSpan(
            now, tables.view.epoch, is_complete=is_founding
        )
    if owners[0] != name:
        history.primary_since_by_bucket.pop(bucket, None)
        return
    since = now
    if is_founding:
        since -= REQUEST_RECORD_LIFETIME.total_seconds()
    history.primary_since_by_bucket.setdefault(bucket, since)


def is_span_complete(span: OwnerSpan, now: float) -> bool:
    """Tell whether every request that still counts is known."""
    lifetime = REQUEST_RECORD_LIFETIME.total_seconds()
    return span.is_complete or now - span.since >= lifetime


def is_complete(tables: BalancerTables, now: float, flow: bytes) -> bool:
    """Tell whether no request of the flow's bucket can be unknown here."""
    span = tables.requests.history.spans_by_bucket.get(bucket_of(flow))
    if span is None or span.until_epoch is not None:
        return False
    return is_span_complete(span, now)


def is_complete_primary(
    tables: BalancerTables, now: float, flow: bytes
) -> bool:
    """Tell whether no idempotent request can be unknown here either.

    These are recorded by the primary owner alone.
    """
    since = tables.requests.history.primary_since_by_bucket.get(
        bucket_of(flow), now
    )
    return now - since >= REQUEST_RECORD_LIFETIME.total_seconds()
