"""Naive balancers, for comparison, that place flows without coordination."""

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


def eligible_servers_of(
    tables: BalancerTables, flow: bytes
) -> list[KnownBackend]:
    """Return the servers eligible for a flow, ordered by id."""
    service = service_of(tables, flow)
    pool = tables.routing.pools_by_name.get(service or '')
    if pool is None:
        return []
    return sorted(
        eligible_servers(tables, pool),
        key=lambda known: known.announced.backend_id,
    )


def forward_packet(
    packet: CallerPacket, chosen: KnownBackend | None, outbox: Outbox
) -> None:
    """Forward a packet to a server, or refuse it if there is none."""
    if chosen is None:
        outbox.append(ToCaller(OpenRefused(packet.flow, 'no-capacity')))
    else:
        outbox.append(ToBackend(chosen.announced.address, packet))


def place_by_hash(
    tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Choose a server by the flow's hash modulo the number of servers."""
    servers = eligible_servers_of(tables, packet.flow)
    flow_hash = xxhash.xxh3_64_intdigest(packet.flow)
    chosen = servers[flow_hash % len(servers)] if servers else None
    forward_packet(packet, chosen, outbox)


def place_by_flow_table(
    tables: BalancerTables, now: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Look the flow up in a local flow table; choose by hash on a miss."""
    record = tables.flows_by_key.get(packet.flow)
    known = tables.backends_by_id.get(record.backend_id) if record else None
    if known is None:
        servers = eligible_servers_of(tables, packet.flow)
        flow_hash = xxhash.xxh3_64_intdigest(packet.flow)
        known = servers[flow_hash % len(servers)] if servers else None
    if known is not None:
        backend_id = known.announced.backend_id
        tables.flows_by_key[packet.flow] = FlowRecord(
            '', backend_id, is_primary=True
        )
    if isinstance(packet, Close):
        tables.flows_by_key.pop(packet.flow, None)
    forward_packet(packet, known, outbox)


def make_round_robin() -> Logic:
    """Make balancers with local flow tables that place flows round robin."""
    turns = itertools.count()

    def place_by_turns(
        tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
    ) -> None:
        record = tables.flows_by_key.get(packet.flow)
        known = tables.backends_by_id.get(record.backend_id) if record else None
        servers = eligible_servers_of(tables, packet.flow)
        if known is None and servers:
            known = servers[next(turns) % len(servers)]
            backend_id = known.announced.backend_id
            tables.flows_by_key[packet.flow] = FlowRecord(
                '', backend_id, is_primary=True
            )
        forward_packet(packet, known, outbox)

    return Logic(
        place_by_turns,
        forward_backend_packet,
        handle_backend_message,
        tick_backends,
    )


def place_by_reports(
    tables: BalancerTables, _: float, packet: CallerPacket, outbox: Outbox
) -> None:
    """Place a new flow on the server with the fewest reported connections."""
    record = tables.flows_by_key.get(packet.flow)
    known = tables.backends_by_id.get(record.backend_id) if record else None
    if known is None:
        servers = [
            server
            for server in eligible_servers_of(tables, packet.flow)
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
    forward_packet(packet, known, outbox)


def forward_backend_packet(
    _: BalancerTables, now: float, packet: BackendPacket, outbox: Outbox
) -> None:
    """Forward a server's packet to its caller."""
    outbox.append(ToCaller(packet))


def handle_backend_message(
    tables: BalancerTables, now: float, message: PeerMessage, outbox: Outbox
) -> None:
    """Handle messages about backend servers; ignore all others."""
    if isinstance(message, BackendAnnouncement | BackendDigest | BackendQuery):
        handle_peer_message(tables, now, message, outbox)


MODULO_HASH = Logic(
    place_by_hash, forward_backend_packet, handle_backend_message, tick_backends
)
LOCAL_FLOW_TABLE = Logic(
    place_by_flow_table,
    forward_backend_packet,
    handle_backend_message,
    tick_backends,
)
LEAST_REPORTED_CONNECTIONS = Logic(
    place_by_reports,
    forward_backend_packet,
    handle_backend_message,
    tick_backends,
)
