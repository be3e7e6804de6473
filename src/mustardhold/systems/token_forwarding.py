"""Decides where to send each caller packet, without any per-flow state."""

import xxhash

from mustardhold.systems.answer_tracking import track_packet
from mustardhold.systems.directory import newest_live_incarnation
from mustardhold.systems.opening_admission import is_opening_refused
from mustardhold.systems.opening_hedges import count_hedged_opening
from mustardhold.systems.outlier_avoidance import (
    count_unanswered,
    record_answer,
    record_opening,
)
from mustardhold.systems.server_choice import choose_servers
from mustardhold.tables.configurations import Configuration, ServiceRoute
from mustardhold.tables.constants import FEED_FRESH_PERIOD
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


def decide_packet(
    tables: ForwardingTables, now: float, packet: CallerPacket
) -> Decision:
    """Decide whether to forward, reset, drop or hold a packet."""
    configuration = tables.configuration
    if configuration is None or not has_servers(tables):
        return Hold()
    route = configuration.routes_by_address.get(packet.service_address)
    if packet.is_opening:
        return decide_opening(tables, now, packet, route)
    if route is None:
        return decide_without_route(tables, packet)
    return decide_by_token(tables, now, packet, route)


def decide_without_route(
    tables: ForwardingTables, packet: CallerPacket
) -> Decision:
    """Reset a flow whose route was removed; drop packets of other flows."""
    if packet.service_address in tables.removed_addresses:
        return reset_or_drop(packet, DropCause.NO_ROUTE)
    return Drop(DropCause.NO_ROUTE)


def reset_or_drop(packet: CallerPacket, cause: DropCause) -> Decision:
    """Reset a flow, or drop the packet if it is itself a reset."""
    return Drop(cause) if packet.is_reset else Reset(cause)


def decide_by_token(
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    route: ServiceRoute,
) -> Decision:
    """Forward a packet to the server that its token identifies.

    If that server has restarted, the packet goes to the new incarnation, which
    may hold the flow; if it has certainly ended, the flow is reset.
    """
    if packet.token == 0:
        return Drop(DropCause.NO_TOKEN)
    server = tables.directory.servers_by_token.get(packet.token)
    if server is None:
        return Drop(DropCause.UNKNOWN_TOKEN)
    holder = newest_live_incarnation(tables.directory, server)
    if holder is None:
        return reset_or_drop(packet, DropCause.FLOW_ENDED)
    record_answer(tables, now, packet.flow, server)
    if route.target_latency:
        track_packet(tables.answers, now, packet, holder, route)
    return Forward((holder,), holder.report.service)


def decide_opening(
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    route: ServiceRoute | None,
) -> Decision:
    """Choose the servers that an opening is sent to.

    The flow opens at the server whose answer the caller accepts. A repeated
    opening means that no answer arrived, so it goes to the next servers.
    """
    if route is None:
        return refuse_opening(tables, now)
    flow = packet.flow
    count_unanswered(tables, now, flow, packet.attempt)
    service = choose_service(route, flow)
    if is_opening_refused(tables, now, packet, route, service):
        return Reset(DropCause.OVERLOADED)
    chosen = choose_servers(tables, now, service, flow, packet.attempt)
    if not chosen:
        return decide_without_server(tables, service)
    count_hedged_opening(tables, service, packet.attempt, len(chosen))
    tokens = tuple(server.token for server in chosen)
    opening = RecentOpening(now, now, packet.attempt, tokens, route.kind)
    record_opening(tables, flow, opening)
    return Forward(chosen, service)


def decide_without_server(tables: ForwardingTables, service: str) -> Decision:
    """Reset an opening of a service that is evacuated; drop any other.

    A caller repeats a dropped opening, by when the service may have a server,
    or one that is not cold.
    """
    if service in tables.index.evacuated_services:
        return Reset(DropCause.EVACUATED)
    prepared = tables.index.prepared_by_service.get(service)
    if prepared is not None and prepared.cold is not None:
        return Drop(DropCause.COLD_LIMIT)
    return Drop(DropCause.NO_SERVER)


def refuse_opening(tables: ForwardingTables, now: float) -> Decision:
    """Reset an opening without a route; drop it if the tables may be old."""
    if now - tables.last_feed_at < FEED_FRESH_PERIOD.total_seconds():
        return Reset(DropCause.NO_ROUTE)
    return Drop(DropCause.NO_ROUTE)


def choose_service(route: ServiceRoute, flow: bytes) -> str:
    """Choose a service by the route's weights and a hash of the flow."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(flow) / HASH_RANGE * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


def install_configuration(
    tables: ForwardingTables, configuration: Configuration
) -> bool:
    """Install a configuration if it is newer than the current one.

    Returns
    -------
    bool
        Whether it was installed.
    """
    previous = tables.configuration
    if previous is not None:
        if configuration.version <= previous.version:
            return False
        tables.removed_addresses.update(previous.routes_by_address)
    tables.removed_addresses.difference_update(configuration.routes_by_address)
    tables.configuration = configuration
    return True


def configuration_version(tables: ForwardingTables) -> int:
    """Return the current configuration's version, or 0 without one."""
    configuration: Configuration | None = tables.configuration
    return 0 if configuration is None else configuration.version


def is_ready(tables: ForwardingTables) -> bool:
    """Return whether the balancer can forward new flows."""
    if tables.is_stopping or tables.configuration is None:
        return False
    return has_servers(tables)


def has_servers(tables: ForwardingTables) -> bool:
    """Return whether any server is known."""
    return bool(tables.directory.servers_by_id)
