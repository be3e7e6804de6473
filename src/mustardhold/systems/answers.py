"""Answers: passed on by any balancer, noted at the primary owner."""

import struct

from mustardhold.systems.admission import (
    end_record,
    narrow_window,
    release_place,
    widen_window,
)
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.request_records import request_key, tell_not_run
from mustardhold.systems.retries import add_success
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_ANSWER_REPORT_BYTES
from mustardhold.tables.outbox import Outbox, ToCaller, ToPeer
from mustardhold.tables.packets import Answer, Shed
from mustardhold.tables.request_messages import AnswerReport
from mustardhold.tables.requests import RequestRecord, RequestState

# Key of the request, part, parts; no parts: the part is one of the codes.
ENTRY = struct.Struct('!8sHH')
CODE = 0
CODE_SHED = 0
CODE_NOT_RUN = 1
CODE_UNKNOWN = 2
MAX_PARTS = 65_535


def handle_answer(
    tables: BalancerTables, packet: Answer, outbox: Outbox
) -> None:
    """Pass a part of an answer to its caller and note it."""
    outbox.append(ToCaller(packet))
    if packet.parts <= MAX_PARTS and packet.part < packet.parts:
        entry = (packet.part, packet.parts)
        note_entry(tables, packet.flow, packet.request_id, entry, outbox)


def handle_shed(tables: BalancerTables, packet: Shed, outbox: Outbox) -> None:
    """Let the primary owner decide what a refusal by a server means."""
    entry = (CODE_SHED, CODE)
    note_entry(tables, packet.flow, packet.request_id, entry, outbox)
    flush_seen(tables, outbox)


def note_told(
    tables: BalancerTables, record: RequestRecord, code: int, outbox: Outbox
) -> None:
    """Note at the primary owner that an outcome was told."""
    entry = (code, CODE)
    note_entry(tables, record.flow, record.request_id, entry, outbox)


def note_entry(
    tables: BalancerTables,
    flow: bytes,
    request_id: bytes,
    entry: tuple[int, int],
    outbox: Outbox,
) -> None:
    """Apply an entry here, or keep it for the primary owner."""
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
        flush_seen(tables, outbox)


def flush_seen(tables: BalancerTables, outbox: Outbox) -> None:
    """Send what primary owners have to know of answers seen here."""
    for owner, entries in tables.requests.answer_reports_by_owner.items():
        outbox.append(ToPeer(owner, AnswerReport(bytes(entries))))
    tables.requests.answer_reports_by_owner.clear()


def take_seen(
    tables: BalancerTables, now: float, message: AnswerReport, outbox: Outbox
) -> None:
    """Apply what another balancer has seen."""
    whole = len(message.entries) // ENTRY.size * ENTRY.size
    for key, part, parts in ENTRY.iter_unpack(message.entries[:whole]):
        apply_entry(tables, now, key, (part, parts), outbox)


def apply_entry(
    tables: BalancerTables,
    now: float | None,
    key: bytes,
    entry: tuple[int, int],
    outbox: Outbox,
) -> None:
    """Take what was seen of a request into its record."""
    record = tables.requests.records_by_key.get(key)
    if record is None or record.state is RequestState.ENDED:
        return
    part, parts = entry
    if parts > CODE:
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
    """Note a part of an answer; the last one ends the request."""
    part, parts = entry
    record.parts_seen |= 1 << part
    if record.parts_seen.bit_count() < parts:
        return
    tables.counters[record.service, 'answered'] += 1
    widen_window(tables, record, now)
    add_success(tables, record.service)
    end_record(tables, record)


def apply_shed(
    tables: BalancerTables, record: RequestRecord, outbox: Outbox
) -> None:
    """Note that a server refused a request before it ran any of it.

    A non-idempotent request was sent once at most, so it was not run. An
    idempotent one waits for its retry.
    """
    tables.counters[record.service, 'shed'] += 1
    narrow_window(tables, record.backend_id)
    record.sheds += 1
    release_place(tables, record)
    if not record.idempotent:
        record.refusal = 'shed'
        end_record(tables, record)
        tell_not_run(tables, record, outbox)
