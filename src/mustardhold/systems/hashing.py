"""Hashes flows to buckets, and buckets to owners by rendezvous."""

from collections.abc import Iterable

import xxhash

from mustardhold.tables.constants import BUCKETS_PER_POOL, OWNERS_PER_BUCKET


def bucket_of(flow: bytes) -> int:
    """Map a flow key to its bucket."""
    return xxhash.xxh3_64_intdigest(flow) % BUCKETS_PER_POOL


def rendezvous_order(bucket: int, names: Iterable[str]) -> list[str]:
    """Order names by their hash for a bucket, highest first."""
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
    """Select the owners of a bucket; the first is the primary owner."""
    return tuple(rendezvous_order(bucket, members)[:count])
