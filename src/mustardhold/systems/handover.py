"""Which records a change of the view has to move, and whether they have."""

from collections import deque

from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES, MAX_FLOW_RECORDS
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.handover import RecordGroup, Transfer
from mustardhold.tables.views import View

Owners = tuple[str, ...]
HALF_KEY = FLOW_KEY_BYTES // 2


def start_handover(tables: BalancerTables, before: View) -> None:
    """Find out what a newly installed view asks of this balancer."""
    survivors = surviving_members(before, tables.view)
    owners_before = {
        bucket: tuple(
            name
            for name in select_owners(bucket, before.members_by_id)
            if name in survivors
        )
        for bucket in tables.owners_by_bucket
    }
    complete = {
        name
        for name in survivors
        if tables.handover.complete_epoch_by_member.get(name, 0) >= before.epoch
    }
    holders_by_bucket = {
        bucket: tuple(name for name in owners if name in complete)
        for bucket, owners in owners_before.items()
    }
    is_complete = tables.instance_id in complete
    tables.handover.source_member_by_bucket = {
        bucket: holders[0]
        for bucket, holders in holders_by_bucket.items()
        if holders and holders[0] == first_owner(before, bucket)
    }
    note_new_buckets(tables, owners_before, is_complete=is_complete)
    tables.handover.transfers_by_member = plan_transfers(
        tables, holders_by_bucket
    )
    recount_primaries(tables)


def first_owner(view: View, bucket: int) -> str:
    """Find the primary owner of a bucket in some view."""
    return select_owners(bucket, view.members_by_id)[0]


def surviving_members(before: View, after: View) -> set[str]:
    """List the members that kept their records from one view to the next.

    After a gap between the epochs nothing is known of the views between.
    """
    if after.epoch != before.epoch + 1:
        return set()
    return {
        name
        for name, incarnation in after.incarnations_by_id.items()
        if before.incarnations_by_id.get(name) == incarnation
    }


def note_new_buckets(
    tables: BalancerTables,
    owners_before: dict[int, Owners],
    *,
    is_complete: bool,
) -> None:
    """Keep since which epoch this balancer owns each of its buckets.

    What an earlier hand-over has left incomplete starts again.
    """
    handover = tables.handover
    name = tables.instance_id
    since = handover.incomplete_since_by_bucket
    complete = {
        bucket
        for bucket, owners in owners_before.items()
        if name in owners and (is_complete or since.get(bucket) == 0)
    }
    handover.incomplete_since_by_bucket = {
        bucket: 0 if bucket in complete else tables.view.epoch
        for bucket, owners in tables.owners_by_bucket.items()
        if name in owners
    }


def missing_members(tables: BalancerTables, bucket: int) -> set[str]:
    """List the members that may know a bucket's flow which we do not."""
    handover = tables.handover
    since = handover.incomplete_since_by_bucket.get(bucket, tables.view.epoch)
    if since == 0 or tables.membership is None:
        return set()
    missing = {
        name
        for name in tables.view.members_by_id
        if name != tables.instance_id
        and handover.received_epoch_by_member.get(name, 0) < since
    }
    if not missing:
        handover.incomplete_since_by_bucket[bucket] = 0
    return missing


def members_to_ask(tables: BalancerTables, bucket: int) -> set[str]:
    """List the members whose answers together settle where a flow is."""
    missing = missing_members(tables, bucket)
    knower = tables.handover.source_member_by_bucket.get(bucket)
    return {knower} if knower in missing else missing


def plan_transfers(
    tables: BalancerTables, holders_by_bucket: dict[int, Owners]
) -> dict[str, Transfer]:
    """List the records that each other member has to get from here."""
    transfers = {
        name: Transfer(tables.view.epoch, {})
        for name in tables.view.members_by_id
        if name != tables.instance_id
    }
    for flow, record in tables.flows_by_key.items():
        bucket = bucket_of(flow)
        for name in receivers_of(tables, bucket, holders_by_bucket[bucket]):
            if name != tables.instance_id:
                add_flow(transfers[name], flow, record)
    return transfers


def receivers_of(
    tables: BalancerTables, bucket: int, holders: Owners
) -> Owners:
    """List the new owners that get a bucket's records from here.

    The first earlier owner that is known to have them all sends them; without
    one, every balancer that holds a record does.
    """
    if holders and holders[0] != tables.instance_id:
        return ()
    owners = tables.owners_by_bucket[bucket]
    return tuple(name for name in owners if name not in holders)


def add_flow(transfer: Transfer, flow: bytes, record: FlowRecord) -> None:
    """Put a record into a transfer."""
    group = RecordGroup(record.service, record.backend_id, flow[HALF_KEY:])
    transfer.flows_by_group.setdefault(group, deque()).append(flow)


def recount_primaries(tables: BalancerTables) -> None:
    """Count the flows of each server that this balancer owns first."""
    for known in tables.backends_by_id.values():
        known.held_flows = 0
    for flow, record in tables.flows_by_key.items():
        owners = tables.owners_by_bucket[bucket_of(flow)]
        record.is_primary = bool(owners) and owners[0] == tables.instance_id
        server = tables.backends_by_id.get(record.backend_id)
        if record.is_primary and server is not None:
            server.held_flows += 1


def store_record(
    tables: BalancerTables, flow: bytes, service: str, backend_id: str
) -> None:
    """Store a record that another member knows; a known one stays."""
    known = tables.flows_by_key.get(flow)
    if known is not None:
        if known.backend_id != backend_id:
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
