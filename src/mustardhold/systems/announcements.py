"""Backend servers that announce themselves to any balancer."""

from mustardhold.tables.backends import BackendServer, KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import ANNOUNCE_LIFETIME, MAX_BACKEND_SERVERS
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import BackendShared


def is_newer(announced: BackendServer, known: KnownBackend | None) -> bool:
    """Tell whether an announcement is later than the one that is known."""
    if known is None:
        return True
    before = known.announced
    return (announced.incarnation, announced.sequence) > (
        before.incarnation,
        before.sequence,
    )


def take_announcement(
    tables: BalancerTables, now: float, announced: BackendServer
) -> bool:
    """Store an announcement unless it is old.

    Returns
    -------
    bool
        Whether it was newer than what was known.
    """
    known = tables.backends_by_id.get(announced.backend_id)
    if not is_newer(announced, known):
        tables.counters[announced.pool, 'announcement-old'] += 1
        return False
    if known is not None:
        known.announced = announced
        known.heard_at = now
        return True
    if len(tables.backends_by_id) >= MAX_BACKEND_SERVERS:
        tables.counters[announced.pool, 'announcement-table-full'] += 1
        return False
    tables.backends_by_id[announced.backend_id] = KnownBackend(announced, now)
    return True


def share_announcement(
    tables: BalancerTables, announced: BackendServer, outbox: Outbox
) -> None:
    """Pass an announcement to the other balancers of the group."""
    for instance_id in tables.view.members_by_id:
        if instance_id != tables.instance_id:
            outbox.append(ToPeer(instance_id, BackendShared(announced)))


def take_announced(
    tables: BalancerTables,
    now: float,
    announced: BackendServer,
    outbox: Outbox,
) -> None:
    """Store a server's own announcement and share it if it is newer."""
    if take_announcement(tables, now, announced):
        share_announcement(tables, announced, outbox)


def expire_backends(tables: BalancerTables, now: float) -> None:
    """Forget servers that went silent and hold no flow placed here."""
    lifetime = ANNOUNCE_LIFETIME.total_seconds()
    silent = [
        backend_id
        for backend_id, known in tables.backends_by_id.items()
        if now - known.heard_at > lifetime
    ]
    for backend_id in silent:
        tables.backends_by_id.pop(backend_id)
