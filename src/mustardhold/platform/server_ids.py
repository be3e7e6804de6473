"""Ids of backend servers as packets name them."""


def server_number(server_id: str) -> int:
    """Read the hex digits of a server's id as one number.

    Raises
    ------
    ValueError
        If there are none.
    """
    digits = server_id.rpartition('-')[2]
    return int(digits, 16)
