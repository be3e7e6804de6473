"""Pages on which a control replica shows its tables and itself."""

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
    asked_version,
    balancers_seen,
    wait_newer,
)
from mustardhold.systems.replica_membership import is_outside_group
from mustardhold.tables.routing import Accepted
from mustardhold.tables.status import ControlStatus, EditExplanation


async def show_table(node: ReplicaNode, ask: HandlerRequest) -> Reply:
    """Answer with the whole table, once it is newer than the asker's."""
    if 'after' in ask.query:
        await wait_newer(node.table_publisher, asked_version(ask))
    return json_reply(node.replica.edits.table)


async def show_status(node: ReplicaNode, _: HandlerRequest) -> Reply:
    """Handle a question for the replica's status."""
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
            balancers_seen(node.table_publisher),
            dict(counters_of(node)),
        )
    )


async def show_explanation(node: ReplicaNode, ask: HandlerRequest) -> Reply:
    """Explain an edit: its outcome, who took it, and where it is in force."""
    edit_id = ask.query.get('edit', '')
    record = node.replica.edits.records_by_edit_id.get(edit_id)
    if record is None:
        message = 'is not known, or no longer'
        return refuse('edit', message, HTTPStatus.NOT_FOUND)
    version = math.inf
    if isinstance(record.outcome, Accepted):
        version = record.outcome.version
    seen = balancers_seen(node.table_publisher)
    in_force = {name for name, one in seen.items() if one.version >= version}
    return json_reply(
        EditExplanation(
            edit_id,
            node.options.instance_id,
            record,
            tuple(sorted(in_force)),
            tuple(sorted(set(seen) - in_force)),
        )
    )
