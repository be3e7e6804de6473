"""Sends admitted requests on: straight, or along the owners."""

from mustardhold.systems.admission import (
    end_record,
    has_free_place,
    has_time_left,
    leave_queue,
    next_waiting,
    take_place,
    window_for,
)
from mustardhold.systems.ownership import is_lease_live, owners_of_flow
from mustardhold.systems.request_chain import pass_request
from mustardhold.systems.request_history import (
    is_complete,
    update_owner_history,
)
from mustardhold.systems.request_records import (
    is_handed_over,
    remaining_packet,
    request_key,
    tell_unknown,
)
from mustardhold.systems.retries import schedule_retry
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend
from mustardhold.tables.packets import Request
from mustardhold.tables.request_messages import RequestChain
from mustardhold.tables.requests import RequestRecord, RequestState


def may_decide(tables: BalancerTables, now: float, flow: bytes) -> bool:
    """Tell whether this balancer is the primary owner, with a live lease."""
    is_primary = owners_of_flow(tables, flow)[0] == tables.instance_id
    return is_primary and is_lease_live(tables, now)


def dispatch(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send a request that has a place at its server."""
    packet = record.packet
    if packet is None:
        return
    leave_queue(tables, record)
    record.state = RequestState.SENT
    record.epoch = tables.view.epoch
    record.sent_at = now
    take_place(window_for(tables, record.backend_id), record)
    if record.idempotent:
        forward_idempotent(tables, now, key, record, outbox)
        return
    record.packet = None
    record.forwards += 1
    pass_along(tables, now, record, packet, outbox)


def forward_idempotent(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send an idempotent request straight to its server."""
    known = tables.backends_by_id.get(record.backend_id)
    if record.packet is None or known is None:
        return
    record.forwards += 1
    tables.counters[record.service, 'request-forwarded'] += 1
    packet = remaining_packet(record.packet, record.deadline_at, now)
    outbox.append(ToBackend(known.announced.address, packet))
    schedule_retry(tables, now, key, record)


def pass_along(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    packet: Request,
    outbox: Outbox,
) -> None:
    """Start a request, or its refusal, on the way along its owners."""
    key = request_key(record.flow, record.request_id)
    if is_handed_over(tables, record.flow, key):
        record.refusal = ''
        end_record(tables, record)
        tell_unknown(tables, record, 'already-forwarded', outbox)
        return
    is_history_complete = record.is_certain
    if not record.idempotent:
        is_history_complete = is_complete(tables, now, record.flow)
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
    pass_request(tables, chain, record, outbox)


def refuse_record(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    reason: str,
    outbox: Outbox,
) -> None:
    """Refuse a request that was never forwarded, as all owners will know."""
    record.state = RequestState.REFUSED
    record.refusal = reason
    record.epoch = tables.view.epoch
    record.replaced_epoch = 0
    record.packet = None
    packet = Request(record.flow, record.request_id, record.idempotent, 0, b'')
    pass_along(tables, now, record, packet, outbox)


def pump_windows(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send waiting requests where places became free."""
    ready = tables.requests.ready_backends
    if not ready:
        return
    update_owner_history(tables, now)
    while ready:
        pump_window(tables, now, ready.pop(), outbox)


def pump_window(
    tables: BalancerTables, now: float, backend_id: str, outbox: Outbox
) -> None:
    """Send the requests that wait for one server, as its window allows."""
    window = window_for(tables, backend_id)
    while has_free_place(window):
        key = next_waiting(window)
        if key is None:
            return
        record = tables.requests.records_by_key[key]
        if has_time_left(window, record, now):
            send_waiting(tables, now, key, record, outbox)
        else:
            end_overdue(tables, now, record, outbox)


def send_waiting(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send a request that has waited, unless another owner decides now."""
    if may_decide(tables, now, record.flow):
        dispatch(tables, now, key, record, outbox)
        return
    end_record(tables, record)
    tell_unknown(tables, record, 'owner-changed', outbox)


def end_overdue(
    tables: BalancerTables, now: float, record: RequestRecord, outbox: Outbox
) -> None:
    """End a request that would have its answer too late."""
    if record.forwards or not may_decide(tables, now, record.flow):
        end_record(tables, record)
        tell_unknown(tables, record, 'deadline', outbox)
        return
    leave_queue(tables, record)
    refuse_record(tables, now, record, 'deadline', outbox)
