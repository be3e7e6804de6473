"""Packets for one service never reach a server of another service."""

import functools

from mustardhold.tables.routing import Pool, Route, RoutingTable
from tools.fakes import fleet as fakes
from tools.fakes.fleet import PRODUCT, Fleet, Logic
from tools.fakes.naive import LOCAL_FLOW_TABLE, MODULO_HASH
from tools.fakes.servers import make_servers
from tools.proofs.faults import (
    Scenario,
    install_staggered,
    kill_some,
    pick_faults,
    run_scenario,
    schedule_at,
)
from tools.proofs.planned_change import restart_all
from tools.registry import Proof, Violation

SERVICES = ('werkstatt', 'katalog')


def move_address(fleet: Fleet, start: float) -> None:
    """Move an address from werkstatt to katalog, and back later."""
    normal = fakes.routing_table(fleet, 9)
    addresses = tuple(fleet.address_by_service.values())
    moved = RoutingTable(
        5,
        {'katalog': Route('katalog', addresses)},
        {name: Pool(name) for name in SERVICES},
        {},
    )
    schedule_at(fleet, start, lambda: install_staggered(fleet, moved))
    schedule_at(fleet, start + 4, lambda: install_staggered(fleet, normal))


def drain_katalog(fleet: Fleet, start: float) -> None:
    """Drain a server of the small pool."""
    table = fakes.routing_table(
        fleet, 3, Pool('katalog', drained=('katalog-1',))
    )
    schedule_at(fleet, start - 1, lambda: install_staggered(fleet, table))


def lose_one(fleet: Fleet, start: float) -> None:
    """Lose a balancer."""
    schedule_at(fleet, start + 1, functools.partial(kill_some, fleet, 1))


FAULTS = (move_address, lose_one, drain_katalog, restart_all)


def mixed_flows(fleet: Fleet) -> list[bytes]:
    """Return the flows of which servers of two services received packets."""
    pools_by_flow: dict[bytes, set[str]] = {}
    for server in fleet.servers_by_id.values():
        for flow in (*server.opened_at, *server.foreign_flows):
            pools_by_flow.setdefault(flow, set()).add(server.pool)
    return [flow for flow, pools in pools_by_flow.items() if len(pools) > 1]


def run_isolation(seed: int, *, naive: bool) -> list[Violation]:
    """Move addresses, drain a server, and restart or lose balancers."""
    logic: Logic = PRODUCT
    if naive:
        logic = LOCAL_FLOW_TABLE if seed % 2 else MODULO_HASH
    servers = (*make_servers('werkstatt', 7), *make_servers('katalog', 3))
    scenario = Scenario(
        pick_faults(seed, FAULTS), end=19, openings_per_second=10
    )
    fleet = run_scenario(seed, logic, scenario, servers)
    return [
        Violation(
            'a packet meant for werkstatt never reaches katalog',
            f'flow {flow.hex()} reached servers of both services',
        )
        for flow in mixed_flows(fleet)[:1]
    ]


PROOFS = (
    Proof(
        'isolation',
        'no packet of one service reaches the other',
        run_isolation,
        ci_seeds=5,
    ),
)
