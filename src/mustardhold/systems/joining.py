"""When a balancer that has started may become a member of its group."""

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import ANNOUNCEMENT_LIFETIME, JOIN_WAIT

JOIN_SECONDS = JOIN_WAIT.total_seconds()
LONGEST_SECONDS = ANNOUNCEMENT_LIFETIME.total_seconds()


def is_prepared(tables: BalancerTables, now: float) -> bool:
    """Tell whether a balancer knows enough to own buckets.

    An owner that does not know the tables or the backend servers yet would
    refuse flows which the members before it served.
    """
    membership = tables.membership
    if membership is None:
        return True
    age = now - membership.started_at
    has_table = tables.routing.version > 0
    return age >= LONGEST_SECONDS or (has_table and age >= JOIN_SECONDS)


def other_group_members(tables: BalancerTables) -> list[str]:
    """List the other balancers of the group, also those yet to join."""
    membership = tables.membership
    group = (
        tables.view.members_by_id
        if membership is None
        else membership.group_by_id
    )
    return [name for name in group if name != tables.instance_id]
