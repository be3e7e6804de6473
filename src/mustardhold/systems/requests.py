"""Requests: admitted, refused or repeated at the primary owner."""

from mustardhold.systems.admission import (
    end_record,
    enqueue,
    has_free_place,
    has_waiting,
    leave_queue,
    window_for,
)
from mustardhold.systems.dispatch import (
    dispatch,
    pass_along,
    pump_windows,
    refuse_record,
)
from mustardhold.systems.request_history import (
    is_complete_primary,
    update_owner_history,
)
from mustardhold.systems.request_records import (
    add_record,
    make_record,
    renew_record,
    request_key,
    tell_not_run,
    tell_unknown,
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
    """Decide on a request as primary owner, with a live lease.

    Parameters
    ----------
    known
        Server of the request's flow; none if the flow is not known here.
    """
    update_owner_history(tables, now)
    pump_windows(tables, now, outbox)
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is not None:
        repeat_request(tables, now, key, packet, outbox)
        return
    service = service_of(tables, packet.flow) or ''
    backend_id = known.announced.backend_id if known else ''
    record = make_record(now, packet, service, backend_id, tables.view.epoch)
    record.is_primary = True
    record.is_certain = is_complete_primary(tables, now, packet.flow)
    if not add_record(tables, key, record):
        tell_unknown(tables, record, 'table-full', outbox)
        return
    if known is None:
        refuse_record(tables, now, record, 'no-flow', outbox)
        return
    admit(tables, now, key, packet, outbox)


def admit(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Send a recorded request now or later, or refuse it."""
    record = tables.requests.records_by_key[key]
    record.packet = packet
    window = window_for(tables, record.backend_id)
    if has_free_place(window) and not has_waiting(window):
        dispatch(tables, now, key, record, outbox)
    elif not enqueue(tables, key, record):
        refuse_overload(tables, now, record, outbox)


def refuse_overload(
    tables: BalancerTables, now: float, record: RequestRecord, outbox: Outbox
) -> None:
    """Refuse a request that found the queue full.

    An idempotent one that was sent before may have run then.
    """
    if record.forwards:
        end_record(tables, record)
        tell_unknown(tables, record, 'overloaded', outbox)
    else:
        refuse_record(tables, now, record, 'overloaded', outbox)


def repeat_request(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Decide on a request whose id is known.

    One that is in progress stays silent: its answer or its deadline tells the
    outcome. Passing it along its owners again makes up for a lost message.
    """
    record = tables.requests.records_by_key[key]
    tables.counters[record.service, 'request-repeated'] += 1
    if is_other_request(record, packet):
        tell_unknown(tables, record, 'id-collision', outbox)
    elif record.state is RequestState.ENDED:
        repeat_ended(tables, now, key, packet, outbox)
    elif record.epoch != tables.view.epoch or not record.is_primary:
        if now >= record.deadline_at:
            tell_unknown(tables, record, 'already-forwarded', outbox)
    elif record.refusal or is_sent_booking(record):
        pass_along(tables, now, record, packet, outbox)


def is_sent_booking(record: RequestRecord) -> bool:
    """Tell whether a non-idempotent request is on its way."""
    return record.state is RequestState.SENT and not record.idempotent


def is_other_request(record: RequestRecord, packet: Request) -> bool:
    """Tell whether two requests share a key but nothing else."""
    return (record.flow, record.request_id, record.idempotent) != (
        packet.flow,
        packet.request_id,
        packet.idempotent,
    )


def repeat_ended(
    tables: BalancerTables,
    now: float,
    key: bytes,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Decide on a request that has ended: only an idempotent one runs anew."""
    record = tables.requests.records_by_key[key]
    if record.refusal:
        tell_not_run(tables, record, outbox)
    elif record.idempotent:
        renew_record(tables, now, key, packet)
        admit(tables, now, key, packet, outbox)
    else:
        tell_unknown(tables, record, 'already-forwarded', outbox)


def reply_without_lease(
    tables: BalancerTables, packet: Request, outbox: Outbox
) -> None:
    """Tell a caller that this balancer may not decide on its request.

    The other side of a partition may have run the same id, so this is not a
    certain refusal.
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
    """Withdraw a request that waits, or let its server withdraw it."""
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is not None and is_never_sent(record):
        leave_queue(tables, record)
        refuse_record(tables, now, record, 'cancelled', outbox)
        return
    outbox.append(ToBackend(known.announced.address, packet))
    if record is None or record.state is not RequestState.SENT:
        return
    end_record(tables, record)
    tell_unknown(tables, record, 'cancelled', outbox)
    pump_windows(tables, now, outbox)


def is_never_sent(record: RequestRecord) -> bool:
    """Tell whether a request waits for its first sending."""
    return record.state is RequestState.WAITING and not record.forwards
