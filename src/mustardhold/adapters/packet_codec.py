"""Codec of packets at the edges: msgpack arrays with a leading tag."""

import msgspec

from mustardhold.tables.constants import MAX_PACKET_BYTES
from mustardhold.tables.packets import Packet

_decode = msgspec.msgpack.Decoder(Packet).decode
_encoder = msgspec.msgpack.Encoder()


def decode_packet(raw: bytes) -> Packet | None:
    """Decode a packet, or nothing where it is malformed or oversized."""
    if len(raw) > MAX_PACKET_BYTES:
        return None
    try:
        return _decode(raw)
    except msgspec.DecodeError:
        return None


def decode_error_counter(raw: bytes) -> str:
    """Name the counter of a packet that could not be decoded."""
    is_oversized = len(raw) > MAX_PACKET_BYTES
    return 'packet-oversized' if is_oversized else 'packet-malformed'


encode_packet = _encoder.encode
