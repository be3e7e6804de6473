"""Whether the fabric may hand packets to a balancer."""

from mustardhold.tables.balancer import BalancerTables


def is_ready(tables: BalancerTables) -> bool:
    """Tell whether a balancer has tables to serve by and is not leaving."""
    return tables.routing.version > 0 and not tables.stopping


def is_finished(tables: BalancerTables) -> bool:
    """Tell whether a stopping balancer has nothing left to finish."""
    return tables.stopping
