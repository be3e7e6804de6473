"""Backend servers as they announce themselves."""

import math
from enum import StrEnum
from typing import NamedTuple

import msgspec


class BackendState(StrEnum):
    """Life stage that a backend server announces."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announcement of a backend server.

    Connections, load and state change; the rest is fixed for an incarnation.

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


class BackendRow(msgspec.Struct, array_like=True, frozen=True):
    """The changing part of an announcement, as balancers repeat it.

    Attributes
    ----------
    load
        Busy share of the slots, in hundredths.
    age_ms
        Time since the announcement arrived, in milliseconds.
    """

    backend_id: str
    incarnation: int
    sequence: int
    connections: int
    load: int
    state: BackendState
    age_ms: int


class PlacedFlows(NamedTuple):
    """Flows that were placed on a server up to a time, in seconds."""

    until: float
    flows: int


class KnownBackend(msgspec.Struct):
    """A backend server as one balancer knows it.

    Times are readings of the local monotonic clock, in seconds.

    Attributes
    ----------
    received_at
        When the latest announcement arrived at any balancer of the group.
    held_flows
        Flows that this balancer holds on the server as primary owner.
    held_by_member
        The same of the other balancers, as they tell.
    is_digest_due
        Whether the next digest has to repeat the announcement.
    reported_held_flows
        What the latest digest said of ``held_flows``.
    placed
        Flows placed here that the announcement may not count yet.
    placed_in_tick
        Flows placed here since the latest tick.
    placed_since
        Sum of both.
    connections
        Estimate of the server's flows, without those placed since.
    allowance
        Flows that this balancer may still place on what was announced.
    load
        Reported load, smoothed.
    shed_penalty
        Part by which the server counts as more used, for requests it shed.
    known_since
        When the server was first heard of.
    closed_since
        When it was seen to get no new flows, for its state or an edit.
    ready_at
        When a cold start ended; a slow start follows.
    open_share
        Share of the new flows that may go to the server.
    unanswered_opens
        Openings since any packet of the server was last seen.
    ejected_until
        When the server may be tried again after it stopped answering.
    is_closed
        Whether it gets no new flows, however they are placed.
    is_local
        Whether its data centre holds a balancer of the view in force.
    is_unresponsive
        Whether its announcements ceased.
    """

    announced: BackendServer
    received_at: float
    held_flows: int = 0
    held_by_member: dict[str, int] = {}
    is_digest_due: bool = False
    reported_held_flows: int = 0
    placed: list[PlacedFlows] = []
    placed_in_tick: int = 0
    placed_since: int = 0
    connections: int = 0
    allowance: int = 0
    load: float = 0
    shed_penalty: float = 0
    known_since: float = 0
    closed_since: float = math.inf
    ready_at: float = -math.inf
    open_share: float = 1
    unanswered_opens: int = 0
    ejected_until: float = -math.inf
    is_closed: bool = False
    is_local: bool = True
    is_unresponsive: bool = False
