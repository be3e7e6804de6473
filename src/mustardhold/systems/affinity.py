"""The way of a packet: every packet of a flow goes through its owner."""

from mustardhold.systems.health import note_backend_packet
from mustardhold.systems.opening import open_flow
from mustardhold.systems.ownership import is_lease_live, owners_for
from mustardhold.systems.records import end_flow
from mustardhold.systems.requests import forward_request, note_answer
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import RELAY_HOPS
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    CallerPacket,
    Close,
    FlowEnded,
    NotRun,
    Open,
    Request,
    Shed,
)
from mustardhold.tables.peers import Relay


def take_caller_packet(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
    hops: int = 0,
) -> None:
    """Decide on a packet from a caller, or relay it to its flow's owner."""
    owners = owners_for(tables, packet.flow)
    if owners[0] == tables.instance_id:
        if not is_lease_live(tables, now):
            tables.counters['', 'lease-expired'] += 1
            return
        decide_as_owner(tables, now, packet, owners, outbox)
    elif hops < RELAY_HOPS:
        relay = Relay(tables.instance_id, tables.view.epoch, hops + 1, packet)
        outbox.append(ToPeer(owners[0], relay))
    else:
        tables.counters['', 'relay-hops-exceeded'] += 1


def decide_as_owner(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    owners: tuple[str, ...],
    outbox: Outbox,
) -> None:
    """Decide on a caller's packet as primary owner of its bucket."""
    record = tables.flows_by_key.get(packet.flow)
    if isinstance(packet, Open):
        open_flow(tables, packet, record, owners, outbox)
        return
    if record is None:
        refuse_unowned(tables, packet, outbox)
        return
    known = tables.backends_by_id.get(record.backend_id)
    if known is None:
        refuse_unowned(tables, packet, outbox)
        return
    if isinstance(packet, Request):
        forward_request(tables, now, packet, known, outbox)
        return
    outbox.append(ToBackend(known.announced.address, packet))
    if isinstance(packet, Close):
        end_flow(tables, packet.flow, outbox)


def refuse_unowned(
    tables: BalancerTables, packet: CallerPacket, outbox: Outbox
) -> None:
    """Answer a packet whose flow has no record; it was not forwarded."""
    tables.counters['', 'no-record'] += 1
    if isinstance(packet, Request):
        outbox.append(
            ToCaller(NotRun(packet.flow, packet.request_id, 'no-flow'))
        )
    else:
        outbox.append(ToCaller(FlowEnded(packet.flow)))


def take_backend_packet(
    tables: BalancerTables, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a server's packet to the caller that its flow key names."""
    note_backend_packet(tables, packet)
    if isinstance(packet, Answer | Shed):
        note_answer(tables, packet)
    if isinstance(packet, Shed):
        outbox.append(ToCaller(NotRun(packet.flow, packet.request_id, 'shed')))
        return
    if isinstance(packet, FlowEnded):
        end_flow(tables, packet.flow, outbox)
    outbox.append(ToCaller(packet))
