"""Flows survive every planned change, one or two at a time."""

import functools

from mustardhold.tables.routing import Pool, Weighting
from tools.fakes import fleet as fakes
from tools.fakes.fleet import PRODUCT, Fleet
from tools.fakes.naive import LOCAL_FLOW_TABLE, MODULO_HASH
from tools.proofs.faults import (
    Scenario,
    find_broken_flows,
    install_staggered,
    pick_faults,
    run_scenario,
    schedule_at,
)
from tools.registry import Proof, Violation

PROMISE = 'a session survives any planned change'
RESTART_SECONDS = 2.5
JOINER = 'b5'


def restart_all(fleet: Fleet, start: float) -> None:
    """Restart all balancers gracefully, one after another."""
    for number, name in enumerate(sorted(fleet.balancers_by_id)):
        due = start + number * RESTART_SECONDS
        schedule_at(fleet, due, functools.partial(fakes.restart, fleet, name))


def join(fleet: Fleet, start: float) -> None:
    """Stop a balancer early in the run and start it again later."""
    schedule_at(fleet, 1, lambda: fakes.stop_gracefully(fleet, JOINER))
    schedule_at(fleet, start, lambda: fakes.start_balancer(fleet, JOINER))


def leave(fleet: Fleet, start: float) -> None:
    """Stop a balancer permanently."""
    schedule_at(fleet, start + 1, lambda: fakes.stop_gracefully(fleet, 'b1'))


def first_pool(fleet: Fleet) -> str:
    """Return the pool of the first server."""
    return next(iter(fleet.servers_by_id.values())).pool


def drain(fleet: Fleet, start: float) -> None:
    """Drain a server by a table that balancers install at different times."""
    name = first_pool(fleet)
    table = fakes.routing_table(fleet, 2, Pool(name, drained=(f'{name}-1',)))
    schedule_at(fleet, start, lambda: install_staggered(fleet, table))


def reweight(fleet: Fleet, start: float) -> None:
    """Restrict a pool to five servers, then undo it and set its weighting."""
    name = first_pool(fleet)
    narrow = fakes.routing_table(
        fleet, 3, Pool(name, servers=(f'{name}-[1-5]',))
    )
    wide = fakes.routing_table(
        fleet, 4, Pool(name, weighting=Weighting.BALANCE)
    )
    schedule_at(fleet, start + 0.5, lambda: install_staggered(fleet, narrow))
    schedule_at(fleet, start + 5, lambda: install_staggered(fleet, wide))


CHANGES = (restart_all, drain, join, leave, reweight)


def run_planned(seed: int, *, naive: bool) -> list[Violation]:
    """Make one or two planned changes under traffic."""
    logic = PRODUCT
    if naive:
        logic = LOCAL_FLOW_TABLE if seed % 2 else MODULO_HASH
    scenario = Scenario(pick_faults(seed, CHANGES))
    return find_broken_flows(run_scenario(seed, logic, scenario), PROMISE)


PROOFS = (
    Proof(
        'planned-change',
        'flows survive restarts, joins, leaves, drains and edits',
        run_planned,
        ci_seeds=5,
    ),
)
