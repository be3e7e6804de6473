"""Stores the records of flows at the owners of their bucket."""

from mustardhold.systems.ownership import (
    highest_known_epoch,
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


def forward_chain(
    tables: BalancerTables, chain: RecordChain, outbox: Outbox
) -> None:
    """Send a record to the next owner, or the opening to the server."""
    if chain.owners:
        outbox.append(ToPeer(chain.owners[0], chain))
        return
    server = tables.backends_by_id.get(chain.backend_id)
    if server is None:
        tables.counters[chain.service, 'chain-unknown-server'] += 1
        return
    outbox.append(ToBackend(server.announced.address, Open(chain.flow)))


def handle_record_chain(
    tables: BalancerTables, now: float, chain: RecordChain, outbox: Outbox
) -> None:
    """Store a record as one of its owners and forward it along the chain.

    A chain of an older view is dropped: the primary owner in the newer view
    may already have received the reply that the flow is unknown here.
    """
    raise_fence(tables, chain.epoch)
    if chain.epoch < highest_known_epoch(tables) or now >= tables.lease_until:
        tables.counters[chain.service, 'chain-outdated'] += 1
        return
    existing = tables.flows_by_key.get(chain.flow)
    if existing is None:
        if len(tables.flows_by_key) >= MAX_FLOW_RECORDS:
            tables.counters[chain.service, 'record-table-full'] += 1
            outbox.append(ToCaller(OpenRefused(chain.flow, 'table-full')))
            return
        tables.flows_by_key[chain.flow] = FlowRecord(
            chain.service, chain.backend_id, is_primary=False
        )
    elif existing.backend_id != chain.backend_id:
        tables.counters[chain.service, 'record-conflict'] += 1
        return
    remaining = RecordChain(
        chain.epoch,
        chain.flow,
        chain.service,
        chain.backend_id,
        chain.owners[1:],
    )
    forward_chain(tables, remaining, outbox)


def end_flow(tables: BalancerTables, flow: bytes, outbox: Outbox) -> None:
    """Remove a flow's record here and at its other owners."""
    forget_flow(tables, flow)
    for owner in owners_of_flow(tables, flow):
        if owner != tables.instance_id:
            outbox.append(ToPeer(owner, FlowClosed(flow)))


def forget_flow(tables: BalancerTables, flow: bytes) -> None:
    """Remove the record of a flow that has ended."""
    if flow in tables.flows_by_key:
        mark_closed(tables, flow)
        drop_record(tables, flow)


def drop_record(tables: BalancerTables, flow: bytes) -> None:
    """Remove a record; its flow may still be open."""
    record = tables.flows_by_key.pop(flow)
    if not record.is_primary:
        return
    server = tables.backends_by_id.get(record.backend_id)
    if server is not None:
        server.held_flows = max(server.held_flows - 1, 0)


def mark_closed(tables: BalancerTables, flow: bytes) -> None:
    """Remember that a flow has ended, since some packets arrive later."""
    closed = tables.handover.closed_flows
    if len(closed) >= MAX_CLOSED_FLOWS:
        tables.counters['', 'closed-flows-full'] += 1
        return
    closed.add(flow)


def was_closed(tables: BalancerTables, flow: bytes) -> bool:
    """Return whether a flow has ended recently."""
    handover = tables.handover
    return (
        flow in handover.closed_flows or flow in handover.previous_closed_flows
    )


def expire_closed_flows(tables: BalancerTables, now: float) -> None:
    """Forget ended flows after one to two retention periods."""
    handover = tables.handover
    if now - handover.closed_period_start >= CLOSED_FLOW_PERIOD.total_seconds():
        handover.closed_period_start = now
        handover.previous_closed_flows = handover.closed_flows
        handover.closed_flows = set()
