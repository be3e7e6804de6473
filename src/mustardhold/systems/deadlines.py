"""Request timers: outcomes at the deadline, retries, expiry of records."""

import heapq

from mustardhold.systems.admission import (
    acquire_slot,
    drop_idle_windows,
    end_record,
    has_free_slot,
    leave_queue,
    window_for,
)
from mustardhold.systems.answers import flush_answer_reports
from mustardhold.systems.dispatch import (
    dispatch_queued,
    forward_idempotent,
    is_active_primary,
    refuse_request,
)
from mustardhold.systems.request_handover import query_request_history
from mustardhold.systems.request_history import update_owner_history
from mustardhold.systems.request_records import (
    add_timer,
    expire_record,
    outcome_due_at,
    send_unknown,
)
from mustardhold.systems.retries import schedule_retry, spend_retry_token
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_OUTCOME_LATENESS, TICK
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.requests import RequestRecord, RequestState, TimerKind


def run_request_timers(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Run the due timers; the cost depends only on their number."""
    update_owner_history(tables, now)
    timers = tables.requests.timers
    while timers and timers[0][0] <= now:
        _, key, kind = heapq.heappop(timers)
        run_timer(tables, now, key, kind, outbox)
    dispatch_queued(tables, now, outbox)
    flush_answer_reports(tables, outbox)
    query_request_history(tables, now, outbox)
    drop_idle_windows(tables)


def run_timer(
    tables: BalancerTables,
    now: float,
    key: bytes,
    kind: TimerKind,
    outbox: Outbox,
) -> None:
    """Run one timer of a request."""
    if kind is TimerKind.FORGET:
        expire_record(tables, now, key)
        return
    record = tables.requests.records_by_key.get(key)
    if record is None or record.state is RequestState.ENDED:
        return
    if kind is TimerKind.RETRY:
        retry_request(tables, now, key, record, outbox)
    elif now >= outcome_due_at(record):
        end_at_deadline(tables, now, key, record, outbox)


def retry_request(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send an idempotent request again, to the server of its flow.

    It is not retried once a part of its answer has arrived, because the parts
    of two runs may differ.
    """
    if record.parts_seen or record.state is not RequestState.SENT:
        return
    if not is_active_primary(tables, now, record.flow):
        return
    window = window_for(tables, record.backend_id)
    if not (record.holds_slot or has_free_slot(window)):
        schedule_retry(tables, now, key, record)
    elif spend_retry_token(tables, record.service):
        tables.counters[record.service, 'retried'] += 1
        if not record.holds_slot:
            acquire_slot(window, record)
        forward_idempotent(tables, now, key, record, outbox)


def end_at_deadline(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """End a request that was not answered in time, and send its outcome."""
    if is_certainly_not_run(record) and is_active_primary(
        tables, now, record.flow
    ):
        leave_queue(tables, record)
        refuse_request(tables, now, record, 'deadline', outbox)
        add_timer(tables, now + TICK.total_seconds(), key, TimerKind.DEADLINE)
        return
    end_record(tables, record)
    # A refusal is certain only once the last owner has confirmed it.
    record.refusal = ''
    is_late = now - record.deadline_at > MAX_OUTCOME_LATENESS.total_seconds()
    if not is_late and may_send_outcome(tables, record, now):
        send_unknown(tables, record, 'deadline', outbox)


def is_certainly_not_run(record: RequestRecord) -> bool:
    """Return whether a request was never sent, or sent once and shed."""
    if record.state is RequestState.WAITING:
        return not record.forwards
    is_shed = record.forwards == 1 and record.sheds > 0
    return record.idempotent and is_shed and not record.is_hedged


def may_send_outcome(
    tables: BalancerTables, record: RequestRecord, now: float
) -> bool:
    """Return whether this owner may send the outcome of a request.

    That is the owner that admitted the request, or the primary owner of the
    current view.
    """
    return record.is_primary or is_active_primary(tables, now, record.flow)
