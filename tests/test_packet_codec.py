"""Tests that the packet codec drops malformed packets and no others."""

from hypothesis import given, seed, settings, strategies

from mustardhold.adapters.packet_codec import decode_packet, encode_packet
from mustardhold.tables.packets import Open, Request


@seed(1)
@settings(max_examples=500, database=None, deadline=None)
@given(strategies.binary(max_size=2000))
def test_any_bytes_are_decoded_or_dropped(raw):
    packet = decode_packet(raw)
    assert packet is None or decode_packet(encode_packet(packet)) == packet


def test_packets_are_unchanged_after_encoding_and_decoding():
    for packet in (
        Open(b'f' * 12),
        Request(b'f' * 12, b'r' * 16, False, 100, b'payload'),
    ):
        assert decode_packet(encode_packet(packet)) == packet


def test_packets_of_wrong_length_are_dropped():
    assert decode_packet(encode_packet(Open(b'short'))) is None
    assert decode_packet(b'\x00' * 1401) is None
