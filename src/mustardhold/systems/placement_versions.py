"""Version numbers of the placements."""

from mustardhold.tables.balancer import BalancerTables

MAX_COORDINATORS = 1024


def next_placement_version(tables: BalancerTables) -> int:
    """Return a higher version that no other coordinator can choose."""
    membership = tables.membership
    group = membership.group_by_id if membership else tables.view.members_by_id
    rank = sorted({*group, tables.instance_id}).index(tables.instance_id)
    round_number = tables.placements.version // MAX_COORDINATORS + 1
    return round_number * MAX_COORDINATORS + rank
