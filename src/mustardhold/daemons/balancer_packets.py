"""Datagrams that reach a balancer."""

from collections.abc import Callable
from typing import Any, get_args

from mustardhold.adapters.packet_codec import decode_packet, fault_of
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
    """Act on a caller's packet."""
    now = balancer.clock.monotonic()
    handle_caller_packet(balancer.tables, now, packet, outbox)


def handle_from_backend(
    balancer: Balancer, packet: BackendPacket, outbox: Outbox
) -> None:
    """Act on a backend server's packet."""
    now = balancer.clock.monotonic()
    handle_backend_packet(balancer.tables, now, packet, outbox)


def handle_timed_response(
    balancer: Balancer, packet: BackendPacket, outbox: Outbox
) -> None:
    """Act on a packet that answers an opening or a request."""
    now = balancer.clock.monotonic()
    handle_backend_packet(balancer.tables, now, packet, outbox)
    record_response_time(balancer.observations, now, packet)


# A test against a union would be slow on the way of each packet.
HANDLERS_BY_TYPE: dict[type, PacketHandler] = {
    **dict.fromkeys(get_args(CallerPacket), handle_from_caller),
    **dict.fromkeys(get_args(BackendPacket), handle_from_backend),
    **dict.fromkeys((Opened, Answer, Shed), handle_timed_response),
}


def handle_data_datagram(balancer: Balancer, raw: bytes) -> None:
    """Act on a datagram from the fabric or a backend server."""
    packet = decode_packet(raw)
    handle = HANDLERS_BY_TYPE.get(type(packet))
    if handle is None:
        outcome = fault_of(raw) if packet is None else 'packet-wrong-side'
        balancer.tables.counters['', outcome] += 1
        return
    outbox: Outbox = []
    handle(balancer, packet, outbox)
    send_all(balancer, outbox, packet, raw)


def handle_peer_datagram(
    balancer: Balancer, received: tuple[bytes, tuple[str, int]]
) -> None:
    """Act on a datagram from another balancer."""
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
