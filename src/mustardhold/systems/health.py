"""Excludes backend servers from new flows if they are unresponsive."""

import math
from collections import defaultdict

from mustardhold.systems.routing import is_eligible
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    ANNOUNCEMENT_LIFETIME,
    BACKEND_RETENTION,
)
from mustardhold.tables.packets import BackendPacket, Opened, Shed

MAX_EJECTED_FRACTION = 0.5
CONFIRMED_SILENCE_SECONDS = 10.0
UNANSWERED_OPENS_PER_MEMBER = 8
EJECTION_SECONDS = 5.0
SHED_PENALTY = 0.01
MAX_SHED_PENALTY = 0.1
PENALTY_DECAY_FACTOR = 0.98


def mark_responsive(tables: BalancerTables, packet: BackendPacket) -> None:
    """Reset a server's failure state after a packet; penalise shedding."""
    backend_id = find_sender(tables, packet)
    server = tables.backends_by_id.get(backend_id) if backend_id else None
    if server is None:
        return
    server.unanswered_opens = 0
    server.ejected_until = 0
    if isinstance(packet, Shed):
        server.shed_penalty = min(
            server.shed_penalty + SHED_PENALTY, MAX_SHED_PENALTY
        )


def find_sender(tables: BalancerTables, packet: BackendPacket) -> str | None:
    """Return the id of the server that sent a packet, if known here."""
    if isinstance(packet, Opened):
        return packet.backend_id
    record = tables.flows_by_key.get(packet.flow)
    return record.backend_id if record else None


def evaluate_servers(tables: BalancerTables, now: float) -> None:
    """Detect servers that no longer announce themselves or answer.

    At most ``MAX_EJECTED_FRACTION`` of a pool is excluded at once, except
    for servers without an announcement in ``CONFIRMED_SILENCE_SECONDS``. If
    all servers of a pool are unresponsive, the fault is probably local to this
    balancer, and all of them stay in use.
    """
    by_pool = defaultdict(list)
    for server in tables.backends_by_id.values():
        by_pool[server.announced.pool].append(server)
    for pool, pool_servers in by_pool.items():
        mark_unresponsive_servers(tables, now, pool, pool_servers)
        eject_unanswering_servers(tables, now, pool, pool_servers)


def mark_unresponsive_servers(
    tables: BalancerTables,
    now: float,
    pool: str,
    pool_servers: list[KnownBackend],
) -> None:
    """Mark servers as unresponsive whose announcements have stopped."""
    lifetime = ANNOUNCEMENT_LIFETIME.total_seconds()
    overdue = [
        server for server in pool_servers if now - server.received_at > lifetime
    ]
    if len(overdue) == len(pool_servers):
        for pool_server in pool_servers:
            pool_server.is_unresponsive = False
        tables.counters[pool, 'silence-suspected-here'] += 1
        return
    overdue.sort(key=lambda server: server.received_at)
    max_marked = int(len(pool_servers) * MAX_EJECTED_FRACTION)
    for rank, server in enumerate(overdue):
        is_confirmed = now - server.received_at > CONFIRMED_SILENCE_SECONDS
        if not server.is_unresponsive and (rank < max_marked or is_confirmed):
            server.is_unresponsive = True
            tables.counters[pool, 'backend-silent'] += 1


def eject_unanswering_servers(
    tables: BalancerTables,
    now: float,
    pool: str,
    pool_servers: list[KnownBackend],
) -> None:
    """Eject servers that announce themselves but answer no openings."""
    limit = UNANSWERED_OPENS_PER_MEMBER * len(tables.view.members_by_id)
    ejected = sum(is_ejected(server, now) for server in pool_servers)
    for server in pool_servers:
        if server.unanswered_opens < limit or is_ejected(server, now):
            continue
        if ejected >= int(len(pool_servers) * MAX_EJECTED_FRACTION):
            tables.counters[pool, 'ejection-bounded'] += 1
            return
        ejected += 1
        server.ejected_until = now + EJECTION_SECONDS
        server.unanswered_opens = limit // 2
        tables.counters[pool, 'backend-ejected'] += 1


def is_ejected(server: KnownBackend, now: float) -> bool:
    """Return whether a server is unresponsive or ejected."""
    return server.is_unresponsive or now < server.ejected_until


def update_closed_since(
    tables: BalancerTables, now: float, server: KnownBackend
) -> None:
    """Update since when a server's state or an edit denies it new flows."""
    pool = tables.routing.pools_by_name.get(server.announced.pool)
    if pool is not None and is_eligible(pool, server):
        server.closed_since = math.inf
    else:
        server.closed_since = min(server.closed_since, now)


def decay_penalty(server: KnownBackend) -> None:
    """Reduce the penalty for shed requests, once per tick."""
    server.shed_penalty *= PENALTY_DECAY_FACTOR


def forget_backends(tables: BalancerTables, now: float) -> None:
    """Remove servers long unresponsive that have no recorded flows.

    Those with recorded flows are checked again after half the retention.
    """
    retention = BACKEND_RETENTION.total_seconds()
    expired = {
        backend_id
        for backend_id, server in tables.backends_by_id.items()
        if server.is_unresponsive and now - server.received_at > retention
    }
    if not expired:
        return
    referenced = {record.backend_id for record in tables.flows_by_key.values()}
    for backend_id in expired - referenced:
        tables.backends_by_id.pop(backend_id)
    for backend_id in expired & referenced:
        tables.backends_by_id[backend_id].received_at = now - retention / 2
