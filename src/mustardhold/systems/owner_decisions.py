"""Decides on callers' packets as the primary owner of their bucket."""

from mustardhold.systems.bindings import bound_service, settled_service
from mustardhold.systems.flow_opening import open_flow
from mustardhold.systems.flow_records import end_flow, was_closed
from mustardhold.systems.handover import members_to_query, store_record
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import is_lease_live, owners_of_flow
from mustardhold.systems.packet_holding import (
    hold_for_record,
    merge_record_reply,
    overdue_flows,
    release_held,
)
from mustardhold.systems.requests import handle_cancel, handle_request
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import (
    CallerPacket,
    Cancel,
    Close,
    FlowEnded,
    Open,
    Request,
    Upload,
)
from mustardhold.tables.peers import RecordReply


def settled_server(tables: BalancerTables, flow: bytes) -> str | None:
    """Return the assigned server of a flow whose bucket is settled."""
    service = settled_service(tables, flow)
    placement = tables.placements.placements_by_pool.get(service or '')
    if placement is None:
        return None
    bucket = bucket_of(flow)
    if bucket in placement.moving:
        return None
    return placement.assigned_servers[bucket]


def decide_as_owner(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    owners: tuple[str, ...],
    outbox: Outbox,
) -> None:
    """Decide on a caller's packet as primary owner of its bucket.

    A packet of an unknown flow is held while members are queried, or since
    it may have overtaken its flow's opening.
    """
    record = tables.flows_by_key.get(packet.flow)
    if record:
        forward_recorded(tables, now, packet, record, outbox)
        return
    if settled_server(tables, packet.flow):
        forward_unrecorded(tables, now, packet, outbox)
        return
    queried = members_to_query(tables, bucket_of(packet.flow))
    if queried:
        hold_for_record(tables, now, packet, queried, outbox)
    elif isinstance(packet, Open):
        open_flow(tables, packet, None, owners, outbox)
        forward_held(tables, now, packet.flow, outbox)
    else:
        hold_for_record(tables, now, packet, set(), outbox)


def forward_unrecorded(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
) -> None:
    """Forward a packet of a flow of which no member has a record.

    Such a flow is at its bucket's assigned server; without one, or after its
    end, the flow does not exist and the packet is refused.
    """
    service = bound_service(tables, packet.flow)
    placement = tables.placements.placements_by_pool.get(service or '')
    is_closed = was_closed(tables, packet.flow)
    if service is None or placement is None or is_closed:
        refuse_unrecorded(tables, now, packet, outbox)
        return
    bucket = bucket_of(packet.flow)
    record = FlowRecord(
        service, placement.assigned_servers[bucket], is_primary=True
    )
    if bucket in placement.moving:
        store_record(tables, packet.flow, service, record.backend_id)
    forward_recorded(tables, now, packet, record, outbox)


def forward_recorded(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    record: FlowRecord,
    outbox: Outbox,
) -> None:
    """Forward a packet to the server in its flow's record."""
    if isinstance(packet, Open):
        owners = owners_of_flow(tables, packet.flow)
        open_flow(tables, packet, record, owners, outbox)
        return
    server = tables.backends_by_id.get(record.backend_id)
    if server is None:
        handle_unknown_server(tables, now, packet, outbox)
        return
    # The most frequent type comes first, so that it costs a single test.
    if isinstance(packet, Upload):
        outbox.append(ToBackend(server.announced.address, packet))
        return
    if isinstance(packet, Request):
        handle_request(tables, now, packet, server, outbox)
        return
    if isinstance(packet, Cancel):
        handle_cancel(tables, now, packet, server, outbox)
        return
    outbox.append(ToBackend(server.announced.address, packet))
    if isinstance(packet, Close):
        end_flow(tables, packet.flow, outbox)


def forward_held(
    tables: BalancerTables, now: float, flow: bytes, outbox: Outbox
) -> None:
    """Forward the packets held for a flow, its opening first."""
    packets = release_held(tables, flow)
    packets.sort(key=lambda packet: not isinstance(packet, Open))
    owners = owners_of_flow(tables, flow)
    for packet in packets:
        record = tables.flows_by_key.get(flow)
        if record:
            forward_recorded(tables, now, packet, record, outbox)
        elif isinstance(packet, Open):
            open_flow(tables, packet, None, owners, outbox)
        else:
            refuse_unrecorded(tables, now, packet, outbox)


def handle_record_reply(
    tables: BalancerTables, now: float, reply: RecordReply, outbox: Outbox
) -> None:
    """Decide on held packets once replies show where their flow is."""
    if not is_lease_live(tables, now) or not merge_record_reply(tables, reply):
        return
    if reply.flow in tables.flows_by_key:
        forward_held(tables, now, reply.flow, outbox)
        return
    packets = release_held(tables, reply.flow)
    packets.sort(key=lambda packet: not isinstance(packet, Open))
    for packet in packets:
        decide_after_wait(tables, now, packet, outbox)


def decide_after_wait(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
) -> None:
    """Decide on a packet once all members have replied or its wait ended."""
    record = tables.flows_by_key.get(packet.flow)
    if record:
        forward_recorded(tables, now, packet, record, outbox)
    elif isinstance(packet, Open):
        owners = owners_of_flow(tables, packet.flow)
        open_flow(tables, packet, None, owners, outbox)
    else:
        forward_unrecorded(tables, now, packet, outbox)


def decide_overdue(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Decide on held packets whose opening has not arrived in time."""
    for flow in overdue_flows(tables, now):
        packets = release_held(tables, flow)
        if is_lease_live(tables, now):
            for packet in packets:
                decide_after_wait(tables, now, packet, outbox)


def handle_unknown_server(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Drop a packet whose server is unknown here, but refuse a request.

    The flow may still be open, so any other packet gets no reply.
    """
    tables.counters['', 'server-unknown'] += 1
    if isinstance(packet, Request):
        handle_request(tables, now, packet, None, outbox)


def refuse_unrecorded(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Notify the caller that its flow has no record; forward nothing."""
    tables.counters['', 'no-record'] += 1
    if isinstance(packet, Request):
        handle_request(tables, now, packet, None, outbox)
    else:
        outbox.append(ToCaller(FlowEnded(packet.flow)))
