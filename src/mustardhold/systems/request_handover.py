"""Hands the ids of earlier requests to new owners of a bucket.

A new owner asks the members in turn. One that knows every request of the
bucket up to the view by which the asker became an owner answers with all of
them; from then on the asker knows them too.
"""

import struct
from collections.abc import Iterator

from mustardhold.systems.ownership import is_lease_live
from mustardhold.systems.request_history import (
    is_span_complete,
    update_owner_history,
)
from mustardhold.systems.request_records import add_timer, forget_at
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_REQUEST_RECORDS
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.request_messages import (
    RequestHistoryPage,
    RequestHistoryQuery,
)
from mustardhold.tables.requests import OwnerSpan, TimerKind

ASKED_PER_TICK = 32
ENTRIES_PER_PAGE = 100
# Key, and hundredths of a second until it may be forgotten.
ENTRY = struct.Struct('!8sH')
STEPS_PER_SECOND = 100
PASSED_ON = -1


def ask_for_requests(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Ask a member for the earlier requests of new buckets, a few a tick."""
    if not is_lease_live(tables, now):
        return
    spans = tables.requests.history.spans_by_bucket
    wanted = [
        (bucket, span.since_epoch)
        for bucket, span in spans.items()
        if span.until_epoch is None and not is_span_complete(span, now)
    ]
    if not wanted:
        return
    others = sorted(set(tables.view.members_by_id) - {tables.instance_id})
    tables.requests.history_queries += 1
    start = tables.requests.history_queries * ASKED_PER_TICK % len(wanted)
    chosen = (wanted[start:] + wanted[:start])[:ASKED_PER_TICK]
    message = RequestHistoryQuery(
        tables.instance_id, tables.view.epoch, tuple(chosen)
    )
    if others:
        member = others[tables.requests.history_queries % len(others)]
        outbox.append(ToPeer(member, message))


def take_wanted(
    tables: BalancerTables,
    now: float,
    message: RequestHistoryQuery,
    outbox: Outbox,
) -> None:
    """Answer for the buckets whose earlier requests are all known here."""
    update_owner_history(tables, now)
    if message.epoch != tables.view.epoch:
        return
    for bucket, since_epoch in message.buckets:
        span = tables.requests.history.spans_by_bucket.get(bucket)
        if span is None or not covers(span, since_epoch, now):
            continue
        for page in make_pages(tables, now, bucket, since_epoch):
            outbox.append(ToPeer(message.sender_id, page))


def covers(span: OwnerSpan, since_epoch: int, now: float) -> bool:
    """Tell whether a span knows all requests of the views before one."""
    if not is_span_complete(span, now):
        return False
    return span.until_epoch is None or span.until_epoch >= since_epoch


def make_pages(
    tables: BalancerTables, now: float, bucket: int, since_epoch: int
) -> Iterator[RequestHistoryPage]:
    """Yield the known requests of a bucket in pages; one at least."""
    entries = [
        ENTRY.pack(key, int((until - now) * STEPS_PER_SECOND))
        for key, until in known_until(tables, bucket, since_epoch)
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


def known_until(
    tables: BalancerTables, bucket: int, since_epoch: int
) -> Iterator[tuple[bytes, float]]:
    """Yield keys of requests of earlier views, and when they are forgotten."""
    requests = tables.requests
    for key in requests.non_idempotent_by_bucket.get(bucket, ()):
        record = requests.records_by_key[key]
        if record.epoch < since_epoch:
            yield key, forget_at(record)
    for key, until in requests.handed_over_by_bucket.get(bucket, {}).items():
        yield key, until


def handle_history_page(
    tables: BalancerTables, now: float, message: RequestHistoryPage
) -> None:
    """Keep the earlier requests of a bucket that is owned anew."""
    update_owner_history(tables, now)
    span = tables.requests.history.spans_by_bucket.get(message.bucket)
    if message.epoch != tables.view.epoch or span is None:
        return
    if span.until_epoch is not None or is_span_complete(span, now):
        return
    if not keep_entries(tables, now, message):
        return
    pages = span.pages_by_sender.setdefault(message.sender_id, set())
    pages.add(message.page)
    if len(pages) == message.pages:
        span.is_complete = True
        span.pages_by_sender.clear()


def keep_entries(
    tables: BalancerTables, now: float, message: RequestHistoryPage
) -> bool:
    """Keep the entries of a page; a request under way here is stopped."""
    requests = tables.requests
    kept = requests.handed_over_by_bucket.setdefault(message.bucket, {})
    total = sum(len(keys) for keys in requests.handed_over_by_bucket.values())
    size = len(message.entries) // ENTRY.size
    if total + size > MAX_REQUEST_RECORDS:
        tables.counters['', 'request-handover-full'] += 1
        return False
    for key, steps in ENTRY.iter_unpack(message.entries[: size * ENTRY.size]):
        if key not in kept:
            kept[key] = now + (steps + 1) / STEPS_PER_SECOND
            add_timer(tables, kept[key], key, TimerKind.FORGET)
        record = requests.records_by_key.get(key)
        if record is not None:
            record.epoch = PASSED_ON
    return True
