"""Codec of messages between balancers: tagged msgpack arrays."""

import msgspec

from mustardhold.tables.peers import PeerMessage

_decode = msgspec.msgpack.Decoder(PeerMessage).decode
_encoder = msgspec.msgpack.Encoder()


def decode_message(raw: bytes) -> PeerMessage | None:
    """Decode a message; return None if it is malformed."""
    try:
        return _decode(raw)
    except msgspec.DecodeError:
        return None


encode_message = _encoder.encode
