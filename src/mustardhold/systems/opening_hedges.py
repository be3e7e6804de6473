"""Limits the openings that go to two servers at once.

The first opening of a flow is hedged: the caller accepts the first answer.
Operators who rather save the servers' work lower the share of flows for which
that is done. A hash of the flow decides, so all balancers decide alike.
"""

import xxhash

from mustardhold.systems.server_ranking import HASH_RANGE
from mustardhold.tables.constants import SERVERS_PER_OPENING
from mustardhold.tables.forwarding import ForwardingTables

# Makes this hash independent of those that choose services and servers.
HEDGE_SEED = 2


def is_hedged(share: float, flow: bytes) -> bool:
    """Return whether a flow's first opening goes to two servers at once."""
    if share >= 1:
        return True
    point = xxhash.xxh3_64_intdigest(flow, seed=HEDGE_SEED) / HASH_RANGE
    return point < share


def ranks_of_attempt(share: float, flow: bytes, attempt: int) -> range:
    """Return the ranks of the servers that an attempt is sent to.

    Each repeat goes to two servers, which follow those of the attempt before.
    """
    first = attempt * SERVERS_PER_OPENING
    wanted = first + SERVERS_PER_OPENING
    if is_hedged(share, flow):
        return range(first, wanted)
    skipped = SERVERS_PER_OPENING - 1
    return range(max(first - skipped, 0), wanted - skipped)


def count_hedged_opening(
    tables: ForwardingTables, service: str, attempt: int, servers: int
) -> None:
    """Count a first opening that is sent to more than one server."""
    if not attempt and servers > 1:
        tables.counters[service, 'opening-hedged'] += 1
