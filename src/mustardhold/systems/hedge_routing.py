"""Routes server packets about copies, and the periodic work of hedging."""

from mustardhold.systems.answers import flush_answer_reports, handle_answer
from mustardhold.systems.copy_flows import (
    close_copy_flows,
    find_copy_flow,
    is_copy_flow,
    is_own_flow,
)
from mustardhold.systems.hedge_copies import (
    consider_copy,
    finish_ended_hedges,
    handle_copy_answer,
    handle_copy_shed,
    resend_promise_requests,
    run_due_hedges,
)
from mustardhold.systems.hedge_endings import end_hedge
from mustardhold.systems.hedge_promises import (
    divert_answer,
    drop_late_answer,
    expire_promises,
)
from mustardhold.systems.hedging import record_latency
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.request_records import request_key
from mustardhold.systems.routing import service_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.hedging import HedgeOutcome
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    FlowEnded,
    Opened,
    Shed,
)
from mustardhold.tables.peers import Relay


def route_copy_packet(
    tables: BalancerTables, now: float, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a server's packet about a copy to the balancer that sent it."""
    if is_own_flow(tables, packet.flow):
        handle_copy_packet(tables, now, packet, outbox)
        return
    for owner in owners_of_flow(tables, packet.flow)[:1]:
        relay = Relay(tables.instance_id, tables.view.epoch, 1, packet)
        outbox.append(ToPeer(owner, relay))


def handle_copy_packet(
    tables: BalancerTables, now: float, packet: BackendPacket, outbox: Outbox
) -> None:
    """Handle a server's packet about a copy that this balancer sent."""
    match packet:
        case Answer():
            handle_copy_answer(tables, now, packet, outbox)
        case Shed():
            handle_copy_shed(tables, now, packet, outbox)
        case Opened():
            start_waiting_copies(tables, now, packet, outbox)
        case FlowEnded():
            drop_copy_flow(tables, now, packet.flow, outbox)


def start_waiting_copies(
    tables: BalancerTables, now: float, packet: Opened, outbox: Outbox
) -> None:
    """Send the copies that waited for their flow to open."""
    copy_flow = find_copy_flow(tables, packet.flow)
    if copy_flow is None or copy_flow.backend_id != packet.backend_id:
        return
    copy_flow.is_open = True
    waiting = tuple(copy_flow.waiting)
    copy_flow.waiting.clear()
    for key in waiting:
        consider_copy(tables, now, key, outbox)


def drop_copy_flow(
    tables: BalancerTables, now: float, flow: bytes, outbox: Outbox
) -> None:
    """Mark a flow as ended by its server, and give up its copies."""
    copy_flow = find_copy_flow(tables, flow)
    if copy_flow is not None:
        copy_flow.is_open = False
    for key, hedge in tuple(tables.hedging.running_by_key.items()):
        if hedge.copy_flow == flow:
            end_hedge(tables, now, key, HedgeOutcome.CANCELLED, outbox)


def pass_answer(
    tables: BalancerTables, now: float, packet: Answer, outbox: Outbox
) -> None:
    """Pass an answer on, or let its owner decide if the request is hedged."""
    hedging = tables.hedging
    if hedging.policy is None and not hedging.promised_until_by_key:
        handle_answer(tables, packet, outbox)
    elif not divert_answer(tables, packet, outbox):
        accept_answer(tables, now, packet, outbox)


def accept_answer(
    tables: BalancerTables, now: float, packet: Answer, outbox: Outbox
) -> None:
    """Pass an answer on to its caller, and give up the request's copy.

    An owner that learns of the answers of a hedged service at its next tick
    only would send copies of requests that are answered already.
    """
    policy = tables.hedging.policy
    if policy is None:
        handle_answer(tables, packet, outbox)
        return
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is not None and not record.parts_seen:
        record_latency(tables, now, record)
    handle_answer(tables, packet, outbox)
    if key in tables.hedging.running_by_key:
        finish_ended_hedges(tables, now, outbox)
    if service_of(tables, packet.flow) in policy.services:
        flush_answer_reports(tables, outbox)


def handle_relayed_packet(
    tables: BalancerTables, now: float, packet: BackendPacket, outbox: Outbox
) -> None:
    """Handle a server's packet that another balancer relayed here."""
    if is_copy_flow(packet.flow):
        handle_copy_packet(tables, now, packet, outbox)
        return
    if not isinstance(packet, Answer):
        return
    key = request_key(packet.flow, packet.request_id)
    if not drop_late_answer(tables, key):
        accept_answer(tables, now, packet, outbox)


def tick_hedges(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Run the periodic work of hedging."""
    expire_promises(tables, now)
    if tables.hedging.policy is None:
        return
    finish_ended_hedges(tables, now, outbox)
    resend_promise_requests(tables, outbox)
    run_due_hedges(tables, now, outbox)
    close_copy_flows(tables, now, outbox)
