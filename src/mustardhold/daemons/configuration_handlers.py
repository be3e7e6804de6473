"""Commits and reads whole configurations through the leader."""

import msgspec

from mustardhold.adapters.http_app import HandlerRequest, Reply, json_reply
from mustardhold.daemons.edit_statuses import status_for
from mustardhold.daemons.proposals import (
    Proposal,
    commit_here,
    commit_through_leader,
    read_from_leader,
)
from mustardhold.daemons.replica_node import AnyOutcome, ReplicaNode
from mustardhold.systems import consensus
from mustardhold.systems.histograms import CONFIGURATION_SECONDS
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.routing import NoQuorum

CONFIGURATION_PATH = '/configuration'

_document_decoder = msgspec.json.Decoder(VersionedDocument)


def make_proposal(document: VersionedDocument) -> Proposal:
    """Make the proposal of a configuration."""
    return Proposal(
        lambda replica, now: consensus.propose_configuration(
            replica, now, document
        ),
        CONFIGURATION_PATH,
        msgspec.json.encode(document),
    )


async def replace_configuration(
    node: ReplicaNode, document: VersionedDocument
) -> AnyOutcome:
    """Commit a configuration on this replica or through the leader."""
    return await commit_through_leader(
        node, make_proposal(document), CONFIGURATION_SECONDS
    )


async def handle_forwarded_configuration(
    node: ReplicaNode, request: HandlerRequest
) -> Reply:
    """Commit a configuration that another control instance forwarded."""
    document = _document_decoder.decode(request.body)
    outcome = await commit_here(node, make_proposal(document))
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
    return await read_from_leader(
        node, result.leader, CONFIGURATION_PATH, _document_decoder
    )


async def show_configuration(node: ReplicaNode, _: HandlerRequest) -> Reply:
    """Respond to a read that another control instance forwarded."""
    result = consensus.read_configuration(node.replica, node.clock.monotonic())
    if isinstance(result, VersionedDocument):
        return json_reply(result)
    return json_reply(NoQuorum(None), status_for(NoQuorum(None)))
