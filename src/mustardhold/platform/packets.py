"""The packet format of callers and backend servers."""

import socket
import struct
from functools import lru_cache
from typing import NamedTuple

from mustardhold.daemons.token_balancer import Datagram, PacketCodec
from mustardhold.platform.server_ids import CACHED_IDS, server_number
from mustardhold.systems.addresses import split_address
from mustardhold.tables.configurations import ServiceAddress
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import CallerPacket

# sum, echo, seq, ack, flags, pad, len, dport, sport, dst, src
HEAD = struct.Struct('!IIIIBBHHHII')
# The same without sum, seq and pad, which nothing here reads.
READ_HEAD = struct.Struct('!4xI4xIBxHHHII')
HEAD_BYTES = HEAD.size
TOKEN_START = 4
TOKEN_END = 8
MAX_PAYLOAD_BYTES = 1200
FIN, RST, SYN, ACK = 16, 8, 32, 64
KNOWN_FLAGS = FIN | RST | SYN | ACK
SERVER_NUMBER = struct.Struct('!Q')
TOKEN = struct.Struct('!I')


class WireHead(NamedTuple):
    """What is read of a packet's head, in the order of its fields.

    Attributes
    ----------
    echo
        What the other end was last sent in this field: the flow's token.
    ack
        In an opening, the copies that were sent before it.
    """

    echo: int
    ack: int
    flags: int
    length: int
    dport: int
    sport: int
    dst: int
    src: int


def read_packet(raw: bytes) -> CallerPacket | None:
    """Read a caller's packet; nothing where no caller writes it so."""
    if len(raw) < HEAD_BYTES:
        return None
    head = WireHead._make(READ_HEAD.unpack_from(raw))
    length, flags = head.length, head.flags
    if length > MAX_PAYLOAD_BYTES or len(raw) != HEAD_BYTES + length:
        return None
    is_opening = bool(flags & SYN)
    # Only servers answer an opening, and BOUNCED is of no use here.
    if flags & ~KNOWN_FLAGS or (is_opening and flags != SYN):
        return None
    return CallerPacket(
        ServiceAddress(head.src, head.sport),
        ServiceAddress(head.dst, head.dport),
        head.echo,
        head.ack,
        head.ack if is_opening else 0,
        is_opening,
        bool(flags & RST),
    )


@lru_cache(maxsize=CACHED_IDS)
def pack_server(server_id: str, token: int) -> tuple[bytes, bytes]:
    """Pack a server's number and its token, kept for its next packets."""
    return SERVER_NUMBER.pack(server_number(server_id)), TOKEN.pack(token)


def forward_packet(raw: bytes, known: KnownServer) -> Datagram:
    """Put the server's number before a packet, and its token into it."""
    number, token = pack_server(known.report.server_id, known.token)
    payload = b''.join((number, raw[:TOKEN_START], token, raw[TOKEN_END:]))
    return Datagram(payload, split_address(known.report.address))


def make_packet_codec(data_address: str) -> PacketCodec:
    """Make the codec of a balancer; callers listen at its own port."""
    caller_port = split_address(data_address)[1]

    def reset_flow(packet: CallerPacket) -> Datagram:
        caller, service = packet.caller, packet.service_address
        payload = HEAD.pack(
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
