"""A group of replicas that grows and repairs itself.

Replicas that introduce themselves become learners; learners that have caught
up become voters up to the number aimed at, and take the place of voters that
fell silent. One change is committed before the next one begins.
"""

from collections import Counter

import msgspec

from mustardhold.systems.election import heard_at, others
from mustardhold.systems.replica_membership import (
    change_members,
    find_change_fault,
)
from mustardhold.systems.replication import match_of
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
    """Make the next change of the members that is due, if any."""
    if find_change_fault(replica, now) is not None:
        return
    members = (
        with_newcomer(replica, now)
        or with_promoted(replica, now, policy)
        or without_lost_voter(replica, now)
        or without_lost_learner(replica, now)
    )
    if members is not None:
        replica.counters['membership', 'changed'] += 1
        change_members(replica, now, members, effects)


def is_heard(replica: Replica, now: float, member: ReplicaMember) -> bool:
    """Tell whether a member answers."""
    if member.uid == replica.local_member.uid:
        return True
    silence = now - heard_at(replica, member.uid)
    return silence < REPLICA_CONTACT_TIMEOUT.total_seconds()


def with_newcomer(replica: Replica, now: float) -> Members | None:
    """Add a folder that has just introduced itself, as a learner."""
    known = {member.uid for member in replica.members}
    if len(known) >= MAX_REPLICAS:
        return None
    for seen in replica.hellos_by_instance.values():
        newcomer = seen.hello.sender
        is_recent = now - seen.received_at < HELLO_LIFETIME.total_seconds()
        if is_recent and newcomer.uid and newcomer.uid not in known:
            learner = msgspec.structs.replace(newcomer, is_voter=False)
            kept = (
                member
                for member in replica.members
                if member.is_voter or member.instance_id != learner.instance_id
            )
            return (*kept, learner)
    return None


def ready_learners(replica: Replica, now: float) -> list[ReplicaMember]:
    """Find the learners that answer and hold everything committed."""
    return [
        member
        for member in others(replica)
        if not member.is_voter
        and is_heard(replica, now, member)
        and match_of(replica, member.uid) >= replica.commit_index
    ]


def with_promoted(
    replica: Replica, now: float, policy: GrowthPolicy
) -> Members | None:
    """Turn a learner into a voter, in the data centre with the fewest."""
    voters = [member for member in replica.members if member.is_voter]
    if len(voters) >= policy.voters:
        return None
    held = {voter.instance_id for voter in voters}
    count_by_centre = Counter(voter.data_centre for voter in voters)
    ready = [
        learner
        for learner in ready_learners(replica, now)
        if learner.instance_id not in held
    ]
    if not ready:
        return None
    chosen = min(
        ready,
        key=lambda one: (count_by_centre[one.data_centre], one.instance_id),
    )
    return tuple(
        msgspec.structs.replace(member, is_voter=True)
        if member.uid == chosen.uid
        else member
        for member in replica.members
    )


def without_lost_voter(replica: Replica, now: float) -> Members | None:
    """Remove a voter that fell silent, where a learner can follow it.

    The voters that remain have to hold a majority that answers, with none
    to spare where only two are left: so the learner must be ready first. A
    voter whose instance came back with a new folder is lost for certain.
    """
    voters = [member for member in replica.members if member.is_voter]
    heard = [voter for voter in voters if is_heard(replica, now, voter)]
    ready = ready_learners(replica, now)
    if not ready or len(heard) <= (len(voters) - 1) // 2:
        return None
    renewed = {learner.instance_id for learner in ready}
    for voter in voters:
        if voter.uid == replica.local_member.uid or is_heard(
            replica, now, voter
        ):
            continue
        silent_since = max(heard_at(replica, voter.uid), replica.leader_since)
        is_silent = now - silent_since >= VOTER_LOSS_TIMEOUT.total_seconds()
        if is_silent or voter.instance_id in renewed:
            return without(replica, voter)
    return None


def without_lost_learner(replica: Replica, now: float) -> Members | None:
    """Remove a learner that has been silent for long."""
    for member in others(replica):
        since = max(heard_at(replica, member.uid), replica.leader_since)
        is_lost = now - since >= LEARNER_RETENTION.total_seconds()
        if not member.is_voter and is_lost:
            return without(replica, member)
    return None


def without(replica: Replica, gone: ReplicaMember) -> Members:
    """Return the members but one."""
    return tuple(member for member in replica.members if member.uid != gone.uid)
