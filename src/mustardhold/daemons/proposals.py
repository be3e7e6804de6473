"""Commits commands on this replica or through the leader."""

import functools
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec
import trio

from mustardhold.adapters.http_client import HttpRequest, send_request
from mustardhold.daemons.edit_statuses import status_for
from mustardhold.daemons.replica_node import (
    AnyOutcome,
    PendingProposal,
    ReplicaNode,
    submit_proposal,
)
from mustardhold.systems.consensus import ConfigurationProposalResult
from mustardhold.systems.histograms import observe
from mustardhold.tables.consensus import (
    Effects,
    NotLeader,
    Pending,
    Replica,
    ReplicaMember,
)
from mustardhold.tables.constants import CONFIGURATION_TIMEOUT
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import EditOutcome, NoQuorum, Unknown

Value = TypeVar('Value')

_outcome_decoder = msgspec.json.Decoder(EditOutcome)


class Proposal(NamedTuple):
    """A command, and how it is sent to the leader.

    Attributes
    ----------
    propose
        Proposes it to a replica; the second argument is the local time.
    path, body
        Path and body of the request that commits it at another instance.
    """

    propose: Callable[
        [Replica, float], tuple[ConfigurationProposalResult, Effects]
    ]
    path: str
    body: bytes


async def commit_through_leader(
    node: ReplicaNode, proposal: Proposal, histogram: str
) -> AnyOutcome:
    """Commit a command on this replica, or forward it to the leader once.

    Parameters
    ----------
    histogram
        Name of the histogram of the time until the outcome.
    """
    started_at = node.clock.monotonic()
    proposed, pending = submit(node, proposal)
    if isinstance(proposed, NotLeader):
        outcome = await forward_to_leader(node, proposed.leader, proposal)
    else:
        outcome = await wait_outcome(node, proposed, pending)
    key = (histogram, '', type(outcome).__name__.lower())
    seconds = node.clock.monotonic() - started_at
    observe(node.observations.histograms_by_key, key, seconds)
    return outcome


async def commit_here(node: ReplicaNode, proposal: Proposal) -> AnyOutcome:
    """Commit a command that another instance forwarded to this one."""
    proposed, pending = submit(node, proposal)
    return await wait_outcome(node, proposed, pending)


def submit(
    node: ReplicaNode, proposal: Proposal
) -> tuple[ConfigurationProposalResult, PendingProposal]:
    """Propose a command to the local replica.

    Returns
    -------
    tuple
        The immediate result, and the pending proposal that gets the outcome.
    """
    return submit_proposal(
        node, functools.partial(proposal.propose, node.replica)
    )


async def wait_outcome(
    node: ReplicaNode,
    proposed: ConfigurationProposalResult,
    pending: PendingProposal,
) -> AnyOutcome:
    """Wait until a proposed command is committed or the timeout ends."""
    if isinstance(proposed, NotLeader):
        return NoQuorum(None)
    if not isinstance(proposed, Pending):
        return proposed
    return await wait_pending(
        node, proposed, pending, CONFIGURATION_TIMEOUT.total_seconds()
    )


async def wait_pending(
    node: ReplicaNode,
    proposed: Pending,
    pending: PendingProposal,
    seconds: float,
) -> AnyOutcome:
    """Wait until an appended entry is committed or the timeout ends."""
    with trio.move_on_after(seconds):
        await pending.done.wait()
    # A later proposal may have the same index, if this replica lost its role.
    if node.proposals_by_index.get(proposed.index) is pending:
        node.proposals_by_index.pop(proposed.index)
    return pending.outcome


async def forward_to_leader(
    node: ReplicaNode, leader: ReplicaMember | None, proposal: Proposal
) -> AnyOutcome:
    """Forward a command to the leader and return its outcome.

    The outcome is unknown if the request may have reached the leader but no
    valid response came back. An error page, as after a failure of the leader's
    disk, has the form of a refusal but not the status of one.
    """
    if leader is None:
        return NoQuorum(None)
    request = HttpRequest(
        'POST', leader.http_address, proposal.path, proposal.body
    )
    response = await send_request(
        node.http_client, request, CONFIGURATION_TIMEOUT.total_seconds()
    )
    if isinstance(response, Err):
        is_unsent = response.error.is_unsent
        return NoQuorum(leader.instance_id) if is_unsent else Unknown()
    try:
        outcome = _outcome_decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return Unknown()
    is_outcome = response.value.status == status_for(outcome)
    return outcome if is_outcome else Unknown()


async def read_from_leader(
    node: ReplicaNode,
    leader: ReplicaMember | None,
    path: str,
    decoder: msgspec.json.Decoder[Value],
) -> Value | None:
    """Read a page of the leader; return None without a valid response."""
    if leader is None:
        return None
    request = HttpRequest('GET', leader.http_address, path)
    response = await send_request(
        node.http_client, request, CONFIGURATION_TIMEOUT.total_seconds()
    )
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        return decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return None
