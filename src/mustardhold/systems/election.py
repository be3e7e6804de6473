"""Who leads: pre-vote, votes, lease and loss of the quorum."""

from mustardhold.systems.replica_log import append_command, last_entry
from mustardhold.tables.consensus import (
    Effects,
    NoOp,
    Progress,
    Replica,
    ReplicaMember,
    ReplicaSend,
    Role,
    Vote,
    VoteReply,
    VoteRequest,
)
from mustardhold.tables.constants import (
    ELECTION_RETRY,
    LEADER_LEASE,
    MAX_ELECTION_TIMEOUT,
    MIN_ELECTION_TIMEOUT,
)

MIN_TIMEOUT = MIN_ELECTION_TIMEOUT.total_seconds()
TIMEOUT_SPREAD = MAX_ELECTION_TIMEOUT.total_seconds() - MIN_TIMEOUT
LEASE = LEADER_LEASE.total_seconds()


def is_voter(replica: Replica) -> bool:
    """Tell whether this replica counts in majorities."""
    return any(
        member.uid == replica.local_member.uid and member.is_voter
        for member in replica.members
    )


def voter_uids(replica: Replica) -> list[str]:
    """Return the voters, this replica included where it is one."""
    return [member.uid for member in replica.members if member.is_voter]


def majority_size(replica: Replica) -> int:
    """Return how many voters make a majority."""
    return len(voter_uids(replica)) // 2 + 1


def others(replica: Replica) -> list[ReplicaMember]:
    """Return the other members."""
    return [
        member
        for member in replica.members
        if member.uid != replica.local_member.uid
    ]


def put_off_election(replica: Replica, now: float) -> None:
    """Choose at random when to stand for election next."""
    spread = replica.random() * TIMEOUT_SPREAD
    replica.election_due_at = now + MIN_TIMEOUT + spread


def retry_election(replica: Replica, now: float) -> None:
    """Choose at random when to stand again, should the votes be split.

    Nobody leads then, so it is sooner than the first time.
    """
    wait = ELECTION_RETRY.total_seconds()
    replica.election_due_at = now + wait * (1 + replica.random())


def quorum_heard_at(replica: Replica, now: float) -> float:
    """Find since when a majority of the voters has been silent."""
    times = sorted(
        now if uid == replica.local_member.uid else heard_at(replica, uid)
        for uid in voter_uids(replica)
    )
    return times[-majority_size(replica)] if times else float('-inf')


def heard_at(replica: Replica, uid: str) -> float:
    """Return when a replica's latest answered message was sent."""
    progress = replica.progress_by_uid.get(uid)
    return float('-inf') if progress is None else progress.last_contact_at


def has_lease(replica: Replica, now: float) -> bool:
    """Tell whether no other replica can have become the leader."""
    is_leader = replica.role is Role.LEADER
    return is_leader and now - quorum_heard_at(replica, now) < LEASE


def has_leader_contact(replica: Replica, now: float) -> bool:
    """Tell whether a leader was heard within the election timeout."""
    if replica.role is Role.LEADER:
        return now - quorum_heard_at(replica, now) < MIN_TIMEOUT
    return now - replica.leader_contact_at < MIN_TIMEOUT


def enter_term(replica: Replica, term: int, effects: Effects) -> None:
    """Follow in a newer term, in which no vote was given yet."""
    if term <= replica.vote.term:
        return
    replica.vote = Vote(term)
    effects.vote = replica.vote
    follow(replica, None)


def follow(replica: Replica, leader: ReplicaMember | None) -> None:
    """Become a follower."""
    if replica.role is Role.LEADER:
        replica.counters['election', 'leadership-lost'] += 1
    replica.role = Role.FOLLOWER
    replica.leader = leader


def check_quorum(replica: Replica, now: float) -> None:
    """Step down once no majority has answered for an election timeout."""
    heard = max(quorum_heard_at(replica, now), replica.leader_since)
    if now - heard >= MIN_TIMEOUT:
        replica.counters['election', 'quorum-lost'] += 1
        follow(replica, None)
        put_off_election(replica, now)


