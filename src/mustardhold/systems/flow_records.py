"""Records of flows at the owners of their bucket."""

from mustardhold.systems.ownership import (
    newest_epoch,
    owners_of_flow,
    raise_fence,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    CLOSED_FLOW_PERIOD,
    MAX_CLOSED_FLOWS,
    MAX_FLOW_RECORDS,
)
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import Open, OpenRefused
from mustardhold.tables.peers import FlowClosed, RecordChain


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


def handle_record_chain(
    tables: BalancerTables, now: float, chain: RecordChain, outbox: Outbox
) -> None:
    """Store a record as one of its owners and pass it on.

    A chain of an older view is dropped: the primary owner in the newer one
    may already have been told that the flow is not known here.
    """
    raise_fence(tables, chain.epoch)
    if chain.epoch < newest_epoch(tables) or now >= tables.lease_until:
        tables.counters[chain.service, 'chain-outdated'] += 1
        return
    known = tables.flows_by_key.get(chain.flow)
    if known is None:
        if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
            tables.counters[chain.service, 'record-table-full'] += 1
            outbox.append(ToCaller(OpenRefused(chain.flow, 'table-full')))
            return
        tables.flows_by_key[chain.flow] = FlowRecord(
            chain.service, chain.backend_id, is_primary=False
        )
    elif known.backend_id != chain.backend_id:
        tables.counters[chain.service, 'record-conflict'] += 1
        return
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
    for owner in owners_of_flow(tables, flow):
        if owner != tables.instance_id:
            outbox.append(ToPeer(owner, FlowClosed(flow)))


def forget_flow(tables: BalancerTables, flow: bytes) -> None:
    """Drop a flow's record and its share of the server's flows."""
    if flow in tables.flows_by_key:
        note_closed_flow(tables, flow)
        drop_record(tables, flow)


def drop_record(tables: BalancerTables, flow: bytes) -> None:
    """Drop a record whose flow may live on."""
    record = tables.flows_by_key.pop(flow)
    if not record.is_primary:
        return
    known = tables.backends_by_id.get(record.backend_id)
    if known is not None:
        known.held_flows = max(known.held_flows - 1, 0)


def note_closed_flow(tables: BalancerTables, flow: bytes) -> None:
    """Keep for a while that a flow has ended: some packets come after."""
    closed = tables.handover.closed_flows
    if len(closed) >= MAX_CLOSED_FLOWS:
        tables.counters['', 'closed-flows-full'] += 1
        return
    closed.add(flow)


def was_closed(tables: BalancerTables, flow: bytes) -> bool:
    """Tell whether a flow ended lately."""
    handover = tables.handover
    return (
        flow in handover.closed_flows or flow in handover.previous_closed_flows
    )


def expire_closed_flows(tables: BalancerTables, now: float) -> None:
    """Forget the flows that ended some time ago."""
    handover = tables.handover
    if now - handover.closed_period_start >= CLOSED_FLOW_PERIOD.total_seconds():
        handover.closed_period_start = now
        handover.previous_closed_flows = handover.closed_flows
        handover.closed_flows = set()
