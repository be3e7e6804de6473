"""Snapshots of the replicated state, and the compaction of the log by them.

A replica that joins, or was away, gets a snapshot and then the entries that
follow it. Under a storm of large changes both become outdated while they are
sent, so a leader keeps what follows the snapshots on their way, and sends a new
one wherever that is shorter than the entries.
"""

from mustardhold.systems.edits import copy_state
from mustardhold.systems.replica_log import (
    ENTRY_BYTES,
    approximate_size,
    count_within,
    entries_after,
    entry_at,
    has_entry,
    load_members_from_log,
    members_at,
)
from mustardhold.tables.consensus import (
    Effects,
    LogEntry,
    NoOp,
    Progress,
    Replica,
    Role,
    Snapshot,
)
from mustardhold.tables.constants import (
    CATCH_UP_PERIOD,
    MAX_BYTES_PER_MESSAGE,
    MAX_CATCH_UP_BYTES,
    MAX_CATCH_UP_ENTRIES,
    RETAINED_LOG_BYTES,
    RETAINED_LOG_ENTRIES,
    SNAPSHOT_BYTES,
    SNAPSHOT_ENTRIES,
    SNAPSHOT_QUICK_RETRY,
    SNAPSHOT_RETRY,
)


def make_snapshot(replica: Replica) -> Snapshot:
    """Make a snapshot of all committed entries."""
    entry = entry_at(replica, replica.commit_index)
    if entry is None:
        return replica.snapshot
    return Snapshot(
        entry.index,
        entry.term,
        members_at(replica, entry.index),
        copy_state(replica.edits),
        replica.configuration,
        replica.evacuations,
    )


def needs_snapshot(replica: Replica, index: int) -> bool:
    """Return whether a replica whose log ends at an index needs a snapshot.

    It does if the entries that follow are gone from the log, or are more than a
    message holds and much longer than a snapshot.
    """
    if entry_at(replica, index) is None:
        return True
    if index >= replica.commit_index or is_one_message(replica, index):
        return False
    following = replica.log[index + 1 - replica.log[0].index :]
    committed = following[: replica.commit_index - index]
    entries_bytes = sum(map(approximate_size, committed))
    return entries_bytes > MAX_BYTES_PER_MESSAGE + 2 * state_size(replica)


def is_one_message(replica: Replica, index: int) -> bool:
    """Return whether one message holds all committed entries after an index."""
    if index >= replica.commit_index:
        return True
    entries = entries_after(replica, index)
    return entries[-1].index >= replica.commit_index


def state_size(replica: Replica) -> int:
    """Return the approximate size of a snapshot in bytes."""
    edits = len(replica.edits.records_by_edit_id)
    return len(replica.configuration.packed) + ENTRY_BYTES * (edits + 1)


def is_snapshot_due(progress: Progress, now: float) -> bool:
    """Return whether a member that needs a snapshot is to get one now.

    A member that holds the last one, which the log has overtaken since, does
    not wait.
    """
    if progress.match_index >= progress.snapshot_index:
        return True
    retry = SNAPSHOT_QUICK_RETRY if progress.lacks_snapshot else SNAPSHOT_RETRY
    return now - progress.snapshot_sent_at >= retry.total_seconds()


def compact(replica: Replica, now: float, effects: Effects) -> None:
    """Replace applied entries by a snapshot once the log is long.

    It waits for members that still need what would be cut off.
    """
    if not needs_compaction(replica, effects):
        return
    index = replica.commit_index
    if entry_at(replica, index) is None:
        return
    applied = replica.log[: index + 1 - replica.log[0].index]
    retained_count = count_within(
        reversed(applied), RETAINED_LOG_ENTRIES, RETAINED_LOG_BYTES
    )
    dropped_count = max(len(applied) - retained_count, 0)
    if is_awaited(replica, now, replica.log[dropped_count].index):
        return
    replica.snapshot = make_snapshot(replica)
    del replica.log[:dropped_count]
    effects.snapshot = replica.snapshot
    effects.is_log_rewritten = True


def needs_compaction(replica: Replica, effects: Effects) -> bool:
    """Return whether the log has enough entries or bytes to slow a restart."""
    if replica.commit_index - replica.snapshot.index >= SNAPSHOT_ENTRIES:
        return True
    # A log over the byte limit can shrink only by newly applied entries.
    return bool(effects.applied) and log_size(replica) > SNAPSHOT_BYTES


def log_size(replica: Replica) -> int:
    """Return the approximate size of the log in bytes."""
    return sum(map(approximate_size, replica.log))


def is_awaited(replica: Replica, now: float, first_index: int) -> bool:
    """Return whether a member needs entries before an index, and may get them.

    A member that was in contact lately may be catching up from the snapshot
    that was sent to it. A log that members wait for grows to a limit only.
    """
    if replica.role is not Role.LEADER:
        return False
    if len(replica.log) > MAX_CATCH_UP_ENTRIES:
        return False
    if log_size(replica) > MAX_CATCH_UP_BYTES:
        return False
    member_uids = {member.uid for member in replica.members}
    return any(
        uid in member_uids
        and now - progress.last_contact_at < CATCH_UP_PERIOD.total_seconds()
        and replica.log[0].index <= held_index(progress) < first_index
        for uid, progress in replica.progress_by_uid.items()
    )


def held_index(progress: Progress) -> int:
    """Return up to where a member holds the log, or will by the snapshot."""
    return max(progress.match_index, progress.snapshot_index)


def install_snapshot(
    replica: Replica, snapshot: Snapshot, effects: Effects
) -> None:
    """Replace the state by a snapshot that is ahead of the commit index."""
    if not has_entry(replica, snapshot.index, snapshot.term):
        replica.log = [LogEntry(snapshot.term, snapshot.index, NoOp())]
    replica.snapshot = snapshot
    replica.edits = copy_state(snapshot.edits)
    replica.configuration = snapshot.configuration
    replica.evacuations = snapshot.evacuations
    replica.commit_index = snapshot.index
    load_members_from_log(replica)
    effects.snapshot = snapshot
    effects.is_log_rewritten = True
