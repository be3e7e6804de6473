"""Decides which packet a link of limited rate carries next.

Openings and resets go first, then flows that have little in the queue, and then
those with a backlog by deficit round robin. Within a flow, packets are sent in
the order of their sequence numbers.
"""

from bisect import insort
from collections import deque
from operator import attrgetter

from mustardhold.systems.link_pacing import make_pacing, may_send, next_check
from mustardhold.tables.constants import (
    FULL_DATAGRAM_BYTES,
    LINK_QUEUE_PERIOD,
    MAX_LINK_QUEUE_BYTES,
    SPARSE_FLOW_BYTES,
)
from mustardhold.tables.forwarding import (
    CallerPacket,
    DropCause,
    ForwardingTables,
)
from mustardhold.tables.gauges import Gauge
from mustardhold.tables.link_queue import (
    Datagram,
    DuePackets,
    LinkQueue,
    PacketKey,
    QueueClass,
    QueuedFlow,
    QueuedPacket,
)

SEQUENCE_RANGE = 2**32
HALF_RANGE = 2**31

offset_of = attrgetter('offset')
queued_bytes_of = attrgetter('queued_bytes')


def make_link_queue(
    link_bytes_per_second: float, tables: ForwardingTables
) -> LinkQueue | None:
    """Make the queue for a link of this rate; None if it is unknown (0)."""
    if not link_bytes_per_second > 0:
        return None
    pacing = make_pacing(link_bytes_per_second)
    max_bytes = pacing.bytes_per_second * LINK_QUEUE_PERIOD.total_seconds()
    return LinkQueue(
        pacing, min(max_bytes, MAX_LINK_QUEUE_BYTES), tables.counters
    )


def is_empty(queue: LinkQueue) -> bool:
    """Return whether no packet is queued."""
    return not queue.queued_bytes


def may_bypass(queue: LinkQueue, now: float, size: int) -> bool:
    """Return whether a datagram may be sent now, without being queued.

    It may not overtake queued ones. If it may be sent, it counts as sent.
    """
    return not queue.queued_bytes and may_send(queue.pacing, now, size)


def make_link_gauges(queue: LinkQueue) -> tuple[Gauge, ...]:
    """Return what is queued at this time."""
    packets = len(queue.urgent_by_key) + len(queue.packets_by_key)
    return (
        Gauge('link_queue_packets', 'Packets that wait for the link', packets),
        Gauge(
            'link_queue_bytes',
            'Bytes that wait for the link',
            queue.queued_bytes,
        ),
    )


def make_key(packet: CallerPacket, datagram: Datagram) -> PacketKey:
    """Return the key of a caller's packet."""
    return PacketKey(
        packet.flow,
        packet.sequence,
        packet.length,
        0 if packet.length or packet.is_opening else packet.acknowledged,
        packet.is_closing,
        packet.is_opening or packet.is_reset,
        datagram.address,
    )


def make_reset_key(packet: CallerPacket, datagram: Datagram) -> PacketKey:
    """Return the key of the reset that answers a packet; one for its flow."""
    return PacketKey(
        packet.flow,
        0,
        0,
        0,
        is_closing=False,
        is_urgent=True,
        address=datagram.address,
    )


def sequence_distance(sequence: int, reference: int) -> int:
    """Return how far a 32-bit number is ahead of another one, or behind it."""
    ahead = sequence - reference + HALF_RANGE
    return ahead % SEQUENCE_RANGE - HALF_RANGE


def enqueue(
    queue: LinkQueue,
    now: float,
    datagram: Datagram,
    key: PacketKey,
    acknowledged: int = 0,
) -> None:
    """Queue a packet, or let it replace its queued copy.

    Of two copies, the one with the later acknowledgement is kept: packets
    arrive in any order. What exceeds the limit of the queue is dropped.
    """
    packets_by_key = (
        queue.urgent_by_key if key.is_urgent else queue.packets_by_key
    )
    previous = packets_by_key.get(key)
    if previous is not None:
        previous.queued_at = now
        if sequence_distance(acknowledged, previous.acknowledged) >= 0:
            previous.datagram = datagram
            previous.acknowledged = acknowledged
        queue.counters['link', 'replaced'] += 1
        return
    size = datagram.link_bytes
    packet = QueuedPacket(key, datagram, size, acknowledged, now)
    packets_by_key[key] = packet
    queue.queued_bytes += size
    if key.is_urgent:
        queue.urgent_bytes += size
    else:
        add_to_flow(queue, packet)
    queue.counters['link', 'queued'] += 1
    while queue.queued_bytes > queue.max_bytes:
        drop_from_longest(queue)


