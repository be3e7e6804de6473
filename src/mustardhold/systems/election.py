"""Raft leader election: pre-vote, votes, leader lease and quorum loss."""

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
LEASE_SECONDS = LEADER_LEASE.total_seconds()


def is_voter(replica: Replica) -> bool:
    """Return whether this replica is a voter."""
    return any(
        member.uid == replica.local_member.uid and member.is_voter
        for member in replica.members
    )


def voter_uids(replica: Replica) -> list[str]:
    """Return the uids of all voters, including this replica's if it is one."""
    return [member.uid for member in replica.members if member.is_voter]


def majority_size(replica: Replica) -> int:
    """Return the number of voters that make a majority."""
    return len(voter_uids(replica)) // 2 + 1


def other_members(replica: Replica) -> list[ReplicaMember]:
    """Return all members except this replica."""
    return [
        member
        for member in replica.members
        if member.uid != replica.local_member.uid
    ]


def reset_election_timer(replica: Replica, now: float) -> None:
    """Set the next election to a random time within the timeout range."""
    spread = replica.random() * TIMEOUT_SPREAD
    replica.election_due_at = now + MIN_TIMEOUT + spread


def schedule_election_retry(replica: Replica, now: float) -> None:
    """Set the next election to a random time after a split or refused vote.

    There is no leader in that case, so the wait is shorter than the election
    timeout.
    """
    min_delay = ELECTION_RETRY.total_seconds()
    replica.election_due_at = now + min_delay * (1 + replica.random())


def last_quorum_contact(replica: Replica, now: float) -> float:
    """Return the latest time since which a majority of the voters replied.

    The time is ``-inf`` if there are no voters.
    """
    contact_times = sorted(
        now
        if uid == replica.local_member.uid
        else last_contact_with(replica, uid)
        for uid in voter_uids(replica)
    )
    return (
        contact_times[-majority_size(replica)]
        if contact_times
        else float('-inf')
    )


def last_contact_with(replica: Replica, uid: str) -> float:
    """Return when the latest message that a replica replied to was sent."""
    progress = replica.progress_by_uid.get(uid)
    return float('-inf') if progress is None else progress.last_contact_at


def has_lease(replica: Replica, now: float) -> bool:
    """Return whether this leader's lease rules out any other leader."""
    is_leader = replica.role is Role.LEADER
    return is_leader and now - last_quorum_contact(replica, now) < LEASE_SECONDS


def has_leader_contact(replica: Replica, now: float) -> bool:
    """Return whether a leader was in contact within the election timeout.

    For the leader itself, return whether a majority was.
    """
    if replica.role is Role.LEADER:
        return now - last_quorum_contact(replica, now) < MIN_TIMEOUT
    return now - replica.leader_contact_at < MIN_TIMEOUT


def enter_term(replica: Replica, term: int, effects: Effects) -> None:
    """Become a follower in a newer term, without a vote given in it."""
    if term <= replica.vote.term:
        return
    replica.vote = Vote(term)
    effects.vote = replica.vote
    become_follower(replica, None)


def become_follower(replica: Replica, leader: ReplicaMember | None) -> None:
    """Become a follower of a leader, if one is known."""
    if replica.role is Role.LEADER:
        replica.counters['election', 'leadership-lost'] += 1
    replica.role = Role.FOLLOWER
    replica.leader = leader


def check_quorum(replica: Replica, now: float) -> None:
    """Step down if no majority replied within the minimum election timeout."""
    last_contact = max(last_quorum_contact(replica, now), replica.leader_since)
    if now - last_contact >= MIN_TIMEOUT:
        replica.counters['election', 'quorum-lost'] += 1
        become_follower(replica, None)
        reset_election_timer(replica, now)


def start_pre_vote(replica: Replica, now: float, effects: Effects) -> None:
    """Request pre-votes from the other voters, without starting a new term.

    One that is refused, since the other voters heard of the leader a little
    later, is soon followed by the next; it disturbs nobody.
    """
    if not is_voter(replica):
        reset_election_timer(replica, now)
        return
    schedule_election_retry(replica, now)
    replica.role = Role.PRE_CANDIDATE
    replica.leader = None
    replica.granting_uids = {replica.local_member.uid}
    if majority_size(replica) == 1:
        start_election(replica, now, effects)
        return
    request_votes(replica, effects, is_pre_vote=True)


