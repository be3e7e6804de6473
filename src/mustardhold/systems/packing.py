"""Packs placements into few bytes for messages, and back."""

from collections.abc import Iterable
from typing import Final

from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.placement import (
    PackedPlacement,
    PackedPlacements,
    Placement,
    PlacementSet,
)

NUMBER_BYTES = 2
BITMAP_BYTES = BUCKETS_PER_POOL // 8
LITTLE: Final = 'little'


def pack_placements(placements: PlacementSet) -> PackedPlacements:
    """Pack a version for a message."""
    packed = map(pack_placement, placements.placements_by_pool.values())
    return PackedPlacements(
        placements.version, tuple(packed), placements.bindings
    )


def unpack_placements(packed: PackedPlacements) -> PlacementSet:
    """Unpack a version from a message."""
    placements = map(unpack_placement, packed.placements)
    return PlacementSet(
        packed.version,
        {one.pool: one for one in placements},
        packed.bindings,
    )


def pack_placement(placement: Placement) -> PackedPlacement:
    """Pack one pool's placement."""
    servers = sorted(set(placement.bases))
    number_by_id = {name: number for number, name in enumerate(servers)}
    return PackedPlacement(
        placement.pool,
        tuple(servers),
        b''.join(
            number_by_id[base].to_bytes(NUMBER_BYTES, LITTLE)
            for base in placement.bases
        ),
        pack_buckets(placement.moving),
        pack_buckets(placement.opened_elsewhere),
    )


def unpack_placement(packed: PackedPlacement) -> Placement:
    """Unpack one pool's placement."""
    numbers = packed.base_numbers
    bases = tuple(
        packed.servers[int.from_bytes(numbers[at : at + NUMBER_BYTES], LITTLE)]
        for at in range(0, len(numbers), NUMBER_BYTES)
    )
    return Placement(
        packed.pool,
        bases,
        unpack_buckets(packed.moving),
        unpack_buckets(packed.opened_elsewhere),
    )


def pack_buckets(buckets: Iterable[int]) -> bytes:
    """Pack a set of buckets into one bit each."""
    bits = sum(1 << bucket for bucket in set(buckets))
    return bits.to_bytes(BITMAP_BYTES, LITTLE)


def unpack_buckets(packed: bytes) -> frozenset[int]:
    """Unpack a set of buckets."""
    bits = int.from_bytes(packed, LITTLE)
    return frozenset(
        bucket for bucket in range(BUCKETS_PER_POOL) if bits >> bucket & 1
    )
