"""Edits and replacements of replicas, as operators ask for them."""

from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import urlencode

import trio

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

MARGIN_SECONDS = 1
FORWARDED: Mapping[str, str] = {'forwarded': '1'}


def edit_reply(outcome: AnyOutcome) -> Reply:
    """Answer with an edit's outcome."""
    return json_reply(outcome, status_for(outcome))


async def take_edit(node: ReplicaNode, ask: HandlerRequest) -> Reply:
    """Handle an operator's edit; only a committed one is accepted."""
    if len(ask.body) > MAX_BODY_BYTES:
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return refuse('body', 'is too large', status)
    read = read_json(ask.body, Edit)
    if isinstance(read, Err):
        return refuse_all(read.error)
    edit = read.value
    began = node.clock.monotonic()
    proposed, waiting = propose(node, edit)
    if isinstance(proposed, NotLeader):
        return await forward_edit(node, proposed.leader, ask)
    if not isinstance(proposed, Pending):
        return edit_reply(proposed)
    with trio.move_on_after(EDIT_TIMEOUT.total_seconds()):
        await waiting.done.wait()
    node.proposals_by_index.pop(proposed.index, None)
    note_outcome(node, waiting.outcome, node.clock.monotonic() - began)
    return edit_reply(waiting.outcome)


def propose(
    node: ReplicaNode, edit: Edit
) -> tuple[consensus.ProposalResult, PendingProposal]:
    """Give an edit to the replica, and wait for its place in the log."""
    taken_at = node.clock.now().timestamp()
    return submit_proposal(
        node,
        lambda now: consensus.propose_edit(node.replica, now, edit, taken_at),
    )


def note_outcome(
    node: ReplicaNode, outcome: AnyOutcome, seconds: float
) -> None:
    """Count the outcome of an edit that this leader took, and its time."""
    name = type(outcome).__name__.lower()
    node.replica.counters['edit', name] += 1
    observe(
        node.observations.histograms_by_key, (EDIT_SECONDS, '', name), seconds
    )


async def forward_edit(
    node: ReplicaNode, leader: ReplicaMember | None, ask: HandlerRequest
) -> Reply:
    """Hand an edit to the leader, and pass its answer on."""
    if leader is None or 'forwarded' in ask.query:
        return edit_reply(NoQuorum(leader.instance_id if leader else None))
    reply = await post_to_leader(node, leader, '/edits', ask)
    if isinstance(reply, Ok):
        return reply.value
    is_certain = reply.error.is_unsent
    return edit_reply(NoQuorum(leader.instance_id) if is_certain else Unknown())


async def post_to_leader(
    node: ReplicaNode, leader: ReplicaMember, path: str, ask: HandlerRequest
) -> Outcome[Reply, HttpFailure]:
    """Post what an operator asked to the leader."""
    query = urlencode({**ask.query, **FORWARDED})
    request = HttpRequest(
        'POST', leader.http_address, f'{path}?{query}', ask.body
    )
    timeout = EDIT_TIMEOUT.total_seconds() + MARGIN_SECONDS
    sent = await send_request(node.client, request, timeout)
    if isinstance(sent, Err):
        return sent
    return Ok(Reply(HTTPStatus(sent.value.status), sent.value.body))


async def take_replacement(node: ReplicaNode, ask: HandlerRequest) -> Reply:
    """Handle an operator's wish to replace a replica by its new folder."""
    leader = node.replica.leader
    is_leader = node.replica.role is Role.LEADER
    if not is_leader and leader and 'forwarded' not in ask.query:
        reply = await post_to_leader(node, leader, '/replicas', ask)
        if isinstance(reply, Err):
            return refuse('leader', reply.error.reason, HTTPStatus.BAD_GATEWAY)
        return reply.value
    effects = Effects()
    with stopping_on_failure(node):
        taken = replace_replica(
            node.replica,
            node.clock.monotonic(),
            ask.query.get('replace', ''),
            effects,
        )
        execute_effects(node, effects)
    if isinstance(taken, Err):
        return json_reply(Refused((taken.error,)), HTTPStatus.CONFLICT)
    return json_reply(taken.value, HTTPStatus.ACCEPTED)
