"""State of hedging: second copies of requests that may be repeated."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import msgspec

from mustardhold.tables.constants import (
    HEDGE_SAMPLES,
    MAX_HEDGE_EVENTS,
)
from mustardhold.tables.field_types import Name
from mustardhold.tables.packets import Answer


class RequestClass(StrEnum):
    """Whether a request may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'


class HedgingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of hedging.

    Attributes
    ----------
    share
        Copies as a share of the requests of a service; above 0, at most 1.
    least_delay
        Shortest time after which a copy is sent.
    services
        Services whose servers answer a request of any flow.
    kinds
        Classes of requests; only idempotent ones are possible.
    """

    share: float
    least_delay: timedelta
    services: tuple[Name, ...]
    kinds: tuple[RequestClass, ...] = (RequestClass.IDEMPOTENT,)


class HedgeOutcome(StrEnum):
    """How a copy ended.

    ``WON`` means that its answer was used, ``LOST`` that the first copy was
    answered before, ``CANCELLED`` that it was given up for another reason.
    """

    WON = 'won'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Hedge:
    """The copy of a request at another server.

    Attributes
    ----------
    copy_id, copy_flow
        Request id and flow of the copy.
    epoch
        Epoch of the view in which the copy was sent.
    sent_at
        Time on the local monotonic clock, in seconds.
    awaited
        Members that have not promised yet to relay the first copy's answer.
    parts
        Received parts of the copy's answer.
    outcome
        None while the copy is running.
    """

    copy_id: bytes
    copy_flow: bytes
    backend_id: str
    epoch: int
    sent_at: float
    awaited: set[str]
    parts: dict[int, Answer] = field(default_factory=dict)
    outcome: HedgeOutcome | None = None


class HedgeEvent(NamedTuple):
    """A decision on a copy, for histograms and explanations.

    Attributes
    ----------
    seconds
        Time from sending the copy; None if it was just sent.
    """

    at: float
    flow: bytes
    request_id: bytes
    service: str
    outcome: str
    target: str
    reason: str
    seconds: float | None = None


@dataclass(slots=True)
class CopyFlow:
    """A flow to a server that carries copies of requests.

    Attributes
    ----------
    asked_at, used_at
        When it was last opened and used, on the local monotonic clock, in
        seconds.
    waiting
        Keys of requests that wait for the flow to open.
    """

    flow: bytes
    backend_id: str
    asked_at: float
    used_at: float
    is_open: bool = False
    waiting: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class LatencySamples:
    """Latest times to the first part of an answer, in seconds.

    Attributes
    ----------
    samples_since_percentile
        Number of samples added since ``percentile`` was computed.
    """

    samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=HEDGE_SAMPLES)
    )
    samples_since_percentile: int = 0
    percentile: float | None = None


@dataclass(slots=True)
class HedgeTables:
    """Hedging state of one balancer.

    Attributes
    ----------
    policy
        Settings; none while hedging is off.
    tokens_by_service
        Remaining budget of each service, in copies.
    timers
        Heap of the times at which requests may get a copy, on the local
        monotonic clock, in seconds, with their keys.
    hedges_by_key
        Copies by the key of their request, as long as its record.
    running_by_key
        Copies that have no outcome yet, by the key of their request, oldest
        first.
    flows_by_server
        Flows for copies, by server and service address.
    promised_until_by_key
        When the promise to relay the answers of a request to its owner ends, by
        its key; oldest first.
    events
        Decisions that are not in the observations yet.
    """

    policy: HedgingOptions | None = None
    latencies_by_service: dict[str, LatencySamples] = field(
        default_factory=dict
    )
    tokens_by_service: dict[str, float] = field(default_factory=dict)
    timers: list[tuple[float, bytes]] = field(default_factory=list)
    hedges_by_key: dict[bytes, Hedge] = field(default_factory=dict)
    running_by_key: dict[bytes, Hedge] = field(default_factory=dict)
    flows_by_server: dict[tuple[str, bytes], CopyFlow] = field(
        default_factory=dict
    )
    promised_until_by_key: dict[bytes, float] = field(default_factory=dict)
    events: deque[HedgeEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_HEDGE_EVENTS)
    )
