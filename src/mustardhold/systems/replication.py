"""Entries from the leader to the others, and their commit."""

from mustardhold.systems.edits import apply_edit
from mustardhold.systems.election import (
    enter_term,
    follow,
    majority_size,
    others,
    put_off_election,
    voter_uids,
)
from mustardhold.systems.replica_log import (
    append_entries,
    drop_entries_after,
    entries_after,
    entry_at,
    has_entry,
    install_snapshot,
    last_entry,
)
from mustardhold.tables.consensus import (
    AppendReply,
    AppendRequest,
    AppliedConfiguration,
    AppliedEdit,
    ConfigurationCommand,
    EditCommand,
    Effects,
    LogEntry,
    Progress,
    Replica,
    ReplicaMember,
    ReplicaSend,
    Role,
    SnapshotRequest,
)
from mustardhold.tables.constants import (
    HEARTBEAT_INTERVAL,
    SNAPSHOT_RETRY,
)
from mustardhold.tables.edits import EditOrigin


def broadcast(replica: Replica, now: float, effects: Effects) -> None:
    """Send every member what it lacks; also the heartbeat."""
    replica.next_heartbeat_at = now + HEARTBEAT_INTERVAL.total_seconds()
    for member in others(replica):
        send_entries(replica, now, member, effects)


def progress_of(replica: Replica, uid: str) -> Progress:
    """Return what is known of a member, also of a new one."""
    return replica.progress_by_uid.setdefault(
        uid, Progress(last_entry(replica).index + 1)
    )


def send_entries(
    replica: Replica, now: float, member: ReplicaMember, effects: Effects
) -> None:
    """Send a member the entries that it lacks, or a snapshot."""
    progress = progress_of(replica, member.uid)
    previous = entry_at(replica, progress.next_index - 1)
    if previous is None:
        send_snapshot(replica, now, member, effects)
        previous = last_entry(replica)
    request = AppendRequest(
        replica.local_member,
        replica.vote.term,
        previous.index,
        previous.term,
        entries_after(replica, previous.index),
        replica.commit_index,
        now,
    )
    effects.sends.append(ReplicaSend(member, request))


def send_snapshot(
    replica: Replica, now: float, member: ReplicaMember, effects: Effects
) -> None:
    """Send a member the snapshot, unless it was sent a moment ago."""
    progress = progress_of(replica, member.uid)
    if now - progress.snapshot_sent_at < SNAPSHOT_RETRY.total_seconds():
        return
    progress.snapshot_sent_at = now
    replica.counters['replication', 'snapshot-sent'] += 1
    request = SnapshotRequest(
        replica.local_member, replica.vote.term, replica.snapshot, now
    )
    effects.sends.append(ReplicaSend(member, request))


def hear_leader(
    replica: Replica,
    now: float,
    leader: ReplicaMember,
    term: int,
    effects: Effects,
) -> bool:
    """Follow the sender, unless its term is over."""
    if term < replica.vote.term:
        return False
    enter_term(replica, term, effects)
    follow(replica, leader)
    replica.leader_contact_at = now
    put_off_election(replica, now)
    return True


def take_append(
    replica: Replica, now: float, request: AppendRequest, effects: Effects
) -> None:
    """Append a leader's entries where the logs match."""
    if not hear_leader(replica, now, request.sender, request.term, effects):
        answer_append(replica, request, effects, is_matching=False)
        return
    replica.leader_commit_index = request.commit_index
    is_matching = is_previous_known(replica, request)
    if is_matching:
        merge_entries(replica, request.entries, effects)
        last = request.previous_index + len(request.entries)
        commit_to(replica, min(request.commit_index, last), effects)
    answer_append(replica, request, effects, is_matching=is_matching)


def is_previous_known(replica: Replica, request: AppendRequest) -> bool:
    """Tell whether the log matches up to the previous entry."""
    index = request.previous_index
    if index < replica.log[0].index:
        return True
    return has_entry(replica, index, request.previous_term)


