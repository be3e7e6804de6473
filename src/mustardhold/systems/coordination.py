"""Election of a group's coordinator, which holds a lease from a majority.

Voters store nothing on disk. After a restart, a voter grants nothing until
every grant that it may have given before has expired.
"""

import math
from collections.abc import Iterable

from mustardhold.systems.joining import is_ready_to_join
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
    """Return the lease group that a message is for."""
    membership = tables.membership
    for lease_group in membership.lease_groups if membership else ():
        if lease_group.scope == scope:
            return lease_group
    return None


def members_of(view: View) -> tuple[ViewMember, ...]:
    """Return the members of a view in the form used in messages."""
    return tuple(
        ViewMember(instance_id, view.incarnations_by_id.get(instance_id, 0))
        for instance_id in view.members_by_id
    )


def make_view(
    membership: Membership, epoch: int, members: Iterable[ViewMember]
) -> View:
    """Make a view of those members that are configured in the group."""
    configured = sorted(
        member
        for member in members
        if member.instance_id in membership.group_by_id
    )
    return View(
        epoch,
        {
            member.instance_id: membership.group_by_id[member.instance_id]
            for member in configured
        },
        {member.instance_id: member.incarnation for member in configured},
    )


def majority_of(lease_group: LeaseGroup) -> int:
    """Return the number of voters that make a majority."""
    return len(lease_group.voters) // 2 + 1


def majority_granted_at(lease_group: LeaseGroup) -> float:
    """Return the latest time since which a majority grants the claims.

    Times are those at which the granted claims were sent. The time is ``-inf``
    without a majority, and ``inf`` if this voter alone is a majority.
    """
    granted_times = sorted(lease_group.granted_at_by_id.values(), reverse=True)
    needed = majority_of(lease_group) - 1
    if needed == 0:
        return math.inf
    return (
        granted_times[needed - 1] if len(granted_times) >= needed else -math.inf
    )


def coordinator_lease_end(lease_group: LeaseGroup) -> float:
    """Return when the local coordinator lease ends."""
    since = min(majority_granted_at(lease_group), lease_group.granted_until)
    return since + GRANT_SECONDS - MARGIN_SECONDS


def is_coordinating(lease_group: LeaseGroup, now: float) -> bool:
    """Return whether this balancer coordinates a lease group now."""
    if not lease_group.is_coordinator:
        return False
    return now < coordinator_lease_end(lease_group)


def record_newest_view(
    lease_group: LeaseGroup, epoch: int, members: tuple[ViewMember, ...]
) -> None:
    """Record the newest view that a message has named."""
    if epoch > lease_group.known_epoch and members:
        lease_group.known_epoch = epoch
        lease_group.known_members = members


def handle_claim(
    tables: BalancerTables, now: float, claim: Claim, outbox: Outbox
) -> None:
    """Grant a claim unless another candidate holds an unexpired grant."""
    lease_group = lease_group_of(tables, claim.scope)
    if lease_group is None:
        return
    if claim.candidate_id not in lease_group.voters:
        return
    record_newest_view(lease_group, claim.epoch, claim.members)
    if claim.is_coordinator:
        lease_group.coordinator_id = claim.candidate_id
        lease_group.coordinator_contact_at = now
    has_failed = (
        not lease_group.is_coordinator and now >= lease_group.campaign_until
    )
    if lease_group.granted_to == tables.instance_id and has_failed:
        end_campaign(lease_group)
    has_unexpired_grant = now < lease_group.granted_until
    if has_unexpired_grant and lease_group.granted_to != claim.candidate_id:
        return
    if now < lease_group.no_grants_until:
        return
    if lease_group.is_coordinator:
        resign(tables, lease_group)
    record_grant(lease_group, claim.candidate_id)
    lease_group.granted_until = now + GRANT_SECONDS
    has_newer_view = lease_group.known_epoch > claim.epoch
    has_newer_placements = tables.placements.version > claim.placement_version
    has_newer_placements = has_newer_placements and not claim.is_coordinator
    grant = Grant(
        claim.scope,
        tables.instance_id,
        claim.incarnation,
        claim.sent_at,
        lease_group.known_epoch,
        lease_group.known_members if has_newer_view else (),
        lease_group.previous_candidate_id,
        make_update(EMPTY_PLACEMENTS, tables.placements)
        if has_newer_placements
        else None,
    )
    outbox.append(ToPeer(claim.candidate_id, grant))


