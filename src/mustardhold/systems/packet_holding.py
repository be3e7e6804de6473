"""Holds packets that wait for their flow's record or for a newer view."""

from mustardhold.systems.handover import store_record
from mustardhold.systems.ownership import is_lease_live, raise_fence
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    EARLY_HOLD,
    MAX_HELD_PACKETS,
    MAX_HELD_PER_FLOW,
    RECORD_QUERY_INTERVAL,
    REORDERING_HOLD,
)
from mustardhold.tables.handover import EarlyPacket, HeldFlow
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.packets import CallerPacket
from mustardhold.tables.peers import RecordQuery, RecordReply


def hold_for_view(
    tables: BalancerTables, now: float, packet: CallerPacket, hops: int
) -> None:
    """Hold a packet until a newer view or a lease arrives."""
    handover = tables.handover
    if handover.held_packets + len(handover.early_packets) >= MAX_HELD_PACKETS:
        tables.counters['', 'hold-full'] += 1
        return
    deadline = now + EARLY_HOLD.total_seconds()
    handover.early_packets.append(EarlyPacket(deadline, hops, packet))


def hold_for_record(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    waiting_for: set[str],
    outbox: Outbox,
) -> None:
    """Hold a packet of an unknown flow and query members for its record.

    Without members to query, the packet may have overtaken its flow's opening
    and waits for that.
    """
    handover = tables.handover
    held = handover.held_by_flow.get(packet.flow)
    if handover.held_packets + len(handover.early_packets) >= MAX_HELD_PACKETS:
        tables.counters['', 'hold-full'] += 1
        return
    if held is None:
        deadline = now + REORDERING_HOLD.total_seconds()
        held = HeldFlow(waiting_for, now, deadline)
        handover.held_by_flow[packet.flow] = held
        send_record_queries(tables, packet.flow, held, outbox)
    elif len(held.packets) >= MAX_HELD_PER_FLOW:
        tables.counters['', 'hold-flow-full'] += 1
        return
    held.packets.append(packet)
    handover.held_packets += 1


def send_record_queries(
    tables: BalancerTables, flow: bytes, held: HeldFlow, outbox: Outbox
) -> None:
    """Send a record query to the members that have not replied."""
    query = RecordQuery(tables.instance_id, tables.view.epoch, flow)
    for name in held.waiting_for:
        outbox.append(ToPeer(name, query))


def resend_record_queries(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Resend the record queries that have had no reply."""
    if not is_lease_live(tables, now):
        return
    for flow, held in tables.handover.held_by_flow.items():
        if now - held.queried_at >= RECORD_QUERY_INTERVAL.total_seconds():
            held.queried_at = now
            send_record_queries(tables, flow, held, outbox)


def release_held(tables: BalancerTables, flow: bytes) -> list[CallerPacket]:
    """Remove and return the packets held for a flow."""
    held = tables.handover.held_by_flow.pop(flow, None)
    if held is None:
        return []
    tables.handover.held_packets -= len(held.packets)
    return held.packets


def overdue_flows(tables: BalancerTables, now: float) -> list[bytes]:
    """List the flows whose opening has not arrived in time."""
    return [
        flow
        for flow, held in tables.handover.held_by_flow.items()
        if not held.waiting_for and now >= held.deadline
    ]


def pop_early_packets(tables: BalancerTables, now: float) -> list[EarlyPacket]:
    """Remove all held packets; return them without the expired ones.

    Packets held for a record are included, since a new view may have other
    members to query.
    """
    handover = tables.handover
    early = [
        waiting for waiting in handover.early_packets if now < waiting.deadline
    ]
    tables.counters['', 'early-expired'] += len(handover.early_packets) - len(
        early
    )
    handover.early_packets.clear()
    for flow in tuple(handover.held_by_flow):
        packets = release_held(tables, flow)
        early.extend(EarlyPacket(now, 0, packet) for packet in packets)
    return early


def pop_expired_packets(
    tables: BalancerTables, now: float
) -> list[CallerPacket]:
    """Remove and return packets that waited too long for a newer view."""
    early = tables.handover.early_packets
    expired = []
    while early and now >= early[0].deadline:
        expired.append(early.popleft().packet)
        tables.counters['', 'early-expired'] += 1
    return expired


def handle_record_query(
    tables: BalancerTables, now: float, query: RecordQuery, outbox: Outbox
) -> None:
    """Reply with a flow's record, if any; act on no older view afterwards."""
    if query.epoch < tables.view.epoch or now >= tables.lease_until:
        tables.counters['', 'ask-declined'] += 1
        return
    raise_fence(tables, query.epoch)
    record = tables.flows_by_key.get(query.flow)
    reply = RecordReply(
        tables.instance_id,
        query.epoch,
        query.flow,
        record.service if record else '',
        record.backend_id if record else '',
    )
    outbox.append(ToPeer(query.requester_id, reply))


def merge_record_reply(tables: BalancerTables, reply: RecordReply) -> bool:
    """Store the record of a reply, or count a reply without one.

    Returns
    -------
    bool
        Whether the flow has a record now, or no queried member has one.
    """
    held = tables.handover.held_by_flow.get(reply.flow)
    if held is None or reply.epoch != tables.view.epoch:
        return False
    if reply.backend_id:
        store_record(tables, reply.flow, reply.service, reply.backend_id)
        return True
    if reply.member_id not in held.waiting_for:
        return False
    held.waiting_for.discard(reply.member_id)
    return not held.waiting_for
