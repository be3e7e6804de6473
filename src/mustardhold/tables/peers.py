"""Messages between balancers, over UDP."""

import msgspec

from mustardhold.tables.backends import BackendRow, BackendServer
from mustardhold.tables.packets import FlowKey, Packet
from mustardhold.tables.placement import BucketReport, PlacementUpdate
from mustardhold.tables.request_messages import RequestMessage
from mustardhold.tables.views import ViewMember


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


class BackendAnnouncement(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """An announcement passed on within the data centre."""

    backend: BackendServer


class Claim(msgspec.Struct, array_like=True, tag=40, frozen=True):
    """Asks a voter for the coordinator's lease, or to renew it.

    Attributes
    ----------
    scope
        LeaseGroup that is asked; empty for the whole group.
    sent_at
        Reading of the candidate's clock; the lease runs from here.
    epoch, members
        Newest view that the candidate knows or proposes.
    is_coordinator
        Whether the candidate holds the lease already.
    placement_version
        Version of the placements that the candidate has.
    """

    scope: str
    candidate_id: str
    incarnation: int
    sent_at: float
    epoch: int
    members: tuple[ViewMember, ...]
    is_coordinator: bool
    placement_version: int


class Grant(msgspec.Struct, array_like=True, tag=41, frozen=True):
    """A voter's grant of a claim.

    Attributes
    ----------
    epoch, members
        Newest view that the voter knows; no members if the claim named it.
    previous_candidate_id
        Candidate that the voter had promised the lease before.
    placements
        Set if the candidate is about to be elected with older ones.
    """

    scope: str
    voter_id: str
    incarnation: int
    sent_at: float
    epoch: int
    members: tuple[ViewMember, ...]
    previous_candidate_id: str
    placements: PlacementUpdate | None


class Renewal(msgspec.Struct, array_like=True, tag=42, frozen=True):
    """Asks the coordinator for a member's lease.

    Attributes
    ----------
    sent_at
        Reading of the member's clock; the lease runs from here.
    epoch, placement_version
        What the member has in force.
    fence_epoch
        Highest epoch that a message has shown the member.
    """

    scope: str
    member_id: str
    incarnation: int
    sent_at: float
    epoch: int
    fence_epoch: int
    placement_version: int
    reports: tuple[BucketReport, ...] = ()


class Lease(msgspec.Struct, array_like=True, tag=43, frozen=True):
    """A member's lease under a view.

    Attributes
    ----------
    members
        The view's members; empty if the member has the view in force.
    placements
        Set if the member's placements are older.
    """

    scope: str
    incarnation: int
    sent_at: float
    epoch: int
    members: tuple[ViewMember, ...] = ()
    placements: PlacementUpdate | None = None


class NewView(msgspec.Struct, array_like=True, tag=45, frozen=True):
    """Tells a balancer of a view that a majority knows."""

    scope: str
    epoch: int
    members: tuple[ViewMember, ...]


class Leave(msgspec.Struct, array_like=True, tag=44, frozen=True):
    """Gives a lease back: the sender no longer acts on any lease."""

    scope: str
    member_id: str
    incarnation: int


class RecordQuery(msgspec.Struct, array_like=True, tag=50, frozen=True):
    """Asks a member whether it knows a flow.

    The asker is the primary owner in the view of this epoch; a member with
    an older view stops acting on it.
    """

    requester_id: str
    epoch: int
    flow: FlowKey


class RecordReply(msgspec.Struct, array_like=True, tag=51, frozen=True):
    """Answers whether a member knows a flow; no server if it does not."""

    member_id: str
    epoch: int
    flow: FlowKey
    service: str = ''
    backend_id: str = ''


class RecordPage(msgspec.Struct, array_like=True, tag=52, frozen=True):
    """Records of flows for a new owner, grouped by their server.

    Attributes
    ----------
    callers
        First six bytes of each flow's key, joined.
    is_last
        Whether the sender has no more records for this epoch.
    """

    sender_id: str
    epoch: int
    sequence: int
    service: str
    backend_id: str
    service_address: bytes
    callers: bytes
    is_last: bool


class RecordPageAck(msgspec.Struct, array_like=True, tag=53, frozen=True):
    """Acknowledges a page of records."""

    member_id: str
    epoch: int
    sequence: int


class HandoverComplete(msgspec.Struct, array_like=True, tag=54, frozen=True):
    """Tells that a member has all records of the buckets that it owns."""

    member_id: str
    epoch: int


LeaseMessage = Claim | Grant | Renewal | Lease | NewView | Leave
HandoverMessage = (
    RecordQuery | RecordReply | RecordPage | RecordPageAck | HandoverComplete
)


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


class BackendQuery(msgspec.Struct, array_like=True, tag=61, frozen=True):
    """Asks for the whole announcements of servers."""

    sender_id: str
    backend_ids: tuple[str, ...]


OwnerMessage = (
    RecordChain
    | FlowClosed
    | BackendAnnouncement
    | BackendDigest
    | BackendQuery
    | RequestMessage
)
PeerMessage = Relay | OwnerMessage | LeaseMessage | HandoverMessage
