"""Reuse of HTTP/1.1 connections, for the client and the server."""

import h11


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
