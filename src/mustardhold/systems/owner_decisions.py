"""What the primary owner of a bucket decides on callers' packets."""

from mustardhold.systems.bindings import bound_service, settled_service
from mustardhold.systems.flow_opening import open_flow
from mustardhold.systems.flow_records import end_flow, was_closed
from mustardhold.systems.handover import members_to_ask, store_record
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import is_lease_live, owners_of_flow
from mustardhold.systems.packet_holding import (
    hold_for_record,
    overdue_flows,
    release_held,
    take_told,
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


def settled_base(tables: BalancerTables, flow: bytes) -> str | None:
    """Find the server of a flow whose bucket is settled."""
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

    A packet without a record may have overtaken its flow's opening.
    """
    record = tables.flows_by_key.get(packet.flow)
    if record:
        forward_recorded(tables, now, packet, record, outbox)
        return
    if settled_base(tables, packet.flow):
        use_base(tables, now, packet, outbox)
        return
    asked = members_to_ask(tables, bucket_of(packet.flow))
    if asked:
        hold_for_record(tables, now, packet, asked, outbox)
    elif isinstance(packet, Open):
        open_flow(tables, packet, None, owners, outbox)
        forward_held(tables, now, packet.flow, outbox)
    else:
        hold_for_record(tables, now, packet, set(), outbox)


def use_base(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
) -> None:
    """Forward a packet of a flow that no member has a record of.

    Such a flow is at its bucket's base; without one, it is not known.
    """
    service = bound_service(tables, packet.flow)
    placement = tables.placements.placements_by_pool.get(service or '')
    is_closed = was_closed(tables, packet.flow)
    if service is None or placement is None or is_closed:
        refuse_unowned(tables, now, packet, outbox)
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
    """Forward a packet to the server that holds its flow."""
    if isinstance(packet, Open):
        owners = owners_of_flow(tables, packet.flow)
        open_flow(tables, packet, record, owners, outbox)
        return
    known = tables.backends_by_id.get(record.backend_id)
    if known is None:
        refuse_unreachable(tables, now, packet, outbox)
        return
    # The most frequent kind first, so that it passes one test alone.
    if isinstance(packet, Upload):
        outbox.append(ToBackend(known.announced.address, packet))
        return
    if isinstance(packet, Request):
        handle_request(tables, now, packet, known, outbox)
        return
    if isinstance(packet, Cancel):
        handle_cancel(tables, now, packet, known, outbox)
        return
    outbox.append(ToBackend(known.announced.address, packet))
    if isinstance(packet, Close):
        end_flow(tables, packet.flow, outbox)


def forward_held(
    tables: BalancerTables, now: float, flow: bytes, outbox: Outbox
) -> None:
    """Forward what waited for a flow, its opening first."""
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
            refuse_unowned(tables, now, packet, outbox)


def handle_record_reply(
    tables: BalancerTables, now: float, told: RecordReply, outbox: Outbox
) -> None:
    """Decide on held packets once it is settled where their flow is."""
    if not is_lease_live(tables, now) or not take_told(tables, told):
        return
    if told.flow in tables.flows_by_key:
        forward_held(tables, now, told.flow, outbox)
        return
    packets = release_held(tables, told.flow)
    packets.sort(key=lambda packet: not isinstance(packet, Open))
    for packet in packets:
        decide_unknown(tables, now, packet, outbox)


def decide_unknown(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
) -> None:
    """Decide on a packet after every member has said what it knows."""
    record = tables.flows_by_key.get(packet.flow)
    if record:
        forward_recorded(tables, now, packet, record, outbox)
    elif isinstance(packet, Open):
        owners = owners_of_flow(tables, packet.flow)
        open_flow(tables, packet, None, owners, outbox)
    else:
        use_base(tables, now, packet, outbox)


def decide_overdue(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Decide on packets whose opening has not come."""
    for flow in overdue_flows(tables, now):
        packets = release_held(tables, flow)
        if is_lease_live(tables, now):
            for packet in packets:
                decide_unknown(tables, now, packet, outbox)


def refuse_unreachable(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Answer a packet whose server has not been heard of here.

    The flow may well live, so nothing but a request is answered.
    """
    tables.counters['', 'server-unknown'] += 1
    if isinstance(packet, Request):
        handle_request(tables, now, packet, None, outbox)


def refuse_unowned(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Answer a packet whose flow has no record; it was not forwarded."""
    tables.counters['', 'no-record'] += 1
    if isinstance(packet, Request):
        handle_request(tables, now, packet, None, outbox)
    else:
        outbox.append(ToCaller(FlowEnded(packet.flow)))
