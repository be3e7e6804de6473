"""Explains what a balancer decided about a flow or a request."""

from datetime import datetime, timedelta

from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.routing import service_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.observations import DecisionRecord, Observations
from mustardhold.tables.status import (
    DecisionEntry,
    Explanation,
    FlowExplanation,
)


def explain(
    tables: BalancerTables, seen: Observations, key: bytes, epoch: datetime
) -> Explanation:
    """Explain a flow by its key, or a request by its id.

    Parameters
    ----------
    epoch
        Time of day at which the monotonic clock read 0.
    """
    decisions = [
        one for one in seen.decisions if key in {one.flow, one.request_id}
    ]
    flow = key if len(key) == FLOW_KEY_BYTES else flow_of(decisions)
    return Explanation(
        explain_flow(tables, flow) if flow else None,
        tuple(
            show_decision(tables.instance_id, one, epoch) for one in decisions
        ),
    )


def flow_of(decisions: list[DecisionRecord]) -> bytes:
    """Find the flow that decisions are about."""
    return decisions[-1].flow if decisions else b''


def explain_flow(tables: BalancerTables, flow: bytes) -> FlowExplanation:
    """Tell what is in force for a flow."""
    record = tables.flows_by_key.get(flow)
    backend_id = record.backend_id if record else ''
    known = tables.backends_by_id.get(backend_id)
    return FlowExplanation(
        tables.instance_id,
        flow.hex(),
        service_of(tables, flow) or '',
        bucket_of(flow),
        owners_of_flow(tables, flow),
        backend_id,
        str(known.announced.state) if known else '',
        tables.routing.version,
        tables.view.epoch,
    )


def show_decision(
    instance_id: str, decision: DecisionRecord, epoch: datetime
) -> DecisionEntry:
    """Turn a decision into what operators are shown."""
    return DecisionEntry(
        instance_id,
        epoch + timedelta(seconds=decision.at),
        decision.flow.hex(),
        decision.request_id.hex(),
        decision.outcome,
        decision.target,
        decision.reason,
        decision.table_version,
        decision.view_epoch,
    )
