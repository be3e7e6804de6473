"""State machine of a control replica: messages, timers and proposals."""

from collections.abc import Callable

from mustardhold.systems.edits import (
    copy_state,
    find_recorded_outcome,
    find_static_errors,
)
from mustardhold.systems.election import (
    become_follower,
    check_quorum,
    handle_vote_reply,
    handle_vote_request,
    has_leader_contact,
    has_lease,
    reset_election_timer,
    start_pre_vote,
)
from mustardhold.systems.replica_growth import grow_group
from mustardhold.systems.replica_log import (
    append_command,
    entry_at,
    last_entry,
    load_members_from_log,
)
from mustardhold.systems.replica_membership import (
    handle_hello,
    promote_learners,
    send_hellos,
)
from mustardhold.systems.replication import (
    broadcast,
    commit_majority,
    commit_to,
    handle_append,
    handle_append_reply,
    handle_snapshot,
)
from mustardhold.systems.snapshots import compact
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import (
    AppendReply,
    AppendRequest,
    Command,
    ConfigurationCommand,
    EditCommand,
    Effects,
    Hello,
    LogEntry,
    Members,
    NoOp,
    NotLeader,
    Pending,
    Replica,
    ReplicaMember,
    ReplicaMessage,
    Role,
    SavedState,
    Snapshot,
    SnapshotRequest,
    Vote,
    VoteReply,
    VoteRequest,
)
from mustardhold.tables.constants import MAX_PENDING_ENTRIES
from mustardhold.tables.edits import EditState
from mustardhold.tables.routing import (
    Accepted,
    Edit,
    EditOutcome,
    NoQuorum,
    Overloaded,
    Refused,
    RepeatedEdit,
)

ProposalResult = EditOutcome | RepeatedEdit | Pending | NotLeader
CommandProposalResult = NoQuorum | Overloaded | Pending | NotLeader
ConfigurationProposalResult = Accepted | CommandProposalResult


def empty_snapshot() -> Snapshot:
    """Return the snapshot of an empty log."""
    return Snapshot(0, 0, (), EditState())


def empty_log() -> list[LogEntry]:
    """Return a log that holds only the placeholder entry at index 0."""
    return [LogEntry(0, 0, NoOp())]


def make_replica(
    local_member: ReplicaMember,
    peers: Members,
    random: Callable[[], float],
    now: float,
) -> Replica:
    """Make a replica with an empty data directory.

    It starts as if a leader had just contacted it: a reply that it sent
    before a restart may still extend that leader's lease.
    """
    replica = Replica(
        local_member,
        peers,
        random,
        Vote(),
        empty_snapshot(),
        empty_log(),
        EditState(),
        commit_index=0,
        members=(),
        members_index=0,
        leader_contact_at=now,
        election_due_at=now,
    )
    reset_election_timer(replica, now)
    return replica


def restore_replica(replica: Replica, saved: SavedState) -> None:
    """Load saved state into a replica and apply its committed entries."""
    snapshot = saved.snapshot
    replica.vote = saved.vote
    replica.snapshot = snapshot
    replica.log = saved.log
    replica.edits = copy_state(snapshot.edits)
    replica.configuration = snapshot.configuration
    replica.evacuations = snapshot.evacuations
    replica.commit_index = snapshot.index
    load_members_from_log(replica)
    index = min(saved.commit_index, last_entry(replica).index)
    commit_to(replica, index, Effects())


def reload_saved_state(replica: Replica, now: float, saved: SavedState) -> None:
    """Reset the replica to its saved state, as after a restart."""
    become_follower(replica, None)
    restore_replica(replica, saved)
    replica.leader_contact_at = now
    reset_election_timer(replica, now)


def step(replica: Replica, now: float, message: ReplicaMessage) -> Effects:
    """Dispatch a message from another replica, then compact the log."""
    effects = Effects()
    match message:
        case VoteRequest():
            handle_vote_request(replica, now, message, effects)
        case VoteReply():
            handle_vote_reply(replica, now, message, effects)
        case AppendRequest():
            handle_append(replica, now, message, effects)
        case AppendReply():
            handle_append_reply(replica, now, message, effects)
        case SnapshotRequest():
            handle_snapshot(replica, now, message, effects)
        case Hello():
            handle_hello(replica, now, message, effects)
    compact(replica, now, effects)
    return effects


