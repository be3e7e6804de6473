"""Datagrams that reach a balancer."""

from mustardhold.adapters.packet_codec import decode_packet
from mustardhold.adapters.peer_codec import decode_message
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.daemons.sending import send_all
from mustardhold.systems.affinity import (
    take_backend_packet,
    take_caller_packet,
)
from mustardhold.systems.peers import take_peer_message
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.packets import BackendPacket, CallerPacket


def take_data(balancer: Balancer, raw: bytes) -> None:
    """Act on a datagram from the fabric or a backend server."""
    packet = decode_packet(raw)
    outbox: Outbox = []
    if isinstance(packet, CallerPacket):
        now = balancer.clock.monotonic()
        take_caller_packet(balancer.tables, now, packet, outbox)
    elif isinstance(packet, BackendPacket):
        take_backend_packet(balancer.tables, packet, outbox)
    else:
        balancer.tables.counters['', 'packet-malformed'] += 1
    send_all(balancer, outbox)


def take_message(balancer: Balancer, raw: bytes) -> None:
    """Act on a datagram from another balancer."""
    message = decode_message(raw)
    if message is None:
        balancer.tables.counters['', 'message-malformed'] += 1
        return
    outbox: Outbox = []
    now = balancer.clock.monotonic()
    take_peer_message(balancer.tables, now, message, outbox)
    send_all(balancer, outbox)
