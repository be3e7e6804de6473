"""Planned departure of members from their group."""

import math

from mustardhold.systems.coordination import (
    GRANT_SECONDS,
    RENEWAL_SECONDS,
    is_coordinating,
    lease_group_of,
    resign,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.coordination import LeaseGroup, Membership
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import Leave

# How long a stopping member waits for a coordinator to accept its leave,
# after the lease of the last known coordinator has ended.
NO_COORDINATOR_SECONDS = 1.0


def handle_leave(tables: BalancerTables, now: float, leave: Leave) -> None:
    """Release the grant and the lease of a member that has stopped."""
    lease_group = lease_group_of(tables, leave.scope)
    if lease_group is None:
        return
    if lease_group.granted_to == leave.member_id:
        lease_group.granted_until = min(lease_group.granted_until, now)
    if lease_group.coordinator_id == leave.member_id:
        lease_group.coordinator_contact_at = now - GRANT_SECONDS
    member_lease = lease_group.leases_by_id.get(leave.member_id)
    if (
        member_lease is not None
        and member_lease.incarnation <= leave.incarnation
    ):
        lease_group.leases_by_id.pop(leave.member_id)


def tick_leave(
    tables: BalancerTables, lease_group: LeaseGroup, now: float, outbox: Outbox
) -> None:
    """Give up the lease before a planned stop.

    A coordinator first installs a view that does not name it.
    """
    membership = tables.membership
    if membership is None or not tables.is_stopping:
        return
    if tables.lease_until > -math.inf:
        tables.lease_until = -math.inf
        lease_group.next_renewal_at = now
    if is_coordinating(lease_group, now):
        if awaits_view_change(tables, lease_group):
            return
        resign(tables, lease_group)
    coordinator_lost_at = lease_group.coordinator_contact_at + GRANT_SECONDS
    if (
        not lease_group.is_coordinator
        and now >= coordinator_lost_at + NO_COORDINATOR_SECONDS
    ):
        membership.is_leave_unanswered = True
    if now >= lease_group.next_renewal_at:
        lease_group.next_renewal_at = now + RENEWAL_SECONDS
        send_leave(tables, membership, lease_group, outbox)


def awaits_view_change(tables: BalancerTables, lease_group: LeaseGroup) -> bool:
    """Return whether a view without this coordinator is still to come."""
    view = lease_group.view
    is_named = view is None or tables.instance_id in view.members_by_id
    return is_named and bool(lease_group.leases_by_id)


def send_leave(
    tables: BalancerTables,
    membership: Membership,
    lease_group: LeaseGroup,
    outbox: Outbox,
) -> None:
    """Notify every other voter that this balancer holds no lease."""
    leave = Leave(lease_group.scope, tables.instance_id, membership.incarnation)
    for voter in lease_group.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, leave))


def has_left(tables: BalancerTables) -> bool:
    """Return whether this balancer has left the group.

    That is so if the current view does not name it, if there is no view, or if
    no coordinator has accepted its leave in time.
    """
    view = tables.view
    membership = tables.membership
    is_leave_unanswered = (
        membership is not None and membership.is_leave_unanswered
    )
    is_named = tables.instance_id in view.members_by_id
    return is_leave_unanswered or view.epoch == 0 or not is_named
