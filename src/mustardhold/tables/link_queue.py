"""State of the queue of packets for an instance's own link."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from mustardhold.tables.constants import DATAGRAM_HEADER_BYTES


class Datagram(NamedTuple):
    """Payload and destination of a UDP datagram."""

    payload: bytes
    address: tuple[str, int]

    @property
    def link_bytes(self) -> int:
        """Bytes that the datagram takes on a link."""
        return len(self.payload) + DATAGRAM_HEADER_BYTES


class PacketKey(NamedTuple):
    """Identifies the copies of a packet.

    Attributes
    ----------
    acknowledged
        Acknowledgement of a packet without payload, which has nothing else
        that tells it from others; 0 otherwise.
    address
        Destination: one opening is sent to several servers.
    """

    flow: bytes
    sequence: int
    length: int
    acknowledged: int
    is_closing: bool
    is_urgent: bool
    address: tuple[str, int]


class QueueClass(StrEnum):
    """Scheduling class of a queued packet."""

    URGENT = 'urgent'
    SPARSE = 'sparse'
    BACKLOG = 'backlog'


@dataclass(slots=True, eq=False)
class QueuedPacket:
    """A packet that waits for the link.

    Attributes
    ----------
    size
        Bytes that it takes on the link.
    acknowledged
        Acknowledgement in the copy that is queued.
    queued_at
        When the latest copy arrived; local clock, in seconds.
    offset
        Position within the flow, in bytes from its first queued packet.
    """

    key: PacketKey
    datagram: Datagram
    size: int
    acknowledged: int
    queued_at: float
    offset: int = 0
    queue_class: QueueClass = QueueClass.URGENT


@dataclass(slots=True, eq=False)
class QueuedFlow:
    """A flow with packets in the queue.

    Attributes
    ----------
    first_sequence
        Sequence number that the offsets of the packets are relative to.
    packets
        Its queued packets in the order of their offsets.
    queued_bytes
        Sum of the sizes of these.
    credit_bytes
        Bytes that it may still send in its turn.
    """

    flow: bytes
    first_sequence: int
    credit_bytes: int
    packets: list[QueuedPacket] = field(default_factory=list)
    queued_bytes: int = 0
    queue_class: QueueClass = QueueClass.SPARSE


@dataclass(slots=True)
class LinkPacing:
    """Estimate of what the link still has to send.

    Attributes
    ----------
    bytes_per_second
        Rate at which packets are sent.
    burst_bytes
        Most that may be sent ahead of that rate.
    backlog_bytes
        Bytes sent ahead of the rate, as of ``measured_at`` (local clock, in
        seconds).
    """

    bytes_per_second: float
    burst_bytes: float
    backlog_bytes: float = 0
    measured_at: float = float('-inf')


@dataclass(slots=True)
class LinkQueue:
    """Packets that wait for the link.

    Attributes
    ----------
    max_bytes
        Most bytes that are queued.
    urgent_by_key
        Resets and openings, in the order of their arrival.
    packets_by_key
        All other packets.
    sparse, backlogged
        Flows of both classes in the order of their turns.
    queued_bytes, urgent_bytes
        Sum of the sizes of all packets and of the urgent ones.
    """

    pacing: LinkPacing
    max_bytes: float
    counters: Counter[tuple[str, str]]
    urgent_by_key: dict[PacketKey, QueuedPacket] = field(default_factory=dict)
    packets_by_key: dict[PacketKey, QueuedPacket] = field(default_factory=dict)
    flows_by_id: dict[bytes, QueuedFlow] = field(default_factory=dict)
    sparse: deque[QueuedFlow] = field(default_factory=deque)
    backlogged: deque[QueuedFlow] = field(default_factory=deque)
    queued_bytes: int = 0
    urgent_bytes: int = 0


class DuePackets(NamedTuple):
    """Packets that may be sent now, in the order in which to send them.

    Attributes
    ----------
    check_at
        When the next one may be sent; local clock, in seconds; None if none
        is queued.
    """

    packets: list[QueuedPacket]
    check_at: float | None
