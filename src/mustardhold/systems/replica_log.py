"""The replicated log in memory: lookup and append."""

from collections.abc import Iterable, Sequence

from mustardhold.tables.consensus import (
    Command,
    ConfigurationCommand,
    Effects,
    LogEntry,
    Members,
    MembersCommand,
    Replica,
)
from mustardhold.tables.constants import (
    MAX_BYTES_PER_MESSAGE,
    MAX_ENTRIES_PER_MESSAGE,
)

ENTRY_BYTES = 256


def last_entry(replica: Replica) -> LogEntry:
    """Return the newest entry."""
    return replica.log[-1]


def entry_at(replica: Replica, index: int) -> LogEntry | None:
    """Return the entry at an index, or none if the log does not hold it."""
    position = index - replica.log[0].index
    if 0 <= position < len(replica.log):
        return replica.log[position]
    return None


def has_entry(replica: Replica, index: int, term: int) -> bool:
    """Return whether the entry at an index is of the given term."""
    entry = entry_at(replica, index)
    return entry is not None and entry.term == term


def approximate_size(entry: LogEntry) -> int:
    """Return the approximate size of an entry on disk and in messages."""
    if isinstance(entry.command, ConfigurationCommand):
        return ENTRY_BYTES + len(entry.command.configuration.packed)
    return ENTRY_BYTES


def count_within(
    entries: Iterable[LogEntry], max_entries: int, max_bytes: int
) -> int:
    """Count the leading entries that fit both limits; at least one.

    Return ``max_entries`` if all entries fit.
    """
    size = 0
    for count, entry in enumerate(entries):
        size += approximate_size(entry)
        if count and (count == max_entries or size > max_bytes):
            return count
    return max_entries


def entries_after(replica: Replica, index: int) -> tuple[LogEntry, ...]:
    """Return the entries after an index that fit into one message."""
    start = index + 1 - replica.log[0].index
    following = replica.log[start : start + MAX_ENTRIES_PER_MESSAGE]
    count = count_within(
        following, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
    )
    return tuple(following[:count])


def append_command(
    replica: Replica, command: Command, effects: Effects
) -> LogEntry:
    """Append a command in the current term."""
    index = last_entry(replica).index + 1
    entry = LogEntry(replica.vote.term, index, command)
    append_entries(replica, (entry,), effects)
    return entry


def append_entries(
    replica: Replica, entries: Sequence[LogEntry], effects: Effects
) -> None:
    """Append entries; a membership change takes effect immediately."""
    for entry in entries:
        replica.log.append(entry)
        effects.appended.append(entry)
        if isinstance(entry.command, MembersCommand):
            replica.members = entry.command.members
            replica.members_index = entry.index


class CommitContradictedError(ValueError):
    """A leader's log conflicts with an entry committed on this replica."""


def drop_entries_after(replica: Replica, index: int, effects: Effects) -> None:
    """Drop the uncommitted entries above an index.

    Raises
    ------
    CommitContradictedError
        If a committed entry would be dropped.
    """
    if index < replica.commit_index:
        raise CommitContradictedError(
            f'leader contradicts committed entry {index + 1}'
        )
    del replica.log[index + 1 - replica.log[0].index :]
    effects.retained_index = index
    load_members_from_log(replica)


def load_members_from_log(replica: Replica) -> None:
    """Set the members from the latest membership entry or the snapshot."""
    for entry in reversed(replica.log):
        if isinstance(entry.command, MembersCommand):
            replica.members = entry.command.members
            replica.members_index = entry.index
            return
    replica.members = replica.snapshot.members
    replica.members_index = replica.snapshot.index


def members_at(replica: Replica, index: int) -> Members:
    """Return the members as of an index of the log."""
    for entry in reversed(replica.log):
        if entry.index <= index and isinstance(entry.command, MembersCommand):
            return entry.command.members
    return replica.snapshot.members
