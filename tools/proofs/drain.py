"""Drained servers retain their flows and get no new ones until restored."""

import functools

from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendState
from mustardhold.tables.routing import Pool, Weighting
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import (
    PRODUCT,
    Fleet,
    kill,
    make_fleet,
    routing_table,
)
from tools.fakes.naive import MODULO_HASH
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
RETURN_AT = 18.0
NO_NEW_WORK_SECONDS = 3.0
END = 25.0
DRAINED = 'werkstatt-1'


def install_staggered(fleet: Fleet, version: int, pool: Pool) -> None:
    """Install an edited pool at each balancer within two seconds."""
    table = routing_table(fleet, version, pool)
    for tables in fleet.balancers_by_id.values():
        install = functools.partial(install_table, tables, table)
        schedule(fleet.queue, fleet.queue.rng.uniform(0, 2), install)


def change_state(
    fleet: Fleet, seed: int, version: int, *, draining: bool
) -> None:
    """Drain or restore the server, by an edit or by its announced state."""
    if seed % 3 == 0:
        state = BackendState.DRAINING if draining else BackendState.READY
        fleet.servers_by_id[DRAINED].state = state
        return
    drained = (DRAINED,) if draining else ()
    pool = Pool('werkstatt', drained=drained, weighting=weighting_of(seed))
    install_staggered(fleet, version, pool)


def weighting_of(seed: int) -> Weighting:
    """Return the weighting of a seed: balance for one seed in four."""
    return Weighting.BALANCE if seed % 4 == 1 else Weighting.AFFINITY


def run_drain(seed: int, *, naive: bool) -> list[Violation]:
    """Drain and restore one of seven servers; even seeds lose a balancer."""
    logic = MODULO_HASH if naive else PRODUCT
    fleet = make_fleet(seed, logic, BALANCERS, make_servers('werkstatt', 7))
    install_staggered(fleet, 2, Pool('werkstatt', weighting=weighting_of(seed)))
    run_until(fleet.queue, 2)
    start_traffic(fleet, Traffic('werkstatt'), END, FlowNumbers())
    run_until(fleet.queue, DRAIN_AT)
    change_state(fleet, seed, 3, draining=True)
    if seed % 2 == 0:
        victim = fleet.queue.rng.choice(BALANCERS)
        delay = fleet.queue.rng.uniform(0, RETURN_AT - DRAIN_AT)
        schedule(fleet.queue, delay, lambda: kill(fleet, victim))
    run_until(fleet.queue, RETURN_AT)
    change_state(fleet, seed, 4, draining=False)
    run_until(fleet.queue, END)
    return [*find_broken_flows(fleet), *find_misplaced_openings(fleet)]


def find_broken_flows(fleet: Fleet) -> list[Violation]:
    """Report the first broken flow."""
    return [
        Violation(
            'a session survives any planned change',
            f'flow {caller_flow.flow.hex()} was answered by '
            f'{caller_flow.backend_ids}',
        )
        for caller_flow in broken_flows(fleet)[:1]
    ]


def find_misplaced_openings(fleet: Fleet) -> list[Violation]:
    """Report openings while the server is drained, or none after that."""
    opened_at = fleet.servers_by_id[DRAINED].opened_at.values()
    limit = DRAIN_AT + NO_NEW_WORK_SECONDS
    late = [opened for opened in opened_at if limit < opened < RETURN_AT]
    violations = []
    if late:
        violations.append(
            Violation(
                'a server that is leaving gets no new work',
                f'{len(late)} openings after {limit} s',
            )
        )
    if not any(opened > RETURN_AT for opened in opened_at):
        violations.append(
            Violation(
                'a server that returned gets new work',
                f'no opening from {RETURN_AT} s to {END} s',
            )
        )
    return violations


PROOFS = (
    Proof(
        'drain',
        'a drained server keeps its flows and gets no new ones after 3 s',
        run_drain,
        ci_seeds=5,
    ),
)
