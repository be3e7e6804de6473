"""Leases of members: asked for by each, given by the coordinator."""

import msgspec

from mustardhold.systems.bindings import update_bindings
from mustardhold.systems.coordination import (
    GRANT_SECONDS,
    LEASE_SECONDS,
    MARGIN_SECONDS,
    RENEWAL_SECONDS,
    coordinator_until,
    granted_since,
    is_coordinating,
    lease_group_of,
    make_view,
    members_of,
)
from mustardhold.systems.joining import is_prepared
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
    """Ask the coordinator for the own lease."""
    membership = tables.membership
    if (
        membership is None
        or tables.stopping
        or now < lease_group.next_renewal_at
    ):
        return
    if not is_prepared(tables, now):
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


def take_lease(tables: BalancerTables, now: float, lease: Lease) -> None:
    """Act under the coordinator's view up to the end of the lease."""
    membership = tables.membership
    if membership is None or lease.incarnation != membership.incarnation:
        return
    if tables.stopping or lease.epoch < tables.view.epoch:
        return
    if lease.epoch > tables.view.epoch:
        if not lease.members:
            return
        view = make_view(membership, lease.epoch, lease.members)
        install_view(tables, view)
    if lease.placements is not None:
        placements = apply_update(tables.placements, lease.placements)
        if placements is None:
            return
        tables.placements = placements
    tables.lease_until = max(tables.lease_until, lease.sent_at + LEASE_SECONDS)


def take_renewal(
    tables: BalancerTables, now: float, renewal: Renewal, outbox: Outbox
) -> None:
    """Give a member its lease, as coordinator."""
    lease_group = lease_group_of(tables, renewal.scope)
    if lease_group is None or not is_coordinating(lease_group, now):
        return
    held = lease_group.leases_by_id.get(renewal.member_id)
    if held is not None and renewal.incarnation < held.incarnation:
        tables.counters['', 'renewal-old-incarnation'] += 1
        return
    if held is None or renewal.incarnation > held.incarnation:
        held = MemberLease(renewal.incarnation, now)
        lease_group.leases_by_id[renewal.member_id] = held
    # Waiting for a view that names it keeps a member known, without a lease.
    held.until = max(held.until, now + LEASE_SECONDS + MARGIN_SECONDS)
    held.placement_version = renewal.placement_version
    outrun_version(tables, renewal.placement_version)
    tables.reports_by_member[renewal.member_id] = renewal.reports
    shown = max(renewal.epoch, renewal.fence_epoch)
    lease_group.epoch_floor = max(lease_group.epoch_floor, shown)
    answer_renewal(tables, lease_group, renewal, outbox)


def outrun_version(tables: BalancerTables, version: int) -> None:
    """Give our placements a higher version than an earlier coordinator's."""
    if version > tables.placements.version:
        tables.placements = msgspec.structs.replace(
            tables.placements, version=version + 1
        )


def answer_renewal(
    tables: BalancerTables,
    lease_group: LeaseGroup,
    renewal: Renewal,
    outbox: Outbox,
) -> None:
    """Answer with a lease if the view in force names the member."""
    view = lease_group.view
    if view is None or lease_group.epoch_floor > view.epoch:
        return
    named = view.incarnations_by_id.get(renewal.member_id)
    if named != renewal.incarnation:
        return
    lease = Lease(
        lease_group.scope,
        renewal.incarnation,
        renewal.sent_at,
        view.epoch,
        members_of(view) if renewal.epoch < view.epoch else (),
        update_for(tables, lease_group, renewal.placement_version),
    )
    outbox.append(ToPeer(renewal.member_id, lease))


def update_for(
    tables: BalancerTables, lease_group: LeaseGroup, version: int
) -> PlacementUpdate | None:
    """Describe what a member with some version lacks, if anything."""
    if version == tables.placements.version:
        return None
    before = lease_group.placements_before
    if version == before.version:
        return make_update(before, tables.placements)
    return make_update(EMPTY_PLACEMENTS, tables.placements)


def take_new_view(tables: BalancerTables, now: float, message: NewView) -> None:
    """Put a view in force that a majority knows."""
    membership = tables.membership
    if membership is None:
        return
    view = make_view(membership, message.epoch, message.members)
    lease_group = lease_group_of(tables, message.scope)
    if install_view(tables, view) and lease_group is not None:
        lease_group.next_renewal_at = now


