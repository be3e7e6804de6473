"""Requests that follow each other on one connection, at either end."""

import h11


def is_reusable(protocol: h11.Connection) -> bool:
    """Tell whether a connection can carry another request, and ready it."""
    states = (protocol.our_state, protocol.their_state)
    if states != (h11.DONE, h11.DONE):
        return False
    protocol.start_next_cycle()
    return True
