"""In-memory state of one balancer."""

import math
from collections import Counter
from dataclasses import dataclass, field

from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.coordination import Membership
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.handover import Handover
from mustardhold.tables.hedging import HedgeTables
from mustardhold.tables.placement import BucketReport, PlacementSet
from mustardhold.tables.requests import RequestTables
from mustardhold.tables.routing import RoutingTable, empty_table
from mustardhold.tables.views import View


@dataclass(slots=True)
class BalancerTables:
    """State of one balancer.

    Attributes
    ----------
    service_by_address
        Service name by the last six bytes of a flow key; derived from
        ``routing``.
    counters
        Number of decisions by ``(service, outcome)``.
    reports_by_member
        Latest bucket reports; used by the coordinator of the group.
    next_digest_at
        When the next digest of backend servers is due, on the local monotonic
        clock, in seconds.
    cleared_placements_version
        Version of the placements for which the records of settled buckets
        were dropped.
    next_plan_at
        Earliest time of the coordinator's next regular planning, on the local
        monotonic clock, in seconds.
    lease_until
        End of this balancer's lease, up to which it may act as an owner, on the
        local monotonic clock, in seconds.
    membership
        State of the membership protocol; none if the view is fixed.
    """

    instance_id: str
    data_centre: str
    view: View
    routing: RoutingTable = field(default_factory=empty_table)
    service_by_address: dict[bytes, str] = field(default_factory=dict)
    backends_by_id: dict[str, KnownBackend] = field(default_factory=dict)
    flows_by_key: dict[bytes, FlowRecord] = field(default_factory=dict)
    requests: RequestTables = field(default_factory=RequestTables)
    owners_by_bucket: dict[int, tuple[str, ...]] = field(default_factory=dict)
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    placements: PlacementSet = field(default_factory=PlacementSet)
    reports_by_member: dict[str, tuple[BucketReport, ...]] = field(
        default_factory=dict
    )
    next_digest_at: float = 0
    digests_sent: int = 0
    cleared_placements_version: int = 0
    next_plan_at: float = 0
    lease_until: float = math.inf
    membership: Membership | None = None
    handover: Handover = field(default_factory=Handover)
    is_stopping: bool = False
    hedging: HedgeTables = field(default_factory=HedgeTables)
