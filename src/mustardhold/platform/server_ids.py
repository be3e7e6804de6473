"""Numeric ids of backend servers in packets."""

from functools import lru_cache

CACHED_IDS = 4_096


@lru_cache(maxsize=CACHED_IDS)
def server_number(server_id: str) -> int:
    """Parse the hexadecimal part of a server id as a number.

    Raises
    ------
    ValueError
        If the id does not end in hexadecimal digits.
    """
    digits = server_id.rpartition('-')[2]
    return int(digits, 16)
