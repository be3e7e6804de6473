"""Spreads the buckets of a pool over its servers, by their capacity."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from mustardhold.systems.hashing import rendezvous_order
from mustardhold.tables.constants import BUCKETS_PER_POOL


def fair_counts(
    limit_by_id: Mapping[str, int], buckets: int = BUCKETS_PER_POOL
) -> dict[str, int]:
    """Share out buckets by connection limit, largest remainder first."""
    total = sum(limit_by_id.values())
    exact = {
        backend_id: buckets * limit / total
        for backend_id, limit in limit_by_id.items()
    }
    counts = {backend_id: int(share) for backend_id, share in exact.items()}
    by_remainder = sorted(
        exact,
        key=lambda backend_id: (
            counts[backend_id] - exact[backend_id],
            backend_id,
        ),
    )
    for backend_id in by_remainder[: buckets - sum(counts.values())]:
        counts[backend_id] += 1
    return counts


def assign_bases(limit_by_id: Mapping[str, int]) -> tuple[str, ...]:
    """Choose a base for each bucket."""
    left = Counter(fair_counts(limit_by_id))
    assigned_servers = []
    for bucket in range(BUCKETS_PER_POOL):
        able = [backend_id for backend_id in limit_by_id if left[backend_id]]
        base = rendezvous_order(bucket, able)[0]
        left[base] -= 1
        assigned_servers.append(base)
    return tuple(assigned_servers)


def replace_bases(
    assigned_servers: Sequence[str],
    buckets: Iterable[int],
    limit_by_id: Mapping[str, int],
) -> tuple[str, ...]:
    """Give each of some buckets a new base, where most are lacking."""
    replaced = list(assigned_servers)
    lacking = Counter(fair_counts(limit_by_id))
    lacking.subtract(base for base in assigned_servers if base in limit_by_id)
    for bucket in buckets:
        most = max(lacking.values())
        base = rendezvous_order(
            bucket,
            [
                backend_id
                for backend_id in limit_by_id
                if lacking[backend_id] == most
            ],
        )[0]
        lacking[base] -= 1
        replaced[bucket] = base
    return tuple(replaced)
