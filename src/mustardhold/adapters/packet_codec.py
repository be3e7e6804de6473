"""Codec of packets of callers and backend servers: tagged msgpack arrays."""

import msgspec

from mustardhold.tables.constants import MAX_PACKET_BYTES
from mustardhold.tables.packets import Packet

_decode = msgspec.msgpack.Decoder(Packet).decode
_encoder = msgspec.msgpack.Encoder()


def decode_packet(raw: bytes) -> Packet | None:
    """Decode a packet; return None if it is malformed or oversized."""
    if len(raw) > MAX_PACKET_BYTES:
        return None
    try:
        return _decode(raw)
    except msgspec.DecodeError:
        return None


def decode_error_counter(raw: bytes) -> str:
    """Return the counter name for a packet that could not be decoded."""
    is_oversized = len(raw) > MAX_PACKET_BYTES
    return 'packet-oversized' if is_oversized else 'packet-malformed'


encode_packet = _encoder.encode
