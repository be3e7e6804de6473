"""State of the agreement on the members of a spray group."""

import math
from dataclasses import dataclass, field

from mustardhold.tables.placement import PlacementSet
from mustardhold.tables.views import Member, View, ViewMember


@dataclass(slots=True)
class MemberLease:
    """What a coordinator knows of a member that renews its lease.

    Attributes
    ----------
    until
        Latest end of the member's lease, on the coordinator's clock.
    placement_version
        Version of the placements that the member has in force.
    """

    incarnation: int
    until: float
    placement_version: int = 0


@dataclass(slots=True)
class LeaseGroup:
    """Voters that grant the coordinator's lease, as one of them sees it.

    Attributes
    ----------
    scope
        Empty for the whole group, else the data centre of the voters.
    granted_to, granted_until
        Candidate that this voter grants the lease, and up to when.
    previous_candidate_id
        Candidate that this voter had promised the lease before.
    coordinator_id, coordinator_contact_at
        Latest coordinator that has sent us a claim, and when it came.
    campaign_until
        When an unsuccessful candidate stops asking.
    known_epoch, known_members
        Newest view that any candidate has proposed to this voter.
    epoch_floor
        Highest epoch that a member has shown; the next view lies above it.
    granted_at_by_id
        When the latest claim that each other voter granted was sent.
    previous_candidate_ids
        What the voters of the own campaign had promised before.
    elected_at
        When this balancer last became coordinator.
    proposed_at
        When ``proposed`` was put into a claim for the first time.
    placements_before
        The version before the one in force.
    view
        The view under which this coordinator gives leases.
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
    """Part of one balancer in the agreement on the group's members.

    Attributes
    ----------
    incarnation
        Rises with each start of this balancer.
    group_by_id
        Configured balancers of the spray group, running or not.
    active_at
        When this balancer last did anything.
    discard_until
        Up to when packets may have waited while this balancer was frozen.
    fence_epoch
        Highest epoch that a message has shown; an older view is not acted on.
    is_leave_unanswered
        Whether this balancer stops, and no coordinator takes its leave.
    """

    incarnation: int
    group_by_id: dict[str, Member]
    lease_groups: tuple[LeaseGroup, ...]
    started_at: float
    active_at: float
    discard_until: float = -math.inf
    fence_epoch: int = 0
    is_leave_unanswered: bool = False
