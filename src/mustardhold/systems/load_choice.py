"""Chooses the servers of an opening by the load that this balancer sees.

A balancer sees the requests of its own flows only, a few percent of those of a
service. So each balancer prefers a few servers, of whose load it sees a large
part. More servers are considered only while the preferred ones are loaded.
"""

import math
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple

import xxhash

from mustardhold.systems.outlier_avoidance import is_avoided
from mustardhold.systems.server_load import expire_load, load_of
from mustardhold.systems.server_ranking import (
    HASH_RANGE,
    distance,
    rank_servers,
)
from mustardhold.systems.service_routes import timed_routes_by_service
from mustardhold.tables.configurations import Configuration
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import Forward, ForwardingTables
from mustardhold.tables.server_load import OpeningKey, ServerLoad
from mustardhold.tables.server_ranking import (
    PreferredServers,
    ServerRanking,
    ServiceServers,
    WeightedServer,
)

# With fewer, one long request leaves too little choice; with more, a balancer
# sees too small a part of the load of each.
PREFERRED_SERVERS = 6
ADDED_SERVERS = 4
# A smaller service has few servers in each data centre, which are soon loaded.
# Many flows would leave the data centre, and break if it is cut off.
MIN_SERVERS = 24
# A server that many balancers prefer at once gets more than its share, so each
# balancer prefers others after this time, which evens the shares out. A shorter
# time lets a balancer send more requests to servers that do not answer.
PREFERENCE_SECONDS = 1.0


class RatedServer(NamedTuple):
    """A candidate; those with less load come first."""

    load: float
    distance: float
    token: int
    member: WeightedServer


def prefer_servers(
    tables: ForwardingTables, now: float, service: str, servers: ServiceServers
) -> PreferredServers | None:
    """Return the servers that this balancer prefers for a time.

    Returns
    -------
    PreferredServers or None
        None if the servers of the service are not chosen by their load.
    """
    load, configuration = tables.answers.load, tables.configuration
    if load is None or configuration is None:
        return None
    update_services(load, configuration)
    if service not in load.services:
        return None
    previous = servers.preferred
    # Only the preferred servers change between two preparations.
    members_by_token = (
        index_members(servers.everywhere)
        if previous is None
        else previous.members_by_token
    )
    if len(members_by_token) < MIN_SERVERS:
        return None
    # Spreads the changes of all balancers over a term.
    phase = xxhash.xxh3_64_intdigest(tables.name.encode()) / HASH_RANGE
    term = math.floor(now / PREFERENCE_SECONDS + phase)
    key = f'{tables.name}/{term}'.encode()

    def first_members(ranking: ServerRanking) -> tuple[WeightedServer, ...]:
        ranked = islice(rank_servers(ranking, key), PREFERRED_SERVERS)
        return tuple(members_by_token[server.token] for server in ranked)

    return PreferredServers(
        first_members(servers.local),
        first_members(servers.everywhere),
        members_by_token,
        (term + 1 - phase) * PREFERENCE_SECONDS,
    )


def update_services(load: ServerLoad, configuration: Configuration) -> None:
    """Derive the services chosen by load from a new configuration."""
    if load.version != configuration.version:
        load.version = configuration.version
        load.services = frozenset(timed_routes_by_service(configuration))


def index_members(ranking: ServerRanking) -> dict[int, WeightedServer]:
    """Return the servers of a ranking by their tokens."""
    return {
        member.server.token: member
        for group in ranking.groups
        for member in group.members
    }


