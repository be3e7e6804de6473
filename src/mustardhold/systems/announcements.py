"""Announcements that backend servers send to any balancer."""

from mustardhold.systems.capacity import update_allowance
from mustardhold.systems.joining import other_group_members
from mustardhold.systems.slow_start import detect_cold_start
from mustardhold.tables.backends import BackendServer, KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    ANNOUNCEMENT_LIFETIME,
    MAX_BACKEND_SERVERS,
)
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import BackendAnnouncement

LOAD_SMOOTHING = 0.2


def is_newer(
    announced: BackendServer, known: KnownBackend | None, now: float
) -> bool:
    """Return whether an announcement is newer than the known one.

    A server without an announcement for ``ANNOUNCEMENT_LIFETIME`` may have
    lost its incarnation counter, so any announcement then counts as newer.
    """
    if known is None:
        return True
    if now - known.received_at > ANNOUNCEMENT_LIFETIME.total_seconds():
        return True
    before = known.announced
    return (announced.incarnation, announced.sequence) > (
        before.incarnation,
        before.sequence,
    )


def is_significant_change(
    announced: BackendServer, known: KnownBackend | None
) -> bool:
    """Return whether a change must be shared with the group immediately."""
    if known is None:
        return True
    before = known.announced
    return (announced.incarnation, announced.state) != (
        before.incarnation,
        before.state,
    )


def store_announcement(
    tables: BalancerTables,
    now: float,
    announced: BackendServer,
    age: float = 0,
) -> bool:
    """Store an announcement unless it is outdated or the table is full.

    Parameters
    ----------
    age
        Time since it arrived at the first balancer, in seconds.

    Returns
    -------
    bool
        Whether it was stored.
    """
    known = tables.backends_by_id.get(announced.backend_id)
    if not is_newer(announced, known, now):
        tables.counters[announced.pool, 'announcement-old'] += 1
        return False
    if known is None:
        if not ensure_space(tables):
            tables.counters[announced.pool, 'announcement-table-full'] += 1
            return False
        known = KnownBackend(announced, now - age, load=announced.load)
        known.known_since = now
        known.is_local = has_balancer_in_data_centre(tables, announced)
        tables.backends_by_id[announced.backend_id] = known
    detect_cold_start(known, announced, now)
    known.announced = announced
    known.received_at = now - age
    known.is_unresponsive = False
    known.load += LOAD_SMOOTHING * (announced.load - known.load)
    update_allowance(tables, now, known)
    return True


def has_balancer_in_data_centre(
    tables: BalancerTables, announced: BackendServer
) -> bool:
    """Return whether a balancer of the view is in a server's data centre."""
    return any(
        member.data_centre == announced.data_centre
        for member in tables.view.members_by_id.values()
    )


def ensure_space(tables: BalancerTables) -> bool:
    """Remove an unresponsive, unused server if the table is full.

    Returns
    -------
    bool
        Whether there is space for another server.
    """
    if len(tables.backends_by_id) < MAX_BACKEND_SERVERS:
        return True
    used = {record.backend_id for record in tables.flows_by_key.values()}
    unused = (
        backend_id
        for backend_id, known in tables.backends_by_id.items()
        if known.is_unresponsive and backend_id not in used
    )
    backend_id = next(unused, None)
    if backend_id is None:
        return False
    tables.backends_by_id.pop(backend_id)
    return True


def handle_announcement(
    tables: BalancerTables,
    now: float,
    announced: BackendServer,
    outbox: Outbox,
) -> None:
    """Store an announcement from a server; share a significant change."""
    known = tables.backends_by_id.get(announced.backend_id)
    is_significant = is_significant_change(announced, known)
    if not store_announcement(tables, now, announced):
        return
    tables.backends_by_id[announced.backend_id].is_digest_due = True
    if is_significant:
        share_announcement(tables, announced, outbox)


def share_announcement(
    tables: BalancerTables, announced: BackendServer, outbox: Outbox
) -> None:
    """Send an announcement to the other balancers of the group."""
    outbox.extend(
        ToPeer(instance_id, BackendAnnouncement(announced))
        for instance_id in other_group_members(tables)
    )
