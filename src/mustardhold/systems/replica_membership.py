"""Formation of the replica group, and replacement of one voter at a time."""

from collections.abc import Iterable

import msgspec

from mustardhold.systems.election import (
    has_leader_contact,
    has_lease,
    last_contact_with,
    other_members,
)
from mustardhold.systems.replica_log import (
    append_command,
    entry_at,
    last_entry,
)
from mustardhold.systems.replication import broadcast, match_index_of
from mustardhold.tables.consensus import (
    Effects,
    Hello,
    Members,
    MembersCommand,
    ReceivedHello,
    Replica,
    ReplicaMember,
    ReplicaSend,
    Vote,
)
from mustardhold.tables.constants import (
    HELLO_INTERVAL,
    HELLO_LIFETIME,
    MAX_REPLICAS,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

FIRST_TERM = 1


def is_formed(replica: Replica) -> bool:
    """Return whether this replica has ever belonged to a group."""
    return replica.vote.term > 0 or last_entry(replica).index > 0


def is_member(replica: Replica) -> bool:
    """Return whether the members include this replica's data directory."""
    return any(
        member.uid == replica.local_member.uid for member in replica.members
    )


def is_outside_group(replica: Replica) -> bool:
    """Return whether a group exists that this replica does not belong to."""
    return not is_formed(replica) and any(
        received.hello.is_formed
        for received in replica.hellos_by_instance.values()
    )


def send_hellos(replica: Replica, now: float, effects: Effects) -> None:
    """Send a hello to all peers until this replica belongs to a group.

    In a group that grows automatically, a replica resumes this when it loses
    contact with the leader, as it may have been replaced.
    """
    if now < replica.next_hello_at or is_introduced(replica, now):
        return
    replica.next_hello_at = now + HELLO_INTERVAL.total_seconds()
    hello = Hello(
        replica.local_member,
        is_formed(replica),
        is_answer=False,
        members=replica.members,
    )
    effects.sends.extend(
        ReplicaSend(peer, hello) for peer in known_peers(replica)
    )
    if not is_formed(replica):
        form_group(replica, now, effects)


def is_introduced(replica: Replica, now: float) -> bool:
    """Return whether this replica no longer needs to send hellos."""
    if replica.growth is None:
        return is_formed(replica)
    return is_formed(replica) and has_leader_contact(replica, now)


def known_peers(replica: Replica) -> Members:
    """Return the other replicas named by settings, log and hellos."""
    by_id = {peer.instance_id: peer for peer in replica.peers}
    if replica.growth is not None:
        for received in replica.hellos_by_instance.values():
            by_id.update(
                (named.instance_id, named) for named in received.hello.members
            )
    by_id.update((member.instance_id, member) for member in replica.members)
    by_id.pop(replica.local_member.instance_id, None)
    # An address may have a new data directory by now, with another uid.
    return tuple(
        msgspec.structs.replace(peer, uid='') for peer in by_id.values()
    )


def update_peers(replica: Replica, addresses: Iterable[str]) -> None:
    """Replace the peers by those of changed settings.

    A replica that may still form a group keeps its peers, because all founding
    replicas have to agree on them.
    """
    if replica.growth is None:
        return
    if replica.growth.may_form and not is_formed(replica):
        return
    replica.peers = tuple(
        ReplicaMember('', address, address) for address in addresses
    )


def handle_hello(
    replica: Replica, now: float, hello: Hello, effects: Effects
) -> None:
    """Record a replica's hello, and reply to it."""
    hellos = replica.hellos_by_instance
    instance_id = hello.sender.instance_id
    if instance_id not in hellos and len(hellos) >= MAX_REPLICAS:
        hellos.pop(least_needed_hello(replica))
        replica.counters['membership', 'hello-dropped'] += 1
    hellos[instance_id] = ReceivedHello(hello, now)
    if not hello.is_answer:
        reply = Hello(
            replica.local_member,
            is_formed(replica),
            is_answer=True,
            members=replica.members,
        )
        effects.sends.append(ReplicaSend(hello.sender, reply))


def least_needed_hello(replica: Replica) -> str:
    """Return the instance whose hello makes room for that of another one.

    It is the one heard longest ago; one of a member only if there are no
    others. Instances come and go, and the newest has to be taken in.
    """
    member_ids = {member.instance_id for member in replica.members}
    hellos = replica.hellos_by_instance
    return min(
        hellos,
        key=lambda one: (one in member_ids, hellos[one].received_at),
    )


def form_group(replica: Replica, now: float, effects: Effects) -> None:
    """Form a group once all peers have sent a hello and none is in a group.

    Only the peer with the lowest id forms it, and only if every peer is
    present. So a replica that lost its disk finds at least one peer that knows
    the group.
    """
    if replica.growth is not None and not replica.growth.may_form:
        return
    first_id = min(peer.instance_id for peer in replica.peers)
    members = find_founding_members(replica, now)
    if first_id != replica.local_member.instance_id or members is None:
        return
    replica.vote = Vote(FIRST_TERM)
    effects.vote = replica.vote
    append_command(replica, MembersCommand(members), effects)
    replica.election_due_at = now


def find_founding_members(replica: Replica, now: float) -> Members | None:
    """Return all peers with their uids, or none unless all are new."""
    members = [replica.local_member]
    for peer in replica.peers:
        if peer.instance_id == replica.local_member.instance_id:
            continue
        received = replica.hellos_by_instance.get(peer.instance_id)
        if received is None or received.hello.is_formed:
            return None
        if now - received.received_at > HELLO_LIFETIME.total_seconds():
            return None
        members.append(received.hello.sender)
    return tuple(members)


def find_change_error(replica: Replica, now: float) -> str | None:
    """Return why the members cannot be changed now, or none."""
    if not has_lease(replica, now):
        return 'this replica does not lead a majority'
    if replica.members_index > replica.commit_index:
        return 'another membership change is not committed yet'
    committed = entry_at(replica, replica.commit_index)
    if committed is None or committed.term != replica.vote.term:
        return 'the leader has not committed an entry of its term yet'
    return None


def replace_replica(
    replica: Replica, now: float, instance_id: str, effects: Effects
) -> Outcome[ReplicaMember, Finding]:
    """Add an instance's new data directory to the group, as a learner.

    Returns
    -------
    Outcome
        The learner, or why the replica cannot be replaced.
    """
    error = find_change_error(replica, now)
    if error is not None:
        return Err(Finding('replicas', error))
    received = replica.hellos_by_instance.get(instance_id)
    if received is None or received.hello.is_formed:
        location = f'replicas/{instance_id}'
        return Err(Finding(location, 'no new replica has sent a hello'))
    learner = msgspec.structs.replace(received.hello.sender, is_voter=False)
    remaining = tuple(
        member
        for member in replica.members
        if member.instance_id != instance_id or member.is_voter
    )
    if any(member.uid == learner.uid for member in remaining):
        location = f'replicas/{instance_id}'
        return Err(Finding(location, 'this data directory is already a voter'))
    change_members(replica, now, (*remaining, learner), effects)
    return Ok(learner)


def change_members(
    replica: Replica, now: float, members: Members, effects: Effects
) -> None:
    """Append a membership change to the log, and replicate it."""
    append_command(replica, MembersCommand(members), effects)
    broadcast(replica, now, effects)


def promote_learners(replica: Replica, now: float, effects: Effects) -> None:
    """Turn a learner that has caught up into a voter, in two changes.

    The first change removes the voter with the data directory that the instance
    lost.
    """
    learner = find_ready_learner(replica, now)
    if learner is None or find_change_error(replica, now) is not None:
        return
    remaining = tuple(
        member
        for member in replica.members
        if member.instance_id != learner.instance_id
    )
    is_replaced = len(remaining) == len(replica.members) - 1
    member = msgspec.structs.replace(learner, is_voter=is_replaced)
    change_members(replica, now, (*remaining, member), effects)


def find_ready_learner(replica: Replica, now: float) -> ReplicaMember | None:
    """Return a responsive learner that holds every committed entry."""
    for member in other_members(replica):
        is_caught_up = (
            match_index_of(replica, member.uid) >= replica.commit_index
        )
        silence = now - last_contact_with(replica, member.uid)
        is_responsive = silence < HELLO_LIFETIME.total_seconds()
        if not member.is_voter and is_caught_up and is_responsive:
            return member
    return None
