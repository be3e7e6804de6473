"""Runs of traffic under faults, and the helpers that schedule faults."""

import functools
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mustardhold.systems.routing import install_table
from mustardhold.tables.routing import RoutingTable
from tools.fakes import fleet as fakes
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import Fleet, Logic
from tools.fakes.servers import FakeServer, make_servers
from tools.fakes.traffic import (
    FlowNumbers,
    Traffic,
    broken_flows,
    start_traffic,
)
from tools.registry import Violation

BALANCERS = ('b1', 'b2', 'b3', 'b4', 'b5')
SPREAD_SECONDS = 2.0
WARM_UP_SECONDS = 3.0

Fault = Callable[[Fleet, float], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a run under faults.

    Attributes
    ----------
    faults
        Functions that schedule a fault relative to ``starts_at``, in seconds.
    """

    faults: Sequence[Fault]
    starts_at: float = 7
    end: float = 22
    openings_per_second: float = 20
    flow_seconds: float = 20
    hosts: int = 7


def pick_faults(
    seed: int, faults: Sequence[Fault], together: Sequence[int] = (1, 2)
) -> tuple[Fault, ...]:
    """Choose a combination of faults by the seed, cycling through all."""
    picks = [
        picked
        for count in together
        for picked in itertools.combinations(faults, count)
    ]
    return picks[seed % len(picks)]


def run_scenario(
    seed: int,
    logic: Logic,
    scenario: Scenario,
    servers: tuple[FakeServer, ...] | None = None,
) -> Fleet:
    """Run traffic under the faults of a scenario."""
    hosts = servers or make_servers('werkstatt', scenario.hosts)
    fleet = fakes.make_fleet(seed, logic, BALANCERS, hosts)
    run_until(fleet.queue, WARM_UP_SECONDS)
    numbers = FlowNumbers()
    for service in fleet.address_by_service:
        traffic = Traffic(
            service, scenario.openings_per_second, scenario.flow_seconds
        )
        start_traffic(fleet, traffic, scenario.end, numbers)
    for fault in scenario.faults:
        fault(fleet, scenario.starts_at)
    run_until(fleet.queue, scenario.end)
    return fleet


def find_broken_flows(fleet: Fleet, promise: str) -> list[Violation]:
    """Report the first broken flow whose server is alive."""
    return [
        Violation(
            promise,
            f'flow {caller_flow.flow.hex()}, '
            f'opened at {caller_flow.opened_at}, '
            f'ended at {caller_flow.ended_at}, '
            f'was answered by {sorted(caller_flow.backend_ids)}',
        )
        for caller_flow in broken_flows(fleet)[:1]
    ]


def install_staggered(fleet: Fleet, table: RoutingTable) -> None:
    """Install a table at each balancer within two seconds."""
    for tables in fleet.balancers_by_id.values():
        install = functools.partial(install_table, tables, table)
        delay = fleet.queue.rng.uniform(0, SPREAD_SECONDS)
        schedule(fleet.queue, delay, install)


def schedule_at(
    fleet: Fleet, when: float, action: Callable[[], object]
) -> None:
    """Run an action at a virtual time."""
    schedule(fleet.queue, max(when - fleet.queue.now, 0), action)


def choose_running(fleet: Fleet, count: int) -> list[str]:
    """Choose some running balancers, in random order."""
    living = sorted(fleet.balancers_by_id)
    return fleet.queue.rng.sample(living, count)


def kill_some(fleet: Fleet, count: int) -> None:
    """Kill some balancers at the same time."""
    for name in choose_running(fleet, count):
        fakes.kill(fleet, name)
