"""Routes packets to their bucket's server or through their flow's owner."""

from mustardhold.systems.answers import handle_shed
from mustardhold.systems.copy_flows import COPY_CALLER
from mustardhold.systems.flow_opening import open_settled
from mustardhold.systems.flow_records import end_flow
from mustardhold.systems.freeze_detection import is_stale_after_freeze
from mustardhold.systems.health import mark_responsive
from mustardhold.systems.hedge_routing import (
    handle_relayed_packet,
    pass_answer,
    route_copy_packet,
)
from mustardhold.systems.owner_decisions import decide_as_owner, settled_server
from mustardhold.systems.ownership import (
    awaits_first_lease,
    is_lease_live,
    owners_of_flow,
    raise_fence,
)
from mustardhold.systems.packet_holding import (
    hold_for_view,
    pop_early_packets,
    pop_expired_packets,
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

# Tuples with the most frequent type first: an isinstance test against a union,
# prebuilt or not, costs several times as much for each packet.
CALLER_PACKET_TYPES = (Upload, Open, Request, Cancel, Close)
BACKEND_PACKET_TYPES = (Answer, Opened, Shed, FlowEnded)
FLOW_STATE_TYPES = (Opened, FlowEnded)
REQUEST_PACKET_TYPES = (Request, Cancel)


def handle_caller_packet(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
    hops: int = 0,
) -> None:
    """Route a caller's packet; drop it if it may predate a freeze."""
    if not is_stale_after_freeze(tables, now):
        route_packet(tables, now, packet, outbox, hops)


def route_packet(
    tables: BalancerTables,
    now: float,
    packet: CallerPacket,
    outbox: Outbox,
    hops: int,
) -> None:
    """Forward a packet that is not stale, or relay it to its flow's owner."""
    if forward_settled(tables, now, packet, outbox):
        return
    owners = owners_of_flow(tables, packet.flow)
    if not owners:
        tables.counters['', 'no-owner'] += 1
        return
    if owners[0] == tables.instance_id:
        if is_lease_live(tables, now):
            decide_as_owner(tables, now, packet, owners, outbox)
        elif is_view_pending(tables, now):
            hold_for_view(tables, now, packet, hops)
        else:
            refuse_without_lease(tables, packet, outbox)
    elif hops < MAX_RELAY_HOPS:
        relay = Relay(tables.instance_id, tables.view.epoch, hops + 1, packet)
        outbox.append(ToPeer(owners[0], relay))
    else:
        tables.counters['', 'relay-hops-exceeded'] += 1


def is_view_pending(tables: BalancerTables, now: float) -> bool:
    """Return whether a newer view or a first lease is expected soon.

    For callers without a live lease: if it has not ended yet, a message has
    shown that there is a newer view.
    """
    is_view_changing = tables.is_stopping or now < tables.lease_until
    return is_view_changing or awaits_first_lease(tables)


def refuse_without_lease(
    tables: BalancerTables, packet: CallerPacket, outbox: Outbox
) -> None:
    """Drop a packet for lack of a lease; a request gets a reply."""
    tables.counters['', 'lease-expired'] += 1
    if isinstance(packet, Request):
        reply_without_lease(tables, packet, outbox)


def handle_relay(
    tables: BalancerTables, now: float, relay: Relay, outbox: Outbox
) -> None:
    """Route a relayed packet; hold it while the local view is older.

    Stale messages have already been dropped before their dispatch.
    """
    packet = relay.packet
    if isinstance(packet, BACKEND_PACKET_TYPES):
        handle_relayed_packet(tables, now, packet, outbox)
        return
    if not isinstance(packet, CALLER_PACKET_TYPES):
        return
    if raise_fence(tables, relay.epoch):
        hold_for_view(tables, now, packet, relay.hops)
        return
    route_packet(tables, now, packet, outbox, relay.hops)


def forward_settled(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> bool:
    """Forward a packet, other than a request, if its bucket is settled."""
    if not tables.placements.placements_by_pool:
        return False
    if isinstance(packet, REQUEST_PACKET_TYPES) or not is_lease_live(
        tables, now
    ):
        return False
    server_id = settled_server(tables, packet.flow)
    server = tables.backends_by_id.get(server_id or '')
    if server is None:
        return False
    if isinstance(packet, Open):
        open_settled(tables, packet, server, outbox)
    else:
        outbox.append(ToBackend(server.announced.address, packet))
    return True


def replay_held_packets(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Route held packets again, after a new view or a first lease."""
    for held in pop_early_packets(tables, now):
        handle_caller_packet(tables, now, held.packet, outbox, held.hops)
    replay_early_messages(tables, now, outbox)


def drop_expired_packets(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Drop packets whose wait for a newer view has timed out."""
    for packet in pop_expired_packets(tables, now):
        refuse_without_lease(tables, packet, outbox)


def handle_backend_packet(
    tables: BalancerTables,
    now: float,
    packet: BackendPacket,
    outbox: Outbox,
) -> None:
    """Forward a server's packet to the caller that its flow key names.

    Answers are forwarded however late they are. After a freeze, packets
    about the state of a flow are dropped, since the flow may be at another
    server by then.
    """
    if isinstance(packet, FLOW_STATE_TYPES) and is_stale_after_freeze(
        tables, now
    ):
        return
    mark_responsive(tables, packet)
    # is_copy_flow without the cost of a call for each packet.
    if packet.flow.startswith(COPY_CALLER):
        route_copy_packet(tables, now, packet, outbox)
        return
    if isinstance(packet, Answer):
        pass_answer(tables, now, packet, outbox)
        return
    if isinstance(packet, Shed):
        handle_shed(tables, packet, outbox)
        return
    if isinstance(packet, FlowEnded):
        end_flow(tables, packet.flow, outbox)
    outbox.append(ToCaller(packet))
