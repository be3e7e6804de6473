"""State of the hand-over of records after a change of the view."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from mustardhold.tables.packets import CallerPacket


class RecordGroup(NamedTuple):
    """Records that share all but the caller's address."""

    service: str
    backend_id: str
    service_address: bytes


@dataclass(slots=True)
class Transfer:
    """Records on their way to one member, a page at a time.

    Attributes
    ----------
    epoch
        View whose owners the records are for.
    sequence
        Number of the page that waits for its acknowledgement.
    page
        Flows of that page.
    """

    epoch: int
    flows_by_group: dict[RecordGroup, deque[bytes]]
    sequence: int = 0
    sent_at: float | None = None
    group: RecordGroup | None = None
    page: tuple[bytes, ...] = ()


@dataclass(slots=True)
class HeldFlow:
    """Packets of a flow whose record is not known here yet.

    Attributes
    ----------
    waiting_for
        Members that have not answered whether they know the flow.
    deadline
        When packets that no member waits for are refused.
    """

    waiting_for: set[str]
    queried_at: float
    deadline: float
    packets: list[CallerPacket] = field(default_factory=list)


class EarlyPacket(NamedTuple):
    """A packet that waits for a newer view than the one in force."""

    deadline: float
    hops: int
    packet: CallerPacket


@dataclass(slots=True)
class Handover:
    """Hand-over of one balancer.

    Attributes
    ----------
    incomplete_since_by_bucket
        Epoch since which this balancer lacks records of a bucket that it
        owns; 0 if it has them all.
    source_member_by_bucket
        Member that alone has placed a bucket's flows up to this view, and
        knows them all.
    received_epoch_by_member
        Epoch for which each member has sent all records that concern us.
    complete_epoch_by_member
        Epoch for which each member, this one included, has said that it has
        all records of the buckets that it owns.
    transfers_by_member
        Records that other members have yet to acknowledge.
    closed_flows, previous_closed_flows
        Flows that ended since ``closed_since``, and in the period before.
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
