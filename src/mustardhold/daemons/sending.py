"""Sends what the systems asked for."""

from mustardhold.adapters.packet_codec import encode_packet
from mustardhold.adapters.peer_codec import encode_message
from mustardhold.daemons.balancer_state import Balancer
from mustardhold.systems.addresses import caller_address, split_address
from mustardhold.tables.constants import FLOW_KEY_BYTES
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer

CALLER_BYTES = FLOW_KEY_BYTES // 2


def send_all(balancer: Balancer, outbox: Outbox) -> None:
    """Send what the systems asked for; a full buffer drops and counts."""
    for send in outbox:
        try:
            send_one(balancer, send)
        except BlockingIOError:
            balancer.tables.counters['', 'send-buffer-full'] += 1
        except OSError:
            balancer.tables.counters['', 'send-failed'] += 1


def send_one(balancer: Balancer, send: ToBackend | ToCaller | ToPeer) -> None:
    """Send one packet or message."""
    match send:
        case ToBackend(address=address, packet=packet):
            balancer.data_socket.sendto(
                encode_packet(packet), split_address(address)
            )
        case ToCaller(packet=packet):
            balancer.data_socket.sendto(
                encode_packet(packet),
                caller_address(packet.flow[:CALLER_BYTES]),
            )
        case ToPeer(instance_id=instance_id, message=message):
            member = balancer.tables.view.members_by_id.get(instance_id)
            if member is not None:
                balancer.peer_socket.sendto(
                    encode_message(message), split_address(member.peer_address)
                )
