"""Raft log replication from the leader to the members, and commit."""

from mustardhold.systems.edits import apply_edit
from mustardhold.systems.election import (
    become_follower,
    enter_term,
    majority_size,
    other_members,
    reset_election_timer,
    voter_uids,
)
from mustardhold.systems.evacuation_orders import apply_order
from mustardhold.systems.replica_log import (
    append_entries,
    drop_entries_after,
    entries_after,
    entry_at,
    has_entry,
    last_entry,
)
from mustardhold.systems.snapshots import (
    install_snapshot,
    is_snapshot_due,
    make_snapshot,
    needs_snapshot,
)
from mustardhold.tables.consensus import (
    AppendReply,
    AppendRequest,
    AppliedConfiguration,
    AppliedEdit,
    AppliedEvacuation,
    ConfigurationCommand,
    EditCommand,
    Effects,
    EvacuationCommand,
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
)
from mustardhold.tables.edits import EditOrigin


def broadcast(replica: Replica, now: float, effects: Effects) -> None:
    """Send every other member its missing entries, or a heartbeat."""
    replica.next_heartbeat_at = now + HEARTBEAT_INTERVAL.total_seconds()
    for member in other_members(replica):
        send_entries(replica, now, member, effects)


def progress_of(replica: Replica, uid: str) -> Progress:
    """Return the replication progress of a member, or start to track it."""
    return replica.progress_by_uid.setdefault(
        uid, Progress(last_entry(replica).index + 1)
    )


def send_entries(
    replica: Replica, now: float, member: ReplicaMember, effects: Effects
) -> None:
    """Send a member its next entries, or a snapshot if it needs one."""
    progress = progress_of(replica, member.uid)
    previous = entry_at(replica, progress.next_index - 1)
    if previous is None or needs_snapshot(replica, previous.index):
        send_snapshot(replica, now, member, effects)
        # No entries: they follow once the member holds the snapshot.
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
    """Send a member the snapshot, unless the last one is on its way."""
    progress = progress_of(replica, member.uid)
    if not is_snapshot_due(progress, now):
        return
    snapshot = make_snapshot(replica)
    progress.snapshot_index = snapshot.index
    progress.snapshot_sent_at = now
    progress.lacks_snapshot = False
    replica.counters['replication', 'snapshot-sent'] += 1
    request = SnapshotRequest(
        replica.local_member, replica.vote.term, snapshot, now
    )
    effects.sends.append(ReplicaSend(member, request))


def accept_leader(
    replica: Replica,
    now: float,
    leader: ReplicaMember,
    term: int,
    effects: Effects,
) -> bool:
    """Follow the sender of a leader's message.

    Returns
    -------
    bool
        Whether the message is of the current term; an older one is ignored.
    """
    if term < replica.vote.term:
        return False
    enter_term(replica, term, effects)
    become_follower(replica, leader)
    replica.leader_contact_at = now
    reset_election_timer(replica, now)
    return True


def handle_append(
    replica: Replica, now: float, request: AppendRequest, effects: Effects
) -> None:
    """Append the leader's entries if the log matches up to them."""
    if not accept_leader(replica, now, request.sender, request.term, effects):
        reply_to_append(replica, request, effects, is_matching=False)
        return
    replica.leader_commit_index = request.commit_index
    is_matching = matches_previous_entry(replica, request)
    if is_matching:
        merge_entries(replica, request.entries, effects)
        last = request.previous_index + len(request.entries)
        commit_to(replica, min(request.commit_index, last), effects)
    reply_to_append(replica, request, effects, is_matching=is_matching)


def matches_previous_entry(replica: Replica, request: AppendRequest) -> bool:
    """Return whether the logs match up to the entry before the sent ones."""
    index = request.previous_index
    if index < replica.log[0].index:
        return True
    return has_entry(replica, index, request.previous_term)


def merge_entries(
    replica: Replica, entries: tuple[LogEntry, ...], effects: Effects
) -> None:
    """Append new entries, and drop existing ones that conflict with them."""
    first_index = replica.log[0].index
    for position, entry in enumerate(entries):
        if entry.index <= first_index or has_entry(
            replica, entry.index, entry.term
        ):
            continue
        if entry.index <= last_entry(replica).index:
            drop_entries_after(replica, entry.index - 1, effects)
        append_entries(replica, entries[position:], effects)
        return


