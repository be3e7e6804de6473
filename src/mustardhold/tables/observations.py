"""What a balancer has seen of its own work: timings and decisions."""

from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

from mustardhold.tables.constants import MAX_DECISIONS
from mustardhold.tables.histograms import Histogram, HistogramKey


class DecisionRecord(msgspec.Struct, frozen=True):
    """One decision, kept to be explained.

    Attributes
    ----------
    at
        Reading of the local monotonic clock, in seconds.
    request_id
        Empty for a decision about a whole flow.
    reason
        Why, as a short phrase.
    table_version, view_epoch
        What was in force.
    """

    at: float
    flow: bytes
    request_id: bytes
    outcome: str
    target: str
    reason: str
    table_version: int
    view_epoch: int


@dataclass(frozen=True, slots=True)
class RunningTimer:
    """An opening or a request that waits for its answer.

    Attributes
    ----------
    kind
        Class of the request: whether it may be run again.
    """

    service: str
    kind: str
    started_at: float


@dataclass(slots=True)
class Observations:
    """Timings and decisions of one balancer.

    Attributes
    ----------
    histograms_by_key
        Histograms by name, service and class.
    relays_by_hops
        Relayed packets by the number of relays they have been through.
    """

    request_timers_by_id: dict[bytes, RunningTimer] = field(
        default_factory=dict
    )
    open_timers_by_flow: dict[bytes, RunningTimer] = field(default_factory=dict)
    histograms_by_key: dict[HistogramKey, Histogram] = field(
        default_factory=dict
    )
    relays_by_hops: Counter[int] = field(default_factory=Counter)
    decisions: deque[DecisionRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_DECISIONS)
    )
