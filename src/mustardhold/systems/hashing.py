"""Hashes of flows, and owners by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from mustardhold.tables.constants import BUCKETS_PER_POOL, OWNERS_PER_BUCKET


def bucket_of(flow: bytes) -> int:
    """Map a flow key to its bucket."""
    return xxhash.xxh3_64_intdigest(flow) % BUCKETS_PER_POOL


def rendezvous_order(bucket: int, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a bucket, heaviest first."""
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{bucket}/{name}'.encode()),
            name,
        ),
        reverse=True,
    )


def select_owners(
    bucket: int, members: Iterable[str], count: int = OWNERS_PER_BUCKET
) -> tuple[str, ...]:
    """Choose the owners of a bucket; the first is its primary."""
    return tuple(rendezvous_order(bucket, members)[:count])
