"""Plans which buckets are settled, and where."""

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.placement import BucketReport, PlacementSet


def plan_placements(
    tables: BalancerTables,
    now: float,
    acknowledged_version: int,
) -> PlacementSet:
    """Plan the next placements, as coordinator of the group.

    Parameters
    ----------
    acknowledged_version
        Version that every member with a live lease has in force.

    Returns
    -------
    PlacementSet
        The placements in force, or a newer version. Today no bucket settles.
    """
    return tables.placements


def report_buckets(tables: BalancerTables) -> tuple[BucketReport, ...]:
    """Report the moving buckets that this balancer owns first."""
    return ()
