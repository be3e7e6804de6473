"""Leases of members: requested by each member, granted by the coordinator."""

import msgspec

from mustardhold.systems.bindings import update_bindings
from mustardhold.systems.coordination import (
    GRANT_SECONDS,
    LEASE_SECONDS,
    MARGIN_SECONDS,
    RENEWAL_SECONDS,
    coordinator_lease_end,
    is_coordinating,
    lease_group_of,
    majority_granted_at,
    make_view,
    members_of,
)
from mustardhold.systems.joining import is_ready_to_join
from mustardhold.systems.placement import (
    plan_placements,
    report_settleable_buckets,
)
from mustardhold.systems.placement_updates import (
    EMPTY_PLACEMENTS,
    apply_update,
    make_update,
)
from mustardhold.systems.views import install_view
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import FOUNDING_WAIT
from mustardhold.tables.coordination import LeaseGroup, MemberLease, Membership
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import Lease, NewView, Renewal
from mustardhold.tables.placement import PlacementUpdate
from mustardhold.tables.views import ViewMember

FOUNDING_SECONDS = FOUNDING_WAIT.total_seconds()


def tick_renewal(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Request the local lease from the coordinator when it is due."""
    membership = tables.membership
    if (
        membership is None
        or tables.is_stopping
        or now < lease_group.next_renewal_at
    ):
        return
    if not is_ready_to_join(tables, now):
        return
    coordinator = lease_group.coordinator_id
    if now >= lease_group.coordinator_contact_at + GRANT_SECONDS:
        return
    lease_group.next_renewal_at = now + RENEWAL_SECONDS
    renewal = Renewal(
        lease_group.scope,
        tables.instance_id,
        membership.incarnation,
        now,
        tables.view.epoch,
        membership.fence_epoch,
        tables.placements.version,
        report_settleable_buckets(tables),
    )
    outbox.append(ToPeer(coordinator, renewal))


def handle_lease(tables: BalancerTables, now: float, lease: Lease) -> None:
    """Install the lease's view and placements, and extend the local lease."""
    membership = tables.membership
    if membership is None or lease.incarnation != membership.incarnation:
        return
    if tables.is_stopping or lease.epoch < tables.view.epoch:
        return
    if lease.epoch > tables.view.epoch:
        if not lease.members:
            return
        view = make_view(membership, lease.epoch, lease.members)
        install_view(tables, now, view)
    if lease.placements is not None:
        placements = apply_update(tables.placements, lease.placements)
        if placements is None:
            return
        tables.placements = placements
    tables.lease_until = max(tables.lease_until, lease.sent_at + LEASE_SECONDS)


def handle_renewal(
    tables: BalancerTables, now: float, renewal: Renewal, outbox: Outbox
) -> None:
    """Renew a member's lease, as coordinator."""
    lease_group = lease_group_of(tables, renewal.scope)
    if lease_group is None or not is_coordinating(lease_group, now):
        return
    member_lease = lease_group.leases_by_id.get(renewal.member_id)
    if (
        member_lease is not None
        and renewal.incarnation < member_lease.incarnation
    ):
        tables.counters['', 'renewal-old-incarnation'] += 1
        return
    if member_lease is None or renewal.incarnation > member_lease.incarnation:
        member_lease = MemberLease(renewal.incarnation, now)
        lease_group.leases_by_id[renewal.member_id] = member_lease
    # A member that no view names yet stays known, but gets no lease.
    member_lease.until = max(
        member_lease.until, now + LEASE_SECONDS + MARGIN_SECONDS
    )
    member_lease.placement_version = renewal.placement_version
    raise_placement_version(tables, renewal.placement_version)
    tables.reports_by_member[renewal.member_id] = renewal.reports
    highest_epoch = max(renewal.epoch, renewal.fence_epoch)
    lease_group.epoch_floor = max(lease_group.epoch_floor, highest_epoch)
    reply_to_renewal(tables, lease_group, renewal, outbox)


def raise_placement_version(tables: BalancerTables, version: int) -> None:
    """Raise the placement version above an earlier coordinator's."""
    if version > tables.placements.version:
        tables.placements = msgspec.structs.replace(
            tables.placements, version=version + 1
        )


def reply_to_renewal(
    tables: BalancerTables,
    lease_group: LeaseGroup,
    renewal: Renewal,
    outbox: Outbox,
) -> None:
    """Send a lease if the current view names the member."""
    view = lease_group.view
    if view is None or lease_group.epoch_floor > view.epoch:
        return
    view_incarnation = view.incarnations_by_id.get(renewal.member_id)
    if view_incarnation != renewal.incarnation:
        return
    lease = Lease(
        lease_group.scope,
        renewal.incarnation,
        renewal.sent_at,
        view.epoch,
        members_of(view) if renewal.epoch < view.epoch else (),
        placement_update_for(tables, lease_group, renewal.placement_version),
    )
    outbox.append(ToPeer(renewal.member_id, lease))


def placement_update_for(
    tables: BalancerTables, lease_group: LeaseGroup, version: int
) -> PlacementUpdate | None:
    """Return the update that a member needs from its placement version."""
    if version == tables.placements.version:
        return None
    previous = lease_group.placements_before
    if version == previous.version:
        return make_update(previous, tables.placements)
    return make_update(EMPTY_PLACEMENTS, tables.placements)


def handle_new_view(
    tables: BalancerTables, now: float, message: NewView
) -> None:
    """Install a view that a majority knows."""
    membership = tables.membership
    if membership is None:
        return
    view = make_view(membership, message.epoch, message.members)
    lease_group = lease_group_of(tables, message.scope)
    if install_view(tables, now, view) and lease_group is not None:
        lease_group.next_renewal_at = now


def advance_view(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Change the view as members join and leave, as coordinator."""
    membership = tables.membership
    if membership is None or not is_coordinating(lease_group, now):
        return
    drop_expired_members(tables, lease_group, now)
    commit_proposed_view(tables, lease_group, outbox)
    propose_view(tables, membership, lease_group, now)
    renew_local_lease(tables, lease_group, now)


def tick_placements(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Plan the next placements, as coordinator with a view."""
    if lease_group.view is None or not is_coordinating(lease_group, now):
        return
    acknowledged = acknowledged_version(tables, lease_group)
    previous = tables.placements
    tables.placements = plan_placements(tables, now, acknowledged)
    if tables.placements is previous:
        update_bindings(tables, acknowledged)
    if tables.placements is not previous:
        lease_group.placements_before = previous


def drop_expired_members(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Remove members whose lease has expired."""
    expired = [
        member_id
        for member_id, member_lease in lease_group.leases_by_id.items()
        if now >= member_lease.until
    ]
    for member_id in expired:
        lease_group.leases_by_id.pop(member_id)
        tables.reports_by_member.pop(member_id, None)
        tables.counters['', 'member-silent'] += 1


def commit_proposed_view(
    tables: BalancerTables, lease_group: LeaseGroup, outbox: Outbox
) -> None:
    """Use the proposed view for leases once a majority knows it."""
    proposed = lease_group.proposed
    if (
        proposed is None
        or majority_granted_at(lease_group) < lease_group.proposed_at
    ):
        return
    lease_group.view = proposed
    lease_group.proposed = None
    message = NewView(lease_group.scope, proposed.epoch, members_of(proposed))
    for voter in lease_group.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, message))


def propose_view(
    tables: BalancerTables,
    membership: Membership,
    lease_group: LeaseGroup,
    now: float,
) -> None:
    """Propose the next view if the members with a lease have changed."""
    if lease_group.proposed is not None:
        return
    members = next_members(tables, membership, lease_group)
    if is_founding(lease_group, now) and len(members) < len(lease_group.voters):
        return
    epoch = lease_group.view.epoch if lease_group.view else 0
    current = members_of(lease_group.view) if lease_group.view else ()
    if members == current and lease_group.epoch_floor <= epoch:
        return
    floor = max(lease_group.known_epoch, lease_group.epoch_floor)
    lease_group.proposed = make_view(membership, floor + 1, members)
    lease_group.proposed_at = now
    lease_group.known_epoch = lease_group.proposed.epoch
    lease_group.known_members = members
    lease_group.next_claim_at = now


def is_founding(lease_group: LeaseGroup, now: float) -> bool:
    """Return whether to wait for more members before the first view."""
    if lease_group.known_epoch or lease_group.epoch_floor:
        return False
    return now < lease_group.elected_at + FOUNDING_SECONDS


def next_members(
    tables: BalancerTables, membership: Membership, lease_group: LeaseGroup
) -> tuple[ViewMember, ...]:
    """Return the members with a lease, and this one unless it is stopping."""
    members = [
        ViewMember(member_id, member_lease.incarnation)
        for member_id, member_lease in lease_group.leases_by_id.items()
    ]
    if not tables.is_stopping:
        members.append(ViewMember(tables.instance_id, membership.incarnation))
    return tuple(sorted(members))


def renew_local_lease(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Install the current view, and extend the local lease as coordinator.

    The local lease ends with the coordinator's lease at the latest.
    """
    view = lease_group.view
    if view is None or view.epoch < tables.view.epoch:
        return
    install_view(tables, now, view)
    if tables.is_stopping or tables.instance_id not in view.members_by_id:
        return
    end = min(coordinator_lease_end(lease_group), now + LEASE_SECONDS)
    tables.lease_until = max(tables.lease_until, end)


def acknowledged_version(
    tables: BalancerTables, lease_group: LeaseGroup
) -> int:
    """Return the placement version that every member with a lease has.

    This is the current version, or a lower number if some member lacks it. A
    member's higher version comes from another coordinator.
    """
    version = tables.placements.version
    versions = {
        member_lease.placement_version
        for member_lease in lease_group.leases_by_id.values()
    }
    return version if versions <= {version} else version - 1
