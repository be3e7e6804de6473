"""Installation of views, which replace older ones."""

from mustardhold.systems.handover import start_handover
from mustardhold.systems.hashing import select_owners
from mustardhold.systems.request_history import update_owner_history
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.views import View


def install_view(tables: BalancerTables, now: float, view: View) -> bool:
    """Install a view if it is newer than the current one.

    The request history follows each view at once: two may be installed
    between two ticks, and history that seems to skip one is dropped.

    Returns
    -------
    bool
        Whether the view was newer.
    """
    if view.epoch <= tables.view.epoch:
        return False
    previous = tables.view
    tables.view = view
    tables.owners_by_bucket = {
        bucket: select_owners(bucket, view.members_by_id)
        for bucket in range(BUCKETS_PER_POOL)
    }
    tables.counters['', 'view-installed'] += 1
    start_handover(tables, previous)
    update_owner_history(tables, now)
    return True
