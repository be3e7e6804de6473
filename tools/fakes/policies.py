"""Alternative server selection policies for new flows, for comparison."""

import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from mustardhold.systems import flow_opening, server_selection
from mustardhold.systems.routing import eligible_servers
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.routing import Pool

LOAD_BOUND = 1.08
GOLDEN_RATIO = 0.618034

Choose = Callable[[BalancerTables, Pool, bytes], KnownBackend | None]


@contextmanager
def override_selection(choose: Choose) -> Iterator[None]:
    """Replace the product's server selection within a context."""
    product = server_selection.choose_server
    vars(flow_opening)['choose_server'] = choose
    try:
        yield
    finally:
        vars(flow_opening)['choose_server'] = product


def candidate_servers(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> list[KnownBackend]:
    """Return the servers that admit a flow, sorted by their hash with it."""
    candidates = [
        known
        for known in eligible_servers(tables, pool)
        if server_selection.accepts_flows(known)
        and server_selection.admits_flow(known, flow)
    ]
    return sorted(
        candidates, key=lambda known: server_selection.flow_hash(flow, known)
    )


def two_choices(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the less utilised of the two servers with the lowest hashes."""
    two = candidate_servers(tables, pool, flow)[:2]
    return min(
        two,
        key=lambda known: server_selection.utilisation(tables, known),
        default=None,
    )


def bounded_hash(
    tables: BalancerTables, pool: Pool, flow: bytes
) -> KnownBackend | None:
    """Choose the first server by hash whose utilisation is within a bound.

    The bound is 1.08 times the mean utilisation of the candidates, as in
    consistent hashing with bounded loads.
    """
    candidates = candidate_servers(tables, pool, flow)
    if not candidates:
        return None
    utilisations = [
        server_selection.utilisation(tables, known) for known in candidates
    ]
    limit = LOAD_BOUND * sum(utilisations) / len(utilisations)
    within_limit = (
        known
        for known, share in zip(candidates, utilisations, strict=True)
        if share <= limit
    )
    return next(within_limit, candidates[0])


def make_weighted_round_robin() -> Choose:
    """Make a weighted round robin policy, with free capacity as weight."""
    turns = itertools.count()

    def choose(
        tables: BalancerTables, pool: Pool, flow: bytes
    ) -> KnownBackend | None:
        candidates = sorted(
            candidate_servers(tables, pool, flow),
            key=lambda known: known.announced.backend_id,
        )
        free_shares = [
            max(1 - server_selection.utilisation(tables, known), 0)
            for known in candidates
        ]
        if not candidates:
            return None
        # Multiples of the golden ratio modulo 1 are evenly distributed.
        turn = next(turns) * GOLDEN_RATIO
        point = (turn - int(turn)) * sum(free_shares)
        for known, share in zip(candidates, free_shares, strict=True):
            point -= share
            if point <= 0:
                return known
        return candidates[-1]

    return choose