def choose_by_load(
    tables: ForwardingTables,
    now: float,
    servers: ServiceServers,
    flow: bytes,
    *,
    is_local: bool,
) -> list[KnownServer]:
    """Return servers for a first opening, those with the least load first.

    Parameters
    ----------
    is_local
        Whether the flow is within the local data centre's share.

    Returns
    -------
    list
        The servers considered; empty if all of them are avoided, or if those of
        this service are not chosen by load.
    """
    load, preferred = tables.answers.load, servers.preferred
    if load is None or preferred is None:
        return []
    expire_load(load, now)
    subset = preferred.local if is_local else preferred.everywhere
    ranked = sorted(rate_members(load, skip_avoided(tables, now, subset), flow))
    extent = 'preferred'
    for name, ranking in (
        ('overflow', servers.local),
        ('remote', servers.everywhere),
    ):
        if len(ranked) > 1 and ranked[1].token not in load.requests_by_token:
            break
        others = find_others(tables, now, ranking, flow, ranked)
        members = [preferred.members_by_token[one.token] for one in others]
        added = sorted(rate_members(load, members, flow))
        if added:
            extent = name
        # Remote servers only give a data centre's sole server a second.
        if name == 'remote' and is_sole_idle(load, ranked):
            ranked += added
        else:
            ranked = sorted((*ranked, *added))
    return count_choice(tables, extent, ranked)


def is_sole_idle(load: ServerLoad, ranked: Sequence[RatedServer]) -> bool:
    """Return whether there is one server only, without requests in flight."""
    return len(ranked) == 1 and ranked[0].token not in load.requests_by_token


def count_choice(
    tables: ForwardingTables, extent: str, ranked: Sequence[RatedServer]
) -> list[KnownServer]:
    """Count how far the search for servers went, and return the servers."""
    chosen = [one.member.server for one in ranked]
    if chosen:
        service = chosen[0].report.service
        tables.counters[service, f'opened-{extent}'] += 1
    return chosen


def skip_avoided(
    tables: ForwardingTables, now: float, members: Iterable[WeightedServer]
) -> Iterator[WeightedServer]:
    """Yield the servers that are not avoided."""
    return (one for one in members if not is_avoided(tables, now, one.server))


def rate_members(
    load: ServerLoad, members: Iterable[WeightedServer], flow: bytes
) -> Iterator[RatedServer]:
    """Yield servers with their loads, and their distances to break ties."""
    for one in members:
        yield RatedServer(
            load_of(load, one),
            distance(flow, one.key, one.weight),
            one.server.token,
            one,
        )


def find_others(
    tables: ForwardingTables,
    now: float,
    ranking: ServerRanking,
    flow: bytes,
    ranked: Iterable[RatedServer],
) -> Iterator[KnownServer]:
    """Yield a few servers that are not ranked yet, in the flow's order."""
    ranked_tokens = {one.token for one in ranked}
    others = (
        server
        for server in rank_servers(ranking, flow)
        if server.token not in ranked_tokens
        and not is_avoided(tables, now, server)
    )
    return islice(others, ADDED_SERVERS)


def servers_of_duplicate(
    tables: ForwardingTables,
    now: float,
    preferred: PreferredServers,
    flow: bytes,
    attempt: int,
) -> list[KnownServer]:
    """Return the servers of an opening that has just been sent already.

    They are kept apart from ``openings_by_flow``, where the caller's next
    packet or a later attempt takes the place of the first copy.
    """
    load = tables.answers.load
    if load is None:
        return []
    expire_load(load, now)
    tokens = load.tokens_by_opening.get(OpeningKey(flow, attempt), ())
    members = (preferred.members_by_token.get(token) for token in tokens)
    return [
        one.server
        for one in members
        if one is not None and not is_avoided(tables, now, one.server)
    ]


def tokens_of_previous_attempt(
    tables: ForwardingTables, servers: ServiceServers, flow: bytes, attempt: int
) -> tuple[int, ...]:
    """Return the servers of an earlier attempt, if this balancer sent it."""
    opening = tables.openings_by_flow.get(flow)
    if servers.preferred is None or opening is None:
        return ()
    return opening.tokens if opening.attempt < attempt else ()


def describe_loads(
    tables: ForwardingTables, decision: Forward
) -> dict[str, list[float]]:
    """Return the loads of an opening's servers, the opening included.

    A cold server that is limited is not chosen by its load, and gets 0.
    """
    load = tables.answers.load
    prepared = tables.index.prepared_by_service.get(decision.service)
    if load is None or prepared is None or prepared.preferred is None:
        return {}
    members = (
        prepared.preferred.members_by_token.get(server.token)
        for server in decision.servers
    )
    return {
        'loads': [
            0 if member is None else round(load_of(load, member), 2)
            for member in members
        ]
    }
