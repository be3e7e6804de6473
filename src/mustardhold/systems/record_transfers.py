"""Pages of records for new owners, within a budget of bytes."""

from mustardhold.systems.handover import HALF_KEY, store_record
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

PAGE_BYTES = 64
NO_GROUP = RecordGroup('', '', b'')


def tick_transfers(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send the pages that are due, as far as the budget goes."""
    if not is_lease_live(tables, now):
        return
    refill(tables, now)
    for name, transfer in tables.handover.transfers_by_member.items():
        if tables.handover.byte_allowance <= 0:
            return
        if is_due(transfer, now):
            send_page(tables, name, transfer, now, outbox)


def refill(tables: BalancerTables, now: float) -> None:
    """Add what the time since the last tick allows, up to one second's."""
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


def is_due(transfer: Transfer, now: float) -> bool:
    """Tell whether a transfer's page is to be sent, or sent again."""
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
    """Send the page that waits for its acknowledgement, or the next one."""
    if transfer.sent_at is None:
        fill_page(transfer)
    transfer.sent_at = now
    group = transfer.group or NO_GROUP
    callers = b''.join(
        flow[:HALF_KEY] for flow in transfer.page if flow in tables.flows_by_key
    )
    tables.handover.byte_allowance -= PAGE_BYTES + len(callers)
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
    """Take the next flows of one group into the page."""
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

    A page of a newer view is sent again, after that view is in force.
    """
    if raise_fence(tables, page.epoch):
        return
    for start in range(0, len(page.callers), HALF_KEY):
        if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
            tables.counters[page.service, 'record-table-full'] += 1
            return
        caller = page.callers[start : start + HALF_KEY]
        flow = caller + page.service_address
        store_record(tables, flow, page.service, page.backend_id)
    if page.is_last:
        done = tables.handover.received_epoch_by_member
        done[page.sender_id] = max(done.get(page.sender_id, 0), page.epoch)
        note_complete(tables, outbox)
    taken = RecordPageAck(tables.instance_id, page.epoch, page.sequence)
    outbox.append(ToPeer(page.sender_id, taken))


def handle_page_ack(tables: BalancerTables, taken: RecordPageAck) -> None:
    """Go on with the next page, or end the transfer."""
    transfers = tables.handover.transfers_by_member
    transfer = transfers.get(taken.member_id)
    if transfer is None or transfer.epoch != taken.epoch:
        return
    if transfer.sequence != taken.sequence:
        return
    transfer.sent_at = None
    transfer.page = ()
    if not transfer.flows_by_group:
        transfers.pop(taken.member_id)


def note_complete(tables: BalancerTables, outbox: Outbox) -> None:
    """Tell the others once every member has sent what concerns us."""
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
    drop_foreign(tables)


def handle_handover_complete(
    tables: BalancerTables, message: HandoverComplete
) -> None:
    """Keep that a member has all records of its buckets."""
    complete = tables.handover.complete_epoch_by_member
    before = complete.get(message.member_id, 0)
    complete[message.member_id] = max(before, message.epoch)
    drop_foreign(tables)


def drop_foreign(tables: BalancerTables) -> None:
    """Forget records of other members' buckets once all have theirs."""
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
