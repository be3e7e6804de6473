"""Steps of a control replica: messages, time and proposed edits."""

from collections.abc import Callable

from mustardhold.systems.edits import (
    copy_state,
    find_lasting_faults,
    first_outcome,
)
from mustardhold.systems.election import (
    check_quorum,
    follow,
    has_leader_contact,
    has_lease,
    put_off_election,
    start_trial,
    take_vote_reply,
    take_vote_request,
)
from mustardhold.systems.replica_growth import grow_group
from mustardhold.systems.replica_log import (
    append_command,
    compact,
    entry_at,
    find_members,
    last_entry,
)
from mustardhold.systems.replica_membership import (
    introduce,
    promote_learners,
    take_hello,
)
from mustardhold.systems.replication import (
    broadcast,
    commit_majority,
    commit_to,
    take_append,
    take_append_reply,
    take_snapshot,
)
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
ConfigurationProposalResult = (
    Accepted | NoQuorum | Overloaded | Pending | NotLeader
)


def empty_snapshot() -> Snapshot:
    """Make the state before the first entry."""
    return Snapshot(0, 0, (), EditState())


def empty_log() -> list[LogEntry]:
    """Make a log before its first entry."""
    return [LogEntry(0, 0, NoOp())]


def make_replica(
    local_member: ReplicaMember,
    peers: Members,
    random: Callable[[], float],
    now: float,
) -> Replica:
    """Make a replica with an empty folder.

    It counts as having heard a leader just now: an answer that it gave
    before a restart may still extend a leader's lease.
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
    put_off_election(replica, now)
    return replica


def restore_replica(
    replica: Replica,
    vote: Vote,
    snapshot: Snapshot,
    log: list[LogEntry],
    commit_index: int = 0,
) -> None:
    """Give a replica what its folder holds, in force as far as committed."""
    replica.vote = vote
    replica.snapshot = snapshot
    replica.log = log
    replica.edits = copy_state(snapshot.edits)
    replica.configuration = snapshot.configuration
    replica.commit_index = snapshot.index
    find_members(replica)
    commit_to(replica, min(commit_index, last_entry(replica).index), Effects())


def reload_saved_state(
    replica: Replica,
    now: float,
    vote: Vote,
    snapshot: Snapshot,
    log: list[LogEntry],
) -> None:
    """Go on from what the folder holds, as after a restart.

    What was known to be committed stays so, as far as the folder holds it.
    """
    committed = replica.commit_index
    follow(replica, None)
    restore_replica(replica, vote, snapshot, log, committed)
    replica.leader_contact_at = now
    put_off_election(replica, now)


def step(replica: Replica, now: float, message: ReplicaMessage) -> Effects:
    """Act on a message of another replica."""
    effects = Effects()
    match message:
        case VoteRequest():
            take_vote_request(replica, now, message, effects)
        case VoteReply():
            take_vote_reply(replica, now, message, effects)
        case AppendRequest():
            take_append(replica, now, message, effects)
        case AppendReply():
            take_append_reply(replica, now, message, effects)
        case SnapshotRequest():
            take_snapshot(replica, now, message, effects)
        case Hello():
            take_hello(replica, now, message, effects)
    compact(replica, effects)
    return effects


def tick(replica: Replica, now: float) -> Effects:
    """Act on the time: heartbeats, elections and changes of the members."""
    effects = Effects()
    introduce(replica, now, effects)
    if replica.role is not Role.LEADER and now >= replica.election_due_at:
        start_trial(replica, now, effects)
    if replica.role is Role.LEADER:
        lead_on(replica, now, effects)
    compact(replica, effects)
    return effects


def lead_on(replica: Replica, now: float, effects: Effects) -> None:
    """Do what a leader does as time passes."""
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


def has_opened_term(replica: Replica) -> bool:
    """Tell whether a leader has committed an entry of its own term."""
    entry = entry_at(replica, replica.commit_index)
    return entry is not None and entry.term == replica.vote.term


def propose_edit(
    replica: Replica, now: float, edit: Edit, taken_at: float
) -> tuple[ProposalResult, Effects]:
    """Take an edit as the leader.

    Returns
    -------
    Proposed, Effects
        The outcome where it is certain at once, else where the edit waits.
    """
    effects = Effects()
    if replica.role is not Role.LEADER:
        return NotLeader(replica.leader), effects
    repeated = first_outcome(replica.edits, edit.edit_id)
    if repeated is not None and has_opened_term(replica):
        return repeated, effects
    findings = tuple(find_lasting_faults(edit))
    if findings:
        return Refused(findings), effects
    command = EditCommand(edit, replica.local_member.instance_id, taken_at)
    return propose_command(replica, now, command, effects), effects


def propose_command(
    replica: Replica, now: float, command: Command, effects: Effects
) -> NoQuorum | Overloaded | Pending:
    """Append a command as the leader, and send it on."""
    if not is_certain(replica, now):
        return NoQuorum(None)
    if last_entry(replica).index - replica.commit_index >= MAX_PENDING_ENTRIES:
        return Overloaded()
    entry = append_command(replica, command, effects)
    commit_majority(replica, effects)
    broadcast(replica, now, effects)
    compact(replica, effects)
    return Pending(entry.index, entry.term)


def is_certain(replica: Replica, now: float) -> bool:
    """Tell whether this leader surely holds all that was ever committed."""
    return has_lease(replica, now) and has_opened_term(replica)


def is_up_to_date(replica: Replica, now: float) -> bool:
    """Tell whether this replica would know of what was just committed."""
    if replica.role is Role.LEADER:
        return is_certain(replica, now)
    is_following = replica.leader is not None and has_leader_contact(
        replica, now
    )
    return is_following and replica.commit_index >= replica.leader_commit_index


def propose_configuration(
    replica: Replica, now: float, configuration: VersionedDocument
) -> tuple[ConfigurationProposalResult, Effects]:
    """Take a configuration as the leader.

    Returns
    -------
    ConfigurationProposalResult, Effects
        Where it waits; ``Accepted`` with the version in force where that is
        as high already, so that nothing has to change.
    """
    effects = Effects()
    if replica.role is not Role.LEADER:
        return NotLeader(replica.leader), effects
    held = replica.configuration.version
    if configuration.version <= held:
        return Accepted(held), effects
    command = ConfigurationCommand(configuration)
    return propose_command(replica, now, command, effects), effects


def read_configuration(
    replica: Replica, now: float
) -> VersionedDocument | NotLeader:
    """Read the configuration in force, where that is certain."""
    if is_certain(replica, now):
        return replica.configuration
    is_leader = replica.role is Role.LEADER
    return NotLeader(None if is_leader else replica.leader)
