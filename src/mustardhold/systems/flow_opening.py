"""Opens new flows on backend servers."""

from mustardhold.systems.bindings import opening_service
from mustardhold.systems.capacity import count_placed_flow
from mustardhold.systems.flow_records import forward_chain
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.server_selection import accepts_flows, choose_server
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_FLOW_RECORDS
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import Open, OpenRefused
from mustardhold.tables.peers import RecordChain
from mustardhold.tables.routing import Pool


def open_flow(
    tables: BalancerTables,
    packet: Open,
    record: FlowRecord | None,
    owners: tuple[str, ...],
    outbox: Outbox,
) -> None:
    """Place a new flow, or resend the opening of a recorded one.

    If an opening was lost and its server has begun to drain since, the
    repeated opening is new work for that server and is refused.
    """
    if record is None:
        record = place_flow(tables, packet, outbox)
    if record is None:
        return
    server = tables.backends_by_id.get(record.backend_id)
    if server is not None and server.is_closed:
        refuse_open(tables, packet.flow, record.service, 'draining', outbox)
        return
    chain = RecordChain(
        tables.view.epoch,
        packet.flow,
        record.service,
        record.backend_id,
        owners[1:],
    )
    forward_chain(tables, chain, outbox)


def place_flow(
    tables: BalancerTables, packet: Open, outbox: Outbox
) -> FlowRecord | None:
    """Choose a server for a new flow and record it, or refuse the flow."""
    service = opening_service(tables, packet.flow)
    pool = tables.routing.pools_by_name.get(service or '')
    if service is None or pool is None:
        refuse_open(tables, packet.flow, service or '', 'no-service', outbox)
        return None
    if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
        refuse_open(tables, packet.flow, service, 'table-full', outbox)
        return None
    chosen = choose_server_for_bucket(tables, pool, packet.flow)
    if chosen is None:
        refuse_open(tables, packet.flow, service, 'no-capacity', outbox)
        return None
    count_placed_flow(chosen)
    chosen.held_flows += 1
    record = FlowRecord(service, chosen.announced.backend_id, is_primary=True)
    tables.flows_by_key[packet.flow] = record
    tables.counters[service, 'opened'] += 1
    return record


def choose_server_for_bucket(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the bucket's assigned server, or any if it may open elsewhere."""
    placement = tables.placements.placements_by_pool.get(pool.name)
    bucket = bucket_of(flow)
    if placement is None or bucket in placement.may_open_elsewhere:
        return choose_server(tables, pool, flow)
    assigned = tables.backends_by_id.get(placement.assigned_servers[bucket])
    return (
        assigned if assigned is not None and accepts_flows(assigned) else None
    )


def open_settled(
    tables: BalancerTables, packet: Open, assigned: KnownBackend, outbox: Outbox
) -> None:
    """Send an opening of a settled bucket to its assigned server.

    Such a flow needs no record. Each repeat of an opening counts as a flow.
    """
    if not accepts_flows(assigned):
        pool = assigned.announced.pool
        refuse_open(tables, packet.flow, pool, 'no-capacity', outbox)
        return
    count_placed_flow(assigned)
    outbox.append(ToBackend(assigned.announced.address, packet))


def refuse_open(
    tables: BalancerTables,
    flow: bytes,
    service: str,
    reason: str,
    outbox: Outbox,
) -> None:
    """Notify a caller that its flow was refused, and why."""
    tables.counters[service, f'open-refused-{reason}'] += 1
    outbox.append(ToCaller(OpenRefused(flow, reason)))
