"""Backend servers as they announce themselves."""

from enum import StrEnum

import msgspec


class BackendState(StrEnum):
    """Life stage that a backend server announces."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announcement of a backend server.

    Attributes
    ----------
    address
        IPv4 address and UDP port, as ``"ip:port"``.
    slots
        Requests that the server runs at the same time.
    connection_limit
        Flows that the server holds at most.
    load
        Busy share of the slots as the server reports it, from 0 to 1.
    incarnation
        Rises with each start of the server.
    sequence
        Rises with each announcement of one incarnation.
    """

    backend_id: str
    pool: str
    data_centre: str
    address: str
    slots: int
    connection_limit: int
    connections: int
    load: float
    state: BackendState
    incarnation: int
    sequence: int


class KnownBackend(msgspec.Struct):
    """A backend server as one balancer knows it.

    Attributes
    ----------
    heard_at
        Reading of the local monotonic clock, in seconds.
    held_flows
        Flows that this balancer has placed on the server as primary owner.
    """

    announced: BackendServer
    heard_at: float
    held_flows: int = 0
