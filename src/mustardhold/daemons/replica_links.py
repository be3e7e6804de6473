"""Sends messages to the other control replicas, over HTTP with JSON."""

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
    """A message, and the folder that it is for.

    Attributes
    ----------
    receiver_uid
        Empty where the sender does not know the folder yet.
    """

    receiver_uid: str
    message: ReplicaMessage


@dataclass(slots=True)
class Links:
    """Queues of messages by the receiver's HTTP address."""

    client: HttpClient
    nursery: trio.Nursery
    counters: Counter[tuple[str, str]]
    log: logging.Logger
    queues_by_address: dict[str, trio.MemorySendChannel[ReplicaSend]] = field(
        default_factory=dict
    )


def send_message(links: Links, one: ReplicaSend) -> None:
    """Queue a message; a full queue drops it and counts."""
    address = one.receiver.http_address
    queue = links.queues_by_address.get(address)
    if queue is None:
        queue, waiting = trio.open_memory_channel[ReplicaSend](
            MAX_LINK_MESSAGES
        )
        links.queues_by_address[address] = queue
        links.nursery.start_soon(run_link, links, address, waiting)
    try:
        queue.send_nowait(one)
    except trio.WouldBlock:
        links.counters['link', 'full'] += 1


async def run_link(
    links: Links,
    address: str,
    waiting: trio.MemoryReceiveChannel[ReplicaSend],
) -> None:
    """Post the messages for one replica, one after another."""
    is_reached = True
    async for one in waiting:
        was_reached = is_reached
        is_reached = await post_message(links, address, one)
        if not is_reached:
            drop_waiting(links, waiting)
        if is_reached is not was_reached:
            links.log.info(
                'replica reached' if is_reached else 'replica out of reach',
                extra={'address': address},
            )


async def post_message(links: Links, address: str, one: ReplicaSend) -> bool:
    """Post a message.

    Returns
    -------
    bool
        Whether the receiver answered.
    """
    is_large = isinstance(one.message, SnapshotRequest)
    timeout = SNAPSHOT_TIMEOUT if is_large else REPLICA_TIMEOUT
    content = msgspec.json.encode(Envelope(one.receiver.uid, one.message))
    request = HttpRequest('POST', address, REPLICA_PATH, content)
    sent = await send_request(links.client, request, timeout.total_seconds())
    if isinstance(sent, Err):
        links.counters['link', 'failed'] += 1
        return False
    links.counters['link', 'sent'] += 1
    links.counters['link', 'sent-bytes'] += len(content)
    return True


def drop_waiting(
    links: Links, waiting: trio.MemoryReceiveChannel[ReplicaSend]
) -> None:
    """Drop messages that are stale; the heartbeat repeats what matters."""
    while True:
        try:
            waiting.receive_nowait()
        except trio.WouldBlock:
            return
        links.counters['link', 'dropped'] += 1
