"""Chooses the servers that an opening of a flow is sent to.

The load is that of many short and long flows over servers with few
slots: every balancer chooses alike without talking to the others, and each
server gets its share by slots. Silent servers and those that refuse openings
are passed over while there are others.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace
from itertools import islice

import xxhash

from mustardhold.systems.cold_choice import (
    admit_cold,
    cold_limit_of,
    count_cold,
    forget_windows,
    is_cold,
)
from mustardhold.systems.directory import owns_token
from mustardhold.systems.evacuation import evacuated_names, start_returns
from mustardhold.systems.opening_hedges import ranks_of_attempt
from mustardhold.systems.outlier_avoidance import avoided_tokens, is_avoided
from mustardhold.systems.server_ranking import (
    HASH_RANGE,
    make_ranking,
    rank_servers,
    weigh_server,
)
from mustardhold.tables.directory import KnownServer, ServerState
from mustardhold.tables.forwarding import ForwardingTables, ServiceIndex
from mustardhold.tables.server_ranking import ColdServers, ServiceServers

# Makes this hash independent of the one that ranks the servers.
LOCALITY_SEED = 1


def choose_servers(
    tables: ForwardingTables,
    now: float,
    service: str,
    flow: bytes,
    attempt: int,
) -> tuple[KnownServer, ...]:
    """Choose the servers of an opening, or none if the service has none.

    A repeated opening goes to the next servers of the flow's ranking. A
    refusal by one server ends the opening at the caller, even if the other
    server accepts it, so first attempts skip avoided servers.

    Parameters
    ----------
    attempt
        Number of times the caller sent this opening before.
    """
    servers = servers_of(tables, now, service)
    ranks = ranks_of_attempt(tables.opening_hedge_share, flow, attempt)
    wanted = ranks.stop
    ranked = list(islice(rank_preferred(tables, now, servers, flow), wanted))
    if len(ranked) < wanted and (attempt or not ranked):
        everything = rank_servers(servers.everywhere, flow)
        ranked += [one for one in everything if is_avoided(tables, now, one)]
    cold = servers.cold
    if cold is None:
        return take_from(ranked, ranks)
    admitted, is_held_back = admit_cold(tables, now, cold, flow, wanted)
    if is_held_back:
        tables.counters[service, 'held-back-cold'] += 1
    others = [] if cold.is_last_resort else ranked
    chosen = take_from(admitted + others, ranks)
    count_cold(tables, now, cold, chosen)
    return chosen


def take_from(
    ranked: Sequence[KnownServer], ranks: range
) -> tuple[KnownServer, ...]:
    """Return the servers at some ranks, from the first again after the last."""
    return tuple(ranked[rank % len(ranked)] for rank in ranks[: len(ranked)])


def rank_preferred(
    tables: ForwardingTables,
    now: float,
    servers: ServiceServers,
    flow: bytes,
) -> Iterator[KnownServer]:
    """Yield the servers that are not avoided, in the flow's order.

    The first one of the local data centre comes first if the flow is within
    that data centre's fair share, so that a partition between data centres
    breaks few flows.
    """
    near = next(
        skip_avoided(tables, now, rank_servers(servers.local, flow)), None
    )
    if near is not None and is_within_local_share(tables, now, flow, servers):
        yield near
    else:
        near = None
    for server in skip_avoided(
        tables, now, rank_servers(servers.everywhere, flow)
    ):
        if server is not near:
            yield server


def skip_avoided(
    tables: ForwardingTables, now: float, servers: Iterable[KnownServer]
) -> Iterator[KnownServer]:
    """Yield the servers that answer openings."""
    return (server for server in servers if not is_avoided(tables, now, server))


def is_within_local_share(
    tables: ForwardingTables, now: float, flow: bytes, servers: ServiceServers
) -> bool:
    """Return whether a flow is within the local data centre's fair share.

    Every data centre is assumed to have the same number of callers. If the
    local one has less server capacity than the average, the flows beyond its
    share go to any data centre.
    """
    weight = servers.local.weight - avoided_local_weight(tables, now, servers)
    point = xxhash.xxh3_64_intdigest(flow, seed=LOCALITY_SEED) / HASH_RANGE
    return point * servers.everywhere.weight < weight * servers.data_centres


def avoided_local_weight(
    tables: ForwardingTables, now: float, servers: ServiceServers
) -> float:
    """Return the weight of the local servers that are avoided."""
    avoided = (
        tables.directory.servers_by_token.get(token)
        for token in avoided_tokens(tables, now)
    )
    return sum(
        weigh_server(server, now, tables.returned_at).weight
        for server in avoided
        if server is not None and server.token in servers.local_tokens
    )


def servers_of(
    tables: ForwardingTables, now: float, service: str
) -> ServiceServers:
    """Return a service's servers that may get new flows, prepared for ranking.

    They are prepared again after a change of any server, evacuation or
    configuration, and when the weight of a server changes.
    """
    directory = tables.directory
    revisions = (
        directory.revision,
        directory.silent_revision,
        tables.evacuations.revision,
        0 if tables.configuration is None else tables.configuration.version,
    )
    if tables.index.revisions != revisions:
        start_returns(tables, now)
        forget_windows(tables, now)
        tables.index = make_index(tables, revisions)
    prepared = tables.index.prepared_by_service.get(service)
    if prepared is None or now >= prepared.everywhere.valid_until:
        prepared = prepare_servers(tables, now, service)
        tables.index.prepared_by_service[service] = prepared
    return prepared


def make_index(
    tables: ForwardingTables, revisions: tuple[int, int, int, int]
) -> ServiceIndex:
    """Index the servers that may get new flows."""
    ready = index_ready_servers(tables)
    evacuated = evacuated_names(tables)
    if not evacuated:
        return ServiceIndex(revisions, ready)
    allowed = {
        service: [
            server
            for server in servers
            if server.report.data_centre not in evacuated
        ]
        for service, servers in ready.items()
    }
    emptied = (service for service, servers in allowed.items() if not servers)
    return ServiceIndex(revisions, allowed, frozenset(emptied))


def index_ready_servers(
    tables: ForwardingTables,
) -> dict[str, list[KnownServer]]:
    """Return the servers that accept new flows, by service."""
    directory = tables.directory
    servers_by_service: dict[str, list[KnownServer]] = {}
    for server in directory.servers_by_id.values():
        is_ready = server.report.state is ServerState.READY
        if is_ready and owns_token(directory, server):
            servers_by_service.setdefault(server.report.service, []).append(
                server
            )
    return servers_by_service


def prepare_servers(
    tables: ForwardingTables, now: float, service: str
) -> ServiceServers:
    """Prepare a service's servers; silent ones only if there are no others."""
    ready = tables.index.servers_by_service.get(service, [])
    silent = tables.directory.silent_tokens
    reporting = [server for server in ready if server.token not in silent]
    servers = reporting or ready
    cold = find_cold(tables, now, service, servers)
    if cold is not None and not cold.is_last_resort:
        servers = [one for one in servers if one.token not in cold.tokens]
    local = [
        server
        for server in servers
        if server.report.data_centre == tables.data_centre
    ]
    data_centres = {server.report.data_centre for server in servers}
    everywhere = make_ranking(servers, now, tables.returned_at)
    if cold is not None:
        # The end of a slow start changes the others as well.
        everywhere = replace(everywhere, valid_until=cold.ranking.valid_until)
    return ServiceServers(
        everywhere,
        make_ranking(local, now, tables.returned_at),
        frozenset(server.token for server in local),
        len(data_centres | {tables.data_centre}),
        cold,
    )


def find_cold(
    tables: ForwardingTables,
    now: float,
    service: str,
    servers: Sequence[KnownServer],
) -> ColdServers | None:
    """Return the cold ones of a service's servers if they are limited."""
    limit = cold_limit_of(tables, service)
    if not limit:
        return None
    tokens = frozenset(
        one.token for one in servers if is_cold(tables, now, one)
    )
    if not tokens:
        return None
    ranking = make_ranking(servers, now, tables.returned_at)
    return ColdServers(limit, tokens, ranking, len(tokens) == len(servers))
