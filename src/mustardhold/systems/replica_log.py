"""The replicated log in memory: look-up, append and compaction."""

from collections.abc import Iterable, Sequence

from mustardhold.systems.edits import copy_state
from mustardhold.tables.consensus import (
    Command,
    ConfigurationCommand,
    Effects,
    LogEntry,
    Members,
    MembersCommand,
    NoOp,
    Replica,
    Snapshot,
)
from mustardhold.tables.constants import (
    MAX_BYTES_PER_MESSAGE,
    MAX_ENTRIES_PER_MESSAGE,
    RETAINED_LOG_BYTES,
    RETAINED_LOG_ENTRIES,
    SNAPSHOT_BYTES,
    SNAPSHOT_ENTRIES,
)

ENTRY_BYTES = 256


def last_entry(replica: Replica) -> LogEntry:
    """Return the newest entry."""
    return replica.log[-1]


def entry_at(replica: Replica, index: int) -> LogEntry | None:
    """Return the entry at an index, where the log still holds it."""
    position = index - replica.log[0].index
    if 0 <= position < len(replica.log):
        return replica.log[position]
    return None


def has_entry(replica: Replica, index: int, term: int) -> bool:
    """Tell whether the log has an entry of this term at an index."""
    entry = entry_at(replica, index)
    return entry is not None and entry.term == term


def size_of(entry: LogEntry) -> int:
    """Return about how many bytes an entry takes on disk and on its way."""
    if isinstance(entry.command, ConfigurationCommand):
        return ENTRY_BYTES + len(entry.command.configuration.packed)
    return ENTRY_BYTES


def count_within(
    entries: Iterable[LogEntry], max_entries: int, max_bytes: int
) -> int:
    """Count the first entries that keep within two limits; one at least."""
    size = 0
    for count, entry in enumerate(entries):
        size += size_of(entry)
        if count and (count == max_entries or size > max_bytes):
            return count
    return max_entries


def entries_after(replica: Replica, index: int) -> tuple[LogEntry, ...]:
    """Return the entries of a message that follow an index of the log."""
    start = index + 1 - replica.log[0].index
    following = replica.log[start : start + MAX_ENTRIES_PER_MESSAGE]
    count = count_within(
        following, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
    )
    return tuple(following[:count])


def append_command(
    replica: Replica, command: Command, effects: Effects
) -> LogEntry:
    """Append a command of the current term."""
    index = last_entry(replica).index + 1
    entry = LogEntry(replica.vote.term, index, command)
    append_entries(replica, (entry,), effects)
    return entry


def append_entries(
    replica: Replica, entries: Sequence[LogEntry], effects: Effects
) -> None:
    """Append entries; a change of the members is in force at once."""
    for entry in entries:
        replica.log.append(entry)
        effects.appended.append(entry)
        if isinstance(entry.command, MembersCommand):
            replica.members = entry.command.members
            replica.members_index = entry.index


class CommitContradictedError(ValueError):
    """A leader's log lacks an entry that was committed here."""


def drop_entries_after(replica: Replica, index: int, effects: Effects) -> None:
    """Drop the entries above an index, which were never committed.

    Raises
    ------
    CommitContradictedError
        If a committed entry would be dropped.
    """
    if index < replica.commit_index:
        raise CommitContradictedError(f'entry {index + 1} is committed')
    del replica.log[index + 1 - replica.log[0].index :]
    effects.retained_index = index
    find_members(replica)


def find_members(replica: Replica) -> None:
    """Find the members that the latest entry of the log names."""
    for entry in reversed(replica.log):
        if isinstance(entry.command, MembersCommand):
            replica.members = entry.command.members
            replica.members_index = entry.index
            return
    replica.members = replica.snapshot.members
    replica.members_index = replica.snapshot.index


def members_at(replica: Replica, index: int) -> Members:
    """Find the members that were in force at an index of the log."""
    for entry in reversed(replica.log):
        if entry.index <= index and isinstance(entry.command, MembersCommand):
            return entry.command.members
    return replica.snapshot.members


def is_long(replica: Replica, effects: Effects) -> bool:
    """Tell whether the log has so many entries or bytes that a start drags."""
    if replica.commit_index - replica.snapshot.index >= SNAPSHOT_ENTRIES:
        return True
    # Only what was applied just now lets a log by bytes be cut.
    return bool(effects.applied) and (
        sum(size_of(entry) for entry in replica.log) > SNAPSHOT_BYTES
    )


def compact(replica: Replica, effects: Effects) -> None:
    """Replace applied entries by a snapshot, once there are many."""
    if not is_long(replica, effects):
        return
    index = replica.commit_index
    entry = entry_at(replica, index)
    if entry is None:
        return
    members = members_at(replica, index)
    edits = copy_state(replica.edits)
    replica.snapshot = Snapshot(
        index, entry.term, members, edits, replica.configuration
    )
    applied = replica.log[: index + 1 - replica.log[0].index]
    kept = count_within(
        reversed(applied), RETAINED_LOG_ENTRIES, RETAINED_LOG_BYTES
    )
    del replica.log[: max(len(applied) - kept, 0)]
    effects.snapshot = replica.snapshot
    effects.is_log_rewritten = True


def install_snapshot(
    replica: Replica, snapshot: Snapshot, effects: Effects
) -> None:
    """Take over a snapshot that is newer than what was committed."""
    if not has_entry(replica, snapshot.index, snapshot.term):
        replica.log = [LogEntry(snapshot.term, snapshot.index, NoOp())]
    replica.snapshot = snapshot
    replica.edits = copy_state(snapshot.edits)
    replica.configuration = snapshot.configuration
    replica.commit_index = snapshot.index
    find_members(replica)
    effects.snapshot = snapshot
    effects.is_log_rewritten = True
