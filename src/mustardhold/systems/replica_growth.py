"""Automatic growth and repair of the group of replicas.

Replicas that send a hello become learners. Learners that have caught up become
voters up to the target number, and replace voters that are lost. Each change is
committed before the next one starts.
"""

from collections import Counter

import msgspec

from mustardhold.systems.election import last_contact_with, other_members
from mustardhold.systems.replica_membership import (
    change_members,
    find_change_error,
)
from mustardhold.systems.replication import match_index_of
from mustardhold.tables.consensus import (
    Effects,
    Members,
    Replica,
    ReplicaMember,
)
from mustardhold.tables.constants import (
    HELLO_LIFETIME,
    LEARNER_RETENTION,
    MAX_REPLICAS,
    REPLICA_CONTACT_TIMEOUT,
    VOTER_LOSS_TIMEOUT,
)
from mustardhold.tables.options import GrowthPolicy


def grow_group(
    replica: Replica, now: float, policy: GrowthPolicy, effects: Effects
) -> None:
    """Make the next membership change that is due, if any."""
    if find_change_error(replica, now) is not None:
        return
    members = (
        with_new_replica(replica, now)
        or with_promoted_learner(replica, now, policy)
        or without_lost_voter(replica, now)
        or without_lost_learner(replica, now)
    )
    if members is not None:
        replica.counters['membership', 'changed'] += 1
        change_members(replica, now, members, effects)


def is_responsive(replica: Replica, now: float, member: ReplicaMember) -> bool:
    """Return whether a member has replied recently."""
    if member.uid == replica.local_member.uid:
        return True
    silence = now - last_contact_with(replica, member.uid)
    return silence < REPLICA_CONTACT_TIMEOUT.total_seconds()


def with_new_replica(replica: Replica, now: float) -> Members | None:
    """Return the members plus a replica that sent a hello, as a learner.

    It replaces an earlier learner of the same instance. None is returned if
    there is no such replica, or if there are ``MAX_REPLICAS`` members.
    """
    member_uids = {member.uid for member in replica.members}
    if len(member_uids) >= MAX_REPLICAS:
        return None
    for received in replica.hellos_by_instance.values():
        sender = received.hello.sender
        is_recent = now - received.received_at < HELLO_LIFETIME.total_seconds()
        if is_recent and sender.uid and sender.uid not in member_uids:
            learner = msgspec.structs.replace(sender, is_voter=False)
            remaining = (
                member
                for member in replica.members
                if member.is_voter or member.instance_id != learner.instance_id
            )
            return (*remaining, learner)
    return None


def ready_learners(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the responsive learners that hold every committed entry."""
    return [
        member
        for member in other_members(replica)
        if not member.is_voter
        and is_responsive(replica, now, member)
        and match_index_of(replica, member.uid) >= replica.commit_index
    ]


def with_promoted_learner(
    replica: Replica, now: float, policy: GrowthPolicy
) -> Members | None:
    """Return the members with one more voter, if one is needed.

    The learner comes from the data centre with the fewest voters.
    """
    voters = [member for member in replica.members if member.is_voter]
    if len(voters) >= policy.voters:
        return None
    voter_instance_ids = {voter.instance_id for voter in voters}
    count_by_centre = Counter(voter.data_centre for voter in voters)
    ready = [
        learner
        for learner in ready_learners(replica, now)
        if learner.instance_id not in voter_instance_ids
    ]
    if not ready:
        return None
    chosen = min(
        ready,
        key=lambda candidate: (
            count_by_centre[candidate.data_centre],
            candidate.instance_id,
        ),
    )
    return tuple(
        msgspec.structs.replace(member, is_voter=True)
        if member.uid == chosen.uid
        else member
        for member in replica.members
    )


def without_lost_voter(replica: Replica, now: float) -> Members | None:
    """Return the members without a lost voter that a learner can replace.

    A majority of the remaining voters has to be responsive. If only two remain,
    both are needed, so the learner has to be ready before the removal. A voter
    is certainly lost if its instance came back with a new data directory.
    """
    voters = [member for member in replica.members if member.is_voter]
    responsive = [
        voter for voter in voters if is_responsive(replica, now, voter)
    ]
    ready = ready_learners(replica, now)
    if not ready or len(responsive) <= (len(voters) - 1) // 2:
        return None
    replaced_instance_ids = {learner.instance_id for learner in ready}
    for voter in voters:
        if voter.uid == replica.local_member.uid or is_responsive(
            replica, now, voter
        ):
            continue
        last_contact = max(
            last_contact_with(replica, voter.uid), replica.leader_since
        )
        is_lost = now - last_contact >= VOTER_LOSS_TIMEOUT.total_seconds()
        if is_lost or voter.instance_id in replaced_instance_ids:
            return without_member(replica, voter)
    return None


def without_lost_learner(replica: Replica, now: float) -> Members | None:
    """Return the members without a learner that is unresponsive for long."""
    for member in other_members(replica):
        last_contact = max(
            last_contact_with(replica, member.uid), replica.leader_since
        )
        is_lost = now - last_contact >= LEARNER_RETENTION.total_seconds()
        if not member.is_voter and is_lost:
            return without_member(replica, member)
    return None


def without_member(replica: Replica, removed: ReplicaMember) -> Members:
    """Return all members except one."""
    return tuple(
        member for member in replica.members if member.uid != removed.uid
    )
