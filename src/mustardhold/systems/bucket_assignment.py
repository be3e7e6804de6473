"""Assigns the buckets of a pool to its servers by their capacity."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from mustardhold.systems.hashing import rendezvous_order
from mustardhold.tables.constants import BUCKETS_PER_POOL


def fair_counts(
    limit_by_id: Mapping[str, int], buckets: int = BUCKETS_PER_POOL
) -> dict[str, int]:
    """Split buckets by connection limit, with largest remainders."""
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


def assign_buckets(limit_by_id: Mapping[str, int]) -> tuple[str, ...]:
    """Assign a server to each bucket."""
    remaining = Counter(fair_counts(limit_by_id))
    assigned_servers = []
    for bucket in range(BUCKETS_PER_POOL):
        eligible = [
            backend_id for backend_id in limit_by_id if remaining[backend_id]
        ]
        server_id = rendezvous_order(bucket, eligible)[0]
        remaining[server_id] -= 1
        assigned_servers.append(server_id)
    return tuple(assigned_servers)


def reassign_buckets(
    assigned_servers: Sequence[str],
    buckets: Iterable[int],
    limit_by_id: Mapping[str, int],
) -> tuple[str, ...]:
    """Reassign buckets, each to a server furthest below its fair share."""
    replaced = list(assigned_servers)
    deficit = Counter(fair_counts(limit_by_id))
    deficit.subtract(
        server_id for server_id in assigned_servers if server_id in limit_by_id
    )
    for bucket in buckets:
        largest_deficit = max(deficit.values())
        server_id = rendezvous_order(
            bucket,
            [
                backend_id
                for backend_id in limit_by_id
                if deficit[backend_id] == largest_deficit
            ],
        )[0]
        deficit[server_id] -= 1
        replaced[bucket] = server_id
    return tuple(replaced)
