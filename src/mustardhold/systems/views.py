"""Puts views in force, and stops acting on a view that is out of date."""

from mustardhold.systems.handover import start_handover
from mustardhold.systems.hashing import select_owners
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.views import View


def install_view(tables: BalancerTables, view: View) -> bool:
    """Put a newer view in force; an older one changes nothing.

    Returns
    -------
    bool
        Whether the view was newer.
    """
    if view.epoch <= tables.view.epoch:
        return False
    before = tables.view
    tables.view = view
    tables.owners_by_bucket = {
        bucket: select_owners(bucket, view.members_by_id)
        for bucket in range(BUCKETS_PER_POOL)
    }
    tables.counters['', 'view-installed'] += 1
    start_handover(tables, before)
    return True
