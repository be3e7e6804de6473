"""Answers: forwarded by any balancer, recorded at the primary owner."""

import struct

from mustardhold.systems.admission import (
    end_record,
    narrow_window,
    release_slot,
    widen_window,
)
from mustardhold.systems.hedging import record_latency
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.request_records import request_key, send_not_run
from mustardhold.systems.retries import credit_retry_budget
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_ANSWER_REPORT_BYTES
from mustardhold.tables.outbox import Outbox, ToCaller, ToPeer
from mustardhold.tables.packets import Answer, Shed
from mustardhold.tables.request_messages import AnswerReport
from mustardhold.tables.requests import RequestRecord, RequestState

# Key of the request, part, number of parts. With NO_PARTS as the number, the
# part is one of the codes below.
ENTRY = struct.Struct('!8sHH')
NO_PARTS = 0
CODE_SHED = 0
CODE_NOT_RUN = 1
CODE_UNKNOWN = 2
MAX_PARTS = 65_535


def handle_answer(
    tables: BalancerTables, packet: Answer, outbox: Outbox
) -> None:
    """Forward a part of an answer to its caller and record it."""
    outbox.append(ToCaller(packet))
    if packet.parts <= MAX_PARTS and packet.part < packet.parts:
        entry = (packet.part, packet.parts)
        apply_or_buffer_entry(
            tables, packet.flow, packet.request_id, entry, outbox
        )


def handle_shed(tables: BalancerTables, packet: Shed, outbox: Outbox) -> None:
    """Report a shed request to the primary owner, which decides on it."""
    entry = (CODE_SHED, NO_PARTS)
    apply_or_buffer_entry(tables, packet.flow, packet.request_id, entry, outbox)
    flush_answer_reports(tables, outbox)


def report_outcome_sent(
    tables: BalancerTables, record: RequestRecord, code: int, outbox: Outbox
) -> None:
    """Report to the primary owner that an outcome was sent to the caller."""
    entry = (code, NO_PARTS)
    apply_or_buffer_entry(tables, record.flow, record.request_id, entry, outbox)


def apply_or_buffer_entry(
    tables: BalancerTables,
    flow: bytes,
    request_id: bytes,
    entry: tuple[int, int],
    outbox: Outbox,
) -> None:
    """Apply an entry here, or buffer it for another primary owner."""
    key = request_key(flow, request_id)
    primary = owners_of_flow(tables, flow)[0]
    if primary == tables.instance_id:
        apply_entry(tables, None, key, entry, outbox)
        return
    entries = tables.requests.answer_reports_by_owner.setdefault(
        primary, bytearray()
    )
    entries.extend(ENTRY.pack(key, *entry))
    if len(entries) >= MAX_ANSWER_REPORT_BYTES:
        tables.counters['', 'answers-seen-full'] += 1
        flush_answer_reports(tables, outbox)


def flush_answer_reports(tables: BalancerTables, outbox: Outbox) -> None:
    """Send the buffered entries to the primary owners."""
    for owner, entries in tables.requests.answer_reports_by_owner.items():
        outbox.append(ToPeer(owner, AnswerReport(bytes(entries))))
    tables.requests.answer_reports_by_owner.clear()


def handle_answer_report(
    tables: BalancerTables, now: float, message: AnswerReport, outbox: Outbox
) -> None:
    """Apply reported answer parts and outcomes to the requests' records."""
    size = len(message.entries) // ENTRY.size * ENTRY.size
    for key, part, parts in ENTRY.iter_unpack(message.entries[:size]):
        apply_entry(tables, now, key, (part, parts), outbox)


def apply_entry(
    tables: BalancerTables,
    now: float | None,
    key: bytes,
    entry: tuple[int, int],
    outbox: Outbox,
) -> None:
    """Update the record of a request by an entry."""
    record = tables.requests.records_by_key.get(key)
    if record is None or record.state is RequestState.ENDED:
        return
    part, parts = entry
    if parts > NO_PARTS:
        apply_part(tables, now, record, entry)
    elif part == CODE_SHED:
        apply_shed(tables, record, outbox)
    else:
        record.refusal = '' if part == CODE_UNKNOWN else record.refusal
        end_record(tables, record)


def apply_part(
    tables: BalancerTables,
    now: float | None,
    record: RequestRecord,
    entry: tuple[int, int],
) -> None:
    """Record a part of an answer; the last missing part ends the request."""
    part, parts = entry
    if now is not None and not record.parts_seen:
        record_latency(tables, now, record)
    record.parts_seen |= 1 << part
    if record.parts_seen.bit_count() < parts:
        return
    tables.counters[record.service, 'answered'] += 1
    widen_window(tables, record, now)
    credit_retry_budget(tables, record.service)
    end_record(tables, record)


def apply_shed(
    tables: BalancerTables, record: RequestRecord, outbox: Outbox
) -> None:
    """Record that a server shed a request before running any of it.

    A non-idempotent request is sent at most once, so it was not run. An
    idempotent one waits for its retry.
    """
    tables.counters[record.service, 'shed'] += 1
    narrow_window(tables, record.backend_id)
    record.sheds += 1
    release_slot(tables, record)
    if not record.idempotent:
        record.refusal = 'shed'
        end_record(tables, record)
        send_not_run(tables, record, outbox)
