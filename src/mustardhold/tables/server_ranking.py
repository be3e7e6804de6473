"""Servers of a service, prepared for ranking by a flow's hash."""

from dataclasses import dataclass
from typing import NamedTuple

from mustardhold.tables.directory import KnownServer


class WeightedServer(NamedTuple):
    """A server, its share of new flows and the key of its hash."""

    server: KnownServer
    weight: float
    key: bytes


class ServerGroup(NamedTuple):
    """Servers that are ranked together."""

    key: bytes
    weight: float
    members: tuple[WeightedServer, ...]


@dataclass(frozen=True, slots=True)
class ServerRanking:
    """Servers that may get new flows, prepared for ranking.

    Attributes
    ----------
    weight
        Sum of the weights of all servers.
    valid_until
        When the weight of a server changes next; local clock, in seconds.
    """

    groups: tuple[ServerGroup, ...]
    weight: float
    valid_until: float


@dataclass(frozen=True, slots=True)
class ColdServers:
    """Cold servers of a service whose configuration limits their openings.

    Attributes
    ----------
    limit
        Openings a second for each of them, from all balancers together.
    ranking
        All servers of the service that may get new flows.
    is_last_resort
        Whether the service has no other servers.
    """

    limit: float
    tokens: frozenset[int]
    ranking: ServerRanking
    is_last_resort: bool


@dataclass(frozen=True, slots=True)
class PreferredServers:
    """Servers of a service that a balancer prefers, to see much of their load.

    Attributes
    ----------
    local, everywhere
        For flows within the local data centre's share, and for others.
    members_by_token
        All servers of the service that may get new flows.
    valid_until
        When the balancer prefers others; local clock, in seconds.
    """

    local: tuple[WeightedServer, ...]
    everywhere: tuple[WeightedServer, ...]
    members_by_token: dict[int, WeightedServer]
    valid_until: float


@dataclass(frozen=True, slots=True)
class ServiceServers:
    """Servers of one service that may get new flows.

    Attributes
    ----------
    everywhere, local
        All of them, and those in the local data centre.
    local_tokens
        Tokens of the local ones.
    data_centres
        Number of data centres that have such servers or are the local one.
    cold
        Cold servers that are limited, and left out above if there are others;
        ``None`` if there are none.
    preferred
        The ones that this balancer prefers; ``None`` if they are not chosen by
        their load.
    """

    everywhere: ServerRanking
    local: ServerRanking
    local_tokens: frozenset[int]
    data_centres: int
    cold: ColdServers | None = None
    preferred: PreferredServers | None = None
