"""Records of settled buckets, which need none."""

from mustardhold.systems.bindings import settled_service
from mustardhold.systems.flow_records import drop_record
from mustardhold.systems.hashing import bucket_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.flows import FlowRecord


def drop_settled_records(tables: BalancerTables) -> None:
    """Drop the records of settled buckets, once for each version.

    The primary owner had no flow elsewhere when the bucket settled. So what
    other owners have of another server is of flows that have ended.
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
    """Tell whether a recorded flow is at the base of a settled bucket."""
    placement = tables.placements.placements_by_pool.get(record.service)
    if placement is None or bucket_of(flow) in placement.moving:
        return False
    # An address that changed its service always needs the records.
    return settled_service(tables, flow) == record.service
