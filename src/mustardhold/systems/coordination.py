"""Election of a group's coordinator under a lease from a majority.

No voter keeps anything on a disk: one that has restarted grants nothing until
every grant that it may have given before has run out.
"""

import math
from collections.abc import Iterable

from mustardhold.systems.joining import is_prepared
from mustardhold.systems.placement_updates import (
    EMPTY,
    apply_update,
    make_update,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    CAMPAIGN_LIFETIME,
    CANDIDATE_STAGGER,
    GRANT_LIFETIME,
    LEASE_LIFETIME,
    LEASE_MARGIN,
    RENEWAL_INTERVAL,
)
from mustardhold.tables.coordination import Council, MemberLease, Membership
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import Claim, Granted
from mustardhold.tables.views import Member, View, ViewMember

GRANT_SECONDS = GRANT_LIFETIME.total_seconds()
LEASE_SECONDS = LEASE_LIFETIME.total_seconds()
MARGIN_SECONDS = LEASE_MARGIN.total_seconds()
RENEWAL_SECONDS = RENEWAL_INTERVAL.total_seconds()


def join_group(
    instance_id: str, now: float, incarnation: int, group: Iterable[Member]
) -> BalancerTables:
    """Make the tables of a balancer that has no lease yet."""
    group_by_id = {other.instance_id: other for other in group}
    voters = tuple(sorted(group_by_id))
    council = Council('', voters, silent_until=now + GRANT_SECONDS)
    return BalancerTables(
        instance_id,
        group_by_id[instance_id].data_centre,
        View(0, group_by_id),
        lease_until=-math.inf,
        membership=Membership(incarnation, group_by_id, (council,), now, now),
    )


def council_of(tables: BalancerTables, scope: str) -> Council | None:
    """Find the council that a message is for."""
    membership = tables.membership
    for council in membership.councils if membership else ():
        if council.scope == scope:
            return council
    return None


def members_of(view: View) -> tuple[ViewMember, ...]:
    """List the members of a view as messages name them."""
    return tuple(
        ViewMember(instance_id, view.incarnations_by_id.get(instance_id, 0))
        for instance_id in view.members_by_id
    )


def make_view(
    membership: Membership, epoch: int, members: Iterable[ViewMember]
) -> View:
    """Make a view of those named members that the group knows."""
    known = sorted(
        member
        for member in members
        if member.instance_id in membership.group_by_id
    )
    return View(
        epoch,
        {
            member.instance_id: membership.group_by_id[member.instance_id]
            for member in known
        },
        {member.instance_id: member.incarnation for member in known},
    )


def majority_of(council: Council) -> int:
    """Count the voters that make a majority."""
    return len(council.voters) // 2 + 1


def granted_since(council: Council) -> float:
    """Find the latest time since which a majority grants every claim."""
    others = sorted(council.granted_at_by_id.values(), reverse=True)
    needed = majority_of(council) - 1
    if needed == 0:
        return math.inf
    return others[needed - 1] if len(others) >= needed else -math.inf


def coordinator_until(council: Council) -> float:
    """Find the end of the own lease as coordinator."""
    since = min(granted_since(council), council.promised_until)
    return since + GRANT_SECONDS - MARGIN_SECONDS


def is_coordinating(council: Council, now: float) -> bool:
    """Tell whether this balancer coordinates a council now."""
    if not council.is_coordinator:
        return False
    return now < coordinator_until(council)


def learn_view(
    council: Council, epoch: int, members: tuple[ViewMember, ...]
) -> None:
    """Keep the newest view that a message has named."""
    if epoch > council.known_epoch and members:
        council.known_epoch = epoch
        council.known_members = members


def take_claim(
    tables: BalancerTables, now: float, claim: Claim, outbox: Outbox
) -> None:
    """Grant a claim unless another candidate holds an unexpired grant."""
    council = council_of(tables, claim.scope)
    if council is None:
        return
    if claim.candidate_id not in council.voters:
        return
    learn_view(council, claim.epoch, claim.members)
    if claim.is_coordinator:
        council.coordinator_id = claim.candidate_id
        council.coordinator_heard_at = now
    has_failed = not council.is_coordinator and now >= council.campaign_until
    if council.promised_to == tables.instance_id and has_failed:
        withdraw(council)
    is_held = now < council.promised_until
    if is_held and council.promised_to != claim.candidate_id:
        return
    if now < council.silent_until:
        return
    if council.is_coordinator:
        resign(tables, council)
    promise(council, claim.candidate_id)
    council.promised_until = now + GRANT_SECONDS
    is_newer = council.known_epoch > claim.epoch
    has_newer = tables.placements.version > claim.placement_version
    has_newer = has_newer and not claim.is_coordinator
    granted = Granted(
        claim.scope,
        tables.instance_id,
        claim.incarnation,
        claim.sent_at,
        council.known_epoch,
        council.known_members if is_newer else (),
        council.previous_id,
        make_update(EMPTY, tables.placements) if has_newer else None,
    )
    outbox.append(ToPeer(claim.candidate_id, granted))


