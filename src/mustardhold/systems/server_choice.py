"""Chooses the servers that an opening of a flow is sent to.

First openings go by the load that this balancer sees, where that is known for
the service. All others go by a hash of the flow: every balancer chooses alike
without talking to the others, and each server gets its share by slots. Silent
servers and those that refuse openings are passed over while there are others.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice

import xxhash

from mustardhold.systems.cold_choice import (
    admit_cold,
    count_cold,
)
from mustardhold.systems.load_choice import (
    choose_by_load,
    servers_of_duplicate,
    tokens_of_previous_attempt,
)
from mustardhold.systems.opening_hedges import ranks_of_attempt
from mustardhold.systems.outlier_avoidance import avoided_tokens, is_avoided
from mustardhold.systems.server_ranking import (
    HASH_RANGE,
    rank_servers,
    weigh_server,
)
from mustardhold.systems.service_servers import servers_of
from mustardhold.tables.constants import SERVERS_PER_OPENING
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import ForwardingTables
from mustardhold.tables.server_ranking import ServiceServers

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

    A repeated opening goes to the next servers of the flow's ranking, and a
    duplicate to those of the first copy where servers are chosen by load. A
    refusal by one server ends the opening at the caller, even if the other
    server accepts it, so first attempts skip avoided servers.

    Parameters
    ----------
    attempt
        Number of times the caller sent this opening before.
    """
    servers = servers_of(tables, now, service)
    ranks = ranks_of_attempt(tables.opening_hedge_share, flow, attempt)
    ranked = rank_by_load(tables, now, servers, flow, attempt) or rank_by_hash(
        tables, now, servers, flow, ranks
    )
    cold = servers.cold
    previous = tokens_of_previous_attempt(tables, servers, flow, attempt)
    if cold is None:
        return take_from(ranked, ranks, previous)
    admitted, is_held_back = admit_cold(tables, now, cold, flow, ranks.stop)
    if is_held_back:
        tables.counters[service, 'held-back-cold'] += 1
    others = [] if cold.is_last_resort else ranked
    chosen = take_from(admitted + others, ranks, previous)
    count_cold(tables, now, cold, chosen)
    return chosen


def take_from(
    ranked: Sequence[KnownServer], ranks: range, previous: Sequence[int]
) -> tuple[KnownServer, ...]:
    """Return the servers at some ranks, from the first again after the last.

    Parameters
    ----------
    previous
        Tokens of the servers of the attempt before, which are passed over
        while there are others.
    """
    if not previous:
        return tuple(
            ranked[rank % len(ranked)] for rank in ranks[: len(ranked)]
        )
    first = ranks.start % max(len(ranked), 1)
    in_order = [*ranked[first:], *ranked[:first]]
    in_order.sort(key=lambda server: server.token in previous)
    return tuple(in_order[: len(ranks)])


def rank_by_load(
    tables: ForwardingTables,
    now: float,
    servers: ServiceServers,
    flow: bytes,
    attempt: int,
) -> list[KnownServer]:
    """Return the servers of a first opening or a duplicate, by their load.

    Returns
    -------
    list
        Empty if another choice applies: for later attempts, if no preferred
        server may be used, and where servers are not chosen by load.
    """
    if servers.preferred is None:
        return []
    ranked = servers_of_duplicate(tables, now, servers.preferred, flow, attempt)
    if ranked or attempt:
        return ranked
    is_local = is_within_local_share(tables, now, flow, servers)
    return choose_by_load(tables, now, servers, flow, is_local=is_local)


def rank_by_hash(
    tables: ForwardingTables,
    now: float,
    servers: ServiceServers,
    flow: bytes,
    ranks: range,
) -> list[KnownServer]:
    """Return as many servers as some ranks need, in the flow's order."""
    # Those of the attempt before may be passed over.
    considered = ranks.stop + SERVERS_PER_OPENING * bool(ranks.start)
    usable = rank_usable(tables, now, servers, flow)
    ranked = list(islice(usable, considered))
    if len(ranked) < ranks.stop and (ranks.start or not ranked):
        everything = rank_servers(servers.everywhere, flow)
        ranked += [one for one in everything if is_avoided(tables, now, one)]
    return ranked


def rank_usable(
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
