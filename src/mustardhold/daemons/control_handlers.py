"""HTTP handlers that show a control replica's table and status."""

import math
from http import HTTPStatus

from mustardhold.adapters.http_app import (
    HandlerRequest,
    Reply,
    json_reply,
    refuse,
)
from mustardhold.daemons.replica_node import (
    ReplicaNode,
    counters_of,
    is_leading,
)
from mustardhold.daemons.table_handlers import (
    balancer_statuses,
    requested_version,
    wait_for_newer_table,
)
from mustardhold.systems.replica_membership import is_outside_group
from mustardhold.tables.routing import Accepted
from mustardhold.tables.status import ControlStatus, EditExplanation


async def show_table(node: ReplicaNode, request: HandlerRequest) -> Reply:
    """Respond with the whole table.

    If the query has a version, wait until the table is newer than that or the
    long poll times out.
    """
    if 'after' in request.query:
        await wait_for_newer_table(
            node.table_publisher, requested_version(request)
        )
    return json_reply(node.replica.edits.table)


async def show_status(node: ReplicaNode, _: HandlerRequest) -> Reply:
    """Respond with the replica's status."""
    replica = node.replica
    leader = replica.leader
    return json_reply(
        ControlStatus(
            node.options.instance_id,
            node.options.data_centre,
            replica.edits.table,
            len(replica.log),
            replica.local_member.uid,
            replica.role,
            replica.vote.term,
            leader.instance_id if leader else None,
            is_leading(node),
            replica.commit_index,
            replica.snapshot.index,
            replica.members,
            is_outside_group(replica),
            balancer_statuses(node.table_publisher),
            dict(counters_of(node)),
        )
    )


async def show_explanation(node: ReplicaNode, request: HandlerRequest) -> Reply:
    """Respond with an edit's outcome and which balancers have applied it."""
    edit_id = request.query.get('edit', '')
    record = node.replica.edits.records_by_edit_id.get(edit_id)
    if record is None:
        message = 'is unknown or its record was removed'
        return refuse('edit', message, HTTPStatus.NOT_FOUND)
    version = math.inf
    if isinstance(record.outcome, Accepted):
        version = record.outcome.version
    statuses = balancer_statuses(node.table_publisher)
    up_to_date = {
        name for name, status in statuses.items() if status.version >= version
    }
    return json_reply(
        EditExplanation(
            edit_id,
            node.options.instance_id,
            record,
            tuple(sorted(up_to_date)),
            tuple(sorted(set(statuses) - up_to_date)),
        )
    )
