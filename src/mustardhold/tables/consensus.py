"""Raft state, messages and log entries of the control replicas."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.edits import EditState
from mustardhold.tables.evacuations import (
    NO_EVACUATIONS,
    EvacuationOrder,
    EvacuationState,
)
from mustardhold.tables.options import GrowthPolicy
from mustardhold.tables.routing import Edit, EditOutcome, RepeatedEdit


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class ReplicaMember(msgspec.Struct, frozen=True):
    """Identity and address of a replica.

    Attributes
    ----------
    uid
        Unique id of its data directory; a replacement for a lost directory
        gets a new id. Empty while the directory is not known.
    data_centre
        Data centre that it runs in; empty where it is not used.
    """

    uid: str
    instance_id: str
    http_address: str
    is_voter: bool = True
    data_centre: str = ''


Members = tuple[ReplicaMember, ...]


class NoOp(msgspec.Struct, frozen=True, tag='no-op'):
    """First entry of a leader's term; changes nothing."""


class EditCommand(msgspec.Struct, frozen=True, tag='edit'):
    """An edit that a leader accepted for replication.

    Attributes
    ----------
    taken_at
        Wall-clock time of the leader, in seconds since 1970-01-01 UTC.
    """

    edit: Edit
    leader_id: str
    taken_at: float


class MembersCommand(msgspec.Struct, frozen=True, tag='members'):
    """Replaces the members; takes effect when appended, before its commit."""

    members: Members


class ConfigurationCommand(msgspec.Struct, frozen=True, tag='configuration'):
    """Sets the configuration, if its version is higher than the current one."""

    configuration: VersionedDocument


class EvacuationCommand(msgspec.Struct, frozen=True, tag='evacuation'):
    """Begins or ends the evacuation of a data centre."""

    order: EvacuationOrder


Command = (
    NoOp
    | EditCommand
    | MembersCommand
    | ConfigurationCommand
    | EvacuationCommand
)


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the replicated log."""

    term: int
    index: int
    command: Command


class Vote(msgspec.Struct, frozen=True):
    """The current term, and the candidate that the replica voted for in it."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """State after applying all entries up to an index."""

    index: int
    term: int
    members: Members
    edits: EditState
    configuration: VersionedDocument = NO_DOCUMENT
    evacuations: EvacuationState = NO_EVACUATIONS


@dataclass(frozen=True, slots=True)
class SavedState:
    """What the data directory of a replica holds.

    Attributes
    ----------
    log
        Belongs to the replica once that has been restored.
    commit_index
        Entries up to this index were committed; later ones may have been.
    """

    vote: Vote
    snapshot: Snapshot
    log: list[LogEntry]
    commit_index: int = 0


class VoteRequest(msgspec.Struct, frozen=True, tag='vote-request'):
    """Requests a vote or a pre-vote.

    Attributes
    ----------
    is_pre_vote
        Whether this is a pre-vote, which does not change the term.
    """

    sender: ReplicaMember
    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = msgspec.field(name='is_trial')


class VoteReply(msgspec.Struct, frozen=True, tag='vote-reply'):
    """Grants a vote in the requested term, or refuses with the voter's term."""

    sender: ReplicaMember
    term: int
    is_granted: bool
    is_pre_vote: bool = msgspec.field(name='is_trial')


class AppendRequest(msgspec.Struct, frozen=True, tag='append'):
    """Entries that follow a previous one; a heartbeat if there are none.

    Attributes
    ----------
    sent_at
        Time on the leader's monotonic clock; returned in the reply.
    """

    sender: ReplicaMember
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, tag='append-reply'):
    """Result of an append or snapshot request.

    Attributes
    ----------
    match_index
        Last index at which the follower's log matches the leader's; if there
        is no match, the index that the leader should try next.
    """

    sender: ReplicaMember
    term: int
    is_matching: bool
    match_index: int
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """Snapshot for a follower that lacks entries already compacted."""

    sender: ReplicaMember
    term: int
    snapshot: Snapshot
    sent_at: float


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """Introduces a replica to a peer, or answers such an introduction.

    Attributes
    ----------
    members
        Members in the log of the sender.
    """

    sender: ReplicaMember
    is_formed: bool
    is_answer: bool
    members: Members = ()


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | Hello
)


