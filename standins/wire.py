"""The documented packet format, written anew for the stand-ins.

A packet is a msgpack array whose first element tells its kind. Tags 1 to 5
come from callers, 10 to 14 from backend servers, 20 to 22 from balancers.
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


def pack(kind: Kind, *fields: object) -> bytes:
    """Make a packet."""
    return msgspec.msgpack.encode((int(kind), *fields))


def unpack(raw: bytes) -> list[Any]:
    """Read a packet into its fields, the kind first."""
    fields: list[Any] = msgspec.msgpack.decode(raw)
    return fields


def address_bytes(address: str) -> bytes:
    """Turn ``"ip:port"`` into six bytes in network order."""
    host, _, port = address.rpartition(':')
    return ipaddress.IPv4Address(host).packed + struct.pack('!H', int(port))


def split(address: str) -> tuple[str, int]:
    """Split ``"ip:port"`` into a host and a port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
