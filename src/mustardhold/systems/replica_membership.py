"""Forms the group of replicas, and replaces one voter at a time."""

from collections.abc import Iterable

import msgspec

from mustardhold.systems.election import (
    has_leader_contact,
    has_lease,
    heard_at,
    others,
)
from mustardhold.systems.replica_log import (
    append_command,
    entry_at,
    last_entry,
)
from mustardhold.systems.replication import broadcast, match_of
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
    """Tell whether this replica has ever belonged to a group."""
    return replica.vote.term > 0 or last_entry(replica).index > 0


def is_member(replica: Replica) -> bool:
    """Tell whether the log names this replica's own folder."""
    return any(
        member.uid == replica.local_member.uid for member in replica.members
    )


def is_outside_group(replica: Replica) -> bool:
    """Tell whether a formed group exists that this folder is no part of."""
    return not is_formed(replica) and any(
        seen.hello.is_formed for seen in replica.hellos_by_instance.values()
    )


def introduce(replica: Replica, now: float, effects: Effects) -> None:
    """Say hello to all peers, until this replica belongs to a group.

    In a group that grows on its own, a replica also does so once it no
    longer hears a leader: it may have been replaced meanwhile.
    """
    if now < replica.next_hello_at or is_settled(replica, now):
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


def is_settled(replica: Replica, now: float) -> bool:
    """Tell whether this replica need not introduce itself."""
    if replica.growth is None:
        return is_formed(replica)
    return is_formed(replica) and has_leader_contact(replica, now)


def known_peers(replica: Replica) -> Members:
    """Return the other replicas of the settings, the log and the hellos."""
    by_id = {peer.instance_id: peer for peer in replica.peers}
    if replica.growth is not None:
        for seen in replica.hellos_by_instance.values():
            by_id.update((one.instance_id, one) for one in seen.hello.members)
    by_id.update((member.instance_id, member) for member in replica.members)
    by_id.pop(replica.local_member.instance_id, None)
    # The folder behind an address may be another one by now.
    return tuple(
        msgspec.structs.replace(peer, uid='') for peer in by_id.values()
    )


def update_peers(replica: Replica, addresses: Iterable[str]) -> None:
    """Take over the replicas that changed settings name.

    Whoever may still found a group keeps those that all founders were told.
    """
    if replica.growth is None:
        return
    if replica.growth.may_form and not is_formed(replica):
        return
    replica.peers = tuple(
        ReplicaMember('', address, address) for address in addresses
    )


def take_hello(
    replica: Replica, now: float, hello: Hello, effects: Effects
) -> None:
    """Remember a replica that introduces itself, and answer it."""
    seen = replica.hellos_by_instance
    instance_id = hello.sender.instance_id
    if instance_id not in seen and len(seen) >= MAX_REPLICAS:
        replica.counters['membership', 'hello-refused'] += 1
        return
    seen[instance_id] = ReceivedHello(hello, now)
    if not hello.is_answer:
        answer = Hello(
            replica.local_member,
            is_formed(replica),
            is_answer=True,
            members=replica.members,
        )
        effects.sends.append(ReplicaSend(hello.sender, answer))


def form_group(replica: Replica, now: float, effects: Effects) -> None:
    """Form a group once all peers are new and listen to this replica.

    Only the first peer by name forms it, and only with every peer there, so
    a replica that lost its disk finds at least one that knows the group.
    """
    if replica.growth is not None and not replica.growth.may_form:
        return
    first = min(peer.instance_id for peer in replica.peers)
    members = new_members(replica, now)
    if first != replica.local_member.instance_id or members is None:
        return
    replica.vote = Vote(FIRST_TERM)
    effects.vote = replica.vote
    append_command(replica, MembersCommand(members), effects)
    replica.election_due_at = now


def new_members(replica: Replica, now: float) -> Members | None:
    """Return all peers with their folders, if none belongs to a group."""
    members = [replica.local_member]
    for peer in replica.peers:
        if peer.instance_id == replica.local_member.instance_id:
            continue
        seen = replica.hellos_by_instance.get(peer.instance_id)
        if seen is None or seen.hello.is_formed:
            return None
        if now - seen.received_at > HELLO_LIFETIME.total_seconds():
            return None
        members.append(seen.hello.sender)
    return tuple(members)


def find_change_fault(replica: Replica, now: float) -> str | None:
    """Find why the members cannot change now."""
    if not has_lease(replica, now):
        return 'this replica does not lead a majority'
    if replica.members_index > replica.commit_index:
        return 'another change of the members is not committed yet'
    committed = entry_at(replica, replica.commit_index)
    if committed is None or committed.term != replica.vote.term:
        return 'the leader has not committed an entry of its term yet'
    return None


def replace_replica(
    replica: Replica, now: float, instance_id: str, effects: Effects
) -> Outcome[ReplicaMember, Finding]:
    """Take in the new folder of an instance, first as a learner.

    Returns
    -------
    Outcome
        The learner, or why the replica cannot be replaced.
    """
    fault = find_change_fault(replica, now)
    if fault is not None:
        return Err(Finding('replicas', fault))
    seen = replica.hellos_by_instance.get(instance_id)
    if seen is None or seen.hello.is_formed:
        place = f'replicas/{instance_id}'
        return Err(Finding(place, 'no new folder has introduced itself'))
    learner = msgspec.structs.replace(seen.hello.sender, is_voter=False)
    known = tuple(
        member
        for member in replica.members
        if member.instance_id != instance_id or member.is_voter
    )
    if any(member.uid == learner.uid for member in known):
        place = f'replicas/{instance_id}'
        return Err(Finding(place, 'this folder is a voter already'))
    change_members(replica, now, (*known, learner), effects)
    return Ok(learner)


def change_members(
    replica: Replica, now: float, members: Members, effects: Effects
) -> None:
    """Put changed members into the log and send them on."""
    append_command(replica, MembersCommand(members), effects)
    broadcast(replica, now, effects)


def promote_learners(replica: Replica, now: float, effects: Effects) -> None:
    """Turn a learner that has caught up into a voter, in two changes.

    The voter with its instance's lost folder leaves first.
    """
    learner = find_ready_learner(replica, now)
    if learner is None or find_change_fault(replica, now) is not None:
        return
    kept = tuple(
        member
        for member in replica.members
        if member.instance_id != learner.instance_id
    )
    is_replaced = len(kept) == len(replica.members) - 1
    member = msgspec.structs.replace(learner, is_voter=is_replaced)
    change_members(replica, now, (*kept, member), effects)


def find_ready_learner(replica: Replica, now: float) -> ReplicaMember | None:
    """Find a learner that answers and holds everything committed."""
    for member in others(replica):
        is_caught_up = match_of(replica, member.uid) >= replica.commit_index
        silence = now - heard_at(replica, member.uid)
        is_heard = silence < HELLO_LIFETIME.total_seconds()
        if not member.is_voter and is_caught_up and is_heard:
            return member
    return None
