"""Sends messages to the other control replicas by HTTP with JSON."""

import logging
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import trio

from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.tables.consensus import (
    ReplicaMessage,
    ReplicaSend,
    SnapshotRequest,
)
from mustardhold.tables.constants import (
    MAX_LINK_MESSAGES,
    REPLICA_TIMEOUT,
    SNAPSHOT_TIMEOUT,
)
from mustardhold.tables.outcomes import Err

REPLICA_PATH = '/replica'


class Envelope(msgspec.Struct, frozen=True):
    """A message, and the uid of the data folder that it is addressed to.

    Attributes
    ----------
    receiver_uid
        Empty if the sender does not know the uid yet.
    """

    receiver_uid: str
    message: ReplicaMessage


@dataclass(slots=True)
class Links:
    """Queues of outgoing messages by the HTTP address of the receiver."""

    http_client: HttpClient
    nursery: trio.Nursery
    counters: Counter[tuple[str, str]]
    log: logging.Logger
    queues_by_address: dict[str, trio.MemorySendChannel[ReplicaSend]] = field(
        default_factory=dict
    )


def send_message(links: Links, outgoing: ReplicaSend) -> None:
    """Queue a message; count and drop it if the queue is full."""
    address = outgoing.receiver.http_address
    queue = links.queues_by_address.get(address)
    if queue is None:
        queue, receive_channel = trio.open_memory_channel[ReplicaSend](
            MAX_LINK_MESSAGES
        )
        links.queues_by_address[address] = queue
        links.nursery.start_soon(run_link, links, address, receive_channel)
    try:
        queue.send_nowait(outgoing)
    except trio.WouldBlock:
        links.counters['link', 'full'] += 1


async def run_link(
    links: Links,
    address: str,
    receive_channel: trio.MemoryReceiveChannel[ReplicaSend],
) -> None:
    """Post the queued messages for one replica in order."""
    is_reached = True
    async for outgoing in receive_channel:
        was_reached = is_reached
        is_reached = await post_message(links, address, outgoing)
        if not is_reached:
            drop_queued(links, receive_channel)
        if is_reached is not was_reached:
            links.log.info(
                'replica reached' if is_reached else 'replica out of reach',
                extra={'address': address},
            )


async def post_message(
    links: Links, address: str, outgoing: ReplicaSend
) -> bool:
    """Post a message.

    Returns
    -------
    bool
        Whether the receiver responded.
    """
    is_large = isinstance(outgoing.message, SnapshotRequest)
    timeout = SNAPSHOT_TIMEOUT if is_large else REPLICA_TIMEOUT
    body = msgspec.json.encode(
        Envelope(outgoing.receiver.uid, outgoing.message)
    )
    request = HttpRequest('POST', address, REPLICA_PATH, body)
    response = await send_request(
        links.http_client, request, timeout.total_seconds()
    )
    if isinstance(response, Err):
        links.counters['link', 'failed'] += 1
        return False
    links.counters['link', 'sent'] += 1
    links.counters['link', 'sent-bytes'] += len(body)
    return True


def drop_queued(
    links: Links, receive_channel: trio.MemoryReceiveChannel[ReplicaSend]
) -> None:
    """Drop all queued messages after one could not be sent.

    They are stale by then; heartbeats repeat what matters.
    """
    while True:
        try:
            receive_channel.receive_nowait()
        except trio.WouldBlock:
            return
        links.counters['link', 'dropped'] += 1
