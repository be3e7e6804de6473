"""Sends pages of records to new owners, within a byte allowance."""

from mustardhold.systems.handover import ADDRESS_BYTES, store_record
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import is_lease_live, raise_fence
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    HANDOVER_BYTES_PER_SECOND,
    MAX_FLOW_RECORDS,
    RECORD_PAGE_TIMEOUT,
    RECORDS_PER_PAGE,
)
from mustardhold.tables.handover import RecordGroup, Transfer
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import HandoverComplete, RecordPage, RecordPageAck

PAGE_OVERHEAD_BYTES = 64
NO_GROUP = RecordGroup('', '', b'')


def tick_transfers(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send the pages that are due, until the byte allowance is used."""
    if not is_lease_live(tables, now):
        return
    refill_byte_allowance(tables, now)
    for name, transfer in tables.handover.transfers_by_member.items():
        if tables.handover.byte_allowance <= 0:
            return
        if is_page_due(transfer, now):
            send_page(tables, name, transfer, now, outbox)


def refill_byte_allowance(tables: BalancerTables, now: float) -> None:
    """Refill the byte allowance for the time passed, up to one second."""
    handover = tables.handover
    if handover.allowance_updated_at is None:
        handover.byte_allowance = HANDOVER_BYTES_PER_SECOND
    else:
        elapsed = now - handover.allowance_updated_at
        handover.byte_allowance = min(
            handover.byte_allowance + elapsed * HANDOVER_BYTES_PER_SECOND,
            HANDOVER_BYTES_PER_SECOND,
        )
    handover.allowance_updated_at = now


def is_page_due(transfer: Transfer, now: float) -> bool:
    """Return whether a page must be sent or resent."""
    if transfer.sent_at is None:
        return True
    return now - transfer.sent_at >= RECORD_PAGE_TIMEOUT.total_seconds()


def send_page(
    tables: BalancerTables,
    name: str,
    transfer: Transfer,
    now: float,
    outbox: Outbox,
) -> None:
    """Send the next page, or resend the unacknowledged one."""
    if transfer.sent_at is None:
        fill_page(transfer)
    transfer.sent_at = now
    group = transfer.group or NO_GROUP
    callers = b''.join(
        flow[:ADDRESS_BYTES]
        for flow in transfer.page
        if flow in tables.flows_by_key
    )
    tables.handover.byte_allowance -= PAGE_OVERHEAD_BYTES + len(callers)
    page = RecordPage(
        tables.instance_id,
        transfer.epoch,
        transfer.sequence,
        group.service,
        group.backend_id,
        group.service_address,
        callers,
        not transfer.flows_by_group,
    )
    outbox.append(ToPeer(name, page))


def fill_page(transfer: Transfer) -> None:
    """Move the next flows of one group into the page."""
    transfer.sequence += 1
    transfer.page = ()
    transfer.group = next(iter(transfer.flows_by_group), None)
    if transfer.group is None:
        return
    waiting = transfer.flows_by_group[transfer.group]
    count = min(len(waiting), RECORDS_PER_PAGE)
    transfer.page = tuple(waiting.popleft() for _ in range(count))
    if not waiting:
        transfer.flows_by_group.pop(transfer.group)


def handle_record_page(
    tables: BalancerTables, page: RecordPage, outbox: Outbox
) -> None:
    """Store the records of a page and acknowledge it.

    A page of a newer view is not acknowledged; its sender repeats it until
    this balancer has installed that view.
    """
    if raise_fence(tables, page.epoch):
        return
    for start in range(0, len(page.callers), ADDRESS_BYTES):
        if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
            tables.counters[page.service, 'record-table-full'] += 1
            return
        caller = page.callers[start : start + ADDRESS_BYTES]
        flow = caller + page.service_address
        store_record(tables, flow, page.service, page.backend_id)
    if page.is_last:
        done = tables.handover.received_epoch_by_member
        done[page.sender_id] = max(done.get(page.sender_id, 0), page.epoch)
        announce_completion(tables, outbox)
    ack = RecordPageAck(tables.instance_id, page.epoch, page.sequence)
    outbox.append(ToPeer(page.sender_id, ack))


def handle_page_ack(tables: BalancerTables, ack: RecordPageAck) -> None:
    """Mark a page as acknowledged; end the transfer after the last one."""
    transfers = tables.handover.transfers_by_member
    transfer = transfers.get(ack.member_id)
    if transfer is None or transfer.epoch != ack.epoch:
        return
    if transfer.sequence != ack.sequence:
        return
    transfer.sent_at = None
    transfer.page = ()
    if not transfer.flows_by_group:
        transfers.pop(ack.member_id)


def announce_completion(tables: BalancerTables, outbox: Outbox) -> None:
    """Notify the members once every one has sent its records to this one."""
    handover = tables.handover
    epoch = tables.view.epoch
    others = [
        name for name in tables.view.members_by_id if name != tables.instance_id
    ]
    if any(
        handover.received_epoch_by_member.get(name, 0) < epoch
        for name in others
    ):
        return
    if handover.complete_epoch_by_member.get(tables.instance_id, 0) >= epoch:
        return
    handover.complete_epoch_by_member[tables.instance_id] = epoch
    message = HandoverComplete(tables.instance_id, epoch)
    outbox.extend(ToPeer(name, message) for name in others)
    drop_foreign_records(tables)


def handle_handover_complete(
    tables: BalancerTables, message: HandoverComplete
) -> None:
    """Record that a member has all records of its buckets."""
    complete = tables.handover.complete_epoch_by_member
    previous_epoch = complete.get(message.member_id, 0)
    complete[message.member_id] = max(previous_epoch, message.epoch)
    drop_foreign_records(tables)


def drop_foreign_records(tables: BalancerTables) -> None:
    """Remove records of buckets owned elsewhere, once all have theirs."""
    handover = tables.handover
    epoch = tables.view.epoch
    complete = handover.complete_epoch_by_member
    if any(complete.get(name, 0) < epoch for name in tables.view.members_by_id):
        return
    owned = handover.incomplete_since_by_bucket
    foreign = [
        flow for flow in tables.flows_by_key if bucket_of(flow) not in owned
    ]
    for flow in foreign:
        tables.flows_by_key.pop(flow)
