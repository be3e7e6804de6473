"""Digests of backend servers, which balancers exchange twice a second."""

import msgspec

from mustardhold.systems.announcements import (
    has_balancer_in_data_centre,
    store_announcement,
)
from mustardhold.systems.capacity import record_placed_flows
from mustardhold.systems.health import (
    decay_penalty,
    evaluate_servers,
    forget_backends,
    update_closed_since,
)
from mustardhold.systems.joining import other_group_members
from mustardhold.systems.slow_start import update_open_share
from mustardhold.tables.backends import (
    BackendRow,
    BackendServer,
    KnownBackend,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import DIGEST_INTERVAL
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.peers import (
    BackendAnnouncement,
    BackendDigest,
    BackendQuery,
)

FULL_DIGEST_EVERY = 8
HELD_CHANGE_DIVISOR = 50
MS_PER_SECOND = 1000
PERCENT = 100
MAX_DIGEST_ROWS = 24


def tick_backends(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Evaluate the servers, and send a digest to the group when it is due."""
    evaluate_servers(tables, now)
    for known in tables.backends_by_id.values():
        update_closed_since(tables, now, known)
        known.is_local = has_balancer_in_data_centre(tables, known.announced)
        update_open_share(known, now)
        decay_penalty(known)
        record_placed_flows(tables, now, known)
    forget_backends(tables, now)
    if now >= tables.next_digest_at:
        tables.next_digest_at = now + DIGEST_INTERVAL.total_seconds()
        send_digest(tables, now, outbox)


def send_digest(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send what changed since the last digest to the other balancers.

    Every ``FULL_DIGEST_EVERY``-th digest has the held flows of all servers.
    """
    tables.digests_sent += 1
    is_full = tables.digests_sent % FULL_DIGEST_EVERY == 0
    due = sorted(
        (
            known
            for known in tables.backends_by_id.values()
            if known.is_digest_due
        ),
        key=lambda known: known.received_at,
    )[:MAX_DIGEST_ROWS]
    held_by_id = {
        known.announced.backend_id: known.held_flows
        for known in tables.backends_by_id.values()
        if has_held_flows_changed(known) or (is_full and known.held_flows)
    }
    if not due and not held_by_id:
        return
    rows = tuple(make_row(known, now) for known in due)
    for known in due:
        known.is_digest_due = False
    for backend_id, held in held_by_id.items():
        tables.backends_by_id[backend_id].reported_held_flows = held
    digest = BackendDigest(tables.instance_id, rows, held_by_id)
    outbox.extend(
        ToPeer(instance_id, digest)
        for instance_id in other_group_members(tables)
    )


def has_held_flows_changed(known: KnownBackend) -> bool:
    """Return whether the number of held flows changed enough to be sent.

    The threshold is the last reported number divided by
    ``HELD_CHANGE_DIVISOR``, but at least one flow.
    """
    step = max(known.reported_held_flows // HELD_CHANGE_DIVISOR, 1)
    return abs(known.held_flows - known.reported_held_flows) >= step


def make_row(known: KnownBackend, now: float) -> BackendRow:
    """Make the digest row of an announcement."""
    announced = known.announced
    return BackendRow(
        announced.backend_id,
        announced.incarnation,
        announced.sequence,
        announced.connections,
        int(announced.load * PERCENT),
        announced.state,
        int((now - known.received_at) * MS_PER_SECOND),
    )


def handle_digest(
    tables: BalancerTables, now: float, digest: BackendDigest, outbox: Outbox
) -> None:
    """Apply a digest, and query its sender for announcements missing here."""
    unknown = []
    for row in digest.rows:
        known = tables.backends_by_id.get(row.backend_id)
        if known is None or known.announced.incarnation < row.incarnation:
            unknown.append(row.backend_id)
            continue
        announced = apply_row(known.announced, row)
        store_announcement(tables, now, announced, row.age_ms / MS_PER_SECOND)
    for backend_id, held in digest.held_by_id.items():
        holding = tables.backends_by_id.get(backend_id)
        if holding is not None:
            holding.held_by_member[digest.sender_id] = held
    if unknown:
        query = BackendQuery(tables.instance_id, tuple(unknown))
        outbox.append(ToPeer(digest.sender_id, query))


def apply_row(announced: BackendServer, row: BackendRow) -> BackendServer:
    """Update an announcement by a row of a digest."""
    return msgspec.structs.replace(
        announced,
        incarnation=row.incarnation,
        sequence=row.sequence,
        connections=row.connections,
        load=row.load / PERCENT,
        state=row.state,
    )


def handle_backend_query(
    tables: BalancerTables, query: BackendQuery, outbox: Outbox
) -> None:
    """Send the complete announcements that another balancer lacks."""
    for backend_id in query.backend_ids:
        known = tables.backends_by_id.get(backend_id)
        if known is not None:
            announcement = BackendAnnouncement(known.announced)
            outbox.append(ToPeer(query.sender_id, announcement))
