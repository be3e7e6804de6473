"""Tracks for which buckets this balancer has a complete request history."""

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
    """Update the history of owned buckets for the current view.

    No request can have been forwarded between two views with consecutive
    epochs. If epochs are missing and the lease has expired, this balancer may
    have missed a view, so its earlier history is dropped.
    """
    history = tables.requests.history
    epoch = tables.view.epoch
    if history.epoch != epoch:
        is_first = not history.epoch and epoch <= FOUNDING_EPOCH
        is_founding = is_first and not is_of_earlier_start(tables)
        is_next = history.epoch is not None and epoch == history.epoch + 1
        is_continuous = is_next or now < history.lease_until
        if history.epoch == NO_EPOCH or not is_continuous:
            history.spans_by_bucket.clear()
            history.primary_since_by_bucket.clear()
        for bucket in range(BUCKETS_PER_POOL):
            update_bucket_history(tables, now, bucket, is_founding=is_founding)
        history.epoch = epoch
    history.lease_until = tables.lease_until


def is_of_earlier_start(tables: BalancerTables) -> bool:
    """Return whether the view names an earlier start of this balancer.

    The requests that it forwarded in that view are not known any more.
    """
    membership = tables.membership
    named = tables.view.incarnations_by_id.get(tables.instance_id)
    if membership is None or named is None:
        return False
    return named != membership.incarnation


def update_bucket_history(
    tables: BalancerTables, now: float, bucket: int, *, is_founding: bool
) -> None:
    """Begin or end the span of owning a bucket, by the current view."""
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
        # What an earlier start forwarded in this view is not known here.
        since_epoch = tables.view.epoch + is_of_earlier_start(tables)
        history.spans_by_bucket[bucket] = OwnerSpan(
            now, since_epoch, is_complete=is_founding
        )
    if owners[0] != name:
        history.primary_since_by_bucket.pop(bucket, None)
        return
    since = now
    if is_founding:
        since -= REQUEST_RECORD_LIFETIME.total_seconds()
    history.primary_since_by_bucket.setdefault(bucket, since)


def is_span_complete(span: OwnerSpan, now: float) -> bool:
    """Return whether every request within its record lifetime is known."""
    lifetime = REQUEST_RECORD_LIFETIME.total_seconds()
    return span.is_complete or now - span.since >= lifetime


def has_complete_history(
    tables: BalancerTables, now: float, flow: bytes
) -> bool:
    """Return whether every earlier request of a flow's bucket is known here."""
    span = tables.requests.history.spans_by_bucket.get(bucket_of(flow))
    if span is None or span.until_epoch is not None:
        return False
    return is_span_complete(span, now)


def is_primary_history_complete(
    tables: BalancerTables, now: float, flow: bytes
) -> bool:
    """Return whether every earlier idempotent request of a bucket is known.

    Only the primary owner records idempotent requests, so this balancer must
    have been the primary owner for the lifetime of a record, or since the
    first view.
    """
    since = tables.requests.history.primary_since_by_bucket.get(
        bucket_of(flow), now
    )
    return now - since >= REQUEST_RECORD_LIFETIME.total_seconds()