def record_grant(lease_group: LeaseGroup, candidate_id: str) -> None:
    """Record the candidate granted by this voter, and the previous one."""
    if lease_group.granted_to != candidate_id:
        lease_group.previous_candidate_id = lease_group.granted_to
        lease_group.granted_to = candidate_id


def handle_grant(tables: BalancerTables, now: float, grant: Grant) -> None:
    """Count a voter's grant, and become coordinator with a majority."""
    membership = tables.membership
    if membership is None or grant.incarnation != membership.incarnation:
        return
    lease_group = lease_group_of(tables, grant.scope)
    if lease_group is None or lease_group.granted_to != tables.instance_id:
        return
    record_newest_view(lease_group, grant.epoch, grant.members)
    previous = lease_group.granted_at_by_id.get(grant.voter_id, -math.inf)
    lease_group.granted_at_by_id[grant.voter_id] = max(previous, grant.sent_at)
    if lease_group.is_coordinator:
        return
    lease_group.previous_candidate_ids.add(grant.previous_candidate_id)
    update = grant.placements
    if update and update.version > tables.placements.version:
        updated = apply_update(tables.placements, update)
        tables.placements = updated or tables.placements
    if now >= coordinator_lease_end(lease_group):
        return
    become_coordinator(tables, membership, lease_group, now)


def become_coordinator(
    tables: BalancerTables,
    membership: Membership,
    lease_group: LeaseGroup,
    now: float,
) -> None:
    """Start as coordinator from the newest view that the voters know.

    Its members may hold leases from the previous coordinator, so each stays a
    member until such a lease has expired. The previous coordinator's own lease
    ended with its grants.
    """
    lease_group.is_coordinator = True
    lease_group.elected_at = now
    lease_group.placements_before = EMPTY_PLACEMENTS
    lease_group.next_claim_at = now
    lease_group.view = None
    tables.counters['', 'coordinator-elected'] += 1
    latest_lease_end = now + LEASE_SECONDS + MARGIN_SECONDS
    lease_group.leases_by_id = {
        member.instance_id: MemberLease(member.incarnation, latest_lease_end)
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
    """Renew the coordinator's lease, or campaign for it."""
    if lease_group.is_coordinator:
        if now >= coordinator_lease_end(lease_group):
            resign(tables, lease_group)
        elif now >= lease_group.next_claim_at:
            send_claims(tables, lease_group, now, outbox)
    elif should_campaign(tables, lease_group, now):
        campaign(tables, lease_group, now, outbox)


def should_campaign(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> bool:
    """Return whether to claim the coordinator's lease now."""
    if tables.is_stopping or now < lease_group.no_grants_until:
        return False
    if not is_ready_to_join(tables, now):
        return False
    if now < lease_group.coordinator_contact_at + GRANT_SECONDS:
        return False
    if lease_group.granted_to == tables.instance_id:
        if now < lease_group.campaign_until:
            return now >= lease_group.next_claim_at
        end_campaign(lease_group)
    rank = lease_group.voters.index(tables.instance_id)
    free_since = max(lease_group.granted_until, lease_group.no_grants_until)
    return now >= free_since + rank * CANDIDATE_STAGGER.total_seconds()


def end_campaign(lease_group: LeaseGroup) -> None:
    """End a failed campaign; grants that arrive later are ignored."""
    record_grant(lease_group, '')
    lease_group.granted_until = lease_group.campaign_until


def campaign(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Grant this balancer the lease, and claim it from the other voters."""
    if now >= lease_group.campaign_until:
        lease_group.campaign_until = now + CAMPAIGN_LIFETIME.total_seconds()
        lease_group.granted_at_by_id = {}
        lease_group.previous_candidate_ids = {lease_group.granted_to}
    record_grant(lease_group, tables.instance_id)
    send_claims(tables, lease_group, now, outbox)
    has_majority = now < coordinator_lease_end(lease_group)
    if has_majority and tables.membership is not None:
        become_coordinator(tables, tables.membership, lease_group, now)


def send_claims(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Send a claim with the newest known view to every other voter."""
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
