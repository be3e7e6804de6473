"""Ids of backend servers as packets name them."""

from functools import lru_cache

CACHED_IDS = 4_096


@lru_cache(maxsize=CACHED_IDS)
def server_number(server_id: str) -> int:
    """Read the hex digits of a server's id as one number.

    Raises
    ------
    ValueError
        If there are none.
    """
    digits = server_id.rpartition('-')[2]
    return int(digits, 16)
