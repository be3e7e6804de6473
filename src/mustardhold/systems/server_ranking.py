"""Ranks the servers of a service for a flow, in time that grows slowly.

A weighted rendezvous hash gives every balancer the same ranking without
agreement, and moves few flows when a server comes or goes. Hashing a flow
with each of thousands of servers would take longer than all else in an
opening, so servers are hashed in groups: the flow is hashed with each group,
by the sum of its weights, and then with the servers of the nearest ones. The
first choice stays proportional to the weights, as each group is chosen in
proportion to its sum.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain
from types import MappingProxyType
from typing import Final

import xxhash

from mustardhold.systems.evacuation import next_step_at, returned_share
from mustardhold.tables.constants import COLD_WEIGHT
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.server_ranking import (
    ServerGroup,
    ServerRanking,
    WeightedServer,
)

HASH_RANGE = 2**64
# Up to this many servers, each is a group of its own.
MAX_SINGLE_GROUPS = 32
# Keeps the hashes of groups apart from those of servers.
GROUP_PREFIX = b'group'
KEY_BYTES = 4
NONE_RETURNED: Final[Mapping[str, float]] = MappingProxyType({})


def make_ranking(
    servers: Iterable[KnownServer],
    now: float,
    returned_at: Mapping[str, float] = NONE_RETURNED,
) -> ServerRanking:
    """Prepare servers for ranking.

    Parameters
    ----------
    returned_at
        When the weights of a data centre's servers began to rise after its
        evacuation.
    """
    weighted = [weigh_server(server, now, returned_at) for server in servers]
    groups = tuple(divide(weighted))
    return ServerRanking(
        groups,
        sum(group.weight for group in groups),
        next_weight_change(weighted, now, returned_at),
    )


def weigh_server(
    server: KnownServer,
    now: float,
    returned_at: Mapping[str, float] = NONE_RETURNED,
) -> WeightedServer:
    """Return a server with its weight.

    It is lower in the server's slow start, and after an evacuation of its data
    centre.
    """
    slots = server.report.slots
    weight = slots * COLD_WEIGHT if now < server.slow_until else slots
    since = returned_at.get(server.report.data_centre)
    if since is not None:
        weight = min(weight, slots * returned_share(since, now))
    return WeightedServer(server, weight, server.token.to_bytes(KEY_BYTES))


def divide(weighted: Sequence[WeightedServer]) -> Iterator[ServerGroup]:
    """Divide servers into groups by their tokens.

    The number of groups is a power of two near the square root of the number
    of servers, so it rarely changes.
    """
    if len(weighted) <= MAX_SINGLE_GROUPS:
        for member in weighted:
            yield ServerGroup(member.key, member.weight, (member,))
        return
    bits = math.ceil(math.log2(len(weighted)) / 2)
    members_by_group: dict[int, list[WeightedServer]] = {}
    for member in weighted:
        number = member.server.token % 2**bits
        members_by_group.setdefault(number, []).append(member)
    for number, members in members_by_group.items():
        yield ServerGroup(
            GROUP_PREFIX + number.to_bytes(KEY_BYTES),
            sum(member.weight for member in members),
            tuple(members),
        )


def next_weight_change(
    weighted: Iterable[WeightedServer],
    now: float,
    returned_at: Mapping[str, float] = NONE_RETURNED,
) -> float:
    """Return when the first slow start ends, or a returned server's step."""
    ends = (member.server.slow_until for member in weighted)
    steps = (next_step_at(since, now) for since in returned_at.values())
    changes = (change for change in chain(ends, steps) if change > now)
    return min(changes, default=math.inf)


def rank_servers(ranking: ServerRanking, flow: bytes) -> Iterator[KnownServer]:
    """Yield all servers in the flow's order; the first ones cost little.

    The best servers of all groups come first, in the order of the groups, so
    that few groups have to be ranked inside.
    """
    groups = sorted(
        ranking.groups,
        key=lambda group: distance(flow, group.key, group.weight),
    )
    ranked_groups: list[list[WeightedServer]] = []
    for group in groups:
        members = rank_members(group, flow)
        ranked_groups.append(members)
        yield members[0].server
    longest = max(map(len, ranked_groups), default=0)
    for rank in range(1, longest):
        for members in ranked_groups:
            if rank < len(members):
                yield members[rank].server


def rank_members(group: ServerGroup, flow: bytes) -> list[WeightedServer]:
    """Return the servers of a group in the flow's order."""
    if len(group.members) == 1:
        return list(group.members)
    return sorted(
        group.members,
        key=lambda member: distance(flow, member.key, member.weight),
    )


def distance(flow: bytes, key: bytes, weight: float) -> float:
    """Hash a flow and a key to an exponentially distributed distance.

    Its mean is 1 / weight; the key with the least distance comes first.
    """
    uniform = (xxhash.xxh3_64_intdigest(flow + key) + 1) / HASH_RANGE
    return -math.log(uniform) / weight
