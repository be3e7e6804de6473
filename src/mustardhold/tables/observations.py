"""Latencies and recent decisions of a balancer."""

from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

from mustardhold.tables.constants import MAX_DECISIONS
from mustardhold.tables.histograms import Histogram, HistogramKey


class DecisionRecord(msgspec.Struct, frozen=True):
    """A decision, stored to be shown by the explain command.

    Attributes
    ----------
    at
        Time on the local monotonic clock, in seconds.
    request_id
        Empty if the decision concerns the whole flow.
    reason
        Reason, as a short phrase.
    table_version, view_epoch
        Versions of the table and of the view that the decision was based on.
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
    """Latency timer of an opening or a request that is not answered yet.

    Attributes
    ----------
    kind
        Label of the histogram: ``open``, ``idempotent`` or ``non-idempotent``.
    """

    service: str
    kind: str
    started_at: float


@dataclass(slots=True)
class Observations:
    """Latencies and recent decisions of one balancer.

    Attributes
    ----------
    histograms_by_key
        Histograms by name, service and class.
    relays_by_hops
        Number of relayed packets by number of relays.
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
