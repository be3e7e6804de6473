"""Replicas that lack entries catch up, also while changes come quickly."""

import random

import msgspec
import pytest

from mustardhold.systems import consensus
from mustardhold.systems.replica_growth import (
    grow_group,
    with_promoted_learner,
    without_lost_voter,
)
from mustardhold.systems.replica_log import append_command
from mustardhold.systems.replication import commit_to, send_entries
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import (
    AppendReply,
    AppendRequest,
    ConfigurationCommand,
    Effects,
    Hello,
    Progress,
    ReplicaMember,
    Role,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from mustardhold.tables.constants import (
    ELECTION_RETRY,
    MAX_CATCH_UP_BYTES,
    SNAPSHOT_BYTES,
    SNAPSHOT_QUICK_RETRY,
    SNAPSHOT_RETRY,
    UNREADY_VOTER_LOSS_TIMEOUT,
)
from mustardhold.tables.options import GrowthPolicy

DOCUMENT_BYTES = 50_000
LEADER, FOLLOWER, LOST = (
    ReplicaMember(f'{name}/1', name, name) for name in ('c1', 'c2', 'c3')
)
RETURNED = ReplicaMember('c3/2', 'c3', 'c3')
EARLIER = ReplicaMember('c3/3', 'c3', 'c3', is_voter=False)
FURTHER = ReplicaMember('c4/1', 'c4', 'c4', is_voter=False)
POLICY = GrowthPolicy(3, may_form=True)


class Leader:
    """A leader of three voters whose followers are played by the test."""

    def __init__(self, members=(LEADER, FOLLOWER, LOST)):
        self.now = 10.0
        self.replica = consensus.make_replica(
            LEADER, members, random.Random(1).random, 0
        )
        self.replica.members = members
        self.replica.role = Role.LEADER
        self.replica.leader_since = 0
        self.replica.progress_by_uid = {
            member.uid: Progress(1, last_contact_at=self.now)
            for member in members
            if member != LEADER
        }
        self.version = 0

    def confirm(self, member, index=None):
        """Process the reply of a member that holds the log up to an index."""
        if index is None:
            index = self.replica.log[-1].index
        reply = AppendReply(
            member, self.replica.vote.term, True, index, self.now
        )
        return consensus.step(self.replica, self.now, reply)

    def refuse(self, member):
        """Process the reply of a member that holds nothing yet."""
        reply = AppendReply(member, self.replica.vote.term, False, 0, self.now)
        return consensus.step(self.replica, self.now, reply)

    def change(self, count):
        """Commit large configurations with the replies of the follower."""
        for _ in range(count):
            self.version += 1
            document = VersionedDocument(self.version, bytes(DOCUMENT_BYTES))
            consensus.propose_configuration(self.replica, self.now, document)
            self.confirm(FOLLOWER)

    def send(self, member):
        """Return the messages to a member at its next heartbeat."""
        effects = Effects()
        send_entries(self.replica, self.now, member, effects)
        return messages_to(effects, member)


def messages_to(effects, member):
    return [one.message for one in effects.sends if one.receiver == member]


def snapshots(messages):
    return [
        one.snapshot.index
        for one in messages
        if isinstance(one, SnapshotRequest)
    ]


@pytest.fixture
def leader():
    """Make a leader whose log no longer holds what the lost voter needs."""
    made = Leader()
    progress = made.replica.progress_by_uid[LOST.uid]
    progress.last_contact_at = float('-inf')
    made.change(30)
    assert made.replica.log[0].index > 1
    made.now += SNAPSHOT_RETRY.total_seconds()
    made.confirm(FOLLOWER)
    made.refuse(LOST)
    made.now += SNAPSHOT_RETRY.total_seconds()
    made.confirm(FOLLOWER)
    return made


def test_snapshot_is_as_new_as_the_commit_index(leader):
    """Guards against a snapshot that the log has overtaken when it is sent."""
    assert snapshots(leader.send(LOST)) == [leader.replica.commit_index]
    assert not snapshots(leader.send(LOST))


def test_overtaken_snapshot_is_followed_by_the_next_at_once(leader):
    """Guards against a replica that waits seconds for its next snapshot."""
    (first,) = snapshots(leader.send(LOST))
    leader.change(60)
    assert leader.replica.log[0].index > first
    (second,) = snapshots(messages_to(leader.confirm(LOST, first), LOST))
    assert second == leader.replica.commit_index


def test_refused_snapshot_is_sent_again_after_a_short_time(leader):
    """Guards against a wait of seconds after a full disk refused it."""
    assert snapshots(leader.send(LOST))
    assert not snapshots(messages_to(leader.refuse(LOST), LOST))
    leader.now += SNAPSHOT_QUICK_RETRY.total_seconds()
    assert snapshots(messages_to(leader.refuse(LOST), LOST))


def test_entries_that_follow_a_sent_snapshot_stay_in_the_log(leader):
    """Guards against a replica that can never catch up with a storm."""
    (sent,) = snapshots(leader.send(LOST))
    leader.change(SNAPSHOT_BYTES // DOCUMENT_BYTES + 1)
    messages = messages_to(leader.confirm(LOST, sent), LOST)
    (request,) = messages
    assert isinstance(request, AppendRequest)
    assert request.entries[0].index == sent + 1


def test_log_that_a_lagging_replica_waits_for_has_a_limit(leader):
    assert snapshots(leader.send(LOST))
    leader.change(2 * MAX_CATCH_UP_BYTES // DOCUMENT_BYTES)
    size = len(leader.replica.log) * DOCUMENT_BYTES
    assert size < MAX_CATCH_UP_BYTES + 2 * SNAPSHOT_BYTES


def say_hello(leader, member):
    """Let a replica with a new data directory introduce itself."""
    hello = Hello(member, is_formed=False, is_answer=True)
    consensus.step(leader.replica, leader.now, hello)


@pytest.mark.parametrize('is_learner', [False, True])
def test_returned_instance_takes_the_place_of_its_lost_folder_at_once(
    is_learner,
):
    """Guards against a majority that needs all others until it caught up."""
    earlier = (EARLIER,) if is_learner else ()
    leader = Leader((LEADER, FOLLOWER, LOST, *earlier))
    leader.now += 2
    leader.replica.progress_by_uid[FOLLOWER.uid].last_contact_at = leader.now
    say_hello(leader, RETURNED)
    grow_group(leader.replica, leader.now, POLICY, Effects())
    members = leader.replica.members
    assert [member.uid for member in members] == ['c1/1', 'c2/1', 'c3/2']
    assert all(member.is_voter for member in members)


def test_learner_takes_the_place_of_its_lost_folder():
    """Guards against a returned instance that stays a learner for seconds."""
    learner = msgspec.structs.replace(RETURNED, is_voter=False)
    leader = Leader((LEADER, FOLLOWER, LOST, learner))
    leader.now += 2
    for member in (FOLLOWER, learner):
        leader.replica.progress_by_uid[member.uid].last_contact_at = leader.now
    grow_group(leader.replica, leader.now, POLICY, Effects())
    assert leader.replica.members == (LEADER, FOLLOWER, RETURNED)


def test_responsive_voter_keeps_its_place():
    leader = Leader()
    say_hello(leader, RETURNED)
    grow_group(leader.replica, leader.now, POLICY, Effects())
    voters = {one.uid for one in leader.replica.members if one.is_voter}
    assert voters == {'c1/1', 'c2/1', 'c3/1'}


def add_backlog(leader):
    """Commit more than one message holds, which no learner has yet."""
    effects = Effects()
    for version in range(1, 20):
        document = VersionedDocument(version, bytes(DOCUMENT_BYTES))
        append_command(leader.replica, ConfigurationCommand(document), effects)
    commit_to(leader.replica, leader.replica.log[-1].index, effects)


@pytest.mark.parametrize(
    ('members', 'is_promoted'),
    [
        ((LEADER, FOLLOWER, FURTHER), True),
        ((LEADER, FURTHER), False),
    ],
    ids=['even', 'odd'],
)
def test_learner_that_lags_is_promoted_where_no_majority_grows(
    members, is_promoted
):
    """Guards against two voters that both have to be there for long."""
    leader = Leader(members)
    add_backlog(leader)
    promoted = with_promoted_learner(leader.replica, leader.now, POLICY)
    assert (promoted is not None) == is_promoted


def test_lost_voter_is_given_up_later_if_no_learner_has_caught_up():
    leader = Leader((LEADER, FOLLOWER, LOST, FURTHER))
    add_backlog(leader)
    for seconds, is_removed in ((2.0, False), (3.1, True)):
        assert (seconds > UNREADY_VOTER_LOSS_TIMEOUT.total_seconds()) is (
            is_removed
        )
        now = leader.now + seconds
        for member in (FOLLOWER, FURTHER):
            leader.replica.progress_by_uid[member.uid].last_contact_at = now
        members = without_lost_voter(leader.replica, now)
        assert (members is not None) == is_removed


@pytest.fixture
def replica():
    """Make a voter that has not heard of a leader."""
    voters = (LEADER, FOLLOWER, LOST)
    made = consensus.make_replica(LEADER, voters, random.Random(1).random, 0)
    made.members = voters
    return made


def test_vote_that_arrives_late_still_counts(replica):
    """Guards against elections that all fail where replies take long."""
    now = replica.election_due_at
    consensus.tick(replica, now)
    consensus.step(replica, now, VoteReply(FOLLOWER, 1, True, True))
    assert replica.role is Role.CANDIDATE
    now = replica.election_due_at
    consensus.tick(replica, now)
    assert replica.role is Role.PRE_CANDIDATE
    consensus.step(replica, now, VoteReply(FOLLOWER, 1, True, False))
    assert replica.role is Role.LEADER
    assert replica.vote.term == 1


def test_vote_of_an_earlier_term_does_not_count(replica):
    now = replica.election_due_at
    consensus.tick(replica, now)
    consensus.step(replica, now, VoteReply(FOLLOWER, 1, True, True))
    refusal = VoteReply(LOST, 5, is_granted=False, is_pre_vote=False)
    consensus.step(replica, now, refusal)
    consensus.tick(replica, replica.election_due_at)
    for term in (1, 5):
        consensus.step(replica, now, VoteReply(FOLLOWER, term, True, False))
    assert replica.role is not Role.LEADER


def test_refused_vote_is_requested_again_after_a_short_time(replica):
    """Guards against a failover that takes a whole timeout longer."""
    first = replica.election_due_at
    effects = consensus.tick(replica, first)
    assert any(isinstance(one.message, VoteRequest) for one in effects.sends)
    refusal = VoteReply(FOLLOWER, 0, is_granted=False, is_pre_vote=True)
    consensus.step(replica, first, refusal)
    longest = 2 * ELECTION_RETRY.total_seconds()
    effects = consensus.tick(replica, first + longest)
    assert any(isinstance(one.message, VoteRequest) for one in effects.sends)
