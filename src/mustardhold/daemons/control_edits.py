"""HTTP handlers for the operators' edits and replacements of replicas."""

from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import urlencode

from mustardhold.adapters.http_app import (
    MAX_BODY_BYTES,
    HandlerRequest,
    Reply,
    json_reply,
    refuse,
    refuse_all,
)
from mustardhold.adapters.http_client import (
    HttpFailure,
    HttpRequest,
    send_request,
)
from mustardhold.adapters.json_body import read_json
from mustardhold.daemons.edit_statuses import status_for
from mustardhold.daemons.proposals import wait_pending
from mustardhold.daemons.replica_node import (
    AnyOutcome,
    PendingProposal,
    ReplicaNode,
    execute_effects,
    stopping_on_failure,
    submit_proposal,
)
from mustardhold.systems import consensus
from mustardhold.systems.histograms import EDIT_SECONDS, observe
from mustardhold.systems.replica_membership import replace_replica
from mustardhold.tables.consensus import (
    Effects,
    NotLeader,
    Pending,
    ReplicaMember,
    Role,
)
from mustardhold.tables.constants import (
    EDIT_TIMEOUT,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import (
    Edit,
    NoQuorum,
    Refused,
    Unknown,
)

FORWARD_MARGIN_SECONDS = 1
FORWARDED_QUERY: Mapping[str, str] = {'forwarded': '1'}


def edit_reply(outcome: AnyOutcome) -> Reply:
    """Make the response to an edit from its outcome."""
    return json_reply(outcome, status_for(outcome))


async def handle_edit(node: ReplicaNode, request: HandlerRequest) -> Reply:
    """Commit an operator's edit, on this replica or through the leader.

    The edit is accepted only once it is committed.
    """
    if len(request.body) > MAX_BODY_BYTES:
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return refuse('body', 'is too large', status)
    parsed = read_json(request.body, Edit)
    if isinstance(parsed, Err):
        return refuse_all(parsed.error)
    edit = parsed.value
    started_at = node.clock.monotonic()
    proposed, pending = propose(node, edit)
    if isinstance(proposed, NotLeader):
        return await forward_edit(node, proposed.leader, request)
    if not isinstance(proposed, Pending):
        return edit_reply(proposed)
    outcome = await wait_pending(
        node, proposed, pending, EDIT_TIMEOUT.total_seconds()
    )
    record_outcome(node, outcome, node.clock.monotonic() - started_at)
    return edit_reply(outcome)


def propose(
    node: ReplicaNode, edit: Edit
) -> tuple[consensus.ProposalResult, PendingProposal]:
    """Propose an edit to the local replica.

    Returns
    -------
    tuple
        The immediate result, and the pending proposal that gets the outcome.
    """
    taken_at = node.clock.now().timestamp()
    return submit_proposal(
        node,
        lambda now: consensus.propose_edit(node.replica, now, edit, taken_at),
    )


def record_outcome(
    node: ReplicaNode, outcome: AnyOutcome, seconds: float
) -> None:
    """Count the outcome of an edit of this leader, and observe its duration."""
    name = type(outcome).__name__.lower()
    node.replica.counters['edit', name] += 1
    observe(
        node.observations.histograms_by_key, (EDIT_SECONDS, '', name), seconds
    )


async def forward_edit(
    node: ReplicaNode, leader: ReplicaMember | None, request: HandlerRequest
) -> Reply:
    """Forward an edit to the leader and relay the response.

    An edit is forwarded once at most. The outcome is unknown if the request
    may have reached the leader but no response came back.
    """
    if leader is None or 'forwarded' in request.query:
        return edit_reply(NoQuorum(leader.instance_id if leader else None))
    reply = await post_to_leader(node, leader, '/edits', request)
    if isinstance(reply, Ok):
        return reply.value
    is_certain = reply.error.is_unsent
    return edit_reply(NoQuorum(leader.instance_id) if is_certain else Unknown())


async def post_to_leader(
    node: ReplicaNode, leader: ReplicaMember, path: str, request: HandlerRequest
) -> Outcome[Reply, HttpFailure]:
    """Post an operator's request to the leader, marked as forwarded."""
    query = urlencode({**request.query, **FORWARDED_QUERY})
    post_request = HttpRequest(
        'POST', leader.http_address, f'{path}?{query}', request.body
    )
    timeout = EDIT_TIMEOUT.total_seconds() + FORWARD_MARGIN_SECONDS
    response = await send_request(node.http_client, post_request, timeout)
    if isinstance(response, Err):
        return response
    return Ok(Reply(HTTPStatus(response.value.status), response.value.body))


async def handle_replacement(
    node: ReplicaNode, request: HandlerRequest
) -> Reply:
    """Replace a replica that lost its folder, here or through the leader."""
    leader = node.replica.leader
    is_leader = node.replica.role is Role.LEADER
    if not is_leader and leader and 'forwarded' not in request.query:
        reply = await post_to_leader(node, leader, '/replicas', request)
        if isinstance(reply, Err):
            return refuse('leader', reply.error.reason, HTTPStatus.BAD_GATEWAY)
        return reply.value
    effects = Effects()
    with stopping_on_failure(node):
        replacement = replace_replica(
            node.replica,
            node.clock.monotonic(),
            request.query.get('replace', ''),
            effects,
        )
        execute_effects(node, effects)
    if isinstance(replacement, Err):
        return json_reply(Refused((replacement.error,)), HTTPStatus.CONFLICT)
    return json_reply(replacement.value, HTTPStatus.ACCEPTED)
