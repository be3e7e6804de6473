"""Saves the steps of a replica; returns to what the disk holds if it is full.

What a step changed in memory counts only once it is saved. So after a refused
write the replica returns to its saved state. To repair the log may need room as
well; until there is some, the replica takes no step.
"""

import errno
from dataclasses import replace
from typing import Final

from mustardhold.adapters.replica_store import (
    ReplicaStore,
    open_store,
    save_effects,
)
from mustardhold.systems import consensus
from mustardhold.systems.election import become_follower
from mustardhold.tables.consensus import Effects, Replica

DISK_FULL_ERRORS: Final = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
"""No room on the device, or none within a quota or a limit of file size."""


def save_step(
    store: ReplicaStore, replica: Replica, now: float, effects: Effects
) -> OSError | None:
    """Make the effects of a step durable, or return to the saved state.

    Returns
    -------
    OSError or None
        Why a full disk refused it; then the effects must not be executed.

    Raises
    ------
    OSError
        If the disk failed for another reason.
    """
    try:
        save_effects(store, effects, replica.log)
    except OSError as error:
        if error.errno not in DISK_FULL_ERRORS:
            raise
        # It proposes nothing while its state is ahead of the saved one.
        become_follower(replica, None)
        store.is_reload_due = True
        ensure_reloaded(store, replica, now)
        return error
    if not store.is_reload_due:
        store.committed_index = replica.commit_index
    return None


def ensure_reloaded(store: ReplicaStore, replica: Replica, now: float) -> bool:
    """Return to the saved state if that is due; return whether steps may run.

    Raises
    ------
    OSError
        If the disk failed for another reason than that it is full.
    """
    if not store.is_reload_due:
        return True
    try:
        fresh, saved = open_store(store.disk)
    except OSError as error:
        if error.errno not in DISK_FULL_ERRORS:
            raise
        return False
    store.batch_ends = fresh.batch_ends
    store.log_size = fresh.log_size
    store.commit_size = fresh.commit_size
    store.is_reload_due = False
    # The commit index in memory may be of entries that were not saved.
    saved = replace(saved, commit_index=store.committed_index)
    consensus.reload_saved_state(replica, now, saved)
    return True
