"""Admits and refuses requests and handles repeats at the primary owner."""

from mustardhold.systems.admission import (
    end_record,
    enqueue,
    has_free_slot,
    has_waiting,
    leave_queue,
    window_for,
)
from mustardhold.systems.dispatch import (
    dispatch,
    dispatch_queued,
    refuse_request,
    start_chain,
)
from mustardhold.systems.hedge_copies import run_due_hedges
from mustardhold.systems.hedge_promises import allow_answers
from mustardhold.systems.request_history import (
    is_primary_history_complete,
    update_owner_history,
)
from mustardhold.systems.request_records import (
    add_record,
    make_record,
    renew_record,
    request_key,
    send_not_run,
    send_unknown,
)
from mustardhold.systems.routing import service_of
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import Cancel, Request, Unknown
from mustardhold.tables.requests import RequestRecord, RequestState


def handle_request(
    tables: BalancerTables,
    now: float,
    packet: Request,
    known: KnownBackend | None,
    outbox: Outbox,
) -> None:
    """Admit or refuse a request as primary owner with a live lease.

    Parameters
    ----------
    known
        Server of the request's flow, or None if the flow is unknown here.
    """
    update_owner_history(tables, now)
    dispatch_queued(tables, now, outbox)
    run_due_hedges(tables, now, outbox)
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is not None:
        handle_repeated_request(tables, now, key, packet, outbox)
        return
    service = service_of(tables, packet.flow) or ''
    backend_id = known.announced.backend_id if known else ''
    record = make_record(now, packet, service, backend_id, tables.view.epoch)
    record.is_primary = True
    record.is_certain = is_primary_history_complete(tables, now, packet.flow)
    if not add_record(tables, key, record):
        send_unknown(tables, record, 'table-full', outbox)
        return
    if known is None:
        refuse_request(tables, now, record, 'no-flow', outbox)
        return
    admit_request(tables, now, key, packet, outbox)


def admit_request(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Send a recorded request immediately, queue it, or refuse it."""
    record = tables.requests.records_by_key[key]
    record.packet = packet
    window = window_for(tables, record.backend_id)
    if has_free_slot(window) and not has_waiting(window):
        dispatch(tables, now, key, record, outbox)
    elif not enqueue(tables, key, record):
        refuse_overloaded(tables, now, record, outbox)


def refuse_overloaded(
    tables: BalancerTables, now: float, record: RequestRecord, outbox: Outbox
) -> None:
    """Refuse a request because the queue is full.

    An idempotent one that was sent before may have run, so its outcome is
    unknown.
    """
    if record.forwards:
        end_record(tables, record)
        send_unknown(tables, record, 'overloaded', outbox)
    else:
        refuse_request(tables, now, record, 'overloaded', outbox)


def handle_repeated_request(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Handle a request whose key is already known.

    A request in progress gets no reply, as its answer or its deadline decides
    the outcome. It is sent along the chain again in case a message was lost.
    """
    record = tables.requests.records_by_key[key]
    tables.counters[record.service, 'request-repeated'] += 1
    if is_id_collision(record, packet):
        send_unknown(tables, record, 'id-collision', outbox)
    elif record.state is RequestState.ENDED:
        handle_repeat_of_ended(tables, now, key, packet, outbox)
    elif record.epoch != tables.view.epoch or not record.is_primary:
        if now >= record.deadline_at:
            send_unknown(tables, record, 'already-forwarded', outbox)
    elif record.refusal or is_sent_non_idempotent(record):
        start_chain(tables, now, record, packet, outbox)


def is_sent_non_idempotent(record: RequestRecord) -> bool:
    """Return whether a request is non-idempotent and in flight."""
    return record.state is RequestState.SENT and not record.idempotent


def is_id_collision(record: RequestRecord, packet: Request) -> bool:
    """Return whether a packet is another request with the same key."""
    return (record.flow, record.request_id, record.idempotent) != (
        packet.flow,
        packet.request_id,
        packet.idempotent,
    )


def handle_repeat_of_ended(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Handle a repeat of an ended request; only an idempotent one reruns."""
    record = tables.requests.records_by_key[key]
    if record.refusal:
        send_not_run(tables, record, outbox)
    elif record.idempotent:
        allow_answers(tables, key)
        renew_record(tables, now, key, packet)
        admit_request(tables, now, key, packet, outbox)
    else:
        send_unknown(tables, record, 'already-forwarded', outbox)


def reply_without_lease(
    tables: BalancerTables, packet: Request, outbox: Outbox
) -> None:
    """Reply that the outcome is unknown, as this balancer has no lease.

    The other side of a partition may have run the same id, so it would be
    wrong to reply that the request was not run.
    """
    service = service_of(tables, packet.flow) or ''
    tables.counters[service, 'unknown-no-lease'] += 1
    outbox.append(ToCaller(Unknown(packet.flow, packet.request_id, 'no-lease')))


def handle_cancel(
    tables: BalancerTables,
    now: float,
    packet: Cancel,
    known: KnownBackend,
    outbox: Outbox,
) -> None:
    """Cancel a waiting request, or forward the cancellation to its server."""
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is not None and is_never_sent(record):
        leave_queue(tables, record)
        refuse_request(tables, now, record, 'cancelled', outbox)
        return
    outbox.append(ToBackend(known.announced.address, packet))
    if record is None or record.state is not RequestState.SENT:
        return
    end_record(tables, record)
    send_unknown(tables, record, 'cancelled', outbox)
    dispatch_queued(tables, now, outbox)


def is_never_sent(record: RequestRecord) -> bool:
    """Return whether a request waits to be sent for the first time."""
    return record.state is RequestState.WAITING and not record.forwards
