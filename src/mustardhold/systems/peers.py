"""Messages from other balancers, and the work of each tick."""

from mustardhold.systems.affinity import take_caller_packet
from mustardhold.systems.announcements import take_announcement
from mustardhold.systems.digests import (
    answer_asked,
    take_digest,
    tick_backends,
)
from mustardhold.systems.records import forget_flow, take_chain
from mustardhold.systems.requests import expire_requests
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.packets import CallerPacket
from mustardhold.tables.peers import (
    BackendDigest,
    BackendsAsked,
    BackendShared,
    FlowClosed,
    PeerMessage,
    RecordChain,
    Relay,
)


def take_peer_message(
    tables: BalancerTables, now: float, message: PeerMessage, outbox: Outbox
) -> None:
    """Act on a message from another balancer."""
    match message:
        case Relay(packet=packet, hops=hops):
            if isinstance(packet, CallerPacket):
                take_caller_packet(tables, now, packet, outbox, hops)
        case RecordChain():
            take_chain(tables, message, outbox)
        case FlowClosed(flow=flow):
            forget_flow(tables, flow)
        case BackendShared(backend=backend):
            take_announcement(tables, now, backend)
        case BackendDigest():
            take_digest(tables, now, message, outbox)
        case BackendsAsked():
            answer_asked(tables, message, outbox)


def tick(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Do the work that time asks for."""
    expire_requests(tables, now)
    tick_backends(tables, now, outbox)