def start_election(replica: Replica, now: float, effects: Effects) -> None:
    """Become a candidate in a new term."""
    replica.vote = Vote(replica.vote.term + 1, replica.local_member.uid)
    effects.vote = replica.vote
    replica.role = Role.CANDIDATE
    replica.voting_uids = {replica.local_member.uid}
    replica.counters['election', 'started'] += 1
    schedule_election_retry(replica, now)
    if majority_size(replica) == 1:
        become_leader(replica, now, effects)
        return
    request_votes(replica, effects, is_pre_vote=False)


def request_votes(
    replica: Replica, effects: Effects, *, is_pre_vote: bool
) -> None:
    """Send a vote request to every other voter."""
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
        for member in other_members(replica)
        if member.is_voter
    )


def handle_vote_request(
    replica: Replica, now: float, request: VoteRequest, effects: Effects
) -> None:
    """Reply with a vote, or with a pre-vote that changes no state.

    Both are refused while a leader is in contact, and to a candidate whose log
    is older than the log of this replica.
    """
    if has_leader_contact(replica, now):
        is_granted = False
    elif request.is_pre_vote:
        is_granted = request.term > replica.vote.term and is_log_up_to_date(
            replica, request
        )
    else:
        is_granted = grant_vote(replica, now, request, effects)
    term = request.term if is_granted else replica.vote.term
    reply = VoteReply(
        replica.local_member, term, is_granted, request.is_pre_vote
    )
    effects.sends.append(ReplicaSend(request.sender, reply))


def grant_vote(
    replica: Replica, now: float, request: VoteRequest, effects: Effects
) -> bool:
    """Grant at most one vote in a term, to a candidate with a recent log."""
    if request.term < replica.vote.term:
        return False
    enter_term(replica, request.term, effects)
    can_vote = replica.vote.voted_for in {None, request.sender.uid}
    if not can_vote or not is_log_up_to_date(replica, request):
        return False
    replica.vote = Vote(request.term, request.sender.uid)
    effects.vote = replica.vote
    reset_election_timer(replica, now)
    return True


def is_log_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    """Return whether a candidate's log is at least as recent as this one."""
    last = last_entry(replica)
    return (request.last_term, request.last_index) >= (last.term, last.index)


def handle_vote_reply(
    replica: Replica, now: float, reply: VoteReply, effects: Effects
) -> None:
    """Count a vote, and start the next stage once there is a majority."""
    if reply.is_granted and reply.is_pre_vote:
        count_pre_vote(replica, now, reply, effects)
    elif reply.is_granted:
        count_vote(replica, now, reply, effects)
    else:
        enter_term(replica, reply.term, effects)


def count_pre_vote(
    replica: Replica, now: float, reply: VoteReply, effects: Effects
) -> None:
    """Count a pre-vote, and become a candidate once a majority grants it."""
    is_current = reply.term == replica.vote.term + 1
    if replica.role is not Role.PRE_CANDIDATE or not is_current:
        return
    replica.granting_uids.add(reply.sender.uid)
    if is_majority(replica, replica.granting_uids):
        start_election(replica, now, effects)


def count_vote(
    replica: Replica, now: float, reply: VoteReply, effects: Effects
) -> None:
    """Count a vote, and become the leader once a majority voted.

    A vote holds for its term. It counts also after the replica has begun to ask
    for the next one: where replies take long, no vote would come in time.
    """
    is_waiting = replica.role in {Role.CANDIDATE, Role.PRE_CANDIDATE}
    is_candidate = replica.vote.voted_for == replica.local_member.uid
    if not is_waiting or not is_candidate or reply.term != replica.vote.term:
        return
    replica.voting_uids.add(reply.sender.uid)
    if is_majority(replica, replica.voting_uids):
        become_leader(replica, now, effects)


def is_majority(replica: Replica, uids: set[str]) -> bool:
    """Return whether a majority of the voters is among some replicas."""
    voting = uids.intersection(voter_uids(replica))
    return len(voting) >= majority_size(replica)


def become_leader(replica: Replica, now: float, effects: Effects) -> None:
    """Become the leader, and append a no-op entry in the new term."""
    replica.role = Role.LEADER
    replica.leader = replica.local_member
    replica.leader_since = now
    replica.next_heartbeat_at = now
    next_index = last_entry(replica).index + 1
    replica.progress_by_uid = {
        member.uid: Progress(next_index) for member in other_members(replica)
    }
    replica.counters['election', 'won'] += 1
    append_command(replica, NoOp(), effects)
