"""Drops the flow records of settled buckets, which need none."""

from mustardhold.systems.bindings import settled_service
from mustardhold.systems.flow_records import drop_record
from mustardhold.systems.hashing import bucket_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.flows import FlowRecord


def drop_settled_records(tables: BalancerTables) -> None:
    """Drop the records of settled buckets, once per placement version.

    When a bucket settles, its primary owner has recorded no flow at another
    server. So records of other servers at the other owners belong to flows
    that have ended.
    """
    version = tables.placements.version
    if version == tables.cleared_placements_version:
        return
    tables.cleared_placements_version = version
    settled = [
        flow
        for flow, record in tables.flows_by_key.items()
        if is_settled(tables, flow, record)
    ]
    for flow in settled:
        drop_record(tables, flow)


def is_settled(tables: BalancerTables, flow: bytes, record: FlowRecord) -> bool:
    """Return whether a recorded flow is in a settled bucket."""
    placement = tables.placements.placements_by_pool.get(record.service)
    if placement is None or bucket_of(flow) in placement.moving:
        return False
    # An address whose service has changed always needs records.
    return settled_service(tables, flow) == record.service
