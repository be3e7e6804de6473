"""Decides where a caller's packet goes, without any state for its flow."""

import math
from collections.abc import Sequence

import xxhash

from mustardhold.systems.directory import newest_live_incarnation, owns_token
from mustardhold.systems.outlier_avoidance import (
    blame_unanswered,
    is_avoided,
    note_answer,
    note_opening,
)
from mustardhold.tables.configurations import Configuration, ServiceRoute
from mustardhold.tables.constants import (
    COLD_WEIGHT,
    FEED_FRESH_PERIOD,
    SERVERS_PER_OPENING,
    UNRESPONSIVE_AFTER_INTERVALS,
)
from mustardhold.tables.directory import KnownServer, ServerState
from mustardhold.tables.forwarding import (
    CallerPacket,
    Decision,
    Drop,
    DropCause,
    Forward,
    ForwardingTables,
    Hold,
    RecentOpening,
    Reset,
)

HASH_RANGE = 2**64
# Apart from the hash that orders the servers.
NEAR_SEED = 1


def decide_packet(
    tables: ForwardingTables, now: float, packet: CallerPacket
) -> Decision:
    """Decide where a packet goes."""
    configuration = tables.configuration
    if configuration is None or not has_servers(tables):
        return Hold()
    route = configuration.routes_by_address.get(packet.service_address)
    if packet.is_opening:
        return decide_opening(tables, now, packet, route)
    if route is None:
        return decide_routeless(tables, packet)
    return decide_by_token(tables, now, packet)


def decide_routeless(
    tables: ForwardingTables, packet: CallerPacket
) -> Decision:
    """End a flow whose route was removed; leave others alone."""
    if packet.service_address in tables.removed_addresses:
        return end_flow(packet, DropCause.NO_ROUTE)
    return Drop(DropCause.NO_ROUTE)


def end_flow(packet: CallerPacket, cause: DropCause) -> Decision:
    """Reset a flow, unless its caller has done so."""
    return Drop(cause) if packet.is_reset else Reset(cause)


def decide_by_token(
    tables: ForwardingTables, now: float, packet: CallerPacket
) -> Decision:
    """Pass a packet on to the server that its token names."""
    if packet.token == 0:
        return Drop(DropCause.NO_TOKEN)
    known = tables.directory.servers_by_token.get(packet.token)
    if known is None:
        return Drop(DropCause.UNKNOWN_TOKEN)
    holder = newest_live_incarnation(tables.directory, known)
    if holder is None:
        return end_flow(packet, DropCause.FLOW_ENDED)
    note_answer(tables, now, packet.flow, known)
    return Forward((holder,), holder.report.service)


def decide_opening(
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    route: ServiceRoute | None,
) -> Decision:
    """Choose the servers that a flow may open at.

    It opens at the one whose answer its caller takes up. Copies of an
    opening, which mean that no answer came, go to the next choices.
    """
    if route is None:
        return refuse_opening(tables, now)
    flow = packet.flow
    blame_unanswered(tables, now, flow, packet.attempt)
    service = choose_service(route, flow)
    answering, avoided = order_servers(tables, now, service, flow)
    # A server that refuses would end the opening at once for the other too.
    servers = answering + avoided if packet.attempt else answering or avoided
    if not servers:
        return Drop(DropCause.NO_SERVER)
    first = packet.attempt * SERVERS_PER_OPENING
    count = min(SERVERS_PER_OPENING, len(servers))
    chosen = tuple(
        servers[(first + one) % len(servers)] for one in range(count)
    )
    tokens = tuple(known.token for known in chosen)
    opening = RecentOpening(now, now, packet.attempt, tokens, route.kind)
    note_opening(tables, flow, opening)
    return Forward(chosen, service)


def refuse_opening(tables: ForwardingTables, now: float) -> Decision:
    """Refuse an opening to no route, unless a route may be news to come."""
    if now - tables.last_feed_at < FEED_FRESH_PERIOD.total_seconds():
        return Reset(DropCause.NO_ROUTE)
    return Drop(DropCause.NO_ROUTE)


