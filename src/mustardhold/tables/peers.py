"""Messages between balancers, over UDP."""

import msgspec

from mustardhold.tables.backends import BackendServer
from mustardhold.tables.packets import FlowKey, Packet, Request


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


class RequestChain(msgspec.Struct, array_like=True, tag=60, frozen=True):
    """A request, passed along its owners before it takes effect.

    The last owner forwards the request to the backend server, or tells the
    caller that it was not run.

    Attributes
    ----------
    refusal
        Why the request is not run; empty to forward it.
    is_vouched
        Whether an owner so far knows every earlier request of the bucket.
    owners
        Owners that have not stored the request yet, in order.
    """

    epoch: int
    packet: Request
    service: str
    backend_id: str
    refusal: str
    is_vouched: bool
    owners: tuple[str, ...]


class AnswersSeen(msgspec.Struct, array_like=True, tag=61, frozen=True):
    """Tells a primary owner which answers have reached their callers.

    Attributes
    ----------
    entries
        Entries of a fixed size, see ``systems/answers.py``.
    """

    entries: bytes


class RequestsWanted(msgspec.Struct, array_like=True, tag=62, frozen=True):
    """Asks for the ids of earlier requests of buckets that are owned anew.

    Attributes
    ----------
    buckets
        Pairs of a bucket and the epoch since which the sender owns it.
    """

    sender_id: str
    epoch: int
    buckets: tuple[tuple[int, int], ...]


class KnownRequests(msgspec.Struct, array_like=True, tag=63, frozen=True):
    """One page of the earlier requests of a bucket.

    Attributes
    ----------
    entries
        Entries of a fixed size, see ``systems/request_handover.py``.
    """

    sender_id: str
    epoch: int
    bucket: int
    page: int
    pages: int
    entries: bytes


RequestMessage = RequestChain | AnswersSeen | RequestsWanted | KnownRequests
PeerMessage = Relay | RecordChain | FlowClosed | BackendShared | RequestMessage
