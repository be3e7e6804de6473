"""Timers of requests: outcomes at the deadline, retries, forgetting."""

import heapq

from mustardhold.systems.admission import (
    drop_idle_windows,
    end_record,
    has_free_place,
    leave_queue,
    take_place,
    window_for,
)
from mustardhold.systems.answers import flush_seen
from mustardhold.systems.dispatch import (
    forward_idempotent,
    may_decide,
    pump_windows,
    refuse_record,
)
from mustardhold.systems.request_handover import ask_for_requests
from mustardhold.systems.request_history import update_owner_history
from mustardhold.systems.request_records import (
    add_timer,
    forget_record,
    tell_at,
    tell_unknown,
)
from mustardhold.systems.retries import schedule_retry, take_retry
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_OUTCOME_LATENESS, TICK
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.requests import RequestRecord, RequestState, TimerKind


def run_request_timers(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Do what is due; the cost follows the number of due timers alone."""
    update_owner_history(tables, now)
    timers = tables.requests.timers
    while timers and timers[0][0] <= now:
        _, key, what = heapq.heappop(timers)
        run_timer(tables, now, key, what, outbox)
    pump_windows(tables, now, outbox)
    flush_seen(tables, outbox)
    ask_for_requests(tables, now, outbox)
    drop_idle_windows(tables)


def run_timer(
    tables: BalancerTables,
    now: float,
    key: bytes,
    what: TimerKind,
    outbox: Outbox,
) -> None:
    """Act on one timer."""
    if what is TimerKind.FORGET:
        forget_record(tables, now, key)
        return
    record = tables.requests.records_by_key.get(key)
    if record is None or record.state is RequestState.ENDED:
        return
    if what is TimerKind.RETRY:
        retry_request(tables, now, key, record, outbox)
    elif now >= tell_at(record):
        end_at_deadline(tables, now, key, record, outbox)


def retry_request(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send an idempotent request again, to the server of its flow.

    Not once a part of its answer was seen: parts of two runs may differ.
    """
    if record.parts_seen or record.state is not RequestState.SENT:
        return
    if not may_decide(tables, now, record.flow):
        return
    window = window_for(tables, record.backend_id)
    if not (record.holds_slot or has_free_place(window)):
        schedule_retry(tables, now, key, record)
    elif take_retry(tables, record.service):
        tables.counters[record.service, 'retried'] += 1
        if not record.holds_slot:
            take_place(window, record)
        forward_idempotent(tables, now, key, record, outbox)


def end_at_deadline(
    tables: BalancerTables,
    now: float,
    key: bytes,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Tell the outcome of a request that had no answer in time."""
    if is_certainly_not_run(record) and may_decide(tables, now, record.flow):
        leave_queue(tables, record)
        refuse_record(tables, now, record, 'deadline', outbox)
        add_timer(tables, now + TICK.total_seconds(), key, TimerKind.DEADLINE)
        return
    end_record(tables, record)
    # A refusal that no last owner has confirmed is not certain.
    record.refusal = ''
    is_late = now - record.deadline_at > MAX_OUTCOME_LATENESS.total_seconds()
    if not is_late and tells_outcome(tables, record, now):
        tell_unknown(tables, record, 'deadline', outbox)


def is_certainly_not_run(record: RequestRecord) -> bool:
    """Tell whether a request was never sent, or refused each time."""
    if record.state is RequestState.WAITING:
        return not record.forwards
    return record.idempotent and record.forwards == 1 and record.sheds > 0


def tells_outcome(
    tables: BalancerTables, record: RequestRecord, now: float
) -> bool:
    """Tell whether this owner answers for a request.

    It is the one that admitted it, or the primary owner that came after.
    """
    return record.is_primary or may_decide(tables, now, record.flow)
