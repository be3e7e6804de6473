"""Automatic growth and repair of the group of replicas.

Replicas that send a hello become learners. Learners become voters up to the
target number, and replace voters that are lost; the new data directory of a
voter's instance takes its place at once. Each change is committed before the
next one starts.
"""

from collections import Counter

import msgspec

from mustardhold.systems.election import last_contact_with, other_members
from mustardhold.systems.replica_log import entry_at
from mustardhold.systems.replica_membership import (
    change_members,
    find_change_error,
)
from mustardhold.systems.replication import match_index_of
from mustardhold.systems.snapshots import is_one_message
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
    UNREADY_VOTER_LOSS_TIMEOUT,
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
        with_returned_voter(replica, now)
        or with_new_replica(replica, now)
        or with_promoted_learner(replica, now, policy)
        or without_lost_member(replica, now)
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


def with_returned_voter(replica: Replica, now: float) -> Members | None:
    """Return the members with a new data directory in the place of a voter.

    The voter's instance came back with it, so the old one never votes again,
    and one change may replace it: each majority without the old one shares a
    replica with each majority of the new voters. The new one need not have
    caught up. It confirms no entry before it holds all earlier ones, and the
    others bear the next loss with it, but not with a voter that is gone.
    """
    lost_by_instance = {
        voter.instance_id: voter
        for voter in other_members(replica)
        if voter.is_voter and not is_responsive(replica, now, voter)
    }
    returned = (*responsive_learners(replica, now), *new_replicas(replica, now))
    for successor in returned:
        lost = lost_by_instance.get(successor.instance_id)
        if lost is not None:
            remaining = without_member(replica, lost)
            return (
                *without_instance_learner(remaining, successor),
                msgspec.structs.replace(successor, is_voter=True),
            )
    return None


def with_new_replica(replica: Replica, now: float) -> Members | None:
    """Return the members plus a replica that sent a hello, as a learner.

    It replaces an earlier learner of the same instance. None is returned if
    there is no such replica, or if there are ``MAX_REPLICAS`` members.
    """
    if len(replica.members) >= MAX_REPLICAS:
        return None
    for sender in new_replicas(replica, now):
        learner = msgspec.structs.replace(sender, is_voter=False)
        return (*without_instance_learner(replica.members, learner), learner)
    return None


def new_replicas(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the replicas that sent a hello lately and are no members.

    A member's new data directory has another uid, so it is not a member yet.
    """
    member_uids = {member.uid for member in replica.members}
    return [
        received.hello.sender
        for received in replica.hellos_by_instance.values()
        if now - received.received_at < HELLO_LIFETIME.total_seconds()
        and received.hello.sender.uid
        and received.hello.sender.uid not in member_uids
    ]


def without_instance_learner(
    members: Members, replica: ReplicaMember
) -> Members:
    """Return the members without an earlier learner of a replica's instance."""
    return tuple(
        member
        for member in members
        if member.is_voter or member.instance_id != replica.instance_id
    )


def responsive_learners(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the learners that have replied recently."""
    return [
        member
        for member in other_members(replica)
        if not member.is_voter and is_responsive(replica, now, member)
    ]


def ready_learners(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the responsive learners that have all but caught up."""
    return [
        member
        for member in responsive_learners(replica, now)
        if has_caught_up(replica, match_index_of(replica, member.uid))
    ]


def has_caught_up(replica: Replica, index: int) -> bool:
    """Return whether a log that ends at an index lacks at most one message.

    While changes come quickly, hardly any replica holds all of them at once.
    """
    is_in_log = entry_at(replica, index) is not None
    return is_in_log and is_one_message(replica, index)


def with_promoted_learner(
    replica: Replica, now: float, policy: GrowthPolicy
) -> Members | None:
    """Return the members with one more voter, if one is needed.

    Learners that have caught up go first, then those from the data centre with
    the fewest voters. If the number of voters is even, one more needs no larger
    majority, so that a learner may vote before it has caught up.
    """
    voters = [member for member in replica.members if member.is_voter]
    if len(voters) >= policy.voters:
        return None
    voter_instance_ids = {voter.instance_id for voter in voters}
    count_by_centre = Counter(voter.data_centre for voter in voters)
    is_even = len(voters) % 2 == 0
    learners = responsive_learners if is_even else ready_learners
    candidates = [
        learner
        for learner in learners(replica, now)
        if learner.instance_id not in voter_instance_ids
    ]
    if not candidates:
        return None
    chosen = min(
        candidates,
        key=lambda candidate: (
            not has_caught_up(replica, match_index_of(replica, candidate.uid)),
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


def without_lost_member(replica: Replica, now: float) -> Members | None:
    """Return the members without a lost voter or learner, if there is one."""
    return without_lost_voter(replica, now) or without_lost_learner(
        replica, now
    )


def without_lost_voter(replica: Replica, now: float) -> Members | None:
    """Return the members without a lost voter that a learner can replace.

    A majority of the remaining voters has to be responsive. A voter is given
    up later if no learner has caught up.
    """
    voters = [member for member in replica.members if member.is_voter]
    responsive = [
        voter for voter in voters if is_responsive(replica, now, voter)
    ]
    is_replaceable = bool(responsive_learners(replica, now))
    if not is_replaceable or len(responsive) <= (len(voters) - 1) // 2:
        return None
    is_ready = bool(ready_learners(replica, now))
    timeout = VOTER_LOSS_TIMEOUT if is_ready else UNREADY_VOTER_LOSS_TIMEOUT
    for voter in voters:
        if voter.uid == replica.local_member.uid or is_responsive(
            replica, now, voter
        ):
            continue
        last_contact = max(
            last_contact_with(replica, voter.uid), replica.leader_since
        )
        if now - last_contact >= timeout.total_seconds():
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
