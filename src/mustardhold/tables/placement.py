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
    may_open_elsewhere
        Moving buckets whose openings may go to other servers than the base;
        set once every member with a live lease knows that they move.
    """

    pool: str
    assigned_servers: tuple[str, ...]
    moving: frozenset[int]
    may_open_elsewhere: frozenset[int]


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


class PoolUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Buckets of one pool that changed.

    Attributes
    ----------
    rows
        For each bucket its number, the place of its base server in
        ``names`` as two bytes, and its state.
    """

    pool: str
    names: tuple[str, ...]
    rows: bytes


class PlacementUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What changed from one version of the placements to another.

    Attributes
    ----------
    since_version
        Version that the update is for; 0 for a whole set.
    removed
        Pools that have no placement any more.
    bindings
        Set if they changed.
    """

    since_version: int
    version: int
    pools: tuple[PoolUpdate, ...]
    removed: tuple[str, ...]
    bindings: Bindings | None


class BucketReport(msgspec.Struct, frozen=True):
    """What the primary owner of a moving bucket tells the coordinator.

    Attributes
    ----------
    elsewhere
        Recorded flows that are not at the bucket's base.
    """

    pool: str
    bucket: int
    elsewhere: int
