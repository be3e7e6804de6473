"""Messages between balancers, over UDP."""

import msgspec

from mustardhold.tables.backends import BackendServer
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


PeerMessage = Relay | RecordChain | FlowClosed | BackendShared
