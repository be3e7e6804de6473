"""Codec of messages between balancers: msgpack arrays with a leading tag."""

import msgspec

from mustardhold.tables.peers import PeerMessage

_decode = msgspec.msgpack.Decoder(PeerMessage).decode
_encoder = msgspec.msgpack.Encoder()


def decode_message(raw: bytes) -> PeerMessage | None:
    """Decode a message, or nothing where it is malformed."""
    try:
        return _decode(raw)
    except msgspec.DecodeError:
        return None


encode_message = _encoder.encode
