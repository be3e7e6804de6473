"""Drained servers keep their flows and get no new ones."""

import functools

from mustardhold.systems.routing import install_table
from mustardhold.tables.routing import Pool
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import PRODUCT, Fleet, make_fleet, routing_table
from tools.fakes.naive import HASH_ALONE
from tools.fakes.servers import make_servers
from tools.fakes.traffic import (
    FlowNumbers,
    Traffic,
    broken_flows,
    start_traffic,
)
from tools.registry import Proof, Violation

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
DRAIN_AT = 10.0
NO_NEW_WORK_SECONDS = 3.0
END = 25.0
DRAINED = 'werkstatt-1'


def install_unevenly(fleet: Fleet, *pools: Pool) -> None:
    """Let an edited pool reach each balancer up to two seconds apart."""
    table = routing_table(fleet, 2, *pools)
    for tables in fleet.balancers_by_id.values():
        install = functools.partial(install_table, tables, table)
        schedule(fleet.queue, fleet.queue.rng.uniform(0, 2), install)


def run_drain(seed: int, *, naive: bool) -> list[Violation]:
    """Drain one server of seven under traffic."""
    logic = HASH_ALONE if naive else PRODUCT
    fleet = make_fleet(seed, logic, BALANCERS, make_servers('werkstatt', 7))
    traffic = Traffic('werkstatt')
    start_traffic(fleet, traffic, END, FlowNumbers())
    run_until(fleet.queue, DRAIN_AT)
    install_unevenly(fleet, Pool('werkstatt', drained=(DRAINED,)))
    run_until(fleet.queue, END)
    violations = [
        Violation(
            'a session survives any planned change',
            f'flow {seen.flow.hex()} was answered by {seen.backend_ids}',
        )
        for seen in broken_flows(fleet)[:1]
    ]
    limit = DRAIN_AT + NO_NEW_WORK_SECONDS
    late = [
        at
        for at in fleet.servers_by_id[DRAINED].opened_at.values()
        if at > limit
    ]
    if late:
        violations.append(
            Violation(
                'a server that is leaving gets no new work',
                f'{len(late)} openings after {limit} s',
            )
        )
    return violations


PROOFS = (
    Proof(
        'drain',
        'a drained server keeps its flows and gets no new ones after 3 s',
        run_drain,
    ),
)
