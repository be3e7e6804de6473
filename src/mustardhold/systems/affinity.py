"""The way of a packet: every packet of a flow goes through its owner."""

from mustardhold.systems.choice import choose_server
from mustardhold.systems.hashing import bucket_of, owners_of
from mustardhold.systems.requests import forward_request, note_answer
from mustardhold.systems.routing import open_servers, service_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_FLOW_RECORDS, RELAY_HOPS
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    CallerPacket,
    Close,
    FlowEnded,
    NotRun,
    Open,
    OpenRefused,
    Request,
    Shed,
)
from mustardhold.tables.peers import FlowClosed, RecordChain, Relay


def owners_for(tables: BalancerTables, flow: bytes) -> tuple[str, ...]:
    """Find the owners of a flow's bucket in the view in force."""
    bucket = bucket_of(flow)
    owners = tables.owners_by_bucket.get(bucket)
    if owners is None:
        owners = owners_of(bucket, tables.view.members_by_id)
        tables.owners_by_bucket[bucket] = owners
    return owners


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


def open_flow(
    tables: BalancerTables,
    packet: Open,
    record: FlowRecord | None,
    owners: tuple[str, ...],
    outbox: Outbox,
) -> None:
    """Place a new flow, or repeat the opening of a known one."""
    if record is None:
        record = place_flow(tables, packet, outbox)
    if record is None:
        return
    chain = RecordChain(
        tables.view.epoch,
        packet.flow,
        record.service,
        record.backend_id,
        owners[1:],
    )
    pass_chain(tables, chain, outbox)


def place_flow(
    tables: BalancerTables, packet: Open, outbox: Outbox
) -> FlowRecord | None:
    """Choose a server for a new flow and record it; refuse it otherwise."""
    service = service_of(tables, packet.flow)
    pool = tables.routing.pools_by_name.get(service or '')
    if service is None or pool is None:
        refuse_open(tables, packet.flow, service or '', 'no-service', outbox)
        return None
    if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
        refuse_open(tables, packet.flow, service, 'table-full', outbox)
        return None
    chosen = choose_server(
        packet.flow, tables.data_centre, open_servers(tables, pool)
    )
    if chosen is None:
        refuse_open(tables, packet.flow, service, 'no-capacity', outbox)
        return None
    chosen.held_flows += 1
    record = FlowRecord(service, chosen.announced.backend_id, is_primary=True)
    tables.flows_by_key[packet.flow] = record
    tables.counters[service, 'opened'] += 1
    return record


def refuse_open(
    tables: BalancerTables,
    flow: bytes,
    service: str,
    reason: str,
    outbox: Outbox,
) -> None:
    """Tell a caller why its flow was not opened."""
    tables.counters[service, f'open-refused-{reason}'] += 1
    outbox.append(ToCaller(OpenRefused(flow, reason)))


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


def pass_chain(
    tables: BalancerTables, chain: RecordChain, outbox: Outbox
) -> None:
    """Pass a record to the next owner, or the opening to the server."""
    if chain.owners:
        outbox.append(ToPeer(chain.owners[0], chain))
        return
    known = tables.backends_by_id.get(chain.backend_id)
    if known is None:
        tables.counters[chain.service, 'chain-unknown-server'] += 1
        return
    outbox.append(ToBackend(known.announced.address, Open(chain.flow)))


def take_chain(
    tables: BalancerTables, chain: RecordChain, outbox: Outbox
) -> None:
    """Store a record as one of its owners and pass it on."""
    if chain.flow not in tables.flows_by_key:
        tables.flows_by_key[chain.flow] = FlowRecord(
            chain.service, chain.backend_id, is_primary=False
        )
    rest = RecordChain(
        chain.epoch,
        chain.flow,
        chain.service,
        chain.backend_id,
        chain.owners[1:],
    )
    pass_chain(tables, rest, outbox)


def end_flow(tables: BalancerTables, flow: bytes, outbox: Outbox) -> None:
    """Forget a flow here and at its other owners."""
    forget_flow(tables, flow)
    for owner in owners_for(tables, flow):
        if owner != tables.instance_id:
            outbox.append(ToPeer(owner, FlowClosed(flow)))


def forget_flow(tables: BalancerTables, flow: bytes) -> None:
    """Drop a flow's record and its share of the server's flows."""
    record = tables.flows_by_key.pop(flow, None)
    if record is None or not record.is_primary:
        return
    known = tables.backends_by_id.get(record.backend_id)
    if known is not None:
        known.held_flows = max(known.held_flows - 1, 0)


def take_backend_packet(
    tables: BalancerTables, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a server's packet to the caller that its flow key names."""
    if isinstance(packet, Answer | Shed):
        note_answer(tables, packet)
    if isinstance(packet, Shed):
        outbox.append(ToCaller(NotRun(packet.flow, packet.request_id, 'shed')))
        return
    if isinstance(packet, FlowEnded):
        end_flow(tables, packet.flow, outbox)
    outbox.append(ToCaller(packet))
