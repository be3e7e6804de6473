"""The way of a packet: to its bucket's base, or through its flow's owner."""

from mustardhold.systems.answers import handle_answer, handle_shed
from mustardhold.systems.flow_opening import open_settled
from mustardhold.systems.flow_records import end_flow
from mustardhold.systems.freeze_detection import is_stale_after_freeze
from mustardhold.systems.health import mark_responsive
from mustardhold.systems.owner_decisions import decide_as_owner, settled_base
from mustardhold.systems.ownership import (
    awaits_first_lease,
    is_lease_live,
    owners_of_flow,
    raise_fence,
)
from mustardhold.systems.packet_holding import (
    expired_early,
    hold_for_view,
    release_early,
)
from mustardhold.systems.request_messages import replay_early_messages
from mustardhold.systems.requests import reply_without_lease
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_RELAY_HOPS
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    CallerPacket,
    Cancel,
    Close,
    FlowEnded,
    Open,
    Opened,
    Request,
    Shed,
    Upload,
)
from mustardhold.tables.peers import Relay

# Tuples with the most frequent kind first: a test against a union, built or
# not, costs several times as much on the way of each packet.
CALLER_KINDS = (Upload, Open, Request, Cancel, Close)
REQUEST_KINDS = (Request, Cancel)


def handle_caller_packet(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
    hops: int = 0,
) -> None:
    """Decide on a packet from a caller, or relay it to its flow's owner."""
    if not is_stale_after_freeze(tables, now):
        route_packet(tables, now, packet, outbox, hops)


def route_packet(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
    hops: int,
) -> None:
    """Decide on a packet that is known not to be stale, or relay it."""
    if forward_settled(tables, now, packet, outbox):
        return
    owners = owners_of_flow(tables, packet.flow)
    if not owners:
        tables.counters['', 'no-owner'] += 1
        return
    if owners[0] == tables.instance_id:
        if is_lease_live(tables, now):
            decide_as_owner(tables, now, packet, owners, outbox)
        elif awaits_view(tables, now):
            hold_for_view(tables, now, packet, hops)
        else:
            refuse_without_lease(tables, packet, outbox)
    elif hops < MAX_RELAY_HOPS:
        relay = Relay(tables.instance_id, tables.view.epoch, hops + 1, packet)
        outbox.append(ToPeer(owners[0], relay))
    else:
        tables.counters['', 'relay-hops-exceeded'] += 1


def awaits_view(tables: BalancerTables, now: float) -> bool:
    """Tell whether a newer view or a lease is about to say who decides."""
    is_between = tables.stopping or now < tables.lease_until
    return is_between or awaits_first_lease(tables)


def refuse_without_lease(
    tables: BalancerTables, packet: CallerPacket, outbox: Outbox
) -> None:
    """Drop a packet that needs a lease; tell what becomes of a request."""
    tables.counters['', 'lease-expired'] += 1
    if isinstance(packet, Request):
        reply_without_lease(tables, packet, outbox)


def handle_relay(
    tables: BalancerTables, now: float, relay: Relay, outbox: Outbox
) -> None:
    """Act on a relayed packet, once our view is as new as the sender's.

    The messages' entry has already dropped a stale one.
    """
    packet = relay.packet
    if not isinstance(packet, CALLER_KINDS):
        return
    if raise_fence(tables, relay.epoch):
        hold_for_view(tables, now, packet, relay.hops)
        return
    route_packet(tables, now, packet, outbox, relay.hops)


def forward_settled(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> bool:
    """Forward a packet of a settled bucket; requests go by their owner."""
    if not tables.placements.placements_by_pool:
        return False
    if isinstance(packet, REQUEST_KINDS) or not is_lease_live(tables, now):
        return False
    base = settled_base(tables, packet.flow)
    known = tables.backends_by_id.get(base or '')
    if known is None:
        return False
    if isinstance(packet, Open):
        open_settled(tables, packet, known, outbox)
    else:
        outbox.append(ToBackend(known.announced.address, packet))
    return True


def replay_held_packets(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Decide again on held packets, after a change of the view."""
    for one in release_early(tables, now):
        handle_caller_packet(tables, now, one.packet, outbox, one.hops)
    replay_early_messages(tables, now, outbox)


def drop_expired_packets(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Give up packets for which no newer view came in time."""
    for packet in expired_early(tables, now):
        refuse_without_lease(tables, packet, outbox)


def handle_backend_packet(
    tables: BalancerTables,
    now: float,
    packet: BackendPacket,
    outbox: Outbox,
) -> None:
    """Pass a server's packet to the caller that its flow key names.

    Answers are passed on however late; what tells of a flow is not, after a
    freeze, since the flow may be somewhere else by then.
    """
    if isinstance(packet, Opened | FlowEnded) and is_stale_after_freeze(
        tables, now
    ):
        return
    mark_responsive(tables, packet)
    if isinstance(packet, Answer):
        handle_answer(tables, packet, outbox)
        return
    if isinstance(packet, Shed):
        handle_shed(tables, packet, outbox)
        return
    if isinstance(packet, FlowEnded):
        end_flow(tables, packet.flow, outbox)
    outbox.append(ToCaller(packet))
