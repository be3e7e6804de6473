"""Which backend server holds the flows of each bucket.

A bucket is settled when every flow in it is at its base server; then any
balancer sends its packets there without a record. A bucket that moves has
records at its owners; there, a flow without a record is at the base.
"""

import msgspec


class Placement(msgspec.Struct, frozen=True):
    """The buckets of one pool.

    Attributes
    ----------
    bases
        Id of the base server of each bucket, in the order of the buckets.
    moving
        Buckets whose packets go through their owners.
    opened_elsewhere
        Moving buckets whose openings may go to other servers than the base;
        set once every member with a live lease knows that they move.
    """

    pool: str
    bases: tuple[str, ...]
    moving: frozenset[int]
    opened_elsewhere: frozenset[int]


class Bindings(msgspec.Struct, frozen=True):
    """Which service holds the unrecorded flows of each address.

    Attributes
    ----------
    service_by_address
        Service by the last six bytes of a flow key; never changed.
    moved
        Addresses that a route gave to another service: their packets go
        through the owners of their bucket.
    freed
        Moved addresses whose new flows belong to the service of the route.
    """

    service_by_address: dict[bytes, str] = {}
    moved: frozenset[bytes] = frozenset()
    freed: frozenset[bytes] = frozenset()


class PlacementSet(msgspec.Struct, frozen=True):
    """One version of the placements of all pools.

    A pool without a placement has no base servers: all its buckets move.
    """

    version: int = 0
    placements_by_pool: dict[str, Placement] = {}
    bindings: Bindings = Bindings()


class PackedPlacement(msgspec.Struct, array_like=True, frozen=True):
    """A placement as messages carry it.

    Attributes
    ----------
    base_numbers
        For each bucket the place of its base in ``servers``, in two bytes.
    moving, opened_elsewhere
        One bit for each bucket, lowest first.
    """

    pool: str
    servers: tuple[str, ...]
    base_numbers: bytes
    moving: bytes
    opened_elsewhere: bytes


class PackedPlacements(msgspec.Struct, array_like=True, frozen=True):
    """One version of all placements, as messages carry it."""

    version: int
    placements: tuple[PackedPlacement, ...]
    bindings: Bindings


class BucketReport(msgspec.Struct, array_like=True, frozen=True):
    """What the primary owner of a moving bucket tells the coordinator.

    Attributes
    ----------
    elsewhere
        Recorded flows that are not at the bucket's base.
    """

    pool: str
    bucket: int
    elsewhere: int
