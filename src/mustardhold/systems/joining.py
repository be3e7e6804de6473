"""Conditions under which a started balancer may join its group."""

from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import ANNOUNCEMENT_LIFETIME, JOIN_WAIT

JOIN_SECONDS = JOIN_WAIT.total_seconds()
MAX_JOIN_SECONDS = ANNOUNCEMENT_LIFETIME.total_seconds()


def is_ready_to_join(tables: BalancerTables, now: float) -> bool:
    """Return whether this balancer knows enough to own buckets.

    An owner that does not know the tables or the backend servers yet would
    refuse flows that the earlier members served.
    """
    membership = tables.membership
    if membership is None:
        return True
    age = now - membership.started_at
    has_table = tables.routing.version > 0
    return age >= MAX_JOIN_SECONDS or (has_table and age >= JOIN_SECONDS)


def other_group_members(tables: BalancerTables) -> list[str]:
    """Return the other balancers of the group, joined or not."""
    membership = tables.membership
    group = (
        tables.view.members_by_id
        if membership is None
        else membership.group_by_id
    )
    return [name for name in group if name != tables.instance_id]
