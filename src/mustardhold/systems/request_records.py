"""Records of requests: creation within limits, timers and expiry."""

import heapq
import math

import xxhash

from mustardhold.systems.hashing import bucket_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    IDEMPOTENT_RECORD_MARGIN,
    MAX_REQUEST_DEADLINE,
    MAX_REQUEST_RECORDS,
    OUTCOME_REPORT_MARGIN,
    REQUEST_RECORD_LIFETIME,
)
from mustardhold.tables.outbox import Outbox, ToCaller
from mustardhold.tables.packets import NotRun, Request, Unknown
from mustardhold.tables.requests import RequestRecord, TimerKind

MS_PER_SECOND = 1000


def request_key(flow: bytes, request_id: bytes) -> bytes:
    """Hash a request's flow and id to an eight-byte key.

    The id alone is not enough, since callers may choose equal ids.
    """
    return xxhash.xxh3_64_digest(flow + request_id)


def max_records_per_service(tables: BalancerTables) -> int:
    """Return the limit of records of each service: an equal share of all."""
    return MAX_REQUEST_RECORDS // max(len(tables.routing.pools_by_name), 1)


def add_record(
    tables: BalancerTables, key: bytes, record: RequestRecord
) -> bool:
    """Store a new record with its timers, unless its service's share is full.

    Returns
    -------
    bool
        Whether the record was stored.
    """
    requests = tables.requests
    if requests.records_by_service[record.service] >= max_records_per_service(
        tables
    ):
        tables.counters[record.service, 'request-table-full'] += 1
        return False
    requests.records_by_key[key] = record
    requests.records_by_service[record.service] += 1
    if not record.idempotent:
        bucket = bucket_of(record.flow)
        requests.non_idempotent_by_bucket.setdefault(bucket, set()).add(key)
    add_timer(tables, outcome_due_at(record), key, TimerKind.DEADLINE)
    add_timer(tables, expires_at(record), key, TimerKind.FORGET)
    return True


def renew_record(
    tables: BalancerTables, now: float, key: bytes, packet: Request
) -> None:
    """Set the new deadline of an idempotent request that was repeated."""
    record = tables.requests.records_by_key[key]
    renewed = make_record(
        now, packet, record.service, record.backend_id, record.epoch
    )
    record.received_at = now
    record.deadline_at = renewed.deadline_at
    record.parts_seen = 0
    add_timer(tables, outcome_due_at(record), key, TimerKind.DEADLINE)
    add_timer(tables, expires_at(record), key, TimerKind.FORGET)


def make_record(
    now: float, packet: Request, service: str, backend_id: str, epoch: int
) -> RequestRecord:
    """Create the record of a request that has just arrived."""
    longest = MAX_REQUEST_DEADLINE.total_seconds()
    return RequestRecord(
        packet.flow,
        packet.request_id,
        service,
        backend_id,
        packet.idempotent,
        epoch,
        received_at=now,
        deadline_at=now + min(packet.deadline_ms / MS_PER_SECOND, longest),
    )


def outcome_due_at(record: RequestRecord) -> float:
    """Return when to send an outcome so that it arrives by the deadline."""
    left = record.deadline_at - record.received_at
    margin = min(OUTCOME_REPORT_MARGIN.total_seconds(), left / 2)
    return record.deadline_at - margin


def expires_at(record: RequestRecord) -> float:
    """Return when a record expires, as no caller can repeat it any more."""
    if record.idempotent:
        margin = IDEMPOTENT_RECORD_MARGIN.total_seconds()
        return record.deadline_at + margin
    return record.received_at + REQUEST_RECORD_LIFETIME.total_seconds()


def add_timer(
    tables: BalancerTables, due: float, key: bytes, kind: TimerKind
) -> None:
    """Schedule a timer of a request."""
    heapq.heappush(tables.requests.timers, (due, key, kind))


def expire_record(tables: BalancerTables, now: float, key: bytes) -> None:
    """Drop the record and the handed-over key of a request if expired."""
    requests = tables.requests
    expire_handed_over(tables, now, key)
    record = requests.records_by_key.get(key)
    if record is None or now < expires_at(record):
        return
    requests.records_by_key.pop(key)
    tables.hedging.hedges_by_key.pop(key, None)
    requests.records_by_service[record.service] -= 1
    keys = requests.non_idempotent_by_bucket.get(bucket_of(record.flow))
    if keys is not None:
        keys.discard(key)


def expire_handed_over(tables: BalancerTables, now: float, key: bytes) -> None:
    """Drop the key of a request of an earlier owner if it has expired."""
    handed_over_by_bucket = tables.requests.handed_over_by_bucket
    for bucket, keys in tuple(handed_over_by_bucket.items()):
        if now >= keys.get(key, math.inf):
            keys.pop(key)
        if not keys:
            handed_over_by_bucket.pop(bucket)


def is_handed_over(tables: BalancerTables, flow: bytes, key: bytes) -> bool:
    """Return whether an earlier owner handed over the key of a request."""
    return key in tables.requests.handed_over_by_bucket.get(bucket_of(flow), {})


def remaining_packet(
    packet: Request, deadline_at: float, now: float
) -> Request:
    """Copy a request with the time that remains to its deadline."""
    left = max(deadline_at - now, 0)
    return Request(
        packet.flow,
        packet.request_id,
        packet.idempotent,
        int(left * MS_PER_SECOND),
        packet.payload,
    )


def send_not_run(
    tables: BalancerTables, record: RequestRecord, outbox: Outbox
) -> None:
    """Notify a caller that its request was certainly not run."""
    tables.counters[record.service, f'not-run-{record.refusal}'] += 1
    outbox.append(
        ToCaller(NotRun(record.flow, record.request_id, record.refusal))
    )


def send_unknown(
    tables: BalancerTables, record: RequestRecord, reason: str, outbox: Outbox
) -> None:
    """Notify a caller that the outcome of its request is unknown."""
    tables.counters[record.service, f'unknown-{reason}'] += 1
    outbox.append(ToCaller(Unknown(record.flow, record.request_id, reason)))
