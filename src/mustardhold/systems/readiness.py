"""Readiness of a balancer for packets from the fabric, and for its exit."""

from mustardhold.systems.leaving import has_left
from mustardhold.systems.ownership import is_lease_live
from mustardhold.tables.balancer import BalancerTables


def is_ready(tables: BalancerTables, now: float) -> bool:
    """Return whether a balancer has tables and a lease and is not stopping."""
    has_table = tables.routing.version > 0
    return has_table and is_lease_live(tables, now) and not tables.is_stopping


def is_shutdown_complete(tables: BalancerTables) -> bool:
    """Return whether a stopping balancer has nothing left to finish."""
    return tables.is_stopping and has_left(tables)
