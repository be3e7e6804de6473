"""Assignment of the buckets of a pool to backend servers.

A bucket is settled when all its flows are at its assigned server. Any balancer
then forwards its packets to that server without a record. The packets of a
moving bucket go through its owners, which have records of its flows; a flow
without a record is at the assigned server.
"""

import msgspec


class Placement(msgspec.Struct, frozen=True):
    """Assignment and state of the buckets of one pool.

    Attributes
    ----------
    assigned_servers
        Id of the assigned server of each bucket, in the order of the buckets.
    moving
        Buckets that are not settled.
    may_open_elsewhere
        Moving buckets whose new flows may go to other servers than the
        assigned one. A bucket is added once every member with a live lease
        knows that it is moving.
    """

    pool: str
    assigned_servers: tuple[str, ...]
    moving: frozenset[int]
    may_open_elsewhere: frozenset[int]


class Bindings(msgspec.Struct, frozen=True):
    """Service that holds the flows without a record, for each address.

    Attributes
    ----------
    service_by_address
        First service of each address, by the last six bytes of a flow key;
        never changed.
    moved
        Addresses that a route has reassigned to another service; their packets
        go through the owners of their bucket.
    freed
        Moved addresses whose new flows already go to the service of the route.
    """

    service_by_address: dict[bytes, str] = {}
    moved: frozenset[bytes] = frozenset()
    freed: frozenset[bytes] = frozenset()


class PlacementSet(msgspec.Struct, frozen=True):
    """One version of the placements of all pools.

    A pool without a placement has no assigned servers; all its buckets are
    moving.
    """

    version: int = 0
    placements_by_pool: dict[str, Placement] = {}
    bindings: Bindings = Bindings()


class PoolUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Changed buckets of one pool.

    Attributes
    ----------
    rows
        For each changed bucket its number (one byte), the index of its
        assigned server in ``names`` (two bytes) and its state (one byte).
    """

    pool: str
    names: tuple[str, ...]
    rows: bytes


class PlacementUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Changes from one version of the placements to another.

    Attributes
    ----------
    since_version
        Version that the changes apply to; 0 for a complete set.
    removed
        Pools that no longer have a placement.
    bindings
        The new bindings, if they changed; else none.
    """

    since_version: int
    version: int
    pools: tuple[PoolUpdate, ...]
    removed: tuple[str, ...]
    bindings: Bindings | None


class BucketReport(msgspec.Struct, frozen=True):
    """Report on a moving bucket from its primary owner to the coordinator.

    Attributes
    ----------
    elsewhere
        Number of recorded flows that are not at the assigned server.
    """

    pool: str
    bucket: int
    elsewhere: int
