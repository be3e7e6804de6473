"""Conversion of addresses between strings and the bytes of a flow key."""

import ipaddress
import struct
from functools import lru_cache

PORT_FORMAT = '!H'
IPV4_BYTES = 4
ADDRESS_CACHE_SIZE = 65_536


def pack_address(address: str) -> bytes:
    """Pack ``"ip:port"`` into six bytes in network byte order.

    Raises
    ------
    ValueError
        If the string is not an IPv4 address with a port.
    """
    host, colon, port_text = address.rpartition(':')
    is_number = port_text.isascii() and port_text.isdigit()
    if not colon or not is_number or int(port_text) >= 2**16:
        raise ValueError(f'not an address with a port: {address!r}')
    port = struct.pack(PORT_FORMAT, int(port_text))
    return ipaddress.IPv4Address(host).packed + port


def unpack_address(packed: bytes) -> tuple[str, int]:
    """Unpack six bytes into a host and a port."""
    port: int = struct.unpack(PORT_FORMAT, packed[IPV4_BYTES:])[0]
    return str(ipaddress.IPv4Address(packed[:IPV4_BYTES])), port


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def unpack_caller_address(packed: bytes) -> tuple[str, int]:
    """Unpack a caller's address, cached for its next packets."""
    return unpack_address(packed)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def split_address(address: str) -> tuple[str, int]:
    """Split ``"ip:port"`` into a host and a port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def format_address(address: tuple[int, int]) -> str:
    """Format an IPv4 address and a port, both as numbers."""
    ip, port = address
    return f'{ip >> 24}.{ip >> 16 & 255}.{ip >> 8 & 255}.{ip & 255}:{port}'
