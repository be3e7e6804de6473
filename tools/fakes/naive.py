"""Naive balancers, for comparison: each decides for itself."""

import itertools

import xxhash

from mustardhold.systems.digests import tick_backends
from mustardhold.systems.peers import handle_peer_message
from mustardhold.systems.routing import eligible_servers, service_of
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.outbox import Outbox, ToBackend, ToCaller
from mustardhold.tables.packets import (
    BackendPacket,
    CallerPacket,
    Close,
    Open,
    OpenRefused,
)
from mustardhold.tables.peers import (
    BackendAnnouncement,
    BackendDigest,
    BackendQuery,
    PeerMessage,
)
from tools.fakes.fleet import Logic


def servers_for(tables: BalancerTables, flow: bytes) -> list[KnownBackend]:
    """List the servers that may serve a flow, ordered by id."""
    service = service_of(tables, flow)
    pool = tables.routing.pools_by_name.get(service or '')
    if pool is None:
        return []
    return sorted(
        eligible_servers(tables, pool),
        key=lambda known: known.announced.backend_id,
    )


def send_on(
    packet: CallerPacket, chosen: KnownBackend | None, outbox: Outbox
) -> None:
    """Send a packet to a server, or refuse it where there is none."""
    if chosen is None:
        outbox.append(ToCaller(OpenRefused(packet.flow, 'no-capacity')))
    else:
        outbox.append(ToBackend(chosen.announced.address, packet))


def hash_caller_packet(
    tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Choose by the hash of the flow, modulo the number of servers."""
    servers = servers_for(tables, packet.flow)
    number = xxhash.xxh3_64_intdigest(packet.flow)
    chosen = servers[number % len(servers)] if servers else None
    send_on(packet, chosen, outbox)


def table_caller_packet(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Keep a flow table in each balancer; choose by hash on a miss."""
    record = tables.flows_by_key.get(packet.flow)
    known = tables.backends_by_id.get(record.backend_id) if record else None
    if known is None:
        servers = servers_for(tables, packet.flow)
        number = xxhash.xxh3_64_intdigest(packet.flow)
        known = servers[number % len(servers)] if servers else None
    if known is not None:
        backend_id = known.announced.backend_id
        tables.flows_by_key[packet.flow] = FlowRecord(
            '', backend_id, is_primary=True
        )
    if isinstance(packet, Close):
        tables.flows_by_key.pop(packet.flow, None)
    send_on(packet, known, outbox)


def make_round_robin() -> Logic:
    """Make balancers that place by turns and keep a table each."""
    turns = itertools.count()

    def take(
        tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
    ) -> None:
        record = tables.flows_by_key.get(packet.flow)
        known = tables.backends_by_id.get(record.backend_id) if record else None
        servers = servers_for(tables, packet.flow)
        if known is None and servers:
            known = servers[next(turns) % len(servers)]
            backend_id = known.announced.backend_id
            tables.flows_by_key[packet.flow] = FlowRecord(
                '', backend_id, is_primary=True
            )
        send_on(packet, known, outbox)

    return Logic(take, pass_backend_packet, take_shared, tick_backends)


def report_caller_packet(
    tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Believe the reports: place where the fewest connections are reported."""
    record = tables.flows_by_key.get(packet.flow)
    known = tables.backends_by_id.get(record.backend_id) if record else None
    if known is None:
        servers = [
            server
            for server in servers_for(tables, packet.flow)
            if server.announced.connections < server.announced.connection_limit
        ]
        known = min(
            servers,
            key=lambda server: server.announced.connections,
            default=None,
        )
    if known is not None and isinstance(packet, Open):
        backend_id = known.announced.backend_id
        tables.flows_by_key[packet.flow] = FlowRecord(
            '', backend_id, is_primary=True
        )
    send_on(packet, known, outbox)


def pass_backend_packet(
    _: BalancerTables, now: float, packet: BackendPacket, outbox: Outbox
) -> None:
    """Pass a server's packet to its caller."""
    outbox.append(ToCaller(packet))


def take_shared(
    tables: BalancerTables, now: float, message: PeerMessage, outbox: Outbox
) -> None:
    """Learn of servers from other balancers; ignore the rest."""
    if isinstance(message, BackendAnnouncement | BackendDigest | BackendQuery):
        handle_peer_message(tables, now, message, outbox)


MODULO_HASH = Logic(
    hash_caller_packet, pass_backend_packet, take_shared, tick_backends
)
LOCAL_FLOW_TABLE = Logic(
    table_caller_packet, pass_backend_packet, take_shared, tick_backends
)
LEAST_REPORTED_CONNECTIONS = Logic(
    report_caller_packet, pass_backend_packet, take_shared, tick_backends
)
