"""Commits and reads orders to evacuate data centres through the leader."""

from http import HTTPStatus

import msgspec

from mustardhold.adapters.http_app import (
    HandlerRequest,
    Reply,
    json_reply,
    refuse_all,
)
from mustardhold.adapters.json_body import read_json
from mustardhold.daemons.edit_statuses import status_for
from mustardhold.daemons.proposals import (
    Proposal,
    commit_here,
    commit_through_leader,
    read_from_leader,
)
from mustardhold.daemons.replica_node import AnyOutcome, ReplicaNode
from mustardhold.systems.evacuation_orders import is_evacuated
from mustardhold.systems.evacuation_proposals import (
    propose_evacuation,
    read_evacuations,
)
from mustardhold.systems.histograms import EVACUATION_SECONDS
from mustardhold.tables.evacuations import (
    EVACUATIONS_PATH,
    EvacuationAction,
    EvacuationOrder,
    EvacuationState,
)
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import Accepted, Finding, NoQuorum, Refused

FORWARDED = 'forwarded'

_state_decoder = msgspec.json.Decoder(EvacuationState)


def make_proposal(order: EvacuationOrder) -> Proposal:
    """Make the proposal of an order."""
    return Proposal(
        lambda replica, now: propose_evacuation(replica, now, order),
        EVACUATIONS_PATH,
        msgspec.json.encode(order),
    )


async def submit_order(
    node: ReplicaNode, data_centre: str, action: EvacuationAction
) -> AnyOutcome:
    """Commit an operator's order on this replica or through the leader."""
    order = EvacuationOrder(
        data_centre,
        action,
        node.options.instance_id,
        node.clock.now().timestamp(),
    )
    if not is_known(node, data_centre):
        finding = Finding('data_centre', 'is not in the settings')
        return refuse_order(node, order, (finding,))
    outcome = await commit_through_leader(
        node, make_proposal(order), EVACUATION_SECONDS
    )
    record_outcome(node, order, outcome)
    return outcome


def is_known(node: ReplicaNode, data_centre: str) -> bool:
    """Return whether orders may name a data centre.

    One that the settings no longer name can still be restored.
    """
    return data_centre in node.data_centres or is_evacuated(
        node.replica.evacuations, data_centre
    )


def refuse_order(
    node: ReplicaNode, order: EvacuationOrder, findings: tuple[Finding, ...]
) -> Refused:
    """Count and log an order that is not valid, and return its outcome."""
    node.replica.counters['evacuation', 'refused'] += 1
    node.log.warning(
        'evacuation order refused',
        extra={
            **order_fields(order),
            'findings': [str(one) for one in findings],
        },
    )
    return Refused(findings)


def record_outcome(
    node: ReplicaNode, order: EvacuationOrder, outcome: AnyOutcome
) -> None:
    """Count and log the outcome of an order that this instance accepted."""
    name = type(outcome).__name__
    node.replica.counters['evacuation', name.lower()] += 1
    revision = outcome.version if isinstance(outcome, Accepted) else None
    node.log.info(
        'evacuation order answered',
        extra={**order_fields(order), 'outcome': name, 'revision': revision},
    )


def order_fields(order: EvacuationOrder) -> dict[str, str]:
    """Return the fields of a log line about an order."""
    return {
        'evacuated': order.data_centre,
        'action': order.action,
        'requester': order.requester,
    }


async def handle_order(node: ReplicaNode, request: HandlerRequest) -> Reply:
    """Commit an order of an operator or of another control instance.

    One that names its requester was accepted and checked there, and is not
    forwarded again.
    """
    parsed = read_json(request.body, EvacuationOrder)
    if isinstance(parsed, Err):
        node.replica.counters['evacuation', 'malformed'] += 1
        return refuse_all(parsed.error)
    order = parsed.value
    if order.requester:
        outcome = await commit_here(node, make_proposal(order))
    else:
        outcome = await submit_order(node, order.data_centre, order.action)
    return json_reply(outcome, status_for(outcome))


async def show_evacuations(node: ReplicaNode, request: HandlerRequest) -> Reply:
    """Respond with the evacuated data centres, as the leader knows them."""
    result = read_evacuations(node.replica, node.clock.monotonic())
    if isinstance(result, EvacuationState):
        return json_reply(result)
    state = None
    if FORWARDED not in request.query:
        path = f'{EVACUATIONS_PATH}?{FORWARDED}=1'
        state = await read_from_leader(
            node, result.leader, path, _state_decoder
        )
    if state is None:
        return json_reply(NoQuorum(None), HTTPStatus.SERVICE_UNAVAILABLE)
    return json_reply(state)


def log_evacuations(node: ReplicaNode) -> None:
    """Log the evacuated data centres if they have changed."""
    state = node.replica.evacuations
    if state.revision == node.logged_revision:
        return
    node.logged_revision = state.revision
    node.log.info(
        'evacuated data centres changed',
        extra={
            'revision': state.revision,
            'evacuated': [one.name for one in state.data_centres],
        },
    )
