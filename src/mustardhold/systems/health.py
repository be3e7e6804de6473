"""Which backend servers get no new flows for what was seen of them."""

import math
from collections import defaultdict

from mustardhold.systems.routing import is_open
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    ANNOUNCEMENT_LIFETIME,
    BACKEND_RETENTION,
)
from mustardhold.tables.packets import BackendPacket, Opened, Shed

MAX_EJECTED_PART = 0.5
CONFIRMED_SILENCE_SECONDS = 10.0
UNANSWERED_OPENS_PER_MEMBER = 8
EJECTION_SECONDS = 5.0
SHED_PENALTY = 0.01
MAX_SHED_PENALTY = 0.1
PENALTY_KEPT_PER_TICK = 0.98


def mark_responsive(tables: BalancerTables, packet: BackendPacket) -> None:
    """Take a server's packet as a sign of its health."""
    backend_id = sender_of(tables, packet)
    known = tables.backends_by_id.get(backend_id) if backend_id else None
    if known is None:
        return
    known.unanswered_opens = 0
    known.ejected_until = 0
    if isinstance(packet, Shed):
        known.shed_penalty = min(
            known.shed_penalty + SHED_PENALTY, MAX_SHED_PENALTY
        )


def sender_of(tables: BalancerTables, packet: BackendPacket) -> str | None:
    """Find which server sent a packet, where that is known here."""
    if isinstance(packet, Opened):
        return packet.backend_id
    record = tables.flows_by_key.get(packet.flow)
    return record.backend_id if record else None


def evaluate_servers(tables: BalancerTables, now: float) -> None:
    """Find the servers that ceased to announce themselves or to answer.

    At most a part of a pool is judged so at once. Where all of a pool went
    silent, this balancer suspects itself and keeps the last known.
    """
    by_pool = defaultdict(list)
    for known in tables.backends_by_id.values():
        by_pool[known.announced.pool].append(known)
    for pool, members in by_pool.items():
        judge_silence(tables, now, pool, members)
        judge_answers(tables, now, pool, members)


def judge_silence(
    tables: BalancerTables, now: float, pool: str, members: list[KnownBackend]
) -> None:
    """Mark the servers that ceased to announce themselves."""
    lifetime = ANNOUNCEMENT_LIFETIME.total_seconds()
    silent = [known for known in members if now - known.received_at > lifetime]
    if len(silent) == len(members):
        for last_known in members:
            last_known.is_unresponsive = False
        tables.counters[pool, 'silence-suspected-here'] += 1
        return
    silent.sort(key=lambda known: known.received_at)
    bound = int(len(members) * MAX_EJECTED_PART)
    for number, known in enumerate(silent):
        confirmed = now - known.received_at > CONFIRMED_SILENCE_SECONDS
        if not known.is_unresponsive and (number < bound or confirmed):
            known.is_unresponsive = True
            tables.counters[pool, 'backend-silent'] += 1


def judge_answers(
    tables: BalancerTables, now: float, pool: str, members: list[KnownBackend]
) -> None:
    """Eject servers that announce themselves but answer no opening."""
    limit = UNANSWERED_OPENS_PER_MEMBER * len(tables.view.members_by_id)
    ejected = sum(is_ejected(known, now) for known in members)
    for known in members:
        if known.unanswered_opens < limit or is_ejected(known, now):
            continue
        if ejected >= int(len(members) * MAX_EJECTED_PART):
            tables.counters[pool, 'ejection-bounded'] += 1
            return
        ejected += 1
        known.ejected_until = now + EJECTION_SECONDS
        known.unanswered_opens = limit // 2
        tables.counters[pool, 'backend-ejected'] += 1


def is_ejected(known: KnownBackend, now: float) -> bool:
    """Tell whether a server gets no new flows for now."""
    return known.is_unresponsive or now < known.ejected_until


def update_closed_since(
    tables: BalancerTables, now: float, known: KnownBackend
) -> None:
    """Keep since when a server gets no new flows for its state or an edit."""
    pool = tables.routing.pools_by_name.get(known.announced.pool)
    if pool is not None and is_open(pool, known):
        known.closed_since = math.inf
    else:
        known.closed_since = min(known.closed_since, now)


def decay_penalty(known: KnownBackend) -> None:
    """Forgive shed requests as time passes."""
    known.shed_penalty *= PENALTY_KEPT_PER_TICK


def forget_backends(tables: BalancerTables, now: float) -> None:
    """Forget servers that were silent for long and hold no recorded flow."""
    kept = BACKEND_RETENTION.total_seconds()
    old = {
        backend_id
        for backend_id, known in tables.backends_by_id.items()
        if known.is_unresponsive and now - known.received_at > kept
    }
    if not old:
        return
    used = {record.backend_id for record in tables.flows_by_key.values()}
    for backend_id in old - used:
        tables.backends_by_id.pop(backend_id)
    for backend_id in old & used:
        tables.backends_by_id[backend_id].received_at = now - kept / 2
