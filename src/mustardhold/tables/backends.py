"""Announcements of backend servers, and what a balancer stores of each."""

import math
from enum import StrEnum
from typing import NamedTuple

import msgspec


class BackendState(StrEnum):
    """Lifecycle state that a backend server announces."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announcement of a backend server.

    Only ``connections``, ``load``, ``state`` and ``sequence`` change between
    the announcements of one incarnation.

    Attributes
    ----------
    address
        IPv4 address and UDP port, as ``"ip:port"``.
    slots
        Maximum number of requests that the server runs concurrently.
    connection_limit
        Maximum number of flows that the server holds.
    load
        Fraction of the slots that are busy, from 0 to 1.
    incarnation
        Increases with each start of the server.
    sequence
        Increases with each announcement of one incarnation.
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
    """Row of a digest: the fields of an announcement that change.

    Attributes
    ----------
    load
        Percentage of the slots that are busy, from 0 to 100.
    age_ms
        Time since the announcement was received, in milliseconds.
    """

    backend_id: str
    incarnation: int
    sequence: int
    connections: int
    load: int
    state: BackendState
    age_ms: int


class PlacedFlows(NamedTuple):
    """Number of flows placed on a server during one tick.

    ``until`` is the end of the tick on the local monotonic clock, in seconds.
    """

    until: float
    flows: int


class KnownBackend(msgspec.Struct):
    """State that a balancer holds for one backend server.

    Times are on the local monotonic clock, in seconds.

    Attributes
    ----------
    received_at
        When any balancer of the group received the latest announcement.
    held_flows
        Flows that this balancer holds on the server as primary owner.
    held_by_member
        The same count for each other balancer, from its latest digest.
    is_digest_due
        Whether the next digest must include the announcement, as it was
        received directly from the server.
    reported_held_flows
        Value of ``held_flows`` in the latest digest that reported it.
    placed
        Flows placed by this balancer in finished ticks that the announcement
        may not include yet.
    placed_in_tick
        Flows placed by this balancer since the latest tick.
    placed_since
        Sum of the flows in ``placed`` and ``placed_in_tick``.
    connections
        Estimated number of the server's flows, without those in
        ``placed_since``.
    allowance
        Number of flows that this balancer may still place on the server, as
        derived from the latest announcement.
    load
        Exponentially smoothed reported load, from 0 to 1.
    shed_penalty
        Fraction added to the server's utilisation for the requests that it
        shed.
    known_since
        When the server was added to the table.
    closed_since
        Since when the server has been excluded from new flows by its state or
        by an edit; infinite if it is not excluded.
    ready_at
        When the server became ready after a cold start; a slow start follows.
    open_share
        Fraction of new flows that the server may receive, from 0 to 1.
    unanswered_opens
        Openings sent to the server since its last packet was received.
    ejected_until
        Until when the server is ejected because it did not answer openings.
    is_closed
        Whether the server gets no new flows at all, not even as the assigned
        server of a settled bucket.
    is_local
        Whether a balancer of the current view runs in its data centre.
    is_unresponsive
        Whether the server stopped announcing itself.
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
