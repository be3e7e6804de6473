"""Dispatch of messages from other balancers, and the work of each tick."""

from mustardhold.systems.affinity import (
    drop_expired_packets,
    handle_relay,
    replay_held_packets,
)
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.coordination import (
    handle_claim,
    handle_grant,
    tick_claims,
)
from mustardhold.systems.deadlines import run_request_timers
from mustardhold.systems.digests import (
    handle_backend_query,
    handle_digest,
    tick_backends,
)
from mustardhold.systems.flow_records import (
    expire_closed_flows,
    forget_flow,
    handle_record_chain,
)
from mustardhold.systems.freeze_detection import (
    is_stale_after_freeze,
    record_activity,
)
from mustardhold.systems.hedge_routing import tick_hedges
from mustardhold.systems.leases import (
    advance_view,
    handle_lease,
    handle_new_view,
    handle_renewal,
    tick_placements,
    tick_renewal,
)
from mustardhold.systems.leaving import handle_leave, tick_leave
from mustardhold.systems.owner_decisions import (
    decide_overdue,
    handle_record_reply,
)
from mustardhold.systems.ownership import awaits_first_lease
from mustardhold.systems.packet_holding import (
    handle_record_query,
    resend_record_queries,
)
from mustardhold.systems.record_transfers import (
    handle_handover_complete,
    handle_page_ack,
    handle_record_page,
    tick_transfers,
)
from mustardhold.systems.request_messages import handle_request_message
from mustardhold.systems.settled_buckets import drop_settled_records
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.peers import (
    BackendAnnouncement,
    BackendDigest,
    BackendQuery,
    Claim,
    FlowClosed,
    Grant,
    HandoverComplete,
    HandoverMessage,
    Lease,
    LeaseMessage,
    NewView,
    OwnerMessage,
    PeerMessage,
    RecordChain,
    RecordPage,
    RecordPageAck,
    RecordQuery,
    RecordReply,
    Relay,
    Renewal,
)


def handle_peer_message(
    tables: BalancerTables, now: float, message: PeerMessage, outbox: Outbox
) -> None:
    """Dispatch a message from another balancer by its kind.

    Messages that may have been queued while this balancer was frozen are
    dropped.
    """
    if is_stale_after_freeze(tables, now):
        return
    if isinstance(message, Relay):
        handle_relay(tables, now, message, outbox)
    elif isinstance(message, LeaseMessage):
        handle_lease_message(tables, now, message, outbox)
    elif isinstance(message, HandoverMessage):
        handle_handover_message(tables, now, message, outbox)
    else:
        handle_owner_message(tables, now, message, outbox)


def handle_owner_message(
    tables: BalancerTables,
    now: float,
    message: OwnerMessage,
    outbox: Outbox,
) -> None:
    """Dispatch a message about flows, requests or backend servers."""
    match message:
        case RecordChain():
            handle_record_chain(tables, now, message, outbox)
        case FlowClosed(flow=flow):
            forget_flow(tables, flow)
        case BackendAnnouncement(backend=backend):
            store_announcement(tables, now, backend)
        case BackendDigest():
            handle_digest(tables, now, message, outbox)
        case BackendQuery():
            handle_backend_query(tables, message, outbox)
        case _:
            handle_request_message(tables, now, message, outbox)


def handle_handover_message(
    tables: BalancerTables,
    now: float,
    message: HandoverMessage,
    outbox: Outbox,
) -> None:
    """Dispatch a message about records that move to other owners."""
    match message:
        case RecordQuery():
            handle_record_query(tables, now, message, outbox)
        case RecordReply():
            handle_record_reply(tables, now, message, outbox)
        case RecordPage():
            handle_record_page(tables, message, outbox)
        case RecordPageAck():
            handle_page_ack(tables, message)
        case HandoverComplete():
            handle_handover_complete(tables, message)


def handle_lease_message(
    tables: BalancerTables, now: float, message: LeaseMessage, outbox: Outbox
) -> None:
    """Dispatch a message about leases or views, then run the lease timers.

    Held packets are retried if the view has changed or the first lease has
    arrived.
    """
    epoch = tables.view.epoch
    awaited_first_lease = awaits_first_lease(tables)
    match message:
        case Claim():
            handle_claim(tables, now, message, outbox)
        case Grant():
            handle_grant(tables, now, message)
        case Renewal():
            handle_renewal(tables, now, message, outbox)
        case Lease():
            handle_lease(tables, now, message)
        case NewView():
            handle_new_view(tables, now, message)
        case _:
            handle_leave(tables, now, message)
    run_lease_groups(tables, now, outbox)
    has_first_lease = awaited_first_lease and not awaits_first_lease(tables)
    if tables.view.epoch != epoch or has_first_lease:
        replay_held_packets(tables, now, outbox)


def run_lease_groups(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Advance views, and send claims and renewals that are due."""
    membership = tables.membership
    if membership is None:
        return
    for lease_group in membership.lease_groups:
        advance_view(tables, lease_group, now, outbox)
        tick_claims(tables, lease_group, now, outbox)
        tick_renewal(tables, lease_group, now, outbox)


def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Run all periodic work of a balancer."""
    record_activity(tables, now)
    run_request_timers(tables, now, outbox)
    tick_hedges(tables, now, outbox)
    tick_backends(tables, now, outbox)
    drop_settled_records(tables)
    tick_membership(tables, now, outbox)
    tick_transfers(tables, now, outbox)
    resend_record_queries(tables, now, outbox)
    decide_overdue(tables, now, outbox)
    drop_expired_packets(tables, now, outbox)
    expire_closed_flows(tables, now)


def tick_membership(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Run the periodic work of views, leases and placements."""
    epoch = tables.view.epoch
    run_lease_groups(tables, now, outbox)
    if tables.membership is not None:
        for lease_group in tables.membership.lease_groups:
            tick_placements(tables, lease_group, now)
            tick_leave(tables, lease_group, now, outbox)
    if tables.view.epoch != epoch:
        replay_held_packets(tables, now, outbox)
