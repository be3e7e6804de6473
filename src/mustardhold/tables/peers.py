"""Messages between balancers, over UDP."""

import msgspec

from mustardhold.tables.backends import BackendRow, BackendServer
from mustardhold.tables.packets import FlowKey, Packet
from mustardhold.tables.placement import BucketReport, PlacementUpdate
from mustardhold.tables.request_messages import RequestMessage
from mustardhold.tables.views import ViewMember


class Relay(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """A packet forwarded to an owner of its flow's bucket.

    Attributes
    ----------
    epoch
        Epoch of the view from which the sender selected the owner.
    hops
        Number of relays of this packet so far, including this one.
    """

    sender_id: str
    epoch: int
    hops: int
    packet: Packet


class RecordChain(msgspec.Struct, array_like=True, tag=31, frozen=True):
    """A flow record, forwarded along the owners before the opening is sent.

    The last owner of the chain forwards the opening to the backend server. So
    all owners have the record before the backend server receives the flow.

    Attributes
    ----------
    owners
        Remaining owners of the chain, in order.
    """

    epoch: int
    flow: FlowKey
    service: str
    backend_id: str
    owners: tuple[str, ...]


class FlowClosed(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """Notifies an owner that a flow has ended."""

    flow: FlowKey


class BackendAnnouncement(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """Forwards a backend server's announcement to a balancer of the group."""

    backend: BackendServer


class Claim(msgspec.Struct, array_like=True, tag=40, frozen=True):
    """Requests a voter's grant of the coordinator's lease, or its renewal.

    Attributes
    ----------
    scope
        ``LeaseGroup`` that the lease is for; empty for the whole group.
    sent_at
        Time on the candidate's monotonic clock; the lease starts here.
    epoch, members
        Newest view that the candidate knows or proposes.
    is_coordinator
        Whether the candidate already holds the lease.
    placement_version
        Version of the placements that the candidate has installed.
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
        Newest view that the voter knows; ``members`` is empty if the claim had
        this view or a newer one.
    previous_candidate_id
        Candidate to which the voter gave its grant before this candidate;
        empty if there was none.
    placements
        The voter's placements, if they are newer than those of a candidate that
        is not the coordinator yet; else none.
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
    """Requests a member's lease from the coordinator.

    Attributes
    ----------
    sent_at
        Time on the member's monotonic clock; the lease starts here.
    epoch, placement_version
        View and placements that the member has installed.
    fence_epoch
        Highest epoch that the member received in a message.
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
    """Grants a member its lease under a view.

    Attributes
    ----------
    members
        Members of the view; empty if the member has already installed it.
    placements
        Changes of the placements, if the member's version differs; else none.
    """

    scope: str
    incarnation: int
    sent_at: float
    epoch: int
    members: tuple[ViewMember, ...] = ()
    placements: PlacementUpdate | None = None


class NewView(msgspec.Struct, array_like=True, tag=45, frozen=True):
    """Announces a view that a majority of the voters knows."""

    scope: str
    epoch: int
    members: tuple[ViewMember, ...]


class Leave(msgspec.Struct, array_like=True, tag=44, frozen=True):
    """Releases the sender's leases before it stops."""

    scope: str
    member_id: str
    incarnation: int


class RecordQuery(msgspec.Struct, array_like=True, tag=50, frozen=True):
    """Queries a member for the record of a flow.

    The requester is the primary owner of the flow in the view of this epoch. A
    member with an older view stops acting under it.
    """

    requester_id: str
    epoch: int
    flow: FlowKey


class RecordReply(msgspec.Struct, array_like=True, tag=51, frozen=True):
    """Reply to a record query; ``backend_id`` is empty without a record."""

    member_id: str
    epoch: int
    flow: FlowKey
    service: str = ''
    backend_id: str = ''


class RecordPage(msgspec.Struct, array_like=True, tag=52, frozen=True):
    """One page of flow records for a new owner, all with one server.

    Attributes
    ----------
    callers
        First six bytes of each flow key, concatenated.
    is_last
        Whether this is the last page of the sender for this epoch.
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
    """Acknowledges a record page."""

    member_id: str
    epoch: int
    sequence: int


class HandoverComplete(msgspec.Struct, array_like=True, tag=54, frozen=True):
    """Reports that a member has all records of the buckets that it owns."""

    member_id: str
    epoch: int


LeaseMessage = Claim | Grant | Renewal | Lease | NewView | Leave
HandoverMessage = (
    RecordQuery | RecordReply | RecordPage | RecordPageAck | HandoverComplete
)


class BackendDigest(msgspec.Struct, array_like=True, tag=60, frozen=True):
    """Recent announcements that a balancer received, and flows that it holds.

    Attributes
    ----------
    held_by_id
        Number of flows that the sender holds as primary owner, by server.
    """

    sender_id: str
    rows: tuple[BackendRow, ...]
    held_by_id: dict[str, int]


class BackendQuery(msgspec.Struct, array_like=True, tag=61, frozen=True):
    """Requests the complete announcements of backend servers."""

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