def advance_view(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Change the view as members come and go, as coordinator."""
    membership = tables.membership
    if membership is None or not is_coordinating(lease_group, now):
        return
    drop_silent(tables, lease_group, now)
    commit_proposal(tables, lease_group, outbox)
    propose_change(tables, membership, lease_group, now)
    renew_own_lease(tables, lease_group, now)


def tick_placements(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Plan the next placements, as coordinator with a view."""
    if lease_group.view is None or not is_coordinating(lease_group, now):
        return
    acknowledged = acknowledged_version(tables, lease_group)
    before = tables.placements
    tables.placements = plan_placements(tables, now, acknowledged)
    if tables.placements is before:
        update_bindings(tables, acknowledged)
    if tables.placements is not before:
        lease_group.placements_before = before


def drop_silent(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Forget members whose lease has run out."""
    silent = [
        member_id
        for member_id, held in lease_group.leases_by_id.items()
        if now >= held.until
    ]
    for member_id in silent:
        lease_group.leases_by_id.pop(member_id)
        tables.reports_by_member.pop(member_id, None)
        tables.counters['', 'member-silent'] += 1


def commit_proposal(
    tables: BalancerTables, lease_group: LeaseGroup, outbox: Outbox
) -> None:
    """Give leases under the proposed view once a majority knows it."""
    proposed = lease_group.proposed
    if proposed is None or granted_since(lease_group) < lease_group.proposed_at:
        return
    lease_group.view = proposed
    lease_group.proposed = None
    message = NewView(lease_group.scope, proposed.epoch, members_of(proposed))
    for voter in lease_group.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, message))


def propose_change(
    tables: BalancerTables,
    membership: Membership,
    lease_group: LeaseGroup,
    now: float,
) -> None:
    """Propose the next view if the members with a lease have changed."""
    if lease_group.proposed is not None:
        return
    wanted = wanted_members(tables, membership, lease_group)
    if is_founding(lease_group, now) and len(wanted) < len(lease_group.voters):
        return
    epoch = lease_group.view.epoch if lease_group.view else 0
    current = members_of(lease_group.view) if lease_group.view else ()
    if wanted == current and lease_group.epoch_floor <= epoch:
        return
    floor = max(lease_group.known_epoch, lease_group.epoch_floor)
    lease_group.proposed = make_view(membership, floor + 1, wanted)
    lease_group.proposed_at = now
    lease_group.known_epoch = lease_group.proposed.epoch
    lease_group.known_members = wanted
    lease_group.next_claim_at = now


def is_founding(lease_group: LeaseGroup, now: float) -> bool:
    """Tell whether to wait for more members before a group's first view."""
    if lease_group.known_epoch or lease_group.epoch_floor:
        return False
    return now < lease_group.elected_at + FOUNDING_SECONDS


def wanted_members(
    tables: BalancerTables, membership: Membership, lease_group: LeaseGroup
) -> tuple[ViewMember, ...]:
    """List the coordinator, unless it leaves, and the members it hears."""
    wanted = [
        ViewMember(member_id, held.incarnation)
        for member_id, held in lease_group.leases_by_id.items()
    ]
    if not tables.stopping:
        wanted.append(ViewMember(tables.instance_id, membership.incarnation))
    return tuple(sorted(wanted))


def renew_own_lease(
    tables: BalancerTables, lease_group: LeaseGroup, now: float
) -> None:
    """Act under the own view as long as the coordinator's lease runs."""
    view = lease_group.view
    if view is None or view.epoch < tables.view.epoch:
        return
    install_view(tables, view)
    if tables.stopping or tables.instance_id not in view.members_by_id:
        return
    end = min(coordinator_until(lease_group), now + LEASE_SECONDS)
    tables.lease_until = max(tables.lease_until, end)


def acknowledged_version(
    tables: BalancerTables, lease_group: LeaseGroup
) -> int:
    """Tell the version in force here if every member with a lease has it.

    Otherwise it is one that is lower. A higher number is that of another
    coordinator.
    """
    version = tables.placements.version
    versions = {
        held.placement_version for held in lease_group.leases_by_id.values()
    }
    return version if versions <= {version} else version - 1
