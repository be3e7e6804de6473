"""Requests: forwarded at most once unless they are idempotent."""

from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    MAX_REQUEST_RECORDS,
    REQUEST_RECORD_LIFETIME,
)
from mustardhold.tables.flows import RequestRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import Answer, NotRun, Request, Shed


def forward_request(
    tables: BalancerTables,
    now: float,
    packet: Request,
    known: KnownBackend,
    outbox: Outbox,
) -> None:
    """Forward a request to its flow's server, a non-idempotent one once."""
    record = tables.requests_by_id.get(packet.request_id)
    if record is not None and not packet.idempotent:
        tables.counters['', 'request-repeated'] += 1
        return
    if len(tables.requests_by_id) >= MAX_REQUEST_RECORDS:
        tables.counters['', 'request-table-full'] += 1
        outbox.append(
            ToCaller(NotRun(packet.flow, packet.request_id, 'table-full'))
        )
        return
    tables.requests_by_id[packet.request_id] = RequestRecord(
        packet.flow,
        known.announced.backend_id,
        idempotent=packet.idempotent,
        forwarded_at=now,
    )
    tables.counters['', 'request-forwarded'] += 1
    outbox.append(ToBackend(known.announced.address, packet))


def note_answer(tables: BalancerTables, packet: Answer | Shed) -> None:
    """Mark a request as answered, where its record is held."""
    record = tables.requests_by_id.get(packet.request_id)
    if record is not None:
        record.answered = True


def expire_requests(tables: BalancerTables, now: float) -> None:
    """Forget requests that no caller can still repeat."""
    lifetime = REQUEST_RECORD_LIFETIME.total_seconds()
    expired = [
        request_id
        for request_id, record in tables.requests_by_id.items()
        if now - record.forwarded_at > lifetime
    ]
    for request_id in expired:
        tables.requests_by_id.pop(request_id)
