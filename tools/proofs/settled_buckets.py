"""Flows survive while buckets settle, move and change their assigned server."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from mustardhold.systems import leases, placement
from mustardhold.systems.placement_criteria import (
    buckets_to_move,
    pool_state,
    usable_servers,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.placement import Placement, PlacementSet
from mustardhold.tables.routing import Pool
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import (
    PRODUCT,
    Fleet,
    add_server,
    kill,
    make_fleet,
)
from tools.fakes.servers import make_servers
from tools.fakes.traffic import (
    FlowNumbers,
    Traffic,
    broken_flows,
    start_traffic,
)
from tools.proofs.drain import install_staggered
from tools.registry import Proof, Violation

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
HOSTS = 4
DRAINED = 'werkstatt-1'
DRAIN_AT = 14.0
RETURN_AT = 20.0
JOIN_AT = 24.0
END = 30.0
NO_NEW_WORK_SECONDS = 3.0
LOSS = 0.02
MAX_RELAYED = 0.5


def plan_without_acks(
    tables: BalancerTables, now: float, acknowledged_version: int
) -> PlacementSet:
    """Plan placements without waiting for acknowledgements of balancers."""
    current = tables.placements
    planned = placement.plan_placements(tables, now, current.version)
    immediate = {
        name: open_elsewhere_at_once(tables, placed)
        for name, placed in planned.placements_by_pool.items()
    }
    if immediate == current.placements_by_pool:
        return current
    return PlacementSet(max(planned.version, current.version + 1), immediate)


def open_elsewhere_at_once(
    tables: BalancerTables, planned: Placement
) -> Placement:
    """Open new flows elsewhere in each bucket that is due to move."""
    pool = tables.routing.pools_by_name[planned.pool]
    state = pool_state(tables, usable_servers(tables, pool))
    buckets = buckets_to_move(pool, planned, state)
    return msgspec.structs.replace(
        planned, moving=buckets, may_open_elsewhere=buckets
    )


@contextmanager
def override_planning(plan: object) -> Iterator[None]:
    """Replace the product's placement planning within a context."""
    product = vars(leases)['plan_placements']
    vars(leases)['plan_placements'] = plan
    try:
        yield
    finally:
        vars(leases)['plan_placements'] = product


def run_changes(seed: int) -> Fleet:
    """Drain, restore and add servers; odd seeds kill a balancer."""
    servers = make_servers('werkstatt', HOSTS + 1)
    fleet = make_fleet(seed, PRODUCT, BALANCERS, servers[:HOSTS])
    fleet.network.loss = LOSS
    run_until(fleet.queue, 1)
    traffic = Traffic('werkstatt', openings_per_second=15, flow_seconds=8)
    start_traffic(fleet, traffic, END, FlowNumbers())
    run_until(fleet.queue, DRAIN_AT)
    install_staggered(fleet, 2, Pool('werkstatt', drained=(DRAINED,)))
    if seed % 2:
        victim = fleet.queue.rng.choice(BALANCERS)
        delay = fleet.queue.rng.uniform(0, RETURN_AT - DRAIN_AT)
        schedule(fleet.queue, delay, lambda: kill(fleet, victim))
    run_until(fleet.queue, RETURN_AT)
    install_staggered(fleet, 3, Pool('werkstatt'))
    run_until(fleet.queue, JOIN_AT)
    add_server(fleet, servers[HOSTS])
    run_until(fleet.queue, END)
    return fleet


def run_settled_buckets(seed: int, *, naive: bool) -> list[Violation]:
    """Change the pool while buckets move; check flows and relays."""
    plan = plan_without_acks if naive else placement.plan_placements
    with override_planning(plan):
        fleet = run_changes(seed)
        broken = broken_flows(fleet)
    violations = [
        Violation(
            'a session survives any planned change',
            f'flow {caller_flow.flow.hex()} was answered by '
            f'{caller_flow.backend_ids}, '
            f'ended at {caller_flow.ended_at}',
        )
        for caller_flow in broken[:1]
    ]
    limit = DRAIN_AT + NO_NEW_WORK_SECONDS
    late = [
        at
        for at in fleet.servers_by_id[DRAINED].opened_at.values()
        if limit < at < RETURN_AT
    ]
    if late:
        violations.append(
            Violation(
                'a server that is leaving gets no new work',
                f'{len(late)} openings after {limit} s',
            )
        )
    relayed = fleet.relayed / max(fleet.packets, 1)
    if relayed > MAX_RELAYED and not naive:
        violations.append(
            Violation('settled buckets need no relay', f'{relayed:.2f} relayed')
        )
    return violations


PROOFS = (
    Proof(
        'settled-buckets',
        'flows survive while buckets settle, move and settle again',
        run_settled_buckets,
        ci_seeds=3,
    ),
)
