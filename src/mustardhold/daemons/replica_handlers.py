"""HTTP handler for messages from other control replicas."""

from http import HTTPStatus

import msgspec

from mustardhold.adapters.http_app import HandlerRequest, Reply, refuse
from mustardhold.daemons.replica_links import Envelope
from mustardhold.daemons.replica_node import ReplicaNode, step_replica

_envelope_decoder = msgspec.json.Decoder(Envelope)


async def handle_replica_message(
    node: ReplicaNode, request: HandlerRequest
) -> Reply:
    """Process a replica's message unless it is for another data folder."""
    envelope = _envelope_decoder.decode(request.body)
    if envelope.receiver_uid not in {'', node.replica.local_member.uid}:
        node.replica.counters['membership', 'foreign-folder'] += 1
        return refuse(
            'receiver_uid',
            'is not the uid of this data folder',
            HTTPStatus.CONFLICT,
        )
    step_replica(node, envelope.message)
    return Reply(HTTPStatus.NO_CONTENT, b'')
