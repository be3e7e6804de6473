"""Reuse of HTTP/1.1 connections, for the client and the server."""

from collections.abc import Iterable
from typing import Final

import h11

REQUEST_ID: Final = b'request-id'
"""Header that a server returns unchanged.

It tells a late copy of an earlier response from the response to the request
that a connection was used for next.
"""


def find_request_id(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the value of the request id header, or empty."""
    return next((value for name, value in headers if name == REQUEST_ID), b'')


def prepare_reuse(protocol: h11.Connection) -> bool:
    """Prepare a connection for another request.

    Returns
    -------
    bool
        Whether the connection can be reused.
    """
    states = (protocol.our_state, protocol.their_state)
    if states != (h11.DONE, h11.DONE):
        return False
    protocol.start_next_cycle()
    return True
