"""Adds cold servers to the servers of an opening, within their limit."""

from itertools import islice

from mustardhold.systems.cold_limit import (
    count_sent,
    has_room,
    ranks_for_each,
    share_of,
)
from mustardhold.systems.evacuation import is_returning
from mustardhold.systems.outlier_avoidance import is_avoided
from mustardhold.systems.server_ranking import rank_servers
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import ForwardingTables
from mustardhold.tables.server_ranking import ColdServers


def cold_limit_of(tables: ForwardingTables, service: str) -> float:
    """Return a service's limit for each cold server; 0 if there is none."""
    if tables.configuration is None:
        return 0
    limits = tables.configuration.limits_by_service.get(service)
    return 0 if limits is None else limits.cold_openings_per_second


def is_cold(tables: ForwardingTables, now: float, server: KnownServer) -> bool:
    """Return whether a server is in its slow start, or its data centre returns.

    At the end of an evacuation, openings arrive before the report that tells
    of the slow start.
    """
    if now < server.slow_until:
        return True
    since = tables.returned_at.get(server.report.data_centre)
    return since is not None and is_returning(since, now)


def forget_windows(tables: ForwardingTables, now: float) -> None:
    """Remove the windows of servers that are no longer cold."""
    windows = tables.cold_limits.windows_by_token
    for token in tuple(windows):
        known = tables.directory.servers_by_token.get(token)
        if known is None or not is_cold(tables, now, known):
            windows.pop(token)


def share_for(tables: ForwardingTables, cold: ColdServers) -> float:
    """Return this balancer's share of a limit, in openings a second."""
    return share_of(
        tables.cold_limits, cold.limit, is_last_resort=cold.is_last_resort
    )


def admit_cold(
    tables: ForwardingTables,
    now: float,
    cold: ColdServers,
    flow: bytes,
    wanted: int,
) -> tuple[list[KnownServer], bool]:
    """Return the cold servers that an opening may go to, in the flow's order.

    As a last resort, all of them are considered, and avoided ones if there are
    no others.

    Parameters
    ----------
    wanted
        Number of servers that the flow's ranking is searched for.

    Returns
    -------
    tuple
        The servers, and whether the limit holds the opening back from one that
        it would go to by its ranking.
    """
    share = share_for(tables, cold)
    considered = None
    if not cold.is_last_resort:
        considered = wanted * ranks_for_each(share)
    ranked = list(islice(rank_servers(cold.ranking, flow), considered))
    candidates = [one for one in ranked if one.token in cold.tokens]
    answering = [one for one in candidates if not is_avoided(tables, now, one)]
    if answering or not cold.is_last_resort:
        candidates = answering
    admitted = [
        server
        for server in candidates
        if has_room(tables.cold_limits, now, server.token, share)
    ]
    refused = {one.token for one in candidates}
    refused -= {one.token for one in admitted}
    return admitted, any(one.token in refused for one in ranked[:wanted])


def count_cold(
    tables: ForwardingTables,
    now: float,
    cold: ColdServers,
    chosen: tuple[KnownServer, ...],
) -> None:
    """Count the copies of an opening that are sent to cold servers."""
    share = share_for(tables, cold)
    for server in chosen:
        if server.token in cold.tokens:
            count_sent(tables.cold_limits, now, server.token, share)