def choose_service(route: ServiceRoute, flow: bytes) -> str:
    """Choose a service by the weights of a route and the flow."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(flow) / HASH_RANGE * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


def order_servers(
    tables: ForwardingTables, now: float, service: str, flow: bytes
) -> tuple[list[KnownServer], list[KnownServer]]:
    """Order a service's servers by a weighted rendezvous hash of the flow.

    The first of the own data centre comes before all others, so that a cut
    between data centres costs few flows, as far as that is a fair share.
    Those whose reports ceased are there only where there is no other.

    Returns
    -------
    tuple
        The servers that answer, and those that lately did not.
    """
    servers = servers_of(tables, service)
    heard = [known for known in servers if not is_silent(tables, now, known)]
    ordered = sorted(
        heard or servers, key=lambda known: distance(now, known, flow)
    )
    answering: list[KnownServer] = []
    avoided: list[KnownServer] = []
    for known in ordered:
        is_last = is_avoided(tables, now, known)
        (avoided if is_last else answering).append(known)
    near = [
        known
        for known in answering
        if known.report.data_centre == tables.data_centre
    ]
    if near and is_near_fair(tables, now, flow, near, ordered):
        answering.remove(near[0])
        answering.insert(0, near[0])
    return answering, avoided


def is_near_fair(
    tables: ForwardingTables,
    now: float,
    flow: bytes,
    near: Sequence[KnownServer],
    servers: Sequence[KnownServer],
) -> bool:
    """Tell whether a flow is of the share that the own data centre can bear.

    Each data centre is taken to have as many callers as any other. Where it
    has fewer servers, the flows beyond its share go anywhere.
    """
    centres = {known.report.data_centre for known in servers}
    centres.add(tables.data_centre)
    weight = sum(weight_of(known, now) for known in near)
    total = sum(weight_of(known, now) for known in servers)
    point = xxhash.xxh3_64_intdigest(flow, seed=NEAR_SEED) / HASH_RANGE
    return point * total < weight * len(centres)


def distance(now: float, known: KnownServer, flow: bytes) -> float:
    """Draw a server's exponential distance; twice the weight halves it."""
    key = flow + known.token.to_bytes(4, 'big')
    drawn = (xxhash.xxh3_64_intdigest(key) + 1) / HASH_RANGE
    return -math.log(drawn) / weight_of(known, now)


def weight_of(known: KnownServer, now: float) -> float:
    """Return a server's share of new flows, relative to the others."""
    if now < known.slow_until:
        return known.report.slots * COLD_WEIGHT
    return known.report.slots


def is_silent(tables: ForwardingTables, now: float, known: KnownServer) -> bool:
    """Tell whether a server has missed reports that would have come through.

    While no control instance tells anything, no server counts as silent.
    """
    allowed = (
        tables.report_interval.total_seconds() * UNRESPONSIVE_AFTER_INTERVALS
    )
    return min(now, tables.last_feed_at) - known.received_at > allowed


def servers_of(tables: ForwardingTables, service: str) -> list[KnownServer]:
    """Return a service's servers that may get new flows."""
    directory, index = tables.directory, tables.index
    if index.revision != directory.urgent_revision:
        index.revision = directory.urgent_revision
        index.servers_by_service = {}
        for known in directory.servers_by_id.values():
            is_ready = known.report.state is ServerState.READY
            if is_ready and owns_token(directory, known):
                index.servers_by_service.setdefault(
                    known.report.service, []
                ).append(known)
    return index.servers_by_service.get(service, [])


def install_configuration(
    tables: ForwardingTables, configuration: Configuration
) -> bool:
    """Put a newer configuration in force.

    Returns
    -------
    bool
        Whether it was newer.
    """
    before = tables.configuration
    if before is not None:
        if configuration.version <= before.version:
            return False
        tables.removed_addresses.update(before.routes_by_address)
    tables.removed_addresses.difference_update(configuration.routes_by_address)
    tables.configuration = configuration
    return True


def configuration_version(tables: ForwardingTables) -> int:
    """Return the version in force; 0 before the first."""
    configuration: Configuration | None = tables.configuration
    return 0 if configuration is None else configuration.version


def is_ready(tables: ForwardingTables) -> bool:
    """Tell whether the balancer can place flows of its routes."""
    if tables.is_stopping or tables.configuration is None:
        return False
    return has_servers(tables)


def has_servers(tables: ForwardingTables) -> bool:
    """Tell whether any server is known."""
    return bool(tables.directory.servers_by_id)