def merge_entries(
    replica: Replica, entries: tuple[LogEntry, ...], effects: Effects
) -> None:
    """Append the entries that are new; drop those that they contradict."""
    first = replica.log[0].index
    for position, entry in enumerate(entries):
        if entry.index <= first or has_entry(replica, entry.index, entry.term):
            continue
        if entry.index <= last_entry(replica).index:
            drop_entries_after(replica, entry.index - 1, effects)
        append_entries(replica, entries[position:], effects)
        return


def answer_append(
    replica: Replica,
    request: AppendRequest,
    effects: Effects,
    *,
    is_matching: bool,
) -> None:
    """Tell the leader how far the logs match."""
    matched = request.previous_index + len(request.entries)
    retry = min(replica.commit_index, request.previous_index)
    reply = AppendReply(
        replica.local_member,
        replica.vote.term,
        is_matching,
        matched if is_matching else retry,
        request.sent_at,
    )
    effects.sends.append(ReplicaSend(request.sender, reply))


def take_snapshot(
    replica: Replica, now: float, request: SnapshotRequest, effects: Effects
) -> None:
    """Take over a leader's snapshot."""
    if not hear_leader(replica, now, request.sender, request.term, effects):
        return
    if request.snapshot.index > replica.commit_index:
        install_snapshot(replica, request.snapshot, effects)
        replica.counters['replication', 'snapshot-installed'] += 1
    reply = AppendReply(
        replica.local_member,
        replica.vote.term,
        is_matching=True,
        match_index=request.snapshot.index,
        sent_at=request.sent_at,
    )
    effects.sends.append(ReplicaSend(request.sender, reply))


def take_append_reply(
    replica: Replica, now: float, reply: AppendReply, effects: Effects
) -> None:
    """Note how far a member is, and send it what follows."""
    enter_term(replica, reply.term, effects)
    progress = replica.progress_by_uid.get(reply.sender.uid)
    is_current = reply.term == replica.vote.term
    if replica.role is not Role.LEADER or not is_current or progress is None:
        return
    progress.last_contact_at = max(progress.last_contact_at, reply.sent_at)
    if not reply.is_matching:
        progress.next_index = max(progress.match_index, reply.match_index) + 1
        send_entries(replica, now, reply.sender, effects)
        return
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = progress.match_index + 1
    commit_majority(replica, effects)
    if reply.match_index < replica.commit_index:
        send_entries(replica, now, reply.sender, effects)


def commit_majority(replica: Replica, effects: Effects) -> None:
    """Commit what a majority holds, if it is of the leader's own term."""
    last = last_entry(replica).index
    matches = sorted(
        last if uid == replica.local_member.uid else match_of(replica, uid)
        for uid in voter_uids(replica)
    )
    index = matches[-majority_size(replica)]
    if has_entry(replica, index, replica.vote.term):
        commit_to(replica, index, effects)


def match_of(replica: Replica, uid: str) -> int:
    """Return up to where a member's log matches."""
    progress = replica.progress_by_uid.get(uid)
    return 0 if progress is None else progress.match_index


def commit_to(replica: Replica, index: int, effects: Effects) -> None:
    """Apply the entries up to an index, in order."""
    while replica.commit_index < index:
        entry = entry_at(replica, replica.commit_index + 1)
        if entry is None:
            return
        replica.commit_index = entry.index
        if isinstance(entry.command, EditCommand):
            apply_command(replica, entry, entry.command, effects)
        elif isinstance(entry.command, ConfigurationCommand):
            apply_configuration(replica, entry, entry.command, effects)


def apply_command(
    replica: Replica, entry: LogEntry, command: EditCommand, effects: Effects
) -> None:
    """Apply a committed edit."""
    origin = EditOrigin(
        command.leader_id, command.taken_at, entry.term, entry.index
    )
    outcome = apply_edit(replica.edits, command.edit, origin)
    effects.applied.append(
        AppliedEdit(entry.index, entry.term, command.edit.edit_id, outcome)
    )


def apply_configuration(
    replica: Replica,
    entry: LogEntry,
    command: ConfigurationCommand,
    effects: Effects,
) -> None:
    """Put a committed configuration in force, unless a higher one is."""
    is_newer = command.configuration.version > replica.configuration.version
    if is_newer:
        replica.configuration = command.configuration
    effects.applied.append(
        AppliedConfiguration(entry.index, entry.term, is_newer)
    )
