"""Commits and reads whole configurations through the leader."""

import msgspec
import trio

from mustardhold.adapters.http_app import HandlerRequest, Reply, json_reply
from mustardhold.adapters.http_client import HttpRequest, send_request
from mustardhold.daemons.edit_statuses import status_for
from mustardhold.daemons.replica_node import (
    AnyOutcome,
    PendingProposal,
    ReplicaNode,
    submit_proposal,
)
from mustardhold.systems import consensus
from mustardhold.systems.histograms import CONFIGURATION_SECONDS, observe
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import NotLeader, Pending, ReplicaMember
from mustardhold.tables.constants import CONFIGURATION_TIMEOUT
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import EditOutcome, NoQuorum, Unknown

CONFIGURATION_PATH = '/configuration'

_outcome_decoder = msgspec.json.Decoder(EditOutcome)
_document_decoder = msgspec.json.Decoder(VersionedDocument)


async def replace_configuration(
    node: ReplicaNode, document: VersionedDocument
) -> AnyOutcome:
    """Commit a configuration on this replica or through the leader."""
    started_at = node.clock.monotonic()
    proposed, pending = propose(node, document)
    if isinstance(proposed, NotLeader):
        outcome = await forward_configuration(node, proposed.leader, document)
    else:
        outcome = await wait_outcome(node, proposed, pending)
    key = (CONFIGURATION_SECONDS, '', type(outcome).__name__.lower())
    seconds = node.clock.monotonic() - started_at
    observe(node.observations.histograms_by_key, key, seconds)
    return outcome


async def wait_outcome(
    node: ReplicaNode,
    proposed: consensus.ConfigurationProposalResult,
    pending: PendingProposal,
) -> AnyOutcome:
    """Wait until a proposed configuration is committed or the timeout ends."""
    if isinstance(proposed, NotLeader):
        return NoQuorum(None)
    if not isinstance(proposed, Pending):
        return proposed
    with trio.move_on_after(CONFIGURATION_TIMEOUT.total_seconds()):
        await pending.done.wait()
    node.proposals_by_index.pop(proposed.index, None)
    return pending.outcome


def propose(
    node: ReplicaNode, document: VersionedDocument
) -> tuple[consensus.ConfigurationProposalResult, PendingProposal]:
    """Propose a configuration to the local replica.

    Returns
    -------
    tuple
        The immediate result, and the pending proposal that gets the outcome.
    """
    return submit_proposal(
        node,
        lambda now: consensus.propose_configuration(
            node.replica, now, document
        ),
    )


async def forward_configuration(
    node: ReplicaNode,
    leader: ReplicaMember | None,
    document: VersionedDocument,
) -> AnyOutcome:
    """Forward a configuration to the leader and return its outcome.

    The outcome is unknown if the request may have reached the leader but no
    valid response came back.
    """
    if leader is None:
        return NoQuorum(None)
    request = HttpRequest(
        'POST',
        leader.http_address,
        CONFIGURATION_PATH,
        msgspec.json.encode(document),
    )
    response = await send_request(
        node.http_client, request, CONFIGURATION_TIMEOUT.total_seconds()
    )
    if isinstance(response, Err):
        is_unsent = response.error.is_unsent
        return NoQuorum(leader.instance_id) if is_unsent else Unknown()
    try:
        return _outcome_decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return Unknown()


async def handle_forwarded_configuration(
    node: ReplicaNode, request: HandlerRequest
) -> Reply:
    """Commit a configuration that another control instance forwarded."""
    proposed, pending = propose(node, _document_decoder.decode(request.body))
    outcome = await wait_outcome(node, proposed, pending)
    return json_reply(outcome, status_for(outcome))


async def read_configuration(
    node: ReplicaNode,
) -> VersionedDocument | None:
    """Read the latest configuration from a leader that holds its lease.

    Returns
    -------
    VersionedDocument or None
        None if there is no such leader or it did not respond.
    """
    result = consensus.read_configuration(node.replica, node.clock.monotonic())
    if isinstance(result, VersionedDocument):
        return result
    if result.leader is None:
        return None
    request = HttpRequest('GET', result.leader.http_address, CONFIGURATION_PATH)
    response = await send_request(
        node.http_client, request, CONFIGURATION_TIMEOUT.total_seconds()
    )
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        return _document_decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return None


async def show_configuration(node: ReplicaNode, _: HandlerRequest) -> Reply:
    """Respond to a read that another control instance forwarded."""
    result = consensus.read_configuration(node.replica, node.clock.monotonic())
    if isinstance(result, VersionedDocument):
        return json_reply(result)
    return json_reply(NoQuorum(None), status_for(NoQuorum(None)))
