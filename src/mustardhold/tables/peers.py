"""Messages between balancers, over UDP."""

import msgspec

from mustardhold.tables.backends import BackendRow, BackendServer
from mustardhold.tables.packets import FlowKey, Packet


class Relay(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """A packet passed on to an owner of its flow's bucket.

    Attributes
    ----------
    epoch
        Epoch of the view by which the sender chose the owner.
    hops
        Number of relays this packet has been through, this one included.
    """

    sender_id: str
    epoch: int
    hops: int
    packet: Packet


class RecordChain(msgspec.Struct, array_like=True, tag=31, frozen=True):
    """A flow's record, passed along its owners before the opening is sent.

    The last owner of the chain forwards the opening to the backend server, so
    that no backend server sees a flow that some owner does not know.

    Attributes
    ----------
    owners
        Owners that have not stored the record yet, in order.
    """

    epoch: int
    flow: FlowKey
    service: str
    backend_id: str
    owners: tuple[str, ...]


class FlowClosed(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """Tells an owner that a flow has ended."""

    flow: FlowKey


class BackendShared(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """An announcement passed on within the data centre."""

    backend: BackendServer


class BackendDigest(msgspec.Struct, array_like=True, tag=60, frozen=True):
    """What a balancer lately heard of backend servers, and holds on them.

    Attributes
    ----------
    held_by_id
        Flows that the sender holds as primary owner, by server.
    """

    sender_id: str
    rows: tuple[BackendRow, ...]
    held_by_id: dict[str, int]


class BackendsAsked(msgspec.Struct, array_like=True, tag=61, frozen=True):
    """Asks for the whole announcements of servers."""

    sender_id: str
    backend_ids: tuple[str, ...]


PeerMessage = (
    Relay
    | RecordChain
    | FlowClosed
    | BackendShared
    | BackendDigest
    | BackendsAsked
)
