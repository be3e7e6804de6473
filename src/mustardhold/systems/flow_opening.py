"""Places new flows on backend servers."""

from mustardhold.systems.bindings import opening_service
from mustardhold.systems.capacity import note_placed
from mustardhold.systems.flow_records import pass_chain
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
    """Place a new flow, or repeat the opening of a known one.

    An opening that was lost before its server began to drain is new work.
    """
    if record is None:
        record = place_flow(tables, packet, outbox)
    if record is None:
        return
    known = tables.backends_by_id.get(record.backend_id)
    if known is not None and known.is_closed:
        refuse_open(tables, packet.flow, record.service, 'draining', outbox)
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
    service = opening_service(tables, packet.flow)
    pool = tables.routing.pools_by_name.get(service or '')
    if service is None or pool is None:
        refuse_open(tables, packet.flow, service or '', 'no-service', outbox)
        return None
    if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
        refuse_open(tables, packet.flow, service, 'table-full', outbox)
        return None
    chosen = choose_for_bucket(tables, pool, packet.flow)
    if chosen is None:
        refuse_open(tables, packet.flow, service, 'no-capacity', outbox)
        return None
    note_placed(chosen)
    chosen.held_flows += 1
    record = FlowRecord(service, chosen.announced.backend_id, is_primary=True)
    tables.flows_by_key[packet.flow] = record
    tables.counters[service, 'opened'] += 1
    return record


def choose_for_bucket(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the base of a flow's bucket, or any server if it lets."""
    placement = tables.placements.placements_by_pool.get(pool.name)
    bucket = bucket_of(flow)
    if placement is None or bucket in placement.may_open_elsewhere:
        return choose_server(tables, pool, flow)
    base = tables.backends_by_id.get(placement.assigned_servers[bucket])
    return base if base is not None and accepts_flows(base) else None


def open_settled(
    tables: BalancerTables, packet: Open, base: KnownBackend, outbox: Outbox
) -> None:
    """Send an opening of a settled bucket to its base, which needs no record.

    A caller may repeat an opening; each counts as a flow.
    """
    if not accepts_flows(base):
        pool = base.announced.pool
        refuse_open(tables, packet.flow, pool, 'no-capacity', outbox)
        return
    note_placed(base)
    outbox.append(ToBackend(base.announced.address, packet))


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