def promise(council: Council, candidate_id: str) -> None:
    """Keep whom this voter promises the lease, and whom it had before."""
    if council.promised_to != candidate_id:
        council.previous_id = council.promised_to
        council.promised_to = candidate_id


def take_granted(tables: BalancerTables, now: float, granted: Granted) -> None:
    """Count a voter's grant, and become coordinator with a majority."""
    membership = tables.membership
    if membership is None or granted.incarnation != membership.incarnation:
        return
    council = council_of(tables, granted.scope)
    if council is None or council.promised_to != tables.instance_id:
        return
    learn_view(council, granted.epoch, granted.members)
    before = council.granted_at_by_id.get(granted.voter_id, -math.inf)
    council.granted_at_by_id[granted.voter_id] = max(before, granted.sent_at)
    if council.is_coordinator:
        return
    council.previous_ids.add(granted.previous_id)
    update = granted.placements
    if update and update.version > tables.placements.version:
        newer = apply_update(tables.placements, update)
        tables.placements = newer or tables.placements
    if now >= coordinator_until(council):
        return
    become_coordinator(tables, membership, council, now)


def become_coordinator(
    tables: BalancerTables,
    membership: Membership,
    council: Council,
    now: float,
) -> None:
    """Take over the newest view that the voters know.

    Members of it may hold a lease from the predecessor, so each stays until
    such a lease has run out. The predecessor's own lease ended with its grants.
    """
    council.is_coordinator = True
    council.elected_at = now
    council.placements_before = EMPTY
    council.next_claim_at = now
    council.view = None
    tables.counters['', 'coordinator-elected'] += 1
    last_end = now + LEASE_SECONDS + MARGIN_SECONDS
    council.leases_by_id = {
        member.instance_id: MemberLease(member.incarnation, last_end)
        for member in council.known_members
        if member.instance_id != tables.instance_id
        and {member.instance_id} != council.previous_ids
    }
    council.proposed = None
    if council.known_members:
        council.proposed = make_view(
            membership, council.known_epoch, council.known_members
        )
        council.proposed_at = now


def resign(tables: BalancerTables, council: Council) -> None:
    """Stop coordinating."""
    council.is_coordinator = False
    council.proposed = None
    council.view = None
    council.leases_by_id = {}
    council.granted_at_by_id = {}
    tables.counters['', 'coordinator-resigned'] += 1


def tick_claims(
    tables: BalancerTables, council: Council, now: float, outbox: Outbox
) -> None:
    """Renew the coordinator's lease, or stand as a candidate."""
    if council.is_coordinator:
        if now >= coordinator_until(council):
            resign(tables, council)
        elif now >= council.next_claim_at:
            send_claims(tables, council, now, outbox)
    elif is_candidate(tables, council, now):
        stand(tables, council, now, outbox)


def is_candidate(tables: BalancerTables, council: Council, now: float) -> bool:
    """Tell whether to ask for the coordinator's lease now."""
    if tables.stopping or now < council.silent_until:
        return False
    if not is_prepared(tables, now):
        return False
    if now < council.coordinator_heard_at + GRANT_SECONDS:
        return False
    if council.promised_to == tables.instance_id:
        if now < council.campaign_until:
            return now >= council.next_claim_at
        withdraw(council)
    rank = council.voters.index(tables.instance_id)
    free_since = max(council.promised_until, council.silent_until)
    return now >= free_since + rank * CANDIDATE_STAGGER.total_seconds()


def withdraw(council: Council) -> None:
    """End a campaign without success: grants that come late are not used."""
    promise(council, '')
    council.promised_until = council.campaign_until


def stand(
    tables: BalancerTables, council: Council, now: float, outbox: Outbox
) -> None:
    """Promise the lease to ourselves and ask the other voters for it."""
    if now >= council.campaign_until:
        council.campaign_until = now + CAMPAIGN_LIFETIME.total_seconds()
        council.granted_at_by_id = {}
        council.previous_ids = {council.promised_to}
    promise(council, tables.instance_id)
    send_claims(tables, council, now, outbox)
    has_majority = now < coordinator_until(council)
    if has_majority and tables.membership is not None:
        become_coordinator(tables, tables.membership, council, now)


def send_claims(
    tables: BalancerTables, council: Council, now: float, outbox: Outbox
) -> None:
    """Ask every other voter; the claim names the newest view."""
    membership = tables.membership
    if membership is None:
        return
    council.promised_until = now + GRANT_SECONDS
    council.next_claim_at = now + RENEWAL_SECONDS
    claim = Claim(
        council.scope,
        tables.instance_id,
        membership.incarnation,
        now,
        council.known_epoch,
        council.known_members,
        council.is_coordinator,
        tables.placements.version,
    )
    for voter in council.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, claim))
