"""The packet format of callers and backend servers."""

import socket
import struct
from functools import lru_cache

from mustardhold.daemons.token_packets import PacketCodec
from mustardhold.platform.server_ids import CACHED_IDS, server_number
from mustardhold.systems.addresses import split_address
from mustardhold.tables.configurations import ServiceAddress
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import CallerPacket
from mustardhold.tables.link_queue import Datagram

# Fields: sum, echo, seq, ack, flags, pad, len, dport, sport, dst, src.
HEADER = struct.Struct('!IIIIBBHHHII')
# Only echo (the flow's token), seq, ack (in an opening: the number of copies
# sent before it), flags and len.
PARSED_HEADER_FIELDS = struct.Struct('!4xIIIBxH')
# Offset of the last four fields; their bytes are the key of the flow.
FLOW_START = 20
# Port and IP address of the service within the flow key.
PORT, IP = slice(0, 2), slice(4, 8)
HEADER_BYTES = HEADER.size
TOKEN_START = 4
TOKEN_END = 8
MAX_PAYLOAD_BYTES = 1200
FIN, RST, SYN, ACK = 16, 8, 32, 64
KNOWN_FLAGS = FIN | RST | SYN | ACK
SERVER_NUMBER = struct.Struct('!Q')
TOKEN = struct.Struct('!I')
CACHED_SERVICES = 4_096


def read_packet(raw: bytes) -> CallerPacket | None:
    """Decode a caller's packet; return None if it is malformed."""
    if len(raw) < HEADER_BYTES:
        return None
    token, sequence, ack, flags, length = PARSED_HEADER_FIELDS.unpack_from(raw)
    if length > MAX_PAYLOAD_BYTES or len(raw) != HEADER_BYTES + length:
        return None
    is_opening = bool(flags & SYN)
    # SYN with another flag is a backend server's answer, and the unknown flags
    # include BOUNCED, which is not supported here.
    if flags & ~KNOWN_FLAGS or (is_opening and flags != SYN):
        return None
    flow = raw[FLOW_START:HEADER_BYTES]
    return CallerPacket(
        flow,
        service_address(flow[PORT], flow[IP]),
        token,
        ack,
        ack if is_opening else 0,
        is_opening,
        bool(flags & RST),
        sequence,
        length,
        bool(flags & FIN),
    )


@lru_cache(maxsize=CACHED_SERVICES)
def service_address(port: bytes, ip: bytes) -> ServiceAddress:
    """Decode a service address; cached for the next packets."""
    return ServiceAddress(
        int.from_bytes(ip, 'big'), int.from_bytes(port, 'big')
    )


@lru_cache(maxsize=CACHED_IDS)
def pack_server(server_id: str, token: int) -> tuple[bytes, bytes]:
    """Pack a server's number and token; cached for the next packets."""
    return SERVER_NUMBER.pack(server_number(server_id)), TOKEN.pack(token)


def forward_packet(raw: bytes, known: KnownServer) -> Datagram:
    """Prefix a packet with the server's number and insert its token."""
    report = known.report
    number, token = pack_server(report.server_id, known.token)
    payload = number + raw[:TOKEN_START] + token + raw[TOKEN_END:]
    return Datagram(payload, split_address(report.address))


def make_packet_codec(data_address: str) -> PacketCodec:
    """Make the packet codec of a balancer.

    Resets are sent to the port number of ``data_address``, because callers
    listen on the port that the balancer uses.
    """
    caller_port = split_address(data_address)[1]

    def reset_flow(packet: CallerPacket) -> Datagram:
        caller, service = packet.caller, packet.service_address
        payload = HEADER.pack(
            0,
            0,
            packet.acknowledged,
            0,
            RST,
            0,
            0,
            caller.port,
            service.port,
            caller.ip,
            service.ip,
        )
        host = socket.inet_ntoa(caller.ip.to_bytes(4, 'big'))
        return Datagram(payload, (host, caller_port))

    return PacketCodec(read_packet, forward_packet, reset_flow)
