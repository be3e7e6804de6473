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
    tables: BalancerTables,
    observations: Observations,
    key: bytes,
    epoch: datetime,
) -> Explanation:
    """Explain a flow by its key, or a request by its id.

    Parameters
    ----------
    epoch
        Time of day at which the monotonic clock read 0.
    """
    decisions = [
        decision
        for decision in observations.decisions
        if key in {decision.flow, decision.request_id}
    ]
    flow = key if len(key) == FLOW_KEY_BYTES else latest_flow(decisions)
    return Explanation(
        explain_flow(tables, flow) if flow else None,
        tuple(
            describe_decision(tables.instance_id, decision, epoch)
            for decision in decisions
        ),
    )


def latest_flow(decisions: list[DecisionRecord]) -> bytes:
    """Return the flow of the latest decision; empty without decisions."""
    return decisions[-1].flow if decisions else b''


def explain_flow(tables: BalancerTables, flow: bytes) -> FlowExplanation:
    """Describe the service, owners and server of a flow."""
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


def describe_decision(
    instance_id: str, decision: DecisionRecord, epoch: datetime
) -> DecisionEntry:
    """Convert a decision to the form that operators are shown."""
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
