"""Tables of a balancer that finds a flow's server by a token in its packets.

Both ends of a flow return the token that a balancer wrote into the opening,
so no balancer has to remember the flow.
"""

import struct
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
)
from mustardhold.tables.constants import MAX_RECENT_OPENINGS
from mustardhold.tables.directory import Directory, KnownServer

# Port of the service, port of the caller, IP of the service, IP of the caller.
FLOW = struct.Struct('!HHII')


class CallerPacket(NamedTuple):
    """The head of a packet that a caller sent.

    Attributes
    ----------
    flow
        Both ends, as ``FLOW`` packs them.
    token
        Names the flow's server; 0 in an opening.
    attempt
        Copies of an opening that were sent before this one.
    acknowledged
        What the caller last acknowledged of the server's bytes.
    is_reset
        Whether the caller gave the flow up.
    """

    flow: bytes
    service_address: ServiceAddress
    token: int
    acknowledged: int
    attempt: int
    is_opening: bool
    is_reset: bool

    @property
    def caller(self) -> ServiceAddress:
        """The caller's end; most packets are decided on without it."""
        _, port, _, ip = FLOW.unpack(self.flow)
        return ServiceAddress(ip, port)


class DropCause(StrEnum):
    """Why a packet went nowhere."""

    MALFORMED = 'malformed'
    HELD_TOO_LONG = 'held-too-long'
    NO_ROUTE = 'no-route'
    NO_SERVER = 'no-server'
    NO_TOKEN = 'no-token'
    UNKNOWN_TOKEN = 'unknown-token'
    FLOW_ENDED = 'flow-ended'


class Forward(NamedTuple):
    """Pass the packet on, once to each server, each with its own token."""

    servers: tuple[KnownServer, ...]
    service: str


class Reset(NamedTuple):
    """Tell the caller that the flow is over, or that it cannot open."""

    cause: DropCause


class Drop(NamedTuple):
    """Do nothing."""

    cause: DropCause


class Hold(NamedTuple):
    """Keep the packet until there is something to decide by."""


Decision = Forward | Reset | Drop | Hold


class HeldPacket(NamedTuple):
    """A packet that came before the first tables; local clock."""

    arrived_at: float
    raw: bytes


@dataclass(slots=True)
class ServiceIndex:
    """The servers that may get new flows, by service.

    Attributes
    ----------
    revision
        Urgent revision of the directory that the index was made from.
    """

    revision: int = -1
    servers_by_service: dict[str, list[KnownServer]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class RecentOpening:
    """An opening that no packet of its caller has followed yet.

    Attributes
    ----------
    first_sent_at, sent_at
        When it was first and last passed on; local clock.
    tokens
        Of the servers that it was last passed on to.
    is_counted_as_failure
        Whether it was held against these.
    """

    first_sent_at: float
    sent_at: float
    attempt: int
    tokens: tuple[int, ...]
    kind: RequestKind
    is_counted_as_failure: bool = False


class OpenedFlow(NamedTuple):
    """A flow whose caller took up a server's answer, and after what time."""

    service: str
    kind: RequestKind
    seconds: float


@dataclass(slots=True)
class ServerResponsiveness:
    """How a server answers the openings of this balancer.

    Attributes
    ----------
    unanswered
        Openings without an answer since the last one that had one.
    avoid_until
        Until when new flows go elsewhere first; local clock.
    """

    unanswered: int = 0
    avoid_until: float = float('-inf')


@dataclass(slots=True)
class ForwardingTables:
    """What a balancer decides by.

    Attributes
    ----------
    data_centre
        Where the balancer runs.
    openings_by_flow
        Latest openings, oldest first; only a hint, so it may be lost.
    pending_openings
        Flows whose openings may still be answered in time, and when each was
        passed on; oldest first.
    opened_flows
        Flows that have just opened, until they are observed.
    newly_avoided
        Tokens of servers that have just come to be avoided, until logged.
    report_interval
        Time between two reports of a server.
    held_by_key
        Packets that came before the first tables, oldest first.
    removed_addresses
        Addresses whose route a configuration of this run has removed.
    last_feed_at
        When a current control instance last told the state; local clock.
    """

    report_interval: timedelta
    data_centre: str = ''
    directory: Directory = field(default_factory=Directory)
    configuration: Configuration | None = None
    held_by_key: OrderedDict[bytes, HeldPacket] = field(
        default_factory=OrderedDict
    )
    removed_addresses: set[ServiceAddress] = field(default_factory=set)
    index: ServiceIndex = field(default_factory=ServiceIndex)
    last_feed_at: float = float('-inf')
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
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
