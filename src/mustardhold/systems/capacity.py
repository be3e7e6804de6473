"""Limits how many flows a balancer may place on a backend server.

Each balancer uses at most a fixed fraction of its equal share of the
connections that an announcement leaves free, and a smaller fraction of an
older announcement. So the balancers together never place more flows than
there are free connections, although they act on different announcements; see
``docs/design/balance.md``.
"""

from mustardhold.tables.backends import KnownBackend, PlacedFlows
from mustardhold.tables.balancer import BalancerTables

FRESH_REPORT_SECONDS = 1.5
FRESH_FRACTION = 1 / 2
STALE_FRACTION = 1 / 8
IN_FLIGHT_SECONDS = 0.25


def flows_held_by_group(tables: BalancerTables, server: KnownBackend) -> int:
    """Count the flows that the members of the view hold on a server."""
    members = tables.view.members_by_id
    return server.held_flows + sum(
        held
        for member, held in server.held_by_member.items()
        if member in members
    )


def placed_since_report(server: KnownBackend) -> int:
    """Count local placements that the announcement may not include."""
    return server.placed_in_tick + sum(placed.flows for placed in server.placed)


def connections_at_report(tables: BalancerTables, server: KnownBackend) -> int:
    """Estimate a server's connections, without those placed here since.

    If the report has fewer connections than the balancers hold flows on the
    server, their number is used instead.
    """
    held = flows_held_by_group(tables, server) - placed_since_report(server)
    return max(server.announced.connections, held)


def update_allowance(
    tables: BalancerTables, now: float, server: KnownBackend
) -> None:
    """Recompute how many flows this balancer may place on a server."""
    counted_until = server.received_at - IN_FLIGHT_SECONDS
    server.placed = [
        placed for placed in server.placed if placed.until > counted_until
    ]
    server.connections = connections_at_report(tables, server)
    free = max(server.announced.connection_limit - server.connections, 0)
    is_fresh = now - server.received_at <= FRESH_REPORT_SECONDS
    fraction = FRESH_FRACTION if is_fresh else STALE_FRACTION
    share = int(free * fraction / max(len(tables.view.members_by_id), 1))
    server.placed_since = placed_since_report(server)
    server.allowance = share - server.placed_since


def count_placed_flow(server: KnownBackend) -> None:
    """Count a flow that this balancer placed on a server."""
    server.placed_in_tick += 1
    server.placed_since += 1
    server.allowance -= 1
    server.unanswered_opens += 1


def record_placed_flows(
    tables: BalancerTables, now: float, server: KnownBackend
) -> None:
    """Record the flows placed since the last tick; update the allowance."""
    if server.placed_in_tick:
        server.placed = [
            *server.placed,
            PlacedFlows(now, server.placed_in_tick),
        ]
        server.placed_in_tick = 0
    update_allowance(tables, now, server)
