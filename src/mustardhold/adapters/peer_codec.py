"""Codec of messages between balancers: msgpack arrays with a leading tag."""

import msgspec

from mustardhold.tables.peers import PeerMessage

_decoder = msgspec.msgpack.Decoder(PeerMessage)
_encoder = msgspec.msgpack.Encoder()


def decode_message(raw: bytes) -> PeerMessage | None:
    """Decode a message, or nothing where it is malformed."""
    try:
        return _decoder.decode(raw)
    except msgspec.DecodeError:
        return None


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)
