"""Packets that wait for their flow's record, or for a newer view."""

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
    """Hold a packet until a newer view is in force."""
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
    """Hold a packet of an unknown flow, and ask the members given.

    With no member to ask, the packet may have overtaken its flow's opening.
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
        ask_members(tables, packet.flow, held, outbox)
    elif len(held.packets) >= MAX_HELD_PER_FLOW:
        tables.counters['', 'hold-flow-full'] += 1
        return
    held.packets.append(packet)
    handover.held_packets += 1


def ask_members(
    tables: BalancerTables, flow: bytes, held: HeldFlow, outbox: Outbox
) -> None:
    """Ask the members that have not answered."""
    ask = RecordQuery(tables.instance_id, tables.view.epoch, flow)
    for name in held.waiting_for:
        outbox.append(ToPeer(name, ask))


def resend_record_queries(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Repeat the questions that have had no answer."""
    if not is_lease_live(tables, now):
        return
    for flow, held in tables.handover.held_by_flow.items():
        if now - held.queried_at >= RECORD_QUERY_INTERVAL.total_seconds():
            held.queried_at = now
            ask_members(tables, flow, held, outbox)


def release_held(tables: BalancerTables, flow: bytes) -> list[CallerPacket]:
    """Take a flow's packets out of the hold."""
    held = tables.handover.held_by_flow.pop(flow, None)
    if held is None:
        return []
    tables.handover.held_packets -= len(held.packets)
    return held.packets


def overdue_flows(tables: BalancerTables, now: float) -> list[bytes]:
    """List the flows whose opening has not come."""
    return [
        flow
        for flow, held in tables.handover.held_by_flow.items()
        if not held.waiting_for and now >= held.deadline
    ]


def release_early(tables: BalancerTables, now: float) -> list[EarlyPacket]:
    """Take out the packets that waited for a newer view.

    Packets held for a record wait for that view too, since it may name other
    members to ask.
    """
    handover = tables.handover
    early = [one for one in handover.early_packets if now < one.deadline]
    tables.counters['', 'early-expired'] += len(handover.early_packets) - len(
        early
    )
    handover.early_packets.clear()
    for flow in tuple(handover.held_by_flow):
        packets = release_held(tables, flow)
        early.extend(EarlyPacket(now, 0, packet) for packet in packets)
    return early


def expired_early(tables: BalancerTables, now: float) -> list[CallerPacket]:
    """Take out the packets for which no newer view came in time."""
    early = tables.handover.early_packets
    expired = []
    while early and now >= early[0].deadline:
        expired.append(early.popleft().packet)
        tables.counters['', 'early-expired'] += 1
    return expired


def handle_record_query(
    tables: BalancerTables, now: float, ask: RecordQuery, outbox: Outbox
) -> None:
    """Say whether a flow is known here, and act on no older view again."""
    if ask.epoch < tables.view.epoch or now >= tables.lease_until:
        tables.counters['', 'ask-declined'] += 1
        return
    raise_fence(tables, ask.epoch)
    record = tables.flows_by_key.get(ask.flow)
    told = RecordReply(
        tables.instance_id,
        ask.epoch,
        ask.flow,
        record.service if record else '',
        record.backend_id if record else '',
    )
    outbox.append(ToPeer(ask.requester_id, told))


def take_told(tables: BalancerTables, told: RecordReply) -> bool:
    """Count an answer.

    Returns
    -------
    bool
        Whether it is settled where the flow is, or that no member knows it.
    """
    held = tables.handover.held_by_flow.get(told.flow)
    if held is None or told.epoch != tables.view.epoch:
        return False
    if told.backend_id:
        store_record(tables, told.flow, told.service, told.backend_id)
        return True
    if told.member_id not in held.waiting_for:
        return False
    held.waiting_for.discard(told.member_id)
    return not held.waiting_for
