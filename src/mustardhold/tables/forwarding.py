"""State of a balancer that finds a flow's server by a token in its packets.

A balancer writes the token into the opening of a flow, and both ends return it
in their packets. So no balancer has to store state for the flow.
"""

import struct
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from mustardhold.tables.answer_tracking import AnswerTracking
from mustardhold.tables.cold_limit import ColdLimits
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
)
from mustardhold.tables.constants import MAX_RECENT_OPENINGS
from mustardhold.tables.directory import Directory, KnownServer
from mustardhold.tables.evacuations import NO_EVACUATIONS, EvacuationState
from mustardhold.tables.overload import OverloadControl
from mustardhold.tables.server_ranking import ServiceServers

# Service port, caller port, service IP, caller IP.
FLOW_ADDRESSES = struct.Struct('!HHII')


class CallerPacket(NamedTuple):
    """Header fields of a packet from a caller.

    Attributes
    ----------
    flow
        Addresses of both ends, packed by ``FLOW_ADDRESSES``.
    token
        Identifies the flow's server; 0 in an opening.
    attempt
        Number of times the caller sent this opening before.
    acknowledged
        Latest acknowledgement by the caller of bytes from the server.
    is_reset
        Whether the caller aborted the flow.
    sequence
        Number of the first byte of the payload within the flow.
    length
        Bytes of payload.
    is_closing
        Whether the caller sends nothing after this packet.
    """

    flow: bytes
    service_address: ServiceAddress
    token: int
    acknowledged: int
    attempt: int
    is_opening: bool
    is_reset: bool
    sequence: int = 0
    length: int = 0
    is_closing: bool = False

    @property
    def caller(self) -> ServiceAddress:
        """Address of the caller, unpacked on demand; few decisions need it."""
        _, port, _, ip = FLOW_ADDRESSES.unpack(self.flow)
        return ServiceAddress(ip, port)


class DropCause(StrEnum):
    """Reason why a packet was not forwarded."""

    MALFORMED = 'malformed'
    HELD_TOO_LONG = 'held-too-long'
    NO_ROUTE = 'no-route'
    NO_SERVER = 'no-server'
    NO_TOKEN = 'no-token'
    UNKNOWN_TOKEN = 'unknown-token'
    FLOW_ENDED = 'flow-ended'
    EVACUATED = 'evacuated'
    COLD_LIMIT = 'cold-limit'
    OVERLOADED = 'overloaded'
    LINK_QUEUE_FULL = 'link-queue-full'
    LINK_QUEUE_TIMEOUT = 'link-queue-timeout'


class Forward(NamedTuple):
    """Forward the packet to each server, with the token of that server."""

    servers: tuple[KnownServer, ...]
    service: str


class Reset(NamedTuple):
    """Send the caller a reset: the flow has ended or cannot be opened."""

    cause: DropCause


class Drop(NamedTuple):
    """Drop the packet without a reply."""

    cause: DropCause


class Hold(NamedTuple):
    """Hold the packet until a configuration and servers are known."""


Decision = Forward | Reset | Drop | Hold


class HeldPacket(NamedTuple):
    """A packet received before the first configuration and servers.

    ``arrived_at`` is on the local monotonic clock, in seconds.
    """

    arrived_at: float
    raw: bytes


@dataclass(slots=True)
class ServiceIndex:
    """Servers that may receive new flows, by service.

    Attributes
    ----------
    revisions
        Revisions of the servers and of the silent ones in the directory, of the
        evacuations and of the configuration, that the index was built from.
    evacuated_services
        Services whose ready servers are all in evacuated data centres.
    prepared_by_service
        Services that were asked for since then, prepared for ranking.
    """

    revisions: tuple[int, int, int, int] = (-1, -1, -1, -1)
    servers_by_service: dict[str, list[KnownServer]] = field(
        default_factory=dict
    )
    evacuated_services: frozenset[str] = frozenset()
    prepared_by_service: dict[str, ServiceServers] = field(default_factory=dict)


