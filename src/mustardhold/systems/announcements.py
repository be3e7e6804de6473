"""Backend servers that announce themselves to any balancer."""

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
    """Tell whether an announcement is later than the one that is known.

    A server that was silent may have lost its count of incarnations, so then
    any announcement counts as later.
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


def is_material(announced: BackendServer, known: KnownBackend | None) -> bool:
    """Tell whether the other balancers have to learn of a change at once."""
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
    """Store an announcement unless it is old.

    Parameters
    ----------
    age
        Time since it arrived at the first balancer, in seconds.

    Returns
    -------
    bool
        Whether it was newer than what was known.
    """
    known = tables.backends_by_id.get(announced.backend_id)
    if not is_newer(announced, known, now):
        tables.counters[announced.pool, 'announcement-old'] += 1
        return False
    if known is None:
        if not make_space(tables):
            tables.counters[announced.pool, 'announcement-table-full'] += 1
            return False
        known = KnownBackend(announced, now - age, load=announced.load)
        known.known_since = now
        known.is_local = is_near(tables, announced)
        tables.backends_by_id[announced.backend_id] = known
    detect_cold_start(known, announced, now)
    known.announced = announced
    known.received_at = now - age
    known.is_unresponsive = False
    known.load += LOAD_SMOOTHING * (announced.load - known.load)
    update_allowance(tables, now, known)
    return True


def is_near(tables: BalancerTables, announced: BackendServer) -> bool:
    """Tell whether a server's data centre holds a balancer of the view."""
    return any(
        member.data_centre == announced.data_centre
        for member in tables.view.members_by_id.values()
    )


def make_space(tables: BalancerTables) -> bool:
    """Keep the table within its limit; a silent, unused server goes first."""
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
    """Store a server's own announcement; share a change of state at once."""
    known = tables.backends_by_id.get(announced.backend_id)
    material = is_material(announced, known)
    if not store_announcement(tables, now, announced):
        return
    tables.backends_by_id[announced.backend_id].is_digest_due = True
    if material:
        share_announcement(tables, announced, outbox)


def share_announcement(
    tables: BalancerTables, announced: BackendServer, outbox: Outbox
) -> None:
    """Pass an announcement to the other balancers of the group."""
    outbox.extend(
        ToPeer(instance_id, BackendAnnouncement(announced))
        for instance_id in other_group_members(tables)
    )
