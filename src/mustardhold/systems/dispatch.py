"""Sends admitted requests, directly or along the chain of owners."""

from mustardhold.systems.admission import (
    acquire_slot,
    end_record,
    has_free_slot,
    has_time_left,
    leave_queue,
    next_waiting,
    window_for,
)
from mustardhold.systems.hedging import credit_and_schedule_hedge
from mustardhold.systems.ownership import is_lease_live, owners_of_flow
from mustardhold.systems.request_chain import forward_chain
from mustardhold.systems.request_history import (
    has_complete_history,
    update_owner_history,
)
from mustardhold.systems.request_records import (
    is_handed_over,
    remaining_packet,
    request_key,
    send_unknown,
)
from mustardhold.systems.retries import schedule_retry
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend
from mustardhold.tables.packets import Request
from mustardhold.tables.request_messages import RequestChain
from mustardhold.tables.requests import RequestRecord, RequestState


def is_active_primary(tables: BalancerTables, now: float, flow: bytes) -> bool:
    """Return whether this balancer is the primary owner, with a live lease."""
    is_primary = owners_of_flow(tables, flow)[0] == tables.instance_id
    return is_primary and is_lease_live(tables, now)


def dispatch(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send a request and count it as in flight at its server."""
    packet = record.packet
    if packet is None:
        return
    leave_queue(tables, record)
    record.state = RequestState.SENT
    record.epoch = tables.view.epoch
    record.sent_at = now
    acquire_slot(window_for(tables, record.backend_id), record)
    if record.idempotent:
        forward_idempotent(tables, now, key, record, outbox)
        credit_and_schedule_hedge(tables, now, key, record)
        return
    record.packet = None
    record.forwards += 1
    start_chain(tables, now, record, packet, outbox)


def forward_idempotent(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send an idempotent request directly to its server."""
    known = tables.backends_by_id.get(record.backend_id)
    if record.packet is None or known is None:
        return
    record.forwards += 1
    tables.counters[record.service, 'request-forwarded'] += 1
    packet = remaining_packet(record.packet, record.deadline_at, now)
    outbox.append(ToBackend(known.announced.address, packet))
    schedule_retry(tables, now, key, record)


def start_chain(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Send a request, or its refusal, along the chain of its owners."""
    key = request_key(record.flow, record.request_id)
    if is_handed_over(tables, record.flow, key):
        record.refusal = ''
        end_record(tables, record)
        send_unknown(tables, record, 'already-forwarded', outbox)
        return
    is_history_complete = record.is_certain
    if not record.idempotent:
        is_history_complete = has_complete_history(tables, now, record.flow)
    chain = RequestChain(
        record.epoch,
        remaining_packet(packet, record.deadline_at, now),
        record.service,
        record.backend_id,
        record.refusal,
        is_history_complete,
        owners_of_flow(tables, record.flow)[1:],
        tables.instance_id,
        record.replaced_epoch,
    )
    forward_chain(tables, chain, record, outbox)


def refuse_request(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    reason: str,
    outbox: Outbox,
) -> None:
    """Send the refusal of a never-forwarded request along its owners."""
    record.state = RequestState.REFUSED
    record.refusal = reason
    record.epoch = tables.view.epoch
    record.replaced_epoch = 0
    record.packet = None
    packet = Request(record.flow, record.request_id, record.idempotent, 0, b'')
    start_chain(tables, now, record, packet, outbox)


def dispatch_queued(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send the queued requests of all servers that have free slots."""
    ready = tables.requests.ready_backends
    if not ready:
        return
    update_owner_history(tables, now)
    while ready:
        dispatch_queued_for(tables, now, ready.pop(), outbox)


def dispatch_queued_for(
    tables: BalancerTables, now: float, backend_id: str, outbox: Outbox
) -> None:
    """Send the queued requests of one server, as its window allows."""
    window = window_for(tables, backend_id)
    while has_free_slot(window):
        key = next_waiting(window)
        if key is None:
            return
        record = tables.requests.records_by_key[key]
        if has_time_left(window, record, now):
            dispatch_or_give_up(tables, now, key, record, outbox)
        else:
            end_expired(tables, now, record, outbox)


def dispatch_or_give_up(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send a queued request if this balancer is still its active primary owner.

    Otherwise, end it and report its outcome as unknown.
    """
    if is_active_primary(tables, now, record.flow):
        dispatch(tables, now, key, record, outbox)
        return
    end_record(tables, record)
    send_unknown(tables, record, 'owner-changed', outbox)


def end_expired(
    tables: BalancerTables, now: float, record: RequestRecord, outbox: Outbox
) -> None:
    """End a queued request whose answer would arrive too late."""
    if record.forwards or not is_active_primary(tables, now, record.flow):
        end_record(tables, record)
        send_unknown(tables, record, 'deadline', outbox)
        return
    leave_queue(tables, record)
    refuse_request(tables, now, record, 'deadline', outbox)
