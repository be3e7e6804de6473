"""Flows survive the loss of balancers that own them."""

import functools

from tools.fakes import fleet as fakes
from tools.fakes.fleet import PRODUCT, Fleet
from tools.fakes.naive import LOCAL_FLOW_TABLE, MODULO_HASH
from tools.proofs.faults import (
    Scenario,
    find_broken_flows,
    kill_some,
    pick_faults,
    run_scenario,
    schedule_at,
)
from tools.proofs.planned_change import drain
from tools.registry import Proof, Violation

PROMISE = 'a session survives the loss of balancers'
APART_SECONDS = 10
REPAIR_SECONDS = 4


def lose_one(fleet: Fleet, start: float) -> None:
    """Lose a balancer."""
    schedule_at(fleet, start, functools.partial(kill_some, fleet, 1))


def lose_two_apart(fleet: Fleet, start: float) -> None:
    """Lose two balancers, ten seconds apart."""
    lose_one(fleet, start)
    lose_one(fleet, start + APART_SECONDS)


def lose_two_at_once(fleet: Fleet, start: float) -> None:
    """Lose two balancers at the same moment."""
    schedule_at(fleet, start, functools.partial(kill_some, fleet, 2))


def lose_second_after_repair(fleet: Fleet, start: float) -> None:
    """Lose another balancer 2 to 4 seconds later, as the view changes."""
    lose_one(fleet, start)
    lose_one(fleet, start + fleet.queue.rng.uniform(2, REPAIR_SECONDS))


def lose_and_restart(fleet: Fleet, start: float) -> None:
    """Lose a balancer that restarts within 4 seconds with empty tables."""

    def crash() -> None:
        name = fleet.queue.rng.choice(sorted(fleet.balancers_by_id))
        fakes.kill(fleet, name)
        delay = fleet.queue.rng.uniform(0.1, 4)
        again = functools.partial(fakes.start_balancer, fleet, name)
        schedule_at(fleet, fleet.queue.now + delay, again)

    schedule_at(fleet, start, crash)


def lose_packets(fleet: Fleet, start: float) -> None:
    """Lose, duplicate and reorder packets for 11 seconds.

    The higher delay, which reorders packets, remains until the end.
    """

    def degrade() -> None:
        fleet.network.loss = 0.05
        fleet.network.repeats = 0.05
        fleet.network.max_delay = 0.05

    def restore() -> None:
        fleet.network.loss = 0
        fleet.network.repeats = 0

    schedule_at(fleet, start - 1, degrade)
    schedule_at(fleet, start + 10, restore)


LOSSES = (
    lose_one,
    lose_two_apart,
    lose_two_at_once,
    lose_second_after_repair,
    lose_and_restart,
)
OTHER_FAULTS = (drain, lose_packets)


def run_loss(seed: int, *, naive: bool) -> list[Violation]:
    """Lose balancers under traffic, alone or with another fault."""
    logic = PRODUCT
    if naive:
        logic = LOCAL_FLOW_TABLE if seed % 2 else MODULO_HASH
    faults = pick_faults(seed, LOSSES, (1,))
    other_fault = (seed // len(LOSSES)) % (len(OTHER_FAULTS) + 1)
    if other_fault:
        faults = (*faults, OTHER_FAULTS[other_fault - 1])
    return find_broken_flows(
        run_scenario(seed, logic, Scenario(faults)), PROMISE
    )


PROOFS = (
    Proof(
        'owner-loss',
        'flows survive the loss of one or two balancers',
        run_loss,
        ci_seeds=6,
    ),
)
