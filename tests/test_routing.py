"""Tests the lookup of addresses after a sequence of routing tables."""

import random

from mustardhold.systems.routing import install_table
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.routing import Route, RoutingTable
from mustardhold.tables.views import View


def make_tables() -> BalancerTables:
    return BalancerTables('b1', 'dc', View(1, {}))


def make_random_table(rng: random.Random, version: int) -> RoutingTable:
    """Distribute addresses over routes, each to at most one route."""
    addresses = [f'10.0.0.{number}:443' for number in range(8)]
    chosen = rng.sample(addresses, rng.randint(0, len(addresses)))
    routes = {}
    for name in rng.sample('abcde', rng.randint(0, 5)):
        assigned = tuple(chosen.pop() for _ in range(min(2, len(chosen))))
        routes[name] = Route(name, assigned)
    return RoutingTable(version, routes, {}, {})


def test_lookup_after_many_versions_equals_that_of_the_last_one():
    for seed in range(200):
        rng = random.Random(seed)
        tables = make_tables()
        for version in range(1, 8):
            table = make_random_table(rng, version)
            install_table(tables, table)
            fresh = make_tables()
            install_table(fresh, table)
            assert tables.service_by_address == fresh.service_by_address
