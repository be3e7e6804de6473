"""State, messages and log entries of the control replicas."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.edits import EditState
from mustardhold.tables.options import GrowthPolicy
from mustardhold.tables.routing import Edit, EditOutcome, RepeatedEdit


class Role(StrEnum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class ReplicaMember(msgspec.Struct, frozen=True):
    """A replica as the others address it.

    Attributes
    ----------
    uid
        Identity of its data folder; a folder that was lost gets another one.
        Empty where the folder is not known yet.
    data_centre
        Where it runs; empty where nothing depends on it.
    """

    uid: str
    instance_id: str
    http_address: str
    is_voter: bool = True
    data_centre: str = ''


Members = tuple[ReplicaMember, ...]


class NoOp(msgspec.Struct, frozen=True, tag='no-op'):
    """Opens a leader's term."""


class EditCommand(msgspec.Struct, frozen=True, tag='edit'):
    """An edit, as a leader took it.

    Attributes
    ----------
    taken_at
        Time of day at the leader, in seconds since 1970 in UTC.
    """

    edit: Edit
    leader_id: str
    taken_at: float


class MembersCommand(msgspec.Struct, frozen=True, tag='members'):
    """Replaces the members; in force as soon as it is in the log."""

    members: Members


class ConfigurationCommand(msgspec.Struct, frozen=True, tag='configuration'):
    """A configuration; it takes effect if its version is the highest."""

    configuration: VersionedDocument


Command = NoOp | EditCommand | MembersCommand | ConfigurationCommand


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the replicated log."""

    term: int
    index: int
    command: Command


class Vote(msgspec.Struct, frozen=True):
    """The current term, and whom the replica voted for in it."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """State after all entries up to an index."""

    index: int
    term: int
    members: Members
    edits: EditState
    configuration: VersionedDocument = NO_DOCUMENT


class VoteRequest(msgspec.Struct, frozen=True, tag='vote-request'):
    """Asks for a vote, or whether a vote would be given.

    Attributes
    ----------
    is_pre_vote
        Whether this is the pre-vote, which changes no term.
    """

    sender: ReplicaMember
    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = msgspec.field(name='is_trial')


class VoteReply(msgspec.Struct, frozen=True, tag='vote-reply'):
    """Gives a vote in the asked term, or refuses with the own term."""

    sender: ReplicaMember
    term: int
    is_granted: bool
    is_pre_vote: bool = msgspec.field(name='is_trial')


class AppendRequest(msgspec.Struct, frozen=True, tag='append'):
    """Entries after a previous one; without entries, a heartbeat.

    Attributes
    ----------
    sent_at
        The leader's monotonic clock; comes back in the reply.
    """

    sender: ReplicaMember
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, tag='append-reply'):
    """How far a follower's log matches the leader's.

    Attributes
    ----------
    match_index
        Last matching index; without a match, where to try next.
    """

    sender: ReplicaMember
    term: int
    is_matching: bool
    match_index: int
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """A snapshot for a follower that needs entries no longer in the log."""

    sender: ReplicaMember
    term: int
    snapshot: Snapshot
    sent_at: float


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """Says who a replica is, before it is a member.

    Attributes
    ----------
    members
        The members that the sender knows.
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
    """A message, and the replica that it is for."""

    receiver: ReplicaMember
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class AppliedEdit:
    """What an edit at an index of the log came to."""

    index: int
    term: int
    edit_id: str
    outcome: EditOutcome | RepeatedEdit


@dataclass(frozen=True, slots=True)
class AppliedConfiguration:
    """A committed configuration, in force or overtaken by a higher one."""

    index: int
    term: int
    is_current_version: bool


Applied = AppliedEdit | AppliedConfiguration


@dataclass(slots=True)
class Effects:
    """What has to follow a step, in this order: save, send, answer.

    Attributes
    ----------
    retained_index
        Entries of the saved log above this index are replaced.
    is_log_rewritten
        Whether the whole log has to be saved anew, after the snapshot.
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
    """What a leader knows of another replica.

    Attributes
    ----------
    last_contact_at
        When the latest answered message was sent, by the leader's clock.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = float('-inf')
    snapshot_sent_at: float = float('-inf')


@dataclass(slots=True)
class ReceivedHello:
    """A replica that introduced itself, and when."""

    hello: Hello
    received_at: float


@dataclass(slots=True)
class Replica:
    """All state of one control replica.

    Attributes
    ----------
    peers
        Replicas of the settings, this one included, to form a group with.
    random
        Source of numbers from 0 to 1.
    log
        Never empty: the first entry is the last one that was dropped.
    members
        As the latest entry of the log says, committed or not.
    growth
        How the members change without an operator; none where they do not.
    leader_commit_index
        What the leader had committed when it was last heard.
    leader_since
        When this replica became the leader.
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
    progress_by_uid: dict[str, Progress] = field(default_factory=dict)
    hellos_by_instance: dict[str, ReceivedHello] = field(default_factory=dict)
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    configuration: VersionedDocument = NO_DOCUMENT
    growth: GrowthPolicy | None = None
    leader_commit_index: int = 0


@dataclass(frozen=True, slots=True)
class Pending:
    """Where in the log an edit waits for its commit."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Only the leader takes edits."""

    leader: ReplicaMember | None
