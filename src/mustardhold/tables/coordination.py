"""State of the protocol that agrees on the members of a spray group."""

import math
from dataclasses import dataclass, field

from mustardhold.tables.placement import PlacementSet
from mustardhold.tables.views import Member, View, ViewMember


@dataclass(slots=True)
class MemberLease:
    """Coordinator's state for a member that renews its lease.

    Attributes
    ----------
    until
        Latest possible end of the member's lease, on the coordinator's
        monotonic clock, in seconds.
    placement_version
        Version of the placements that the member has installed.
    """

    incarnation: int
    until: float
    placement_version: int = 0


@dataclass(slots=True)
class LeaseGroup:
    """Voters that grant the coordinator's lease, and the state of one voter.

    Times are on the local monotonic clock, in seconds.

    Attributes
    ----------
    scope
        Empty for the whole group, else the data centre of the voters.
    no_grants_until
        Until when this voter grants nothing after its start, as grants from
        before a restart may still run.
    granted_to, granted_until
        Candidate that holds the grant of this voter, and until when.
    previous_candidate_id
        Candidate that held the grant of this voter before ``granted_to``.
    coordinator_id, coordinator_contact_at
        Coordinator of the latest received claim, and when it was received.
    campaign_until
        When a campaign of this balancer ends if it has not been elected.
    known_epoch, known_members
        Newest view that this voter knows from claims and grants.
    epoch_floor
        Highest epoch in the renewals of members; the next view gets a higher
        one.
    granted_at_by_id
        When the latest claim granted by each other voter was sent.
    previous_candidate_ids
        Candidates that held the grants of the voters of the current campaign
        before it.
    elected_at
        When this balancer last became coordinator.
    proposed_at
        When ``proposed`` was first sent in a claim.
    placements_before
        Version of the placements before the current one.
    view
        View under which this coordinator grants leases to members.
    """

    scope: str
    voters: tuple[str, ...]
    no_grants_until: float
    granted_to: str = ''
    granted_until: float = -math.inf
    previous_candidate_id: str = ''
    coordinator_id: str = ''
    coordinator_contact_at: float = -math.inf
    campaign_until: float = -math.inf
    next_claim_at: float = -math.inf
    next_renewal_at: float = -math.inf
    known_epoch: int = 0
    known_members: tuple[ViewMember, ...] = ()
    epoch_floor: int = 0
    granted_at_by_id: dict[str, float] = field(default_factory=dict)
    previous_candidate_ids: set[str] = field(default_factory=set)
    is_coordinator: bool = False
    elected_at: float = -math.inf
    proposed: View | None = None
    proposed_at: float = -math.inf
    view: View | None = None
    placements_before: PlacementSet = field(default_factory=PlacementSet)
    leases_by_id: dict[str, MemberLease] = field(default_factory=dict)


@dataclass(slots=True)
class Membership:
    """State of one balancer in the membership protocol.

    Times are on the local monotonic clock, in seconds.

    Attributes
    ----------
    incarnation
        Increases with each start of this balancer.
    group_by_id
        All configured balancers of the spray group.
    active_at
        When this balancer last processed a packet or a tick.
    discard_until
        Until when packets are discarded, as they may have waited while this
        balancer was frozen.
    fence_epoch
        Highest epoch received in a message; this balancer does not act under
        an older view.
    is_leave_unanswered
        Whether this balancer stops and found no coordinator to process its
        ``Leave``.
    """

    incarnation: int
    group_by_id: dict[str, Member]
    lease_groups: tuple[LeaseGroup, ...]
    started_at: float
    active_at: float
    discard_until: float = -math.inf
    fence_epoch: int = 0
    is_leave_unanswered: bool = False
