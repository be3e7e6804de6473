"""Election of a group's coordinator under a lease from a majority.

No voter keeps anything on a disk: one that has restarted grants nothing until
every grant that it may have given before has run out.
"""

import math
from collections.abc import Iterable

from mustardhold.systems.joining import is_prepared
from mustardhold.systems.placement_updates import (
    EMPTY_PLACEMENTS,
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
from mustardhold.tables.coordination import LeaseGroup, MemberLease, Membership
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import Claim, Grant
from mustardhold.tables.views import Member, View, ViewMember

GRANT_SECONDS = GRANT_LIFETIME.total_seconds()
LEASE_SECONDS = LEASE_LIFETIME.total_seconds()
MARGIN_SECONDS = LEASE_MARGIN.total_seconds()
RENEWAL_SECONDS = RENEWAL_INTERVAL.total_seconds()


def make_member_tables(
    instance_id: str, now: float, incarnation: int, group: Iterable[Member]
) -> BalancerTables:
    """Make the tables of a balancer that has no lease yet."""
    group_by_id = {other.instance_id: other for other in group}
    voters = tuple(sorted(group_by_id))
    lease_group = LeaseGroup('', voters, no_grants_until=now + GRANT_SECONDS)
    return BalancerTables(
        instance_id,
        group_by_id[instance_id].data_centre,
        View(0, group_by_id),
        lease_until=-math.inf,
        membership=Membership(
            incarnation, group_by_id, (lease_group,), now, now
        ),
    )


def lease_group_of(tables: BalancerTables, scope: str) -> LeaseGroup | None:
    """Find the lease group that a message is for."""
    membership = tables.membership
    for lease_group in membership.lease_groups if membership else ():
        if lease_group.scope == scope:
            return lease_group
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


def majority_of(lease_group: LeaseGroup) -> int:
    """Count the voters that make a majority."""
    return len(lease_group.voters) // 2 + 1


def granted_since(lease_group: LeaseGroup) -> float:
    """Find the latest time since which a majority grants every claim."""
    others = sorted(lease_group.granted_at_by_id.values(), reverse=True)
    needed = majority_of(lease_group) - 1
    if needed == 0:
        return math.inf
    return others[needed - 1] if len(others) >= needed else -math.inf


def coordinator_until(lease_group: LeaseGroup) -> float:
    """Find the end of the own lease as coordinator."""
    since = min(granted_since(lease_group), lease_group.granted_until)
    return since + GRANT_SECONDS - MARGIN_SECONDS


def is_coordinating(lease_group: LeaseGroup, now: float) -> bool:
    """Tell whether this balancer coordinates a lease group now."""
    if not lease_group.is_coordinator:
        return False
    return now < coordinator_until(lease_group)


def learn_view(
    lease_group: LeaseGroup, epoch: int, members: tuple[ViewMember, ...]
) -> None:
    """Keep the newest view that a message has named."""
    if epoch > lease_group.known_epoch and members:
        lease_group.known_epoch = epoch
        lease_group.known_members = members


def take_claim(
    tables: BalancerTables, now: float, claim: Claim, outbox: Outbox
) -> None:
    """Grant a claim unless another candidate holds an unexpired grant."""
    lease_group = lease_group_of(tables, claim.scope)
    if lease_group is None:
        return
    if claim.candidate_id not in lease_group.voters:
        return
    learn_view(lease_group, claim.epoch, claim.members)
    if claim.is_coordinator:
        lease_group.coordinator_id = claim.candidate_id
        lease_group.coordinator_contact_at = now
    has_failed = (
        not lease_group.is_coordinator and now >= lease_group.campaign_until
    )
    if lease_group.granted_to == tables.instance_id and has_failed:
        withdraw(lease_group)
    is_held = now < lease_group.granted_until
    if is_held and lease_group.granted_to != claim.candidate_id:
        return
    if now < lease_group.no_grants_until:
        return
    if lease_group.is_coordinator:
        resign(tables, lease_group)
    promise(lease_group, claim.candidate_id)
    lease_group.granted_until = now + GRANT_SECONDS
    is_newer = lease_group.known_epoch > claim.epoch
    has_newer = tables.placements.version > claim.placement_version
    has_newer = has_newer and not claim.is_coordinator
    granted = Grant(
        claim.scope,
        tables.instance_id,
        claim.incarnation,
        claim.sent_at,
        lease_group.known_epoch,
        lease_group.known_members if is_newer else (),
        lease_group.previous_candidate_id,
        make_update(EMPTY_PLACEMENTS, tables.placements) if has_newer else None,
    )
    outbox.append(ToPeer(claim.candidate_id, granted))


def promise(lease_group: LeaseGroup, candidate_id: str) -> None:
    """Keep whom this voter promises the lease, and whom it had before."""
    if lease_group.granted_to != candidate_id:
        lease_group.previous_candidate_id = lease_group.granted_to
        lease_group.granted_to = candidate_id


def take_granted(tables: BalancerTables, now: float, granted: Grant) -> None:
    """Count a voter's grant, and become coordinator with a majority."""
    membership = tables.membership
    if membership is None or granted.incarnation != membership.incarnation:
        return
    lease_group = lease_group_of(tables, granted.scope)
    if lease_group is None or lease_group.granted_to != tables.instance_id:
        return
    learn_view(lease_group, granted.epoch, granted.members)
    before = lease_group.granted_at_by_id.get(granted.voter_id, -math.inf)
    lease_group.granted_at_by_id[granted.voter_id] = max(
        before, granted.sent_at
    )
    if lease_group.is_coordinator:
        return
    lease_group.previous_candidate_ids.add(granted.previous_candidate_id)
    update = granted.placements
    if update and update.version > tables.placements.version:
        newer = apply_update(tables.placements, update)
        tables.placements = newer or tables.placements
    if now >= coordinator_until(lease_group):
        return
    become_coordinator(tables, membership, lease_group, now)


def become_coordinator(
    tables: BalancerTables,
    membership: Membership,
    lease_group: LeaseGroup,
    now: float,
) -> None:
    """Take over the newest view that the voters know.

    Members of it may hold a lease from the predecessor, so each stays until
    such a lease has run out. The predecessor's own lease ended with its grants.
    """
    lease_group.is_coordinator = True
    lease_group.elected_at = now
    lease_group.placements_before = EMPTY_PLACEMENTS
    lease_group.next_claim_at = now
    lease_group.view = None
    tables.counters['', 'coordinator-elected'] += 1
    last_end = now + LEASE_SECONDS + MARGIN_SECONDS
    lease_group.leases_by_id = {
        member.instance_id: MemberLease(member.incarnation, last_end)
        for member in lease_group.known_members
        if member.instance_id != tables.instance_id
        and {member.instance_id} != lease_group.previous_candidate_ids
    }
    lease_group.proposed = None
    if lease_group.known_members:
        lease_group.proposed = make_view(
            membership, lease_group.known_epoch, lease_group.known_members
        )
        lease_group.proposed_at = now


def resign(tables: BalancerTables, lease_group: LeaseGroup) -> None:
    """Stop coordinating."""
    lease_group.is_coordinator = False
    lease_group.proposed = None
    lease_group.view = None
    lease_group.leases_by_id = {}
    lease_group.granted_at_by_id = {}
    tables.counters['', 'coordinator-resigned'] += 1


def tick_claims(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Renew the coordinator's lease, or stand as a candidate."""
    if lease_group.is_coordinator:
        if now >= coordinator_until(lease_group):
            resign(tables, lease_group)
        elif now >= lease_group.next_claim_at:
            send_claims(tables, lease_group, now, outbox)
    elif is_candidate(tables, lease_group, now):
        stand(tables, lease_group, now, outbox)


def is_candidate(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> bool:
    """Tell whether to ask for the coordinator's lease now."""
    if tables.stopping or now < lease_group.no_grants_until:
        return False
    if not is_prepared(tables, now):
        return False
    if now < lease_group.coordinator_contact_at + GRANT_SECONDS:
        return False
    if lease_group.granted_to == tables.instance_id:
        if now < lease_group.campaign_until:
            return now >= lease_group.next_claim_at
        withdraw(lease_group)
    rank = lease_group.voters.index(tables.instance_id)
    free_since = max(lease_group.granted_until, lease_group.no_grants_until)
    return now >= free_since + rank * CANDIDATE_STAGGER.total_seconds()


def withdraw(lease_group: LeaseGroup) -> None:
    """End a campaign without success: grants that come late are not used."""
    promise(lease_group, '')
    lease_group.granted_until = lease_group.campaign_until


def stand(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Promise the lease to ourselves and ask the other voters for it."""
    if now >= lease_group.campaign_until:
        lease_group.campaign_until = now + CAMPAIGN_LIFETIME.total_seconds()
        lease_group.granted_at_by_id = {}
        lease_group.previous_candidate_ids = {lease_group.granted_to}
    promise(lease_group, tables.instance_id)
    send_claims(tables, lease_group, now, outbox)
    has_majority = now < coordinator_until(lease_group)
    if has_majority and tables.membership is not None:
        become_coordinator(tables, tables.membership, lease_group, now)


def send_claims(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Ask every other voter; the claim names the newest view."""
    membership = tables.membership
    if membership is None:
        return
    lease_group.granted_until = now + GRANT_SECONDS
    lease_group.next_claim_at = now + RENEWAL_SECONDS
    claim = Claim(
        lease_group.scope,
        tables.instance_id,
        membership.incarnation,
        now,
        lease_group.known_epoch,
        lease_group.known_members,
        lease_group.is_coordinator,
        tables.placements.version,
    )
    for voter in lease_group.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, claim))
