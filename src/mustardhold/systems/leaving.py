"""Leaves of members that stop on purpose."""

import math

from mustardhold.systems.coordination import (
    GRANT_SECONDS,
    RENEWAL_SECONDS,
    council_of,
    is_coordinating,
    resign,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.coordination import Council, Membership
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import Leave

# A member that stops waits so long for a coordinator to take its leave.
ALONE_SECONDS = 1.0


def take_leave(tables: BalancerTables, now: float, leave: Leave) -> None:
    """Free the grant of a sender that has stopped, and take it out."""
    council = council_of(tables, leave.scope)
    if council is None:
        return
    if council.promised_to == leave.member_id:
        council.promised_until = min(council.promised_until, now)
    if council.coordinator_id == leave.member_id:
        council.coordinator_heard_at = now - GRANT_SECONDS
    held = council.leases_by_id.get(leave.member_id)
    if held is not None and held.incarnation <= leave.incarnation:
        council.leases_by_id.pop(leave.member_id)


def tick_leave(
    tables: BalancerTables, council: Council, now: float, outbox: Outbox
) -> None:
    """Give the lease back before a planned stop.

    A coordinator first puts a view in force that does not name it.
    """
    membership = tables.membership
    if membership is None or not tables.stopping:
        return
    if tables.lease_until > -math.inf:
        tables.lease_until = -math.inf
        council.next_renewal_at = now
    if is_coordinating(council, now):
        if must_change_view(tables, council):
            return
        resign(tables, council)
    alone_since = council.coordinator_heard_at + GRANT_SECONDS
    if not council.is_coordinator and now >= alone_since + ALONE_SECONDS:
        membership.has_given_up = True
    if now >= council.next_renewal_at:
        council.next_renewal_at = now + RENEWAL_SECONDS
        send_leave(tables, membership, council, outbox)


def must_change_view(tables: BalancerTables, council: Council) -> bool:
    """Tell whether a view without this coordinator is still to come."""
    view = council.view
    is_named = view is None or tables.instance_id in view.members_by_id
    return is_named and bool(council.leases_by_id)


def send_leave(
    tables: BalancerTables,
    membership: Membership,
    council: Council,
    outbox: Outbox,
) -> None:
    """Tell every other voter that this balancer acts on no lease."""
    leave = Leave(council.scope, tables.instance_id, membership.incarnation)
    for voter in council.voters:
        if voter != tables.instance_id:
            outbox.append(ToPeer(voter, leave))


def has_left(tables: BalancerTables) -> bool:
    """Tell whether no view names this balancer, or nobody can be told."""
    view = tables.view
    membership = tables.membership
    has_given_up = membership is not None and membership.has_given_up
    is_named = tables.instance_id in view.members_by_id
    return has_given_up or view.epoch == 0 or not is_named
