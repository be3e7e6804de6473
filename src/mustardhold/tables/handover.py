"""State of the handover of flow records after a change of the view."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from mustardhold.tables.packets import CallerPacket


class RecordGroup(NamedTuple):
    """Fields shared by records that differ only in the caller's address."""

    service: str
    backend_id: str
    service_address: bytes


@dataclass(slots=True)
class Transfer:
    """Transfer of records to one member, one page at a time.

    Attributes
    ----------
    epoch
        Epoch of the view whose owners receive the records.
    sequence
        Number of the page that is not acknowledged yet.
    page
        Flow keys of that page.
    """

    epoch: int
    flows_by_group: dict[RecordGroup, deque[bytes]]
    sequence: int = 0
    sent_at: float | None = None
    group: RecordGroup | None = None
    page: tuple[bytes, ...] = ()


@dataclass(slots=True)
class HeldFlow:
    """Packets of a flow held until its record is found.

    Attributes
    ----------
    waiting_for
        Members that have not replied to the query for the record yet.
    deadline
        When the packets are decided without an opening, if no reply is
        outstanding.
    """

    waiting_for: set[str]
    queried_at: float
    deadline: float
    packets: list[CallerPacket] = field(default_factory=list)


class EarlyPacket(NamedTuple):
    """A packet held until a newer view than the current one is installed."""

    deadline: float
    hops: int
    packet: CallerPacket


@dataclass(slots=True)
class Handover:
    """Handover state of one balancer.

    Attributes
    ----------
    incomplete_since_by_bucket
        For each owned bucket, the epoch since which this balancer may lack
        records; 0 if it has all of them.
    source_member_by_bucket
        Member that was the primary owner of a bucket in the previous view and
        has all its records. Only it opened flows of the bucket in that view, so
        its reply to a record query is enough.
    received_epoch_by_member
        Latest epoch for which each member has sent all records that this
        balancer needs.
    complete_epoch_by_member
        Latest epoch for which each member, including this one, has reported
        that it has all records of the buckets that it owns.
    transfers_by_member
        Transfers that other members have not fully acknowledged yet.
    closed_flows, previous_closed_flows
        Flows that ended since ``closed_period_start``, and in the previous
        period.
    """

    incomplete_since_by_bucket: dict[int, int] = field(default_factory=dict)
    source_member_by_bucket: dict[int, str] = field(default_factory=dict)
    received_epoch_by_member: dict[str, int] = field(default_factory=dict)
    complete_epoch_by_member: dict[str, int] = field(default_factory=dict)
    transfers_by_member: dict[str, Transfer] = field(default_factory=dict)
    held_by_flow: dict[bytes, HeldFlow] = field(default_factory=dict)
    held_packets: int = 0
    early_packets: deque[EarlyPacket] = field(default_factory=deque)
    closed_flows: set[bytes] = field(default_factory=set)
    previous_closed_flows: set[bytes] = field(default_factory=set)
    closed_period_start: float = 0
    byte_allowance: float = 0
    allowance_updated_at: float | None = None