def add_to_flow(queue: LinkQueue, packet: QueuedPacket) -> None:
    """Insert a packet among those of its flow."""
    key = packet.key
    flow = queue.flows_by_id.get(key.flow)
    if flow is None:
        flow = QueuedFlow(key.flow, key.sequence, SPARSE_FLOW_BYTES)
        queue.flows_by_id[key.flow] = flow
        queue.sparse.append(flow)
    packet.offset = sequence_distance(key.sequence, flow.first_sequence)
    insort(flow.packets, packet, key=offset_of)
    flow.queued_bytes += packet.size


def drop_from_longest(queue: LinkQueue) -> None:
    """Drop a packet of the flow with the most bytes; its last one.

    The urgent packets count as one flow, of which the oldest is dropped.
    """
    longest = max(queue.flows_by_id.values(), key=queued_bytes_of, default=None)
    if longest is None or longest.queued_bytes < queue.urgent_bytes:
        dropped = next(iter(queue.urgent_by_key.values()))
    else:
        dropped = longest.packets[-1]
    remove(queue, dropped)
    queue.counters['drop', DropCause.LINK_QUEUE_FULL] += 1


def remove(queue: LinkQueue, packet: QueuedPacket) -> None:
    """Remove a packet from the queue, and its flow if that has no other."""
    size = packet.size
    queue.queued_bytes -= size
    if packet.key.is_urgent:
        queue.urgent_bytes -= size
        queue.urgent_by_key.pop(packet.key)
        return
    queue.packets_by_key.pop(packet.key)
    flow = queue.flows_by_id[packet.key.flow]
    flow.packets.remove(packet)
    flow.queued_bytes -= size
    if not flow.packets:
        queue.flows_by_id.pop(flow.flow)
        turns_of(queue, flow).remove(flow)


def turns_of(queue: LinkQueue, flow: QueuedFlow) -> deque[QueuedFlow]:
    """Return the flows of a flow's class, in the order of their turns."""
    if flow.queue_class is QueueClass.SPARSE:
        return queue.sparse
    return queue.backlogged


def take_due(queue: LinkQueue, now: float) -> DuePackets:
    """Remove and return the packets that may be sent now."""
    due: list[QueuedPacket] = []
    oldest = now - LINK_QUEUE_PERIOD.total_seconds()
    while queue.queued_bytes:
        packet = next_packet(queue)
        size = packet.size
        if packet.queued_at < oldest:
            queue.counters['drop', DropCause.LINK_QUEUE_TIMEOUT] += 1
        elif may_send(queue.pacing, now, size):
            due.append(packet)
            use_credit(queue, packet)
        else:
            return DuePackets(due, next_check(queue.pacing, size))
        remove(queue, packet)
    return DuePackets(due, None)


def next_packet(queue: LinkQueue) -> QueuedPacket:
    """Return the packet whose turn it is, from a queue that has some.

    A flow whose credit does not suffice goes behind the flows with a backlog,
    and gets new credit at each turn there.
    """
    if queue.urgent_by_key:
        return next(iter(queue.urgent_by_key.values()))
    while True:
        turns = queue.sparse or queue.backlogged
        flow = turns[0]
        packet = flow.packets[0]
        if packet.size <= flow.credit_bytes:
            packet.queue_class = flow.queue_class
            return packet
        turns.popleft()
        if flow.queue_class is QueueClass.SPARSE:
            flow.queue_class = QueueClass.BACKLOG
            flow.credit_bytes = 0
        else:
            flow.credit_bytes += FULL_DATAGRAM_BYTES
        queue.backlogged.append(flow)


def use_credit(queue: LinkQueue, packet: QueuedPacket) -> None:
    """Reduce the credit of a packet's flow by the packet's size."""
    if not packet.key.is_urgent:
        flow = queue.flows_by_id[packet.key.flow]
        flow.credit_bytes -= packet.size