class ReplicaSend(NamedTuple):
    """A message and its receiver."""

    receiver: ReplicaMember
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class AppliedEdit:
    """Outcome of an edit that was committed and applied."""

    index: int
    term: int
    edit_id: str
    outcome: EditOutcome | RepeatedEdit


@dataclass(frozen=True, slots=True)
class AppliedConfiguration:
    """A committed configuration, and whether its version is the current one."""

    index: int
    term: int
    is_current_version: bool


@dataclass(frozen=True, slots=True)
class AppliedEvacuation:
    """A committed evacuation order, and the revision that results from it."""

    index: int
    term: int
    revision: int


Applied = AppliedEdit | AppliedConfiguration | AppliedEvacuation


@dataclass(slots=True)
class Effects:
    """Actions to perform after a step, in this order: save, send, reply.

    Attributes
    ----------
    retained_index
        Last entry of the stored log to retain; later ones are replaced. None
        if entries are only appended.
    is_log_rewritten
        Whether the whole log must be written again, after the snapshot.
    """

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    is_log_rewritten: bool = False
    retained_index: int | None = None
    appended: list[LogEntry] = field(default_factory=list)
    sends: list[ReplicaSend] = field(default_factory=list)
    applied: list[Applied] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """Replication progress of another replica, as tracked by the leader.

    Attributes
    ----------
    last_contact_at
        When the latest message with a reply was sent, on the leader's
        monotonic clock, in seconds.
    snapshot_index, snapshot_sent_at
        Index of the snapshot that was sent last, and when; same clock.
    lacks_snapshot
        Whether the replica has replied to a later message without holding it:
        it was lost, or a full disk refused it.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = float('-inf')
    snapshot_index: int = 0
    snapshot_sent_at: float = float('-inf')
    lacks_snapshot: bool = False


@dataclass(slots=True)
class ReceivedHello:
    """The latest hello of a replica, and when it was received."""

    hello: Hello
    received_at: float


@dataclass(slots=True)
class Replica:
    """State of one control replica.

    Attributes
    ----------
    peers
        Configured replicas that form the group, including this one.
    random
        Returns a random number from 0 to 1.
    log
        Never empty; the first entry is the last compacted one.
    members
        Members in the latest such log entry, committed or not.
    growth
        Policy for automatic changes of the members; none if only an operator
        changes them.
    granting_uids
        Voters that grant the pre-vote that is being requested.
    voting_uids
        Voters that voted for this replica, in the last term in which it was a
        candidate.
    leader_commit_index
        Commit index in the latest message of the leader.
    leader_since
        When this replica last became the leader.
    """

    local_member: ReplicaMember
    peers: Members
    random: Callable[[], float]
    vote: Vote
    snapshot: Snapshot
    log: list[LogEntry]
    edits: EditState
    commit_index: int
    members: Members
    members_index: int
    leader_contact_at: float
    election_due_at: float
    role: Role = Role.FOLLOWER
    leader: ReplicaMember | None = None
    leader_since: float = float('-inf')
    next_heartbeat_at: float = float('-inf')
    next_hello_at: float = float('-inf')
    granting_uids: set[str] = field(default_factory=set)
    voting_uids: set[str] = field(default_factory=set)
    progress_by_uid: dict[str, Progress] = field(default_factory=dict)
    hellos_by_instance: dict[str, ReceivedHello] = field(default_factory=dict)
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    configuration: VersionedDocument = NO_DOCUMENT
    evacuations: EvacuationState = NO_EVACUATIONS
    growth: GrowthPolicy | None = None
    leader_commit_index: int = 0


@dataclass(frozen=True, slots=True)
class Pending:
    """Log position of an entry that is not committed yet."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Rejects a proposal because this replica is not the leader."""

    leader: ReplicaMember | None
