"""Transfers the keys of earlier requests to new owners of a bucket.

A new owner queries the members in turn. A member replies if it knows every
request of the bucket from before the view in which the new owner became one.
Its reply holds all of them and completes the new owner's history.
"""

import struct
from collections.abc import Iterator

from mustardhold.systems.ownership import is_lease_live
from mustardhold.systems.request_history import (
    is_span_complete,
    update_owner_history,
)
from mustardhold.systems.request_records import add_timer, expires_at
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_REQUEST_RECORDS
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.request_messages import (
    RequestHistoryPage,
    RequestHistoryQuery,
)
from mustardhold.tables.requests import OwnerSpan, TimerKind

BUCKETS_PER_QUERY = 32
ENTRIES_PER_PAGE = 100
# Key of the request, and hundredths of a second until it expires.
ENTRY = struct.Struct('!8sH')
STEPS_PER_SECOND = 100
# No view has this epoch, so a record with it stops every chain.
HANDED_OVER_EPOCH = -1


def query_request_history(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Query a member for the earlier requests of a few new buckets per tick."""
    if not is_lease_live(tables, now):
        return
    spans = tables.requests.history.spans_by_bucket
    incomplete = [
        (bucket, span.since_epoch)
        for bucket, span in spans.items()
        if span.until_epoch is None and not is_span_complete(span, now)
    ]
    if not incomplete:
        return
    others = sorted(set(tables.view.members_by_id) - {tables.instance_id})
    tables.requests.history_queries += 1
    start = (
        tables.requests.history_queries * BUCKETS_PER_QUERY % len(incomplete)
    )
    queried = (incomplete[start:] + incomplete[:start])[:BUCKETS_PER_QUERY]
    message = RequestHistoryQuery(
        tables.instance_id, tables.view.epoch, tuple(queried)
    )
    if others:
        member = others[tables.requests.history_queries % len(others)]
        outbox.append(ToPeer(member, message))


def handle_history_query(
    tables: BalancerTables,
    now: float,
    message: RequestHistoryQuery,
    outbox: Outbox,
) -> None:
    """Reply for the buckets whose earlier requests are all known here."""
    update_owner_history(tables, now)
    if message.epoch != tables.view.epoch:
        return
    for bucket, since_epoch in message.buckets:
        span = tables.requests.history.spans_by_bucket.get(bucket)
        if span is None or not covers_earlier_views(span, since_epoch, now):
            continue
        for page in make_history_pages(tables, now, bucket, since_epoch):
            outbox.append(ToPeer(message.sender_id, page))


def covers_earlier_views(span: OwnerSpan, since_epoch: int, now: float) -> bool:
    """Return whether a span includes all requests from before a view."""
    if not is_span_complete(span, now):
        return False
    return span.until_epoch is None or span.until_epoch >= since_epoch


def make_history_pages(
    tables: BalancerTables, now: float, bucket: int, since_epoch: int
) -> Iterator[RequestHistoryPage]:
    """Yield the known requests of a bucket in pages, at least one."""
    entries = [
        ENTRY.pack(key, int((until - now) * STEPS_PER_SECOND))
        for key, until in earlier_requests(tables, bucket, since_epoch)
        if until > now
    ]
    starts = range(0, max(len(entries), 1), ENTRIES_PER_PAGE)
    for number, start in enumerate(starts):
        page = b''.join(entries[start : start + ENTRIES_PER_PAGE])
        yield RequestHistoryPage(
            tables.instance_id,
            tables.view.epoch,
            bucket,
            number,
            len(starts),
            page,
        )


def earlier_requests(
    tables: BalancerTables, bucket: int, since_epoch: int
) -> Iterator[tuple[bytes, float]]:
    """Yield the keys of requests from before a view, and when they expire."""
    requests = tables.requests
    for key in requests.non_idempotent_by_bucket.get(bucket, ()):
        record = requests.records_by_key[key]
        if record.epoch < since_epoch:
            yield key, expires_at(record)
    for key, until in requests.handed_over_by_bucket.get(bucket, {}).items():
        yield key, until


def handle_history_page(
    tables: BalancerTables, now: float, message: RequestHistoryPage
) -> None:
    """Store a page of the earlier requests of a newly owned bucket."""
    update_owner_history(tables, now)
    span = tables.requests.history.spans_by_bucket.get(message.bucket)
    if message.epoch != tables.view.epoch or span is None:
        return
    if span.until_epoch is not None or is_span_complete(span, now):
        return
    if not store_entries(tables, now, message):
        return
    pages = span.pages_by_sender.setdefault(message.sender_id, set())
    pages.add(message.page)
    if len(pages) == message.pages:
        span.is_complete = True
        span.pages_by_sender.clear()


def store_entries(
    tables: BalancerTables, now: float, message: RequestHistoryPage
) -> bool:
    """Store the entries of a page and stop their requests in progress here.

    Returns
    -------
    bool
        Whether there was space for the entries.
    """
    requests = tables.requests
    expiry_by_key = requests.handed_over_by_bucket.setdefault(
        message.bucket, {}
    )
    total = sum(len(keys) for keys in requests.handed_over_by_bucket.values())
    size = len(message.entries) // ENTRY.size
    if total + size > MAX_REQUEST_RECORDS:
        tables.counters['', 'request-handover-full'] += 1
        return False
    for key, hundredths in ENTRY.iter_unpack(
        message.entries[: size * ENTRY.size]
    ):
        if key not in expiry_by_key:
            expiry_by_key[key] = now + (hundredths + 1) / STEPS_PER_SECOND
            add_timer(tables, expiry_by_key[key], key, TimerKind.FORGET)
        record = requests.records_by_key.get(key)
        if record is not None:
            record.epoch = HANDED_OVER_EPOCH
    return True
