"""Plans the handover of records after a view change, and tracks it."""

from collections import deque

from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES, MAX_FLOW_RECORDS
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.handover import RecordGroup, Transfer
from mustardhold.tables.views import View

Owners = tuple[str, ...]
ADDRESS_BYTES = FLOW_KEY_BYTES // 2


def start_handover(tables: BalancerTables, previous_view: View) -> None:
    """Plan which records to send and to expect after a view change."""
    survivors = surviving_members(previous_view, tables.view)
    previous_owners = {
        bucket: tuple(
            name
            for name in select_owners(bucket, previous_view.members_by_id)
            if name in survivors
        )
        for bucket in tables.owners_by_bucket
    }
    complete = {
        name
        for name in survivors
        if tables.handover.complete_epoch_by_member.get(name, 0)
        >= previous_view.epoch
    }
    holders_by_bucket = {
        bucket: tuple(name for name in owners if name in complete)
        for bucket, owners in previous_owners.items()
    }
    is_complete = tables.instance_id in complete
    tables.handover.source_member_by_bucket = {
        bucket: holders[0]
        for bucket, holders in holders_by_bucket.items()
        if holders and holders[0] == primary_owner(previous_view, bucket)
    }
    update_incomplete_buckets(tables, previous_owners, is_complete=is_complete)
    tables.handover.transfers_by_member = plan_transfers(
        tables, holders_by_bucket
    )
    recount_held_flows(tables)


def primary_owner(view: View, bucket: int) -> str:
    """Return the primary owner of a bucket in a view."""
    return select_owners(bucket, view.members_by_id)[0]


def surviving_members(previous_view: View, new_view: View) -> set[str]:
    """Return the members that retained their records through a view change.

    If the epochs are not consecutive, the views in between are unknown, and
    no member counts as surviving.
    """
    if new_view.epoch != previous_view.epoch + 1:
        return set()
    return {
        name
        for name, incarnation in new_view.incarnations_by_id.items()
        if previous_view.incarnations_by_id.get(name) == incarnation
    }


def update_incomplete_buckets(
    tables: BalancerTables,
    previous_owners: dict[int, Owners],
    *,
    is_complete: bool,
) -> None:
    """Update since which epoch this balancer lacks records of its buckets.

    Buckets that an earlier handover has left incomplete start again.
    """
    handover = tables.handover
    name = tables.instance_id
    incomplete_since = handover.incomplete_since_by_bucket
    complete = {
        bucket
        for bucket, owners in previous_owners.items()
        if name in owners and (is_complete or incomplete_since.get(bucket) == 0)
    }
    handover.incomplete_since_by_bucket = {
        bucket: 0 if bucket in complete else tables.view.epoch
        for bucket, owners in tables.owners_by_bucket.items()
        if name in owners
    }


def pending_senders(tables: BalancerTables, bucket: int) -> set[str]:
    """Return the members that may have more records of a bucket to send."""
    handover = tables.handover
    incomplete_since = handover.incomplete_since_by_bucket.get(
        bucket, tables.view.epoch
    )
    if incomplete_since == 0 or tables.membership is None:
        return set()
    pending = {
        name
        for name in tables.view.members_by_id
        if name != tables.instance_id
        and handover.received_epoch_by_member.get(name, 0) < incomplete_since
    }
    if not pending:
        handover.incomplete_since_by_bucket[bucket] = 0
    return pending


def members_to_query(tables: BalancerTables, bucket: int) -> set[str]:
    """Return the members whose replies together show where a flow is."""
    pending = pending_senders(tables, bucket)
    source = tables.handover.source_member_by_bucket.get(bucket)
    return {source} if source in pending else pending


def plan_transfers(
    tables: BalancerTables, holders_by_bucket: dict[int, Owners]
) -> dict[str, Transfer]:
    """Plan which records to send to each other member."""
    transfers = {
        name: Transfer(tables.view.epoch, {})
        for name in tables.view.members_by_id
        if name != tables.instance_id
    }
    for flow, record in tables.flows_by_key.items():
        bucket = bucket_of(flow)
        for name in transfer_receivers(
            tables, bucket, holders_by_bucket[bucket]
        ):
            if name != tables.instance_id:
                add_to_transfer(transfers[name], flow, record)
    return transfers


def transfer_receivers(
    tables: BalancerTables, bucket: int, holders: Owners
) -> Owners:
    """Return the new owners that this balancer sends a bucket's records to.

    The first previous owner known to have all of them sends them; without
    one, every balancer that holds a record sends it.
    """
    if holders and holders[0] != tables.instance_id:
        return ()
    owners = tables.owners_by_bucket[bucket]
    return tuple(name for name in owners if name not in holders)


def add_to_transfer(
    transfer: Transfer, flow: bytes, record: FlowRecord
) -> None:
    """Add a record to a transfer."""
    group = RecordGroup(record.service, record.backend_id, flow[ADDRESS_BYTES:])
    transfer.flows_by_group.setdefault(group, deque()).append(flow)


def recount_held_flows(tables: BalancerTables) -> None:
    """Recount each server's flows whose primary owner is this balancer."""
    for backend in tables.backends_by_id.values():
        backend.held_flows = 0
    for flow, record in tables.flows_by_key.items():
        owners = tables.owners_by_bucket[bucket_of(flow)]
        record.is_primary = bool(owners) and owners[0] == tables.instance_id
        server = tables.backends_by_id.get(record.backend_id)
        if record.is_primary and server is not None:
            server.held_flows += 1


def store_record(
    tables: BalancerTables, flow: bytes, service: str, backend_id: str
) -> None:
    """Store a record of another member, unless the flow has one already."""
    existing = tables.flows_by_key.get(flow)
    if existing is not None:
        if existing.backend_id != backend_id:
            tables.counters[service, 'record-conflict'] += 1
        return
    if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
        tables.counters[service, 'record-table-full'] += 1
        return
    owners = tables.owners_by_bucket.get(bucket_of(flow), ())
    is_primary = bool(owners) and owners[0] == tables.instance_id
    tables.flows_by_key[flow] = FlowRecord(
        service, backend_id, is_primary=is_primary
    )
    server = tables.backends_by_id.get(backend_id)
    if is_primary and server is not None:
        server.held_flows += 1
