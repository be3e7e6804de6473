"""Codec of packets at the edges: msgpack arrays with a leading tag."""

import msgspec

from mustardhold.tables.constants import MAX_PACKET_BYTES
from mustardhold.tables.packets import Packet

_decoder = msgspec.msgpack.Decoder(Packet)
_encoder = msgspec.msgpack.Encoder()


def decode_packet(raw: bytes) -> Packet | None:
    """Decode a packet, or nothing where it is malformed or oversized."""
    if len(raw) > MAX_PACKET_BYTES:
        return None
    try:
        return _decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet."""
    return _encoder.encode(packet)
