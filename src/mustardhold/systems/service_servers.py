"""Prepares the servers of each service for the choice among them.

They are prepared once for each change, so that an opening costs little.
"""

from collections.abc import Sequence
from dataclasses import replace

from mustardhold.systems.cold_choice import (
    cold_limit_of,
    forget_windows,
    is_cold,
)
from mustardhold.systems.directory import owns_token
from mustardhold.systems.evacuation import evacuated_names, start_returns
from mustardhold.systems.load_choice import prefer_servers
from mustardhold.systems.server_ranking import make_ranking
from mustardhold.tables.directory import KnownServer, ServerState
from mustardhold.tables.forwarding import ForwardingTables, ServiceIndex
from mustardhold.tables.server_ranking import ColdServers, ServiceServers


def servers_of(
    tables: ForwardingTables, now: float, service: str
) -> ServiceServers:
    """Return a service's servers that may get new flows, prepared for ranking.

    They are prepared again after a change of any server, evacuation or
    configuration, and when the weight of a server changes. The preferred ones
    change at intervals.
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
    elif prepared.preferred is None or now < prepared.preferred.valid_until:
        return prepared
    else:
        prepared = add_preferred(tables, now, service, prepared)
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
    prepared = ServiceServers(
        everywhere,
        make_ranking(local, now, tables.returned_at),
        frozenset(server.token for server in local),
        len(data_centres | {tables.data_centre}),
        cold,
    )
    if cold is not None and cold.is_last_resort:
        return prepared
    return add_preferred(tables, now, service, prepared)


def add_preferred(
    tables: ForwardingTables, now: float, service: str, servers: ServiceServers
) -> ServiceServers:
    """Add the servers that the balancer prefers, if it chooses by load."""
    preferred = prefer_servers(tables, now, service, servers)
    return replace(servers, preferred=preferred)


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
