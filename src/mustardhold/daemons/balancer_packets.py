"""Decodes the datagrams that reach a balancer and calls their handlers."""

from collections.abc import Callable
from typing import Any, get_args

from mustardhold.adapters.packet_codec import (
    decode_error_counter,
    decode_packet,
)
from mustardhold.adapters.peer_codec import decode_message
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.sending import send_all
from mustardhold.systems.affinity import (
    handle_backend_packet,
    handle_caller_packet,
)
from mustardhold.systems.observing import record_response_time
from mustardhold.systems.peers import handle_peer_message
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    CallerPacket,
    Opened,
    Shed,
)
from mustardhold.tables.peers import Relay

PacketHandler = Callable[[Balancer, Any, Outbox], None]


def handle_from_caller(
    balancer: Balancer, packet: CallerPacket, outbox: Outbox
) -> None:
    """Pass a caller's packet to the systems."""
    now = balancer.clock.monotonic()
    handle_caller_packet(balancer.tables, now, packet, outbox)


def handle_from_backend(
    balancer: Balancer, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a backend server's packet to the systems."""
    now = balancer.clock.monotonic()
    handle_backend_packet(balancer.tables, now, packet, outbox)


def handle_timed_response(
    balancer: Balancer, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a server's response to the systems and record how long it took."""
    now = balancer.clock.monotonic()
    handle_backend_packet(balancer.tables, now, packet, outbox)
    record_response_time(balancer.observations, now, packet)


# A lookup by type: isinstance with a union is too slow for every packet.
HANDLERS_BY_TYPE: dict[type, PacketHandler] = {
    **dict.fromkeys(get_args(CallerPacket), handle_from_caller),
    **dict.fromkeys(get_args(BackendPacket), handle_from_backend),
    **dict.fromkeys((Opened, Answer, Shed), handle_timed_response),
}


def handle_data_datagram(balancer: Balancer, raw: bytes) -> None:
    """Decode and handle a datagram from the fabric or a backend server.

    A datagram that is malformed, oversized or of a type that only a balancer
    sends is counted and dropped.
    """
    packet = decode_packet(raw)
    handle = HANDLERS_BY_TYPE.get(type(packet))
    if handle is None:
        outcome = (
            decode_error_counter(raw) if packet is None else 'packet-wrong-side'
        )
        balancer.tables.counters['', outcome] += 1
        return
    outbox: Outbox = []
    handle(balancer, packet, outbox)
    send_all(balancer, outbox, packet, raw)


def handle_peer_datagram(
    balancer: Balancer, received: tuple[bytes, tuple[str, int]]
) -> None:
    """Decode and handle a datagram from another balancer of the group.

    A datagram from any other address is counted and dropped.
    """
    raw, source = received
    counters = balancer.tables.counters
    if source not in balancer.peer_sources:
        counters['', 'message-foreign'] += 1
        return
    message = decode_message(raw)
    if message is None:
        counters['', 'message-malformed'] += 1
        return
    if isinstance(message, Relay):
        balancer.observations.relays_by_hops[message.hops] += 1
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    handle_peer_message(balancer.tables, now, message, outbox)
    send_all(balancer, outbox)