def reply_to_append(
    replica: Replica,
    request: AppendRequest,
    effects: Effects,
    *,
    is_matching: bool,
) -> None:
    """Report to the leader up to which index the logs match."""
    last_index = request.previous_index + len(request.entries)
    retry_index = min(replica.commit_index, request.previous_index)
    reply = AppendReply(
        replica.local_member,
        replica.vote.term,
        is_matching,
        last_index if is_matching else retry_index,
        request.sent_at,
    )
    effects.sends.append(ReplicaSend(request.sender, reply))


def handle_snapshot(
    replica: Replica, now: float, request: SnapshotRequest, effects: Effects
) -> None:
    """Install a leader's snapshot if it is ahead of the commit index."""
    if not accept_leader(replica, now, request.sender, request.term, effects):
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


def handle_append_reply(
    replica: Replica, now: float, reply: AppendReply, effects: Effects
) -> None:
    """Update a member's progress, and send it the next entries."""
    enter_term(replica, reply.term, effects)
    progress = replica.progress_by_uid.get(reply.sender.uid)
    is_current = reply.term == replica.vote.term
    if replica.role is not Role.LEADER or not is_current or progress is None:
        return
    progress.last_contact_at = max(progress.last_contact_at, reply.sent_at)
    if not reply.is_matching:
        handle_mismatch(replica, now, reply, effects)
        return
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = progress.match_index + 1
    commit_majority(replica, effects)
    if reply.match_index < replica.commit_index:
        send_entries(replica, now, reply.sender, effects)


def handle_mismatch(
    replica: Replica, now: float, reply: AppendReply, effects: Effects
) -> None:
    """Go back to where a member's log may match, and send from there.

    While a snapshot is on its way there is nothing to send: each message would
    only cause the next mismatch.
    """
    progress = replica.progress_by_uid[reply.sender.uid]
    progress.next_index = max(progress.match_index, reply.match_index) + 1
    if reply.sent_at >= progress.snapshot_sent_at:
        # Messages to a member arrive in the order in which they were sent.
        progress.lacks_snapshot = True
    needs_one = needs_snapshot(replica, progress.next_index - 1)
    if not needs_one or is_snapshot_due(progress, now):
        send_entries(replica, now, reply.sender, effects)


def commit_majority(replica: Replica, effects: Effects) -> None:
    """Commit entries that a majority holds.

    Only an entry of the leader's current term is committed by counting; it
    commits the entries before it.
    """
    last = last_entry(replica).index
    matches = sorted(
        last
        if uid == replica.local_member.uid
        else match_index_of(replica, uid)
        for uid in voter_uids(replica)
    )
    index = matches[-majority_size(replica)]
    if has_entry(replica, index, replica.vote.term):
        commit_to(replica, index, effects)


def match_index_of(replica: Replica, uid: str) -> int:
    """Return the highest index at which a member's log matches."""
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
            apply_edit_command(replica, entry, entry.command, effects)
        elif isinstance(entry.command, ConfigurationCommand):
            apply_configuration(replica, entry, entry.command, effects)
        elif isinstance(entry.command, EvacuationCommand):
            apply_evacuation(replica, entry, entry.command, effects)


def apply_edit_command(
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
    """Apply a committed configuration if its version is the highest."""
    is_newer = command.configuration.version > replica.configuration.version
    if is_newer:
        replica.configuration = command.configuration
    effects.applied.append(
        AppliedConfiguration(entry.index, entry.term, is_newer)
    )


def apply_evacuation(
    replica: Replica,
    entry: LogEntry,
    command: EvacuationCommand,
    effects: Effects,
) -> None:
    """Apply a committed evacuation order."""
    replica.evacuations = apply_order(
        replica.evacuations, command.order, entry.index
    )
    revision = replica.evacuations.revision
    effects.applied.append(AppliedEvacuation(entry.index, entry.term, revision))