@dataclass(slots=True)
class RecentOpening:
    """An opening whose caller has sent no later packet of the flow yet.

    Attributes
    ----------
    first_sent_at, sent_at
        When it was first and last forwarded, on the local monotonic clock, in
        seconds.
    tokens
        Tokens of the servers that it was last forwarded to.
    is_counted_as_failure
        Whether the missing answer has been counted as a failure of these
        servers.
    """

    first_sent_at: float
    sent_at: float
    attempt: int
    tokens: tuple[int, ...]
    kind: RequestKind
    is_counted_as_failure: bool = False


class OpenedFlow(NamedTuple):
    """A flow that opened, and the time from its first opening, in seconds."""

    service: str
    kind: RequestKind
    seconds: float


@dataclass(slots=True)
class ServerResponsiveness:
    """Failure count of a server that does not answer openings.

    Attributes
    ----------
    unanswered
        Consecutive openings of this balancer without an answer.
    avoid_until
        Until when new flows prefer other servers, on the local monotonic clock,
        in seconds.
    """

    unanswered: int = 0
    avoid_until: float = float('-inf')


@dataclass(slots=True)
class ForwardingTables:
    """State that a balancer bases its decisions on.

    Times are on the local monotonic clock, in seconds.

    Attributes
    ----------
    data_centre
        Data centre that the balancer runs in.
    openings_by_flow
        Latest openings, oldest first. They only guide the choice of servers, so
        they may be lost.
    pending_openings
        Flows whose openings may still be answered in time, each with the time
        at which its opening was forwarded; oldest first.
    opened_flows
        Flows that opened and are not in the histograms yet.
    newly_avoided
        Tokens of servers that became avoided and are not logged yet.
    held_by_key
        Packets received before the first configuration and servers, oldest
        first.
    removed_addresses
        Addresses whose route was removed by a configuration since the start of
        the process.
    last_packet_at
        When the latest packet of a caller was received.
    last_feed_at
        As of when the configuration in force is known to be the latest one.
    evacuations
        Data centres whose servers get no new flows.
    avoids_suspects
        Whether suspect servers are avoided.
    overload
        Admission control; None if it is turned off.
    answers
        How servers answer requests of routes with a target latency.
    returned_at
        When the weights of a data centre's servers began to rise after its
        evacuation; ``NOT_STARTED`` before the first opening since its end.
    opening_hedge_share
        Share of the flows whose first opening goes to two servers at once.
    name
        The balancer's name, by which it prefers some servers.
    """

    data_centre: str = ''
    directory: Directory = field(default_factory=Directory)
    configuration: Configuration | None = None
    held_by_key: OrderedDict[bytes, HeldPacket] = field(
        default_factory=OrderedDict
    )
    removed_addresses: set[ServiceAddress] = field(default_factory=set)
    index: ServiceIndex = field(default_factory=ServiceIndex)
    last_feed_at: float = float('-inf')
    last_packet_at: float = float('-inf')
    openings_by_flow: OrderedDict[bytes, RecentOpening] = field(
        default_factory=OrderedDict
    )
    pending_openings: deque[tuple[float, bytes]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_OPENINGS)
    )
    responsiveness_by_token: dict[int, ServerResponsiveness] = field(
        default_factory=dict
    )
    opened_flows: list[OpenedFlow] = field(default_factory=list)
    newly_avoided: list[int] = field(default_factory=list)
    is_stopping: bool = False
    evacuations: EvacuationState = NO_EVACUATIONS
    avoids_suspects: bool = True
    overload: OverloadControl | None = None
    answers: AnswerTracking = field(default_factory=AnswerTracking)
    returned_at: dict[str, float] = field(default_factory=dict)
    cold_limits: ColdLimits = field(default_factory=ColdLimits)
    opening_hedge_share: float = 1
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    name: str = ''
