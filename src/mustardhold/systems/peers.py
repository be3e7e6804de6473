"""Messages from other balancers, and the work of each tick."""

from mustardhold.systems.affinity import (
    drop_expired_packets,
    handle_relay,
    replay_held_packets,
)
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.coordination import (
    take_claim,
    take_granted,
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
    note_activity,
)
from mustardhold.systems.leases import (
    advance_view,
    take_lease,
    take_new_view,
    take_renewal,
    tick_placements,
    tick_renewal,
)
from mustardhold.systems.leaving import take_leave, tick_leave
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
    """Act on a message from another balancer."""
    if is_stale_after_freeze(tables, now):
        return
    if isinstance(message, Relay):
        handle_relay(tables, now, message, outbox)
    elif isinstance(message, LeaseMessage):
        take_lease_message(tables, now, message, outbox)
    elif isinstance(message, HandoverMessage):
        take_handover_message(tables, now, message, outbox)
    else:
        take_owner_message(tables, now, message, outbox)


def take_owner_message(
    tables: BalancerTables,
    now: float,
    message: OwnerMessage,
    outbox: Outbox,
) -> None:
    """Act on a message about flows, requests or backend servers."""
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


def take_handover_message(
    tables: BalancerTables,
    now: float,
    message: HandoverMessage,
    outbox: Outbox,
) -> None:
    """Act on a message about records that change their owners."""
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


def take_lease_message(
    tables: BalancerTables, now: float, message: LeaseMessage, outbox: Outbox
) -> None:
    """Act on a message about the members of the group."""
    epoch = tables.view.epoch
    awaited = awaits_first_lease(tables)
    match message:
        case Claim():
            take_claim(tables, now, message, outbox)
        case Grant():
            take_granted(tables, now, message)
        case Renewal():
            take_renewal(tables, now, message, outbox)
        case Lease():
            take_lease(tables, now, message)
        case NewView():
            take_new_view(tables, now, message)
        case _:
            take_leave(tables, now, message)
    run_lease_groups(tables, now, outbox)
    has_lease = awaited and not awaits_first_lease(tables)
    if tables.view.epoch != epoch or has_lease:
        replay_held_packets(tables, now, outbox)


def run_lease_groups(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Change views, and ask for leases that are due."""
    membership = tables.membership
    if membership is None:
        return
    for lease_group in membership.lease_groups:
        advance_view(tables, lease_group, now, outbox)
        tick_claims(tables, lease_group, now, outbox)
        tick_renewal(tables, lease_group, now, outbox)


def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Do the work that time asks for."""
    note_activity(tables, now)
    run_request_timers(tables, now, outbox)
    tick_backends(tables, now, outbox)
    drop_settled_records(tables)
    tick_membership(tables, now, outbox)
    tick_transfers(tables, now, outbox)
    resend_record_queries(tables, now, outbox)
    decide_overdue(tables, now, outbox)
    drop_expired_packets(tables, now, outbox)
    expire_closed_flows(tables, now)


def tick_membership(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Take part in the agreement on the members of the group."""
    epoch = tables.view.epoch
    run_lease_groups(tables, now, outbox)
    if tables.membership is not None:
        for lease_group in tables.membership.lease_groups:
            tick_placements(tables, lease_group, now)
            tick_leave(tables, lease_group, now, outbox)
    if tables.view.epoch != epoch:
        replay_held_packets(tables, now, outbox)