def start_trial(replica: Replica, now: float, effects: Effects) -> None:
    """Ask whether an election could be won, without a new term."""
    put_off_election(replica, now)
    if not is_voter(replica):
        return
    replica.role = Role.PRE_CANDIDATE
    replica.leader = None
    replica.granting_uids = {replica.local_member.uid}
    if majority_size(replica) == 1:
        start_election(replica, now, effects)
        return
    ask_votes(replica, effects, is_pre_vote=True)


def start_election(replica: Replica, now: float, effects: Effects) -> None:
    """Stand for election in a new term."""
    replica.vote = Vote(replica.vote.term + 1, replica.local_member.uid)
    effects.vote = replica.vote
    replica.role = Role.CANDIDATE
    replica.granting_uids = {replica.local_member.uid}
    replica.counters['election', 'started'] += 1
    retry_election(replica, now)
    if majority_size(replica) == 1:
        lead(replica, now, effects)
        return
    ask_votes(replica, effects, is_pre_vote=False)


def ask_votes(replica: Replica, effects: Effects, *, is_pre_vote: bool) -> None:
    """Ask every other voter for its vote."""
    last = last_entry(replica)
    request = VoteRequest(
        replica.local_member,
        replica.vote.term + is_pre_vote,
        last.index,
        last.term,
        is_pre_vote,
    )
    effects.sends.extend(
        ReplicaSend(member, request)
        for member in others(replica)
        if member.is_voter
    )


def take_vote_request(
    replica: Replica, now: float, request: VoteRequest, effects: Effects
) -> None:
    """Give a vote, unless a leader is alive or this log is newer."""
    if has_leader_contact(replica, now):
        is_granted = False
    elif request.is_pre_vote:
        is_granted = request.term > replica.vote.term and is_as_new(
            replica, request
        )
    else:
        is_granted = give_vote(replica, now, request, effects)
    term = request.term if is_granted else replica.vote.term
    reply = VoteReply(
        replica.local_member, term, is_granted, request.is_pre_vote
    )
    effects.sends.append(ReplicaSend(request.sender, reply))


def give_vote(
    replica: Replica, now: float, request: VoteRequest, effects: Effects
) -> bool:
    """Give at most one vote in a term."""
    if request.term < replica.vote.term:
        return False
    enter_term(replica, request.term, effects)
    is_free = replica.vote.voted_for in {None, request.sender.uid}
    if not is_free or not is_as_new(replica, request):
        return False
    replica.vote = Vote(request.term, request.sender.uid)
    effects.vote = replica.vote
    put_off_election(replica, now)
    return True


def is_as_new(replica: Replica, request: VoteRequest) -> bool:
    """Tell whether a candidate's log is at least as new as this one."""
    last = last_entry(replica)
    return (request.last_term, request.last_index) >= (last.term, last.index)


def take_vote_reply(
    replica: Replica, now: float, reply: VoteReply, effects: Effects
) -> None:
    """Count a vote, and go on once there is a majority."""
    if not reply.is_granted:
        enter_term(replica, reply.term, effects)
        return
    wanted = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
    term = replica.vote.term + reply.is_pre_vote
    if replica.role is not wanted or reply.term != term:
        return
    replica.granting_uids.add(reply.sender.uid)
    if len(
        replica.granting_uids.intersection(voter_uids(replica))
    ) < majority_size(replica):
        return
    if reply.is_pre_vote:
        start_election(replica, now, effects)
    else:
        lead(replica, now, effects)


def lead(replica: Replica, now: float, effects: Effects) -> None:
    """Become the leader, and open the term with an entry of its own."""
    replica.role = Role.LEADER
    replica.leader = replica.local_member
    replica.leader_since = now
    replica.next_heartbeat_at = now
    next_index = last_entry(replica).index + 1
    replica.progress_by_uid = {
        member.uid: Progress(next_index) for member in others(replica)
    }
    replica.counters['election', 'won'] += 1
    append_command(replica, NoOp(), effects)
