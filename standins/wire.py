"""Packet format of PROTOCOL.md, implemented independently of the product.

A packet is a msgpack array whose first element is its kind. Kinds 1 to 5 are
sent by callers, 10 to 14 by backend servers, 20 to 22 by balancers.
"""

import ipaddress
import struct
from enum import IntEnum
from typing import Any

import msgspec


class Kind(IntEnum):
    """First element of a packet."""

    OPEN = 1
    REQUEST = 2
    UPLOAD = 3
    CANCEL = 4
    CLOSE = 5
    OPENED = 10
    ANSWER = 11
    SHED = 12
    DOWNLOAD = 13
    FLOW_ENDED = 14
    OPEN_REFUSED = 20
    NOT_RUN = 21
    UNKNOWN = 22


def encode_packet(kind: Kind, *fields: object) -> bytes:
    """Encode a packet."""
    return msgspec.msgpack.encode((int(kind), *fields))


def decode_packet(raw: bytes) -> list[Any]:
    """Decode a packet into its fields, the kind first."""
    fields: list[Any] = msgspec.msgpack.decode(raw)
    return fields


def pack_address(address: str) -> bytes:
    """Encode ``"ip:port"`` as six bytes in network order."""
    host, _, port = address.rpartition(':')
    return ipaddress.IPv4Address(host).packed + struct.pack('!H', int(port))


def split_address(address: str) -> tuple[str, int]:
    """Split ``"ip:port"`` into a host and a port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
