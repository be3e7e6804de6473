"""Sends the packets and messages in the outbox of the systems."""

from collections.abc import Callable

from mustardhold.adapters.packet_codec import encode_packet
from mustardhold.adapters.peer_codec import encode_message
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.systems.addresses import split_address, unpack_caller_address
from mustardhold.systems.observing import record_hedges, record_send
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.outbox import Outbox, Send, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    Download,
    Packet,
    Upload,
)
from mustardhold.tables.peers import Relay

CALLER_BYTES = FLOW_KEY_BYTES // 2
# Packets of an established flow carry no decision worth recording.
UNRECORDED_TYPES = frozenset((Upload, Download, Answer))


def is_recorded(packet: Packet) -> bool:
    """Return whether a packet carries out a decision that is to be recorded."""
    kind = type(packet)
    return kind not in UNRECORDED_TYPES


def send_all(
    balancer: Balancer,
    outbox: Outbox,
    packet: Packet | None = None,
    raw: bytes = b'',
) -> None:
    """Send the contents of an outbox; count and drop what cannot be sent.

    Parameters
    ----------
    packet, raw
        The packet that led to the sends, and its bytes: if it is forwarded
        unchanged, it is not encoded again.
    """
    for send in outbox:
        try:
            SENDERS_BY_TYPE[type(send)](balancer, send, packet, raw)
        except BlockingIOError:
            balancer.tables.counters['', 'send-buffer-full'] += 1
        except OSError:
            balancer.tables.counters['', 'send-failed'] += 1
    if balancer.tables.hedging.events:
        record_hedges(balancer.observations, balancer.tables)


def send_to_backend(
    balancer: Balancer, send: ToBackend, packet: Packet | None, raw: bytes
) -> None:
    """Send a packet to a backend server, and record its decision, if any."""
    body = raw if send.packet is packet else encode_packet(send.packet)
    balancer.data_socket.sendto(body, split_address(send.address))
    if is_recorded(send.packet):
        record_sent_decision(balancer, send)


def send_to_caller(
    balancer: Balancer, send: ToCaller, packet: Packet | None, raw: bytes
) -> None:
    """Send a packet to the caller whose address is in the flow key.

    Record its decision, if any.
    """
    body = raw if send.packet is packet else encode_packet(send.packet)
    address = unpack_caller_address(send.packet.flow[:CALLER_BYTES])
    balancer.data_socket.sendto(body, address)
    if is_recorded(send.packet):
        record_sent_decision(balancer, send)


def send_to_peer(
    balancer: Balancer, send: ToPeer, _: Packet | None, raw: bytes
) -> None:
    """Send a message to another balancer of the group.

    Record the decision of a relayed packet, if any. Count and drop a message
    to a balancer that is not in the group.
    """
    member = balancer.group_by_id.get(send.instance_id)
    if member is None:
        balancer.tables.counters['', 'peer-unknown'] += 1
        return
    message = send.message
    balancer.peer_socket.sendto(
        encode_message(message), split_address(member.peer_address)
    )
    if isinstance(message, Relay) and is_recorded(message.packet):
        record_sent_decision(balancer, send)


def record_sent_decision(balancer: Balancer, send: Send) -> None:
    """Record the decision of a sent packet, and start its response timer."""
    now = balancer.clock.monotonic()
    record_send(balancer.observations, balancer.tables, now, send)


SENDERS_BY_TYPE: dict[type[Send], Callable[..., None]] = {
    ToBackend: send_to_backend,
    ToCaller: send_to_caller,
    ToPeer: send_to_peer,
}