def tick(replica: Replica, now: float) -> Effects:
    """Run the timers: hellos, elections, heartbeats, membership changes."""
    effects = Effects()
    send_hellos(replica, now, effects)
    if replica.role is not Role.LEADER and now >= replica.election_due_at:
        start_pre_vote(replica, now, effects)
    if replica.role is Role.LEADER:
        tick_leader(replica, now, effects)
    compact(replica, now, effects)
    return effects


def tick_leader(replica: Replica, now: float, effects: Effects) -> None:
    """Run the timers that only a leader has."""
    check_quorum(replica, now)
    if replica.role is not Role.LEADER:
        return
    commit_majority(replica, effects)
    if replica.growth is None:
        promote_learners(replica, now, effects)
    else:
        grow_group(replica, now, replica.growth, effects)
    if now >= replica.next_heartbeat_at:
        broadcast(replica, now, effects)


def has_committed_in_term(replica: Replica) -> bool:
    """Return whether an entry of the current term is committed."""
    entry = entry_at(replica, replica.commit_index)
    return entry is not None and entry.term == replica.vote.term


def propose_edit(
    replica: Replica, now: float, edit: Edit, taken_at: float
) -> tuple[ProposalResult, Effects]:
    """Append an edit to the log if this replica is the leader.

    Returns
    -------
    ProposalResult, Effects
        The outcome if it is already certain, else the log position at
        which the edit waits for its commit.
    """
    effects = Effects()
    if replica.role is not Role.LEADER:
        return NotLeader(replica.leader), effects
    repeated = find_recorded_outcome(replica.edits, edit.edit_id)
    if repeated is not None and has_committed_in_term(replica):
        return repeated, effects
    findings = tuple(find_static_errors(edit))
    if findings:
        return Refused(findings), effects
    command = EditCommand(edit, replica.local_member.instance_id, taken_at)
    return propose_command(replica, now, command, effects), effects


def propose_command(
    replica: Replica, now: float, command: Command, effects: Effects
) -> NoQuorum | Overloaded | Pending:
    """Append a command as the leader, and replicate it."""
    if not is_confirmed_leader(replica, now):
        return NoQuorum(None)
    if last_entry(replica).index - replica.commit_index >= MAX_PENDING_ENTRIES:
        return Overloaded()
    entry = append_command(replica, command, effects)
    commit_majority(replica, effects)
    broadcast(replica, now, effects)
    compact(replica, now, effects)
    return Pending(entry.index, entry.term)


def is_confirmed_leader(replica: Replica, now: float) -> bool:
    """Return whether this leader certainly holds every committed entry."""
    return has_lease(replica, now) and has_committed_in_term(replica)


def is_up_to_date(replica: Replica, now: float) -> bool:
    """Return whether this replica has applied all recent commits.

    For a leader, this is whether its leadership is confirmed; for a follower,
    whether it is in contact with its leader and has applied everything up to
    the commit index that the leader sent last.
    """
    if replica.role is Role.LEADER:
        return is_confirmed_leader(replica, now)
    is_following = replica.leader is not None and has_leader_contact(
        replica, now
    )
    return is_following and replica.commit_index >= replica.leader_commit_index


def propose_configuration(
    replica: Replica, now: float, configuration: VersionedDocument
) -> tuple[ConfigurationProposalResult, Effects]:
    """Append a configuration to the log if this replica is the leader.

    Returns
    -------
    ConfigurationProposalResult, Effects
        The log position at which it waits for its commit; ``Accepted`` with
        the current version if that is at least as high, so that nothing has
        to change.
    """
    effects = Effects()
    if replica.role is not Role.LEADER:
        return NotLeader(replica.leader), effects
    current_version = replica.configuration.version
    if configuration.version <= current_version:
        return Accepted(current_version), effects
    command = ConfigurationCommand(configuration)
    return propose_command(replica, now, command, effects), effects


def read_configuration(
    replica: Replica, now: float
) -> VersionedDocument | NotLeader:
    """Return the current configuration if this leader is confirmed."""
    if is_confirmed_leader(replica, now):
        return replica.configuration
    return reader_elsewhere(replica)


def reader_elsewhere(replica: Replica) -> NotLeader:
    """Name the leader that may answer a read that this replica may not."""
    is_leader = replica.role is Role.LEADER
    return NotLeader(None if is_leader else replica.leader)
