"""How many flows a balancer may place on a backend server by itself.

Each balancer uses at most a fixed part of its equal share of the places that
an announcement leaves free, and a smaller part of an older announcement. So
the balancers together never place more than what is free, although they act
on different announcements; see ``docs/design/balance.md``.
"""

from mustardhold.tables.backends import KnownBackend, PlacedFlows
from mustardhold.tables.balancer import BalancerTables

FRESH_SECONDS = 1.5
FRESH_PART = 1 / 2
STALE_PART = 1 / 8
IN_FLIGHT_SECONDS = 0.25


def held_by_group(tables: BalancerTables, known: KnownBackend) -> int:
    """Count the flows that all balancers are known to hold on a server."""
    members = tables.view.members_by_id
    return known.held_flows + sum(
        held
        for member, held in known.held_by_member.items()
        if member in members
    )


def placed_since_report(known: KnownBackend) -> int:
    """Count the flows placed here that the announcement may not count."""
    return known.placed_in_tick + sum(placed.flows for placed in known.placed)


def connections_at_report(tables: BalancerTables, known: KnownBackend) -> int:
    """Estimate a server's flows without those placed here since its report.

    A report that is too low is outweighed by what the balancers hold.
    """
    held = held_by_group(tables, known) - placed_since_report(known)
    return max(known.announced.connections, held)


def update_allowance(
    tables: BalancerTables, now: float, known: KnownBackend
) -> None:
    """Renew the number of flows that may be placed on a server."""
    counted_until = known.received_at - IN_FLIGHT_SECONDS
    known.placed = [
        placed for placed in known.placed if placed.until > counted_until
    ]
    known.connections = connections_at_report(tables, known)
    free = max(known.announced.connection_limit - known.connections, 0)
    is_fresh = now - known.received_at <= FRESH_SECONDS
    part = FRESH_PART if is_fresh else STALE_PART
    share = int(free * part / max(len(tables.view.members_by_id), 1))
    known.placed_since = placed_since_report(known)
    known.allowance = share - known.placed_since


def note_placed(known: KnownBackend) -> None:
    """Count a flow that was placed on a server."""
    known.placed_in_tick += 1
    known.placed_since += 1
    known.allowance -= 1
    known.unanswered_opens += 1


def record_placed_flows(
    tables: BalancerTables, now: float, known: KnownBackend
) -> None:
    """Date the flows that were placed since the latest tick."""
    if known.placed_in_tick:
        known.placed = [*known.placed, PlacedFlows(now, known.placed_in_tick)]
        known.placed_in_tick = 0
    update_allowance(tables, now, known)
